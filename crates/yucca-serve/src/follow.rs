//! Follows the store: the configuration and the back ends.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;
use tokio::time::{Duration, sleep};
use yucca_io::log;
use yuccacove::event::Event;

use crate::directory::Change;
use crate::host::Host;
use crate::ports::{Freshness, Kind, Object, ObjectStore, Objects, StoreFault};

/// Time for which a watch waits for changes. A shorter trouble of the store than [`CONTACT_MS`] can
/// pass unnoticed and may lose a watch's answer, so that this bounds the time until it is made good.
const WATCH_MS: u64 = 8_000;
/// The same for kinds that nothing urgent depends on.
const SLOW_WATCH_MS: u64 = 25_000;
/// Interval in which the store is asked whether it answers.
const CONTACT_MS: u64 = 900;
/// Pause between the changes of a watch and the next call, in which further changes gather. It adds
/// to the time until a change is in force.
const GATHER_MS: u64 = 600;
/// The same for the list of hosts, which nothing urgent depends on.
const GATHER_HOSTS_MS: u64 = 1_500;
/// Pause after a failed call.
const RETRY_MS: u64 = 150;
/// Longest pause after failed calls in a row.
const MAX_RETRY_MS: u64 = 600;

/// Whether the store answers this host. A watch that waits cannot tell: one that the store has
/// forgotten looks like one without changes.
#[derive(Debug)]
pub struct StoreContact {
    lost: Cell<bool>,
    turns: watch::Sender<u64>,
}

impl Default for StoreContact {
    fn default() -> Self {
        Self {
            lost: Cell::new(false),
            turns: watch::Sender::new(0),
        }
    }
}

impl StoreContact {
    /// Records the outcome of a short call. Watches begin anew when the contact is lost, and again
    /// when it is regained.
    pub fn note(&self, is_answered: bool) {
        if self.lost.replace(!is_answered) != self.lost.get() {
            self.turns.send_modify(|turns| *turns += 1);
        }
    }

    /// Whether the last short call was not answered.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }
}

/// Asks the store for a small object, whose answer may lag, for as long as the process lives.
/// `take` gets the object.
pub async fn keep_contact<S: ObjectStore>(
    contact: Rc<StoreContact>,
    store: Rc<S>,
    kind: Kind,
    name: &str,
    take: impl Fn(&Object),
) {
    loop {
        sleep(Duration::from_millis(CONTACT_MS)).await;
        match store.read(kind, name, Freshness::MayLag).await {
            Ok(object) => {
                contact.note(true);
                if let Some(object) = object {
                    take(&object);
                }
            }
            Err(_) => contact.note(false),
        }
    }
}

/// Follows the configuration for as long as the process lives.
pub async fn follow_config<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    contact: Rc<StoreContact>,
) {
    follow(&*store, &contact, Kind::Config, |objects, _| {
        let latest = objects.objects.iter().filter(|object| !object.is_removed);
        for object in latest {
            match store.config(object) {
                Some(config) => host.set_config(config),
                None => log::write(Event::CatalogueInvalid, &format!("name={}", object.name)),
            }
        }
    })
    .await;
}

/// Follows the back ends for as long as the process lives.
pub async fn follow_back_ends<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    contact: Rc<StoreContact>,
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
    follow_with(
        &*store,
        &contact,
        Kind::BackEnds,
        |objects, is_complete| take_back_ends(&host, &*store, objects, is_complete),
        note_contact,
    )
    .await;
}

fn take_back_ends<B, S: ObjectStore>(
    host: &Host<B>,
    store: &S,
    objects: &Objects,
    is_complete: bool,
) {
    let now_ms = host.now_ms();
    let mut changes = Vec::new();
    for object in &objects.objects {
        changes.push(take_back_end(host, store, object, now_ms));
    }
    if is_complete {
        let ids: Vec<&str> = objects.objects.iter().map(|o| o.name.as_str()).collect();
        let mut directory = host.directory.borrow_mut();
        changes.extend(directory.completed(&ids, objects.revision, now_ms));
    }
    for change in changes {
        report(host, change, objects.revision);
    }
}

fn take_back_end<B, S: ObjectStore>(
    host: &Host<B>,
    store: &S,
    object: &Object,
    now_ms: u64,
) -> Change {
    let mut directory = host.directory.borrow_mut();
    if object.is_removed {
        return directory.removed(&object.name, object.revision, now_ms);
    }
    match store.back_end(object) {
        Some(entry) => directory.listed(&object.name, object.revision, entry, now_ms),
        None => {
            log::write(
                Event::CatalogueInvalid,
                &format!("name={} revision={}", object.name, object.revision),
            );
            directory.removed(&object.name, object.revision, now_ms)
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
    let back_end = directory.get(key);
    log::write(
        event,
        &format!(
            "back_end={} service={} address={} phase={:?} revision={revision}",
            back_end.target.id,
            back_end.entry.service,
            back_end.target.address,
            back_end.entry.phase
        ),
    );
}

fn watch_ms(kind: Kind) -> u64 {
    match kind {
        Kind::Config | Kind::BackEnds => WATCH_MS,
        Kind::Hosts | Kind::Leases => SLOW_WATCH_MS,
    }
}

fn gather_ms(kind: Kind) -> u64 {
    match kind {
        Kind::Config | Kind::BackEnds => GATHER_MS,
        Kind::Hosts | Kind::Leases => GATHER_HOSTS_MS,
    }
}

async fn follow<S: ObjectStore>(
    store: &S,
    contact: &StoreContact,
    kind: Kind,
    take: impl FnMut(&Objects, bool),
) {
    follow_with(store, contact, kind, take, |_| {}).await;
}

/// Lists a kind, then takes its changes; lists again when the history is gone. `take` gets the
/// objects and whether they are all of the kind, `note_contact` whether a call was answered.
pub async fn follow_with<S: ObjectStore>(
    store: &S,
    contact: &StoreContact,
    kind: Kind,
    mut take: impl FnMut(&Objects, bool),
    note_contact: impl Fn(bool),
) {
    let mut since = None;
    let mut failures = 0;
    let mut turns = contact.turns.subscribe();
    loop {
        turns.mark_unchanged();
        let result = match since {
            None => store.list(kind).await,
            Some(revision) => tokio::select! {
                result = store.watch(kind, revision, watch_ms(kind)) => result,
                // The sender lives as long as the contact.
                _ = turns.changed() => continue,
            },
        };
        match result {
            Ok(objects) => {
                if failures > 1 {
                    log::write(Event::StoreBack, &format!("kind={kind:?}"));
                }
                failures = 0;
                note_contact(true);
                take(&objects, since.is_none());
                since = Some(since.unwrap_or(0).max(objects.revision));
                if !objects.objects.is_empty() {
                    sleep(Duration::from_millis(gather_ms(kind))).await;
                }
            }
            Err(StoreFault::Expired) => {
                log::write(Event::StoreHistoryLost, &format!("kind={kind:?}"));
                note_contact(true);
                since = None;
            }
            Err(fault) => {
                failures += 1;
                // A single failure is a connection that the store closed.
                if failures == 2 {
                    log::write(Event::StoreLost, &format!("kind={kind:?} fault={fault:?}"));
                }
                note_contact(false);
                let pause_ms = (RETRY_MS * failures).min(MAX_RETRY_MS);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}
