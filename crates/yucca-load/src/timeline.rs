//! Results of a replay by rank and second.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::check::{Outcome, OutcomeKind};

/// Results of the requests that were due in one second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Number of requests sent.
    pub sent: u64,
    /// Complete, correct responses within their latency targets.
    pub on_time: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Prompt tokens of requests with a complete, correct response.
    pub prompt_tokens: u64,
    /// Output tokens of requests with a complete, correct response.
    pub output_tokens: u64,
}

/// Due time and size of a request.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledRequest {
    /// Time at which the request is due, in ms from the start of the replay.
    pub at_ms: u64,
    /// Size of the prompt in words.
    pub prompt_tokens: usize,
    /// Number of tokens that the request asks for.
    pub output_tokens: usize,
}

/// Results by rank and by the second in which the requests were due.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Timeline {
    /// One element for each second from the start of the replay, by name of the rank.
    pub ranks: BTreeMap<&'static str, Vec<Second>>,
    /// Times at which an engine was first seen with a different role after an order, in ms from the
    /// start of the replay.
    pub role_changes_at_ms: Vec<u64>,
}

impl Timeline {
    /// Adds the outcome of a request.
    pub fn add(&mut self, rank: &'static str, scheduled: ScheduledRequest, outcome: &Outcome) {
        let seconds = self.ranks.entry(rank).or_default();
        let index = (scheduled.at_ms / 1_000) as usize;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        let second = &mut seconds[index];
        second.sent += 1;
        match outcome.kind {
            OutcomeKind::OnTime | OutcomeKind::Late => {
                second.on_time += u64::from(outcome.kind == OutcomeKind::OnTime);
                second.prompt_tokens += scheduled.prompt_tokens as u64;
                second.output_tokens += scheduled.output_tokens as u64;
            }
            OutcomeKind::Refused => second.refused += 1,
            OutcomeKind::Unknown | OutcomeKind::Failed | OutcomeKind::Wrong | OutcomeKind::Cut => {}
        }
    }
}
