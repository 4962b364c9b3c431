//! The orders that lead from the present engines to the cheapest sufficient numbers.

use super::{EngineKind, Lack, Limits, Need, Numbers, Sums, ZoneSupply, cheapest, cost};

/// Time in which ordinary engines must not have been needed before they are given back. The need follows
/// the peak of the last minute, so that a shorter pause between two bursts does not count.
const LOW_MS: u64 = 4_000;
/// The same for spot engines, which cost little.
const LOW_SPOT_MS: u64 = 30_000;
/// Time without the spot engines that the headroom for bursts needs after which ordinary engines
/// replace them. Spot engines are usually back after 8 to 11 s, about when ordinary ones would serve.
const SHORTAGE_MS: u64 = 9_000;
/// Pause between two steps down, in which the engines of the last step end their work.
const STEP_MS: u64 = 3_000;
/// Largest share of the engines that serve that one step gives back, because each of them loses its
/// cached prefixes.
const STEP_SHARE: f64 = 0.25;
/// Smallest saving, as a share of the present cost, for which engines are replaced or given back.
const MIN_SAVING_SHARE: f64 = 0.08;
/// Smallest share of the spot engines that is given back.
const MIN_SPOT_EXCESS: f64 = 0.2;
/// Time beyond the boot time in which an ordered engine registers.
const BOOT_SLACK_MS: u64 = 3_000;
/// Time in which an engine that was given back is listed as draining.
const LEAVE_MS: u64 = 4_000;
/// Time after the spot engines of a zone were taken back in which there are none in that zone.
const RECLAIM_MS: u64 = 8_000;
/// Shortest time between two reclaims of a zone. Engines that leave are listed for about two seconds.
const RECLAIM_GAP_MS: u64 = 5_000;
/// First pause after a refused order for spot engines; it doubles with each further refusal.
const REFUSED_MS: u64 = 3_000;
/// Longest such pause.
const MAX_REFUSED_MS: u64 = 12_000;
/// How engines may be given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lowering {
    /// Not yet, because the demand has been observed for too short a time.
    Forbidden,
    /// After a time in which they were not needed, a bounded step at a time.
    Stepwise,
    /// All surplus ordinary engines, as soon as the others suffice. They have served no request, so no
    /// cached prefix is lost.
    AtOnce,
}

/// Engines of one kind in a zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct KindState {
    /// Engines that serve and are not leaving.
    pub serving: u32,
    /// Those of them that are changing their phase or are about to.
    pub changing: u32,
    /// Engines that are listed as leaving.
    pub leaving: u32,
    /// Number that was ordered last, and when; `None` if this holder has not ordered any.
    pub ordered: Option<(u32, u64)>,
}

impl KindState {
    /// Returns the number of engines that is due once the orders so far are carried out.
    fn expected(&self, limits: &Limits, now_ms: u64) -> u32 {
        match self.ordered {
            Some((ordered, at_ms)) if ordered > self.serving => {
                let boot_ms = limits.boot_ms.saturating_add(BOOT_SLACK_MS);
                let is_booting = now_ms < at_ms.saturating_add(boot_ms);
                if is_booting { ordered } else { self.serving }
            }
            Some((ordered, at_ms)) if now_ms < at_ms + LEAVE_MS => ordered,
            _ => self.serving,
        }
    }

    /// Returns the number of engines that can be relied on now.
    fn standing(&self, limits: &Limits, now_ms: u64) -> u32 {
        let staying = self.serving.min(self.expected(limits, now_ms));
        staying.saturating_sub(self.changing)
    }

    /// Returns the number of engines that boot.
    pub fn booting(&self, limits: &Limits, now_ms: u64) -> u32 {
        self.expected(limits, now_ms).saturating_sub(self.serving)
    }

    /// Returns the number of engines that were ordered away and are not listed as leaving yet.
    pub fn given_back(&self, limits: &Limits, now_ms: u64) -> u32 {
        self.serving.saturating_sub(self.expected(limits, now_ms))
    }
}

/// Engines of a zone.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ZoneState {
    /// Price of an ordinary engine.
    pub price: f64,
    /// Ordinary engines.
    pub ordinary: KindState,
    /// Spot engines.
    pub spot: KindState,
}

impl ZoneState {
    fn of(&self, kind: EngineKind) -> &KindState {
        match kind {
            EngineKind::Ordinary => &self.ordinary,
            EngineKind::Spot => &self.spot,
        }
    }

    fn numbers(&self, of: impl Fn(&KindState) -> u32) -> Numbers {
        Numbers {
            ordinary: of(&self.ordinary),
            spot: of(&self.spot),
        }
    }
}

/// Order for a number of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Index of the zone.
    pub zone: usize,
    /// Kind of the engines.
    pub kind: EngineKind,
    /// Number of engines of this kind.
    pub engines: u32,
    /// Whether it is more than there are now.
    pub is_raise: bool,
}

/// What a planner knows of the spot engines of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct SpotMarket {
    reclaimed_ms: Option<u64>,
    refused_until_ms: u64,
    refusals: u32,
}

/// Plans the orders for one service. It is created when a host becomes the holder.
#[derive(Debug, Clone)]
pub struct Planner {
    markets: Vec<SpotMarket>,
    last_step_ms: Option<u64>,
    /// Since when fewer engines of each kind would have sufficed.
    low_since_ms: [Option<u64>; 2],
    /// Since when spot engines that the headroom needs have been missing.
    short_since_ms: Option<u64>,
}

impl Planner {
    /// Creates a planner for a number of zones.
    pub fn new(zones: usize) -> Self {
        Self {
            markets: vec![SpotMarket::default(); zones],
            last_step_ms: None,
            low_since_ms: [None; 2],
            short_since_ms: None,
        }
    }

    /// Adds a zone behind the known ones.
    pub fn add_zone(&mut self) {
        self.markets.push(SpotMarket::default());
    }

    /// Records that an order for spot engines of a zone was refused.
    pub fn record_refusal(&mut self, zone: usize, now_ms: u64) {
        let market = &mut self.markets[zone];
        let pause_ms = REFUSED_MS << market.refusals.min(4);
        market.refusals += 1;
        market.refused_until_ms = now_ms + pause_ms.min(MAX_REFUSED_MS);
    }

    /// Records that an order for spot engines of a zone was carried out.
    pub fn record_success(&mut self, zone: usize) {
        self.markets[zone].refusals = 0;
    }

    /// Whether the spot engines of a zone were taken back within the last `within_ms`.
    pub fn is_reclaimed(&self, zone: usize, within_ms: u64, now_ms: u64) -> bool {
        let reclaimed_ms = self.markets[zone].reclaimed_ms;
        reclaimed_ms.is_some_and(|reclaimed_ms| now_ms < reclaimed_ms + within_ms)
    }

    /// Notes which zones have lost their spot engines. Returns those that did so just now.
    pub fn observe(&mut self, zones: &[ZoneState], now_ms: u64) -> Vec<usize> {
        let mut lost = Vec::new();
        for (at, (zone, market)) in zones.iter().zip(&mut self.markets).enumerate() {
            let wanted = zone.spot.ordered.map_or(1, |(ordered, _)| ordered);
            let is_reclaimed = zone.spot.leaving > 0 && zone.spot.serving < wanted;
            let is_known = market
                .reclaimed_ms
                .is_some_and(|reclaimed_ms| now_ms < reclaimed_ms + RECLAIM_GAP_MS);
            if is_reclaimed && !is_known {
                market.reclaimed_ms = Some(now_ms);
                market.refused_until_ms = market.refused_until_ms.max(now_ms + RECLAIM_MS);
                lost.push(at);
            }
        }
        lost
    }

    /// Returns the orders to give now.
    pub fn plan(
        &mut self,
        limits: &Limits,
        zones: &[ZoneState],
        need: &Need,
        lowering: Lowering,
        now_ms: u64,
    ) -> Vec<Change> {
        let zones = &self.without_reclaimed(zones)[..];
        let numbers = |of: &dyn Fn(&KindState) -> u32| -> Vec<Numbers> {
            zones.iter().map(|zone| zone.numbers(of)).collect()
        };
        let expected = numbers(&|kind| kind.expected(limits, now_ms));
        let standing = numbers(&|kind| kind.standing(limits, now_ms));
        let lacking = self.lacks(limits, zones, &expected, need, now_ms);
        let target = self.target(limits, zones, &expected, need, now_ms);
        let mut changes = raises(limits, zones, &expected, &target, need, lacking);
        self.note_low(&expected, &target, now_ms);
        let transition = Transition {
            expected,
            standing,
            target,
        };
        let step = match lowering {
            _ if lacking => None,
            Lowering::Forbidden => None,
            Lowering::Stepwise => {
                let kind = self.kind_to_lower(limits, zones, &transition, now_ms);
                kind.map(|kind| Step {
                    kind,
                    share: STEP_SHARE,
                    keeps_firm: false,
                })
            }
            Lowering::AtOnce => Some(Step {
                kind: EngineKind::Ordinary,
                share: 1.0,
                keeps_firm: true,
            }),
        };
        if let Some(step) = step
            && let Some(lowered) = step_down(limits, zones, &transition, need, step)
        {
            self.last_step_ms = Some(now_ms);
            changes.push(lowered);
        }
        changes
    }

    /// Returns the zones with engines that were taken back after the order no longer expected. The
    /// order itself still stands.
    fn without_reclaimed(&self, zones: &[ZoneState]) -> Vec<ZoneState> {
        let mut zones = zones.to_vec();
        for (zone, market) in zones.iter_mut().zip(&self.markets) {
            let ordered_ms = zone.spot.ordered.map(|(_, at_ms)| at_ms);
            if ordered_ms <= market.reclaimed_ms && zone.spot.serving < 1 {
                zone.spot.ordered = zone.spot.ordered.map(|(ordered, _)| (ordered, 0));
            }
        }
        zones
    }

    fn supply(
        &self,
        limits: &Limits,
        zones: &[ZoneState],
        expected: &[Numbers],
        now_ms: u64,
    ) -> Vec<ZoneSupply> {
        let parts = zones.iter().zip(expected).zip(&self.markets);
        parts
            .map(|((zone, expected), market)| {
                let is_refused = now_ms < market.refused_until_ms;
                ZoneSupply {
                    price: zone.price,
                    max_spot: if is_refused {
                        expected.spot
                    } else {
                        limits.max
                    },
                    // The order for them stands; it is repeated when they are to be had again.
                    is_min_kept: is_refused && market.reclaimed_ms.is_some(),
                }
            })
            .collect()
    }

    /// Whether engines must be ordered at once.
    fn lacks(
        &mut self,
        limits: &Limits,
        zones: &[ZoneState],
        expected: &[Numbers],
        need: &Need,
        now_ms: u64,
    ) -> bool {
        let supply = self.supply(limits, zones, expected, now_ms);
        let is_below_min = |(supply, numbers): (&ZoneSupply, &Numbers)| {
            numbers.all() < limits.min && !supply.is_min_kept
        };
        let lack = Lack::of(need, Sums::of(expected));
        if lack.whole <= 0.0 {
            self.short_since_ms = None;
        } else {
            self.short_since_ms.get_or_insert(now_ms);
        }
        lack.is_any() || supply.iter().zip(expected).any(is_below_min)
    }

    fn target(
        &self,
        limits: &Limits,
        zones: &[ZoneState],
        expected: &[Numbers],
        need: &Need,
        now_ms: u64,
    ) -> Vec<Numbers> {
        let supply = self.supply(limits, zones, expected, now_ms);
        let is_long_short = self
            .short_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + SHORTAGE_MS);
        cheapest(limits, &supply, &need.with_band(), is_long_short)
    }

    fn note_low(&mut self, expected: &[Numbers], target: &[Numbers], now_ms: u64) {
        let kinds = [EngineKind::Ordinary, EngineKind::Spot];
        for (since_ms, kind) in self.low_since_ms.iter_mut().zip(kinds) {
            let sum = |numbers: &[Numbers]| numbers.iter().map(|n| n.of(kind)).sum::<u32>();
            if sum(target) < sum(expected) {
                since_ms.get_or_insert(now_ms);
            } else {
                *since_ms = None;
            }
        }
    }

    /// Returns the kind of engines of which there have been too many for long enough.
    fn kind_to_lower(
        &self,
        limits: &Limits,
        zones: &[ZoneState],
        transition: &Transition,
        now_ms: u64,
    ) -> Option<EngineKind> {
        let is_pausing = self
            .last_step_ms
            .is_some_and(|last_ms| now_ms < last_ms + STEP_MS);
        let is_leaving = zones.iter().any(|zone| {
            zone.ordinary.given_back(limits, now_ms) + zone.spot.given_back(limits, now_ms) > 0
        });
        if is_pausing || is_leaving {
            return None;
        }
        let is_low = |since_ms: Option<u64>, low_ms| {
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + low_ms)
        };
        let spot = Sums::of(&transition.expected).spot;
        let excess_spot = spot.saturating_sub(Sums::of(&transition.target).spot);
        let is_spot_worth = excess_spot >= ((f64::from(spot) * MIN_SPOT_EXCESS) as u32).max(2);
        if is_low(self.low_since_ms[0], LOW_MS) {
            Some(EngineKind::Ordinary)
        } else if is_spot_worth && is_low(self.low_since_ms[1], LOW_SPOT_MS) {
            Some(EngineKind::Spot)
        } else {
            None
        }
    }
}

/// Numbers of engines of each zone between which the orders lead.
#[derive(Debug)]
struct Transition {
    /// Once the orders so far are carried out.
    expected: Vec<Numbers>,
    /// That can be relied on now.
    standing: Vec<Numbers>,
    /// To be reached.
    target: Vec<Numbers>,
}

/// Engines that may be given back at a time.
#[derive(Debug, Clone, Copy)]
struct Step {
    kind: EngineKind,
    /// Largest share of the engines that serve.
    share: f64,
    /// Whether the whole need without headroom must be met after the loss of any zone's spot engines too.
    /// A fleet that serves may lack it for a time, because spot engines may not be had.
    keeps_firm: bool,
}

/// Gives back engines of the zone where they cost most and of which some may go, if the others that
/// serve now suffice.
fn step_down(
    limits: &Limits,
    zones: &[ZoneState],
    transition: &Transition,
    need: &Need,
    step: Step,
) -> Option<Change> {
    let kind = step.kind;
    let Transition {
        expected,
        standing,
        target,
    } = transition;
    let excess = |zone: usize| {
        expected[zone]
            .of(kind)
            .saturating_sub(target[zone].of(kind))
    };
    let serving: u32 = standing.iter().map(|n| n.all()).sum();
    let most = ((f64::from(serving) * step.share) as u32).max(1);
    let banded = need.with_band();
    let suffices = |after: &[Numbers]| {
        let lack = Lack::of(&banded, Sums::of(after));
        !lack.is_any() && (!step.keeps_firm || lack.firm <= 0.0)
    };
    let zone = (0..zones.len())
        .filter(|zone| excess(*zone) > 0)
        .max_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price))?;
    (1..=excess(zone).min(most)).rev().find_map(|fewer| {
        let engines = expected[zone].of(kind) - fewer;
        let mut after = standing.clone();
        *after[zone].of_mut(kind) = engines.min(standing[zone].of(kind));
        let is_above_min = expected[zone].all() - fewer >= limits.min;
        (is_above_min && suffices(&after)).then_some(Change {
            zone,
            kind,
            engines,
            is_raise: false,
        })
    })
}

/// Orders more engines: all that are lacking, and spot engines that replace ordinary ones or whose zone
/// has too few of them.
fn raises(
    limits: &Limits,
    zones: &[ZoneState],
    expected: &[Numbers],
    target: &[Numbers],
    need: &Need,
    lacking: bool,
) -> Vec<Change> {
    let prices: Vec<ZoneSupply> = zones
        .iter()
        .map(|zone| ZoneSupply {
            price: zone.price,
            ..ZoneSupply::default()
        })
        .collect();
    let present_cost = cost(limits, &prices, expected);
    let saving = present_cost - cost(limits, &prices, target);
    let has_saving = saving > present_cost * MIN_SAVING_SHARE;
    let firm_lack = |numbers: &[Numbers]| Lack::of(need, Sums::of(numbers)).firm;
    // The spot engines may be there, but too many of them in one zone.
    let is_unbalanced = firm_lack(expected) >= firm_lack(target) + 1.0;
    let mut changes = Vec::new();
    for (zone, target) in target.iter().enumerate() {
        let state = &zones[zone];
        let mut after = expected[zone];
        // Engines that are leaving, and orders that stand, still count against the maximum.
        let held = |kind: EngineKind, after: Numbers| {
            let ordered = state.of(kind).ordered.map_or(0, |(ordered, _)| ordered);
            after.of(kind).max(state.of(kind).serving).max(ordered)
        };
        for kind in [EngineKind::Spot, EngineKind::Ordinary] {
            let is_wanted = lacking || (kind == EngineKind::Spot && (has_saving || is_unbalanced));
            let other = match kind {
                EngineKind::Spot => EngineKind::Ordinary,
                EngineKind::Ordinary => EngineKind::Spot,
            };
            let room = limits.max.saturating_sub(held(other, after));
            let engines = target.of(kind).min(room);
            // Engines that only save cost are not ordered one by one.
            let few = after.of(kind) / 4 + 1;
            let is_worth = lacking || engines >= after.of(kind) + few;
            if is_wanted && is_worth && engines > after.of(kind) {
                *after.of_mut(kind) = engines;
                changes.push(Change {
                    zone,
                    kind,
                    engines,
                    is_raise: true,
                });
            }
        }
    }
    changes
}
