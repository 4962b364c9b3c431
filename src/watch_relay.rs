//! Which hosts of a group watch the store for the others, and whether a host may rely on them.
//!
//! A watch costs the store a call for each change and each host. In a group two hosts watch and
//! tell the rest of each change. A host relies on them while at least one is fresh, that is in
//! contact with the store a moment ago, and while it knows all that they claim to know. Else it
//! watches itself, so that no agreement is needed: with nobody fresh all watch, and of those that
//! do, the ones of the highest ranks leave it to the rest.
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
//! assert!(!relays.covers(0, 44, 1_700), "nobody was in contact within 800 ms");
//! ```

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Hosts of a group that watch. With one, each loss of it would make all others watch at once.
pub const RELAYS: usize = 2;

/// What a watching host knows of one kind of objects, as revisions of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// It has told of every change after this one.
    pub from: u64,
    /// The latest change that it has told of.
    pub last_change: u64,
}

impl Claim {
    /// Least revision of a host that lacks none of the sender's knowledge.
    fn needed(&self) -> u64 {
        self.from.max(self.last_change)
    }
}

/// Times of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time since its contact with the store for which a watching host is relied on.
    pub fresh_ms: u64,
    /// Time for which a host waits for others before it fills up a group that lacks a watching one.
    pub stagger_ms: u64,
}

#[derive(Debug)]
struct Heard<const N: usize> {
    fresh_until_ms: u64,
    claims: [Option<Claim>; N],
}

/// The watching hosts of a group as one host sees them, for `N` kinds of objects.
#[derive(Debug)]
pub struct Relays<const N: usize> {
    rank: u64,
    timing: Timing,
    is_watching: bool,
    /// Since when the group has fewer than [`RELAYS`] that are fresh.
    short_since_ms: Option<u64>,
    /// By rank.
    heard: IndexMap<u64, Heard<N>>,
}

impl<const N: usize> Relays<N> {
    /// A host that watches, as it has heard of no other. Ranks differ within a group.
    pub fn new(rank: u64, timing: Timing) -> Self {
        Self {
            rank,
            timing,
            is_watching: true,
            short_since_ms: None,
            heard: IndexMap::new(),
        }
    }

    /// Takes the claims of a watching host that asked the store `age_ms` ago and got an answer.
    pub fn receive_claims(
        &mut self,
        rank: u64,
        age_ms: u64,
        claims: [Option<Claim>; N],
        now_ms: u64,
    ) {
        self.heard.retain(|_, heard| heard.fresh_until_ms > now_ms);
        let fresh_until_ms = (now_ms + self.timing.fresh_ms).saturating_sub(age_ms);
        let heard = Heard {
            fresh_until_ms,
            claims,
        };
        self.heard.insert(rank, heard);
    }

    /// Whether this host is to watch for the group. It may change with each call.
    pub fn is_watching(&mut self, now_ms: u64) -> bool {
        let fresh = |heard: &Heard<N>| heard.fresh_until_ms > now_ms;
        let ranks = self.heard.iter().filter(|(_, heard)| fresh(heard));
        let ranks: Vec<u64> = ranks.map(|(rank, _)| *rank).collect();
        if self.is_watching {
            let before = ranks.iter().filter(|rank| **rank < self.rank).count();
            self.is_watching = before < RELAYS;
            self.short_since_ms = None;
        } else if ranks.len() >= RELAYS {
            self.short_since_ms = None;
        } else {
            let since_ms = *self.short_since_ms.get_or_insert(now_ms);
            self.is_watching = ranks.is_empty() || now_ms >= since_ms + self.timing.stagger_ms;
        }
        self.is_watching
    }

    /// Other hosts that watch and were in contact with the store a moment ago.
    pub fn fresh_relays(&self, now_ms: u64) -> usize {
        let heard = self.heard.values();
        heard.filter(|heard| heard.fresh_until_ms > now_ms).count()
    }

    /// Whether a host that knows the objects of kind `kind` as of `revision` learns of further
    /// changes from others. Of claims that differ the strictest counts.
    pub fn covers(&self, kind: usize, revision: u64, now_ms: u64) -> bool {
        let fresh = self.heard.values().filter(|h| h.fresh_until_ms > now_ms);
        let needed = fresh.filter_map(|heard| Some(heard.claims[kind]?.needed()));
        needed.max().is_some_and(|needed| needed <= revision)
    }
}
