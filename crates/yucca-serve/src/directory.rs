//! Back ends as the store lists them.
//!
//! An entry that is removed or draining gets no new work. Entries can also lapse while the store is
//! away; those that are missing when it returns stay in use for as long as living back ends need to
//! register again.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use yuccacove::passive_health::PassiveHealth;
use yuccacove::prompt_placement::Phase;

use crate::hash::hash_of;
use crate::loads::Load;
use crate::ports::Target;

/// Time after the store's return within which a living back end is listed again.
pub const RELIST_MS: u64 = 1_800;
/// Shortest absence of the store in which entries may have lapsed.
const LAPSE_MS: u64 = 1_000;
/// Time for which a back end that refused a request gets no others while there are any.
const REFUSED_MS: u64 = 150;
/// Back ends of an availability zone that serve its callers about as well as all together.
const LOCAL_BACK_ENDS: usize = 14;
/// Time for which a back end that was removed may still be used when no other is there. It is below
/// the time for which leaving back ends go on serving.
const LAST_RESORT_MS: u64 = 1_200;

/// Index of a back end in the [`Directory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackEndKey(usize);

/// What a back end registers of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndEntry {
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Phase of a model engine.
    pub phase: Phase,
    /// When the incarnation started, by its own wall clock in milliseconds.
    pub started_ms: u64,
}

/// Whether a back end gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Serving,
    /// Listed as draining, or removed, at this time.
    Leaving {
        since_ms: u64,
    },
    /// Missing since the store returned; it leaves unless it is listed again until then.
    Lapsed {
        until_ms: u64,
    },
}

/// A back end.
#[derive(Debug)]
pub struct BackEnd {
    /// What calls are sent to.
    pub target: Target,
    /// What it registered.
    pub entry: BackEndEntry,
    /// Work in flight.
    pub load: Load,
    /// What its answers say of it.
    pub fitness: PassiveHealth,
    id_hash: u64,
    away_until_ms: u64,
    revision: u64,
    standing: Standing,
}

impl BackEnd {
    /// Hash of its id, the same on all hosts.
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Records that the engine takes no requests until it is listed with another phase, or
    /// `until_ms` at the latest.
    pub fn set_away(&mut self, until_ms: u64) {
        self.away_until_ms = until_ms;
    }

    /// Records that the engine refused a request as full or changing; others follow after a moment.
    pub fn refused(&mut self, now_ms: u64) {
        self.away_until_ms = self.away_until_ms.max(now_ms + REFUSED_MS);
    }

    /// Whether the engine takes no requests at present.
    pub fn is_away(&self, now_ms: u64) -> bool {
        now_ms < self.away_until_ms
    }

    fn is_serving(&self, now_ms: u64) -> bool {
        match self.standing {
            Standing::Serving => true,
            Standing::Lapsed { until_ms } => now_ms < until_ms,
            Standing::Leaving { .. } => false,
        }
    }

    fn is_last_resort(&self, now_ms: u64) -> bool {
        match self.standing {
            Standing::Leaving { since_ms } => now_ms < since_ms + LAST_RESORT_MS,
            Standing::Serving | Standing::Lapsed { .. } => false,
        }
    }

    fn leave(&mut self, now_ms: u64) {
        if self.standing == Standing::Serving {
            self.standing = Standing::Leaving { since_ms: now_ms };
        }
    }
}

/// A change of the directory that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing of note.
    None,
    /// A back end is new, or started anew under its id.
    Joined(BackEndKey),
    /// A back end is leaving or gone.
    Left(BackEndKey),
    /// An engine changed its phase.
    Phase(BackEndKey),
}

/// All back ends that were ever listed to this process. Records are kept, since requests in flight
/// refer to them.
#[derive(Debug, Default)]
pub struct Directory {
    back_ends: Vec<BackEnd>,
    by_id: IndexMap<String, BackEndKey>,
    store_lost_ms: Option<u64>,
    relist_until_ms: u64,
    is_listed: bool,
}

impl Directory {
    /// The back end of a key.
    pub fn get(&self, key: BackEndKey) -> &BackEnd {
        &self.back_ends[key.0]
    }

    /// The back end of a key, to be changed.
    pub fn get_mut(&mut self, key: BackEndKey) -> &mut BackEnd {
        &mut self.back_ends[key.0]
    }

    /// Whether hosts of an availability zone share their knowledge of engines within it only, as it
    /// has enough of them. In a small fleet all hosts share it.
    pub fn is_local(&self, zone: &str) -> bool {
        let in_zone = self.by_id.values().filter(|key| {
            let back_end = self.get(**key);
            back_end.entry.zone == zone && back_end.standing == Standing::Serving
        });
        in_zone.count() >= LOCAL_BACK_ENDS
    }

    /// Number of back ends that were ever listed.
    pub fn len(&self) -> usize {
        self.back_ends.len()
    }

    /// Whether none was ever listed.
    pub fn is_empty(&self) -> bool {
        self.back_ends.is_empty()
    }

    /// All back ends, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackEnd> {
        self.back_ends.iter_mut()
    }

    /// The key of a back end that is known by `id`.
    pub fn find(&self, id: &str) -> Option<BackEndKey> {
        self.by_id.get(id).copied()
    }

    /// The key of the back end whose id has the given hash.
    pub fn find_hash(&self, hash: u64) -> Option<BackEndKey> {
        let mut keys = self.by_id.values().copied();
        keys.find(|key| self.get(*key).id_hash == hash)
    }

    /// Whether a complete list was received.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Back ends of `service` that may get new work: those that serve, or, without any, those that
    /// left a moment ago.
    pub fn usable(&self, service: &str, now_ms: u64) -> Vec<BackEndKey> {
        let serving = self.select(service, |back_end| back_end.is_serving(now_ms));
        if serving.is_empty() {
            return self.select(service, |back_end| back_end.is_last_resort(now_ms));
        }
        serving
    }

    fn select(&self, service: &str, is_wanted: impl Fn(&BackEnd) -> bool) -> Vec<BackEndKey> {
        let all = self.by_id.values().copied();
        all.filter(|key| self.get(*key).entry.service == service)
            .filter(|key| is_wanted(self.get(*key)))
            .collect()
    }

    /// Records that a call to the store failed.
    pub fn store_lost(&mut self, now_ms: u64) {
        self.store_lost_ms.get_or_insert(now_ms);
    }

    /// Records that the store answered. Returns whether it had been away.
    pub fn store_answered(&mut self, now_ms: u64) -> bool {
        let Some(lost_ms) = self.store_lost_ms.take() else {
            return false;
        };
        if now_ms >= lost_ms + LAPSE_MS {
            self.relist_until_ms = now_ms + RELIST_MS;
        }
        true
    }

    /// Takes an entry of the store, unless a newer one of that back end is known.
    pub fn listed(&mut self, id: &str, revision: u64, entry: BackEndEntry, now_ms: u64) -> Change {
        let Some(key) = self.find(id) else {
            return self.join(id, revision, entry);
        };
        let back_end = self.get_mut(key);
        if back_end.revision > revision {
            return Change::None;
        }
        let was_serving = back_end.is_serving(now_ms);
        let is_restart = entry.started_ms != back_end.entry.started_ms;
        let is_phase_change = entry.phase != back_end.entry.phase;
        back_end.revision = revision;
        back_end.target.address = entry.address;
        let is_draining = entry.is_draining;
        back_end.entry = entry;
        if is_phase_change || is_restart {
            back_end.away_until_ms = 0;
        }
        if is_restart {
            back_end.fitness = PassiveHealth::default();
            back_end.load.restarted();
        }
        if is_draining {
            back_end.leave(now_ms);
            return if was_serving {
                Change::Left(key)
            } else {
                Change::None
            };
        }
        back_end.standing = Standing::Serving;
        match (was_serving && !is_restart, is_phase_change) {
            (false, _) => Change::Joined(key),
            (true, true) => Change::Phase(key),
            (true, false) => Change::None,
        }
    }

    /// Takes the removal of an entry.
    pub fn removed(&mut self, id: &str, revision: u64, now_ms: u64) -> Change {
        let Some(key) = self.find(id) else {
            return Change::None;
        };
        let relist_until_ms = self.relist_until_ms;
        let back_end = self.get_mut(key);
        if back_end.revision > revision || back_end.standing != Standing::Serving {
            return Change::None;
        }
        back_end.revision = revision;
        if now_ms < relist_until_ms {
            back_end.standing = Standing::Lapsed {
                until_ms: relist_until_ms,
            };
            return Change::None;
        }
        back_end.leave(now_ms);
        Change::Left(key)
    }

    /// Takes a complete list as of `revision`: those that it lacks are removed.
    pub fn completed(&mut self, ids: &[&str], revision: u64, now_ms: u64) -> Vec<Change> {
        self.is_listed = true;
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(&id.as_str()))
            .cloned()
            .collect();
        missing
            .iter()
            .map(|id| self.removed(id, revision, now_ms))
            .collect()
    }

    fn join(&mut self, id: &str, revision: u64, entry: BackEndEntry) -> Change {
        let is_draining = entry.is_draining;
        let back_end = BackEnd {
            target: Target {
                id: Rc::from(id),
                address: entry.address,
            },
            entry,
            load: Load::default(),
            fitness: PassiveHealth::default(),
            id_hash: hash_of(id),
            away_until_ms: 0,
            revision,
            standing: if is_draining {
                Standing::Leaving { since_ms: 0 }
            } else {
                Standing::Serving
            },
        };
        let key = BackEndKey(self.back_ends.len());
        self.back_ends.push(back_end);
        self.by_id.insert(id.to_owned(), key);
        Change::Joined(key)
    }
}
