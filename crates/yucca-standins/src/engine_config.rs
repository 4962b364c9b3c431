//! Capacity and habits of the engine stand-in, and the time that its steps take.

use std::time::Duration;

use yuccacove::catalogue::{EngineSpec, Role};

/// Capacity and habits of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name that the status reports.
    pub name: String,
    /// Model, version and role at the start.
    pub spec: EngineSpec,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Speed of prefill when nothing else runs.
    pub prefill_tokens_per_s: f64,
    /// Speed of decode of a full batch.
    pub decode_tokens_per_s: f64,
    /// Requests in the batch.
    pub max_batch: usize,
    /// Size of the prefix cache.
    pub cache_tokens: usize,
    /// Age of the load that the status reports.
    pub report_lag_ms: u64,
    /// Time until a cache event is visible.
    pub event_lag_ms: u64,
    /// Share of cache events that are lost.
    pub event_loss_percent: u64,
    /// Absence during a change of model, version or role.
    pub order_ms: u64,
    /// Selects the lost cache events.
    pub seed: u64,
}

impl EngineConfig {
    /// Default capacity and habits of an engine called `name` that holds `spec`.
    pub fn new(name: &str, spec: EngineSpec) -> Self {
        Self {
            name: name.to_owned(),
            spec,
            checks_fence: true,
            prefill_tokens_per_s: 8_000.0,
            // An engine's share of 650,000 tokens/s on 930 engines.
            decode_tokens_per_s: 700.0,
            max_batch: 32,
            cache_tokens: 100_000,
            report_lag_ms: 200,
            event_lag_ms: 200,
            event_loss_percent: 0,
            order_ms: 3_000,
            seed: 1,
        }
    }

    /// Duration of a step that prefills `prefill_tokens` and decodes one token of `decoding`
    /// requests. Half of a full batch's decode time does not depend on the batch's size.
    pub fn step_duration(&self, prefill_tokens: usize, decoding: usize) -> Duration {
        let prefill_s = prefill_tokens as f64 / self.prefill_tokens_per_s;
        let full_decode_s = self.max_batch as f64 / self.decode_tokens_per_s;
        let decode_s = if decoding == 0 {
            0.0
        } else {
            full_decode_s * (0.5 + 0.5 * decoding as f64 / self.max_batch as f64)
        };
        Duration::from_secs_f64(prefill_s + decode_s)
    }
}

/// Tokens that one step prefills at most; the role sets how far prefill may stall decode.
pub(crate) fn prefill_chunk_tokens(role: Role) -> usize {
    match role {
        Role::Mixed => 128,
        Role::Prefill => 1_024,
        Role::Decode => 32,
    }
}
