//! How many ordinary and spot engines of a service to order in each availability zone.
//!
//! A spot engine costs a fraction of an ordinary one, but the platform may take back all spot engines
//! of a zone at once. [`cheapest`] finds the cheapest numbers that still suffice then. [`Planner`]
//! decides which orders lead from the present engines to these numbers: more engines at once, fewer
//! only after a time in which they were not needed, a bounded step at a time, and never below what
//! the demand needs of the engines that serve now.
//!
//! ```
//! use yuccacove::engine_scaling::{Limits, Need, ZoneSupply, cheapest};
//!
//! let limits = Limits { min: 1, max: 30, boot_ms: 4_000, spot_price: 0.18 };
//! let zone = ZoneSupply { price: 1.0, ..ZoneSupply::default() };
//! let zones = [ZoneSupply { max_spot: 30, ..zone }; 3];
//! let need = Need { whole: 12.0, firm: 6.0, urgent: 4.0, reserve: 2.0 };
//! let numbers = cheapest(&limits, &zones, &need, true);
//! assert_eq!(numbers.iter().map(|n| n.ordinary).sum::<u32>(), 2);
//! assert_eq!(numbers.iter().map(|n| n.spot).sum::<u32>(), 10);
//! ```

mod planner;

pub use planner::{Change, KindState, Lowering, Planner, ZoneState};

/// Margin over the need to which engines are ordered, and down to which they are given back. Without
/// it a need that changes a little would lead to an order each time.
pub(crate) const BAND: f64 = 1.15;
/// Cost of an engine that the most urgent kinds lack, in engines of price 1. It exceeds any price.
const URGENT_COST: f64 = 1_000.0;
/// Cost of an engine that the whole demand lacks.
const WHOLE_COST: f64 = 20.0;
/// Cost of an engine that the headroom lacks while spot engines may soon be back. Only spot engines
/// are cheaper.
const BRIEF_COST: f64 = 0.4;
/// Cost of an engine that the whole demand would lack after the loss of the spot engines of a zone.
const FIRM_COST: f64 = 0.4;

/// Limits and prices for the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Minimum number of engines of a zone, of both kinds together.
    pub min: u32,
    /// Maximum number of engines of a zone, of both kinds together.
    pub max: u32,
    /// Time from an order until new engines serve.
    pub boot_ms: u64,
    /// Price of a spot engine as a fraction of that of an ordinary one.
    pub spot_price: f64,
}

/// Need for engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// For the whole demand with headroom for bursts.
    pub whole: f64,
    /// For the whole demand without headroom, after the loss of the spot engines of any zone.
    pub firm: f64,
    /// For the most urgent kinds, after the loss of the spot engines of any zone.
    pub urgent: f64,
    /// Ordinary engines, for a time in which all zones lose their spot engines.
    pub reserve: f64,
}

impl Need {
    fn with_band(&self) -> Self {
        Self {
            whole: self.whole * BAND,
            firm: self.firm * BAND,
            urgent: self.urgent * BAND,
            reserve: self.reserve,
        }
    }
}

/// Kind of engines by price and permanence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EngineKind {
    /// Stays until it is given back.
    Ordinary,
    /// May be taken back at short notice.
    Spot,
}

/// Numbers of engines of a zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Numbers {
    /// Ordinary engines.
    pub ordinary: u32,
    /// Spot engines.
    pub spot: u32,
}

impl Numbers {
    fn all(self) -> u32 {
        self.ordinary + self.spot
    }

    fn of(self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::Ordinary => self.ordinary,
            EngineKind::Spot => self.spot,
        }
    }

    fn of_mut(&mut self, kind: EngineKind) -> &mut u32 {
        match kind {
            EngineKind::Ordinary => &mut self.ordinary,
            EngineKind::Spot => &mut self.spot,
        }
    }
}

/// What a zone offers, as input of [`cheapest`].
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ZoneSupply {
    /// Price of an ordinary engine.
    pub price: f64,
    /// Largest number of spot engines to be had.
    pub max_spot: u32,
    /// Whether the minimum of the zone is kept by spot engines that will be back.
    pub is_min_kept: bool,
}

/// Returns the cheapest numbers that meet a need, or come as close to it as the limits allow. If
/// `replaces_headroom` is `false`, ordinary engines do not replace spot engines that only the headroom
/// for bursts lacks.
pub fn cheapest(
    limits: &Limits,
    zones: &[ZoneSupply],
    need: &Need,
    replaces_headroom: bool,
) -> Vec<Numbers> {
    let room = limits.max.saturating_mul(zones.len() as u32);
    let highest = need.whole.max(need.urgent).max(need.firm);
    let from = ceil(need.reserve).min(room);
    let to = ceil(highest).clamp(from, room.max(from));
    let candidates = (from..=to).map(|ordinary| fill(limits, zones, need, ordinary));
    let whole_cost = if replaces_headroom {
        WHOLE_COST
    } else {
        BRIEF_COST
    };
    let score = |numbers: &Vec<Numbers>| {
        let lack = Lack::of(need, Sums::of(numbers));
        cost(limits, zones, numbers)
            + (lack.urgent + lack.reserve) * URGENT_COST
            + lack.present * WHOLE_COST
            + lack.whole * whole_cost
            + lack.firm * FIRM_COST
    };
    let best = candidates.min_by(|a, b| score(a).total_cmp(&score(b)));
    best.unwrap_or_default()
}

fn ceil(engines: f64) -> u32 {
    // Tolerates errors of rounding.
    (engines - 1e-6).ceil().max(0.0) as u32
}

/// Returns numbers with the given number of ordinary engines, and as many spot engines as the need
/// asks for. Spot engines are spread over the zones, with more of them in cheaper ones.
fn fill(limits: &Limits, zones: &[ZoneSupply], need: &Need, ordinary: u32) -> Vec<Numbers> {
    let min = limits.min.min(limits.max);
    let mut numbers = vec![Numbers::default(); zones.len()];
    for (zone, numbers) in zones.iter().zip(&mut numbers) {
        if !zone.is_min_kept {
            numbers.spot = min.min(zone.max_spot);
            numbers.ordinary = min - numbers.spot;
        }
    }
    place_ordinary(limits, zones, &mut numbers, ordinary);
    let mut sums = Sums::of(&numbers);
    loop {
        let lack = Lack::of(need, sums);
        let is_whole = lack.whole <= 0.0;
        if is_whole && lack.firm <= 0.0 && lack.urgent <= 0.0 {
            return numbers;
        }
        let has_room = |zone: &usize| {
            let numbers: Numbers = numbers[*zone];
            numbers.all() < limits.max && numbers.spot < zones[*zone].max_spot
        };
        let free = (0..zones.len()).filter(has_room);
        let most = free
            .clone()
            .filter(|zone| numbers[*zone].spot >= sums.most_spot);
        // Engines beyond the whole need only help if they do not all go to the zone that may be lost.
        let is_useless =
            is_whole && free.clone().count() == most.count() && free.clone().count() < 2;
        let weight = |zone: usize| f64::from(numbers[zone].spot + 1) * zones[zone].price;
        let next = free.min_by(|a, b| weight(*a).total_cmp(&weight(*b)));
        let Some(zone) = next.filter(|_| !is_useless) else {
            return numbers;
        };
        numbers[zone].spot += 1;
        sums.spot += 1;
        sums.most_spot = sums.most_spot.max(numbers[zone].spot);
    }
}

/// Places ordinary engines in the cheapest zones, beside those that the minimum of each zone needs.
fn place_ordinary(limits: &Limits, zones: &[ZoneSupply], numbers: &mut [Numbers], ordinary: u32) {
    let placed: u32 = numbers.iter().map(|n| n.ordinary).sum();
    let mut left = ordinary.saturating_sub(placed);
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price));
    for zone in by_price {
        // The engines that the minimum needs may as well be these.
        let spot = numbers[zone].spot;
        numbers[zone].spot = spot.saturating_sub(left);
        let more = left.min(limits.max - numbers[zone].all());
        numbers[zone].ordinary += more;
        left -= more;
    }
}

/// Numbers of engines over all zones.
#[derive(Debug, Clone, Copy)]
struct Sums {
    ordinary: u32,
    spot: u32,
    /// Spot engines of the zone with the most.
    most_spot: u32,
}

impl Sums {
    fn of(numbers: &[Numbers]) -> Self {
        Self {
            ordinary: numbers.iter().map(|n| n.ordinary).sum(),
            spot: numbers.iter().map(|n| n.spot).sum(),
            most_spot: numbers.iter().map(|n| n.spot).max().unwrap_or(0),
        }
    }
}

/// Engines that are missing.
#[derive(Debug, Clone, Copy)]
struct Lack {
    urgent: f64,
    /// Ordinary engines.
    reserve: f64,
    /// For the whole demand without headroom, before any loss.
    present: f64,
    whole: f64,
    firm: f64,
}

impl Lack {
    fn of(need: &Need, sums: Sums) -> Self {
        let all = sums.ordinary + sums.spot;
        // After the loss of the spot engines of the zone with the most.
        let remaining = all - sums.most_spot;
        let missing = |need: f64, engines: u32| (need - f64::from(engines) - 1e-6).max(0.0);
        Self {
            urgent: missing(need.urgent, remaining),
            reserve: missing(need.reserve, sums.ordinary),
            present: missing(need.firm, all),
            whole: missing(need.whole, all),
            firm: missing(need.firm, remaining),
        }
    }

    /// Whether something is missing that is ordered at once.
    fn is_any(&self) -> bool {
        self.urgent > 0.0 || self.reserve > 0.0 || self.whole > 0.0
    }
}

fn cost(limits: &Limits, zones: &[ZoneSupply], numbers: &[Numbers]) -> f64 {
    let of_zone = |(zone, n): (&ZoneSupply, &Numbers)| {
        zone.price * (f64::from(n.ordinary) + f64::from(n.spot) * limits.spot_price)
    };
    zones.iter().zip(numbers).map(of_zone).sum()
}
