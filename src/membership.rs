//! The fleet's entry hosts: who is live, whom to exchange with, who owns a name, and whether this
//! host is cut off.
//!
//! Members come from the settings. Three sources tell their state, in falling order of trust:
//! heartbeats, failed connections, and the platform's host list, which lags.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Records in one exchange, the sender's own included.
pub const EXCHANGE_RECORDS: usize = 16;
/// Time without the store and without any peer after which a host refuses new work.
pub const ISOLATED_AFTER_MS: u64 = 3_000;
// In a small fleet each exchange carries all records, and 3 s are 6 rounds. With more members than
// a sample holds, news of one member takes longer in proportion to their number: at 350 members
// and 80 ms each, 3 live members in 10,000 were taken for dead. A host that calls a dead member
// sooner learns it from the refused connection.
const TIMEOUT_BASE_MS: u64 = 3_000;
const TIMEOUT_PER_MEMBER_MS: u64 = 200;
// One round in 8 also considers members that are not live, so that healed partitions are noticed.
const PROBE_ROUNDS: u64 = 8;

/// A member's heartbeat, passed on between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Member's name.
    pub name: String,
    /// Rises with each start of the member.
    pub incarnation: u64,
    /// Rises with each round of exchanges within an incarnation.
    pub counter: u64,
    /// Whether the member is about to stop.
    pub leaving: bool,
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformState {
    /// Runs.
    Live,
    /// Is about to be stopped or replaced.
    Leaving,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformHost {
    /// Host's name.
    pub name: String,
    /// State.
    pub state: PlatformState,
    /// Age of this information.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct Member {
    zone: String,
    hash: u64,
    incarnation: u64,
    counter: u64,
    leaving: bool,
    /// When the incarnation was first heard of.
    started_ms: Option<u64>,
    /// When the heartbeat last rose.
    risen_ms: Option<u64>,
    failed_ms: Option<u64>,
    platform: Option<(PlatformState, u64)>,
}

/// One host's view of all members. Times are on the host's own monotonic clock.
#[derive(Debug, Clone)]
pub struct Members {
    own: usize,
    members: IndexMap<String, Member>,
}

impl Members {
    /// Builds the view of the host called `own` from the names and zones in the settings, in
    /// which `own` must occur; otherwise there is no view.
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

    /// Raises the own heartbeat, once a round.
    pub fn increment_heartbeat(&mut self) {
        self.members[self.own].counter += 1;
    }

    /// Marks the own host as leaving, for a planned stop.
    pub fn leave(&mut self) {
        self.members[self.own].leaving = true;
    }

    /// Records for one exchange: the own one, then a random sample of live and leaving members.
    pub fn sample(&self, seed: u64, now_ms: u64) -> Vec<Record> {
        let mut random = Random(seed);
        let timeout_ms = self.timeout_ms();
        let mut known: Vec<usize> = self
            .members
            .values()
            .enumerate()
            .filter(|(i, member)| *i != self.own && member.is_heard(now_ms, timeout_ms))
            .map(|(i, _)| i)
            .collect();
        for i in 0..known.len().min(EXCHANGE_RECORDS - 1) {
            let j = i + random.below(known.len() - i);
            known.swap(i, j);
        }
        known.truncate(EXCHANGE_RECORDS - 1);
        std::iter::once(self.own)
            .chain(known)
            .filter_map(|i| self.members.get_index(i))
            .map(|(name, member)| Record {
                name: name.clone(),
                incarnation: member.incarnation,
                counter: member.counter,
                leaving: member.leaving,
            })
            .collect()
    }

    /// Takes a record from a peer. Returns whether it is news; names that the settings lack, the
    /// own name, and older heartbeats are ignored.
    pub fn receive(&mut self, record: &Record, now_ms: u64) -> bool {
        let Some((index, _, member)) = self.members.get_full_mut(&record.name) else {
            return false;
        };
        let heard = (member.incarnation, member.counter);
        if index == self.own || (record.incarnation, record.counter) <= heard {
            return false;
        }
        if record.incarnation > member.incarnation {
            member.started_ms = Some(now_ms);
            member.leaving = false;
        }
        member.incarnation = record.incarnation;
        member.counter = record.counter;
        // An incarnation that leaves does not come back.
        member.leaving |= record.leaving;
        member.risen_ms = Some(now_ms);
        member.failed_ms = None;
        true
    }

    /// Notes that the member refused a connection. Lost messages and timeouts are no such evidence.
    pub fn connection_refused(&mut self, name: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.failed_ms = Some(now_ms);
        }
    }

    /// Takes the platform's list. A host that the list lacks has no platform state.
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

    /// Names of the live members, the own host included unless it leaves.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.live_members(now_ms).map(|(_, name, _)| name.as_str())
    }

    /// Up to two peers for the next exchange: one of the own zone if it has one, and one of all
    /// others.
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
        let near: Vec<usize> = candidates
            .iter()
            .filter(|(_, member)| member.zone == *zone)
            .map(|(index, _)| *index)
            .collect();
        let mut chosen = Vec::new();
        if !near.is_empty() {
            chosen.push(near[random.below(near.len())]);
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

    /// The live member that owns `name`, by rendezvous hashing: when a member comes or goes, only
    /// the names that it gains or held change their owner. `None` when no member is live.
    pub fn owner(&self, name: &str, now_ms: u64) -> Option<&str> {
        let name = hash(name);
        self.live_members(now_ms)
            .max_by_key(|(_, _, member)| Random(name ^ member.hash).next())
            .map(|(_, name, _)| name.as_str())
    }

    /// Time after which a member whose heartbeat does not rise is no longer live.
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
            hash: hash(name),
            incarnation: 0,
            counter: 0,
            leaving: false,
            started_ms: None,
            risen_ms: None,
            failed_ms: None,
            platform: None,
        }
    }

    fn is_heard(&self, now_ms: u64, timeout_ms: u64) -> bool {
        self.risen_ms
            .is_some_and(|risen| now_ms.saturating_sub(risen) < timeout_ms)
    }

    fn is_live(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let leaving = match self.platform {
            // The list lags: what it says of a host from before its restart is outdated.
            Some((PlatformState::Leaving, as_of_ms)) => {
                self.started_ms.is_none_or(|started| started <= as_of_ms)
            }
            _ => false,
        };
        let heard = match self.risen_ms {
            Some(_) => self.is_heard(now_ms, timeout_ms),
            None => matches!(self.platform, Some((PlatformState::Live, _))),
        };
        heard && !leaving && !self.leaving && self.failed_ms.is_none()
    }
}

/// What a host can reach, and so whether it takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// The store answers.
    Normal,
    /// The store answers a peer but not this host.
    StoreUnreachable,
    /// The store answers neither this host nor a peer that it reaches.
    StoreOutage,
    /// Neither the store nor a peer answers. The host takes no new work; work in flight continues.
    Isolated,
}

impl Connectivity {
    /// Whether the host takes new work.
    pub fn takes_work(self) -> bool {
        self != Self::Isolated
    }
}

/// Last contacts of a host. Before any contact the host counts as isolated.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Contacts {
    store_ms: Option<u64>,
    peer_ms: Option<u64>,
    peers_store_ms: Option<u64>,
}

impl Contacts {
    /// The store answered, with success or with an error of its own.
    pub fn store_answered(&mut self, now_ms: u64) {
        self.store_ms = self.store_ms.max(Some(now_ms));
    }

    /// A peer answered; it last reached the store `store_seen_ms_ago`, if at all.
    pub fn peer_answered(&mut self, store_seen_ms_ago: Option<u64>, now_ms: u64) {
        self.peer_ms = self.peer_ms.max(Some(now_ms));
        let seen = store_seen_ms_ago.map(|ago| now_ms.saturating_sub(ago));
        self.peers_store_ms = self.peers_store_ms.max(seen);
    }

    /// Time since the store last answered, for the own digest.
    pub fn store_seen_ms_ago(&self, now_ms: u64) -> Option<u64> {
        self.store_ms.map(|at| now_ms.saturating_sub(at))
    }

    /// Tells what the host can reach.
    pub fn connectivity(&self, now_ms: u64) -> Connectivity {
        let recent =
            |at: Option<u64>| at.is_some_and(|at| now_ms.saturating_sub(at) < ISOLATED_AFTER_MS);
        match (recent(self.store_ms), recent(self.peer_ms)) {
            (true, _) => Connectivity::Normal,
            (false, true) if recent(self.peers_store_ms) => Connectivity::StoreUnreachable,
            (false, true) => Connectivity::StoreOutage,
            (false, false) => Connectivity::Isolated,
        }
    }
}

fn hash(text: &str) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// SplitMix64 from a seed that the caller passes in.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    // The bias of the remainder is below 2^-50 for any fleet.
    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
}
