//! Exchange of engine load with the other hosts: which engine prefills which prompts, and how many
//! generations each host has on an engine.
//!
//! A host sees only its own part of an engine's work. It learns the rest from datagrams of the
//! other hosts within tens of milliseconds, also when a prefill has ended. A lost datagram only makes
//! a forecast less accurate, so load updates are not repeated.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use yucca_io::log;
use yucca_io::log::field;
use yuccacove::crash_cause::PartReport;
use yuccacove::engine_speed::PrefillSample;
use yuccacove::event::Event;
use yuccacove::fleet_rate::{HostId, LimitReport, Message};

use crate::crashes;
use crate::demand::{DemandAnswer, DemandQuestion};
use crate::directory::{BackendKey, Directory};
use crate::engine_reports;
use crate::follow::{Follower, Source, StoreHealth};
use crate::hash::hash_of;
use crate::host::{Host, MAX_PAUSE_MS};
use crate::loads::PrefillSource;
use crate::ports::{Kind, Object, ObjectStore, Objects, StoreFault};
use crate::recency::{Answer, Question};
use crate::relay::{ChangeRequest, StoreUpdate};
use crate::relay_parts::{Part, PartRequest};
use crate::stream_versions::{self, StreamMessage};
use crate::usage::{HostUsage, OtherHost, UsageMessage};

/// Interval in which updates are collected before they are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the numbers of generations are sent when there are no other updates.
const COUNT_INTERVAL: Duration = Duration::from_millis(COUNT_INTERVAL_MS);
const COUNT_INTERVAL_MS: u64 = 100;
/// Maximum number of prefills in one datagram, which keeps it below the smallest common packet
/// size.
const MAX_PREFILLS: usize = 40;
/// Maximum number of ended prefills in one datagram.
const MAX_PREFILL_ENDS: usize = 40;
/// Maximum number of decode speeds in one datagram.
const MAX_DECODE_NEWS: usize = 20;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of hosts to which a load update is sent. In a larger fleet it is sent to a
/// sample, so that the traffic of a host does not grow with the fleet.
const MAX_RECIPIENTS: usize = 96;
/// Minimum length of a shared prefix that is worth a fetch from another availability zone.
const MIN_ANNOUNCED_PREFIX_TOKENS: u32 = 1_000;
/// Maximum number of blamed parts in one datagram.
const MAX_PART_REPORTS: usize = 12;
/// Maximum number of datagrams with newly blamed parts that are sent at a time. The periodic
/// samples carry the rest.
const MAX_CRASH_DATAGRAMS: usize = 8;
/// Maximum number of limits of backends in one datagram.
const MAX_LIMIT_REPORTS: usize = 60;
/// Interval at which samples of the blamed parts and of the limits are sent to hosts that may not
/// know them, for example because they have just started.
const SAMPLE_INTERVAL_MS: u64 = 500;
/// Number of hosts to which a sample, or a refutation, is sent. With it a new host misses all
/// samples of one second with a probability of e^-8.
const SAMPLE_RECIPIENTS: usize = 4;
/// Up to this many hosts share their watches on the store as one group. In a larger fleet the hosts
/// of each availability zone form a group, so that their datagrams stay within the zone.
const SMALL_FLEET: usize = 16;
/// Prefix of the names of the hosts' objects in the store.
const HOST_PREFIX: &str = "host.";
/// Number of times that a host is told of a pause.
const PAUSE_SENDS: usize = 2;
/// Pause before registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(500);

/// Announces that an engine is given a prompt to prefill.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillAnnouncement {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Forecast prefill time at the engine's published speed, in units of 0.1 ms.
    #[serde(rename = "read_tenths_ms")]
    pub prefill_tenths_ms: u32,
    /// Hash of the prompt's shared prefix; 0 if it has none.
    pub shared_hash: u64,
    /// Length of the shared prefix in tokens.
    pub shared_tokens: u32,
}

impl PrefillAnnouncement {
    /// Returns the work in nominal milliseconds.
    pub fn work_ms(&self) -> f64 {
        from_tenths_ms(self.prefill_tenths_ms)
    }
}

/// Announces that a prefill of the sender has ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillEnd {
    /// Hash of the engine's id.
    engine: u64,
    /// Work as it was announced, in units of 0.1 ms.
    work_tenths_ms: u32,
    /// Work ahead of it when it was sent, in nominal time, in units of 0.1 ms.
    ahead_tenths_ms: u32,
    /// Time that it took in milliseconds; 0 if nothing is to be learned from it.
    took_ms: u32,
    /// Whether it ran to its end.
    is_completed: bool,
}

impl PrefillEnd {
    /// Creates the announcement for the engine whose id has the hash `engine`. `took_ms` is the time
    /// of a completed remote prefill.
    pub fn new(
        engine: u64,
        work_ms: f64,
        ahead_ms: f64,
        took_ms: Option<f64>,
        is_completed: bool,
    ) -> Self {
        Self {
            engine,
            work_tenths_ms: to_tenths_ms(work_ms),
            ahead_tenths_ms: to_tenths_ms(ahead_ms),
            took_ms: took_ms.map_or(0, |took_ms| took_ms.max(1.0) as u32),
            is_completed,
        }
    }

    /// Returns the sample from which the engine's speed is learned.
    pub fn sample(&self, is_queue_known: bool) -> Option<PrefillSample> {
        (self.took_ms > 0).then(|| PrefillSample {
            ahead_ms: from_tenths_ms(self.ahead_tenths_ms),
            work_ms: from_tenths_ms(self.work_tenths_ms),
            took_ms: f64::from(self.took_ms),
            is_queue_known,
        })
    }
}

fn to_tenths_ms(ms: f64) -> u32 {
    (ms * 10.0).round() as u32
}

fn from_tenths_ms(tenths_ms: u32) -> f64 {
    f64::from(tenths_ms) / 10.0
}

/// Time per nominal time of the sender's streams on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct DecodeSlowness {
    /// Hash of the engine's id.
    engine: u64,
    slowness_percent: u32,
}

/// Progress of the sender's work. It follows a [`Datagram::Load`] in the same datagram, because hosts
/// of an earlier version ignore what follows one. Its presence says that the sender tells the
/// recipients when the prefills that it announces have ended.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
struct EngineProgress {
    ended: Vec<PrefillEnd>,
    decode: Vec<DecodeSlowness>,
}

impl EngineProgress {
    fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.decode.is_empty()
    }
}

/// Generations of the sender on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct StreamCount {
    /// Hash of the engine's id.
    engine: u64,
    streams: u32,
    /// KV cache that they occupy, in tokens.
    tokens: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    Load(LoadUpdate),
    Store(StoreUpdate),
    /// Request for changes that a relay has sent and that did not arrive.
    StoreRequest(ChangeRequest),
    /// Parts of prompts that are blamed for crashes of engines.
    Crashes(Vec<PartReport>),
    /// Limits that backends name.
    Limits(Vec<LimitReport>),
    /// Question about such a limit, or the answer.
    Rate {
        sender: HostId,
        message: Message,
    },
    /// Question for how recent a host's configuration is known to be.
    RecencyQuestion(Question),
    /// Answer to such a question.
    RecencyAnswer(Answer),
    /// Question for a host's demand.
    DemandQuestion(DemandQuestion),
    /// Answer to such a question.
    DemandAnswer(DemandAnswer),
    /// Counts for usage reports, and what the hosts agree on for them.
    Usage(UsageMessage),
    /// Request for parts of a change that fits into no datagram.
    StorePartRequest(PartRequest),
    /// A part of such a change.
    StorePart(Part),
    /// Software versions of streams.
    Streams(StreamMessage),
    /// A backend that wants no requests from the recipient for some time.
    BackendPause(BackendPause),
}

/// Tells a host through which a call went that the backend wants no requests from it for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPause {
    /// Hash of the backend's id.
    pub backend: u64,
    /// That time in milliseconds.
    pub wait_ms: u64,
}

/// Load update: the sender's part of the engines' work.
#[derive(Debug, Serialize, Deserialize)]
struct LoadUpdate {
    /// Hash of the sender's name.
    sender: u64,
    #[serde(rename = "readings")]
    prefills: Vec<PrefillAnnouncement>,
    streams: Vec<StreamCount>,
    #[serde(rename = "away")]
    unavailable: Vec<EngineUnavailable>,
}

/// Announces that an engine accepts no requests for some time because it changes its phase.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineUnavailable {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Longest time for which it is unavailable; 0 if it is available again.
    pub for_ms: u32,
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Peer {
    id: HostId,
    address: SocketAddr,
    zone: Rc<str>,
}

/// The other hosts, and the updates to send to them.
#[derive(Debug, Default)]
pub struct Peers {
    hosts: RefCell<IndexMap<String, Peer>>,
    prefills: RefCell<Vec<PrefillAnnouncement>>,
    /// Long shared prefixes that no engine was known to have cached. They are announced to all
    /// hosts, so that engines of other availability zones can fetch them.
    shared_prefixes: RefCell<Vec<PrefillAnnouncement>>,
    unavailable: RefCell<Vec<EngineUnavailable>>,
    ended: RefCell<Vec<PrefillEnd>>,
    /// Number of this host's prefills so far.
    prefill_number: Cell<u64>,
    /// Whether load is exchanged with the hosts of the same availability zone only.
    is_within_zone: Cell<bool>,
    /// Time at which the numbers of generations were last sent.
    counts_ms: Cell<u64>,
    /// Time of the last samples of the blamed parts and of the limits.
    sample_ms: Cell<u64>,
    /// Notified when this host's entry is missing from the store.
    entry_lost: Notify,
    /// Pauses to tell other hosts, with their addresses.
    pauses: RefCell<Vec<(SocketAddr, BackendPause)>>,
}

impl Peers {
    /// Announces a prefill with the next datagram. It is dropped if that datagram is full.
    pub fn announce_prefill(&self, announcement: PrefillAnnouncement) {
        let mut prefills = self.prefills.borrow_mut();
        if !self.hosts.borrow().is_empty() && prefills.len() < MAX_PREFILLS {
            prefills.push(announcement);
        }
    }

    /// Announces the end of a prefill with the next datagram that has room for it. It is dropped if too
    /// many wait.
    pub fn announce_prefill_end(&self, end: PrefillEnd) {
        let mut ended = self.ended.borrow_mut();
        if !self.hosts.borrow().is_empty() && ended.len() < 2 * MAX_PREFILL_ENDS {
            ended.push(end);
        }
    }

    /// Returns a number for a prefill that no other prefill of this host has.
    pub fn next_prefill(&self) -> u64 {
        let number = self.prefill_number.get();
        self.prefill_number.set(number + 1);
        number
    }

    /// Announces to the hosts of all availability zones that an engine now prefills a shared
    /// prefix. Short prefixes are ignored.
    pub fn announce_shared_prefix(&self, announcement: PrefillAnnouncement) {
        if announcement.shared_tokens >= MIN_ANNOUNCED_PREFIX_TOKENS {
            self.shared_prefixes.borrow_mut().push(announcement);
        }
    }

    /// Announces to the other hosts that an engine accepts no requests.
    pub fn announce_unavailable(&self, announcement: EngineUnavailable) {
        self.unavailable.borrow_mut().push(announcement);
    }

    /// Tells a host that a backend wants no requests from it. Datagrams may be lost.
    pub(crate) fn announce_pause(&self, to: SocketAddr, pause: BackendPause) {
        let repeated = [(to, pause); PAUSE_SENDS];
        self.pauses.borrow_mut().extend(repeated);
    }

    /// Returns the addresses of the other hosts, with their availability zones.
    pub(crate) fn addresses(&self) -> Vec<(SocketAddr, Rc<str>)> {
        let hosts = self.hosts.borrow();
        let hosts = hosts.values();
        hosts
            .map(|peer| (peer.address, Rc::clone(&peer.zone)))
            .collect()
    }

    fn has_updates(&self) -> bool {
        let has_prefills = !self.prefills.borrow().is_empty() || !self.ended.borrow().is_empty();
        let has_pauses = !self.pauses.borrow().is_empty();
        has_prefills || has_pauses || !self.unavailable.borrow().is_empty()
    }

    /// Returns the name of the group that shares the watches of the host `own`.
    pub(crate) fn group_name<'a, B>(&self, own: &'a Host<B>) -> &'a str {
        if self.count() < SMALL_FLEET {
            return "all";
        }
        &own.deployment.zone
    }

    /// Returns the ids of the other hosts.
    pub fn ids(&self) -> Vec<HostId> {
        self.hosts.borrow().values().map(|peer| peer.id).collect()
    }

    /// Returns the number of other hosts.
    pub fn count(&self) -> usize {
        self.hosts.borrow().len()
    }
}

/// Sends and receives datagrams for as long as the process lives.
pub async fn exchange<B>(host: Rc<Host<B>>, socket: UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut last_send = Instant::now();
    loop {
        let has_updates = host.peers.has_updates()
            || host.relay.has_updates()
            || host.crash_causes.borrow().has_changes()
            || host.rates.borrow().has_messages()
            || host.streams.has_messages()
            || host.usage.as_ref().is_some_and(HostUsage::has_messages);
        let interval = if has_updates {
            SEND_INTERVAL
        } else {
            COUNT_INTERVAL
        };
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&host, &buffer[..length]),
                // The error reports that the recipient of an earlier datagram has stopped.
                Err(_) => sleep(SEND_INTERVAL).await,
            },
            () = sleep_until(last_send + interval) => {
                send(&host, &socket);
                last_send = Instant::now();
            }
            () = host.peer_updates.notified() => {}
            () = host.relay.updates.notified() => {}
        }
    }
}

fn send<B>(host: &Host<B>, socket: &UdpSocket) {
    for outgoing in outgoing_datagrams(host) {
        for address in outgoing.to {
            // A datagram that cannot be sent has the same effect as a lost one.
            let _ = socket.try_send_to(&outgoing.bytes, address);
        }
    }
}

/// A datagram with its recipients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Addresses of the recipients.
    pub to: Vec<SocketAddr>,
    /// Encoded content.
    pub bytes: Vec<u8>,
}

/// Removes all pending updates and returns them as datagrams for the other hosts.
pub fn outgoing_datagrams<B>(host: &Host<B>) -> Vec<Outgoing> {
    let unavailable = std::mem::take(&mut *host.peers.unavailable.borrow_mut());
    let other_zones = update_for_other_zones(host, &unavailable);
    let load = load_update(host, unavailable);
    let store = host.relay.take_due().into_iter();
    let store = store.map(|update| (watch_group(host), Datagram::Store(update)));
    let to_one = store_requests_and_answers(host);
    let is_sample_due = host.now_ms() >= host.peers.sample_ms.get() + SAMPLE_INTERVAL_MS;
    if is_sample_due {
        host.peers.sample_ms.set(host.now_ms());
        crashes::report_identified(host);
        engine_reports::update(host);
    }
    let crashes = crash_updates(host, is_sample_due);
    let rates = rate_updates(host, is_sample_due);
    let recency = recency_messages(host);
    let demand = demand_messages(host);
    let usage = usage_messages(host);
    let streams = stream_messages(host);
    let pauses = std::mem::take(&mut *host.peers.pauses.borrow_mut()).into_iter();
    let pauses = pauses.map(|(to, pause)| (vec![to], Datagram::BackendPause(pause)));
    let all = other_zones
        .into_iter()
        .chain(store)
        .chain(to_one)
        .chain(crashes)
        .chain(rates)
        .chain(recency)
        .chain(demand)
        .chain(usage)
        .chain(streams)
        .chain(pauses);
    let all = all.filter_map(|(to, datagram)| {
        let bytes = encode(&datagram)?;
        Some(Outgoing { to, bytes })
    });
    all.chain(load).collect()
}

/// Returns the requests for lost changes and the answers to such requests, each for one host.
fn store_requests_and_answers<B>(host: &Host<B>) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let requests = host.relay.take_requests().into_iter();
    let requests = requests.map(|(rank, request)| (rank, Datagram::StoreRequest(request)));
    let answers = host.relay.take_answers().into_iter();
    let answers = answers.map(|(rank, update)| (rank, Datagram::Store(update)));
    let part_requests = host.relay.take_part_requests().into_iter();
    let part_requests =
        part_requests.map(|(rank, request)| (rank, Datagram::StorePartRequest(request)));
    let parts = host.relay.take_parts().into_iter();
    let parts = parts.map(|(rank, part)| (rank, Datagram::StorePart(part)));
    let all = requests.chain(answers).chain(part_requests).chain(parts);
    let hosts = host.peers.hosts.borrow();
    let addressed = all.filter_map(|(rank, datagram)| {
        let recipient = hosts.values().find(|peer| peer.id == HostId(rank))?;
        Some((vec![recipient.address], datagram))
    });
    addressed.collect()
}

/// Returns the datagrams on requests and parts of prompts that crash backends: new blame and
/// refutations that other hosts wait for go to all hosts, other refutations and samples to a few.
fn crash_updates<B>(host: &Host<B>, is_sample_due: bool) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let now_ms = host.now_ms();
    let mut causes = host.crash_causes.borrow_mut();
    let changes = causes.take_changes(now_ms);
    let hosts = host.peers.hosts.borrow();
    let all: Vec<SocketAddr> = hosts.values().map(|peer| peer.address).collect();
    let datagram = |reports: &[PartReport]| Datagram::Crashes(reports.to_vec());
    let urgent = changes.urgent.chunks(MAX_PART_REPORTS);
    let urgent = urgent
        .take(MAX_CRASH_DATAGRAMS)
        .map(|reports| (all.clone(), datagram(reports)));
    let refuted = changes.refuted.chunks(MAX_PART_REPORTS);
    let refuted = refuted
        .take(MAX_CRASH_DATAGRAMS)
        .map(|reports| (sample_recipients(host, &all), datagram(reports)));
    let mut updates: Vec<_> = urgent.chain(refuted).collect();
    if is_sample_due {
        let sample = causes.sample(host.draw(), MAX_PART_REPORTS, now_ms);
        if !sample.is_empty() {
            updates.push((sample_recipients(host, &all), datagram(&sample)));
        }
    }
    updates
}

/// Returns the datagrams on limits that backends name: those that began or ended for all hosts, a
/// sample for a few, and questions and answers.
fn rate_updates<B>(host: &Host<B>, is_sample_due: bool) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let now_ms = host.now_ms();
    let mut rates = host.rates.borrow_mut();
    if rates.is_empty() {
        return Vec::new();
    }
    let sender = host.id();
    let hosts = host.peers.hosts.borrow();
    let all: Vec<SocketAddr> = hosts.values().map(|peer| peer.address).collect();
    let mut updates = Vec::new();
    for announced in rates.take_announced(now_ms).chunks(MAX_LIMIT_REPORTS) {
        updates.push((all.clone(), Datagram::Limits(announced.to_vec())));
    }
    if is_sample_due {
        let sample = rates.sample(host.draw(), MAX_LIMIT_REPORTS, now_ms);
        updates.push((sample_recipients(host, &all), Datagram::Limits(sample)));
    }
    for (to, message) in rates.take_messages(now_ms) {
        if let Some(peer) = hosts.values().find(|peer| peer.id == to) {
            updates.push((vec![peer.address], Datagram::Rate { sender, message }));
        }
    }
    updates
}

/// Returns the questions and answers on how recent the configuration is. The relays have the most recent
/// proof; if theirs does not suffice, a few other hosts may reach the store.
fn recency_messages<B>(host: &Host<B>) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let Some(recency) = &host.recency else {
        return Vec::new();
    };
    recency.log_change(&host.clock);
    let hosts = host.peers.hosts.borrow();
    let address_of = |id: HostId| {
        let peer = hosts.values().find(|peer| peer.id == id);
        peer.map(|peer| peer.address)
    };
    let answers = recency.take_answers().into_iter();
    let mut messages: Vec<_> = answers
        .filter_map(|(id, answer)| Some((vec![address_of(id)?], Datagram::RecencyAnswer(answer))))
        .collect();
    let sender = host.id();
    if let Some(question) = recency.next_question(sender, &host.clock) {
        let relays = host.relay.fresh_relays().into_iter();
        let mut to: Vec<_> = relays.filter_map(|rank| address_of(HostId(rank))).collect();
        if to.is_empty() || recency.is_urgent(&host.clock) {
            let all: Vec<_> = hosts.values().map(|peer| peer.address).collect();
            to.extend(sample_recipients(host, &all));
        }
        messages.push((to, Datagram::RecencyQuestion(question)));
    }
    messages
}

/// Returns the questions for the demand of other hosts, and the answers to theirs.
fn demand_messages<B>(host: &Host<B>) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let questions = host.service_demand.take_questions().into_iter();
    let questions = questions.map(|(to, question)| (to, Datagram::DemandQuestion(question)));
    let answers = host.service_demand.take_answers().into_iter();
    let answers = answers.map(|(to, answer)| (to, Datagram::DemandAnswer(answer)));
    let hosts = host.peers.hosts.borrow();
    let addressed = questions.chain(answers).filter_map(|(to, datagram)| {
        let recipient = hosts.values().find(|peer| peer.id == to)?;
        Some((vec![recipient.address], datagram))
    });
    addressed.collect()
}

/// Returns the messages on software versions of streams.
fn stream_messages<B>(host: &Host<B>) -> Vec<(Vec<SocketAddr>, Datagram)> {
    stream_versions::check_announcing(host);
    if !host.streams.has_messages() {
        return Vec::new();
    }
    let hosts = host.peers.hosts.borrow();
    let hosts: Vec<_> = hosts.values().map(|peer| (peer.id, peer.address)).collect();
    let writers = host.relay.fresh_relays();
    let writers = writers.into_iter().map(HostId).collect::<Vec<_>>();
    let messages = host.streams.take_messages(&hosts, &writers).into_iter();
    let messages = messages.map(|(to, message)| (to, Datagram::Streams(message)));
    messages.collect()
}

/// Returns the messages on usage. Without organisations there is no usage to report.
fn usage_messages<B>(host: &Host<B>) -> Vec<(Vec<SocketAddr>, Datagram)> {
    let Some(usage) = host.usage.as_ref().filter(|_| host.has_organisations()) else {
        return Vec::new();
    };
    if !usage.is_due(host.clock.now_ms()) {
        return Vec::new();
    }
    let hosts = host.peers.hosts.borrow();
    let others = hosts.values().map(|peer| OtherHost {
        id: peer.id,
        zone: Rc::clone(&peer.zone),
    });
    let others: Vec<OtherHost> = others.collect();
    let zone = &host.deployment.zone;
    let messages = usage.take_messages(zone, &others, host.clock.now_ms(), || host.draw());
    let addresses = |ids: Vec<HostId>| {
        let peers = hosts.values().filter(|peer| ids.contains(&peer.id));
        peers.map(|peer| peer.address).collect()
    };
    let messages = messages.into_iter();
    messages
        .map(|(to, message)| (addresses(to), Datagram::Usage(message)))
        .collect()
}

/// Draws [`SAMPLE_RECIPIENTS`] of the addresses.
fn sample_recipients<B>(host: &Host<B>, all: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut remaining = all.to_vec();
    let mut drawn = Vec::new();
    while drawn.len() < SAMPLE_RECIPIENTS && !remaining.is_empty() {
        let at = host.draw() as usize % remaining.len();
        drawn.push(remaining.swap_remove(at));
    }
    drawn
}

/// Returns the addresses of the hosts that share their watches on the store with this one.
fn watch_group<B>(host: &Host<B>) -> Vec<SocketAddr> {
    let hosts = host.peers.hosts.borrow();
    let is_small = hosts.len() < SMALL_FLEET;
    let zone = &host.deployment.zone;
    let group = hosts
        .values()
        .filter(|peer| is_small || *peer.zone == **zone);
    group.map(|peer| peer.address).collect()
}

/// Returns the update for the hosts of other availability zones if load is exchanged within zones
/// only: unavailable engines and new shared prefixes. The other hosts of this zone get them in
/// [`load_update`].
fn update_for_other_zones<B>(
    host: &Host<B>,
    unavailable: &[EngineUnavailable],
) -> Option<(Vec<SocketAddr>, Datagram)> {
    let prefills = std::mem::take(&mut *host.peers.shared_prefixes.borrow_mut());
    let zone = &host.deployment.zone;
    let is_empty = prefills.is_empty() && unavailable.is_empty();
    if is_empty || !host.directory.borrow().shares_load_within_zone(zone) {
        return None;
    }
    let update = Datagram::Load(LoadUpdate {
        sender: hash_of(&host.deployment.name),
        prefills,
        streams: Vec::new(),
        unavailable: unavailable.to_vec(),
    });
    let hosts = host.peers.hosts.borrow();
    let recipients = hosts.values().filter(|peer| *peer.zone != **zone);
    Some((recipients.map(|peer| peer.address).collect(), update))
}

/// Returns the load update for the [`recipients`], if there is anything to send. The progress of the
/// engines has a datagram of its own if both do not fit into one.
fn load_update<B>(host: &Host<B>, unavailable: Vec<EngineUnavailable>) -> Vec<Outgoing> {
    let prefills = std::mem::take(&mut *host.peers.prefills.borrow_mut());
    let is_count_due = !prefills.is_empty()
        || !unavailable.is_empty()
        || host.now_ms() >= host.peers.counts_ms.get() + COUNT_INTERVAL_MS;
    // An update that only says that prefills have ended does not repeat the counts.
    let (streams, decode) = if is_count_due {
        host.peers.counts_ms.set(host.now_ms());
        own_streams(host)
    } else {
        (Vec::new(), Vec::new())
    };
    let progress = EngineProgress {
        ended: take_ended(host),
        decode,
    };
    if prefills.is_empty() && streams.is_empty() && unavailable.is_empty() && progress.is_empty() {
        return Vec::new();
    }
    let update = |prefills, streams, unavailable| LoadUpdate {
        sender: hash_of(&host.deployment.name),
        prefills,
        streams,
        unavailable,
    };
    let (to, are_all) = recipients(host);
    let load = Datagram::Load(update(prefills, streams, unavailable));
    let Some(mut bytes) = encode(&load) else {
        return Vec::new();
    };
    // With a sample of recipients, most would never learn of the end of a prefill that they know of.
    let progress_bytes = are_all.then(|| encode(&progress)).flatten();
    let mut datagrams = Vec::new();
    if let Some(progress_bytes) = progress_bytes {
        if bytes.len() + progress_bytes.len() > MAX_DATAGRAM_BYTES {
            let empty = Datagram::Load(update(Vec::new(), Vec::new(), Vec::new()));
            // Progress without the update before it would be read as something else.
            if let Some(mut own) = encode(&empty) {
                own.extend(progress_bytes);
                datagrams.push(own);
            }
            bytes.extend(encode(&EngineProgress::default()).unwrap_or_default());
        } else {
            bytes.extend(progress_bytes);
        }
    }
    datagrams.insert(0, bytes);
    let outgoing = datagrams.into_iter().map(|bytes| Outgoing {
        to: to.clone(),
        bytes,
    });
    outgoing.collect()
}

/// Removes and returns the ends of prefills for the next datagram.
fn take_ended<B>(host: &Host<B>) -> Vec<PrefillEnd> {
    let mut ended = host.peers.ended.borrow_mut();
    let count = ended.len().min(MAX_PREFILL_ENDS);
    ended.drain(..count).collect()
}

fn encode(content: &impl Serialize) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(content, bincode::config::standard()).ok()
}

/// Returns this host's number of generations on each engine where it is not 0 or was not 0 in the
/// last announcement, and the decode speeds that are due.
fn own_streams<B>(host: &Host<B>) -> (Vec<StreamCount>, Vec<DecodeSlowness>) {
    let now_ms = host.now_ms();
    let mut counts = Vec::new();
    let mut decode = Vec::new();
    for backend in host.directory.borrow_mut().iter_mut() {
        let engine = backend.id_hash();
        let load = &mut backend.load;
        let announced = std::mem::replace(&mut load.announced_streams, load.streams);
        if load.streams == 0 && announced == 0 {
            continue;
        }
        counts.push(StreamCount {
            engine,
            streams: load.streams,
            tokens: load.tokens,
        });
        if decode.len() < MAX_DECODE_NEWS
            && let Some(slowness) = load.take_decode_news(now_ms)
        {
            decode.push(DecodeSlowness {
                engine,
                slowness_percent: (slowness * 100.0) as u32,
            });
        }
    }
    (counts, decode)
}

/// Returns the recipients of a load update: the other hosts of this host's availability zone if the
/// zone has enough backends, otherwise all other hosts. If there are too many, a new sample is
/// drawn each time. Also returns whether they are all.
fn recipients<B>(host: &Host<B>) -> (Vec<SocketAddr>, bool) {
    let zone = &host.deployment.zone;
    let is_within_zone = host.directory.borrow().shares_load_within_zone(zone);
    host.peers.is_within_zone.set(is_within_zone);
    let hosts = host.peers.hosts.borrow();
    let in_scope = hosts
        .values()
        .filter(|peer| !is_within_zone || *peer.zone == **zone);
    let addresses: Vec<SocketAddr> = in_scope.map(|peer| peer.address).collect();
    let start = host.draw() as usize % addresses.len().max(1);
    let from_start = addresses.iter().copied().cycle().skip(start);
    let count = addresses.len().min(MAX_RECIPIENTS);
    (from_start.take(count).collect(), count == addresses.len())
}

/// Handles a datagram from another host; one that cannot be decoded is ignored.
pub fn receive<B>(host: &Host<B>, bytes: &[u8]) {
    let decoded: Result<(Datagram, usize), _> =
        bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    match decoded {
        Ok((Datagram::Load(update), length)) => apply_load(host, update, &bytes[length..]),
        Ok((Datagram::Store(update), _)) => host.relay.receive(update),
        Ok((Datagram::StoreRequest(request), _)) => host.relay.receive_request(request),
        Ok((Datagram::StorePartRequest(request), _)) => host.relay.receive_part_request(&request),
        Ok((Datagram::StorePart(part), _)) => host.relay.receive_part(part),
        Ok((Datagram::Streams(message), _)) => stream_versions::receive(host, message),
        Ok((Datagram::BackendPause(pause), _)) => apply_pause(host, pause),
        Ok((Datagram::Crashes(reports), _)) => apply_crashes(host, &reports),
        Ok((Datagram::Limits(reports), _)) => {
            let mut rates = host.rates.borrow_mut();
            for report in &reports {
                rates.merge(report, host.now_ms());
            }
        }
        Ok((Datagram::Rate { sender, message }, _)) => {
            let mut rates = host.rates.borrow_mut();
            rates.receive(sender, &message, host.now_ms());
            host.peer_updates.notify_one();
        }
        Ok((Datagram::RecencyQuestion(question), _)) => {
            if let Some(recency) = &host.recency {
                recency.receive_question(question, &host.clock);
                host.peer_updates.notify_one();
            }
        }
        Ok((Datagram::RecencyAnswer(answer), _)) => {
            if let Some(recency) = &host.recency {
                recency.receive_answer(answer);
            }
        }
        Ok((Datagram::DemandQuestion(question), _)) => {
            let own = host.id();
            let now_ms = host.clock.now_ms();
            host.service_demand.receive_question(question, own, now_ms);
            host.peer_updates.notify_one();
        }
        Ok((Datagram::DemandAnswer(answer), _)) => host.service_demand.receive_answer(answer),
        Ok((Datagram::Usage(message), _)) => {
            if let Some(usage) = &host.usage {
                usage.receive(message, &host.peers.ids(), host.clock.now_ms());
            }
        }
        Err(_) => {}
    }
}

fn apply_pause<B>(host: &Host<B>, pause: BackendPause) {
    let mut directory = host.directory.borrow_mut();
    if let Some(key) = directory.find_by_hash(pause.backend) {
        let until_ms = host.now_ms() + pause.wait_ms.min(MAX_PAUSE_MS);
        directory.get_mut(key).pause_requests(until_ms);
    }
}

fn apply_crashes<B>(host: &Host<B>, reports: &[PartReport]) {
    let now_ms = host.now_ms();
    {
        let mut causes = host.crash_causes.borrow_mut();
        for report in reports {
            causes.merge(report, now_ms);
        }
    }
    crashes::report_identified(host);
}

/// Applies a load update; `rest` is what follows it in the datagram.
fn apply_load<B>(host: &Host<B>, update: LoadUpdate, rest: &[u8]) {
    let now_ms = host.now_ms();
    let progress: Option<(EngineProgress, usize)> =
        bincode::serde::decode_from_slice(rest, bincode::config::standard()).ok();
    let source = if progress.is_some() {
        PrefillSource::Told(update.sender)
    } else {
        PrefillSource::Untold
    };
    let mut directory = host.directory.borrow_mut();
    for count in update.streams {
        if let Some(key) = directory.find_by_hash(count.engine) {
            let load = &mut directory.get_mut(key).load;
            load.set_peer_streams(update.sender, count.streams, count.tokens, now_ms);
        }
    }
    for unavailable in update.unavailable {
        if let Some(key) = directory.find_by_hash(unavailable.engine) {
            directory
                .get_mut(key)
                .set_unavailable(now_ms + u64::from(unavailable.for_ms));
        }
    }
    for prefill in update.prefills {
        let Some(key) = directory.find_by_hash(prefill.engine) else {
            continue;
        };
        let load = &mut directory.get_mut(key).load;
        let mut demand = host.demand.borrow_mut();
        demand.add_prefill(prefill.work_ms() / load.prefill_speed);
        load.add_prefill(source, prefill.work_ms(), now_ms);
        if prefill.shared_hash != 0 {
            load.record_cached(&[(prefill.shared_hash, prefill.shared_tokens)], now_ms);
        }
    }
    if let Some((progress, _)) = progress {
        apply_progress(host, &mut directory, source, &progress);
    }
}

fn apply_progress<B>(
    host: &Host<B>,
    directory: &mut Directory,
    source: PrefillSource,
    progress: &EngineProgress,
) {
    let now_ms = host.now_ms();
    for end in &progress.ended {
        let Some(key) = directory.find_by_hash(end.engine) else {
            continue;
        };
        let load = &mut directory.get_mut(key).load;
        let work_ms = from_tenths_ms(end.work_tenths_ms);
        load.end_prefill(source, work_ms, end.is_completed, now_ms);
        if let Some(sample) = end.sample(is_queue_known(host, directory, key)) {
            directory.record_prefill(key, &sample, now_ms);
        }
    }
    for decode in &progress.decode {
        if let Some(key) = directory.find_by_hash(decode.engine) {
            let load = &mut directory.get_mut(key).load;
            let slowness = f64::from(decode.slowness_percent) / 100.0;
            load.speed.record_decode(slowness, 1.0, now_ms);
            load.decode_speed = load.speed.decode_speed(now_ms);
        }
    }
}

/// Whether the hosts that give an engine work announce it to this one.
pub fn is_queue_known<B>(host: &Host<B>, directory: &Directory, key: BackendKey) -> bool {
    let is_same_zone = directory.get(key).entry.zone == host.deployment.zone;
    is_same_zone || !host.peers.is_within_zone.get()
}

/// Creates the announcement of a prefill with `work_ms` of work, in nominal milliseconds, on the
/// engine `key`. `prefixes` contains the hash and the
/// length of each prefix of the prompt; the shared prefix is the one without the last part.
pub fn prefill_announcement<B>(
    host: &Host<B>,
    key: BackendKey,
    work_ms: f64,
    prefixes: &[(u64, u32)],
) -> PrefillAnnouncement {
    let shared = prefixes.len().checked_sub(2).map(|at| prefixes[at]);
    let (shared_hash, shared_tokens) = shared.unwrap_or_default();
    PrefillAnnouncement {
        engine: hash_of(&*host.target(key).id),
        prefill_tenths_ms: to_tenths_ms(work_ms),
        shared_hash,
        shared_tokens,
    }
}

/// Registers this host in the store, so that the others find it, for as long as the process lives:
/// a restore of the store may remove the entry again.
pub async fn register<B, S: ObjectStore>(host: Rc<Host<B>>, store: Rc<S>, address: SocketAddr) {
    loop {
        write_entry(&host, &*store, address).await;
        host.peers.entry_lost.notified().await;
    }
}

/// Writes the entry of this host, unless the host stops before.
async fn write_entry<B, S: ObjectStore>(host: &Host<B>, store: &S, address: SocketAddr) {
    let name = object_name(&host.deployment.name);
    let value = json!({ "address": address.to_string(), "zone": host.deployment.zone });
    let mut expected = None;
    while !host.is_stopping() {
        match store.write(Kind::Hosts, &name, expected, &value).await {
            Ok(_) => return,
            Err(StoreFault::Conflict(Some(object))) if object.value.as_ref() == Some(&value) => {
                return;
            }
            Err(StoreFault::Conflict(Some(object))) => expected = Some(object.revision),
            Err(StoreFault::Missing | StoreFault::Conflict(None)) => expected = None,
            Err(_) => {}
        }
        sleep(REGISTER_RETRY).await;
    }
}

/// Removes this host from the store.
pub async fn unregister<B, S: ObjectStore>(host: &Host<B>, store: &S) {
    let name = object_name(&host.deployment.name);
    if let Err(fault) = store.remove(Kind::Hosts, &name).await {
        // A remaining entry only makes the retry budgets of the others smaller, until a host with
        // this name registers again.
        log::write(Event::StoreLost, &format!("unregister={fault:?}"));
    }
}

fn object_name(host: &str) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Applies changes of the list of hosts for as long as the process lives.
pub async fn follow_hosts<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    store_health: Rc<StoreHealth>,
) {
    let own_name = object_name(&host.deployment.name);
    let mut is_first_listing = true;
    let apply = |objects: &Objects, source: Source| {
        let is_full_listing = source == Source::Listing;
        if is_full_listing {
            host.peers.hosts.borrow_mut().clear();
        }
        for object in &objects.objects {
            apply_host(&host, object);
        }
        let own_entry = objects
            .objects
            .iter()
            .find(|object| object.name == own_name);
        // The first listing may be older than the registration.
        let is_missing = is_full_listing && !is_first_listing && own_entry.is_none();
        is_first_listing &= !is_full_listing;
        if is_missing || own_entry.is_some_and(|entry| entry.is_removed) {
            host.peers.entry_lost.notify_one();
        }
    };
    let follower = Follower {
        store: &*store,
        store_health: &store_health,
        relay: &host.relay,
        kind: Kind::Hosts,
        bound_ms: host.deployment.change_bound_ms(),
        proofs: None,
    };
    follower.run(apply, |_| {}).await;
}

fn apply_host<B>(host: &Host<B>, object: &Object) {
    let Some(name) = object.name.strip_prefix(HOST_PREFIX) else {
        return;
    };
    if name == host.deployment.name {
        return;
    }
    let peer = object
        .value
        .as_ref()
        .and_then(|value| decode_peer(name, value));
    let mut hosts = host.peers.hosts.borrow_mut();
    match peer.filter(|_| !object.is_removed) {
        Some(peer) => {
            let fields = format!(
                "peer={} address={} zone={}",
                field(name),
                peer.address,
                field(&peer.zone)
            );
            if hosts.insert(name.to_owned(), peer.clone()) != Some(peer) {
                log::write(Event::PeerJoined, &fields);
            }
        }
        None => {
            if hosts.swap_remove(name).is_some() {
                log::write(Event::PeerLost, &format!("peer={}", field(name)));
            }
        }
    }
    let count = u32::try_from(hosts.len() + 1).unwrap_or(u32::MAX);
    drop(hosts);
    host.set_host_count(count);
}

fn decode_peer(name: &str, value: &Value) -> Option<Peer> {
    Some(Peer {
        id: HostId(hash_of(name)),
        address: value.get("address")?.as_str()?.parse().ok()?,
        zone: value.get("zone")?.as_str()?.into(),
    })
}
