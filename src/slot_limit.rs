//! How many requests a pool of engines takes at once, and how many of them one host may send.
//!
//! An engine's step grows with its batch, so the limit follows from the time between tokens that the
//! requests of the moment see: with the worst case that the step grows in proportion to the batch,
//! it is the largest batch that still meets the target. A host that gets most of the traffic uses
//! the room that the others leave.
//!
//! ```
//! use yuccacove::slot_limit::{PoolLoad, engine_slots, host_slots};
//!
//! let load = PoolLoad { engines: 4, hosts: 2, running: 40, running_here: 36 };
//! // Tokens 30 ms apart with 10 requests on an engine: 17 requests would take 51 ms.
//! assert_eq!(engine_slots(&load, Some(30), 61), 17);
//! // Its half of 68 slots, or what it uses and half of the 28 that nobody uses.
//! assert_eq!(host_slots(&load, 17), 50);
//! ```

use hdrhistogram::Histogram;

/// Requests on an engine at once before its time between tokens is known, and the least later. With
/// a prefill beside it a batch of this size stays below 61 ms between tokens on the slowest engines
/// of the target fleet.
pub const START_ENGINE_SLOTS: usize = 16;

/// Part of the target that the forecast may use; the rest is for prefill that comes on top.
const TARGET_USE: f64 = 0.85;

/// Times are kept for one to two of these.
const WINDOW_MS: u64 = 5_000;

/// Longest time that is told apart; a stalled engine counts as this.
const MAX_GAP_MS: u64 = 60_000;

/// Quantile that is compared with the target. Prefill lengthens few steps, so the median would not
/// show it.
const QUANTILE: f64 = 0.99;

/// Load of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLoad {
    /// Engines that take work.
    pub engines: usize,
    /// Entry hosts that share them.
    pub hosts: usize,
    /// Requests on them from all hosts, by the engines' reports.
    pub running: usize,
    /// Requests on them from this host.
    pub running_here: usize,
}

impl PoolLoad {
    /// Requests from all hosts. Reports are late, so that this host's own may exceed them.
    fn running_now(&self) -> usize {
        self.running.max(self.running_here)
    }
}

/// Requests that one engine may take at once from all hosts, when tokens are `gap_ms` apart now and
/// may be `target_ms` apart.
pub fn engine_slots(load: &PoolLoad, gap_ms: Option<u64>, target_ms: u64) -> usize {
    let Some(gap_ms) = gap_ms else {
        return START_ENGINE_SLOTS;
    };
    let batch = load.running_now() as f64 / load.engines.max(1) as f64;
    let growth = TARGET_USE * target_ms as f64 / gap_ms.max(1) as f64;
    ((batch * growth) as usize).max(START_ENGINE_SLOTS)
}

/// Requests that this host may have on the engines at once: its even share of their slots, or more
/// while other hosts leave theirs unused. Hosts that take up unused slots at the same time stay
/// within them together.
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

/// Recent times between tokens of one service's answers.
#[derive(Debug, Clone)]
pub struct TokenGaps {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_ms: u64,
}

impl TokenGaps {
    /// No times yet.
    pub fn new(now_ms: u64) -> Self {
        // Two digits are within 1%; the bounds are valid, so that this cannot fail.
        let empty = Histogram::new_with_max(MAX_GAP_MS, 2).expect("valid bounds");
        Self {
            current: empty.clone(),
            previous: empty,
            started_ms: now_ms,
        }
    }

    /// Adds the time between two tokens of an answer.
    pub fn record(&mut self, gap_ms: u64, now_ms: u64) {
        self.rotate(now_ms);
        self.current.saturating_record(gap_ms);
    }

    /// Time that 1 in 100 exceeds, in ms; `None` when there were no tokens lately.
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
