//! Exchange with the other hosts: which engine was given which prompt to read, and how many answers
//! each engine generates for a host.
//!
//! Each host sees only its own part of an engine's work. Datagrams tell the others of the rest
//! within tens of milliseconds. Losing one only makes a forecast worse, so none is repeated.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use yucca_io::log;
use yuccacove::event::Event;

use crate::directory::BackendKey;
use crate::follow::{Follower, StoreHealth};
use crate::hash::hash_of;
use crate::host::Host;
use crate::ports::{Kind, Object, ObjectStore, Objects, StoreFault};
use crate::relay::StoreUpdate;

/// Interval in which prompts are collected before they are told.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval in which the generations in flight are told when no prompt is.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Most prompts in one datagram, which keeps it below the smallest common packet size.
const MAX_READINGS: usize = 40;
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Hosts that are told of each prompt. Beyond it a sample is told, so that the traffic of a host
/// does not grow with the fleet.
const MAX_TOLD: usize = 96;
/// Shared parts from this size on are worth a fetch from another availability zone.
const MIN_PART_TOKENS: u32 = 1_000;
/// Up to this many hosts share their watches of the store as one group. In a larger fleet the hosts
/// of each availability zone do, so that their datagrams stay within it.
const SMALL_FLEET: usize = 16;
/// Beginning of the names of the hosts' objects.
const HOST_PREFIX: &str = "host.";
/// Pause between attempts to register.
const REGISTER_RETRY: Duration = Duration::from_millis(500);

/// A prompt that an engine was given.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PrefillAnnouncement {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Forecast time to read the prompt, in units of 0.1 ms.
    #[serde(rename = "read_tenths_ms")]
    pub prefill_tenths_ms: u32,
    /// Hash of the prompt's shared parts; 0 without any.
    pub shared_hash: u64,
    /// Tokens of the shared parts.
    pub shared_tokens: u32,
}

/// Generations of the sender on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Streams {
    /// Hash of the engine's id.
    engine: u64,
    streams: u32,
    /// Their tokens in memory.
    tokens: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    Load(LoadUpdate),
    Store(StoreUpdate),
}

/// What the sender knows of the engines' work.
#[derive(Debug, Serialize, Deserialize)]
struct LoadUpdate {
    /// Hash of the sender's name.
    sender: u64,
    readings: Vec<PrefillAnnouncement>,
    streams: Vec<Streams>,
    away: Vec<EngineUnavailable>,
}

/// An engine that takes no requests for a time, as it changes its phase.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineUnavailable {
    /// Hash of the engine's id.
    pub engine: u64,
    /// Longest time that it takes.
    pub for_ms: u32,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Peer {
    address: SocketAddr,
    zone: String,
}

/// The other hosts, and what they are to be told.
#[derive(Debug, Default)]
pub struct Peers {
    hosts: RefCell<IndexMap<String, Peer>>,
    outbox: RefCell<Vec<PrefillAnnouncement>>,
    /// Long shared parts that no engine was known to keep. All hosts are told, so that engines of
    /// other availability zones fetch them.
    new_parts: RefCell<Vec<PrefillAnnouncement>>,
    away: RefCell<Vec<EngineUnavailable>>,
}

impl Peers {
    /// Tells the other hosts of a prompt with the next datagram.
    pub fn announce_prefill(&self, reading: PrefillAnnouncement) {
        let mut outbox = self.outbox.borrow_mut();
        if !self.hosts.borrow().is_empty() && outbox.len() < MAX_READINGS {
            outbox.push(reading);
        }
    }

    /// Tells hosts of all availability zones of a shared part that an engine now reads.
    pub fn announce_shared_prefix(&self, reading: PrefillAnnouncement) {
        if reading.shared_tokens >= MIN_PART_TOKENS {
            self.new_parts.borrow_mut().push(reading);
        }
    }

    /// Tells the other hosts that an engine takes no requests.
    pub fn announce_unavailable(&self, away: EngineUnavailable) {
        self.away.borrow_mut().push(away);
    }

    fn has_updates(&self) -> bool {
        !self.outbox.borrow().is_empty() || !self.away.borrow().is_empty()
    }

    /// Number of other hosts.
    pub fn count(&self) -> usize {
        self.hosts.borrow().len()
    }
}

/// Receives and sends datagrams for as long as the process lives.
pub async fn exchange<B>(host: Rc<Host<B>>, socket: UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut last_send = Instant::now();
    loop {
        let interval = if host.peers.has_updates() || host.relay.has_updates() {
            SEND_INTERVAL
        } else {
            COUNT_INTERVAL
        };
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&host, &buffer[..length]),
                // An earlier datagram was refused by its receiver, which has stopped.
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
            // A datagram that cannot be sent is as good as one that is lost.
            let _ = socket.try_send_to(&outgoing.bytes, address);
        }
    }
}

/// A datagram with the hosts that it is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Addresses of the hosts.
    pub to: Vec<SocketAddr>,
    /// Content.
    pub bytes: Vec<u8>,
}

/// What the other hosts are to be told now.
pub fn outgoing_datagrams<B>(host: &Host<B>) -> Vec<Outgoing> {
    let away = std::mem::take(&mut *host.peers.away.borrow_mut());
    let elsewhere = news_for_elsewhere(host, &away);
    let load = load_news(host, away);
    let store = host.relay.take_due().into_iter();
    let store = store.map(|news| (group(host), Datagram::Store(news)));
    let all = elsewhere.into_iter().chain(load).chain(store);
    all.filter_map(|(to, datagram)| {
        let bytes = bincode::serde::encode_to_vec(datagram, bincode::config::standard());
        Some(Outgoing {
            to,
            bytes: bytes.ok()?,
        })
    })
    .collect()
}

/// The hosts that share their watches of the store with this one.
fn group<B>(host: &Host<B>) -> Vec<SocketAddr> {
    let hosts = host.peers.hosts.borrow();
    let is_small = hosts.len() < SMALL_FLEET;
    let zone = &host.deployment.zone;
    let group = hosts.values().filter(|peer| is_small || peer.zone == *zone);
    group.map(|peer| peer.address).collect()
}

/// News for hosts of other availability zones that concern all: engines that take no requests, and new
/// shared parts. The hosts that get the other news learn of it from them.
fn news_for_elsewhere<B>(
    host: &Host<B>,
    away: &[EngineUnavailable],
) -> Option<(Vec<SocketAddr>, Datagram)> {
    let readings = std::mem::take(&mut *host.peers.new_parts.borrow_mut());
    let zone = &host.deployment.zone;
    let is_empty = readings.is_empty() && away.is_empty();
    if is_empty || !host.directory.borrow().is_local(zone) {
        return None;
    }
    let news = Datagram::Load(LoadUpdate {
        sender: hash_of(&host.deployment.name),
        readings,
        streams: Vec::new(),
        away: away.to_vec(),
    });
    let hosts = host.peers.hosts.borrow();
    let elsewhere = hosts.values().filter(|peer| peer.zone != *zone);
    Some((elsewhere.map(|peer| peer.address).collect(), news))
}

fn load_news<B>(
    host: &Host<B>,
    away: Vec<EngineUnavailable>,
) -> Option<(Vec<SocketAddr>, Datagram)> {
    let readings = std::mem::take(&mut *host.peers.outbox.borrow_mut());
    let streams = own_streams(host);
    if readings.is_empty() && streams.is_empty() && away.is_empty() {
        return None;
    }
    let news = Datagram::Load(LoadUpdate {
        sender: hash_of(&host.deployment.name),
        readings,
        streams,
        away,
    });
    Some((told(host), news))
}

/// Generations on all engines that have had one since the host last told of them.
fn own_streams<B>(host: &Host<B>) -> Vec<Streams> {
    let mut directory = host.directory.borrow_mut();
    let told = directory.iter_mut().filter_map(|backend| {
        let streams = backend.load.streams;
        let was_told = std::mem::replace(&mut backend.load.announced_streams, streams);
        (streams > 0 || was_told > 0).then_some(Streams {
            engine: backend.id_hash(),
            streams,
            tokens: backend.load.tokens,
        })
    });
    told.collect()
}

/// The hosts that are told: those of the availability zone where it has engines enough of its own,
/// else all. A new sample is drawn each time when there are too many.
fn told<B>(host: &Host<B>) -> Vec<SocketAddr> {
    let zone = &host.deployment.zone;
    let is_local = host.directory.borrow().is_local(zone);
    let hosts = host.peers.hosts.borrow();
    let in_scope = hosts
        .values()
        .filter(|peer| !is_local || peer.zone == *zone);
    let addresses: Vec<SocketAddr> = in_scope.map(|peer| peer.address).collect();
    let start = host.draw() as usize % addresses.len().max(1);
    let from_start = addresses.iter().copied().cycle().skip(start);
    from_start.take(addresses.len().min(MAX_TOLD)).collect()
}

/// Takes a datagram of another host; one that cannot be read is left out.
pub fn receive<B>(host: &Host<B>, bytes: &[u8]) {
    let decoded: Result<(Datagram, usize), _> =
        bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    match decoded {
        Ok((Datagram::Load(news), _)) => take_load(host, news),
        Ok((Datagram::Store(news), _)) => host.relay.receive(news),
        Err(_) => {}
    }
}

fn take_load<B>(host: &Host<B>, datagram: LoadUpdate) {
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    for told in datagram.streams {
        if let Some(key) = directory.find_by_hash(told.engine) {
            let load = &mut directory.get_mut(key).load;
            load.set_peer_streams(datagram.sender, told.streams, told.tokens, now_ms);
        }
    }
    for away in datagram.away {
        if let Some(key) = directory.find_by_hash(away.engine) {
            directory
                .get_mut(key)
                .set_unavailable(now_ms + u64::from(away.for_ms));
        }
    }
    for reading in datagram.readings {
        let Some(key) = directory.find_by_hash(reading.engine) else {
            continue;
        };
        let read_ms = f64::from(reading.prefill_tenths_ms) / 10.0;
        host.demand.borrow_mut().read(read_ms);
        let load = &mut directory.get_mut(key).load;
        load.add_prefill(read_ms, now_ms);
        if reading.shared_hash != 0 {
            load.record_cached(&[(reading.shared_hash, reading.shared_tokens)], now_ms);
        }
    }
}

/// What the other hosts are told of a prompt that `key` was given.
pub fn prefill_announcement<B>(
    host: &Host<B>,
    key: BackendKey,
    read_ms: f64,
    chain: &[(u64, u32)],
) -> PrefillAnnouncement {
    let shared = chain.len().checked_sub(2).map(|at| chain[at]);
    let (shared_hash, shared_tokens) = shared.unwrap_or_default();
    PrefillAnnouncement {
        engine: hash_of(&*host.target(key).id),
        prefill_tenths_ms: (read_ms * 10.0) as u32,
        shared_hash,
        shared_tokens,
    }
}

/// Registers this host, so that the others find it.
pub async fn register<B, S: ObjectStore>(host: Rc<Host<B>>, store: Rc<S>, address: SocketAddr) {
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
            Err(StoreFault::Missing) => expected = None,
            Err(_) => {}
        }
        sleep(REGISTER_RETRY).await;
    }
}

/// Takes this host off the list.
pub async fn unregister<B, S: ObjectStore>(host: &Host<B>, store: &S) {
    let name = object_name(&host.deployment.name);
    if let Err(fault) = store.remove(Kind::Hosts, &name).await {
        // The entry only makes the others' budgets smaller until its name is used again.
        log::write(Event::StoreLost, &format!("unregister={fault:?}"));
    }
}

fn object_name(host: &str) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Follows the list of hosts for as long as the process lives.
pub async fn follow_hosts<B, S: ObjectStore>(
    host: Rc<Host<B>>,
    store: Rc<S>,
    store_health: Rc<StoreHealth>,
) {
    let take = |objects: &Objects, is_complete: bool| {
        if is_complete {
            host.peers.hosts.borrow_mut().clear();
        }
        for object in &objects.objects {
            take_host(&host, object);
        }
    };
    let follower = Follower {
        store: &*store,
        store_health: &store_health,
        relay: &host.relay,
        kind: Kind::Hosts,
        bound_ms: host.deployment.change_bound_ms(),
    };
    follower.run(take, |_| {}).await;
}

fn take_host<B>(host: &Host<B>, object: &Object) {
    let Some(name) = object.name.strip_prefix(HOST_PREFIX) else {
        return;
    };
    if name == host.deployment.name {
        return;
    }
    let peer = object.value.as_ref().and_then(decode_peer);
    let mut hosts = host.peers.hosts.borrow_mut();
    match peer.filter(|_| !object.is_removed) {
        Some(peer) => {
            let fields = format!("peer={name} address={} zone={}", peer.address, peer.zone);
            if hosts.insert(name.to_owned(), peer.clone()) != Some(peer) {
                log::write(Event::PeerJoined, &fields);
            }
        }
        None => {
            if hosts.swap_remove(name).is_some() {
                log::write(Event::PeerLost, &format!("peer={name}"));
            }
        }
    }
    let count = u32::try_from(hosts.len() + 1).unwrap_or(u32::MAX);
    drop(hosts);
    host.set_hosts(count);
}

fn decode_peer(value: &Value) -> Option<Peer> {
    Some(Peer {
        address: value.get("address")?.as_str()?.parse().ok()?,
        zone: value.get("zone")?.as_str()?.to_owned(),
    })
}
