//! Results of a replay by second and rank.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::check::{Outcome, OutcomeKind};

/// Requests that were due in one second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers within their targets.
    pub on_time: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Prompt tokens of whole answers.
    pub prompt_tokens: u64,
    /// Output tokens of whole answers.
    pub output_tokens: u64,
}

/// A request's place in the timeline and its size.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledRequest {
    /// When it was due, from the start of the replay.
    pub at_ms: u64,
    /// Words of its prompt.
    pub prompt_tokens: usize,
    /// Tokens of its answer.
    pub output_tokens: usize,
}

/// Results by rank, and by the second in which the requests were due.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Timeline {
    /// Seconds from the start of the replay, by name of the rank.
    pub ranks: BTreeMap<&'static str, Vec<Second>>,
    /// When engines were seen with another role, from the start of the replay.
    pub role_changes_at_ms: Vec<u64>,
}

impl Timeline {
    /// Adds a request.
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
