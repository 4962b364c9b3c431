//! Relays changes in the store between hosts, so that only a few hosts watch the store.
//!
//! [`yuccacove::watch_relay`] decides which hosts watch the store as relays and which rely on them.
//! A relay sends each change that its watches return three times, because datagrams can be lost. At
//! short intervals it also sends its claims, which state the range of revisions whose changes it
//! has sent. The age of a claim includes the time that it waited on its way. A host that lacks a claimed
//! change requests it from a relay, and after a while gets it by a watch of its own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, sleep};
use yucca_io::log;
use yuccacove::continuity::Continuity;
use yuccacove::event::Event;
use yuccacove::transit_delay::TransitDelay;
use yuccacove::watch_relay::{Claim, Relays, Timing};

use crate::boot_clock::BootClock;
use crate::follow::StoreHealth;
use crate::hash::hash_of;
use crate::ports::{Kind, Objects};
use crate::relay_batch::{Batch, MAX_BATCHES, batches, relayed_object};
use crate::relay_parts::{Assembly, KeptChange, Part, PartRequest};
use crate::revision::era_of;

/// Number of kinds of objects whose changes are relayed.
const KINDS: usize = 3;
/// Maximum number of received datagrams of a kind that wait to be applied.
const MAX_QUEUED: usize = 4 * MAX_BATCHES;
/// Maximum number of datagrams of a kind that a relay keeps, for hosts that have lost some.
const MAX_KEPT: usize = 4 * MAX_BATCHES;
/// Maximum number of datagrams in the answer to one request. The host requests the next ones when it
/// has these; more at a time would delay callers' requests on a slow link.
const MAX_ANSWERED: usize = 4;
/// Number of times that each change is sent.
const SENDS: u32 = 3;
/// Time after its last probe of the store for which a relay is relied on, as a fraction of the
/// strictest bound on changes. Both twice this time and this time plus the pause after a watch stay
/// within the bound.
const FRESH_SHARE: f64 = 0.4;
/// Interval at which a relay probes the store, as a fraction of the same bound.
const PROBE_SHARE: f64 = 0.15;
/// Interval at which a relay announces its claims, as a fraction of the same bound.
const CLAIM_SHARE: f64 = 0.15;
/// Longest time for which a host waits before it begins to watch for a group with too few relays,
/// as a multiple of the same bound. The waits of the hosts are spread over this time.
const STAGGER_FACTOR: f64 = 1.5;
/// Shortest time for which a host that is not a relay waits for one after the store became
/// available, as a fraction of the same bound. The relays may notice it later by a probe's time-out.
const MIN_RESUME_SHARE: f64 = 0.25;
/// Time over which the ends of these waits are spread, as a fraction of the same bound.
const RESUME_SPREAD_SHARE: f64 = 0.25;
/// Time for which a host that no relay's claim covers waits before it watches, as a fraction of the
/// same bound: changes may still arrive by datagram, and a relay whose watch ended needs a moment to
/// list or watch again. Together with the pause after a watch it stays within the bound.
const UNCOVERED_SHARE: f64 = 0.2;
/// Time for which a host lacks a claimed change before it requests it, as a fraction of the same
/// bound. A burst of changes may take that long on a relay's link, and requests for it would make
/// the burst longer.
const REQUEST_SHARE: f64 = 0.1;
/// Interval between two requests, as a fraction of the same bound.
const REQUEST_INTERVAL_SHARE: f64 = 0.05;
/// Time between two confirmations that a host had all changes beyond which it was out of step, as a multiple of
/// the same bound. A host that loses both relays has the next one from a watch of its own, after the bound.
const MAX_GAP_FACTOR: f64 = 2.0;
/// Maximum number of hosts whose transit times are remembered.
const MAX_SENDERS: usize = 1_000;
/// Interval at which a host checks whether it can still rely on others.
const CHECK_MS: u64 = 50;

/// What a relay sends to the others: its claims, and changes if there are any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Hash of the sender's name.
    sender: u64,
    /// Process of the sender.
    incarnation: u64,
    /// Time of sending on the sender's clock.
    sent_ms: u64,
    /// Time since the start of the sender's latest successful probe of the store.
    age_ms: u64,
    claims: [Option<Claim>; KINDS],
    batch: Option<Batch>,
}

/// Request for changes that a relay has sent and that did not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Hash of the sender's name.
    sender: u64,
    kind: usize,
    /// Revision up to which the sender has all changes.
    since: u64,
}

/// State of a host in the group that shares its watches.
#[derive(Debug)]
pub struct Relay {
    /// Health of the store as this host sees it.
    pub store_health: Rc<StoreHealth>,
    rank: u64,
    incarnation: u64,
    clock: Rc<BootClock>,
    fresh_ms: u64,
    probe_ms: u64,
    claim_ms: u64,
    /// Time for which a host that no relay's claim covers waits before it watches.
    uncovered_ms: u64,
    /// Time for which a host lacks a claimed change before it requests it.
    request_after_ms: u64,
    request_interval_ms: u64,
    /// Longest wait for a relay after the store became available.
    resume_delay_ms: u64,
    relays: RefCell<Relays<KINDS>>,
    /// How long the updates of each other host are on their way, by its rank.
    transits: RefCell<IndexMap<u64, TransitDelay>>,
    was_watching: Cell<bool>,
    claims: RefCell<[Option<Claim>; KINDS]>,
    /// Whether a call of this host confirmed its claim. A watch that waits in a silent store looks
    /// like an established one.
    is_confirmed: RefCell<[bool; KINDS]>,
    /// Claims whose watch has ended, until the next watch is established.
    paused: RefCell<[Option<Claim>; KINDS]>,
    /// Time at which the claims were last sent without changes; `None` if they are to be sent after
    /// the changes. A host that lost all datagrams with changes learns from them that it did.
    announced_ms: Cell<Option<u64>>,
    /// Changes to send, each with the number of times that it is still to be sent.
    outbox: RefCell<VecDeque<(Batch, u32)>>,
    /// Changes that were sent, by kind and in the order of their revisions.
    kept: RefCell<[VecDeque<Batch>; KINDS]>,
    /// Changes to send once to a host that has requested them, each with the rank of that host.
    answers: RefCell<Vec<(u64, Batch)>>,
    /// Changes that fit into no datagram, by kind.
    kept_large: RefCell<[KeptChange; KINDS]>,
    /// Parts of such changes to send once, each with the rank of the host that has requested them.
    parts: RefCell<Vec<(u64, Part)>>,
    /// Requests for parts, each with the rank of the relay.
    part_requests: RefCell<Vec<(u64, PartRequest)>>,
    /// Received parts, by kind.
    assemblies: RefCell<[Option<Assembly>; KINDS]>,
    /// Requests to send, each with the rank of the relay.
    requests: RefCell<Vec<(u64, ChangeRequest)>>,
    /// Number of requests made, and time of the last one of each kind.
    requested: RefCell<(usize, [Option<u64>; KINDS])>,
    /// For how long this host has known all changes, by kind.
    known: RefCell<[Continuity; KINDS]>,
    /// Received changes that are not yet applied, by kind.
    inbox: RefCell<[VecDeque<Batch>; KINDS]>,
    /// Number of received updates.
    received: watch::Sender<u64>,
    /// Notified when there are changes, claims or requests to send.
    pub updates: Notify,
}

impl Relay {
    /// Creates the state of the host `name`, where changes must be applied within `bound_ms`. `incarnation`
    /// differs between runs of one host.
    pub fn new(name: &str, incarnation: u64, bound_ms: u64) -> Self {
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
            incarnation,
            clock: Rc::default(),
            fresh_ms,
            probe_ms: share(PROBE_SHARE),
            claim_ms: share(CLAIM_SHARE),
            uncovered_ms: share(UNCOVERED_SHARE),
            request_after_ms: share(REQUEST_SHARE),
            request_interval_ms: share(REQUEST_INTERVAL_SHARE),
            resume_delay_ms: share(MIN_RESUME_SHARE) + rank % share(RESUME_SPREAD_SHARE).max(1),
            relays: RefCell::new(Relays::new(rank, timing)),
            transits: RefCell::default(),
            was_watching: Cell::new(true),
            claims: RefCell::default(),
            is_confirmed: RefCell::default(),
            paused: RefCell::default(),
            announced_ms: Cell::new(None),
            outbox: RefCell::default(),
            kept: RefCell::default(),
            answers: RefCell::default(),
            kept_large: RefCell::default(),
            parts: RefCell::default(),
            part_requests: RefCell::default(),
            assemblies: RefCell::default(),
            requests: RefCell::default(),
            requested: RefCell::default(),
            known: RefCell::new([Continuity::new(share(MAX_GAP_FACTOR)); KINDS]),
            inbox: RefCell::default(),
            received: watch::Sender::new(0),
            updates: Notify::new(),
        }
    }

    /// Replaces the clock by which the age of what this host knows is measured.
    #[must_use]
    pub fn with_clock(self, clock: Rc<BootClock>) -> Self {
        self.store_health.set_clock(Rc::clone(&clock));
        Self { clock, ..self }
    }

    /// Whether there are changes or requests to send.
    pub fn has_updates(&self) -> bool {
        !self.outbox.borrow().is_empty()
            || !self.answers.borrow().is_empty()
            || !self.requests.borrow().is_empty()
            || !self.parts.borrow().is_empty()
            || !self.part_requests.borrow().is_empty()
    }

    /// Returns the ranks of the relays that this host relies on: the hashes of their names.
    pub(crate) fn fresh_relays(&self) -> Vec<u64> {
        self.relays.borrow().fresh_ranks(self.now_ms())
    }

    /// Returns the highest revision of a change of a kind that a fresh relay claims to have sent; `None` if
    /// none claims any.
    pub(crate) fn claimed(&self, kind: Kind) -> Option<u64> {
        self.relays.borrow().claimed(index(kind)?, self.now_ms())
    }

    /// Returns the number of received datagrams with changes that are not yet applied.
    pub fn queued_batches(&self) -> usize {
        self.inbox.borrow().iter().map(VecDeque::len).sum()
    }

    /// Whether this host is a relay: it watches, and its latest probe of the store is recent enough
    /// for others to rely on it.
    pub fn is_relay(&self) -> bool {
        self.is_watching() && self.fresh_age_ms().is_some()
    }

    /// Whether this host is the relay of the lowest rank in its group.
    pub(crate) fn is_lowest_relay(&self) -> bool {
        let others = self.fresh_relays();
        self.is_relay() && others.iter().all(|rank| *rank > self.rank)
    }

    fn fresh_age_ms(&self) -> Option<u64> {
        self.store_health
            .age_ms()
            .filter(|age| *age < self.fresh_ms)
    }

    /// Age of the latest successful probe if this host is a relay.
    fn relayed_age_ms(&self) -> Option<u64> {
        let is_watching = self.is_watching();
        self.fresh_age_ms().filter(|_| is_watching)
    }

    fn update(&self, age_ms: u64, batch: Option<Batch>) -> StoreUpdate {
        StoreUpdate {
            sender: self.rank,
            incarnation: self.incarnation,
            sent_ms: self.now_ms(),
            age_ms,
            claims: *self.claims.borrow(),
            batch,
        }
    }

    /// Returns and forgets the answers to requests, each with the rank of its recipient: the hash of
    /// the recipient's name.
    pub fn take_answers(&self) -> Vec<(u64, StoreUpdate)> {
        let answers = std::mem::take(&mut *self.answers.borrow_mut());
        if answers.is_empty() {
            return Vec::new();
        }
        let Some(age_ms) = self.relayed_age_ms() else {
            return Vec::new();
        };
        let answers = answers.into_iter();
        answers
            .map(|(rank, batch)| (rank, self.update(age_ms, Some(batch))))
            .collect()
    }

    /// Returns the updates to send now to all hosts of the group.
    pub fn take_due(&self) -> Vec<StoreUpdate> {
        let now_ms = self.now_ms();
        let Some(age_ms) = self.relayed_age_ms() else {
            self.outbox.borrow_mut().clear();
            return Vec::new();
        };
        let update = |batch| self.update(age_ms, batch);
        let mut due: Vec<StoreUpdate> = Vec::new();
        let mut outbox = self.outbox.borrow_mut();
        due.extend(outbox.iter().map(|(batch, _)| update(Some(batch.clone()))));
        for (_, left) in outbox.iter_mut() {
            *left -= 1;
        }
        outbox.retain(|(_, left)| *left > 0);
        let is_claim_due = self
            .announced_ms
            .get()
            .is_none_or(|t| t + self.claim_ms <= now_ms);
        if due.is_empty() && is_claim_due && self.claims.borrow().iter().any(Option::is_some) {
            due.push(update(None));
            self.announced_ms.set(Some(now_ms));
        }
        due
    }

    /// Returns and forgets the requests to send, each with the rank of the relay: the hash of its
    /// name.
    pub fn take_requests(&self) -> Vec<(u64, ChangeRequest)> {
        std::mem::take(&mut self.requests.borrow_mut())
    }

    /// Handles a request: sends the changes again if this host is a relay and still has them.
    pub fn receive_request(&self, request: ChangeRequest) {
        let ChangeRequest {
            sender,
            kind,
            since,
        } = request;
        if kind >= KINDS || !self.is_watching() {
            return;
        }
        let kept = &self.kept.borrow()[kind];
        let mut lacking = kept.iter().filter(|batch| batch.to > since).peekable();
        if lacking.peek().is_none_or(|batch| batch.from > since) {
            return;
        }
        let answers = lacking.take(MAX_ANSWERED);
        let answers = answers.map(|batch| (sender, batch.clone()));
        self.answers.borrow_mut().extend(answers);
        self.updates.notify_one();
    }

    /// Requests the changes of a kind after `since` from one of the relays that have sent any.
    fn request(&self, at: usize, since: u64, now_ms: u64) {
        let mut requested = self.requested.borrow_mut();
        if requested.1[at].is_some_and(|last_ms| now_ms < last_ms + self.request_interval_ms) {
            return;
        }
        let ahead = self.relays.borrow().ahead(at, since, now_ms);
        if ahead.is_empty() {
            return;
        }
        // Each relay in turn, because one of them may not respond.
        let rank = ahead[requested.0 % ahead.len()];
        requested.0 = requested.0.wrapping_add(1);
        requested.1[at] = Some(now_ms);
        let request = ChangeRequest {
            sender: self.rank,
            kind: at,
            since,
        };
        self.requests.borrow_mut().push((rank, request));
        if self.store_health.is_unavailable() {
            self.request_parts(at, since, &ahead, rank);
        }
        self.updates.notify_one();
    }

    /// Requests the parts of a change that fits into no datagram: the rest of them from the relay that
    /// has sent the first ones, otherwise all from the relay `next`.
    fn request_parts(&self, at: usize, since: u64, ahead: &[u64], next: u64) {
        let slot = &mut self.assemblies.borrow_mut()[at];
        let is_useless = |assembly: &Assembly| {
            assembly.to <= since || assembly.is_stalled() || !ahead.contains(&assembly.sender)
        };
        if slot.as_ref().is_some_and(is_useless) {
            *slot = None;
        }
        let (rank, to, missing) = match slot {
            Some(assembly) => (assembly.sender, assembly.to, assembly.next_request()),
            None => (next, 0, Vec::new()),
        };
        let request = PartRequest {
            sender: self.rank,
            kind: at,
            since,
            to,
            missing,
        };
        self.part_requests.borrow_mut().push((rank, request));
    }

    /// Returns and forgets the requests for parts to send, each with the rank of the relay.
    pub fn take_part_requests(&self) -> Vec<(u64, PartRequest)> {
        std::mem::take(&mut self.part_requests.borrow_mut())
    }

    /// Returns and forgets the parts to send, each with the rank of its recipient.
    pub fn take_parts(&self) -> Vec<(u64, Part)> {
        std::mem::take(&mut self.parts.borrow_mut())
    }

    /// Handles a request for parts: sends them if this host is a relay and has them.
    pub fn receive_part_request(&self, request: &PartRequest) {
        if request.kind >= KINDS || !self.is_relay() {
            return;
        }
        let parts = self.kept_large.borrow()[request.kind].parts(request, self.rank);
        let parts = parts.into_iter().map(|part| (request.sender, part));
        self.parts.borrow_mut().extend(parts);
        self.updates.notify_one();
    }

    /// Handles a part that this host has requested. Once all are there, the change counts as received.
    pub fn receive_part(&self, part: Part) {
        if part.kind >= KINDS || self.is_watching() {
            return;
        }
        let at = part.kind;
        let slot = &mut self.assemblies.borrow_mut()[at];
        match slot {
            Some(assembly) if assembly.accepts(&part) => assembly.add(part),
            Some(assembly) if assembly.to >= part.to => return,
            _ => *slot = Assembly::begin(part),
        }
        let change = slot.as_ref().and_then(Assembly::change);
        if let Some(change) = change.filter(|change| change.kind == at) {
            *slot = None;
            self.inbox.borrow_mut()[at].push_back(change);
            self.received.send_modify(|received| *received += 1);
        }
    }

    /// Handles an update from a relay.
    pub fn receive(&self, update: StoreUpdate) {
        let StoreUpdate {
            sender,
            incarnation,
            sent_ms,
            age_ms,
            claims,
            batch,
        } = update;
        let now_ms = self.now_ms();
        let waited_ms = self.waited_ms(sender, incarnation, sent_ms);
        self.relays.borrow_mut().receive_claims(
            sender,
            age_ms.saturating_add(waited_ms),
            claims,
            now_ms,
        );
        // A host that watches gets the changes from the store and would never remove these from the
        // inbox.
        let is_wanted = |batch: &Batch| batch.kind < KINDS && !self.is_watching();
        if let Some(batch) = batch.filter(is_wanted) {
            let inbox = &mut self.inbox.borrow_mut()[batch.kind];
            inbox.push_back(batch);
            // A host that lacks dropped changes gets them by a watch of its own.
            let excess = inbox.len().saturating_sub(MAX_QUEUED);
            inbox.drain(..excess);
        }
        self.received.send_modify(|received| *received += 1);
    }

    /// Returns for how long an update that is handled now waited on its way.
    fn waited_ms(&self, sender: u64, incarnation: u64, sent_ms: u64) -> u64 {
        let mut transits = self.transits.borrow_mut();
        let received_ms = self.now_ms();
        let transit = transits.entry(sender).or_default();
        let waited_ms = transit.record(incarnation, sent_ms, received_ms);
        let excess = transits.len().saturating_sub(MAX_SENDERS);
        transits.drain(..excess);
        waited_ms
    }

    /// Records a full listing of a kind as of `revision`.
    pub(crate) fn record_listing(&self, kind: Kind, revision: u64) {
        let Some(at) = index(kind) else { return };
        self.claims.borrow_mut()[at] = Some(claim_at(revision));
        self.is_confirmed.borrow_mut()[at] = true;
        self.paused.borrow_mut()[at] = None;
        self.announce_now();
    }

    /// Records the changes that a watch since the revision `from` returned, and sends them to the
    /// group if this host is a relay.
    pub(crate) fn record_watch(&self, kind: Kind, from: u64, changes: &Objects) {
        let Some(at) = index(kind) else { return };
        self.resume(kind, from);
        self.is_confirmed.borrow_mut()[at] = true;
        let is_restore = era_of(changes.revision) > era_of(from);
        let last = if is_restore {
            // Hosts must learn of the restore even if it changed nothing of this kind.
            Some(changes.revision)
        } else {
            changes.objects.iter().map(|object| object.revision).max()
        };
        let Some(last) = last else {
            return;
        };
        // Between the latest known change of this kind and `from` only other kinds changed, so that
        // hosts which are at an earlier revision lack nothing.
        let mut continues_from = from;
        if let Some(claim) = &mut self.claims.borrow_mut()[at] {
            continues_from = claim.needed().min(from);
            claim.last_change = claim.last_change.max(last);
        }
        if self.is_watching() {
            let batches = if changes.objects.is_empty() {
                vec![Batch {
                    kind: at,
                    from: continues_from,
                    to: last,
                    objects: Vec::new(),
                }]
            } else {
                let mut batches = batches(at, continues_from, changes);
                if let Some(batch) = batches.last_mut() {
                    batch.to = last;
                }
                batches
            };
            let kept_large = &mut self.kept_large.borrow_mut()[at];
            if batches.is_empty() || kept_large.is_kept() {
                let objects = changes.objects.iter().map(relayed_object).collect();
                let change = Batch {
                    kind: at,
                    from: continues_from,
                    to: last,
                    objects,
                };
                kept_large.record(change);
            }
            let kept = &mut self.kept.borrow_mut()[at];
            kept.extend(batches.iter().cloned());
            let excess = kept.len().saturating_sub(MAX_KEPT);
            kept.drain(..excess);
            let mut outbox = self.outbox.borrow_mut();
            outbox.extend(batches.into_iter().map(|batch| (batch, SENDS)));
            self.announce_now();
        }
    }

    /// Records that this host had all changes of a kind up to `as_of_ms`.
    pub(crate) fn confirm(&self, kind: Kind, as_of_ms: u64) {
        if let Some(at) = index(kind) {
            self.known.borrow_mut()[at].confirm(as_of_ms);
        }
    }

    /// Returns for how long this host has known all changes of a kind without a gap; `None` if it may be out of
    /// step now.
    pub(crate) fn known_ms(&self, kind: Kind) -> Option<u64> {
        self.known.borrow()[index(kind)?].lasted_ms(self.now_ms())
    }

    /// Returns the time since this host last had all changes of a kind; `None` if it never had.
    pub(crate) fn age_ms(&self, kind: Kind) -> Option<u64> {
        self.known.borrow()[index(kind)?].age_ms(self.now_ms())
    }

    /// Whether this host had all changes of a kind a moment ago, within the time for which relays are relied on.
    pub(crate) fn is_current(&self, kind: Kind) -> bool {
        self.age_ms(kind)
            .is_some_and(|age_ms| age_ms <= self.fresh_ms)
    }

    /// Whether this host has watched a kind since it last relied on others for it.
    pub(crate) fn has_claim(&self, kind: Kind) -> bool {
        let Some(at) = index(kind) else { return false };
        self.claims.borrow()[at].is_some() || self.paused.borrow()[at].is_some()
    }

    /// Waits before this host watches a kind again after the store became available: not at all if
    /// it is a relay, otherwise until a relay announces that it is in contact with the store. This
    /// prevents all hosts from calling the store at the same moment.
    pub(crate) async fn wait_for_relay(&self, kind: Kind) {
        if self.has_claim(kind) {
            return;
        }
        let deadline_ms = self.now_ms() + self.resume_delay_ms;
        while self.now_ms() < deadline_ms && self.relays.borrow().fresh_relays(self.now_ms()) == 0 {
            sleep(Duration::from_millis(CHECK_MS)).await;
        }
    }

    /// Suspends the claim of a kind because its watch ended without a response. A claim that was
    /// never confirmed is dropped: otherwise each host that tried to watch a silent store would
    /// count as a relay and call the store when it responds again.
    pub(crate) fn pause(&self, kind: Kind) {
        let Some(at) = index(kind) else { return };
        if let Some(claim) = self.claims.borrow_mut()[at].take()
            && self.is_confirmed.borrow()[at]
        {
            self.paused.borrow_mut()[at] = Some(claim);
        }
    }

    /// Restores the claim of a kind because a watch since `revision` is established and has no
    /// changes so far.
    pub(crate) fn resume(&self, kind: Kind, revision: u64) {
        let Some(at) = index(kind) else { return };
        let paused = self.paused.borrow_mut()[at].take();
        self.claims.borrow_mut()[at].get_or_insert(paused.unwrap_or(claim_at(revision)));
    }

    fn announce_now(&self) {
        self.announced_ms.set(None);
        self.updates.notify_one();
    }

    /// Waits for relayed changes after the revision `since`, for as long as this host can rely on
    /// others. Returns `None` if it must watch the store itself.
    pub(crate) async fn next(&self, kind: Kind, since: u64) -> Option<Objects> {
        let at = index(kind)?;
        let mut received = self.received.subscribe();
        let mut uncovered_since_ms = None;
        loop {
            received.mark_unchanged();
            self.yield_if_turned_away();
            if self.is_watching() {
                return None;
            }
            self.claims.borrow_mut()[at] = None;
            self.is_confirmed.borrow_mut()[at] = false;
            self.paused.borrow_mut()[at] = None;
            if let Some(batch) = self.take_batch(at, since) {
                return Some(batch.into());
            }
            let now_ms = self.now_ms();
            if self.relays.borrow().covers(at, since, now_ms) {
                uncovered_since_ms = None;
                let as_of_ms = self.relays.borrow().as_of_ms(at, now_ms);
                self.confirm(kind, as_of_ms.unwrap_or(0));
            } else {
                let uncovered_ms = now_ms - *uncovered_since_ms.get_or_insert(now_ms);
                // A host that the store turns away goes on to request the change from others.
                if uncovered_ms >= self.uncovered_ms && !self.store_health.is_unavailable() {
                    return None;
                }
                if uncovered_ms >= self.request_after_ms {
                    self.request(at, since, now_ms);
                }
            }
            tokio::select! {
                // The sender lives as long as `self`.
                _ = received.changed() => {}
                () = sleep(Duration::from_millis(CHECK_MS)) => {}
            }
        }
    }

    /// Makes a host rely on others that the store turns away while it serves them. In an outage of the
    /// store for all, no relay is fresh any more by then, and the relays keep their claims.
    fn yield_if_turned_away(&self) {
        let is_lasting = self.store_health.unavailable_ms() > self.fresh_ms;
        if is_lasting && self.relays.borrow().fresh_relays(self.now_ms()) > 0 {
            *self.claims.borrow_mut() = Default::default();
            *self.is_confirmed.borrow_mut() = Default::default();
            *self.paused.borrow_mut() = Default::default();
        }
    }

    /// Removes and returns the oldest batch that continues from `since`. Older batches are
    /// discarded.
    fn take_batch(&self, at: usize, since: u64) -> Option<Batch> {
        let mut inbox = self.inbox.borrow_mut();
        inbox[at].retain(|batch| batch.to > since);
        let position = inbox[at].iter().position(|batch| batch.from <= since);
        match position {
            Some(position) => inbox[at].remove(position),
            None => {
                // Changes before these batches are missing. The watch that gets them returns these
                // as well.
                inbox[at].clear();
                None
            }
        }
    }

    fn is_watching(&self) -> bool {
        let has_claims = self.claims.borrow().iter().any(Option::is_some)
            || self.paused.borrow().iter().any(Option::is_some);
        if !has_claims {
            self.relays.borrow_mut().yield_to_fresh(self.now_ms());
        }
        let is_watching = self.relays.borrow_mut().is_watching(self.now_ms());
        if self.was_watching.replace(is_watching) != is_watching {
            let event = if is_watching {
                Event::RelayBegun
            } else {
                Event::RelayEnded
            };
            let fresh = self.relays.borrow().fresh_relays(self.now_ms());
            log::write(event, &format!("rank={:x} fresh={fresh}", self.rank));
        }
        let interval_ms = is_watching.then_some(self.probe_ms);
        self.store_health.set_interval_ms(interval_ms);
        is_watching
    }

    /// Returns the time on a clock that advances while the host is suspended: claims grow old meanwhile.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
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
        Kind::Leases | Kind::Usage | Kind::Versions | Kind::Streams => None,
    }
}
