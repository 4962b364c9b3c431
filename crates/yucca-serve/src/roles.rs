//! Orders to engines: the holder of the lease keeps the split between reading and generating.
//!
//! One host at a time holds the lease. Its epoch is the fencing number of its orders. Each order
//! also names the number of orders that the engine accepted before, so that one that arrives late
//! has no effect.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, sleep, timeout};
use yucca_io::log;
use yucca_io::writer::new_token;
use yuccacove::event::Event;
use yuccacove::lease::{self, Authority, Lease, LeaseState, Next, Timing};
use yuccacove::phase_split::{Change, Member, next_changes};
use yuccacove::prompt_placement::Phase;
use yuccacove::store::{Stored, Write, WriteResult};

use crate::directory::BackEndKey;
use crate::host::Host;
use crate::peers::Away;
use crate::ports::{
    BackEnds, CallFault, Freshness, Kind, Object, ObjectStore, OrderReply, PhaseOrder, StoreFault,
};

/// Name of the lease's object.
pub const LEASE_NAME: &str = "lease.engine-roles";
/// Interval in which the split is looked at.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);
/// Longest wait of the lease's loop.
const MAX_WAIT_MS: u64 = 500;
/// Pause after a call to the store that failed.
const STORE_RETRY: Duration = Duration::from_millis(200);
/// Time for which an order without an answer may still be carried out.
const UNKNOWN_ORDER_MS: u64 = 13_000;
/// Time that an engine may need beyond its change before it is listed with its new phase: it first
/// ends the generations that it runs.
const LIST_SLACK_MS: u64 = 12_000;
/// Datagrams by which the other hosts learn that an engine is about to change.
const ANNOUNCEMENTS: u32 = 3;
/// Interval of these datagrams.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(15);
/// Pause before an engine that refused an order is ordered again.
const REFUSED_MS: u64 = 2_000;
/// Time without a new back end after which all are taken as listed.
const SETTLED_MS: u64 = 1_200;

/// The lease on engine roles as this host sees it.
pub struct RoleLease {
    state: RefCell<LeaseState<String>>,
    changed: Notify,
    clock: Box<dyn Fn() -> u64>,
}

impl RoleLease {
    /// A lease that was not seen yet. `clock` gives milliseconds and must also run while the host is
    /// suspended.
    pub fn new(host: &str, clock: impl Fn() -> u64 + 'static) -> Self {
        let timing = Timing {
            stagger_ms: lease::stagger_ms(LEASE_NAME, host),
            ..Timing::default()
        };
        Self {
            state: RefCell::new(LeaseState::new(host.to_owned(), timing)),
            changed: Notify::new(),
            clock: Box::new(clock),
        }
    }

    fn now_ms(&self) -> u64 {
        (self.clock)()
    }

    /// Takes the lease's object from a read that may lag: a write that follows from an old one meets
    /// a newer revision and has no effect.
    pub fn observe(&self, object: &Object) {
        if let Some(stored) = stored(object) {
            self.state.borrow_mut().observe(stored, self.now_ms());
            self.changed.notify_one();
        }
    }

    /// Gives the lease up.
    pub fn stop(&self) {
        self.state.borrow_mut().stop();
        self.changed.notify_one();
    }

    /// The authority to order, to be asked for before each order.
    pub fn authority(&self) -> Option<Authority> {
        self.state.borrow().authority(self.now_ms())
    }
}

/// The object as the keeper takes it; `None` when it cannot be read, and a lease that was never
/// written counts as absent.
fn stored(object: &Object) -> Option<Stored<Lease>> {
    let value = match &object.value {
        Some(value) if !object.is_removed => Some(serde_json::from_value(value.clone()).ok()?),
        _ => None,
    };
    Some(Stored {
        version: object.revision,
        value,
    })
}

/// Keeps the lease for as long as the process lives, and gives it back at a planned stop.
pub async fn keep_lease<S: ObjectStore>(lease: Rc<RoleLease>, store: Rc<S>) {
    let mut held = false;
    loop {
        let next = lease
            .state
            .borrow_mut()
            .advance(lease.now_ms(), new_token());
        match next {
            Next::Write(write) => {
                let result = write_lease(&*store, &write).await;
                let is_lost = result == WriteResult::Lost;
                lease.state.borrow_mut().written(result, lease.now_ms());
                if is_lost {
                    sleep(STORE_RETRY).await;
                }
            }
            Next::Read => match store
                .read(Kind::Leases, LEASE_NAME, Freshness::Latest)
                .await
            {
                Ok(object) => {
                    let absent = Stored {
                        version: 0,
                        value: None,
                    };
                    let stored = object.as_ref().and_then(stored).unwrap_or(absent);
                    lease.state.borrow_mut().reread(stored, lease.now_ms());
                }
                Err(_) => sleep(STORE_RETRY).await,
            },
            Next::Wait { until_ms } => {
                let left_ms = until_ms.map_or(MAX_WAIT_MS, |t| t.saturating_sub(lease.now_ms()));
                let wait = Duration::from_millis(left_ms.clamp(1, MAX_WAIT_MS));
                // Both ends of the wait lead to the same next step.
                let _ = timeout(wait, lease.changed.notified()).await;
            }
            Next::Finished => return,
        }
        report_change(&lease, &mut held);
    }
}

fn report_change(lease: &RoleLease, held: &mut bool) {
    let authority = lease.authority();
    if authority.is_some() == *held {
        return;
    }
    *held = authority.is_some();
    match authority {
        Some(authority) => log::write(Event::LeaseTaken, &format!("epoch={}", authority.epoch)),
        None => log::write(Event::LeaseLost, ""),
    }
}

async fn write_lease<S: ObjectStore>(store: &S, write: &Write<Lease>) -> WriteResult<Lease> {
    let Ok(value) = serde_json::to_value(&write.value) else {
        return WriteResult::Lost;
    };
    let expected = Some(write.expected).filter(|revision| *revision > 0);
    match store
        .write(Kind::Leases, LEASE_NAME, expected, &value)
        .await
    {
        Ok(revision) => WriteResult::Written(revision),
        Err(StoreFault::Conflict(Some(object))) => match stored(&object) {
            Some(stored) => WriteResult::Conflict(stored),
            None => WriteResult::Lost,
        },
        // The keeper reads the object again before it repeats the write.
        Err(_) => WriteResult::Lost,
    }
}

/// Engines whose phase is uncertain until a time.
#[derive(Debug, Default)]
struct Pending {
    until_ms: IndexMap<BackEndKey, (u64, Phase)>,
}

impl Pending {
    fn set(&mut self, key: BackEndKey, until_ms: u64, phase: Phase) {
        self.until_ms.insert(key, (until_ms, phase));
    }

    /// The phase to which an engine is on its way.
    fn phase(&mut self, key: BackEndKey, now_ms: u64) -> Option<Phase> {
        let (until_ms, phase) = *self.until_ms.get(&key)?;
        if now_ms < until_ms {
            return Some(phase);
        }
        self.until_ms.swap_remove(&key);
        None
    }
}

/// Orders changes while this host holds the lease.
pub async fn plan_roles<B: BackEnds>(host: Rc<Host<B>>, lease: Rc<RoleLease>) {
    let mut pending = Pending::default();
    let mut listed = (0, 0);
    loop {
        sleep(PLAN_INTERVAL).await;
        let now_ms = host.now_ms();
        observe_demand(&host);
        // While engines still register, the split of the few that are listed is no use.
        let back_ends = host.directory.borrow().len();
        if listed.0 != back_ends {
            listed = (back_ends, now_ms);
        }
        if now_ms < listed.1 + SETTLED_MS {
            continue;
        }
        let is_idle = !host.demand.borrow().is_known();
        let Some(authority) = lease.authority().filter(|a| may_order(&host, &lease, a)) else {
            continue;
        };
        for service in engine_services(&host) {
            let (keys, members) = pool(&host, &service.name, &mut pending);
            let slots = service.slots;
            let target = host.demand.borrow().decode_target(members.len(), slots);
            for change in next_changes(&members, target, is_idle) {
                let key = keys[change.engine];
                order(
                    &host,
                    &lease,
                    authority,
                    key,
                    change,
                    service.switch_ms,
                    &mut pending,
                )
                .await;
            }
        }
    }
}

fn observe_demand<B>(host: &Host<B>) {
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    let streams = directory
        .iter_mut()
        .map(|b| b.load.all_streams(now_ms))
        .sum();
    host.demand.borrow_mut().observe(streams, now_ms);
}

/// A successor waits until the orders of the holder before it are out of the way.
fn may_order<B>(host: &Host<B>, lease: &RoleLease, authority: &Authority) -> bool {
    const FIRST_EPOCH: u64 = 1;
    let wait_ms = if authority.epoch == FIRST_EPOCH {
        0
    } else {
        host.deployment.lease_ms
    };
    lease.now_ms() >= authority.since_ms + wait_ms && host.directory.borrow().is_listed()
}

struct EngineService {
    name: String,
    slots: u32,
    switch_ms: u64,
}

fn engine_services<B>(host: &Host<B>) -> Vec<EngineService> {
    let Some(config) = host.config() else {
        return Vec::new();
    };
    let engines = config.services.iter().filter_map(|(name, service)| {
        let engine = service.engine?;
        Some(EngineService {
            name: name.clone(),
            slots: engine.slots,
            switch_ms: engine.switch_ms,
        })
    });
    engines.collect()
}

fn pool<B>(host: &Host<B>, service: &str, pending: &mut Pending) -> (Vec<BackEndKey>, Vec<Member>) {
    let now_ms = host.now_ms();
    let directory = host.directory.borrow();
    let keys = directory.usable(service, now_ms);
    let mut zones: Vec<&str> = Vec::new();
    let members = keys
        .iter()
        .map(|key| {
            let entry = &directory.get(*key).entry;
            let zone = zones.iter().position(|z| *z == entry.zone);
            let zone = zone.unwrap_or_else(|| {
                zones.push(&entry.zone);
                zones.len() - 1
            });
            let ordered = pending.phase(*key, now_ms);
            Member {
                phase: ordered.unwrap_or(entry.phase),
                is_changing: ordered.is_some_and(|phase| phase != entry.phase),
                zone,
            }
        })
        .collect();
    (keys, members)
}

/// Keeps requests off an engine before it is ordered to change, since those that wait there are
/// refused, until it is listed with its new phase or `for_ms` has passed. 0 ends the absence.
async fn announce_away<B>(host: &Host<B>, key: BackEndKey, for_ms: u64) {
    let away = Away {
        engine: host.directory.borrow().get(key).id_hash(),
        for_ms: u32::try_from(for_ms).unwrap_or(u32::MAX),
    };
    let until_ms = host.now_ms() + for_ms;
    host.directory.borrow_mut().get_mut(key).set_away(until_ms);
    // Datagrams may be lost.
    for _ in 0..ANNOUNCEMENTS {
        host.peers.tell_away(away);
        host.news.notify_one();
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn order<B: BackEnds>(
    host: &Rc<Host<B>>,
    lease: &RoleLease,
    authority: Authority,
    key: BackEndKey,
    change: Change,
    switch_ms: u64,
    pending: &mut Pending,
) {
    let target = host.target(key);
    let to_prefill = change.to == Phase::Prefill;
    let report = match host.back_ends.report(&target).await {
        Ok(report) if !report.is_changing && report.is_prefill != to_prefill => report,
        Ok(_) => return pending.set(key, host.now_ms() + REFUSED_MS, change.to),
        Err(fault) => {
            let fields = format!("back_end={} report={fault:?}", target.id);
            log::write(Event::OrderRefused, &fields);
            return pending.set(key, host.now_ms() + REFUSED_MS, change.to);
        }
    };
    announce_away(host, key, switch_ms + LIST_SLACK_MS).await;
    // Reading the report may have taken longer than the lease lasts.
    if lease.authority().map(|a| a.epoch) != Some(authority.epoch) {
        return announce_away(host, key, 0).await;
    }
    let order = PhaseOrder {
        to_prefill,
        holder: host.deployment.name.clone(),
        fence: authority.epoch,
        expected_orders: report.orders,
    };
    let reply = host.back_ends.order(&target, &order).await;
    let fields = format!(
        "back_end={} to={:?} fence={} expected={} reply={reply:?}",
        target.id, change.to, order.fence, order.expected_orders
    );
    let now_ms = host.now_ms();
    let until_ms = match reply {
        Ok(OrderReply::Accepted) => now_ms + switch_ms + LIST_SLACK_MS,
        Ok(OrderReply::Holds | OrderReply::Busy | OrderReply::Fenced | OrderReply::Refused(_))
        | Err(CallFault::NotSent(_) | CallFault::NotRun { .. }) => now_ms + REFUSED_MS,
        Err(CallFault::Broken(_) | CallFault::Crossed) => now_ms + UNKNOWN_ORDER_MS,
    };
    let event = match reply {
        Ok(OrderReply::Accepted | OrderReply::Holds) => Event::OrderSent,
        _ => Event::OrderRefused,
    };
    log::write(event, &fields);
    pending.set(key, until_ms, change.to);
    let is_unchanged = !matches!(
        reply,
        Ok(OrderReply::Accepted) | Err(CallFault::Broken(_) | CallFault::Crossed)
    );
    if is_unchanged {
        announce_away(host, key, 0).await;
    }
}
