//! Calls and regular exchanges with other entry hosts: membership, catalogue items, suspects,
//! claims and limits.

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
use yuccacove::gossip::{Items, Pull};
use yuccacove::membership::Members;
use yuccacove::store::Token;

use crate::host::Host;
use crate::peer_calls::{PeerCalls, PeerFault};
use crate::quota_owner;
use crate::wire::{
    self, CatalogueCopy, ClaimQuery, Digest, ExchangeRequest, ExchangeResponse, QuotaGrant,
    QuotaRequest,
};

/// Largest number of peers that a suspect is announced to at once; the others receive it with the
/// regular exchanges.
const MAX_ANNOUNCE_PEERS: usize = 16;
/// Longest wait until the peers have received an announced suspect.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(300);
/// Key that no object has; reading it shows whether the object API responds.
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

    /// Names of the live hosts, including this one unless it is stopping.
    pub fn live(&self) -> HashSet<String> {
        let members = self.lock();
        let live = members.iter().flat_map(|m| m.live(boot_ms()));
        live.map(str::to_owned).collect()
    }

    /// Announces to peers from now on that this host is stopping.
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
    /// A [`PeerFault`]. A host that has no catalogue yet returns `CatalogueCopy(None)`, which
    /// is not an error.
    pub async fn fetch_catalogue(&self, host: &str) -> Result<CatalogueCopy, PeerFault> {
        self.call(host, wire::COPIES, &()).await
    }

    /// The live host that owns the limits of `entry`.
    pub fn owner(&self, entry: &str) -> Option<String> {
        let members = self.lock();
        let owner = members.as_ref()?.owner(entry, boot_ms());
        owner.map(str::to_owned)
    }

    /// Asks the owner of an entry's limits for shares of them.
    ///
    /// # Errors
    ///
    /// A [`PeerFault`].
    pub async fn request_quota(
        &self,
        host: &str,
        request: &QuotaRequest,
    ) -> Result<QuotaGrant, PeerFault> {
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
        let response = self.calls.call(address, path, body).await;
        if response == Err(PeerFault::Refused)
            && let Some(members) = self.lock().as_mut()
        {
            members.connection_refused(name, boot_ms());
        }
        wire::decode(&response?).map_err(PeerFault::NoAnswer)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Members>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a call of a peer; `None` for an unknown path or an invalid message.
pub fn handle(host: &Host, path: &str, body: &[u8]) -> Option<Bytes> {
    let response = match path {
        wire::EXCHANGE => {
            let request: ExchangeRequest = wire::decode(body).ok()?;
            merge_digest(host, &request.digest);
            let reply = host.catalogue.handle_push(request.push, seed(host));
            let digest = digest(host);
            wire::encode(&ExchangeResponse { digest, reply })
        }
        wire::PULL => {
            let pull: Pull = wire::decode(body).ok()?;
            wire::encode(&host.catalogue.handle_pull(pull))
        }
        wire::COPIES => {
            let copies = host.is_joined().then(|| host.catalogue.all_items());
            wire::encode(&CatalogueCopy(copies))
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
    response.ok()
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
        host.connectivity.log_state_change();
        live = log_membership_changes(&host, live);
        next += interval;
        sleep_until(next).await;
    }
}

async fn exchange(host: &Host, peer: &str) {
    let request = ExchangeRequest {
        digest: digest(host),
        push: host.catalogue.push(),
    };
    let response: Result<ExchangeResponse, PeerFault> =
        host.peers.call(peer, wire::EXCHANGE, &request).await;
    let Ok(response) = response else {
        return;
    };
    merge_digest(host, &response.digest);
    host.connectivity
        .record_peer_response(response.digest.store_seen_ms_ago);
    if let Some(pull) = host.catalogue.handle_reply(&request.push, response.reply) {
        let items: Result<Items, PeerFault> = host.peers.call(peer, wire::PULL, &pull).await;
        if let Ok(items) = items {
            host.catalogue.handle_items(items);
        }
    }
}

/// Announces the suspects to live peers at once and waits until they have received them, within a
/// time limit. A caller whose request crashed an engine may retry it at once through one of these
/// peers, before the next regular exchange.
pub async fn announce_suspects(host: &Arc<Host>) {
    let live = host.peers.live();
    let others = live.into_iter().filter(|name| *name != host.name);
    let mut exchanges: JoinSet<()> = others
        .take(MAX_ANNOUNCE_PEERS)
        .map(|peer| {
            let host = Arc::clone(host);
            async move { exchange(&host, &peer).await }
        })
        .collect();
    let all = async { while exchanges.join_next().await.is_some() {} };
    if timeout(ANNOUNCE_LIMIT, all).await.is_err() {
        log::write(Event::PeerLost, "suspects_not_told=true");
    }
    // Exchanges in progress continue.
    exchanges.detach_all();
}

fn digest(host: &Host) -> Digest {
    let members = host.peers.lock();
    Digest {
        sender: host.name.clone(),
        running_suspects: host.suspect_tracker.running_suspects(),
        records: members
            .as_ref()
            .map(|m| m.sample(seed(host), boot_ms()))
            .unwrap_or_default(),
        store_seen_ms_ago: host.connectivity.store_seen_ms_ago(),
        suspects: host
            .suspect_tracker
            .reports()
            .iter()
            .take(wire::MAX_SUSPECTS)
            .map(wire::encode_suspect)
            .collect(),
    }
}

fn merge_digest(host: &Host, digest: &Digest) {
    if let Some(members) = host.peers.lock().as_mut() {
        for record in &digest.records {
            members.receive(record, boot_ms());
        }
    }
    let running = digest.running_suspects.clone();
    host.suspect_tracker
        .receive_running_suspects(&digest.sender, running);
    for suspect in &digest.suspects {
        host.suspect_tracker
            .merge_remote(&wire::decode_suspect(*suspect));
    }
}

/// Probes the object API if neither a watch nor a peer has shown for an interval that it responds.
/// An open watch alone shows nothing for up to its whole timeout.
fn probe_store(host: &Arc<Host>) {
    let is_fresh = |ago: Option<u64>| ago.is_some_and(|ms| ms < host.timing.exchange_ms);
    let seen = host.connectivity.store_seen_ms_ago();
    if is_fresh(seen)
        || host
            .connectivity
            .peer_is_recent(2 * host.timing.exchange_ms)
    {
        return;
    }
    if host.connectivity.begin_probe() {
        let host = Arc::clone(host);
        tokio::task::spawn_blocking(move || {
            let result = host.store.get(PROBE_KEY);
            host.connectivity
                .record_store_result(result.as_ref().map(|_| ()));
            host.connectivity.end_probe();
        });
    }
}

/// Logs hosts that joined and left; returns the live ones.
fn log_membership_changes(host: &Host, before: HashSet<String>) -> HashSet<String> {
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
