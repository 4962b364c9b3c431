//! The summary of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::check::{Outcome, OutcomeKind};
use crate::monitor::EngineChanges;
use crate::timeline::Timeline;

/// Digits to which times are exact.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Examples of answers that were not whole, in the summary.
const MAX_EXAMPLES: usize = 10;

/// Times, kept in microseconds and written in milliseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("at most 5 digits"))
    }
}

impl DurationHistogram {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        let micros = time.as_micros() as u64;
        // `saturating_record` would clip at the histogram's present size instead of resizing it.
        self.0.record(micros).expect("resizes up to any u64");
    }

    fn to_json(&self) -> Value {
        if self.0.is_empty() {
            return Value::Null;
        }
        let ms = |quantile| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        json!({"p50": ms(0.50), "p95": ms(0.95), "p99": ms(0.99)})
    }
}

/// Counts and times of a group of requests. The verdicts' counts add up to `sent`.
#[derive(Debug, Default, Clone)]
pub struct RequestStats {
    sent: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    unknown: u64,
    failed: u64,
    wrong: u64,
    cut: u64,
    by_code: BTreeMap<u64, u64>,
    first_token: DurationHistogram,
    between_tokens: DurationHistogram,
}

impl RequestStats {
    /// Adds a request.
    pub fn add(&mut self, outcome: &Outcome) {
        self.sent += 1;
        *match outcome.kind {
            OutcomeKind::OnTime => &mut self.on_time,
            OutcomeKind::Late => &mut self.late,
            OutcomeKind::Refused => &mut self.refused,
            OutcomeKind::Unknown => &mut self.unknown,
            OutcomeKind::Failed => &mut self.failed,
            OutcomeKind::Wrong => &mut self.wrong,
            OutcomeKind::Cut => &mut self.cut,
        } += 1;
        if outcome.code != 0 {
            *self.by_code.entry(outcome.code).or_default() += 1;
        }
        if let Some(first_token) = outcome.first_token {
            self.first_token.record(first_token);
        }
        for gap in &outcome.gaps {
            self.between_tokens.record(*gap);
        }
    }

    fn to_json(&self) -> Value {
        let goodput = self.on_time as f64 / self.sent.max(1) as f64;
        json!({
            "sent": self.sent,
            "on_time": self.on_time,
            "late": self.late,
            "refused": self.refused,
            "unknown": self.unknown,
            "failed": self.failed,
            "wrong": self.wrong,
            "cut": self.cut,
            "on_time_share": (goodput * 10_000.0).round() / 10_000.0,
            "by_code": self.by_code,
            "first_token_ms": self.first_token.to_json(),
            "between_tokens_ms": self.between_tokens.to_json(),
        })
    }
}

/// Runs of the requests with an idempotency key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct KeyedRuns {
    /// Distinct keys that were sent.
    pub keys: u64,
    /// Keys that never ran.
    pub not_run: u64,
    /// Keys that ran once.
    pub ran_once: u64,
    /// Keys that ran more than once.
    pub ran_more: u64,
    /// Servers without an answer, whose runs are missing.
    pub servers_without_answer: Vec<String>,
    /// Runs by key.
    pub runs: BTreeMap<String, u64>,
}

impl KeyedRuns {
    /// Runs of `keys` between two readings of the services' counters.
    pub fn between<'a>(
        keys: impl IntoIterator<Item = &'a str>,
        before: &BTreeMap<String, u64>,
        after: &BTreeMap<String, u64>,
        servers_without_answer: Vec<String>,
    ) -> Self {
        let count = |counts: &BTreeMap<String, u64>, key: &str| counts.get(key).copied();
        let runs: BTreeMap<_, _> = keys
            .into_iter()
            .map(|key| {
                let before = count(before, key).unwrap_or(0);
                let after = count(after, key).unwrap_or(0);
                // A server that has started again counts from 0.
                let runs = after.checked_sub(before).unwrap_or(after);
                (key.to_owned(), runs)
            })
            .collect();
        let having = |matches: fn(u64) -> bool| runs.values().filter(|n| matches(**n)).count();
        Self {
            keys: runs.len() as u64,
            not_run: having(|n| n == 0) as u64,
            ran_once: having(|n| n == 1) as u64,
            ran_more: having(|n| n > 1) as u64,
            servers_without_answer,
            runs,
        }
    }
}

/// All results of a replay.
#[derive(Debug, Default)]
pub struct Summary {
    /// Groups by entry.
    pub entries: BTreeMap<String, RequestStats>,
    /// Groups by name of the rank.
    pub ranks: BTreeMap<&'static str, RequestStats>,
    /// All requests.
    pub all: RequestStats,
    /// How late requests were sent.
    pub send_lag: DurationHistogram,
    /// Hosts that accepted no connection and were passed over.
    pub hosts_passed_over: u64,
    /// Time from the first request to the last answer.
    pub duration: Duration,
    /// Changes of engines.
    pub engine_changes: EngineChanges,
    /// Runs of keyed requests.
    pub keyed: KeyedRuns,
    /// Results by second.
    pub timeline: Timeline,
    examples: Vec<String>,
}

impl Summary {
    /// Adds a request.
    pub fn add(&mut self, entry: &str, rank: &'static str, outcome: &Outcome) {
        self.entries
            .entry(entry.to_owned())
            .or_default()
            .add(outcome);
        self.ranks.entry(rank).or_default().add(outcome);
        self.all.add(outcome);
        if !outcome.detail.is_empty() && self.examples.len() < MAX_EXAMPLES {
            let Outcome { kind, detail, .. } = outcome;
            self.examples.push(format!("{entry}: {kind:?}: {detail}"));
        }
    }

    /// The summary as one JSON document.
    pub fn to_json(&self) -> Value {
        let entries: Map<_, _> = self
            .entries
            .iter()
            .map(|(name, group)| (name.clone(), group.to_json()))
            .collect();
        let ranks: Map<_, _> = self
            .ranks
            .iter()
            .map(|(name, group)| ((*name).to_owned(), group.to_json()))
            .collect();
        json!({
            "duration_ms": self.duration.as_millis() as u64,
            "send_lag_ms": self.send_lag.to_json(),
            "hosts_passed_over": self.hosts_passed_over,
            "all": self.all.to_json(),
            "ranks": ranks,
            "entries": entries,
            "role_changes": self.engine_changes,
            "keyed": self.keyed,
            "timeline": self.timeline,
            "examples": self.examples,
        })
    }
}
