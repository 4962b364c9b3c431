//! Memory of the software versions of streams, which hosts share.
//!
//! [`yuccacove::stream_version`] decides at which version a stream goes on; this module collects what
//! it needs. While engines of several versions serve, a host tells other hosts with which version each
//! stream began, so that the loss of a host loses no stream. A host that does not know a stream asks
//! them. After the loss of all hosts only the store tells whether there was one version for long enough.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout};
use yucca_io::log;
use yucca_io::log::field;
use yuccacove::event::Event;
use yuccacove::fleet_rate::HostId;
use yuccacove::stream_lifetime::StreamLifetime;
use yuccacove::stream_version::{Evidence, OnlyVersions, StreamId, StreamVersions, VersionId};

use crate::config::{RouteKind, ServingConfig};
use crate::hash::hash_of;
use crate::host::Host;
use crate::ports::Kind;

/// Longest time between the first event of a stream and its last resumption, as a multiple of the
/// longest time limit of the routes. The deadline of a caller counts in its place if it is longer.
const LIFETIME_FACTOR: f64 = 1.5;
/// Up to this many other hosts, all of them learn the versions of streams; in a larger fleet some do,
/// which follow from the stream's id.
const SMALL_FLEET: usize = 16;
/// Number of those hosts in a larger fleet. Some may have stopped a moment ago.
const REPLICAS: usize = 5;
/// Shortest time for which a stream is remembered of which another host or the journal has told. They do not
/// tell how long its caller waits.
const MIN_TOLD_MS: u64 = 60_000;
/// Maximum number of notes in one datagram.
const MAX_NOTES: usize = 60;
/// Maximum number of answers that no request has taken.
const MAX_OBSERVED: usize = 1_000;
/// Maximum number of streams that wait to be written into the journal.
const MAX_UNWRITTEN: usize = 20_000;
/// Longest wait for the answers of other hosts.
const ANSWER_WAIT_MS: u64 = 40;
/// Time after which a question is repeated, because a datagram may be lost.
const REPEAT_MS: u64 = 20;
/// Interval at which a request that waits checks for answers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for the record in the store.
const RECORD_WAIT: Duration = Duration::from_millis(120);
/// Longest time from the first read of the store's record to the first listing of the engines.
const START_MS: u64 = 5_000;
/// Time for which a listing of the engines counts. It is longer than the wait for it.
const LISTED_MS: u64 = 200;
/// Interval at which a host checks whether it must tell others the versions of its streams.
const CHECK_INTERVAL_MS: u64 = 100;

/// Tells with which version a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamNote {
    stream: u64,
    version: u64,
}

/// Question for the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuestion {
    sender: HostId,
    stream: u64,
    /// Hash of the name of the service.
    service: u64,
}

/// Answer to a [`StreamQuestion`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    stream: u64,
    version: u64,
    /// Whether the version was recorded for this stream. Otherwise the service had no other version for
    /// as long as the answering host has watched it, which is long enough.
    is_recorded: bool,
}

/// A message on versions of streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Versions of streams that have begun.
    Notes(Vec<StreamNote>),
    /// Question for the version of a stream.
    Question(StreamQuestion),
    /// Answer to such a question.
    Answer(StreamAnswer),
}

/// The versions of the engines that the store lists, by the name of the service.
pub(crate) type ListedVersions = IndexMap<String, Vec<VersionId>>;

/// What this host knows of the versions of streams, and messages to send.
#[derive(Debug, Default)]
pub struct HostStreams {
    /// Streams that began or went on at this host.
    memory: RefCell<StreamVersions>,
    /// Streams of which other hosts or the journal have told.
    told: RefCell<StreamVersions>,
    lifetime: RefCell<StreamLifetime>,
    /// Whether other hosts could not infer the versions of this host's streams.
    is_announcing: Cell<bool>,
    checked_ms: Cell<u64>,
    notes: RefCell<Vec<StreamNote>>,
    questions: RefCell<Vec<StreamQuestion>>,
    answers: RefCell<Vec<(HostId, StreamAnswer)>>,
    /// Versions for which another host has observed, by stream.
    observed_by_peer: RefCell<IndexMap<StreamId, VersionId>>,
    /// Record of the store, with the time at which it was read; `None` until then.
    stored: RefCell<Option<(u64, OnlyVersions)>>,
    /// Notified when the record of the store is needed.
    pub(crate) record_wanted: Notify,
    record_read: Notify,
    /// Streams that are not in the journal yet, with the time at which this host learnt of them.
    unwritten: RefCell<IndexMap<StreamId, (VersionId, u64)>>,
    /// Notified when the journal is needed.
    pub(crate) journal_wanted: Notify,
    /// Notified when it was read.
    pub(crate) journal_read: Notify,
    /// Versions of the engines of each service as the store last listed them, with the time of the call.
    listed: RefCell<Option<(u64, ListedVersions)>>,
}

impl HostStreams {
    /// Creates the state before the first configuration. All hosts apply a change of it within `spread_ms`.
    pub(crate) fn new(spread_ms: u64) -> Self {
        Self {
            lifetime: RefCell::new(StreamLifetime::new(spread_ms)),
            ..Self::default()
        }
    }

    /// Applies the limits of a configuration to the streams that begin from now on. `unseen_ms` is how long ago
    /// this host last knew that the configuration before was the latest; `None` if it never did.
    pub(crate) fn set_limits(&self, config: &ServingConfig, unseen_ms: Option<u64>, now_ms: u64) {
        let mut lifetime = self.lifetime.borrow_mut();
        lifetime.set_in_force(lifetime_by(config), unseen_ms, now_ms);
    }

    /// Whether there are messages to send.
    pub(crate) fn has_messages(&self) -> bool {
        !self.notes.borrow().is_empty()
            || !self.questions.borrow().is_empty()
            || !self.answers.borrow().is_empty()
    }

    /// Sets the record of the store, which was read at `read_ms` on the clock that also advances during
    /// suspension.
    pub(crate) fn set_stored(&self, read_ms: u64, stored: OnlyVersions, now_ms: u64) {
        if let Some(lifetime_ms) = stored.lifetime_ms {
            self.lifetime.borrow_mut().learn(lifetime_ms, now_ms);
        }
        *self.stored.borrow_mut() = Some((read_ms, stored));
        self.record_read.notify_waiters();
    }

    /// Sets the versions of the engines of each service as the store listed them in a call at `at_ms`.
    pub(crate) fn set_listed(&self, at_ms: u64, versions: ListedVersions) {
        *self.listed.borrow_mut() = Some((at_ms, versions));
    }

    /// Returns the versions of a service's engines as the store listed them a moment ago.
    fn listed(&self, service: &str, now_ms: u64) -> Option<Vec<VersionId>> {
        let listed = self.listed.borrow();
        let (at_ms, versions) = listed.as_ref()?;
        let is_recent = now_ms <= at_ms + LISTED_MS;
        is_recent.then(|| versions.get(service).cloned().unwrap_or_default())
    }

    fn recorded(&self, stream: StreamId) -> Option<VersionId> {
        let own = self.memory.borrow().find(stream);
        own.or_else(|| self.told.borrow().find(stream))
    }

    fn record_observed(&self, stream: StreamId, version: VersionId) {
        let mut observed_by_peer = self.observed_by_peer.borrow_mut();
        observed_by_peer.insert(stream, version);
        let excess = observed_by_peer.len().saturating_sub(MAX_OBSERVED);
        observed_by_peer.drain(..excess);
    }

    /// Whether streams are not in the journal yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        !self.unwritten.borrow().is_empty()
    }

    /// Returns and forgets the streams that are not in the journal yet, but for those that this host learnt
    /// of before `forgotten_ms`.
    pub(crate) fn take_unwritten(&self, forgotten_ms: u64) -> Vec<(StreamId, VersionId)> {
        let unwritten = self.unwritten.take().into_iter();
        let recent = unwritten.filter(|(_, (_, at_ms))| *at_ms >= forgotten_ms);
        recent
            .map(|(stream, (version, _))| (stream, version))
            .collect()
    }

    /// Adds streams that are to be written.
    pub(crate) fn add_unwritten(
        &self,
        streams: impl IntoIterator<Item = (StreamId, VersionId)>,
        now_ms: u64,
    ) {
        let streams = streams.into_iter();
        let mut unwritten = self.unwritten.borrow_mut();
        unwritten.extend(streams.map(|(stream, version)| (stream, (version, now_ms))));
        let excess = unwritten.len().saturating_sub(MAX_UNWRITTEN);
        unwritten.drain(..excess);
    }

    /// Returns and forgets the messages to send, each with its recipients among the other `hosts`. Notes
    /// also go to the `writers`, which keep the journal.
    pub(crate) fn take_messages(
        &self,
        hosts: &[(HostId, SocketAddr)],
        writers: &[HostId],
    ) -> Vec<(Vec<SocketAddr>, StreamMessage)> {
        let mut messages = Vec::new();
        let mut by_recipients: IndexMap<Vec<SocketAddr>, Vec<StreamNote>> = IndexMap::new();
        for note in self.notes.take() {
            let mut to = replicas(StreamId(note.stream), hosts);
            let writers = hosts.iter().filter(|(id, _)| writers.contains(id));
            let writers: Vec<_> = writers.map(|(_, address)| *address).collect();
            to.extend(writers);
            to.sort();
            to.dedup();
            by_recipients.entry(to).or_default().push(note);
        }
        for (to, notes) in by_recipients {
            let datagrams = notes.chunks(MAX_NOTES).map(<[StreamNote]>::to_vec);
            messages.extend(datagrams.map(|notes| (to.clone(), StreamMessage::Notes(notes))));
        }
        for question in self.questions.take() {
            let to = replicas(StreamId(question.stream), hosts);
            messages.push((to, StreamMessage::Question(question)));
        }
        for (sender, answer) in self.answers.take() {
            let to = hosts.iter().find(|(id, _)| *id == sender);
            messages.extend(to.map(|(_, to)| (vec![*to], StreamMessage::Answer(answer))));
        }
        messages
    }
}

/// Returns the addresses of the hosts that learn the version of a stream, by rendezvous hashing.
fn replicas(stream: StreamId, hosts: &[(HostId, SocketAddr)]) -> Vec<SocketAddr> {
    let mut ranked: Vec<_> = hosts.iter().collect();
    if hosts.len() > SMALL_FLEET {
        ranked.sort_by_cached_key(|(id, _)| hash_of((stream.0, id.0)));
        ranked.truncate(REPLICAS);
    }
    ranked.into_iter().map(|(_, address)| *address).collect()
}

/// Returns the id of a software version.
pub fn version_id(software: &str) -> VersionId {
    VersionId(hash_of(software))
}

fn stream_id(request_id: &str) -> StreamId {
    StreamId(hash_of(request_id))
}

/// Returns the longest time from the first event of a stream to its last resumption, for streams that begin
/// under a configuration.
fn lifetime_by(config: &ServingConfig) -> u64 {
    let routes = config.routes.iter();
    let streams = routes.filter(|route| matches!(route.kind, RouteKind::Stream { .. }));
    let limit_ms = streams.map(|route| route.timeout_ms).max().unwrap_or(0);
    (limit_ms as f64 * LIFETIME_FACTOR) as u64
}

/// Returns the longest time from the first event to the last resumption of a stream that runs, or begins now.
pub(crate) fn lifetime_ms<B>(host: &Host<B>) -> u64 {
    host.streams.lifetime.borrow().longest_ms(host.now_ms())
}

/// Returns the lifetime of the streams that begin now.
fn in_force_ms<B>(host: &Host<B>) -> u64 {
    host.streams.lifetime.borrow().in_force_ms()
}

/// Returns how long ago a stream may have begun that still runs.
fn span_ms<B>(host: &Host<B>) -> u64 {
    host.streams.lifetime.borrow().span_ms(host.now_ms())
}

/// Returns what this host has itself seen of the versions of a service's engines.
pub(crate) fn own_evidence<B>(host: &Host<B>, service: &str) -> Evidence {
    let now_ms = host.now_ms();
    let span_ms = span_ms(host);
    let directory = host.directory.borrow();
    let present = directory.versions(service, now_ms.saturating_sub(span_ms));
    let known_ms = host.relay.known_ms(Kind::BackEnds);
    let has_watched =
        known_ms.is_some_and(|known_ms| known_ms >= span_ms) && is_lifetime_known(host);
    // Where engines name no version, there is nothing to tell apart.
    let is_unnamed = present == [version_id("")];
    Evidence {
        present,
        has_watched: has_watched || is_unnamed,
        ..Evidence::default()
    }
}

/// Returns the names of the services with streams.
pub(crate) fn stream_services<B>(host: &Host<B>) -> Vec<String> {
    let Some(config) = host.config() else {
        return Vec::new();
    };
    let services = config.services.iter();
    let with_engines = services.filter(|(_, service)| service.engine.is_some());
    with_engines.map(|(name, _)| name.clone()).collect()
}

/// Whether the engines of a service had several versions in the last `within_ms`.
pub(crate) fn has_several_versions<B>(host: &Host<B>, within_ms: u64) -> bool {
    let since_ms = host.now_ms().saturating_sub(within_ms);
    let directory = host.directory.borrow();
    let mut services = stream_services(host).into_iter();
    services.any(|service| directory.versions(&service, since_ms).len() > 1)
}

/// Remembers the version of a stream that begins or goes on at this host, whose caller waits for `wait_ms` if it
/// says so, and tells it to other hosts if they could not infer it.
fn record<B>(host: &Host<B>, stream: StreamId, version: VersionId, wait_ms: Option<u64>) {
    let now_ms = host.now_ms();
    let streams = &host.streams;
    if let Some(wait_ms) = wait_ms {
        streams.lifetime.borrow_mut().begin(wait_ms, now_ms);
    }
    let until_ms = now_ms.saturating_add(lifetime_ms(host));
    let mut memory = streams.memory.borrow_mut();
    memory.record(stream, version, until_ms, now_ms);
    drop(memory);
    if streams.is_announcing.get() {
        announce(host, [(stream, version)]);
    }
}

/// Remembers the version of a stream of which another host or the journal has told.
pub(crate) fn remember_told<B>(host: &Host<B>, stream: StreamId, version: VersionId) {
    let now_ms = host.now_ms();
    let until_ms = now_ms.saturating_add(lifetime_ms(host).max(MIN_TOLD_MS));
    let mut told = host.streams.told.borrow_mut();
    told.record(stream, version, until_ms, now_ms);
}

/// Records the version with which a stream begins whose caller waits for `wait_ms`.
pub(crate) fn record_begin<B>(
    host: &Host<B>,
    request_id: &str,
    version: VersionId,
    wait_ms: Option<u64>,
) {
    record(host, stream_id(request_id), version, wait_ms);
}

/// Tells other hosts the versions of streams.
fn announce<B>(host: &Host<B>, streams: impl IntoIterator<Item = (StreamId, VersionId)>) {
    let streams: Vec<_> = streams.into_iter().collect();
    let notes = streams.iter().map(|(stream, version)| StreamNote {
        stream: stream.0,
        version: version.0,
    });
    host.streams.notes.borrow_mut().extend(notes);
    host.streams.add_unwritten(streams, host.now_ms());
    host.peer_updates.notify_one();
}

/// Tells other hosts the versions of all streams that began or went on at this host as soon as engines of a
/// service have several versions, or this host cannot know that they have not.
pub(crate) fn check_announcing<B>(host: &Host<B>) {
    let streams = &host.streams;
    let now_ms = host.now_ms();
    if now_ms < streams.checked_ms.get() + CHECK_INTERVAL_MS {
        return;
    }
    streams.checked_ms.set(now_ms);
    let services = stream_services(host);
    let is_announcing = services
        .iter()
        .any(|service| is_version_unknown(host, service));
    if is_announcing && !streams.is_announcing.replace(is_announcing) {
        announce(host, streams.memory.borrow().iter());
    }
    streams.is_announcing.set(is_announcing);
}

/// Returns for how long this host has known all engines and all limits of streams without a gap; `None` if it
/// may be out of step now.
fn in_step_ms<B>(host: &Host<B>) -> Option<u64> {
    let known_ms = host.relay.known_ms(Kind::BackEnds)?;
    Some(known_ms.min(host.relay.known_ms(Kind::Config)?))
}

/// Returns the store's record with the time since it was read; `None` if it was not read since this host was last
/// out of step.
fn current_record<B>(host: &Host<B>) -> Option<(u64, OnlyVersions)> {
    let stored = host.streams.stored.borrow();
    let (read_ms, stored) = stored.as_ref()?;
    let age_ms = host.relay.now_ms().saturating_sub(*read_ms);
    let is_current = age_ms <= in_step_ms(host)? + START_MS;
    is_current.then(|| (age_ms, stored.clone()))
}

/// Whether this host knows how long the streams may live that began before it was in step: under limits that it
/// never saw in force, of which the store's record tells.
pub(crate) fn is_lifetime_known<B>(host: &Host<B>) -> bool {
    host.config().is_some() && current_record(host).is_some()
}

/// Returns the only version of a service as the store's record has it.
fn recorded_only<B>(host: &Host<B>, service: &str) -> Option<VersionId> {
    let (age_ms, stored) = current_record(host)?;
    only_stored(host, &stored, service, age_ms)
}

/// Returns the only version of a service by a record that was read or written `age_ms` ago, if that reaches back
/// far enough.
pub(crate) fn only_stored<B>(
    host: &Host<B>,
    stored: &OnlyVersions,
    service: &str,
    age_ms: u64,
) -> Option<VersionId> {
    stored.find(service, age_ms, span_ms(host), in_force_ms(host))
}

/// Whether neither this host nor the store's record can tell the only version of a service's engines. Asks
/// for the record if this host has not read it since it was last out of step.
fn is_version_unknown<B>(host: &Host<B>, service: &str) -> bool {
    let evidence = Evidence {
        stored: recorded_only(host, service),
        ..own_evidence(host, service)
    };
    // Without an engine there is no stream.
    let is_unknown = !evidence.present.is_empty() && evidence.version().is_none();
    if is_unknown && current_record(host).is_none() && in_step_ms(host).is_some() {
        host.streams.record_wanted.notify_one();
    }
    is_unknown
}

/// The version at which a stream goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownVersion {
    pub version: VersionId,
    /// Whether a host recorded that the stream began.
    pub has_begun: bool,
}

/// Returns the version at which a stream has to go on that its caller resumes; `None` if it is not known.
/// `request_id` is the try that brought the first event, as the caller names it, and `wait_ms` how long the caller
/// waits.
pub(crate) async fn version_of<B>(
    host: &Host<B>,
    service: &str,
    request_id: Option<&str>,
    wait_ms: Option<u64>,
) -> Option<KnownVersion> {
    let stream = request_id.map(stream_id);
    let streams = &host.streams;
    let recorded = || stream.and_then(|stream| streams.recorded(stream));
    if let Some(stream) = stream {
        ask(host, service, stream).await;
    }
    let observed_by_peer =
        stream.and_then(|stream| streams.observed_by_peer.borrow_mut().swap_remove(&stream));
    // A host of an earlier build takes the limits in force for those of all streams.
    let observed_by_peer = observed_by_peer.filter(|_| span_ms(host) <= in_force_ms(host));
    let mut evidence = Evidence {
        recorded: recorded(),
        observed_by_peer,
        is_current: host.relay.is_current(Kind::BackEnds),
        is_alone: host.peers.count() == 0,
        ..own_evidence(host, service)
    };
    if evidence.recorded.is_none() {
        read_journal(host).await;
        evidence.recorded = recorded();
        evidence.listed = host.streams.listed(service, host.now_ms());
    }
    let is_unproven = evidence.version().is_none() && evidence.present.len() == 1;
    if is_unproven && evidence.listed.is_some() {
        evidence.stored = stored(host, service).await;
    }
    log_resumption(host, service, request_id, &evidence);
    let version = evidence.confirmed_version()?;
    let has_begun = evidence.recorded.is_some();
    if let Some(stream) = stream.filter(|_| has_begun) {
        // Its caller may take it up again later than the other hosts remember its beginning.
        record(host, stream, version, wait_ms);
    }
    Some(KnownVersion { version, has_begun })
}

/// Logs at which version a resumed stream goes on, what tells that, and how far back that reaches.
fn log_resumption<B>(host: &Host<B>, service: &str, request_id: Option<&str>, evidence: &Evidence) {
    let confirmed = evidence.confirmed_version();
    let version = confirmed.map_or_else(String::new, |version| format!("{:016x}", version.0));
    let basis = evidence.version_with_basis();
    let basis = basis.map_or("none", |(_, basis)| basis.name());
    let listed = evidence.listed.as_ref().map(Vec::len);
    let fields = format!(
        "resumed={} service={} version={version} basis={basis} present={} listed={listed:?} \
         known_ms={:?} span_ms={} lifetime_ms={}",
        field(request_id.unwrap_or_default()),
        field(service),
        evidence.present.len(),
        host.relay.known_ms(Kind::BackEnds),
        span_ms(host),
        lifetime_ms(host),
    );
    log::write(Event::StreamVersion, &fields);
}

/// Asks other hosts for the version of a stream that this host does not remember, and waits until one has
/// recorded it or all had time to answer.
async fn ask<B>(host: &Host<B>, service: &str, stream: StreamId) {
    let streams = &host.streams;
    let question = StreamQuestion {
        sender: host.id(),
        stream: stream.0,
        service: hash_of(service),
    };
    let begun = Instant::now();
    let mut sent = 0;
    while host.peers.count() > 0 && streams.recorded(stream).is_none() {
        let elapsed_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        if elapsed_ms >= ANSWER_WAIT_MS {
            return;
        }
        if elapsed_ms >= sent * REPEAT_MS {
            sent += 1;
            streams.questions.borrow_mut().push(question);
            host.peer_updates.notify_one();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads what a loss of all hosts has left.
async fn read_journal<B>(host: &Host<B>) {
    let read = host.streams.journal_read.notified();
    host.streams.journal_wanted.notify_one();
    // Without the journal the version is not known.
    let _ = timeout(RECORD_WAIT, read).await;
}

/// Returns the only version of a service as the store's record has it, which is read if necessary.
async fn stored<B>(host: &Host<B>, service: &str) -> Option<VersionId> {
    let streams = &host.streams;
    if current_record(host).is_none() {
        let read = streams.record_read.notified();
        streams.record_wanted.notify_one();
        // Without the record the version is not known.
        let _ = timeout(RECORD_WAIT, read).await;
    }
    recorded_only(host, service)
}

/// Handles a message of another host.
pub(crate) fn receive<B>(host: &Host<B>, message: StreamMessage) {
    match message {
        StreamMessage::Notes(notes) => {
            for note in notes {
                let (stream, version) = (StreamId(note.stream), VersionId(note.version));
                remember_told(host, stream, version);
                let streams = &host.streams;
                streams.add_unwritten([(stream, version)], host.now_ms());
            }
        }
        StreamMessage::Question(question) => answer(host, question),
        StreamMessage::Answer(answer) => {
            let (stream, version) = (StreamId(answer.stream), VersionId(answer.version));
            if answer.is_recorded {
                remember_told(host, stream, version);
            } else {
                host.streams.record_observed(stream, version);
            }
        }
    }
}

fn answer<B>(host: &Host<B>, question: StreamQuestion) {
    let recorded = host.streams.recorded(StreamId(question.stream));
    let only = || {
        let services = stream_services(host).into_iter();
        let mut services = services.filter(|name| hash_of(name) == question.service);
        own_evidence(host, &services.next()?).version()
    };
    if let Some(version) = recorded.or_else(only) {
        let answer = StreamAnswer {
            stream: question.stream,
            version: version.0,
            is_recorded: recorded.is_some(),
        };
        let mut answers = host.streams.answers.borrow_mut();
        answers.push((question.sender, answer));
        host.peer_updates.notify_one();
    }
}
