//! Orders for engines: the holder of the lease on engine roles controls how many engines each service
//! has.
//!
//! [`yuccacove::engine_scaling`] decides; this module tells it what the host knows, and makes the
//! calls. The epoch of the lease is the fencing token of the calls, and the lease is checked
//! immediately before each of them.

use std::rc::Rc;

use indexmap::IndexMap;
use tokio::time::{Duration, sleep};
use yucca_io::log;
use yuccacove::engine_demand::{Capacity, DemandSample, EngineCapacity, Level, NeedHistory};
use yuccacove::engine_scaling::{
    Change, EngineKind, KindState, Limits, Lowering, Need, Planner, ZoneState,
};
use yuccacove::event::Event;
use yuccacove::fleet_rate::HostId;
use yuccacove::lease::Authority;
use yuccacove::scale_orders::{Call, Outcome, ScaleOrders, Verdict};

use crate::config::{EngineSpec, ScalingSpec};
use crate::directory::BackendKey;
use crate::host::Host;
use crate::metrics::ByEngineKind;
use crate::ports::{Backends, CallFault, ControlApi, DutyHolder, DutyReply, ScaleOrder};
use crate::roles::{RoleLease, may_order};

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the calls that the control API accepts which orders for engines may take.
const CALL_SHARE: f64 = 0.2;
/// Longest time for which the calls of one plan may take, so that the demand stays known.
const CALLS_MS: u64 = 1_000;
/// Time for which the store must have been available before its list of engines is relied on. Within
/// it all live engines have registered again.
const STEADY_MS: u64 = 3_000;
/// Time beyond the boot time after which engines that an earlier holder ordered are listed.
const BOOT_SLACK_MS: u64 = 3_000;
/// Time without a further engine after which all engines that were started with the hosts have registered.
const REGISTRATION_MS: u64 = 2_000;
/// Epoch of the first holder, which has no predecessor.
const FIRST_EPOCH: u64 = 1;
/// Shortest interval between two log lines on the need for the engines of a service.
const NEED_LOG_INTERVAL_MS: u64 = 2_000;
/// Price that is assumed for a zone without one.
const DEFAULT_PRICE: f64 = 1.0;

/// Requests that a plain back end is assumed to run concurrently; the configuration does not say. If
/// it runs fewer, full queues raise the demand.
const PLAIN_SLOTS: u32 = 6;

/// Engines of a service whose number is about to change.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PendingEngines {
    /// Engines that were ordered and do not serve yet.
    pub booting: u32,
    /// Engines that serve and were ordered away.
    pub given_back: u32,
}

/// A service whose number of engines follows the demand.
#[derive(Debug, Clone)]
struct ScaledService {
    name: String,
    spec: ScalingSpec,
    /// `None` for a plain service.
    engine: Option<EngineSpec>,
}

impl ScaledService {
    fn limits(&self) -> Limits {
        Limits {
            min: self.spec.min_engines,
            max: self.spec.max_engines,
            boot_ms: self.spec.boot_ms,
            spot_price: self.spec.spot_price,
        }
    }

    fn capacity(&self) -> Capacity {
        match self.engine {
            Some(engine) => Capacity::Engine(EngineCapacity {
                slots: engine.slots,
                kv_tokens: engine.kv_tokens,
            }),
            None => Capacity::Plain { slots: PLAIN_SLOTS },
        }
    }
}

/// Why no engines are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pause {
    /// The list of engines is incomplete or may be out of date.
    Directory,
    /// The demand of too many hosts is unknown, or was observed for too short a time.
    Demand,
    /// The platform seems to have seen a higher fencing token.
    Stopped,
}

/// Engines that were there before the first order.
#[derive(Debug, Default, Clone, Copy)]
struct FoundEngines {
    /// Most engines that were left after the loss of any zone's spot engines.
    remaining: u32,
    /// Since when there have not been more.
    since_ms: u64,
}

/// State of a service under one epoch.
struct ServiceState {
    zones: Vec<String>,
    /// Whether the zones are those with a price.
    is_priced: bool,
    planner: Planner,
    orders: ScaleOrders,
    history: NeedHistory,
    found: FoundEngines,
    pause: Option<Pause>,
    /// Whether anything was ordered under this epoch.
    has_ordered: bool,
    need_logged_ms: u64,
}

impl ServiceState {
    fn new(zones: Vec<String>, is_priced: bool) -> Self {
        Self {
            planner: Planner::new(zones.len()),
            zones,
            is_priced,
            orders: ScaleOrders::default(),
            history: NeedHistory::default(),
            found: FoundEngines::default(),
            pause: None,
            has_ordered: false,
            need_logged_ms: 0,
        }
    }
}

/// State of the holder under one epoch.
struct HolderState {
    epoch: u64,
    services: IndexMap<String, ServiceState>,
}

/// Limits the calls to a share of those that the control API accepts.
struct CallBudget {
    per_ms: f64,
    calls: f64,
    last_ms: u64,
}

impl CallBudget {
    fn new(duty_per_s: f64, now_ms: u64) -> Self {
        Self {
            per_ms: duty_per_s * CALL_SHARE / 1_000.0,
            calls: 1.0,
            last_ms: now_ms,
        }
    }

    fn try_take(&mut self, now_ms: u64) -> bool {
        let most = (self.per_ms * 1_000.0).max(1.0);
        let elapsed_ms = now_ms.saturating_sub(self.last_ms);
        self.last_ms = now_ms;
        self.calls = (self.calls + elapsed_ms as f64 * self.per_ms).min(most);
        let is_allowed = self.calls >= 1.0;
        if is_allowed {
            self.calls -= 1.0;
        }
        is_allowed
    }
}

/// Orders engines while this host holds the lease, for as long as the process lives.
pub async fn order_engines<B: Backends, C: ControlApi>(
    host: Rc<Host<B>>,
    lease: Rc<RoleLease>,
    control: C,
) {
    let mut holder: Option<HolderState> = None;
    let mut budget = CallBudget::new(host.deployment.duty_per_s, lease.now_ms());
    let mut steady_since_ms = lease.now_ms();
    loop {
        sleep(PLAN_INTERVAL).await;
        let now_ms = lease.now_ms();
        if host.relay.store_health.is_unavailable() || !host.directory.borrow().has_full_listing() {
            steady_since_ms = now_ms;
        }
        let services = scaled_services(&host);
        let Some(authority) = lease.authority().filter(|_| !services.is_empty()) else {
            if holder.take().is_some() {
                end_holding(&host);
            }
            continue;
        };
        let state = holder.take().filter(|state| state.epoch == authority.epoch);
        let state = holder.insert(state.unwrap_or_else(|| HolderState {
            epoch: authority.epoch,
            services: IndexMap::new(),
        }));
        // A service may have lost its limits since the last step.
        let is_scaled = |name: &String| services.iter().any(|s| s.name == *name);
        state.services.retain(|name, _| is_scaled(name));
        host.pending_engines
            .borrow_mut()
            .retain(|name, _| is_scaled(name));
        collect_demand(&host, services.len());
        let is_ready =
            may_order(&host, &lease, &authority) && now_ms >= steady_since_ms + STEADY_MS;
        for service in &services {
            plan_service(
                &host,
                state,
                service,
                services.len(),
                &authority,
                is_ready,
                now_ms,
            );
        }
        make_calls(&host, &lease, &control, state, &mut budget).await;
    }
}

fn end_holding<B>(host: &Host<B>) {
    host.service_demand.forget();
    host.pending_engines.borrow_mut().clear();
    host.metrics.serving_engines.clear();
    host.metrics.ordered_engines.clear();
}

/// Returns the services whose number of engines, or of plain back ends, may be ordered.
fn scaled_services<B>(host: &Host<B>) -> Vec<ScaledService> {
    let Some(config) = host.config() else {
        return Vec::new();
    };
    let scaled = config.services.iter().filter_map(|(name, service)| {
        Some(ScaledService {
            name: name.clone(),
            spec: service.scaling.clone()?,
            engine: service.engine,
        })
    });
    scaled.collect()
}

fn collect_demand<B>(host: &Host<B>, services: usize) {
    let peers = host.peers.ids();
    let clock_ms = host.clock.now_ms();
    host.service_demand
        .collect(host.id(), &peers, services, clock_ms);
    host.peer_updates.notify_one();
}

/// Plans one service and sets the numbers to order.
fn plan_service<B>(
    host: &Host<B>,
    state: &mut HolderState,
    service: &ScaledService,
    services: usize,
    authority: &Authority,
    is_ready: bool,
    now_ms: u64,
) {
    let state = service_state(host, state, service);
    let limits = service.limits();
    let zones = zone_states(host, service, state, now_ms);
    publish(host, service, state, &zones, &limits, now_ms);
    for zone in state.planner.observe(&zones, now_ms) {
        let fields = format!("service={} zone={}", service.name, state.zones[zone]);
        log::write(Event::SpotLost, &fields);
    }
    let hosts: Vec<HostId> = host.peers.ids().into_iter().chain([host.id()]).collect();
    let clock_ms = host.clock.now_ms();
    let demand = host
        .service_demand
        .total(&hosts, services, &service.name, clock_ms);
    if let Some(demand) = &demand {
        state.history.observe(demand, service.capacity(), now_ms);
    }
    let remaining = remaining_engines(&zones);
    if !state.has_ordered && remaining > state.found.remaining {
        state.found = FoundEngines {
            remaining,
            since_ms: now_ms,
        };
    }
    let found = state.found;
    let idle_need = || {
        let is_complete = now_ms >= found.since_ms + REGISTRATION_MS;
        let need = state.history.idle_need(found.remaining, now_ms);
        need.filter(|_| is_complete)
    };
    let need = state.history.need(now_ms).or_else(idle_need);
    let need = need.filter(|_| demand.is_some());
    let pause = match need {
        _ if state.orders.is_stopped() => Some(Pause::Stopped),
        _ if !is_ready => Some(Pause::Directory),
        None => Some(Pause::Demand),
        Some(_) => None,
    };
    if state.pause != pause {
        let fields = format!("service={} reason={pause:?}", service.name);
        log::write(Event::ScalePaused, &fields);
        state.pause = pause;
    }
    let Some(need) = need.filter(|_| pause.is_none()) else {
        return;
    };
    if let Some(demand) = &demand {
        log_need(state, service, demand, &need, now_ms);
    }
    let is_successor = authority.epoch > FIRST_EPOCH;
    // Engines that the previous holder ordered may still be booting.
    let own_ms = (authority.since_ms + host.deployment.lease_ms + BOOT_SLACK_MS)
        .saturating_add(limits.boot_ms);
    let lowering = if is_successor && now_ms < own_ms {
        Lowering::Forbidden
    } else {
        state.history.lowering(now_ms)
    };
    let changes = state.planner.plan(&limits, &zones, &need, lowering, now_ms);
    let may_lower = lowering != Lowering::Forbidden;
    if is_successor && may_lower && !state.has_ordered && changes.is_empty() {
        state.has_ordered = true;
        affirm(state, &zones);
    }
    for change in changes {
        state.has_ordered = true;
        set_order(state, change);
    }
}

/// Returns the number of engines that serve after the loss of the spot engines of the zone with the most.
fn remaining_engines(zones: &[ZoneState]) -> u32 {
    let serving = zones.iter().map(|z| z.ordinary.serving + z.spot.serving);
    let most_spot = zones.iter().map(|z| z.spot.serving).max();
    serving.sum::<u32>() - most_spot.unwrap_or(0)
}

/// Logs the demand and the need that follows from it, at most once in [`NEED_LOG_INTERVAL_MS`].
fn log_need(
    state: &mut ServiceState,
    service: &ScaledService,
    demand: &DemandSample,
    need: &Need,
    now_ms: u64,
) {
    if now_ms < state.need_logged_ms + NEED_LOG_INTERVAL_MS {
        return;
    }
    state.need_logged_ms = now_ms;
    let Level {
        prefill_ms_per_s,
        streams,
        tokens_k,
    } = demand.all;
    let fields = format!(
        "service={} prefill_ms_per_s={prefill_ms_per_s} streams={streams} tokens_k={tokens_k} \
         whole={:.1} firm={:.1} urgent={:.1} reserve={:.1}",
        service.name, need.whole, need.firm, need.urgent, need.reserve
    );
    log::write(Event::ScaleNeed, &fields);
}

/// Orders the number of ordinary engines that are there. The call shows the platform this epoch, so
/// that it refuses calls of an earlier holder that arrive late.
fn affirm(state: &mut ServiceState, zones: &[ZoneState]) {
    let zones = zones.iter().enumerate();
    let most = zones.max_by_key(|(_, zone)| zone.ordinary.serving);
    if let Some((zone, engines)) = most.filter(|(_, zone)| zone.ordinary.serving > 0) {
        set_order(
            state,
            Change {
                zone,
                kind: EngineKind::Ordinary,
                engines: engines.ordinary.serving,
                is_raise: false,
            },
        );
    }
}

fn set_order(state: &mut ServiceState, change: Change) {
    let order = state.orders.order(change.zone, change.kind);
    state.orders.set(order, change.engines, change.is_raise);
}

/// Returns the state of a service, whose zones are those with a price. Without prices they are those in
/// which an engine was listed under this epoch; a zone that has lost its engines stays.
fn service_state<'a, B>(
    host: &Host<B>,
    state: &'a mut HolderState,
    service: &ScaledService,
) -> &'a mut ServiceState {
    let services = &mut state.services;
    let mut zones: Vec<String> = service.spec.zone_prices.keys().cloned().collect();
    zones.sort();
    let is_priced = !zones.is_empty();
    let known = services.get(&service.name);
    let is_other =
        |known: &ServiceState| known.is_priced != is_priced || (is_priced && known.zones != zones);
    if known.is_none_or(is_other) {
        let created = ServiceState::new(zones, is_priced);
        services.insert(service.name.clone(), created);
    }
    let state = &mut services[&service.name];
    if !is_priced {
        add_listed_zones(host, state, &service.name);
    }
    state
}

fn add_listed_zones<B>(host: &Host<B>, state: &mut ServiceState, service: &str) {
    let directory = host.directory.borrow();
    for key in directory.serving(service, host.now_ms()) {
        let zone = &directory.get(key).entry.zone;
        if !state.zones.contains(zone) {
            state.zones.push(zone.clone());
            state.planner.add_zone();
        }
    }
}

fn zone_states<B>(
    host: &Host<B>,
    service: &ScaledService,
    state: &mut ServiceState,
    now_ms: u64,
) -> Vec<ZoneState> {
    let zones: Vec<String> = state.zones.clone();
    let states = zones.iter().enumerate().map(|(zone, name)| {
        let price = service.spec.zone_prices.get(name);
        let mut kind = |kind: EngineKind| {
            let order = state.orders.order(zone, kind);
            KindState {
                ordered: state.orders.ordered(order, now_ms),
                ..listed(host, service, name, kind)
            }
        };
        ZoneState {
            price: price.copied().unwrap_or(DEFAULT_PRICE),
            ordinary: kind(EngineKind::Ordinary),
            spot: kind(EngineKind::Spot),
        }
    });
    states.collect()
}

/// Returns the engines of a zone and kind as the directory lists them.
fn listed<B>(host: &Host<B>, service: &ScaledService, zone: &str, kind: EngineKind) -> KindState {
    let now_ms = host.now_ms();
    let directory = host.directory.borrow();
    let is_of_kind = |key: &BackendKey| {
        let entry = &directory.get(*key).entry;
        entry.zone == zone && entry.is_spot == (kind == EngineKind::Spot)
    };
    let serving = directory.serving(&service.name, now_ms);
    let serving: Vec<_> = serving.into_iter().filter(is_of_kind).collect();
    // A plain back end has no phase; it is unavailable for a moment when it is full.
    let is_changing =
        |key: &&BackendKey| service.engine.is_some() && directory.get(**key).is_unavailable(now_ms);
    let changing = serving.iter().filter(is_changing);
    let leaving = directory.taken_back(&service.name, now_ms);
    let count = |engines: usize| u32::try_from(engines).unwrap_or(u32::MAX);
    KindState {
        serving: count(serving.len()),
        changing: count(changing.count()),
        leaving: count(leaving.iter().filter(|key| is_of_kind(key)).count()),
        ordered: None,
    }
}

/// Publishes the engines that boot or were ordered away for the planner of roles, and the metrics.
fn publish<B>(
    host: &Host<B>,
    service: &ScaledService,
    state: &mut ServiceState,
    zones: &[ZoneState],
    limits: &Limits,
    now_ms: u64,
) {
    let mut pending = PendingEngines::default();
    for (at, (zone, name)) in zones.iter().zip(&state.zones).enumerate() {
        for (kind, engines) in [
            (EngineKind::Ordinary, &zone.ordinary),
            (EngineKind::Spot, &zone.spot),
        ] {
            // An order that does not reach the platform must not delay changes of phase for long.
            let order = state.orders.order(at, kind);
            let sent = KindState {
                ordered: state.orders.in_effect(order),
                ..*engines
            };
            pending.booting += sent.booting(limits, now_ms);
            pending.given_back += sent.given_back(limits, now_ms);
            let label = label(&service.name, name, kind);
            let serving = i64::from(engines.serving);
            host.metrics
                .serving_engines
                .get_or_create(&label)
                .set(serving);
            if let Some((ordered, _)) = engines.ordered {
                let gauge = host.metrics.ordered_engines.get_or_create(&label);
                gauge.set(i64::from(ordered));
            }
        }
    }
    let mut all = host.pending_engines.borrow_mut();
    all.insert(service.name.clone(), pending);
}

fn label(service: &str, zone: &str, kind: EngineKind) -> ByEngineKind {
    let kind = match kind {
        EngineKind::Ordinary => "ordinary",
        EngineKind::Spot => "spot",
    };
    ByEngineKind {
        service: service.to_owned(),
        zone: zone.to_owned(),
        kind: kind.to_owned(),
    }
}

/// Makes the calls that are due, one after the other.
async fn make_calls<B: Backends, C: ControlApi>(
    host: &Host<B>,
    lease: &RoleLease,
    control: &C,
    holder: &mut HolderState,
    budget: &mut CallBudget,
) {
    let start_ms = lease.now_ms();
    let epoch = holder.epoch;
    let is_held = || lease.authority().map(|a| a.epoch) == Some(epoch);
    for (name, state) in &mut holder.services {
        while lease.now_ms() < start_ms + CALLS_MS && state.pause.is_none() {
            let Some(call) = state.orders.next(lease.now_ms()) else {
                break;
            };
            let is_store_available = !host.relay.store_health.is_unavailable();
            if !budget.try_take(lease.now_ms()) || !is_store_available {
                return;
            }
            let order = order_of(name, state, call);
            let duty_holder = DutyHolder {
                host: host.deployment.name.clone(),
                fence: epoch,
            };
            // A pause of the process before this check is noticed by it; one after it, by the
            // platform, if a successor has made a call.
            if !is_held() {
                return;
            }
            let sent_ms = lease.now_ms();
            let reply = control.order_engines(&duty_holder, &order).await;
            if !is_held() {
                log_refusal(&order, epoch, &format!("{reply:?}, and the lease was lost"));
                return;
            }
            record(host, state, call, &order, epoch, &reply, sent_ms);
        }
    }
}

fn order_of(service: &str, state: &ServiceState, call: Call) -> ScaleOrder {
    let (zone, kind) = state.orders.target(call.order);
    ScaleOrder {
        service: service.to_owned(),
        zone: state.zones[zone].clone(),
        is_spot: kind == EngineKind::Spot,
        engines: call.engines,
    }
}

fn record<B>(
    host: &Host<B>,
    state: &mut ServiceState,
    call: Call,
    order: &ScaleOrder,
    epoch: u64,
    reply: &Result<DutyReply, CallFault>,
    sent_ms: u64,
) {
    let outcome = match reply {
        Ok(DutyReply::Done) => Outcome::Done,
        Ok(DutyReply::Conflict) => Outcome::Conflict,
        Ok(DutyReply::Refused(_))
        | Err(CallFault::NotSent(_) | CallFault::NotProxied(_) | CallFault::NotRun { .. }) => {
            Outcome::Refused
        }
        Err(CallFault::Broken(_) | CallFault::TimedOut | CallFault::Invalid(_)) => Outcome::Unknown,
    };
    let (zone, kind) = state.orders.target(call.order);
    let verdict = state.orders.record(call, outcome, sent_ms);
    if outcome == Outcome::Done {
        log::write(Event::ScaleOrdered, &fields(order, epoch));
        if kind == EngineKind::Spot {
            state.planner.record_success(zone);
        }
        return;
    }
    log_refusal(order, epoch, &format!("{reply:?}"));
    let label = label(&order.service, &order.zone, kind);
    host.metrics
        .refused_engine_orders
        .get_or_create(&label)
        .inc();
    match verdict {
        Verdict::None => {}
        Verdict::NoSpot => state.planner.record_refusal(zone, sent_ms),
        Verdict::Stopped => log::write(Event::ScaleStopped, &fields(order, epoch)),
    }
}

fn log_refusal(order: &ScaleOrder, epoch: u64, reply: &str) {
    let fields = format!("{} reply={reply}", fields(order, epoch));
    log::write(Event::ScaleRefused, &fields);
}

fn fields(order: &ScaleOrder, epoch: u64) -> String {
    format!(
        "service={} zone={} spot={} engines={} fence={epoch}",
        order.service, order.zone, order.is_spot, order.engines
    )
}
