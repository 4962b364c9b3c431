//! Checks that a response is complete, belongs to its request and meets its latency targets.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use yucca_standins::answer::Answer;
use yucca_standins::service::echo_hash;
use yuccacove::catalogue::{Class, Entry};

/// Maximum share of inter-token gaps above the target, in percent, in a response that is on time.
const MAX_LATE_GAPS_PERCENT: usize = 5;

/// Result of a request; every request has exactly one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Complete, correct and within its latency targets.
    OnTime,
    /// Complete and correct, but a latency target was missed.
    Late,
    /// Refused; the request did not run.
    Refused,
    /// No complete response, and it is unknown whether the request ran.
    Unknown,
    /// No complete response; the request ran, was never sent or is safe to repeat.
    Failed,
    /// The response does not match the request.
    Wrong,
    /// The response began but ended before it was complete.
    Cut,
}

/// Result of a request with its details and latencies.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Result of the request.
    pub kind: OutcomeKind,
    /// Result code of the problem object; 0 without one.
    pub code: u64,
    /// Description of what went wrong; empty for complete, correct responses.
    pub detail: String,
    /// Time to the first token or, for plain calls, to the complete response; `None` without one.
    pub first_token: Option<Duration>,
    /// Inter-token gaps.
    pub gaps: Vec<Duration>,
}

impl Outcome {
    /// Outcome of a request without a response.
    pub fn without_response(kind: OutcomeKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            code: 0,
            detail: detail.into(),
            first_token: None,
            gaps: Vec::new(),
        }
    }

    /// Outcome of a response whose status is not 200.
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

    /// Outcome of a request whose connection failed before the complete response arrived.
    pub fn of_lost_connection(entry: &Entry, detail: impl Into<String>) -> Self {
        let kind = match entry.class {
            Class::Order => OutcomeKind::Unknown,
            Class::Chat | Class::Read => OutcomeKind::Failed,
        };
        Self::without_response(kind, detail)
    }
}

/// Events of a chat stream that have arrived.
#[derive(Debug, Default)]
pub struct ChatStream {
    /// Time since sending the request, and text, of each token.
    pub tokens: Vec<(Duration, String)>,
    /// Distinct values of `id` in the chunks.
    pub ids: BTreeSet<String>,
    /// `x-request-id` header of the response.
    pub request_id: String,
    /// Whether the last chunk has a `finish_reason`.
    pub finished: bool,
    /// Whether `[DONE]` arrived and no chunk followed it.
    pub done: bool,
    /// Data of the last `error` event.
    pub error: Option<String>,
}

impl ChatStream {
    /// Checks the stream of a request for `output_tokens` tokens. `versions` lists the models and
    /// versions that engines have reported during the replay.
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
        // The tokens of a truncated response must be correct as well.
        let is_correct = versions.iter().any(|(model, version)| {
            let answer = Answer::new(model, version, prompt);
            let mut tokens = (0..).zip(&self.tokens);
            tokens.all(|(index, (_, text))| *text == answer.chunk(index))
        });
        if !is_correct {
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
        let first_token_target = Duration::from_millis(entry.first_token_ms);
        let gap_target = Duration::from_millis(entry.between_tokens_ms);
        let gaps = self.gaps();
        let late_gaps = gaps.iter().filter(|gap| **gap > gap_target).count();
        let is_first_token_on_time = self
            .tokens
            .first()
            .is_some_and(|(at, _)| *at <= first_token_target);
        if is_first_token_on_time && late_gaps * 100 <= gaps.len() * MAX_LATE_GAPS_PERCENT {
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

/// Checks the complete response to a plain call, which must echo the hash of `content`.
pub fn check_plain(entry: &Entry, content: &[u8], body: &[u8], elapsed: Duration) -> Outcome {
    let response: Value = serde_json::from_slice(body).unwrap_or_default();
    let is_correct = response["echo_hash"] == echo_hash(content);
    let is_on_time = elapsed <= Duration::from_millis(entry.first_token_ms);
    let (kind, detail) = match (is_correct, is_on_time) {
        (false, _) => (
            OutcomeKind::Wrong,
            format!("not the request's answer: {response}"),
        ),
        (true, true) => (OutcomeKind::OnTime, String::new()),
        (true, false) => (OutcomeKind::Late, String::new()),
    };
    Outcome {
        kind,
        code: 0,
        detail,
        first_token: Some(elapsed),
        gaps: Vec::new(),
    }
}
