//! Changes of the store that hosts tell each other, so that few of them watch it.
//!
//! [`yuccacove::watch_relay`] decides who watches and who relies on whom. A host that watches sends
//! what its watches return, three times as datagrams may be lost, and at short intervals what it
//! claims to know. A host that finds itself behind makes up for it by a watch of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, sleep};
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::watch_relay::{Claim, Relays, Timing};

use crate::follow::StoreHealth;
use crate::hash::hash_of;
use crate::ports::{Kind, Object, Objects};

/// Kinds of objects that hosts tell each other of.
const KINDS: usize = 3;
/// Objects in one datagram; entries of back ends are about 250 bytes.
const MAX_OBJECTS: usize = 4;
/// Largest object that fits into a datagram beside others.
const MAX_OBJECT_BYTES: usize = 320;
/// Most datagrams for the changes of one watch. The hosts ask the store themselves for more.
const MAX_BATCHES: usize = 16;
/// Most datagrams of a kind that wait to be taken.
const MAX_WAITING: usize = 4 * MAX_BATCHES;
/// How often each change is sent.
const SENDS: u32 = 3;
/// Part of the strictest bound on changes for which a watching host is relied on after its contact
/// with the store. With a pause in which changes gather, twice this stays within the bound.
const FRESH_SHARE: f64 = 0.4;
/// The same for the interval in which a watching host asks the store whether it answers.
const CONTACT_SHARE: f64 = 0.15;
/// The same for the interval in which it tells of its claims.
const CLAIM_SHARE: f64 = 0.15;
/// Longest time for which a host waits before it joins a group that lacks a watching one, as a
/// multiple of the bound. The hosts' waits are spread over it.
const STAGGER_FACTOR: f64 = 1.5;
/// Time for which changes that were announced may still be under way.
const BEHIND_MS: u64 = 80;
/// Interval in which a host looks whether it may still rely on others.
const CHECK_MS: u64 = 50;

/// Changes of one kind: all after `from`, up to and including `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Batch {
    kind: usize,
    from: u64,
    to: u64,
    objects: Vec<ToldObject>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ToldObject {
    name: String,
    revision: u64,
    is_removed: bool,
    /// JSON.
    value: Option<String>,
}

/// What a watching host tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Hash of the sender's name.
    sender: u64,
    /// Time since the sender asked the store and was answered.
    age_ms: u64,
    claims: [Option<Claim>; KINDS],
    batch: Option<Batch>,
}

/// A host's part in the group that shares its watches.
#[derive(Debug)]
pub struct Relay {
    /// Contact of this host with the store.
    pub store_health: Rc<StoreHealth>,
    rank: u64,
    fresh_ms: u64,
    contact_ms: u64,
    claim_ms: u64,
    started: Instant,
    relays: RefCell<Relays<KINDS>>,
    was_watching: Cell<bool>,
    claims: RefCell<[Option<Claim>; KINDS]>,
    /// Claims whose watch ended, until the next one is under way.
    paused: RefCell<[Option<Claim>; KINDS]>,
    told_ms: Cell<Option<u64>>,
    outbox: RefCell<VecDeque<(Batch, u32)>>,
    inbox: RefCell<[VecDeque<Batch>; KINDS]>,
    turns: watch::Sender<u64>,
    /// Notified when there are changes to be sent.
    pub updates: Notify,
}

impl Relay {
    /// The part of the host called `name`, where changes must be in force within `bound_ms`.
    pub fn new(name: &str, bound_ms: u64) -> Self {
        let rank = hash_of(name);
        let share = |share: f64| (bound_ms as f64 * share) as u64;
        let fresh_ms = share(FRESH_SHARE);
        let timing = Timing {
            fresh_ms,
            stagger_ms: rank % share(STAGGER_FACTOR).max(1),
        };
        Self {
            store_health: Rc::default(),
            rank,
            fresh_ms,
            contact_ms: share(CONTACT_SHARE),
            claim_ms: share(CLAIM_SHARE),
            started: Instant::now(),
            relays: RefCell::new(Relays::new(rank, timing)),
            was_watching: Cell::new(true),
            claims: RefCell::default(),
            paused: RefCell::default(),
            told_ms: Cell::new(None),
            outbox: RefCell::default(),
            inbox: RefCell::default(),
            turns: watch::Sender::new(0),
            updates: Notify::new(),
        }
    }

    /// Whether there are changes to be sent.
    pub fn has_updates(&self) -> bool {
        !self.outbox.borrow().is_empty()
    }

    /// Datagrams with changes that were received and not taken yet.
    pub fn queued_batches(&self) -> usize {
        self.inbox.borrow().iter().map(VecDeque::len).sum()
    }

    /// Whether this host watches for the group and says so.
    pub fn is_relay(&self) -> bool {
        self.is_watching() && self.fresh_age_ms().is_some()
    }

    fn fresh_age_ms(&self) -> Option<u64> {
        self.store_health
            .age_ms()
            .filter(|age| *age < self.fresh_ms)
    }

    /// What is to be sent now, to all hosts of the group.
    pub fn take_due(&self) -> Vec<StoreUpdate> {
        let now_ms = self.now_ms();
        let is_watching = self.is_watching();
        let Some(age_ms) = self.fresh_age_ms().filter(|_| is_watching) else {
            self.outbox.borrow_mut().clear();
            return Vec::new();
        };
        let updates = |batch| StoreUpdate {
            sender: self.rank,
            age_ms,
            claims: *self.claims.borrow(),
            batch,
        };
        let mut due: Vec<StoreUpdate> = Vec::new();
        let mut outbox = self.outbox.borrow_mut();
        due.extend(outbox.iter().map(|(batch, _)| updates(Some(batch.clone()))));
        for (_, left) in outbox.iter_mut() {
            *left -= 1;
        }
        outbox.retain(|(_, left)| *left > 0);
        let is_claim_due = self
            .told_ms
            .get()
            .is_none_or(|t| t + self.claim_ms <= now_ms);
        if due.is_empty() && is_claim_due && self.claims.borrow().iter().any(Option::is_some) {
            due.push(updates(None));
        }
        if !due.is_empty() {
            self.told_ms.set(Some(now_ms));
        }
        due
    }

    /// Takes what a watching host tells.
    pub fn receive(&self, updates: StoreUpdate) {
        let StoreUpdate {
            sender,
            age_ms,
            claims,
            batch,
        } = updates;
        let now_ms = self.now_ms();
        self.relays
            .borrow_mut()
            .heard(sender, age_ms, claims, now_ms);
        // A host that watches learns of the changes itself and would never take them out.
        let is_wanted = |batch: &Batch| batch.kind < KINDS && !self.is_watching();
        if let Some(batch) = batch.filter(is_wanted) {
            let inbox = &mut self.inbox.borrow_mut()[batch.kind];
            inbox.push_back(batch);
            // Changes that are lost are made up for by a watch.
            let excess = inbox.len().saturating_sub(MAX_WAITING);
            inbox.drain(..excess);
        }
        self.turns.send_modify(|turn| *turn += 1);
    }

    /// Records that this host knows all objects of a kind as of `revision`.
    pub(crate) fn record_listing(&self, kind: Kind, revision: u64) {
        let Some(at) = index(kind) else { return };
        self.claims.borrow_mut()[at] = Some(claim_at(revision));
        self.paused.borrow_mut()[at] = None;
        self.tell();
    }

    /// Records what a watch since the revision `from` returned, to be told to the others.
    pub(crate) fn record_watch(&self, kind: Kind, from: u64, changes: &Objects) {
        let Some(at) = index(kind) else { return };
        self.resume(kind, from);
        let last = changes.objects.iter().map(|object| object.revision).max();
        if let (Some(claim), Some(last)) = (&mut self.claims.borrow_mut()[at], last) {
            claim.last_change = claim.last_change.max(last);
        }
        if !changes.objects.is_empty() && self.is_watching() {
            let batches = batches(at, from, changes);
            let mut outbox = self.outbox.borrow_mut();
            outbox.extend(batches.into_iter().map(|batch| (batch, SENDS)));
            self.tell();
        }
    }

    /// Records that a watch ended without an answer.
    pub(crate) fn pause(&self, kind: Kind) {
        let Some(at) = index(kind) else { return };
        if let Some(claim) = self.claims.borrow_mut()[at].take() {
            self.paused.borrow_mut()[at] = Some(claim);
        }
    }

    /// Records that a watch since `revision` is under way and has nothing to tell.
    pub(crate) fn resume(&self, kind: Kind, revision: u64) {
        let Some(at) = index(kind) else { return };
        let paused = self.paused.borrow_mut()[at].take();
        self.claims.borrow_mut()[at].get_or_insert(paused.unwrap_or(claim_at(revision)));
    }

    fn tell(&self) {
        self.told_ms.set(None);
        self.updates.notify_one();
    }

    /// Waits for changes after the revision `since`, for as long as this host may rely on others.
    /// `None` when it is to watch itself.
    pub(crate) async fn next(&self, kind: Kind, since: u64) -> Option<Objects> {
        let at = index(kind)?;
        let mut turns = self.turns.subscribe();
        let mut behind_since = None;
        loop {
            turns.mark_unchanged();
            if self.is_watching() {
                return None;
            }
            self.claims.borrow_mut()[at] = None;
            self.paused.borrow_mut()[at] = None;
            if let Some(batch) = self.take_batch(at, since) {
                return Some(batch.into());
            }
            let now_ms = self.now_ms();
            if self.relays.borrow().covers(at, since, now_ms) {
                behind_since = None;
            } else if now_ms >= *behind_since.get_or_insert(now_ms) + BEHIND_MS {
                return None;
            }
            tokio::select! {
                // The sender lives as long as this.
                _ = turns.changed() => {}
                () = sleep(Duration::from_millis(CHECK_MS)) => {}
            }
        }
    }

    /// The oldest batch that goes on from `since`.
    fn take_batch(&self, at: usize, since: u64) -> Option<Batch> {
        let mut inbox = self.inbox.borrow_mut();
        inbox[at].retain(|batch| batch.to > since);
        let fits = inbox[at].iter().position(|batch| batch.from <= since);
        match fits {
            Some(position) => inbox[at].remove(position),
            None => {
                // What is missing before these comes by a watch, and these with it.
                inbox[at].clear();
                None
            }
        }
    }

    fn is_watching(&self) -> bool {
        let is_watching = self.relays.borrow_mut().is_watching(self.now_ms());
        if self.was_watching.replace(is_watching) != is_watching {
            let event = if is_watching {
                Event::RelayBegun
            } else {
                Event::RelayEnded
            };
            let fresh = self.relays.borrow().fresh(self.now_ms());
            log::write(event, &format!("rank={:x} fresh={fresh}", self.rank));
        }
        let interval_ms = is_watching.then_some(self.contact_ms);
        self.store_health.set_interval_ms(interval_ms);
        is_watching
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl From<Batch> for Objects {
    fn from(batch: Batch) -> Self {
        let objects = batch.objects.into_iter().map(|told| Object {
            name: told.name,
            revision: told.revision,
            // The sender's text is JSON; what is not counts as an unreadable object.
            value: told.value.and_then(|text| serde_json::from_str(&text).ok()),
            is_removed: told.is_removed,
        });
        Self {
            objects: objects.collect(),
            revision: batch.to,
        }
    }
}

fn claim_at(revision: u64) -> Claim {
    Claim {
        from: revision,
        last_change: revision,
    }
}

fn index(kind: Kind) -> Option<usize> {
    match kind {
        Kind::Config => Some(0),
        Kind::BackEnds => Some(1),
        Kind::Hosts => Some(2),
        Kind::Leases => None,
    }
}

/// The changes that a watch since `from` returned, cut into datagrams; none when they are too many
/// or too large.
fn batches(kind: usize, from: u64, changes: &Objects) -> Vec<Batch> {
    let mut objects: Vec<&Object> = changes.objects.iter().collect();
    objects.sort_by_key(|object| object.revision);
    let told: Vec<ToldObject> = objects.into_iter().map(told_object).collect();
    let is_large =
        |told: &ToldObject| told.value.as_ref().map_or(0, String::len) > MAX_OBJECT_BYTES;
    if told.len() > MAX_BATCHES * MAX_OBJECTS || told.iter().any(is_large) {
        return Vec::new();
    }
    let mut batches = Vec::new();
    let mut from = from;
    for objects in told.chunks(MAX_OBJECTS) {
        let to = objects.last().map_or(from, |object| object.revision);
        batches.push(Batch {
            kind,
            from,
            to,
            objects: objects.to_vec(),
        });
        from = to;
    }
    batches
}

fn told_object(object: &Object) -> ToldObject {
    ToldObject {
        name: object.name.clone(),
        revision: object.revision,
        is_removed: object.is_removed,
        value: object.value.as_ref().map(ToString::to_string),
    }
}
