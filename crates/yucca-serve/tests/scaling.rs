//! Orders for engines: one holder at a time, none without knowledge, and the last number holds.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use common::control::{CallMode, FakeControlApi, HandledCall, Platform};
use common::{
    EngineFleet, FakeBackends, FakeStore, StoreMode, deployment, request, route, run_virtual,
    wait_ms,
};
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use yucca_serve::config::{
    EngineSpec, Route, RouteKind, ScalingSpec, Service, ServingConfig, WeightedService,
};
use yucca_serve::demand::DemandGuard;
use yucca_serve::follow::probe_store;
use yucca_serve::hash::hash_of;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{follow_hosts, outgoing_datagrams, receive};
use yucca_serve::ports::{DutyReply, Kind};
use yucca_serve::roles::{LEASE_NAME, RoleLease, maintain_lease};
use yucca_serve::scaling::order_engines;
use yucca_serve::serve::serve;

const ZONES: [&str; 3] = ["a", "b", "c"];
const START: u32 = 15;
const MAX: u32 = 30;

fn config() -> ServingConfig {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    let prices = prices.map(|(zone, price)| (zone.to_owned(), price));
    let service = Service {
        max_connections: 100,
        engine: Some(EngineSpec {
            slots: 64,
            kv_tokens: 500_000,
            ..EngineSpec::default()
        }),
        scaling: Some(ScalingSpec {
            min_engines: 1,
            max_engines: MAX,
            boot_ms: common::control::BOOT_MS,
            spot_price: 0.18,
            zone_prices: prices.into_iter().collect(),
        }),
    };
    let mut config = ServingConfig {
        version: 1,
        ..ServingConfig::default()
    };
    config.services.insert("model".to_owned(), service);
    config
}

/// The same service as a plain one.
fn plain_config() -> ServingConfig {
    let mut config = config();
    config.services["model"].engine = None;
    config.routes.push(Route {
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        ..route(RouteKind::Idempotent, 2)
    });
    config
}

struct RunningHost {
    host: Rc<Host<FakeBackends>>,
    lease: Rc<RoleLease>,
    lease_task: JoinHandle<()>,
}

/// Hosts, their store and the platform.
struct Fleet {
    platform: Rc<Platform>,
    store: Rc<FakeStore>,
    hosts: Vec<RunningHost>,
    /// Load of each host in engines.
    load: Rc<Cell<f64>>,
}

impl Fleet {
    fn spawn(hosts: usize) -> Self {
        let fleet = Self::spawn_idle(hosts, &config());
        for running in &fleet.hosts {
            let host = Rc::clone(&running.host);
            spawn_local(add_load(host, Rc::clone(&fleet.load)));
        }
        fleet
    }

    /// A fleet with a plain service; `requests_per_s` is the load of each host.
    fn spawn_plain(hosts: usize, requests_per_s: f64) -> Self {
        let fleet = Self::spawn_idle(hosts, &plain_config());
        fleet.load.set(requests_per_s);
        for running in &fleet.hosts {
            let host = Rc::clone(&running.host);
            *host.backends.fleet.borrow_mut() = Some(EngineFleet::new());
            spawn_local(send_requests(host, Rc::clone(&fleet.load)));
        }
        fleet
    }

    fn spawn_idle(hosts: usize, config: &ServingConfig) -> Self {
        let store = FakeStore::new();
        for number in 0..hosts {
            let address = format!("10.9.0.{}:7000", number + 1);
            let value = json!({ "address": address, "zone": "a" });
            store.put(Kind::Hosts, &format!("host.entry-{number}"), Some(value));
        }
        let platform = Platform::new(&ZONES, START);
        let hosts = (0..hosts).map(|number| spawn_host(number, config, &store, &platform));
        let fleet = Self {
            hosts: hosts.collect(),
            platform,
            store,
            load: Rc::new(Cell::new(3.0)),
        };
        spawn_local(deliver(fleet.shared_hosts()));
        fleet
    }

    fn shared_hosts(&self) -> Vec<Rc<Host<FakeBackends>>> {
        let hosts = self.hosts.iter();
        hosts.map(|running| Rc::clone(&running.host)).collect()
    }

    fn holder(&self) -> Option<&RunningHost> {
        let mut hosts = self.hosts.iter();
        hosts.find(|running| running.lease.authority().is_some())
    }

    fn calls(&self) -> Vec<HandledCall> {
        self.platform.calls.borrow().clone()
    }

    /// Asserts that all numbers that were ever in effect are within the limits.
    fn assert_limits(&self) {
        let mut numbers = [[START, 0]; ZONES.len()];
        for call in self.calls() {
            if call.reply == DutyReply::Done {
                let zone = ZONES.iter().position(|zone| *zone == call.order.zone);
                let zone = zone.expect("a known zone");
                numbers[zone][usize::from(call.order.is_spot)] = call.order.engines;
                let both: u32 = numbers[zone].iter().sum();
                assert!((1..=MAX).contains(&both), "{call:?}");
            }
        }
    }
}

fn spawn_host(
    number: usize,
    config: &ServingConfig,
    store: &Rc<FakeStore>,
    platform: &Rc<Platform>,
) -> RunningHost {
    let name = format!("entry-{number}");
    let own = Deployment {
        name: name.clone(),
        ..deployment()
    };
    let host = Rc::new(Host::new(own, FakeBackends::default(), hash_of(&name)));
    host.set_config(config.clone());
    platform.attach(&host);
    let start = Instant::now();
    let clock = move || u64::try_from(start.elapsed().as_millis()).expect("a short test");
    let lease = Rc::new(RoleLease::new(&name, clock));
    let store_health = Rc::clone(&host.relay.store_health);
    let lease_task = spawn_local(maintain_lease(
        Rc::clone(&lease),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    spawn_local(follow_hosts(
        Rc::clone(&host),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    let observer = Rc::clone(&lease);
    spawn_local(probe_store(
        store_health,
        Rc::clone(store),
        Kind::Leases,
        LEASE_NAME,
        move |object| observer.observe(object),
    ));
    spawn_local(order_engines(
        Rc::clone(&host),
        Rc::clone(&lease),
        FakeControlApi(Rc::clone(platform)),
    ));
    RunningHost {
        host,
        lease,
        lease_task,
    }
}

/// Delivers the datagrams of each host to all others.
async fn deliver(hosts: Vec<Rc<Host<FakeBackends>>>) {
    loop {
        wait_ms(20).await;
        for sender in &hosts {
            for datagram in outgoing_datagrams(sender) {
                let others = hosts.iter().filter(|host| !Rc::ptr_eq(host, sender));
                others.for_each(|host| receive(host, &datagram.bytes));
            }
        }
    }
}

async fn add_load(host: Rc<Host<FakeBackends>>, load: Rc<Cell<f64>>) {
    loop {
        wait_ms(100).await;
        if load.get() > 0.0 {
            let is_urgent = host.draw().is_multiple_of(2);
            drop(DemandGuard::begin(
                &host,
                "model",
                is_urgent,
                load.get() * 100.0,
                1_000,
            ));
        }
    }
}

/// Sends plain requests, each of which takes [`EngineFleet::PLAIN_WORK_MS`].
async fn send_requests(host: Rc<Host<FakeBackends>>, per_s: Rc<Cell<f64>>) {
    let mut due = 0.0;
    loop {
        wait_ms(10).await;
        due += per_s.get() / 100.0;
        while due >= 1.0 {
            due -= 1.0;
            let host = Rc::clone(&host);
            spawn_local(async move { serve(&host, request()).await });
        }
    }
}

/// Guards against plain services that keep the back ends of the start, and against orders before their
/// demand is known. Two hosts send 200 requests a second that take 60 ms: 12 slots in use.
#[test]
fn order_engines_plain_follows_demand() {
    run_virtual(async {
        let fleet = Fleet::spawn_plain(2, 100.0);
        wait_ms(2_500).await;
        assert!(fleet.calls().is_empty());
        wait_ms(60_000).await;
        fleet.assert_limits();
        // 12 slots need 2.7 back ends; twice that are to be left after the loss of any zone's spot ones.
        let few = fleet.platform.all_serving();
        assert!((3..=12).contains(&few), "{few}");
        // 72 slots in use need 16 back ends at their target utilisation.
        fleet.load.set(600.0);
        wait_ms(20_000).await;
        let many = fleet.platform.all_serving();
        assert!((16..=45).contains(&many), "{many}");
        fleet.assert_limits();
    });
}

/// Guards against a plain service that has fewer back ends than were found before there is any demand.
#[test]
fn order_engines_plain_before_demand() {
    run_virtual(async {
        let idle = Fleet::spawn_plain(1, 0.0);
        for _ in 0..100 {
            wait_ms(500).await;
            let all = idle.platform.all_serving();
            assert!(all >= START * ZONES.len() as u32, "{all}");
        }
        idle.assert_limits();
    });
}

/// Guards against orders for a plain service while its demand is unknown.
#[test]
fn order_engines_plain_without_knowledge() {
    run_virtual(async {
        let away = Fleet::spawn_plain(1, 100.0);
        away.store.set_mode(StoreMode::Refusing);
        wait_ms(50_000).await;
        assert!(away.calls().is_empty());
    });
}

/// Guards against a fleet that stays as large as it was at the start, orders before the demand is
/// known, and ordinary engines that are given back before spot engines serve.
#[test]
fn order_engines_scales_down() {
    run_virtual(async {
        let fleet = Fleet::spawn(2);
        wait_ms(90_000).await;
        fleet.assert_limits();
        let calls = fleet.calls();
        assert!(calls.iter().all(|call| call.at_ms >= 3_000), "{calls:?}");
        assert!(calls.iter().all(|call| call.fence == 1), "{calls:?}");
        assert!(calls.len() <= 40, "{} calls", calls.len());
        assert!(calls[0].order.is_spot, "{calls:?}");
        let ordinary: u32 = ZONES
            .iter()
            .map(|zone| fleet.platform.serving(zone, false))
            .sum();
        assert!((2..=12).contains(&ordinary), "{ordinary}");
        // Both hosts have a load of 3 engines, which only the sum of the demands shows.
        let all = fleet.platform.all_serving();
        assert!((12..=40).contains(&all), "{all}");
    });
}

/// Guards against a fleet that is smaller than the one found before there is any demand, or that depends
/// on the spot engines of one zone.
#[test]
fn order_engines_before_demand() {
    run_virtual(async {
        let idle = Fleet::spawn(2);
        idle.load.set(0.0);
        let found = START * ZONES.len() as u32;
        for _ in 0..100 {
            wait_ms(500).await;
            let all = idle.platform.all_serving();
            assert!(all >= found, "{all}");
        }
        let spot = ZONES.map(|zone| idle.platform.serving(zone, true));
        let most_spot = spot.into_iter().max().unwrap_or(0);
        let remaining = idle.platform.all_serving() - most_spot;
        assert!(remaining >= found, "{remaining} {spot:?}");
        idle.assert_limits();
        let ordinary = ZONES.map(|zone| idle.platform.serving(zone, false));
        let ordinary: u32 = ordinary.iter().sum();
        assert!(ordinary * 2 <= found, "{ordinary}");
        assert!(idle.calls().len() <= 12, "{:?}", idle.calls());
    });
}

/// Guards against orders on the basis of nothing.
#[test]
fn order_engines_without_knowledge() {
    run_virtual(async {
        let away = Fleet::spawn(1);
        away.store.set_mode(StoreMode::Refusing);
        wait_ms(50_000).await;
        assert!(away.calls().is_empty());
    });
}

/// Guards against orders while the store is away, also by a holder whose lease has not lapsed yet.
#[test]
fn order_engines_store_lost() {
    run_virtual(async {
        let fleet = Fleet::spawn(1);
        wait_ms(15_000).await;
        fleet.store.set_mode(StoreMode::Refusing);
        wait_ms(2_500).await;
        let calls = fleet.calls().len();
        assert!(calls > 0);
        fleet.load.set(20.0);
        wait_ms(20_000).await;
        assert_eq!(fleet.calls().len(), calls);
        fleet.store.set_mode(StoreMode::Up);
        wait_ms(25_000).await;
        assert!(fleet.calls().len() > calls);
    });
}

/// Guards against two holders that order at the same time, and a holder that is never replaced.
#[test]
fn order_engines_holder_lost() {
    run_virtual(async {
        let fleet = Fleet::spawn(3);
        wait_ms(15_000).await;
        fleet.holder().expect("a holder").lease_task.abort();
        wait_ms(60_000).await;
        let fences: Vec<u64> = fleet.calls().iter().map(|call| call.fence).collect();
        assert!(fences.is_sorted(), "{fences:?}");
        assert_eq!(fences.last(), Some(&2));
        fleet.assert_limits();
    });
}

/// Guards against a host that is suspended between the check of its lease and its call, whose call is
/// then carried out after those of its successor.
#[test]
fn order_engines_suspended_before_call() {
    run_virtual(async {
        let fleet = Fleet::spawn(3);
        wait_ms(6_000).await;
        let first = fleet.holder().expect("a holder");
        let name = first.host.deployment.name.clone();
        let modes = [CallMode::Normal, CallMode::Suspended(40_000)];
        fleet.platform.modes.borrow_mut().extend(modes);
        while !fleet.platform.modes.borrow().is_empty() {
            wait_ms(50).await;
        }
        first.lease_task.abort();
        wait_ms(60_000).await;
        let calls = fleet.calls();
        let successor = calls.iter().position(|call| call.fence == 2);
        let successor = successor.expect("a call of the successor");
        let late: Vec<_> = calls[successor..]
            .iter()
            .filter(|call| call.host == name)
            .collect();
        assert_eq!(late.len(), 1, "{late:?}");
        assert_eq!(late[0].reply, DutyReply::Conflict);
    });
}

/// Guards against a late call of the first holder that is carried out because its successor, which has
/// nothing to order, has shown the platform no higher fencing token.
#[test]
fn order_engines_late_call_after_takeover() {
    run_virtual(async {
        let fleet = Fleet::spawn(3);
        wait_ms(100_000).await;
        let first = fleet.holder().expect("a holder");
        let modes = [CallMode::Suspended(35_000)];
        fleet.platform.modes.borrow_mut().extend(modes);
        fleet.load.set(12.0);
        while !fleet.platform.modes.borrow().is_empty() {
            wait_ms(50).await;
        }
        first.lease_task.abort();
        fleet.load.set(3.0);
        let before = fleet.calls().len();
        wait_ms(45_000).await;
        let calls = fleet.calls();
        let late = calls[before..].iter().find(|call| call.fence == 1);
        let late = late.expect("the late call");
        assert_eq!(late.reply, DutyReply::Conflict, "{:?}", &calls[before..]);
    });
}

/// Guards against further calls of a plan whose first calls were slow, after the lease has ended.
#[test]
fn order_engines_lease_ends_between_calls() {
    run_virtual(async {
        let fleet = Fleet::spawn(1);
        let modes = [CallMode::Suspended(300)];
        fleet.platform.modes.borrow_mut().extend(modes);
        while !fleet.platform.modes.borrow().is_empty() {
            wait_ms(50).await;
        }
        fleet.hosts[0].lease.stop();
        wait_ms(30_000).await;
        let calls = fleet.calls();
        assert_eq!(calls.len(), 1, "{calls:?}");
    });
}

/// Guards against a number of an earlier call that is carried out after a newer one and stays.
#[test]
fn order_engines_late_call() {
    run_virtual(async {
        let fleet = Fleet::spawn(1);
        let late = [CallMode::Late(9_000); 4];
        fleet.platform.modes.borrow_mut().extend(late);
        wait_ms(110_000).await;
        fleet.assert_limits();
        let calls = fleet.calls();
        for zone in ZONES {
            for is_spot in [false, true] {
                let mut of_pool = calls
                    .iter()
                    .filter(|call| call.order.zone == zone && call.order.is_spot == is_spot);
                let last = of_pool.next_back().map(|call| call.order.engines);
                let ordered = fleet.platform.ordered.borrow();
                let in_effect = ordered.get(&(zone.to_owned(), is_spot)).copied();
                assert!(last.is_none() || last == in_effect);
                let serving = fleet.platform.serving(zone, is_spot);
                assert_eq!(serving, in_effect.unwrap_or(0), "{zone} {is_spot}");
            }
        }
        assert!(fleet.platform.all_serving() <= 30);
    });
}

/// Guards against a service without engines, and calls without number, when a zone loses its spot
/// engines and there are none anywhere.
#[test]
fn order_engines_dry_market() {
    run_virtual(async {
        let fleet = Fleet::spawn(2);
        wait_ms(80_000).await;
        let before = fleet.calls().len();
        fleet.platform.is_dry.set(true);
        for zone in ZONES {
            fleet.platform.reclaim(zone);
            wait_ms(9_000).await;
            assert!(fleet.platform.all_serving() >= 6);
        }
        wait_ms(30_000).await;
        let dry = fleet.calls().len() - before;
        assert!(dry <= 45, "{dry} calls");
        assert!(fleet.platform.all_serving() >= 15);
        fleet.platform.is_dry.set(false);
        wait_ms(60_000).await;
        let spot: u32 = ZONES.iter().map(|z| fleet.platform.serving(z, true)).sum();
        assert!(spot >= 10, "{spot}");
        fleet.assert_limits();
    });
}

/// Guards against calls that exceed the share of the rate that is due to them.
#[test]
fn order_engines_refused_calls() {
    run_virtual(async {
        let fleet = Fleet::spawn(1);
        let refused = [429, 503].map(CallMode::Refused);
        fleet.platform.modes.borrow_mut().extend(refused.repeat(3));
        wait_ms(90_000).await;
        let calls = fleet.calls();
        assert!(fleet.platform.all_serving() <= 30);
        for window in calls.windows(12) {
            assert!(window[11].at_ms >= window[0].at_ms + 1_000, "{window:?}");
        }
    });
}

/// Guards against a zone without a price that is forgotten, with the demand and all orders of the service,
/// when it loses its last engine.
#[test]
fn order_engines_zone_without_price_lost() {
    run_virtual(async {
        let mut config = config();
        let service = &mut config.services["model"];
        let scaling = service.scaling.as_mut().expect("a scaled service");
        scaling.zone_prices.clear();
        let fleet = Fleet::spawn_idle(1, &config);
        spawn_local(add_load(
            Rc::clone(&fleet.hosts[0].host),
            Rc::clone(&fleet.load),
        ));
        wait_ms(60_000).await;
        let before = fleet.calls().len();
        fleet.load.set(20.0);
        fleet.platform.end_zone("c");
        wait_ms(2_700).await;
        // Without the state of the time before, nothing would be ordered in the first 3 s.
        assert!(fleet.calls().len() > before);
        wait_ms(25_000).await;
        let serving = |is_spot| fleet.platform.serving("c", is_spot);
        assert!(serving(false) + serving(true) >= 1);
        fleet.assert_limits();
    });
}
