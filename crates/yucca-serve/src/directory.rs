//! Back ends as the store lists them.
//!
//! An entry that is removed or draining gets no new work. Entries can also lapse while the store is
//! away; those that are missing when it returns stay in use for as long as living back ends need to
//! register again.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use yuccacove::fitness::Fitness;
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
const LOCAL_BACKENDS: usize = 14;
/// Time for which a back end that was removed may still be used when no other is there. It is below
/// the time for which leaving back ends go on serving.
const LAST_RESORT_MS: u64 = 1_200;

/// Index of a back end in the [`Directory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(usize);

/// What a back end registers of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
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
pub struct Backend {
    /// What calls are sent to.
    pub target: Target,
    /// What it registered.
    pub entry: BackendEntry,
    /// Work in flight.
    pub load: Load,
    /// What its answers say of it.
    pub fitness: Fitness,
    id_hash: u64,
    unavailable_until_ms: u64,
    revision: u64,
    standing: Standing,
}

impl Backend {
    /// Hash of its id, the same on all hosts.
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Records that the engine takes no requests until it is listed with another phase, or
    /// `until_ms` at the latest.
    pub fn set_unavailable(&mut self, until_ms: u64) {
        self.unavailable_until_ms = until_ms;
    }

    /// Records that the engine refused a request as full or changing; others follow after a moment.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.unavailable_until_ms = self.unavailable_until_ms.max(now_ms + REFUSED_MS);
    }

    /// Whether the engine takes no requests at present.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        now_ms < self.unavailable_until_ms
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
    Joined(BackendKey),
    /// A back end is leaving or gone.
    Left(BackendKey),
    /// An engine changed its phase.
    Phase(BackendKey),
}

/// All back ends that were ever listed to this process. Records are kept, since requests in flight
/// refer to them.
#[derive(Debug, Default)]
pub struct Directory {
    backends: Vec<Backend>,
    by_id: IndexMap<String, BackendKey>,
    store_lost_ms: Option<u64>,
    relist_until_ms: u64,
    has_full_listing: bool,
}

impl Directory {
    /// The back end of a key.
    pub fn get(&self, key: BackendKey) -> &Backend {
        &self.backends[key.0]
    }

    /// The back end of a key, to be changed.
    pub fn get_mut(&mut self, key: BackendKey) -> &mut Backend {
        &mut self.backends[key.0]
    }

    /// Whether hosts of an availability zone share their knowledge of engines within it only, as it
    /// has enough of them. In a small fleet all hosts share it.
    pub fn is_local(&self, zone: &str) -> bool {
        let in_zone = self.by_id.values().filter(|key| {
            let backend = self.get(**key);
            backend.entry.zone == zone && backend.standing == Standing::Serving
        });
        in_zone.count() >= LOCAL_BACKENDS
    }

    /// Number of back ends that were ever listed.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether none was ever listed.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// All back ends, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.backends.iter_mut()
    }

    /// The key of a back end that is known by `id`.
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        self.by_id.get(id).copied()
    }

    /// The key of the back end whose id has the given hash.
    pub fn find_by_hash(&self, hash: u64) -> Option<BackendKey> {
        let mut keys = self.by_id.values().copied();
        keys.find(|key| self.get(*key).id_hash == hash)
    }

    /// Whether a complete list was received.
    pub fn has_full_listing(&self) -> bool {
        self.has_full_listing
    }

    /// Back ends of `service` that may get new work: those that serve, or, without any, those that
    /// left a moment ago.
    pub fn usable(&self, service: &str, now_ms: u64) -> Vec<BackendKey> {
        let serving = self.select(service, |backend| backend.is_serving(now_ms));
        if serving.is_empty() {
            return self.select(service, |backend| backend.is_last_resort(now_ms));
        }
        serving
    }

    fn select(&self, service: &str, is_wanted: impl Fn(&Backend) -> bool) -> Vec<BackendKey> {
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
    pub fn apply_entry(
        &mut self,
        id: &str,
        revision: u64,
        entry: BackendEntry,
        now_ms: u64,
    ) -> Change {
        let Some(key) = self.find(id) else {
            return self.join(id, revision, entry);
        };
        let backend = self.get_mut(key);
        if backend.revision > revision {
            return Change::None;
        }
        let was_serving = backend.is_serving(now_ms);
        let is_restart = entry.started_ms != backend.entry.started_ms;
        let is_phase_change = entry.phase != backend.entry.phase;
        backend.revision = revision;
        backend.target.address = entry.address;
        let is_draining = entry.is_draining;
        backend.entry = entry;
        if is_phase_change || is_restart {
            backend.unavailable_until_ms = 0;
        }
        if is_restart {
            backend.fitness = Fitness::default();
            backend.load.reset();
        }
        if is_draining {
            backend.leave(now_ms);
            return if was_serving {
                Change::Left(key)
            } else {
                Change::None
            };
        }
        backend.standing = Standing::Serving;
        match (was_serving && !is_restart, is_phase_change) {
            (false, _) => Change::Joined(key),
            (true, true) => Change::Phase(key),
            (true, false) => Change::None,
        }
    }

    /// Takes the removal of an entry.
    pub fn apply_removal(&mut self, id: &str, revision: u64, now_ms: u64) -> Change {
        let Some(key) = self.find(id) else {
            return Change::None;
        };
        let relist_until_ms = self.relist_until_ms;
        let backend = self.get_mut(key);
        if backend.revision > revision || backend.standing != Standing::Serving {
            return Change::None;
        }
        backend.revision = revision;
        if now_ms < relist_until_ms {
            backend.standing = Standing::Lapsed {
                until_ms: relist_until_ms,
            };
            return Change::None;
        }
        backend.leave(now_ms);
        Change::Left(key)
    }

    /// Takes a complete list as of `revision`: those that it lacks are removed.
    pub fn apply_full_listing(&mut self, ids: &[&str], revision: u64, now_ms: u64) -> Vec<Change> {
        self.has_full_listing = true;
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(&id.as_str()))
            .cloned()
            .collect();
        missing
            .iter()
            .map(|id| self.apply_removal(id, revision, now_ms))
            .collect()
    }

    fn join(&mut self, id: &str, revision: u64, entry: BackendEntry) -> Change {
        let is_draining = entry.is_draining;
        let backend = Backend {
            target: Target {
                id: Rc::from(id),
                address: entry.address,
            },
            entry,
            load: Load::default(),
            fitness: Fitness::default(),
            id_hash: hash_of(id),
            unavailable_until_ms: 0,
            revision,
            standing: if is_draining {
                Standing::Leaving { since_ms: 0 }
            } else {
                Standing::Serving
            },
        };
        let key = BackendKey(self.backends.len());
        self.backends.push(backend);
        self.by_id.insert(id.to_owned(), key);
        Change::Joined(key)
    }
}
