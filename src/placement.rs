//! Placement of orders: which engine of a pool is taken away for a change, and when it has no work
//! left.

use std::fmt::{self, Display, Formatter};

/// Share of a pool that may be away for changes at once.
const AWAY_PERCENT: usize = 10;
const MINUTE_MS: u64 = 60_000;

/// Engines of a pool of `engines` that may be away for changes at once: 10%, and at least one.
pub fn max_unavailable(engines: usize) -> usize {
    (engines * AWAY_PERCENT / 100).max(1)
}

/// What a placement decision knows about one engine of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Engine name.
    pub name: String,
    /// Whether an order is open or in progress.
    pub is_unavailable: bool,
    /// Whether the engine holds another state than it should and can be ordered now.
    pub needs_order: bool,
    /// Whether the order loads weights; a change of role alone does not.
    pub loads_weights: bool,
    /// Whether operators drain the engine, so that its absence costs nothing.
    pub is_draining: bool,
    /// Running and waiting requests by the last report.
    pub work: u64,
}

/// Why a candidate was chosen or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The engine is ordered now.
    Chosen,
    /// The engine needs no order, or cannot be ordered now.
    NotNeeded,
    /// The engine is away already.
    Unavailable,
    /// As many engines are away as may be.
    UnavailableLimit,
    /// The fleet's rate of weight loads is used up.
    LoadRate,
    /// Another candidate has less work, or comes first by name.
    LaterInOrder,
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chosen => "chosen",
            Self::NotNeeded => "not_needed",
            Self::Unavailable => "away",
            Self::UnavailableLimit => "away_limit",
            Self::LoadRate => "load_rate",
            Self::LaterInOrder => "later_in_order",
        })
    }
}

/// A decision for each candidate, in their order; at most one is [`Decision::Chosen`]. `may_load`
/// tells whether the fleet's rate admits a weight load now. Draining engines come first, then those
/// with the least work, then by name.
///
/// ```
/// use yuccacove::placement::{choose, Candidate, Decision};
///
/// let engine = |name: &str, work| Candidate {
///     name: name.to_owned(),
///     is_unavailable: false,
///     needs_order: true,
///     loads_weights: true,
///     is_draining: false,
///     work,
/// };
/// let decisions = choose(&[engine("a", 7), engine("b", 2)], true);
/// assert_eq!(decisions, [Decision::LaterInOrder, Decision::Chosen]);
/// ```
pub fn choose(candidates: &[Candidate], may_load: bool) -> Vec<Decision> {
    let away = candidates.iter().filter(|c| c.is_unavailable).count();
    let is_full = away >= max_unavailable(candidates.len());
    let mut decisions: Vec<Decision> = candidates
        .iter()
        .map(|candidate| match candidate {
            c if c.is_unavailable => Decision::Unavailable,
            c if !c.needs_order => Decision::NotNeeded,
            _ if is_full => Decision::UnavailableLimit,
            c if c.loads_weights && !may_load => Decision::LoadRate,
            _ => Decision::LaterInOrder,
        })
        .collect();
    let open = candidates.iter().zip(&mut decisions);
    let first = open
        .filter(|(_, decision)| **decision == Decision::LaterInOrder)
        .min_by_key(|(c, _)| (!c.is_draining, c.work, &c.name));
    if let Some((_, decision)) = first {
        *decision = Decision::Chosen;
    }
    decisions
}

/// An engine's load by a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running and waiting requests.
    pub work: u64,
    /// When the load was as reported, on this host's clock.
    pub measured_ms: u64,
}

/// Whether an order may take an engine away: entry hosts stopped sending to it within `settle_ms`
/// after its open intent became visible at `open_since_ms`, and a load from after that shows no work.
pub fn is_drained(open_since_ms: u64, settle_ms: u64, load: Option<Load>) -> bool {
    load.is_some_and(|load| load.work == 0 && load.measured_ms >= open_since_ms + settle_ms)
}

/// Part of the fleet's rate of weight loads that the holder of a pool's lease may use. The parts of
/// all pools add up to the rate, whoever holds them, without a call to the store.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    interval_ms: u64,
    next_ms: u64,
}

impl LoadBudget {
    /// The part of one of `pools` model pools in `loads_per_min`, for a holder since `now_ms`. A new
    /// holder waits one interval, since its predecessor may just have used one.
    pub fn new(loads_per_min: u32, pools: usize, now_ms: u64) -> Self {
        let pools = u64::try_from(pools.max(1)).unwrap_or(u64::MAX);
        let interval_ms = match loads_per_min {
            0 => u64::MAX,
            rate => (MINUTE_MS.saturating_mul(pools)).div_ceil(u64::from(rate)),
        };
        Self {
            interval_ms,
            next_ms: now_ms.saturating_add(interval_ms),
        }
    }

    /// Whether a load may start at `now_ms`.
    pub fn may_load(&self, now_ms: u64) -> bool {
        now_ms >= self.next_ms
    }

    /// Notes the start of a load.
    pub fn note_load(&mut self, now_ms: u64) {
        self.next_ms = now_ms.saturating_add(self.interval_ms);
    }
}
