//! Number of engines to order: the cheapest sufficient plan, and the orders that lead to it under
//! demands that swing, reclaims of spot engines and refusals.

use yuccacove::engine_demand::{DemandSample, EngineCapacity, Level, NeedHistory};
use yuccacove::engine_scaling::{
    Change, EngineKind, KindState, Limits, Lowering, Need, Numbers, Planner, ZoneState, ZoneSupply,
    cheapest,
};

const TICK_MS: u64 = 500;
const LEAVES_MS: u64 = 2_000;
const CAPACITY: EngineCapacity = EngineCapacity {
    slots: 64,
    kv_tokens: 500_000,
};

fn limits(max: u32) -> Limits {
    Limits {
        min: 1,
        max,
        boot_ms: 4_000,
        spot_price: 0.18,
    }
}

fn supplies(prices: &[f64], max_spot: u32) -> Vec<ZoneSupply> {
    let supply = |price: &f64| ZoneSupply {
        price: *price,
        max_spot,
        is_min_kept: false,
    };
    prices.iter().map(supply).collect()
}

fn all(numbers: &[Numbers]) -> u32 {
    numbers.iter().map(|n| n.ordinary + n.spot).sum()
}

fn after_loss(numbers: &[Numbers]) -> u32 {
    all(numbers) - numbers.iter().map(|n| n.spot).max().unwrap_or(0)
}

/// Guards against plans that do not suffice after the loss of any zone's spot engines, that exceed
/// the limits, or that use dear engines where cheap ones do.
#[test]
fn cheapest_price_tables() {
    let tables = [
        vec![1.0, 1.0, 1.0],
        vec![0.8, 1.0, 1.25],
        vec![1.25, 0.8, 0.9, 1.1],
        vec![1.0],
    ];
    for prices in tables {
        for whole in [3.0, 7.5, 20.0, 45.0] {
            let need = Need {
                whole,
                firm: whole * 0.5,
                urgent: (whole * 0.3).max(2.0),
                reserve: (whole * 0.1).max(2.0),
            };
            let limits = limits(60);
            let numbers = cheapest(&limits, &supplies(&prices, 60), &need, true);
            let context = format!("{prices:?} {need:?} {numbers:?}");
            assert!(f64::from(all(&numbers)) >= need.whole, "{context}");
            assert!(f64::from(after_loss(&numbers)) >= need.urgent, "{context}");
            let ordinary: u32 = numbers.iter().map(|n| n.ordinary).sum();
            assert!(f64::from(ordinary) >= need.reserve, "{context}");
            for n in &numbers {
                assert!((1..=60).contains(&(n.ordinary + n.spot)), "{context}");
            }
            if prices.len() > 1 {
                assert!(f64::from(after_loss(&numbers)) >= need.firm, "{context}");
                // Spot engines are the cheaper way to everything else.
                assert!(f64::from(ordinary) < need.reserve + 1.0, "{context}");
            }
        }
    }
}

/// Guards against ordinary engines for the headroom alone while spot engines are missing for a
/// moment, and against a lack of them when spot engines stay away.
#[test]
fn cheapest_without_spot() {
    let need = Need {
        whole: 20.0,
        firm: 10.0,
        urgent: 6.0,
        reserve: 2.0,
    };
    let supplies = supplies(&[1.0, 1.1, 1.2], 0);
    assert_eq!(all(&cheapest(&limits(30), &supplies, &need, false)), 10);
    assert_eq!(all(&cheapest(&limits(30), &supplies, &need, true)), 20);
}

/// Guards against a failure when the demand exceeds what the limits allow.
#[test]
fn cheapest_beyond_limits() {
    let need = Need {
        whole: 900.0,
        firm: 500.0,
        urgent: 300.0,
        reserve: 100.0,
    };
    let numbers = cheapest(&limits(15), &supplies(&[0.9, 1.0, 1.1], 15), &need, true);
    assert!(numbers.iter().all(|n| n.ordinary + n.spot == 15));
    assert_eq!(cheapest(&limits(15), &[], &need, true), []);
}

/// Engines of one kind in a zone of the simulated platform.
#[derive(Debug, Default, Clone)]
struct Pool {
    serving: u32,
    /// Times at which ordered engines serve, with their number.
    booting: Vec<(u64, u32)>,
    leaving_until_ms: u64,
    leaving: u32,
    ordered: Option<(u32, u64)>,
}

impl Pool {
    fn order(&mut self, engines: u32, boot_ms: u64, now_ms: u64) {
        let booting: u32 = self.booting.iter().map(|(_, n)| n).sum();
        let due = self.serving + booting;
        if engines > due {
            self.booting.push((now_ms + boot_ms, engines - due));
        } else {
            self.booting.clear();
            self.leave(self.serving.saturating_sub(engines), now_ms);
        }
        self.ordered = Some((engines, now_ms));
    }

    fn leave(&mut self, engines: u32, now_ms: u64) {
        self.serving -= engines;
        self.leaving = engines;
        self.leaving_until_ms = now_ms + LEAVES_MS;
    }

    fn advance(&mut self, now_ms: u64) {
        let ready = self.booting.iter().filter(|(at_ms, _)| now_ms >= *at_ms);
        self.serving += ready.map(|(_, n)| n).sum::<u32>();
        self.booting.retain(|(at_ms, _)| now_ms < *at_ms);
        if now_ms >= self.leaving_until_ms {
            self.leaving = 0;
        }
    }

    fn state(&self) -> KindState {
        KindState {
            serving: self.serving,
            changing: 0,
            leaving: self.leaving,
            ordered: self.ordered,
        }
    }
}

/// A platform with one service under the control of a planner.
struct Simulation {
    limits: Limits,
    prices: Vec<f64>,
    ordinary: Vec<Pool>,
    spot: Vec<Pool>,
    /// Time until which there are no spot engines in each zone.
    dry_until_ms: Vec<u64>,
    planner: Planner,
    history: NeedHistory,
    /// Engines at the start.
    found: u32,
    now_ms: u64,
    orders: u32,
    refusals: u32,
    cost: f64,
    /// Load in engines, all and urgent.
    load: (f64, f64),
    /// Ticks in which the engines that serve had less capacity than the urgent load, or the load.
    urgent_short: u32,
    short: u32,
}

impl Simulation {
    fn new(prices: &[f64], start: u32, max: u32) -> Self {
        let pool = Pool {
            serving: start,
            ..Pool::default()
        };
        Self {
            limits: limits(max),
            prices: prices.to_vec(),
            ordinary: vec![pool; prices.len()],
            spot: vec![Pool::default(); prices.len()],
            dry_until_ms: vec![0; prices.len()],
            planner: Planner::new(prices.len()),
            history: NeedHistory::default(),
            found: start * prices.len() as u32,
            now_ms: 0,
            orders: 0,
            refusals: 0,
            cost: 0.0,
            load: (0.0, 0.0),
            urgent_short: 0,
            short: 0,
        }
    }

    fn states(&self) -> Vec<ZoneState> {
        let zones = self.prices.iter().zip(&self.ordinary).zip(&self.spot);
        zones
            .map(|((price, ordinary), spot)| ZoneState {
                price: *price,
                ordinary: ordinary.state(),
                spot: spot.state(),
            })
            .collect()
    }

    fn numbers(&self) -> Vec<Numbers> {
        let pools = self.ordinary.iter().zip(&self.spot);
        pools
            .map(|(ordinary, spot)| Numbers {
                ordinary: ordinary.serving,
                spot: spot.serving,
            })
            .collect()
    }

    /// Runs for `seconds` with a load in engines as a function of the time in milliseconds.
    fn run(&mut self, seconds: u64, load: impl Fn(u64) -> (f64, f64)) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.now_ms += TICK_MS;
            self.load = load(self.now_ms);
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        for pool in self.ordinary.iter_mut().chain(&mut self.spot) {
            pool.advance(now_ms);
        }
        let level = |engines: f64| Level {
            prefill_ms_per_s: (engines * 1_000.0) as u32,
            ..Level::default()
        };
        let sample = DemandSample {
            all: level(self.load.0),
            urgent: level(self.load.1),
        };
        self.history.observe(&sample, CAPACITY, now_ms);
        let states = self.states();
        self.planner.observe(&states, now_ms);
        let idle_need = || self.history.idle_need(self.found, now_ms);
        if let Some(need) = self.history.need(now_ms).or_else(idle_need) {
            let lowering = self.history.lowering(now_ms);
            let limits = self.limits;
            let changes = self.planner.plan(&limits, &states, &need, lowering, now_ms);
            for change in changes {
                self.order(change);
            }
        }
        self.check();
    }

    fn order(&mut self, change: Change) {
        self.orders += 1;
        let zone = change.zone;
        let is_dry = self.now_ms < self.dry_until_ms[zone];
        if change.kind == EngineKind::Spot && change.is_raise && is_dry {
            self.refusals += 1;
            self.planner.record_refusal(zone, self.now_ms);
            return;
        }
        let pool = match change.kind {
            EngineKind::Ordinary => &mut self.ordinary[zone],
            EngineKind::Spot => {
                self.planner.record_success(zone);
                &mut self.spot[zone]
            }
        };
        pool.order(change.engines, self.limits.boot_ms, self.now_ms);
        let ordered = |pool: &Pool| pool.ordered.map_or(pool.serving, |(engines, _)| engines);
        let both = ordered(&self.ordinary[zone]) + ordered(&self.spot[zone]);
        let range = self.limits.min..=self.limits.max;
        assert!(range.contains(&both), "{change:?} at {}", self.now_ms);
    }

    fn check(&mut self) {
        let numbers = self.numbers();
        let serving = f64::from(all(&numbers));
        self.short += u32::from(serving < self.load.0);
        self.urgent_short += u32::from(serving < self.load.1);
        let zones = self.prices.iter().zip(&numbers);
        let price = zones.map(|(price, n)| {
            price * (f64::from(n.ordinary) + f64::from(n.spot) * self.limits.spot_price)
        });
        self.cost += price.sum::<f64>() * TICK_MS as f64 / 1_000.0;
    }

    fn reclaim(&mut self, zone: usize, dry_ms: u64) {
        let serving = self.spot[zone].serving;
        self.spot[zone].booting.clear();
        self.spot[zone].leave(serving, self.now_ms);
        self.dry_until_ms[zone] = self.now_ms + dry_ms;
    }

    /// Asserts that the urgent load is served after the loss of any zone's spot engines.
    fn assert_survives(&self) {
        let numbers = self.numbers();
        let remaining = f64::from(after_loss(&numbers));
        assert!(remaining >= self.load.1, "{numbers:?} {:?}", self.load);
    }
}

/// A load of 4 engines, half of it urgent, with bursts of 2.5 times as much for 5 s of each 25 s.
fn bursts(now_ms: u64) -> (f64, f64) {
    let is_burst = now_ms % 25_000 >= 15_000 && now_ms % 25_000 < 20_000;
    let load = if is_burst { 10.0 } else { 4.0 };
    (load, load / 2.0)
}

/// Guards against a fleet that stays far too large, one that is too small in bursts, and orders that
/// follow each burst.
#[test]
fn plan_bursts() {
    for (prices, start, max) in [
        (vec![0.8, 1.0, 1.25], 15, 30),
        (vec![1.0, 1.1, 0.9, 1.25], 30, 30),
        (vec![1.0, 1.1, 0.9], 30, 60),
    ] {
        let mut simulation = Simulation::new(&prices, start, max);
        simulation.run(100, bursts);
        assert_eq!(simulation.short, 0, "{prices:?}");
        simulation.assert_survives();
        let (orders, cost) = (simulation.orders, simulation.cost);
        assert!(orders <= 60, "{orders} orders, {prices:?}");
        simulation.run(200, bursts);
        assert_eq!(simulation.short, 0, "{prices:?}");
        let later_orders = simulation.orders - orders;
        assert!(later_orders <= 6, "{later_orders} later orders");
        let cost_per_s = (simulation.cost - cost) / 200.0;
        assert!(cost_per_s < 8.0, "{cost_per_s}, {:?}", simulation.numbers());
    }
}

/// Guards against the price of ordinary engines while there is no demand yet, and against a fleet that
/// would be smaller than the one found after the loss of any zone's spot engines, also on the way there.
#[test]
fn plan_before_demand() {
    // The last maximum leaves room for few engines beside those that were found.
    for (prices, start, max, cost_share) in [
        (vec![0.85, 1.0, 1.15], 30, 60, 0.5),
        (vec![1.0, 1.1, 0.9, 1.25], 15, 30, 0.6),
        (vec![1.0, 1.1, 0.9, 1.25], 15, 20, 1.0),
    ] {
        let found = start * prices.len() as u32;
        let mut simulation = Simulation::new(&prices, start, max);
        let no_load = |_| (0.0, 0.0);
        for _ in 0..40 {
            simulation.run(1, no_load);
            let numbers = simulation.numbers();
            assert!(after_loss(&numbers) >= found, "{numbers:?}");
        }
        let cost = simulation.cost;
        simulation.run(10, no_load);
        let cost_per_s = (simulation.cost - cost) / 10.0;
        let start_cost_per_s = prices.iter().sum::<f64>() * f64::from(start);
        let numbers = simulation.numbers();
        let limit_per_s = start_cost_per_s * cost_share;
        assert!(cost_per_s < limit_per_s, "{cost_per_s} {numbers:?}");
        simulation.reclaim(0, 9_000);
        let load = f64::from(found) * 0.6;
        simulation.run(20, |_| (load, load / 2.0));
        assert_eq!(simulation.short, 0, "{:?}", simulation.numbers());
    }
}

/// Guards against urgent requests without engines after a reclaim, in a market without spot engines
/// afterwards, and against calls without number while there are none.
#[test]
fn plan_reclaims() {
    for dry_everywhere in [false, true] {
        let mut simulation = Simulation::new(&[0.8, 1.0, 1.25], 15, 30);
        simulation.run(90, bursts);
        for zone in [0, 1, 2, 0] {
            simulation.assert_survives();
            let orders = simulation.orders;
            simulation.reclaim(zone, 9_500);
            if dry_everywhere {
                let until_ms = simulation.now_ms + 15_000;
                simulation.dry_until_ms = vec![until_ms; 3];
            }
            simulation.run(30, bursts);
            let given = simulation.orders - orders;
            assert!(given <= 16, "{given} orders");
            let numbers = simulation.numbers();
            assert!(after_loss(&numbers) >= 10, "{numbers:?}");
        }
        assert_eq!(simulation.urgent_short, 0);
        assert_eq!(simulation.short, 0, "dry everywhere: {dry_everywhere}");
    }
}

/// Guards against a fleet below the demand when there are never spot engines.
#[test]
fn plan_without_spot() {
    let mut simulation = Simulation::new(&[0.8, 1.0, 1.25], 15, 30);
    simulation.dry_until_ms = vec![u64::MAX; 3];
    simulation.run(240, bursts);
    assert_eq!(simulation.short, 0);
    assert!(simulation.refusals <= 90, "{}", simulation.refusals);
    let numbers = simulation.numbers();
    assert!((10..=24).contains(&all(&numbers)), "{numbers:?}");
}

/// Guards against a slow reaction to a demand that stays high.
#[test]
fn plan_raises_at_once() {
    let mut simulation = Simulation::new(&[1.0, 1.0, 1.0], 5, 30);
    simulation.run(60, |_| (2.0, 1.0));
    let start_ms = simulation.now_ms;
    simulation.run(6, |_| (14.0, 7.0));
    let serving = all(&simulation.numbers());
    assert!(
        serving >= 16,
        "{serving} after {} ms",
        simulation.now_ms - start_ms
    );
}

/// Guards against orders that follow a load which swings within the headroom.
#[test]
fn plan_swinging_load() {
    let mut simulation = Simulation::new(&[1.0, 1.1, 1.2], 15, 30);
    let swing = |now_ms: u64| {
        let phase = now_ms as f64 / 40_000.0 * std::f64::consts::TAU;
        let load = 6.0 + 3.0 * phase.sin();
        (load, load * 0.4)
    };
    simulation.run(120, swing);
    let orders = simulation.orders;
    simulation.run(400, swing);
    let given = simulation.orders - orders;
    assert!(given <= 8, "{given} orders");
    assert_eq!(simulation.short, 0);
}

/// Guards against the use of engines that change their phase, boot or leave as capacity.
#[test]
fn plan_changing_engines_are_no_capacity() {
    let need = Need {
        whole: 10.0,
        firm: 5.0,
        urgent: 3.0,
        reserve: 2.0,
    };
    let kind = |serving, changing| KindState {
        serving,
        changing,
        ..KindState::default()
    };
    let spot = KindState {
        serving: 2,
        changing: 0,
        leaving: 0,
        ordered: Some((6, 100_000)),
    };
    for (changing, is_lowered) in [(0, true), (7, false)] {
        let zones = [
            ZoneState {
                price: 1.0,
                ordinary: kind(10, changing),
                spot,
            },
            ZoneState {
                price: 1.1,
                ordinary: kind(4, 0),
                spot,
            },
        ];
        let mut planner = Planner::new(2);
        let mut lowered = false;
        for now_ms in (100_000..120_000).step_by(500) {
            let states = zones.map(|zone| ZoneState {
                spot: KindState {
                    ordered: Some((6, now_ms)),
                    ..zone.spot
                },
                ..zone
            });
            let changes = planner.plan(&limits(30), &states, &need, Lowering::Stepwise, now_ms);
            lowered |= changes.iter().any(|change| !change.is_raise);
        }
        assert_eq!(lowered, is_lowered, "{changing} change");
    }
}
