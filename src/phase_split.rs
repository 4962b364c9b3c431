//! How many engines of a pool read prompts for the others, and which engine changes next.
//!
//! Generating costs little time of an engine and reading costs much, so most engines read. Enough
//! decode engines stay that the loss of one leaves room for all streams.
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

/// Part of a pool that decodes before any demand is known.
const START_DECODE_SHARE: f64 = 0.4;
/// Fewest decode engines of a pool of three or more.
const MIN_DECODE: usize = 2;
/// Part of its slots that a decode engine has in use at the peak.
const SLOT_USE: f64 = 0.5;
/// Part of its time that a prefill engine reads at the peak.
const READING_USE: f64 = 0.8;
/// Time in which a remembered peak falls by half. Bursts come back sooner than a change of phase
/// pays.
const PEAK_HALF_LIFE_MS: f64 = 20_000.0;
/// Time of observation before the demand is trusted: reading begins before its streams do.
const MATURE_MS: u64 = 4_000;
/// Time over which the reading is averaged before it counts as a peak.
const READING_WINDOW_MS: u64 = 2_000;

/// Peaks of a pool's demand, with a slow decline.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PoolDemand {
    streams_peak: f64,
    reading_peak: f64,
    prefill_ms: f64,
    window_start_ms: u64,
    first_ms: Option<u64>,
    is_mature: bool,
}

impl PoolDemand {
    /// Adds a prompt that takes `prefill_ms` on a prefill engine.
    pub fn add_prefill(&mut self, prefill_ms: f64) {
        self.prefill_ms += prefill_ms;
    }

    /// Takes the number of generations in flight at `now_ms`.
    pub fn observe(&mut self, streams: u32, now_ms: u64) {
        if self.first_ms.is_none() && (streams > 0 || self.prefill_ms > 0.0) {
            self.first_ms = Some(now_ms);
            self.window_start_ms = now_ms;
        }
        self.is_mature |= self
            .first_ms
            .is_some_and(|first_ms| now_ms >= first_ms + MATURE_MS);
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms < READING_WINDOW_MS {
            self.streams_peak = self.streams_peak.max(f64::from(streams));
            return;
        }
        let decline = 0.5_f64.powf(elapsed_ms as f64 / PEAK_HALF_LIFE_MS);
        let reading = self.prefill_ms / elapsed_ms as f64;
        self.streams_peak = (self.streams_peak * decline).max(f64::from(streams));
        self.reading_peak = (self.reading_peak * decline).max(reading);
        self.prefill_ms = 0.0;
        self.window_start_ms = now_ms;
    }

    /// Whether any demand was seen.
    pub fn is_known(&self) -> bool {
        self.first_ms.is_some()
    }

    /// Decode engines out of `engines` with `slots` each.
    pub fn decode_target(&self, engines: usize, slots: u32) -> usize {
        let decode = self.streams_peak / (f64::from(slots.max(1)) * SLOT_USE);
        let prefill = self.reading_peak / READING_USE;
        let share = if self.is_mature {
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
    /// Phase as listed, or as ordered last.
    pub phase: Phase,
    /// Whether a change of phase is under way or its outcome is unknown.
    pub is_changing: bool,
    /// Number of the engine's availability zone within the pool.
    pub zone: usize,
}

/// A change of an engine's phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Index of the engine.
    pub engine: usize,
    /// New phase.
    pub to: Phase,
}

/// The changes to order now. While the pool is idle all are made at once; under load one engine at
/// a time is away, and one engine more or less than `target` decode engines is left as it is.
pub fn next_changes(pool: &[Member], target: usize, is_idle: bool) -> Vec<Change> {
    let is_away = pool.iter().any(|member| member.is_changing);
    if pool.is_empty() || (is_away && !is_idle) {
        return Vec::new();
    }
    let decode = pool.iter().filter(|m| m.phase == Phase::Decode).count();
    let to = if decode > target {
        Phase::Prefill
    } else {
        Phase::Decode
    };
    let wanted = decode.abs_diff(target);
    let at_once = match (is_idle, wanted) {
        (true, wanted) => wanted,
        (false, 0 | 1) => 0,
        (false, _) => 1,
    };
    let mut after = pool.to_vec();
    let mut changes = Vec::new();
    for _ in 0..at_once {
        let Some(engine) = candidate(&after, to) else {
            break;
        };
        after[engine].phase = to;
        after[engine].is_changing = true;
        changes.push(Change { engine, to });
    }
    changes
}

/// The engine whose change to `to` keeps the decode engines spread over the availability zones.
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
