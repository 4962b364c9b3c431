//! Placement of orders: which engine of a pool is changed next, and whether it is drained.

use std::fmt::{self, Display, Formatter};

/// Percentage of a pool that may be unavailable for changes at the same time.
const MAX_UNAVAILABLE_PERCENT: usize = 10;
const MINUTE_MS: u64 = 60_000;

/// Returns how many engines of a pool of `engines` may be unavailable for changes at the same time:
/// 10%, but at least one.
pub fn max_unavailable(engines: usize) -> usize {
    (engines * MAX_UNAVAILABLE_PERCENT / 100).max(1)
}

/// State of one engine of the pool, as input of [`choose`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Engine name.
    pub name: String,
    /// Whether an order is open or in progress.
    pub is_unavailable: bool,
    /// Whether the engine differs from its desired state and can accept an order now.
    pub needs_order: bool,
    /// Whether the order makes the engine load model weights; a change of role alone does not.
    pub loads_weights: bool,
    /// Whether the operators are draining the engine, so that changing it costs no capacity.
    pub is_draining: bool,
    /// Running and waiting requests in the last report.
    pub work: u64,
}

/// Decision on one candidate, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The engine is ordered now.
    Chosen,
    /// The engine needs no order, or cannot accept one now.
    NotNeeded,
    /// The engine is already unavailable because of a change.
    Unavailable,
    /// The maximum number of engines of the pool is unavailable.
    UnavailableLimit,
    /// The rate limit for weight loads does not allow a load now.
    LoadRate,
    /// Another candidate comes first: it is being drained, has less work, or precedes by name.
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

/// Returns a decision for each candidate, in the order of `candidates`; at most one is
/// [`Decision::Chosen`]. `may_load` says whether the rate limit allows a weight load now. Draining
/// engines come first, then those with the least work, then by name.
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
    let unavailable = candidates.iter().filter(|c| c.is_unavailable).count();
    let is_limit_reached = unavailable >= max_unavailable(candidates.len());
    let mut decisions: Vec<Decision> = candidates
        .iter()
        .map(|candidate| match candidate {
            c if c.is_unavailable => Decision::Unavailable,
            c if !c.needs_order => Decision::NotNeeded,
            _ if is_limit_reached => Decision::UnavailableLimit,
            c if c.loads_weights && !may_load => Decision::LoadRate,
            _ => Decision::LaterInOrder,
        })
        .collect();
    let with_decisions = candidates.iter().zip(&mut decisions);
    let first = with_decisions
        .filter(|(_, decision)| **decision == Decision::LaterInOrder)
        .min_by_key(|(c, _)| (!c.is_draining, c.work, &c.name));
    if let Some((_, decision)) = first {
        *decision = Decision::Chosen;
    }
    decisions
}

/// Load of an engine, from its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running and waiting requests.
    pub work: u64,
    /// Time at which the engine measured the load, on this host's clock.
    pub measured_ms: u64,
}

/// Returns whether an engine has no work left and can be changed. Entry hosts stop sending to it
/// within `settle_ms` after its open intent became visible at `open_since_ms`, so only a load
/// measured later than that counts.
pub fn is_drained(open_since_ms: u64, settle_ms: u64, load: Option<Load>) -> bool {
    load.is_some_and(|load| load.work == 0 && load.measured_ms >= open_since_ms + settle_ms)
}

/// Share of the fleet-wide rate limit for weight loads that the lease holder of one pool may use.
/// The shares of all pools add up to the limit, so holders need no coordination through the store.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    interval_ms: u64,
    next_ms: u64,
}

impl LoadBudget {
    /// Creates the budget of one of `pools` model pools under a fleet-wide limit of `loads_per_min`
    /// loads a minute. A holder that acquires the lease at `now_ms` waits one interval first,
    /// because its predecessor may just have started a load.
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

    /// Returns whether a load may start at `now_ms`.
    pub fn may_load(&self, now_ms: u64) -> bool {
        now_ms >= self.next_ms
    }

    /// Records the start of a load at `now_ms`.
    pub fn record_load(&mut self, now_ms: u64) {
        self.next_ms = now_ms.saturating_add(self.interval_ms);
    }
}
