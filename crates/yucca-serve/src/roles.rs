//! Orders to engines: the holder of a lease controls how many engines prefill and how many decode.
//!
//! One host at a time holds the lease. Its epoch is the fencing token of its orders. Each order
//! also states how many orders the engine has accepted before, so that an order that arrives late
//! has no effect.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, sleep, timeout};
use yucca_io::log;
use yucca_io::writer::new_token;
use yuccacove::event::Event;
use yuccacove::lease::{self, Authority, Lease, LeaseState, Next, Timing};
use yuccacove::phase_split::{Change, Member, changes_after_loss, next_changes};
use yuccacove::prompt_placement::Phase;
use yuccacove::store::{Stored, Write, WriteResult};

use crate::directory::{BackendKey, Directory};
use crate::follow::StoreHealth;
use crate::host::Host;
use crate::peers::EngineUnavailable;
use crate::ports::{
    Backends, CallFault, Freshness, Kind, Object, ObjectStore, OrderReply, PhaseOrder, StoreFault,
};
use crate::revision::era_of;
use crate::scaling::PendingEngines;

/// Name of the lease object in the store.
pub const LEASE_NAME: &str = "lease.engine-roles";
/// Interval between two checks of the split into phases.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time that the lease loop waits before its next step.
const MAX_WAIT_MS: u64 = 500;
/// Longest time for which a host that starts waits for its first probe of the store.
const FIRST_PROBE_LIMIT: Duration = Duration::from_secs(3);
/// Interval at which the lease loop checks whether the store is available again.
const UNAVAILABLE_CHECK: Duration = Duration::from_millis(100);
/// Number of calls without a pause: a read, an acquisition and a read after a conflict.
const MAX_CALLS_IN_A_ROW: u32 = 3;
/// Era of a store that was never restored. A store that names no era is in an earlier one.
const FIRST_ERA: u64 = 1;
/// Bits of an epoch below those that count restores of the store. Epochs are fencing tokens, and
/// those given out since the copy are not known after a restore.
const ERA_SHIFT: u32 = 32;
/// Pause after a failed call to the store.
const STORE_RETRY: Duration = Duration::from_millis(200);
/// Time for which an order without a reply may still be carried out.
const UNKNOWN_ORDER_MS: u64 = 13_000;
/// Time that an engine may need, in addition to the change itself, before it registers with its new
/// phase: it first completes its running generations.
const REGISTRATION_SLACK_MS: u64 = 12_000;
/// Number of datagrams that announce to the other hosts that an engine is about to change.
const ANNOUNCEMENTS: u32 = 3;
/// Interval between these datagrams.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(15);
/// Pause before another order to an engine that refused one.
const REFUSAL_PAUSE_MS: u64 = 2_000;
/// Time for which the split is restored at once after a loss of the spot engines of a zone. It ends
/// before their replacements serve, whose phases lead to another split.
const RECOVERY_MS: u64 = 3_000;
/// Shortest time between two such losses. Engines that are taken back are listed for about two
/// seconds.
const LOSS_GAP_MS: u64 = 5_000;
/// Smallest number of spot engines whose loss counts.
const MIN_LOST_ENGINES: usize = 2;
/// Time without a new backend after which the directory is assumed to be complete.
const SETTLED_MS: u64 = 1_200;

/// The lease on engine roles, as this host knows it.
pub struct RoleLease {
    state: RefCell<LeaseState<String>>,
    /// Delay of this host in a small fleet before it acquires a free lease.
    stagger_ms: u64,
    /// Whether a probe of the store has returned a result, and whether it was a lease.
    is_probed: Cell<bool>,
    is_observed: Cell<bool>,
    /// Era of the store that the state is based on; `None` before the first response.
    era: Cell<Option<u64>>,
    changed: Notify,
    clock: Box<dyn Fn() -> u64>,
}

impl RoleLease {
    /// Creates the state of a lease that has not been read yet. `clock` returns milliseconds and
    /// must advance even while the host is suspended.
    pub fn new(host: &str, clock: impl Fn() -> u64 + 'static) -> Self {
        let stagger_ms = lease::stagger_ms(LEASE_NAME, host);
        let timing = Timing {
            stagger_ms,
            ..Timing::default()
        };
        Self {
            stagger_ms,
            is_probed: Cell::new(false),
            is_observed: Cell::new(false),
            era: Cell::new(None),
            state: RefCell::new(LeaseState::new(host.to_owned(), timing)),
            changed: Notify::new(),
            clock: Box::new(clock),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        (self.clock)()
    }

    /// Updates the state from a read of the lease object, which may be stale: a write that is based
    /// on a stale object fails with a conflict and has no effect. A stale read may also miss a lease
    /// that was created a moment ago, so `None` does not change the state.
    pub fn observe(&self, object: Option<&Object>) {
        let object = object.filter(|object| self.is_of_era(era_of(object.revision)));
        if let Some(stored) = object.and_then(decode_lease) {
            self.is_observed.set(true);
            self.state.borrow_mut().observe(stored, self.now_ms());
        }
        self.is_probed.set(true);
        self.changed.notify_one();
    }

    /// Starts anew if the store was restored from a copy. Authority under the lease ends, because the
    /// store may show the lease as it was under an earlier holder.
    fn follow_era(&self, era: u64) {
        let known_era = self.era.replace(Some(era));
        if known_era == Some(era) || (known_era.is_none() && era <= FIRST_ERA) {
            return;
        }
        let epoch_floor = era.saturating_sub(FIRST_ERA) << ERA_SHIFT;
        self.state.borrow_mut().restore(epoch_floor);
    }

    fn is_of_era(&self, era: u64) -> bool {
        self.era.get().is_none_or(|known| known == era)
    }

    /// Spreads the attempts of a fleet of `hosts` to acquire a free lease.
    fn set_hosts(&self, hosts: u32) {
        let stagger_ms = lease::scaled_stagger_ms(self.stagger_ms, hosts);
        self.state.borrow_mut().set_stagger_ms(stagger_ms);
    }

    /// Waits until a probe of the store has returned the lease. If the store has none, the hosts of
    /// a fleet that starts end their waits one after the other, so that only a few of them read and
    /// create it.
    async fn wait_for_observation(&self) {
        let probed = async {
            while !self.is_probed.get() {
                self.changed.notified().await;
            }
        };
        // Without a probe's result the host reads the lease itself.
        let _ = timeout(FIRST_PROBE_LIMIT, probed).await;
        let observed = async {
            while !self.is_observed.get() {
                self.changed.notified().await;
            }
        };
        let stagger_ms = self.state.borrow().stagger_ms();
        let _ = timeout(Duration::from_millis(stagger_ms), observed).await;
    }

    /// Stops giving orders under the lease; [`maintain_lease`] then releases it.
    pub fn stop(&self) {
        self.state.borrow_mut().stop();
        self.changed.notify_one();
    }

    /// Returns the authority to give orders if this host holds the lease. It must be checked before
    /// each order.
    pub fn authority(&self) -> Option<Authority> {
        self.state.borrow().authority(self.now_ms())
    }
}

/// Decodes a lease object; `None` if it cannot be decoded. A removed object or one without content
/// counts as an absent lease.
fn decode_lease(object: &Object) -> Option<Stored<Lease>> {
    let value = match &object.value {
        Some(value) if !object.is_removed => Some(serde_json::from_value(value.clone()).ok()?),
        _ => None,
    };
    Some(Stored {
        version: object.revision,
        value,
    })
}

/// Acquires and renews the lease for as long as the process lives, and releases it on a graceful
/// shutdown. While probes of the store fail it makes no calls; a lease that is held lapses then.
pub async fn maintain_lease<S: ObjectStore>(
    lease: Rc<RoleLease>,
    store: Rc<S>,
    store_health: Rc<StoreHealth>,
) {
    let mut is_held = false;
    lease.wait_for_observation().await;
    let mut calls_in_a_row = 0;
    loop {
        if store_health.is_unavailable() {
            sleep(UNAVAILABLE_CHECK).await;
            log_change(&lease, &mut is_held);
            continue;
        }
        // Before its first response the store names no era.
        if store.era() > 0 {
            lease.follow_era(store.era());
        }
        if calls_in_a_row >= MAX_CALLS_IN_A_ROW {
            sleep(STORE_RETRY).await;
        }
        calls_in_a_row += 1;
        let next = lease
            .state
            .borrow_mut()
            .advance(lease.now_ms(), new_token());
        match next {
            Next::Write(write) => {
                let result = write_lease(&*store, &write).await;
                if !lease.is_of_era(store.era()) {
                    // The next step starts anew, whatever the write did.
                    continue;
                }
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
                Ok(_) if !lease.is_of_era(store.era()) => {}
                Ok(object) => {
                    let absent = Stored {
                        version: 0,
                        value: None,
                    };
                    let stored = object.as_ref().and_then(decode_lease).unwrap_or(absent);
                    lease.state.borrow_mut().reread(stored, lease.now_ms());
                }
                Err(_) => sleep(STORE_RETRY).await,
            },
            Next::Wait { until_ms } => {
                calls_in_a_row = 0;
                let left_ms = until_ms.map_or(MAX_WAIT_MS, |t| t.saturating_sub(lease.now_ms()));
                let wait = Duration::from_millis(left_ms.clamp(1, MAX_WAIT_MS));
                // A timeout and a notification lead to the same next step.
                let _ = timeout(wait, lease.changed.notified()).await;
            }
            Next::Finished => return,
        }
        log_change(&lease, &mut is_held);
    }
}

fn log_change(lease: &RoleLease, is_held: &mut bool) {
    let authority = lease.authority();
    if authority.is_some() == *is_held {
        return;
    }
    *is_held = authority.is_some();
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
        Err(StoreFault::Conflict(Some(object))) => match decode_lease(&object) {
            Some(stored) => WriteResult::Conflict(stored),
            None => WriteResult::Lost,
        },
        // The lease state requests a read of the object before it repeats the write.
        Err(_) => WriteResult::Lost,
    }
}

/// Engines that were ordered to change, with the time until which their phase is uncertain.
#[derive(Debug, Default)]
struct PendingChanges {
    until_ms: IndexMap<BackendKey, (u64, Phase)>,
}

impl PendingChanges {
    fn set(&mut self, key: BackendKey, until_ms: u64, phase: Phase) {
        self.until_ms.insert(key, (until_ms, phase));
    }

    /// Forgets the changes that are over, also of engines that have left.
    fn expire(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, (until_ms, _)| now_ms < *until_ms);
    }

    /// Returns the phase to which an engine is changing, if any.
    fn phase(&mut self, key: BackendKey, now_ms: u64) -> Option<Phase> {
        let (until_ms, phase) = *self.until_ms.get(&key)?;
        if now_ms < until_ms {
            return Some(phase);
        }
        self.until_ms.swap_remove(&key);
        None
    }
}

/// Orders phase changes while this host holds the lease, for as long as the process lives.
pub async fn plan_roles<B: Backends>(host: Rc<Host<B>>, lease: Rc<RoleLease>) {
    let mut pending = PendingChanges::default();
    let mut losses = SpotLosses::default();
    // Number of backends that joined, and the time at which it last changed.
    let mut listed = (0, 0);
    loop {
        sleep(PLAN_INTERVAL).await;
        let now_ms = host.now_ms();
        observe_demand(&host);
        lease.set_hosts(host.host_count());
        // While engines are still registering, a split of the few known ones would be wrong.
        let backends = host.directory.borrow().joined();
        if listed.0 != backends {
            listed = (backends, now_ms);
        }
        let is_settled = now_ms >= listed.1 + SETTLED_MS;
        let is_idle = !host.demand.borrow().is_known();
        let Some(authority) = lease.authority().filter(|a| may_order(&host, &lease, a)) else {
            continue;
        };
        for service in engine_services(&host) {
            let (keys, members) = pool(&host, &service.name, &mut pending);
            let slots = service.slots;
            let is_recovering = losses.is_recovering(&host, &service.name);
            // Its own partition tells this host nothing of the engines, and orders go through no other host.
            let is_partitioned = host.paths.is_partitioned(&service.name, host.now_ms());
            if is_partitioned || (!is_settled && !is_recovering) {
                continue;
            }
            let scaled = host.pending_engines.borrow().get(&service.name).copied();
            let scaled = scaled.unwrap_or_default();
            let staying = members.len().saturating_sub(scaled.given_back as usize);
            let target = host.demand.borrow().decode_target(staying, slots);
            let is_scaling = scaled != PendingEngines::default();
            let changes = if is_recovering {
                changes_after_loss(&members, target)
            } else if is_scaling && !is_idle {
                // The engines that come or go decide which changes are due.
                Vec::new()
            } else {
                next_changes(&members, target, is_idle)
            };
            for change in changes {
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

/// Zones that have lost their spot engines, by the service.
#[derive(Debug, Default)]
struct SpotLosses {
    /// Time of the last loss of each service.
    lost_ms: IndexMap<String, u64>,
}

impl SpotLosses {
    /// Whether all spot engines of a zone were taken back within the last [`RECOVERY_MS`].
    fn is_recovering<B>(&mut self, host: &Host<B>, service: &str) -> bool {
        let now_ms = host.now_ms();
        let last_ms = self.lost_ms.get(service).copied();
        let is_known = last_ms.is_some_and(|last_ms| now_ms < last_ms + LOSS_GAP_MS);
        if !is_known && has_lost_spot_engines(&host.directory.borrow(), service, now_ms) {
            self.lost_ms.insert(service.to_owned(), now_ms);
        }
        let lost_ms = self.lost_ms.get(service);
        lost_ms.is_some_and(|lost_ms| now_ms < lost_ms + RECOVERY_MS)
    }
}

/// Whether all spot engines of a zone are being taken back.
fn has_lost_spot_engines(directory: &Directory, service: &str, now_ms: u64) -> bool {
    let spot_zones = |keys: Vec<BackendKey>| {
        let entries = keys.into_iter().map(|key| &directory.get(key).entry);
        let spot = entries.filter(|entry| entry.is_spot);
        spot.map(|entry| entry.zone.as_str()).collect::<Vec<_>>()
    };
    let leaving = spot_zones(directory.taken_back(service, now_ms));
    let serving = spot_zones(directory.serving(service, now_ms));
    leaving.iter().any(|zone| {
        let lost = leaving.iter().filter(|other| *other == zone).count();
        lost >= MIN_LOST_ENGINES && !serving.contains(zone)
    })
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

/// Whether this holder may give orders. A successor waits until orders of the previous holder can
/// no longer arrive.
pub(crate) fn may_order<B>(host: &Host<B>, lease: &RoleLease, authority: &Authority) -> bool {
    const FIRST_EPOCH: u64 = 1;
    let wait_ms = if authority.epoch == FIRST_EPOCH {
        0
    } else {
        host.deployment.lease_ms
    };
    lease.now_ms() >= authority.since_ms + wait_ms && host.directory.borrow().has_full_listing()
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

/// Returns the usable engines of a service, and their state as [`next_changes`] takes it.
fn pool<B>(
    host: &Host<B>,
    service: &str,
    pending: &mut PendingChanges,
) -> (Vec<BackendKey>, Vec<Member>) {
    let now_ms = host.now_ms();
    pending.expire(now_ms);
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

/// Marks an engine as unavailable on all hosts, until it registers with its new phase or `for_ms`
/// has passed; 0 makes it available again. This is done before an engine is ordered to change,
/// because a changing engine refuses the requests in its queue.
async fn announce_unavailable<B>(host: &Host<B>, key: BackendKey, for_ms: u64) {
    let announcement = EngineUnavailable {
        engine: host.directory.borrow().get(key).id_hash(),
        for_ms: u32::try_from(for_ms).unwrap_or(u32::MAX),
    };
    let until_ms = host.now_ms() + for_ms;
    host.directory
        .borrow_mut()
        .get_mut(key)
        .set_unavailable(until_ms);
    // Datagrams may be lost.
    for _ in 0..ANNOUNCEMENTS {
        host.peers.announce_unavailable(announcement);
        host.peer_updates.notify_one();
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Orders an engine to change its phase, after announcing to the other hosts that it becomes
/// unavailable. Sends no order if the engine is changing, is in the phase already or does not
/// report, or if the lease has expired.
async fn order<B: Backends>(
    host: &Rc<Host<B>>,
    lease: &RoleLease,
    authority: Authority,
    key: BackendKey,
    change: Change,
    switch_ms: u64,
    pending: &mut PendingChanges,
) {
    let target = host.target(key);
    let to_prefill = change.to == Phase::Prefill;
    let report = match host.backends.report(&target).await {
        Ok(report) if !report.is_changing && report.is_prefill != to_prefill => report,
        Ok(_) => return pending.set(key, host.now_ms() + REFUSAL_PAUSE_MS, change.to),
        Err(fault) => {
            let fields = format!("back_end={} report={fault:?}", target.id);
            log::write(Event::OrderRefused, &fields);
            return pending.set(key, host.now_ms() + REFUSAL_PAUSE_MS, change.to);
        }
    };
    announce_unavailable(host, key, switch_ms + REGISTRATION_SLACK_MS).await;
    // The lease may have expired while the report was requested and the change announced.
    if lease.authority().map(|a| a.epoch) != Some(authority.epoch) {
        return announce_unavailable(host, key, 0).await;
    }
    let order = PhaseOrder {
        to_prefill,
        holder: host.deployment.name.clone(),
        fence: authority.epoch,
        expected_orders: report.orders,
    };
    let reply = host.backends.order(&target, &order).await;
    let fields = format!(
        "back_end={} to={:?} fence={} expected={} reply={reply:?}",
        target.id, change.to, order.fence, order.expected_orders
    );
    let now_ms = host.now_ms();
    let until_ms = match reply {
        Ok(OrderReply::Accepted) => now_ms + switch_ms + REGISTRATION_SLACK_MS,
        Ok(OrderReply::Holds | OrderReply::Busy | OrderReply::Fenced | OrderReply::Refused(_))
        | Err(CallFault::NotSent(_) | CallFault::NotProxied(_) | CallFault::NotRun { .. }) => {
            now_ms + REFUSAL_PAUSE_MS
        }
        Err(CallFault::Broken(_) | CallFault::TimedOut | CallFault::Invalid(_)) => {
            now_ms + UNKNOWN_ORDER_MS
        }
    };
    let event = match reply {
        Ok(OrderReply::Accepted | OrderReply::Holds) => Event::OrderSent,
        _ => Event::OrderRefused,
    };
    log::write(event, &fields);
    pending.set(key, until_ms, change.to);
    let is_unchanged = !matches!(
        reply,
        Ok(OrderReply::Accepted)
            | Err(CallFault::Broken(_) | CallFault::TimedOut | CallFault::Invalid(_))
    );
    if is_unchanged {
        announce_unavailable(host, key, 0).await;
    }
}
