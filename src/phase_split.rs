//! How many engines of a pool read prompts for the others, and which engine changes next.
//!
//! Generating costs little time of an engine and reading costs much, so most engines read. Enough
//! decode engines stay that the loss of one leaves room for all streams.
//!
//! ```
//! use yuccacove::phase_split::{Member, next_changes};
//! use yuccacove::prompt_placement::Phase;
//!
//! let pool = [Member { phase: Phase::Decode, ..Member::default() }; 10];
//! let changes = next_changes(&pool, true);
//! assert_eq!(changes.len(), 8);
//! assert!(changes.iter().all(|change| change.to == Phase::Prefill));
//! ```

use crate::prompt_placement::Phase;

/// Part of a pool that decodes.
const DECODE_SHARE: f64 = 0.2;
/// Fewest decode engines of a pool of three or more.
const MIN_DECODE: usize = 2;

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

/// Number of decode engines that a pool of `engines` needs.
pub fn decode_target(engines: usize) -> usize {
    let share = (engines as f64 * DECODE_SHARE).ceil() as usize;
    share.max(MIN_DECODE).min(engines.saturating_sub(1)).max(1)
}

/// The changes to order now. While the pool is idle all are made at once; under load one engine at
/// a time is away.
pub fn next_changes(pool: &[Member], is_idle: bool) -> Vec<Change> {
    let is_away = pool.iter().any(|member| member.is_changing);
    if pool.is_empty() || (is_away && !is_idle) {
        return Vec::new();
    }
    let target = decode_target(pool.len());
    let decode = pool.iter().filter(|m| m.phase == Phase::Decode).count();
    let to = if decode > target {
        Phase::Prefill
    } else {
        Phase::Decode
    };
    let wanted = decode.abs_diff(target);
    let at_once = if is_idle { wanted } else { wanted.min(1) };
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
