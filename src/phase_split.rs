//! Split of an engine pool between the prefill and decode phases, and which engines change phase.
//!
//! Prefill takes far more engine time than decode, so most engines run prefill. The number of
//! decode engines leaves enough free slots for all streams to continue after the loss of one
//! engine.
//!
//! ```
//! use yuccacove::phase_split::{Member, PoolDemand, next_changes};
//! use yuccacove::prompt_placement::Phase;
//!
//! let pool = [Member { phase: Phase::Decode, ..Member::default() }; 10];
//! let target = PoolDemand::default().decode_target(pool.len(), 64);
//! let changes = next_changes(&pool, target, true);
//! assert_eq!(changes.len(), 6);
//! assert!(changes.iter().all(|change| change.to == Phase::Prefill));
//! ```

use crate::prompt_placement::Phase;

/// Fraction of a pool that decodes before the demand is known.
const START_DECODE_SHARE: f64 = 0.4;
/// Minimum number of decode engines in a pool of three or more.
const MIN_DECODE: usize = 2;
/// Target fraction of a decode engine's slots in use at peak demand.
const SLOT_UTILISATION: f64 = 0.5;
/// Target fraction of time that a prefill engine is busy at peak demand.
const PREFILL_UTILISATION: f64 = 0.8;
/// Half-life of a recorded peak. It is long because bursts recur sooner than a change of phase pays
/// off.
const PEAK_HALF_LIFE_MS: f64 = 20_000.0;
/// Observation time before the demand is used: prefill is observed before the streams that follow
/// it.
const MIN_OBSERVATION_MS: u64 = 4_000;
/// Interval over which prefill load is averaged to find its peak.
const PREFILL_WINDOW_MS: u64 = 2_000;

/// Peak demand of a pool, with exponential decay.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PoolDemand {
    streams_peak: f64,
    prefill_peak: f64,
    prefill_ms: f64,
    window_start_ms: u64,
    first_ms: Option<u64>,
    is_reliable: bool,
}

impl PoolDemand {
    /// Adds a prompt whose prefill takes `prefill_ms` milliseconds on a prefill engine.
    pub fn add_prefill(&mut self, prefill_ms: f64) {
        self.prefill_ms += prefill_ms;
    }

    /// Records the number of streams that are being decoded at `now_ms`.
    pub fn observe(&mut self, streams: u32, now_ms: u64) {
        if self.first_ms.is_none() && (streams > 0 || self.prefill_ms > 0.0) {
            self.first_ms = Some(now_ms);
            self.window_start_ms = now_ms;
        }
        self.is_reliable |= self
            .first_ms
            .is_some_and(|first_ms| now_ms >= first_ms + MIN_OBSERVATION_MS);
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms < PREFILL_WINDOW_MS {
            self.streams_peak = self.streams_peak.max(f64::from(streams));
            return;
        }
        let decay = 0.5_f64.powf(elapsed_ms as f64 / PEAK_HALF_LIFE_MS);
        let prefill = self.prefill_ms / elapsed_ms as f64;
        self.streams_peak = (self.streams_peak * decay).max(f64::from(streams));
        self.prefill_peak = (self.prefill_peak * decay).max(prefill);
        self.prefill_ms = 0.0;
        self.window_start_ms = now_ms;
    }

    /// Returns whether any demand has been observed.
    pub fn is_known(&self) -> bool {
        self.first_ms.is_some()
    }

    /// Returns how many of `engines` engines, with `slots` slots each, are to decode. At least
    /// one engine is left for prefill, except in a pool of one.
    pub fn decode_target(&self, engines: usize, slots: u32) -> usize {
        let decode = self.streams_peak / (f64::from(slots.max(1)) * SLOT_UTILISATION);
        let prefill = self.prefill_peak / PREFILL_UTILISATION;
        let share = if self.is_reliable {
            decode / (decode + prefill)
        } else {
            START_DECODE_SHARE
        };
        let target = (engines as f64 * share).round() as usize;
        target.max(MIN_DECODE).min(engines.saturating_sub(1)).max(1)
    }
}

/// An engine of a pool.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Phase in the directory, or in the last order if there is one.
    pub phase: Phase,
    /// Whether a change of phase is in progress or has an unknown outcome.
    pub is_changing: bool,
    /// Index of the engine's availability zone.
    pub zone: usize,
}

/// A change of an engine's phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Index of the engine in the pool.
    pub engine: usize,
    /// New phase.
    pub to: Phase,
}

/// Returns the changes to order now, to reach `target` decode engines. An idle pool makes all
/// changes at once. A pool under load changes one engine at a time, and ignores a difference of one
/// engine.
pub fn next_changes(pool: &[Member], target: usize, is_idle: bool) -> Vec<Change> {
    let is_any_changing = pool.iter().any(|member| member.is_changing);
    if pool.is_empty() || (is_any_changing && !is_idle) {
        return Vec::new();
    }
    let decode = pool.iter().filter(|m| m.phase == Phase::Decode).count();
    let to = if decode > target {
        Phase::Prefill
    } else {
        Phase::Decode
    };
    let difference = decode.abs_diff(target);
    let max_changes = match (is_idle, difference) {
        (true, difference) => difference,
        (false, 0 | 1) => 0,
        (false, _) => 1,
    };
    let mut after = pool.to_vec();
    let mut changes = Vec::new();
    for _ in 0..max_changes {
        let Some(engine) = candidate(&after, to) else {
            break;
        };
        after[engine].phase = to;
        after[engine].is_changing = true;
        changes.push(Change { engine, to });
    }
    changes
}

/// Returns the changes to order at once after the sudden loss of many engines, to reach `target`
/// decode engines of those that are left. A phase may have lost most of its engines, and one change at
/// a time would take longer than the loss lasts. Changes in progress count as done.
pub fn changes_after_loss(pool: &[Member], target: usize) -> Vec<Change> {
    let decode = pool.iter().filter(|m| m.phase == Phase::Decode).count();
    let prefill = pool.len() - decode;
    let (to, left, wanted) = if decode > target {
        (Phase::Prefill, prefill, pool.len().saturating_sub(target))
    } else {
        (Phase::Decode, decode, target)
    };
    let difference = decode.abs_diff(target);
    let is_worth = difference > 1 || (difference == 1 && left * 2 <= wanted);
    let mut after = pool.to_vec();
    let mut changes = Vec::new();
    while is_worth && changes.len() < difference {
        let Some(engine) = candidate(&after, to) else {
            break;
        };
        after[engine].phase = to;
        after[engine].is_changing = true;
        changes.push(Change { engine, to });
    }
    changes
}

/// Selects the engine whose change to phase `to` keeps the decode engines spread over the
/// availability zones.
fn candidate(pool: &[Member], to: Phase) -> Option<usize> {
    let decode_in = |zone| {
        let in_zone = pool.iter().filter(|m| m.zone == zone);
        in_zone.filter(|m| m.phase == Phase::Decode).count()
    };
    let free = pool
        .iter()
        .enumerate()
        .filter(|(_, m)| m.phase != to && !m.is_changing);
    match to {
        Phase::Prefill => free.max_by_key(|(_, m)| decode_in(m.zone)),
        Phase::Decode => free.min_by_key(|(_, m)| decode_in(m.zone)),
    }
    .map(|(engine, _)| engine)
}
