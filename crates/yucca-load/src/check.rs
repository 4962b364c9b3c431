//! Whether an answer is the whole answer to its own request, and in time.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use yucca_standins::answer::Answer;
use yucca_standins::service::echo_hash;
use yuccacove::catalogue::{Class, Entry};

/// Share of the gaps between tokens, in percent, that may exceed the target.
const LATE_GAPS_PERCENT: usize = 5;

/// What became of a request; each request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Whole, correct and within its targets.
    OnTime,
    /// Whole and correct, but a target was missed.
    Late,
    /// Refused, and it did not run.
    Refused,
    /// It may have run, but there is no answer.
    Unknown,
    /// It ended without an answer after it ran or where it may be repeated.
    Failed,
    /// The answer is not that of the request.
    Wrong,
    /// The answer began but ended before it was whole.
    Cut,
}

/// A verdict with what was seen.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The verdict.
    pub kind: OutcomeKind,
    /// Result code of a problem object; 0 without one.
    pub code: u64,
    /// What was seen, for people; empty for whole answers.
    pub detail: String,
    /// Time to the first token or, for plain calls, to the whole answer.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl Outcome {
    /// An outcome without an answer.
    pub fn without_response(kind: OutcomeKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            code: 0,
            detail: detail.into(),
            first_token: None,
            gaps: Vec::new(),
        }
    }

    /// Outcome of an answer whose status is not 200.
    pub fn of_problem(entry: &Entry, status: u16, body: &[u8]) -> Self {
        let problem: Value = serde_json::from_slice(body).unwrap_or_default();
        let kind = match (problem["outcome"].as_str(), entry.class) {
            (Some("not_run"), _) => OutcomeKind::Refused,
            (Some("ran"), _) => OutcomeKind::Failed,
            (Some(_), _) | (None, Class::Order) => OutcomeKind::Unknown,
            (None, _) => OutcomeKind::Failed,
        };
        Self {
            code: problem["code"].as_u64().unwrap_or(0),
            ..Self::without_response(kind, format!("status {status}: {}", problem["detail"]))
        }
    }

    /// Outcome of a broken connection before any answer.
    pub fn of_lost_connection(entry: &Entry, detail: impl Into<String>) -> Self {
        let kind = match entry.class {
            Class::Order => OutcomeKind::Unknown,
            Class::Chat | Class::Read => OutcomeKind::Failed,
        };
        Self::without_response(kind, detail)
    }
}

/// Events of a chat stream, as far as they arrived.
#[derive(Debug, Default)]
pub struct ChatStream {
    /// Time of each token from the sending of the request, and its text.
    pub tokens: Vec<(Duration, String)>,
    /// Ids that the chunks carry.
    pub ids: BTreeSet<String>,
    /// `x-request-id` of the answer.
    pub request_id: String,
    /// Whether the last chunk had a `finish_reason`.
    pub finished: bool,
    /// Whether `[DONE]` arrived, and nothing after it.
    pub done: bool,
    /// Data of an `error` event.
    pub error: Option<String>,
}

impl ChatStream {
    /// Judges the stream of a request for `output_tokens` tokens. `versions` are the models and
    /// versions that engines held during the replay.
    pub fn check(
        &self,
        entry: &Entry,
        prompt: &str,
        output_tokens: usize,
        versions: &[(String, String)],
    ) -> Outcome {
        let (kind, detail) = self.classify(entry, prompt, output_tokens, versions);
        let problem: Value =
            serde_json::from_str(self.error.as_deref().unwrap_or("null")).unwrap_or_default();
        Outcome {
            kind,
            code: problem["code"].as_u64().unwrap_or(0),
            detail,
            first_token: self.tokens.first().map(|(at, _)| *at),
            gaps: self.gaps(),
        }
    }

    fn classify(
        &self,
        entry: &Entry,
        prompt: &str,
        output_tokens: usize,
        versions: &[(String, String)],
    ) -> (OutcomeKind, String) {
        // Also a cut answer must hold the right tokens as far as it goes.
        let is_right = versions.iter().any(|(model, version)| {
            let answer = Answer::new(model, version, prompt);
            let mut tokens = (0..).zip(&self.tokens);
            tokens.all(|(index, (_, text))| *text == answer.chunk(index))
        });
        if !is_right {
            let detail = format!("{} tokens are not those of the prompt", self.tokens.len());
            return (OutcomeKind::Wrong, detail);
        }
        if self.ids.iter().any(|id| *id != self.request_id) {
            let detail = format!(
                "chunks of {:?} in the answer to {}",
                self.ids, self.request_id
            );
            return (OutcomeKind::Wrong, detail);
        }
        if !self.done {
            let error = self.error.as_deref().unwrap_or("no [DONE]");
            return (
                OutcomeKind::Cut,
                format!("after {} tokens: {error}", self.tokens.len()),
            );
        }
        if self.tokens.len() != output_tokens || !self.finished || self.error.is_some() {
            let detail = format!(
                "[DONE] after {} of {output_tokens} tokens",
                self.tokens.len()
            );
            return (OutcomeKind::Wrong, detail);
        }
        let first_token = Duration::from_millis(entry.first_token_ms);
        let between_tokens = Duration::from_millis(entry.between_tokens_ms);
        let gaps = self.gaps();
        let late_gaps = gaps.iter().filter(|gap| **gap > between_tokens).count();
        let first_in_time = self
            .tokens
            .first()
            .is_some_and(|(at, _)| *at <= first_token);
        if first_in_time && late_gaps * 100 <= gaps.len() * LATE_GAPS_PERCENT {
            (OutcomeKind::OnTime, String::new())
        } else {
            (OutcomeKind::Late, String::new())
        }
    }

    fn gaps(&self) -> Vec<Duration> {
        let pairs = self.tokens.windows(2);
        pairs
            .map(|pair| pair[1].0.saturating_sub(pair[0].0))
            .collect()
    }
}

/// Judges the whole answer of a plain call that echoes the hash of `content`.
pub fn check_plain(entry: &Entry, content: &[u8], body: &[u8], took: Duration) -> Outcome {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let is_right = answer["echo_hash"] == echo_hash(content);
    let in_time = took <= Duration::from_millis(entry.first_token_ms);
    let (kind, detail) = match (is_right, in_time) {
        (false, _) => (
            OutcomeKind::Wrong,
            format!("not the request's answer: {answer}"),
        ),
        (true, true) => (OutcomeKind::OnTime, String::new()),
        (true, false) => (OutcomeKind::Late, String::new()),
    };
    Outcome {
        kind,
        code: 0,
        detail,
        first_token: Some(took),
        gaps: Vec::new(),
    }
}
