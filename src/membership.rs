//! Membership of the entry hosts: which hosts are live, which peers to gossip with, which host owns
//! a name, and whether this host is isolated.
//!
//! The members are listed in the settings. Their state is derived from three sources, in decreasing
//! order of trust: heartbeats, refused connections, and the platform's host list, which lags.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::splitmix::{GAMMA, splitmix64};

/// Maximum number of records in one exchange, including the sender's own.
pub const EXCHANGE_RECORDS: usize = 16;
/// Time without contact to the store and to any peer after which a host refuses new work.
pub const ISOLATED_AFTER_MS: u64 = 3_000;
// A member is considered dead if its heartbeat does not increase within a base time and a time for
// each member. In a small fleet, each exchange carries all records, and 3 s are 6 rounds. With more
// members than records in an exchange, the heartbeat of a member takes time proportional to the
// number of members to spread: with 350 members and 80 ms for each, 3 in 10,000 live members were
// considered dead. A host that connects to a dead member earlier learns it from the refused
// connection.
const TIMEOUT_BASE_MS: u64 = 3_000;
const TIMEOUT_PER_MEMBER_MS: u64 = 200;
// One round in 8 also selects from members that are not live, so that the end of a partition is
// noticed.
const PROBE_ROUNDS: u64 = 8;

/// A member's heartbeat, spread by gossip between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Member's name.
    pub name: String,
    /// Increases with each start of the member.
    pub incarnation: u64,
    /// Heartbeat; increases with each round of exchanges within an incarnation.
    pub counter: u64,
    /// Whether the member is stopping as planned.
    pub leaving: bool,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformState {
    /// The host is running.
    Live,
    /// The host is about to be stopped or replaced.
    Leaving,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformHost {
    /// Host's name.
    pub name: String,
    /// State in the list.
    pub state: PlatformState,
    /// Age of this information in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Member {
    zone: String,
    hash: u64,
    incarnation: u64,
    counter: u64,
    leaving: bool,
    /// Time at which the first record of the incarnation was received.
    started_ms: Option<u64>,
    /// Time at which the heartbeat last increased.
    heartbeat_ms: Option<u64>,
    /// Time at which the member refused a connection, unless its heartbeat increased since.
    refused_ms: Option<u64>,
    /// State in the platform's list, and the time to which it applies.
    platform: Option<(PlatformState, u64)>,
}

/// One host's view of all members. Times are on the host's own monotonic clock.
#[derive(Debug, Clone)]
pub struct Members {
    own: usize,
    members: IndexMap<String, Member>,
}

impl Members {
    /// Creates the view of the host called `own` from the names and zones in the settings. Returns
    /// `None` if the settings do not contain `own`.
    pub fn new<'a>(
        own: &str,
        incarnation: u64,
        settings: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Option<Self> {
        let mut members: IndexMap<String, Member> = settings
            .into_iter()
            .map(|(name, zone)| (name.to_owned(), Member::new(name, zone)))
            .collect();
        let (own, _, member) = members.get_full_mut(own)?;
        member.incarnation = incarnation;
        Some(Self { own, members })
    }

    /// Increments this host's heartbeat, once per round of exchanges.
    pub fn increment_heartbeat(&mut self) {
        self.members[self.own].counter += 1;
    }

    /// Marks this host as leaving, for a planned stop.
    pub fn leave(&mut self) {
        self.members[self.own].leaving = true;
    }

    /// Records for one exchange: this host's own, then a random sample of the members with a recent
    /// heartbeat, including leaving ones.
    pub fn sample(&self, seed: u64, now_ms: u64) -> Vec<Record> {
        let mut random = Random(seed);
        let timeout_ms = self.timeout_ms();
        let mut sampled: Vec<usize> = self
            .members
            .values()
            .enumerate()
            .filter(|(i, member)| *i != self.own && member.has_recent_heartbeat(now_ms, timeout_ms))
            .map(|(i, _)| i)
            .collect();
        for i in 0..sampled.len().min(EXCHANGE_RECORDS - 1) {
            let j = i + random.below(sampled.len() - i);
            sampled.swap(i, j);
        }
        sampled.truncate(EXCHANGE_RECORDS - 1);
        std::iter::once(self.own)
            .chain(sampled)
            .filter_map(|i| self.members.get_index(i))
            .map(|(name, member)| Record {
                name: name.clone(),
                incarnation: member.incarnation,
                counter: member.counter,
                leaving: member.leaving,
            })
            .collect()
    }

    /// Merges a record received from a peer. Returns whether it changed the view. Records of
    /// unknown members, of this host, and with a heartbeat that is not newer are ignored.
    pub fn receive(&mut self, record: &Record, now_ms: u64) -> bool {
        let Some((index, _, member)) = self.members.get_full_mut(&record.name) else {
            return false;
        };
        let current = (member.incarnation, member.counter);
        if index == self.own || (record.incarnation, record.counter) <= current {
            return false;
        }
        if record.incarnation > member.incarnation {
            member.started_ms = Some(now_ms);
            member.leaving = false;
        }
        member.incarnation = record.incarnation;
        member.counter = record.counter;
        // An incarnation that is leaving never becomes live again.
        member.leaving |= record.leaving;
        member.heartbeat_ms = Some(now_ms);
        member.refused_ms = None;
        true
    }

    /// Records that the member refused a connection, so that it is not live until its heartbeat
    /// increases. Lost messages and timeouts must not be reported here, because they are no
    /// evidence that a member is dead.
    pub fn connection_refused(&mut self, name: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.refused_ms = Some(now_ms);
        }
    }

    /// Replaces the platform's host list. Members that are not in the list have no platform state.
    pub fn set_platform_hosts(&mut self, hosts: &[PlatformHost], now_ms: u64) {
        for member in self.members.values_mut() {
            member.platform = None;
        }
        for host in hosts {
            if let Some(member) = self.members.get_mut(&host.name) {
                member.platform = Some((host.state, now_ms.saturating_sub(host.age_ms)));
            }
        }
    }

    /// Names of the members that are live at `now_ms`, including this host unless it is leaving.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.live_members(now_ms).map(|(_, name, _)| name.as_str())
    }

    /// Selects up to two random peers for the next exchange: one from this host's zone, if there is
    /// one, and one from all remaining members.
    pub fn exchange_peers(&self, seed: u64, now_ms: u64) -> Vec<&str> {
        let mut random = Random(seed);
        let probe = random.next().is_multiple_of(PROBE_ROUNDS);
        let mut candidates: Vec<(usize, &Member)> = self
            .live_members(now_ms)
            .map(|(index, _, member)| (index, member))
            .filter(|(index, _)| *index != self.own)
            .collect();
        if probe || candidates.is_empty() {
            let all = self.members.values().enumerate();
            candidates = all.filter(|(index, _)| *index != self.own).collect();
        }
        let zone = &self.members[self.own].zone;
        let same_zone: Vec<usize> = candidates
            .iter()
            .filter(|(_, member)| member.zone == *zone)
            .map(|(index, _)| *index)
            .collect();
        let mut chosen = Vec::new();
        if !same_zone.is_empty() {
            chosen.push(same_zone[random.below(same_zone.len())]);
        }
        while chosen.len() < 2 {
            candidates.retain(|(index, _)| !chosen.contains(index));
            if candidates.is_empty() {
                break;
            }
            chosen.push(candidates[random.below(candidates.len())].0);
        }
        chosen
            .into_iter()
            .filter_map(|i| self.members.get_index(i))
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// The live member that owns `name`, by rendezvous hashing: when a member joins or leaves, only
    /// the names that it gains or loses change their owner. `None` if no member is live.
    pub fn owner(&self, name: &str, now_ms: u64) -> Option<&str> {
        let name = hash_name(name);
        self.live_members(now_ms)
            .max_by_key(|(_, _, member)| Random(name ^ member.hash).next())
            .map(|(_, name, _)| name.as_str())
    }

    /// Time without an increase of its heartbeat after which a member is no longer live.
    pub fn timeout_ms(&self) -> u64 {
        TIMEOUT_BASE_MS + TIMEOUT_PER_MEMBER_MS * self.members.len() as u64
    }

    fn live_members(&self, now_ms: u64) -> impl Iterator<Item = (usize, &String, &Member)> {
        let timeout_ms = self.timeout_ms();
        self.members
            .iter()
            .enumerate()
            .filter(move |(index, (_, member))| {
                if *index == self.own {
                    !member.leaving
                } else {
                    member.is_live(now_ms, timeout_ms)
                }
            })
            .map(|(index, (name, member))| (index, name, member))
    }
}

impl Member {
    fn new(name: &str, zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            hash: hash_name(name),
            incarnation: 0,
            counter: 0,
            leaving: false,
            started_ms: None,
            heartbeat_ms: None,
            refused_ms: None,
            platform: None,
        }
    }

    fn has_recent_heartbeat(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.heartbeat_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < timeout_ms)
    }

    fn is_live(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let is_leaving = match self.platform {
            // The list lags: a state from before the host's restart is outdated.
            Some((PlatformState::Leaving, as_of_ms)) => {
                self.started_ms.is_none_or(|started| started <= as_of_ms)
            }
            _ => false,
        };
        let is_alive = match self.heartbeat_ms {
            Some(_) => self.has_recent_heartbeat(now_ms, timeout_ms),
            None => matches!(self.platform, Some((PlatformState::Live, _))),
        };
        is_alive && !is_leaving && !self.leaving && self.refused_ms.is_none()
    }
}

/// What a host can reach, which determines whether it accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectivityState {
    /// The store is reachable.
    Normal,
    /// A peer reaches the store, but this host does not.
    StoreUnreachable,
    /// Neither this host nor a peer that it reaches can reach the store.
    StoreOutage,
    /// Neither the store nor a peer is reachable. The host accepts no new work; work in flight
    /// continues.
    Isolated,
}

impl ConnectivityState {
    /// Whether the host accepts new work.
    pub fn takes_work(self) -> bool {
        self != Self::Isolated
    }
}

/// Times of a host's last contacts with the store and with peers. Before the first contact the host
/// is considered isolated.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Contacts {
    store_ms: Option<u64>,
    peer_ms: Option<u64>,
    peers_store_ms: Option<u64>,
}

impl Contacts {
    /// Records that the store responded, successfully or with an error.
    pub fn store_answered(&mut self, now_ms: u64) {
        self.store_ms = self.store_ms.max(Some(now_ms));
    }

    /// Records that a peer responded. `store_seen_ms_ago` is the time since the peer last reached
    /// the store; `None` if it never did.
    pub fn peer_answered(&mut self, store_seen_ms_ago: Option<u64>, now_ms: u64) {
        self.peer_ms = self.peer_ms.max(Some(now_ms));
        let seen = store_seen_ms_ago.map(|ago| now_ms.saturating_sub(ago));
        self.peers_store_ms = self.peers_store_ms.max(seen);
    }

    /// Time since the store last responded to this host, for the digest sent to peers; `None` if it
    /// never did.
    pub fn store_seen_ms_ago(&self, now_ms: u64) -> Option<u64> {
        self.store_ms.map(|at| now_ms.saturating_sub(at))
    }

    /// What the host can reach at `now_ms`.
    pub fn connectivity(&self, now_ms: u64) -> ConnectivityState {
        let recent =
            |at: Option<u64>| at.is_some_and(|at| now_ms.saturating_sub(at) < ISOLATED_AFTER_MS);
        match (recent(self.store_ms), recent(self.peer_ms)) {
            (true, _) => ConnectivityState::Normal,
            (false, true) if recent(self.peers_store_ms) => ConnectivityState::StoreUnreachable,
            (false, true) => ConnectivityState::StoreOutage,
            (false, false) => ConnectivityState::Isolated,
        }
    }
}

fn hash_name(text: &str) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}

/// SplitMix64 generator, seeded by the caller.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        let output = splitmix64(self.0);
        self.0 = self.0.wrapping_add(GAMMA);
        output
    }

    /// A number below `bound`. The modulo bias is below 2^-50 for any realistic fleet.
    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
}
