//! Planner of engine roles: decides which engine of a pool, if any, changes its role.
//!
//! An engine is unavailable for seconds while it changes its role. A change is ordered only if its
//! gain, over the time for which the current mix of demand is expected to last, exceeds the cost of
//! the lost capacity.

use std::collections::VecDeque;
use std::str::FromStr;

use crate::catalogue::Role;
use crate::routing::{START_DECODE_TOKENS_PER_S, START_PREFILL_TOKENS_PER_S};

/// Usable fraction of an engine's time. Above it queues grow faster than they are processed.
const USABLE_UTILISATION: f64 = 0.85;
/// Capacity of a mixed engine as a fraction of that of other engines; prefill stalls its decode
/// steps.
const MIXED_EFFICIENCY: f64 = 0.9;
/// Time constant of the exponential moving average of the demand.
const MEAN_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Change of the mean demand, as a fraction of the total demand, that starts a new phase of the
/// mix.
const PHASE_SHIFT_FRACTION: f64 = 0.15;
/// Number of past phases whose lengths are recorded.
const MAX_PHASE_HISTORY: usize = 8;
/// Minimum number of past phases for predicting the length of the current one.
const MIN_PHASES: usize = 3;
/// Upper bound of the predicted remaining length of a phase.
const MAX_REMAINING_MS: u64 = 600_000;
/// Maximum age in ms of the last demand report for a change to be ordered.
pub const MAX_REPORT_AGE_MS: u64 = 10_000;
/// Time in ms after a change of the lease holder in which engines that do not check fencing numbers
/// get no role changes, because a delayed order of the previous holder could still arrive.
pub const UNFENCED_WAIT_MS: u64 = 60_000;
/// Factor by which the gain must exceed the cost, because both are estimates.
const GAIN_MARGIN: f64 = 1.5;

/// Difference between the prefill share of the demand and the share of prefill engines above which
/// the threshold policy changes a role.
const SHARE_THRESHOLD: f64 = 0.1;

/// Policy that decides the roles of a pool's engines.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RolesPolicy {
    /// A change must gain more than the lost capacity costs, see [`plan`].
    #[default]
    Planned,
    /// Follows the prefill share of the demand, see [`plan_by_threshold`]. Baseline for comparison.
    Threshold,
    /// Keeps the roles that the operators set.
    Fixed,
}

impl FromStr for RolesPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "planned" => Ok(Self::Planned),
            "threshold" => Ok(Self::Threshold),
            "fixed" => Ok(Self::Fixed),
            _ => Err(()),
        }
    }
}

/// Demand on a pool, in engine-seconds per second.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Demand for prefill.
    pub prefill: f64,
    /// Demand for decode.
    pub decode: f64,
}

impl Demand {
    /// Returns the engine-seconds for the given numbers of tokens, at the initial rates of
    /// [`routing`](crate::routing). The rates that the router learns follow the fastest samples and
    /// would underestimate the demand by a third.
    pub fn of_tokens(prefill_tokens: f64, decode_tokens: f64) -> Self {
        Self {
            prefill: prefill_tokens / START_PREFILL_TOKENS_PER_S,
            decode: decode_tokens / START_DECODE_TOKENS_PER_S,
        }
    }

    fn total(self) -> f64 {
        self.prefill + self.decode
    }
}

/// Running estimate of the demand on a pool and of how long its mix lasts.
#[derive(Debug)]
pub struct DemandEstimate {
    mean: Demand,
    variance: Demand,
    phase_start: Demand,
    phase_start_ms: u64,
    phase_lengths_ms: VecDeque<u64>,
    updated_ms: Option<u64>,
}

impl DemandEstimate {
    /// Creates an estimate without observations.
    pub fn new(now_ms: u64) -> Self {
        Self {
            mean: Demand::default(),
            variance: Demand::default(),
            phase_start: Demand::default(),
            phase_start_ms: now_ms,
            phase_lengths_ms: VecDeque::new(),
            updated_ms: None,
        }
    }

    /// Adds the demand since the last observation.
    pub fn observe(&mut self, demand: Demand, now_ms: u64) {
        let Some(updated_ms) = self.updated_ms.replace(now_ms) else {
            self.mean = demand;
            self.phase_start = demand;
            self.phase_start_ms = now_ms;
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / MEAN_TIME_CONSTANT_MS).exp();
        update_mean_and_variance(
            &mut self.mean.prefill,
            &mut self.variance.prefill,
            demand.prefill,
            weight,
        );
        update_mean_and_variance(
            &mut self.mean.decode,
            &mut self.variance.decode,
            demand.decode,
            weight,
        );
        self.detect_phase(now_ms);
    }

    /// Returns the mean demand.
    pub fn mean(&self) -> Demand {
        self.mean
    }

    /// Returns the time in ms for which the current mix of demand is expected to last. It is based
    /// on the median length of past phases. A phase that has exceeded the median, or that has too
    /// few phases before it, is expected to last for as long again as it has lasted so far.
    pub fn expected_remaining_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.phase_start_ms);
        let remaining_ms = match self.median_phase_ms() {
            Some(median_ms) if age_ms < median_ms => median_ms - age_ms,
            _ => age_ms,
        };
        remaining_ms.min(MAX_REMAINING_MS)
    }

    fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.updated_ms?))
    }

    fn deviation(&self) -> Demand {
        Demand {
            prefill: self.variance.prefill.sqrt(),
            decode: self.variance.decode.sqrt(),
        }
    }

    fn detect_phase(&mut self, now_ms: u64) {
        let threshold = PHASE_SHIFT_FRACTION * self.mean.total().max(self.phase_start.total());
        let shift = (self.mean.prefill - self.phase_start.prefill)
            .abs()
            .max((self.mean.decode - self.phase_start.decode).abs());
        if shift <= threshold {
            return;
        }
        if self.phase_lengths_ms.len() == MAX_PHASE_HISTORY {
            self.phase_lengths_ms.pop_front();
        }
        let length_ms = now_ms.saturating_sub(self.phase_start_ms);
        self.phase_lengths_ms.push_back(length_ms);
        self.phase_start = self.mean;
        self.phase_start_ms = now_ms;
    }

    fn median_phase_ms(&self) -> Option<u64> {
        if self.phase_lengths_ms.len() < MIN_PHASES {
            return None;
        }
        let mut lengths_ms: Vec<u64> = self.phase_lengths_ms.iter().copied().collect();
        lengths_ms.sort_unstable();
        Some(lengths_ms[lengths_ms.len() / 2])
    }
}

fn update_mean_and_variance(mean: &mut f64, variance: &mut f64, value: f64, weight: f64) {
    let difference = value - *mean;
    *mean += weight * difference;
    *variance = (1.0 - weight) * (*variance + weight * difference * difference);
}

/// State of an engine, as input of the planner. Its index in the slice identifies the engine.
#[derive(Debug, Clone, Copy)]
pub struct PoolEngine {
    /// Current role.
    pub role: Role,
    /// Whether the engine serves requests; false while it is changing, draining or unreachable.
    pub is_serving: bool,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fence: bool,
    /// Engine-seconds of work that the engine must finish before it can change.
    pub busy_s: f64,
}

/// Parameters of a planning pass.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Current time.
    pub now_ms: u64,
    /// Time at which this host acquired the pool's lease.
    pub holder_since_ms: u64,
    /// Duration of a role change in ms, without the drain before it.
    pub change_ms: u64,
}

/// Role change that was evaluated, also for the log line of the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index of the engine.
    pub engine: usize,
    /// New role.
    pub to: Role,
    /// Engine-seconds of unserved demand that the change avoids while the mix lasts.
    pub gain_s: f64,
    /// Engine-seconds lost while the engine is unavailable: its own time and the additional
    /// unserved demand.
    pub cost_s: f64,
}

/// Reason for not ordering a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// There is no recent demand report.
    ReportsTooOld,
    /// The maximum number of engines is unavailable.
    EnginesAway,
    /// No change gains sufficiently more than it costs.
    NoGain,
}

/// Result of a planning pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// Order no change, with the best candidate if any was evaluated.
    Keep(KeepReason, Option<Candidate>),
    /// Order this change.
    Change(Candidate),
}

/// Decides by [`RolesPolicy::Planned`] whether an engine of a pool changes its role, and which.
pub fn plan(engines: &[PoolEngine], estimate: &DemandEstimate, input: PlanInput) -> Plan {
    if let Some(reason) = blocking_reason(engines, estimate, input) {
        return Plan::Keep(reason, None);
    }
    let best = candidates(engines, estimate, input)
        .into_iter()
        .max_by(|a, b| (a.gain_s - a.cost_s).total_cmp(&(b.gain_s - b.cost_s)));
    match best {
        Some(candidate) if candidate.gain_s > GAIN_MARGIN * candidate.cost_s => {
            Plan::Change(candidate)
        }
        other => Plan::Keep(KeepReason::NoGain, other),
    }
}

/// Returns all changes that [`plan`] evaluates: for each pair of roles, the change of the engine
/// that is easiest to drain. Excludes changes during or after which the pool could not run both
/// prefill and decode.
pub fn candidates(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
) -> Vec<Candidate> {
    Role::ALL
        .into_iter()
        .filter_map(|from| Some((from, easiest_to_drain(engines, from, input)?)))
        .flat_map(|(from, engine)| {
            let others = Role::ALL.into_iter().filter(move |to| *to != from);
            others.map(move |to| (from, to, engine))
        })
        .filter_map(|(from, to, engine)| evaluate(engines, estimate, input, from, to, engine))
        .collect()
}

/// Decides by [`RolesPolicy::Threshold`]: changes a role when the prefill share of the demand
/// differs from the share of prefill engines by more than 10 percentage points, regardless of the
/// cost.
pub fn plan_by_threshold(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
) -> Plan {
    if let Some(reason) = blocking_reason(engines, estimate, input) {
        return Plan::Keep(reason, None);
    }
    let demand = estimate.mean();
    let capacity = Capacity::of(engines);
    let keep = Plan::Keep(KeepReason::NoGain, None);
    if demand.total() <= 0.0 {
        return keep;
    }
    let serving: f64 = capacity.engines.iter().sum();
    let excess_demand_share =
        demand.prefill / demand.total() - capacity.count(Role::Prefill) / serving;
    // Both branches use arrays of the same length, so that their types match.
    let (sources, to) = if excess_demand_share > SHARE_THRESHOLD {
        ([Role::Mixed, Role::Decode], Role::Prefill)
    } else if excess_demand_share < -SHARE_THRESHOLD {
        ([Role::Prefill, Role::Prefill], Role::Decode)
    } else {
        return keep;
    };
    sources
        .into_iter()
        .filter(|from| capacity.count(*from) >= 1.0)
        .filter(|from| {
            let during = capacity.without(*from);
            during.can_serve() && during.with(to).can_serve()
        })
        .find_map(|from| easiest_to_drain(engines, from, input))
        .map_or(keep, |engine| {
            Plan::Change(Candidate {
                engine,
                to,
                gain_s: 0.0,
                cost_s: 0.0,
            })
        })
}

/// Returns the reason why no change may be ordered, regardless of its gain.
fn blocking_reason(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
) -> Option<KeepReason> {
    match estimate.age_ms(input.now_ms) {
        Some(age_ms) if age_ms <= MAX_REPORT_AGE_MS => {}
        _ => return Some(KeepReason::ReportsTooOld),
    }
    let unavailable = engines.iter().filter(|engine| !engine.is_serving).count();
    (unavailable >= (engines.len() / 10).max(1)).then_some(KeepReason::EnginesAway)
}

fn easiest_to_drain(engines: &[PoolEngine], role: Role, input: PlanInput) -> Option<usize> {
    let held_ms = input.now_ms.saturating_sub(input.holder_since_ms);
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.is_serving && engine.role == role)
        .filter(|(_, engine)| engine.checks_fence || held_ms >= UNFENCED_WAIT_MS)
        .min_by(|(_, a), (_, b)| {
            let key = |engine: &PoolEngine| !engine.checks_fence;
            key(a).cmp(&key(b)).then(a.busy_s.total_cmp(&b.busy_s))
        })
        .map(|(index, _)| index)
}

fn evaluate(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
    from: Role,
    to: Role,
    engine: usize,
) -> Option<Candidate> {
    let now = Capacity::of(engines);
    let during = now.without(from);
    let after = during.with(to);
    if !after.can_serve() || !during.can_serve() {
        return None;
    }
    let unavailable_s = input.change_ms as f64 / 1_000.0 + engines[engine].busy_s;
    let remaining_s = estimate.expected_remaining_ms(input.now_ms) as f64 / 1_000.0;
    let served_s = (remaining_s - unavailable_s).max(0.0);
    // Takes the lowest gain for demands within one standard deviation; otherwise noise alone would
    // cause changes.
    let (mean, deviation) = (estimate.mean(), estimate.deviation());
    let gain = [(0.0, 0.0), (-1.0, 1.0), (1.0, -1.0)]
        .into_iter()
        .map(|(prefill_sign, decode_sign)| Demand {
            prefill: (mean.prefill + prefill_sign * deviation.prefill).max(0.0),
            decode: (mean.decode + decode_sign * deviation.decode).max(0.0),
        })
        .map(|demand| now.unserved(demand) - after.unserved(demand))
        .fold(f64::INFINITY, f64::min);
    let lost = during.unserved(mean) - now.unserved(mean);
    Some(Candidate {
        engine,
        to,
        gain_s: gain * served_s,
        cost_s: (lost.max(0.0) + 1.0) * unavailable_s,
    })
}

/// Number of serving engines by role.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    engines: [f64; 3],
}

impl Capacity {
    fn of(engines: &[PoolEngine]) -> Self {
        let mut counts = [0.0; 3];
        for engine in engines.iter().filter(|engine| engine.is_serving) {
            counts[engine.role as usize] += 1.0;
        }
        Self { engines: counts }
    }

    fn without(mut self, role: Role) -> Self {
        self.engines[role as usize] -= 1.0;
        self
    }

    fn with(mut self, role: Role) -> Self {
        self.engines[role as usize] += 1.0;
        self
    }

    fn count(self, role: Role) -> f64 {
        self.engines[role as usize]
    }

    /// Returns whether at least one engine can run prefill and at least one can run decode.
    fn can_serve(self) -> bool {
        let mixed = self.count(Role::Mixed);
        mixed + self.count(Role::Prefill) >= 1.0 && mixed + self.count(Role::Decode) >= 1.0
    }

    /// Returns the demand beyond the capacity, in engine-seconds per second.
    fn unserved(self, demand: Demand) -> f64 {
        let beyond =
            |demand: f64, role: Role| (demand - USABLE_UTILISATION * self.count(role)).max(0.0);
        let left = beyond(demand.prefill, Role::Prefill) + beyond(demand.decode, Role::Decode);
        let mixed = USABLE_UTILISATION * MIXED_EFFICIENCY * self.count(Role::Mixed);
        (left - mixed).max(0.0)
    }
}
