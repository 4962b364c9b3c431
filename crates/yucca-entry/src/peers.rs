//! Exchanges with other entry hosts: membership, catalogue items, suspects and claims.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};
use yucca_io::clock::boot_ms;
use yucca_io::log;
use yucca_io::settings::Settings;
use yuccacove::claim::ClaimReply;
use yuccacove::event::Event;
use yuccacove::membership::Members;
use yuccacove::rumour::{Items, Pull};
use yuccacove::store::Token;

use crate::host::Host;
use crate::peer_calls::{PeerCalls, PeerFault};
use crate::quota_owner;
use crate::wire::{self, Answering, ClaimQuery, Copies, Digest, Opening, QuotaGrant, QuotaRequest};

/// Peers that are told of a suspect at once; the others learn of it with the regular exchanges.
const MAX_TOLD_AT_ONCE: usize = 16;
/// Time limit of telling them.
const TELL_LIMIT: Duration = Duration::from_millis(300);
/// Key that no object has; reading it shows whether the object API answers.
const PROBE_KEY: &str = "owner/.probe";

/// The other entry hosts.
pub struct Peers {
    members: Mutex<Option<Members>>,
    addresses: IndexMap<String, SocketAddr>,
    calls: PeerCalls,
}

impl Peers {
    /// The hosts of `settings` as seen by the host called `own`.
    pub fn new(settings: &Settings, own: &str, incarnation: u64) -> Self {
        let hosts = || settings.hosts.iter();
        let zones = hosts().map(|(name, host)| (name.as_str(), host.zone.as_str()));
        Self {
            members: Mutex::new(Members::new(own, incarnation, zones)),
            addresses: hosts()
                .filter(|(name, _)| *name != own)
                .map(|(name, host)| (name.clone(), host.peers))
                .collect(),
            calls: PeerCalls::default(),
        }
    }

    /// Names of all other hosts in the settings.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.addresses.keys().map(String::as_str)
    }

    /// Names of the live hosts, this one included unless it stops.
    pub fn live(&self) -> HashSet<String> {
        let members = self.lock();
        let live = members.iter().flat_map(|m| m.live(boot_ms()));
        live.map(str::to_owned).collect()
    }

    /// Tells peers from now on that this host stops.
    pub fn leave(&self) {
        if let Some(members) = self.lock().as_mut() {
            members.leave();
        }
    }

    /// Asks the host that made the claim with `token` about it.
    pub async fn claim_reply(&self, host: &str, token: Token) -> ClaimReply {
        let query = ClaimQuery { token };
        let reply = self.call(host, wire::CLAIM_RESULT, &query).await;
        reply.unwrap_or(ClaimReply::Unknown)
    }

    /// Asks a host for its copy of the catalogue.
    ///
    /// # Errors
    ///
    /// A [`PeerFault`]; a host that has no catalogue yet answers with none.
    pub async fn copies(&self, host: &str) -> Result<Copies, PeerFault> {
        self.call(host, wire::COPIES, &()).await
    }

    /// The live host that owns the limits of `entry`.
    pub fn owner(&self, entry: &str) -> Option<String> {
        let members = self.lock();
        let owner = members.as_ref()?.owner(entry, boot_ms());
        owner.map(str::to_owned)
    }

    /// Asks the owner of an entry's limits for parts of them.
    ///
    /// # Errors
    ///
    /// A [`PeerFault`].
    pub async fn quota(&self, host: &str, request: &QuotaRequest) -> Result<QuotaGrant, PeerFault> {
        self.call(host, wire::QUOTA, request).await
    }

    async fn call<Q, A>(&self, name: &str, path: &str, message: &Q) -> Result<A, PeerFault>
    where
        Q: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let unknown = || PeerFault::NoAnswer(format!("no host {name}"));
        let address = *self.addresses.get(name).ok_or_else(unknown)?;
        let body = wire::encode(message).map_err(PeerFault::NoAnswer)?;
        let answer = self.calls.call(address, path, body).await;
        if answer == Err(PeerFault::Refused)
            && let Some(members) = self.lock().as_mut()
        {
            members.connection_refused(name, boot_ms());
        }
        wire::decode(&answer?).map_err(PeerFault::NoAnswer)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Members>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a call of a peer.
pub fn answer(host: &Host, path: &str, body: &[u8]) -> Option<Bytes> {
    let answer = match path {
        wire::EXCHANGE => {
            let opening: Opening = wire::decode(body).ok()?;
            hear(host, &opening.digest);
            let reply = host.catalogue.answer(opening.push, seed(host));
            let digest = digest(host);
            wire::encode(&Answering { digest, reply })
        }
        wire::PULL => {
            let pull: Pull = wire::decode(body).ok()?;
            wire::encode(&host.catalogue.answer_pull(pull))
        }
        wire::COPIES => {
            let copies = host.is_joined().then(|| host.catalogue.copies());
            wire::encode(&Copies(copies))
        }
        wire::CLAIM_RESULT => {
            let query: ClaimQuery = wire::decode(body).ok()?;
            wire::encode(&host.attempts.claim_reply(query.token))
        }
        wire::QUOTA => {
            let request: QuotaRequest = wire::decode(body).ok()?;
            wire::encode(&quota_owner::grant(host, &request))
        }
        _ => return None,
    };
    answer.ok()
}

/// Exchanges with two peers at each interval until the task is aborted.
pub async fn run(host: Arc<Host>) {
    let interval = Duration::from_millis(host.timing.exchange_ms);
    let mut next = Instant::now();
    let mut live = HashSet::from([host.name.clone()]);
    loop {
        let chosen: Vec<String> = match host.peers.lock().as_mut() {
            None => Vec::new(),
            Some(members) => {
                members.increment_heartbeat();
                let peers = members.exchange_peers(seed(&host), boot_ms());
                peers.into_iter().map(str::to_owned).collect()
            }
        };
        for peer in chosen {
            let host = Arc::clone(&host);
            tokio::spawn(async move { exchange(&host, &peer).await });
        }
        probe_store(&host);
        host.contact.report_standing();
        live = report_live(&host, live);
        next += interval;
        sleep_until(next).await;
    }
}

async fn exchange(host: &Host, peer: &str) {
    let opening = Opening {
        digest: digest(host),
        push: host.catalogue.push(),
    };
    let answer: Result<Answering, PeerFault> =
        host.peers.call(peer, wire::EXCHANGE, &opening).await;
    let Ok(answer) = answer else {
        return;
    };
    hear(host, &answer.digest);
    host.contact.peer_answered(answer.digest.store_seen_ms_ago);
    if let Some(pull) = host.catalogue.take_reply(&opening.push, answer.reply) {
        let items: Result<Items, PeerFault> = host.peers.call(peer, wire::PULL, &pull).await;
        if let Ok(items) = items {
            host.catalogue.take_items(items);
        }
    }
}

/// Tells live peers of the suspects at once and waits until they know, within a time limit. A caller
/// whose request lost an engine sends it again at once, maybe through one of them, before the next
/// regular exchange.
pub async fn tell_suspects(host: &Arc<Host>) {
    let live = host.peers.live();
    let others = live.into_iter().filter(|name| *name != host.name);
    let mut told: JoinSet<()> = others
        .take(MAX_TOLD_AT_ONCE)
        .map(|peer| {
            let host = Arc::clone(host);
            async move { exchange(&host, &peer).await }
        })
        .collect();
    let all = async { while told.join_next().await.is_some() {} };
    if timeout(TELL_LIMIT, all).await.is_err() {
        log::write(Event::PeerLost, "suspects_not_told=true");
    }
    // Exchanges that are under way go on.
    told.detach_all();
}

fn digest(host: &Host) -> Digest {
    let members = host.peers.lock();
    Digest {
        sender: host.name.clone(),
        running_suspects: host.suspicions.running_suspects(),
        records: members
            .as_ref()
            .map(|m| m.sample(seed(host), boot_ms()))
            .unwrap_or_default(),
        store_seen_ms_ago: host.contact.store_seen_ms_ago(),
        suspects: host
            .suspicions
            .rumours()
            .iter()
            .take(wire::MAX_SUSPECTS)
            .map(wire::from_rumour)
            .collect(),
    }
}

fn hear(host: &Host, digest: &Digest) {
    if let Some(members) = host.peers.lock().as_mut() {
        for record in &digest.records {
            members.receive(record, boot_ms());
        }
    }
    let running = digest.running_suspects.clone();
    host.suspicions.hear_running(&digest.sender, running);
    for suspect in &digest.suspects {
        host.suspicions.hear(&wire::to_rumour(*suspect));
    }
}

/// While neither a watch nor a peer has shown for an interval that the object API answers, it is
/// asked: an open watch alone is no sign of life for up to its whole timeout.
fn probe_store(host: &Arc<Host>) {
    let is_fresh = |ago: Option<u64>| ago.is_some_and(|ms| ms < host.timing.exchange_ms);
    let seen = host.contact.store_seen_ms_ago();
    if is_fresh(seen) || host.contact.peer_is_recent(2 * host.timing.exchange_ms) {
        return;
    }
    if host.contact.begin_probe() {
        let host = Arc::clone(host);
        tokio::task::spawn_blocking(move || {
            let result = host.store.get(PROBE_KEY);
            host.contact.store_result(result.as_ref().map(|_| ()));
            host.contact.end_probe();
        });
    }
}

/// Reports hosts that came and went; returns the live ones.
fn report_live(host: &Host, before: HashSet<String>) -> HashSet<String> {
    let live = host.peers.live();
    for name in live.difference(&before) {
        log::write(Event::PeerJoined, &format!("peer={name}"));
    }
    for name in before.difference(&live).filter(|name| **name != host.name) {
        log::write(Event::PeerLost, &format!("peer={name}"));
    }
    if live != before {
        host.set_hosts(live.len());
    }
    live
}

fn seed(host: &Host) -> u64 {
    host.next_seed()
}
