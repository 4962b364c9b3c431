//! Concurrency limit of a pool of engines, and the share of it that one host may use.
//!
//! The duration of a decode step grows with the batch, so the limit follows from the current
//! inter-token gap. In the worst case the step duration is proportional to the batch; under that
//! assumption the limit is the largest batch that still meets the target. A host with most of the
//! traffic uses the slots that other hosts leave unused.
//!
//! ```
//! use yuccacove::slot_limit::{PoolLoad, engine_slots, host_slots};
//!
//! let load = PoolLoad { engines: 4, hosts: 2, running: 40, running_here: 36 };
//! // With 10 requests on an engine the gap is 30 ms; with 17 requests it would be 51 ms.
//! assert_eq!(engine_slots(&load, Some(30), 61), 17);
//! // The higher of half of 68 slots, and the 36 in use plus half of the 28 unused slots.
//! assert_eq!(host_slots(&load, 17), 50);
//! ```

use hdrhistogram::Histogram;

/// Initial and minimum concurrency limit of an engine. On the slowest engines of the target fleet,
/// a batch of this size beside a prefill stays below an inter-token gap of 61 ms.
pub const START_ENGINE_SLOTS: usize = 16;

/// Fraction of the target that the forecast may use; the rest is a margin for additional prefill.
const TARGET_SHARE: f64 = 0.85;

/// Length of a window. The quantile covers the current window and the one before it.
const WINDOW_MS: u64 = 5_000;

/// Maximum recorded gap; longer gaps, as of a stalled engine, are recorded as this.
const MAX_GAP_MS: u64 = 60_000;

/// Quantile that is compared with the target. Prefill lengthens few steps, so it does not affect
/// the median.
const QUANTILE: f64 = 0.99;

/// Load of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLoad {
    /// Number of engines that accept requests.
    pub engines: usize,
    /// Number of entry hosts that share the engines.
    pub hosts: usize,
    /// Running requests of all hosts, from the engines' reports.
    pub running: usize,
    /// Running requests of this host.
    pub running_here: usize,
}

impl PoolLoad {
    /// Returns the running requests of all hosts. Reports are delayed, so this host's own requests
    /// may exceed them.
    fn running_now(&self) -> usize {
        self.running.max(self.running_here)
    }
}

/// Returns the number of concurrent requests from all hosts that one engine may run, given the
/// current inter-token gap and its target. `gap_ms` is `None` if no gap is known.
pub fn engine_slots(load: &PoolLoad, gap_ms: Option<u64>, target_ms: u64) -> usize {
    let Some(gap_ms) = gap_ms else {
        return START_ENGINE_SLOTS;
    };
    let batch = load.running_now() as f64 / load.engines.max(1) as f64;
    let growth = TARGET_SHARE * target_ms as f64 / gap_ms.max(1) as f64;
    ((batch * growth) as usize).max(START_ENGINE_SLOTS)
}

/// Returns the number of concurrent requests that this host may have on the pool: its even share of
/// the slots, or more while other hosts leave theirs unused. Hosts that use unused slots at the
/// same time do not exceed them together.
pub fn host_slots(load: &PoolLoad, engine_slots: usize) -> usize {
    if load.engines == 0 {
        return 0;
    }
    let hosts = load.hosts.max(1);
    let total = load.engines * engine_slots;
    let unused = total.saturating_sub(load.running_now());
    let even = total.div_ceil(hosts);
    even.max(load.running_here + unused / hosts)
}

/// Recent inter-token gaps of one service.
#[derive(Debug, Clone)]
pub struct TokenGaps {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_ms: u64,
}

impl TokenGaps {
    /// Creates an empty record.
    pub fn new(now_ms: u64) -> Self {
        // Two significant digits are accurate to 1%. The bounds are valid, so this cannot fail.
        let empty = Histogram::new_with_max(MAX_GAP_MS, 2).expect("valid bounds");
        Self {
            current: empty.clone(),
            previous: empty,
            started_ms: now_ms,
        }
    }

    /// Records the gap between two tokens of a response.
    pub fn record(&mut self, gap_ms: u64, now_ms: u64) {
        self.rotate(now_ms);
        self.current.saturating_record(gap_ms);
    }

    /// Returns the 99th percentile of the gaps in ms, or `None` if there are no recent gaps.
    pub fn p99_ms(&mut self, now_ms: u64) -> Option<u64> {
        self.rotate(now_ms);
        let quantiles = [&self.current, &self.previous].map(|h| h.value_at_quantile(QUANTILE));
        let is_known = !self.current.is_empty() || !self.previous.is_empty();
        is_known.then(|| quantiles.into_iter().max().unwrap_or(0))
    }

    fn rotate(&mut self, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.started_ms) / WINDOW_MS;
        if windows == 0 {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if windows > 1 {
            self.previous.reset();
        }
        self.started_ms = now_ms;
    }
}
