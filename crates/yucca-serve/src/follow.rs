//! Follows the store: the configuration and the back ends.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep, timeout};
use yucca_io::log;
use yuccacove::event::Event;

use crate::directory::Change;
use crate::host::Host;
use crate::ports::{Freshness, Kind, Object, ObjectStore, Objects, StoreFault};
use crate::relay::Relay;

/// Time for which a watch waits for changes, as a part of the time within which a change must be in
/// force. A store that falls silent for a moment may forget a watch and go unnoticed otherwise.
const WATCH_SHARE: f64 = 0.6;
/// Time for which a watch of a kind waits that nothing urgent depends on.
const SLOW_WATCH_MS: u64 = 25_000;
/// Interval in which the store is asked whether it answers.
const CONTACT_MS: u64 = 900;
/// Pause between the changes of a watch and the next call, in which further changes gather, as a part
/// of the time within which a change must be in force.
const GATHER_SHARE: f64 = 0.3;
/// The same for the list of hosts, which nothing urgent depends on.
const GATHER_HOSTS_MS: u64 = 1_500;
/// Time after which a watch without an answer counts as under way.
const UNDER_WAY_MS: u64 = 250;
/// Pause after a failed call.
const RETRY_MS: u64 = 150;
/// Longest pause after failed calls in a row.
const MAX_RETRY_MS: u64 = 600;

/// Whether the store answers this host. A watch that waits cannot tell: one that the store has
/// forgotten looks like one without changes.
#[derive(Debug)]
pub struct StoreHealth {
    lost: Cell<bool>,
    turns: watch::Sender<u64>,
    /// When the latest call that was answered was made.
    answered: Cell<Option<Instant>>,
    interval_ms: Cell<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            lost: Cell::new(false),
            turns: watch::Sender::new(0),
            answered: Cell::new(None),
            interval_ms: Cell::new(CONTACT_MS),
        }
    }
}

impl StoreHealth {
    /// Records the outcome of a short call. Watches begin anew when the contact is lost, and again
    /// when it is regained.
    pub fn record(&self, is_answered: bool) {
        if self.lost.replace(!is_answered) != self.lost.get() {
            self.turns.send_modify(|turns| *turns += 1);
        }
    }

    /// Time since a short call was made that was answered; `None` while calls fail.
    pub fn age_ms(&self) -> Option<u64> {
        let answered = self.answered.get().filter(|_| !self.lost.get())?;
        u64::try_from(answered.elapsed().as_millis()).ok()
    }

    /// Sets the interval in which the store is asked; `None` for the usual one.
    pub fn set_interval_ms(&self, interval_ms: Option<u64>) {
        self.interval_ms.set(interval_ms.unwrap_or(CONTACT_MS));
    }

    /// Whether the last short call was not answered.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }
}

/// Asks the store for a small object, whose answer may lag, for as long as the process lives.
/// `take` gets the object.
pub async fn probe_store<S: ObjectStore>(
    store_health: Rc<StoreHealth>,
    store: Rc<S>,
    kind: Kind,
    name: &str,
    take: impl Fn(&Object),
) {
    loop {
        sleep(Duration::from_millis(store_health.interval_ms.get())).await;
        let asked = Instant::now();
        match store.read(kind, name, Freshness::MayLag).await {
            Ok(object) => {
                store_health.record(true);
                store_health.answered.set(Some(asked));
                if let Some(object) = object {
                    take(&object);
                }
            }
            Err(_) => store_health.record(false),
        }
    }
}

/// Follows the configuration for as long as the process lives.
pub async fn follow_config<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    store_health: Rc<StoreHealth>,
) {
    let take = |objects: &Objects, _| {
        let latest = objects.objects.iter().filter(|object| !object.is_removed);
        for object in latest {
            match store.config(object) {
                Some(config) => host.set_config(config),
                None => log::write(Event::CatalogueInvalid, &format!("name={}", object.name)),
            }
        }
    };
    let follower = Follower {
        store: &*store,
        store_health: &store_health,
        relay: &host.relay,
        kind: Kind::Config,
        bound_ms: host.deployment.change_bound_ms(),
    };
    follower.run(take, |_| {}).await;
}

/// Follows the back ends for as long as the process lives.
pub async fn follow_backends<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    store_health: Rc<StoreHealth>,
) {
    let note_contact = |is_answered: bool| {
        let now_ms = host.now_ms();
        let mut directory = host.directory.borrow_mut();
        if !is_answered {
            directory.store_lost(now_ms);
        } else if directory.store_answered(now_ms) {
            log::write(Event::StoreBack, "");
        }
    };
    let take = |objects: &Objects, is_complete| {
        apply_backends(&host, &*store, objects, is_complete);
    };
    let follower = Follower {
        store: &*store,
        store_health: &store_health,
        relay: &host.relay,
        kind: Kind::BackEnds,
        bound_ms: host.deployment.change_bound_ms(),
    };
    follower.run(take, note_contact).await;
}

fn apply_backends<B, S: ObjectStore>(
    host: &Host<B>,
    store: &S,
    objects: &Objects,
    is_complete: bool,
) {
    let now_ms = host.now_ms();
    let mut changes = Vec::new();
    for object in &objects.objects {
        changes.push(apply_backend(host, store, object, now_ms));
    }
    if is_complete {
        let ids: Vec<&str> = objects.objects.iter().map(|o| o.name.as_str()).collect();
        let mut directory = host.directory.borrow_mut();
        changes.extend(directory.apply_full_listing(&ids, objects.revision, now_ms));
    }
    for change in changes {
        report(host, change, objects.revision);
    }
}

fn apply_backend<B, S: ObjectStore>(
    host: &Host<B>,
    store: &S,
    object: &Object,
    now_ms: u64,
) -> Change {
    let mut directory = host.directory.borrow_mut();
    if object.is_removed {
        return directory.apply_removal(&object.name, object.revision, now_ms);
    }
    match store.backend(object) {
        Some(entry) => directory.apply_entry(&object.name, object.revision, entry, now_ms),
        None => {
            log::write(
                Event::CatalogueInvalid,
                &format!("name={} revision={}", object.name, object.revision),
            );
            directory.apply_removal(&object.name, object.revision, now_ms)
        }
    }
}

fn report<B>(host: &Host<B>, change: Change, revision: u64) {
    let (event, key) = match change {
        Change::None => return,
        Change::Joined(key) => (Event::BackendJoined, key),
        Change::Left(key) => (Event::BackendLeft, key),
        Change::Phase(key) => (Event::BackendPhase, key),
    };
    let directory = host.directory.borrow();
    let backend = directory.get(key);
    log::write(
        event,
        &format!(
            "back_end={} service={} address={} phase={:?} revision={revision}",
            backend.target.id, backend.entry.service, backend.target.address, backend.entry.phase
        ),
    );
}

/// A kind of objects that is followed.
pub struct Follower<'a, S> {
    /// Where they are kept.
    pub store: &'a S,
    /// Contact with the store.
    pub store_health: &'a StoreHealth,
    /// The host's part in the group that shares its watches.
    pub relay: &'a Relay,
    /// The kind.
    pub kind: Kind,
    /// Time within which a change must be in force.
    pub bound_ms: u64,
}

impl<S: ObjectStore> Follower<'_, S> {
    /// Lists the kind, then takes its changes; lists again when the history is gone. `take` gets the
    /// objects and whether they are all of the kind, `note_contact` whether a call was answered.
    pub async fn run(&self, mut take: impl FnMut(&Objects, bool), note_contact: impl Fn(bool)) {
        let mut since = None;
        let mut failures = 0;
        let mut turns = self.store_health.turns.subscribe();
        loop {
            turns.mark_unchanged();
            if let Some(revision) = since
                && let Some(changes) = self.relay.next(self.kind, revision).await
            {
                note_contact(true);
                take(&changes, false);
                since = Some(changes.revision.max(revision));
                continue;
            }
            let result = match since {
                None => self.store.list(self.kind).await,
                Some(revision) => tokio::select! {
                    result = self.watch(revision) => result,
                    // The sender lives as long as the contact.
                    _ = turns.changed() => {
                        self.relay.pause(self.kind);
                        continue;
                    }
                },
            };
            match result {
                Ok(objects) => {
                    if failures > 1 {
                        log::write(Event::StoreBack, &format!("kind={:?}", self.kind));
                    }
                    failures = 0;
                    note_contact(true);
                    take(&objects, since.is_none());
                    match since {
                        None => self.relay.record_listing(self.kind, objects.revision),
                        Some(from) => self.relay.record_watch(self.kind, from, &objects),
                    }
                    since = Some(since.unwrap_or(0).max(objects.revision));
                    if !objects.objects.is_empty() {
                        sleep(self.gather()).await;
                    }
                }
                Err(StoreFault::Expired) => {
                    log::write(Event::StoreHistoryLost, &format!("kind={:?}", self.kind));
                    self.relay.pause(self.kind);
                    note_contact(true);
                    since = None;
                }
                Err(fault) => {
                    failures += 1;
                    self.relay.pause(self.kind);
                    // A single failure is a connection that the store closed.
                    if failures == 2 {
                        let fields = format!("kind={:?} fault={fault:?}", self.kind);
                        log::write(Event::StoreLost, &fields);
                    }
                    note_contact(false);
                    let pause_ms = (RETRY_MS * failures).min(MAX_RETRY_MS);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Watches for changes after `revision`.
    async fn watch(&self, revision: u64) -> Result<Objects, StoreFault> {
        let wait_ms = self.wait_ms();
        let mut answer = pin!(self.store.watch(self.kind, revision, wait_ms));
        let under_way = Duration::from_millis(UNDER_WAY_MS);
        if let Ok(result) = timeout(under_way, answer.as_mut()).await {
            return result;
        }
        self.relay.resume(self.kind, revision);
        answer.await
    }

    fn wait_ms(&self) -> u64 {
        match self.kind {
            Kind::Config | Kind::BackEnds => (self.bound_ms as f64 * WATCH_SHARE) as u64,
            Kind::Hosts | Kind::Leases => SLOW_WATCH_MS,
        }
    }

    fn gather(&self) -> Duration {
        let ms = match self.kind {
            Kind::Config | Kind::BackEnds => (self.bound_ms as f64 * GATHER_SHARE) as u64,
            Kind::Hosts | Kind::Leases => GATHER_HOSTS_MS,
        };
        Duration::from_millis(ms)
    }
}
