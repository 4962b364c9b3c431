//! Summary of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::check::{Outcome, OutcomeKind};
use crate::monitor::EngineChanges;
use crate::timeline::Timeline;

/// Significant decimal digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of unsuccessful requests that the summary lists as examples.
const MAX_EXAMPLES: usize = 10;

/// Histogram of durations, recorded in microseconds and reported in milliseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new(SIGNIFICANT_DIGITS).expect("1 to 5 significant digits are valid"))
    }
}

impl DurationHistogram {
    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = duration.as_micros() as u64;
        // `record` resizes the histogram, whereas `saturating_record` would clamp the value to its
        // current range.
        self.0
            .record(micros)
            .expect("the histogram resizes for any u64");
    }

    fn to_json(&self) -> Value {
        if self.0.is_empty() {
            return Value::Null;
        }
        let ms = |quantile| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        json!({"p50": ms(0.50), "p95": ms(0.95), "p99": ms(0.99)})
    }
}

/// Counts and latencies of a group of requests. The counts by [`OutcomeKind`] add up to `sent`.
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
    /// Adds the outcome of a request.
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
        let on_time_share = self.on_time as f64 / self.sent.max(1) as f64;
        json!({
            "sent": self.sent,
            "on_time": self.on_time,
            "late": self.late,
            "refused": self.refused,
            "unknown": self.unknown,
            "failed": self.failed,
            "wrong": self.wrong,
            "cut": self.cut,
            "on_time_share": (on_time_share * 10_000.0).round() / 10_000.0,
            "by_code": self.by_code,
            "first_token_ms": self.first_token.to_json(),
            "between_tokens_ms": self.between_tokens.to_json(),
        })
    }
}

/// Number of runs of the requests with an idempotency key, as counted by the services.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct KeyedRuns {
    /// Distinct keys that were sent.
    pub keys: u64,
    /// Keys whose request never ran.
    pub not_run: u64,
    /// Keys whose request ran once.
    pub ran_once: u64,
    /// Keys whose request ran more than once.
    pub ran_more: u64,
    /// Servers that did not respond, whose runs are not counted.
    pub servers_without_answer: Vec<String>,
    /// Runs by key.
    pub runs: BTreeMap<String, u64>,
}

impl KeyedRuns {
    /// Computes the runs of `keys` during the replay from the counters `before` and `after` it.
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
                // A restarted server counts from 0 again.
                let runs = after.checked_sub(before).unwrap_or(after);
                (key.to_owned(), runs)
            })
            .collect();
        let count_keys = |matches: fn(u64) -> bool| runs.values().filter(|n| matches(**n)).count();
        Self {
            keys: runs.len() as u64,
            not_run: count_keys(|n| n == 0) as u64,
            ran_once: count_keys(|n| n == 1) as u64,
            ran_more: count_keys(|n| n > 1) as u64,
            servers_without_answer,
            runs,
        }
    }
}

/// Results of a replay.
#[derive(Debug, Default)]
pub struct Summary {
    /// Statistics by entry.
    pub entries: BTreeMap<String, RequestStats>,
    /// Statistics by name of the rank.
    pub ranks: BTreeMap<&'static str, RequestStats>,
    /// Statistics of all requests.
    pub all: RequestStats,
    /// Delay between the due time of each request and its sending.
    pub send_lag: DurationHistogram,
    /// Number of failed attempts to connect to an entry host.
    pub hosts_passed_over: u64,
    /// Time from the start of the replay to the last response.
    pub duration: Duration,
    /// Orders and role changes of the engines.
    pub engine_changes: EngineChanges,
    /// Runs of requests with an idempotency key.
    pub keyed: KeyedRuns,
    /// Results by rank and second.
    pub timeline: Timeline,
    examples: Vec<String>,
}

impl Summary {
    /// Adds the outcome of a request.
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

    /// Converts the summary into a JSON document.
    pub fn to_json(&self) -> Value {
        let entries: Map<_, _> = self
            .entries
            .iter()
            .map(|(name, stats)| (name.clone(), stats.to_json()))
            .collect();
        let ranks: Map<_, _> = self
            .ranks
            .iter()
            .map(|(name, stats)| ((*name).to_owned(), stats.to_json()))
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
