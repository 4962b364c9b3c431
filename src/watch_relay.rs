//! Relays: which hosts of a group watch the store for the others, and whether a host may rely on
//! them.
//!
//! A watch costs the store one call for each change and each host. In a group two hosts, the
//! relays, watch the store and send each change to the others. A host relies on them while at least
//! one relay is fresh, which means that it was in contact with the store recently, and while the
//! host has all changes that the relays claim to have sent. Otherwise it watches the store itself.
//! Hosts need no agreement: if no relay is fresh all hosts start to watch, and those that see two
//! fresh relays of lower rank stop again.
//!
//! ```
//! use yuccacove::watch_relay::{Claim, Relays, Timing};
//!
//! let mut relays = Relays::<1>::new(9, Timing { fresh_ms: 800, stagger_ms: 500 });
//! assert!(relays.is_watching(0));
//! let claim = Claim { from: 40, last_change: 44 };
//! relays.receive_claims(3, 100, [Some(claim)], 1_000);
//! relays.receive_claims(5, 100, [Some(claim)], 1_000);
//! assert!(!relays.is_watching(1_000));
//! assert!(relays.covers(0, 44, 1_000));
//! assert!(!relays.covers(0, 43, 1_000), "the host lacks a change");
//! assert!(!relays.covers(0, 44, 1_700), "no relay was in contact within 800 ms");
//! ```

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of relays in a group. With a single one, each loss of it would make all other hosts watch
/// at the same time.
pub const RELAYS: usize = 2;

/// Range of changes of one kind of objects that a relay has sent, as store revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The relay has sent every change after this revision.
    pub from: u64,
    /// Revision of the latest change that the relay has sent.
    pub last_change: u64,
}

impl Claim {
    /// Returns the lowest revision at which a host has all changes that the relay knows of.
    pub fn needed(&self) -> u64 {
        self.from.max(self.last_change)
    }
}

/// Timing parameters of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time in ms after its last contact with the store for which a relay counts as fresh.
    pub fresh_ms: u64,
    /// Time in ms for which a host waits for other hosts to become relays before it becomes one
    /// itself.
    pub stagger_ms: u64,
}

#[derive(Debug)]
struct RelayState<const N: usize> {
    fresh_until_ms: u64,
    /// Time of its last contact with the store.
    as_of_ms: u64,
    claims: [Option<Claim>; N],
}

/// Relays of a group from the point of view of one host, for `N` kinds of objects.
#[derive(Debug)]
pub struct Relays<const N: usize> {
    rank: u64,
    timing: Timing,
    is_watching: bool,
    /// Time since which the group has had fewer than [`RELAYS`] fresh relays.
    too_few_since_ms: Option<u64>,
    /// Other relays by rank.
    others: IndexMap<u64, RelayState<N>>,
}

impl<const N: usize> Relays<N> {
    /// Creates the state of a host that watches, because it knows of no other relay yet. Ranks must
    /// be unique within a group.
    pub fn new(rank: u64, timing: Timing) -> Self {
        Self {
            rank,
            timing,
            is_watching: true,
            too_few_since_ms: None,
            others: IndexMap::new(),
        }
    }

    /// Records the claims of the relay with the given rank, whose last successful contact with the
    /// store was `age_ms` ago.
    pub fn receive_claims(
        &mut self,
        rank: u64,
        age_ms: u64,
        claims: [Option<Claim>; N],
        now_ms: u64,
    ) {
        self.others.retain(|_, relay| relay.fresh_until_ms > now_ms);
        let fresh_until_ms = (now_ms + self.timing.fresh_ms).saturating_sub(age_ms);
        let relay = RelayState {
            fresh_until_ms,
            as_of_ms: now_ms.saturating_sub(age_ms),
            claims,
        };
        self.others.insert(rank, relay);
    }

    /// Returns whether this host is to watch the store, and updates its state.
    pub fn is_watching(&mut self, now_ms: u64) -> bool {
        let is_fresh = |relay: &RelayState<N>| relay.fresh_until_ms > now_ms;
        let ranks = self.others.iter().filter(|(_, relay)| is_fresh(relay));
        let ranks: Vec<u64> = ranks.map(|(rank, _)| *rank).collect();
        if self.is_watching {
            let lower_ranks = ranks.iter().filter(|rank| **rank < self.rank).count();
            self.is_watching = lower_ranks < RELAYS;
            self.too_few_since_ms = None;
        } else if ranks.len() >= RELAYS {
            self.too_few_since_ms = None;
        } else {
            let since_ms = *self.too_few_since_ms.get_or_insert(now_ms);
            self.is_watching = ranks.is_empty() || now_ms >= since_ms + self.timing.stagger_ms;
        }
        self.is_watching
    }

    /// Makes a host that is to watch but has no watch yet rely on a fresh relay, if there is one.
    /// When the store becomes available again all hosts are to watch, and those whose watches are
    /// established first remain relays.
    pub fn yield_to_fresh(&mut self, now_ms: u64) {
        if self.fresh_relays(now_ms) > 0 {
            self.is_watching = false;
        }
    }

    /// Returns the number of other relays that are fresh.
    pub fn fresh_relays(&self, now_ms: u64) -> usize {
        let others = self.others.values();
        others.filter(|relay| relay.fresh_until_ms > now_ms).count()
    }

    /// Returns the ranks of the other relays that are fresh.
    pub fn fresh_ranks(&self, now_ms: u64) -> Vec<u64> {
        let others = self.others.iter();
        let fresh = others.filter(|(_, relay)| relay.fresh_until_ms > now_ms);
        fresh.map(|(rank, _)| *rank).collect()
    }

    /// Returns the ranks of the fresh relays that have sent changes of kind `kind` after `revision`.
    pub fn ahead(&self, kind: usize, revision: u64, now_ms: u64) -> Vec<u64> {
        let is_ahead = |relay: &RelayState<N>| {
            let needed = relay.claims[kind].map(|claim| claim.needed());
            relay.fresh_until_ms > now_ms && needed.is_some_and(|needed| needed > revision)
        };
        let ahead = self.others.iter().filter(|(_, relay)| is_ahead(relay));
        ahead.map(|(rank, _)| *rank).collect()
    }

    /// Returns whether a host that has all objects of kind `kind` as of `revision` receives further
    /// changes from the relays. If the relays' claims differ, all of them must be met.
    pub fn covers(&self, kind: usize, revision: u64, now_ms: u64) -> bool {
        let claimed = self.claimed(kind, now_ms);
        claimed.is_some_and(|needed| needed <= revision)
    }

    /// Returns the latest time at which a relay was in contact with the store that claims changes of kind `kind`;
    /// `None` if none of the fresh ones claims any.
    pub fn as_of_ms(&self, kind: usize, now_ms: u64) -> Option<u64> {
        let others = self.others.values();
        let fresh = others.filter(|relay| relay.fresh_until_ms > now_ms);
        let claiming = fresh.filter(|relay| relay.claims[kind].is_some());
        claiming.map(|relay| relay.as_of_ms).max()
    }

    /// Returns the highest revision that a host needs to have all changes of kind `kind` that the fresh
    /// relays claim; `None` if none of them claims any.
    pub fn claimed(&self, kind: usize, now_ms: u64) -> Option<u64> {
        let others = self.others.values();
        let fresh = others.filter(|relay| relay.fresh_until_ms > now_ms);
        let needed = fresh.filter_map(|relay| Some(relay.claims[kind]?.needed()));
        needed.max()
    }
}
