//! Capacity and timing of the engine stand-in, including the duration of its steps.

use std::time::Duration;

use yuccacove::catalogue::{EngineSpec, Role};

/// Capacity, timing and event loss of the engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Engine name in the status report.
    pub name: String,
    /// Model, version and role at start.
    pub spec: EngineSpec,
    /// Whether orders with a fencing number below the highest one seen are refused.
    pub checks_fence: bool,
    /// Prefill rate while no request decodes.
    pub prefill_tokens_per_s: f64,
    /// Total decode rate of a full batch.
    pub decode_tokens_per_s: f64,
    /// Maximum number of requests in the batch.
    pub max_batch: usize,
    /// Capacity of the prefix cache.
    pub cache_tokens: usize,
    /// Age of the load in the status report.
    pub report_lag_ms: u64,
    /// Delay until clients can see a cache event.
    pub event_lag_ms: u64,
    /// Percentage of cache events that are lost.
    pub event_loss_percent: u64,
    /// Duration of a change of model, version or role, during which no request runs.
    pub order_ms: u64,
    /// Seed of the generator that selects the lost cache events.
    pub seed: u64,
}

impl EngineConfig {
    /// Default capacity and timing of an engine called `name` that serves `spec`.
    pub fn new(name: &str, spec: EngineSpec) -> Self {
        Self {
            name: name.to_owned(),
            spec,
            checks_fence: true,
            prefill_tokens_per_s: 8_000.0,
            // Total throughput of 650,000 tokens/s divided by 930 engines.
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

    /// Duration of a step that prefills `prefill_tokens` and decodes one token for each of
    /// `decoding` requests. Half of the decode time of a full batch is independent of the batch
    /// size.
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

/// Maximum number of prefill tokens in one step. A larger chunk stalls decode for longer, so the
/// bound depends on the role.
pub(crate) fn prefill_chunk_tokens(role: Role) -> usize {
    match role {
        Role::Mixed => 128,
        Role::Prefill => 1_024,
        Role::Decode => 32,
    }
}
