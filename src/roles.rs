//! Planner of engine roles: which engine, if any, changes its role.
//!
//! A role change takes an engine away for seconds, so a change is ordered only if its gain over the
//! time that the mix is expected to last exceeds what the absence costs.

use std::collections::VecDeque;
use std::str::FromStr;

use crate::catalogue::Role;
use crate::routing::{START_DECODE_TOKENS_PER_S, START_PREFILL_TOKENS_PER_S};

/// Part of an engine's time that can be planned; above it queues grow faster than work is served.
const USABLE_UTILISATION: f64 = 0.85;
/// Part of its capacity that a mixed engine keeps, as prefill steps stall its decodes.
const MIXED_EFFICIENCY: f64 = 0.9;
/// Time constant of the demand's running mean.
const MEAN_TIME_CONSTANT_MS: f64 = 4_000.0;
/// A shift of the mean by this part of all demand starts a new phase of the mix.
const PHASE_SHIFT_FRACTION: f64 = 0.15;
/// Phases whose lengths are remembered.
const REMEMBERED_PHASES: usize = 8;
/// Phases that must have been seen before their lengths say how long the present one lasts.
const MIN_PHASES: usize = 3;
/// Longest stay of a mix that is counted on.
const MAX_STAY_MS: u64 = 600_000;
/// Oldest demand report on which a change is ordered.
pub const MAX_REPORT_AGE_MS: u64 = 10_000;
/// Time after a change of the lease's holder without role changes on engines that do not check
/// fencing numbers; a late order of the former holder could follow.
pub const UNCHECKED_HOLD_MS: u64 = 60_000;
/// The gain must exceed the cost by this factor, since both are estimates.
const GAIN_MARGIN: f64 = 1.5;

/// Difference between the prefill shares of demand and engines above which the threshold policy
/// switches an engine.
const SWITCH_THRESHOLD: f64 = 0.1;

/// How the roles of a pool's engines are decided.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RolesPolicy {
    /// A change must gain more than its absence costs, see [`plan`].
    #[default]
    Planned,
    /// Follows the prefill share of the demand, see [`plan_by_threshold`]; a baseline for comparison.
    Threshold,
    /// Roles stay as the operators set them.
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

/// Demand of a pool, in engine-seconds a second.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Prefill.
    pub prefill: f64,
    /// Decode.
    pub decode: f64,
}

impl Demand {
    /// Engine-seconds of prefill and decode of a request, at routing's start rates. The rates that
    /// routing learns follow the fastest samples, by which demand came out a third too low.
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

/// Running estimate of a pool's demand and of how long its mix lasts.
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
    /// Starts without knowledge.
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

    /// Takes the demand of the time since the last observation.
    pub fn observe(&mut self, demand: Demand, now_ms: u64) {
        let Some(updated_ms) = self.updated_ms.replace(now_ms) else {
            self.mean = demand;
            self.phase_start = demand;
            self.phase_start_ms = now_ms;
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / MEAN_TIME_CONSTANT_MS).exp();
        update(
            &mut self.mean.prefill,
            &mut self.variance.prefill,
            demand.prefill,
            weight,
        );
        update(
            &mut self.mean.decode,
            &mut self.variance.decode,
            demand.decode,
            weight,
        );
        self.detect_phase(now_ms);
    }

    /// Mean demand.
    pub fn mean(&self) -> Demand {
        self.mean
    }

    /// Time for which the mix is expected to stay as it is. The median length of earlier phases
    /// says so; a phase that outlives it, or has few before it, is expected to last as long again
    /// as it has lasted.
    pub fn expected_stay_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.phase_start_ms);
        let stay_ms = match self.median_phase_ms() {
            Some(median_ms) if age_ms < median_ms => median_ms - age_ms,
            _ => age_ms,
        };
        stay_ms.min(MAX_STAY_MS)
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
        if self.phase_lengths_ms.len() == REMEMBERED_PHASES {
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

fn update(mean: &mut f64, variance: &mut f64, value: f64, weight: f64) {
    let difference = value - *mean;
    *mean += weight * difference;
    *variance = (1.0 - weight) * (*variance + weight * difference * difference);
}

/// An engine as the planner sees it. Its position in the slice identifies it.
#[derive(Debug, Clone, Copy)]
pub struct PoolEngine {
    /// Role that it holds.
    pub role: Role,
    /// Whether it serves; false while it changes, drains or is unreachable.
    pub is_serving: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Engine-seconds of work that it must finish before it can change.
    pub busy_s: f64,
}

/// Circumstances of a planning pass.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput {
    /// Time of the pass.
    pub now_ms: u64,
    /// Time since when this host holds the pool's lease.
    pub holder_since_ms: u64,
    /// Time that a role change takes, without the drain before it.
    pub change_ms: u64,
}

/// A change that was weighed, for the log line of the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Position of the engine.
    pub engine: usize,
    /// Role that it would get.
    pub to: Role,
    /// Engine-seconds of unserved demand that the change avoids while the mix stays.
    pub gain_s: f64,
    /// Engine-seconds of demand left unserved during the absence, and of the engine itself.
    pub cost_s: f64,
}

/// Why no change is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepReason {
    /// No demand report, or only old ones.
    ReportsTooOld,
    /// As many engines are away as may be.
    EnginesAway,
    /// No change gains more than it costs.
    NoGain,
}

/// Result of a planning pass.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plan {
    /// No change; the best candidate, if any was weighed.
    Keep(KeepReason, Option<Candidate>),
    /// Order this change.
    Change(Candidate),
}

/// Decides whether an engine of a pool changes its role.
pub fn plan(engines: &[PoolEngine], estimate: &DemandEstimate, input: PlanInput) -> Plan {
    if let Some(reason) = hindrance(engines, estimate, input) {
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

/// All changes that [`plan`] weighs: for each pair of roles, the engine that is easiest to drain.
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
        .filter_map(|(from, to, engine)| weigh(engines, estimate, input, from, to, engine))
        .collect()
}

/// The baseline that [`plan`] is compared with: switches an engine when the prefill share of the
/// demand differs from the share of prefill engines by more than 10 points, whatever it costs.
pub fn plan_by_threshold(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
) -> Plan {
    if let Some(reason) = hindrance(engines, estimate, input) {
        return Plan::Keep(reason, None);
    }
    let demand = estimate.mean();
    let capacity = Capacity::of(engines);
    let keep = Plan::Keep(KeepReason::NoGain, None);
    if demand.total() <= 0.0 {
        return keep;
    }
    let serving: f64 = capacity.engines.iter().sum();
    let missing = demand.prefill / demand.total() - capacity.count(Role::Prefill) / serving;
    let (froms, to) = if missing > SWITCH_THRESHOLD {
        ([Role::Mixed, Role::Decode], Role::Prefill)
    } else if missing < -SWITCH_THRESHOLD {
        ([Role::Prefill, Role::Prefill], Role::Decode)
    } else {
        return keep;
    };
    froms
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

/// What forbids any change, whatever it gains.
fn hindrance(
    engines: &[PoolEngine],
    estimate: &DemandEstimate,
    input: PlanInput,
) -> Option<KeepReason> {
    match estimate.age_ms(input.now_ms) {
        Some(age_ms) if age_ms <= MAX_REPORT_AGE_MS => {}
        _ => return Some(KeepReason::ReportsTooOld),
    }
    let away = engines.iter().filter(|engine| !engine.is_serving).count();
    (away >= (engines.len() / 10).max(1)).then_some(KeepReason::EnginesAway)
}

fn easiest_to_drain(engines: &[PoolEngine], role: Role, input: PlanInput) -> Option<usize> {
    let held_ms = input.now_ms.saturating_sub(input.holder_since_ms);
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.is_serving && engine.role == role)
        .filter(|(_, engine)| engine.checks_fence || held_ms >= UNCHECKED_HOLD_MS)
        .min_by(|(_, a), (_, b)| {
            let key = |engine: &PoolEngine| !engine.checks_fence;
            key(a).cmp(&key(b)).then(a.busy_s.total_cmp(&b.busy_s))
        })
        .map(|(index, _)| index)
}

fn weigh(
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
    let absence_s = input.change_ms as f64 / 1_000.0 + engines[engine].busy_s;
    let stay_s = estimate.expected_stay_ms(input.now_ms) as f64 / 1_000.0;
    let served_s = (stay_s - absence_s).max(0.0);
    // The gain must hold for any demand within one deviation, or noise alone would order changes.
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
        cost_s: (lost.max(0.0) + 1.0) * absence_s,
    })
}

/// Serving engines of each role.
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

    /// Whether some engine can prefill and some engine can decode.
    fn can_serve(self) -> bool {
        let mixed = self.count(Role::Mixed);
        mixed + self.count(Role::Prefill) >= 1.0 && mixed + self.count(Role::Decode) >= 1.0
    }

    /// Demand beyond the capacity, in engine-seconds a second.
    fn unserved(self, demand: Demand) -> f64 {
        let beyond =
            |demand: f64, role: Role| (demand - USABLE_UTILISATION * self.count(role)).max(0.0);
        let left = beyond(demand.prefill, Role::Prefill) + beyond(demand.decode, Role::Decode);
        let mixed = USABLE_UTILISATION * MIXED_EFFICIENCY * self.count(Role::Mixed);
        (left - mixed).max(0.0)
    }
}
