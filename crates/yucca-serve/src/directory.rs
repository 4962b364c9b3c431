//! The known backends with their entries, loads and health.
//!
//! A backend whose entry is removed or draining gets no new work. Entries can also expire while the
//! store is unavailable. Backends whose entries are missing when it recovers therefore stay in use
//! for as long as a live backend needs to register again.
//!
//! The record of a backend is removed some time after its entry. What remains of it recognises stale
//! messages.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use yuccacove::engine_speed::{PrefillSample, ServiceSpeed};
use yuccacove::explanation::Rule;
use yuccacove::passive_health::PassiveHealth;
use yuccacove::prompt_placement::Phase;
use yuccacove::stream_version::{VersionHistory, VersionId};

use crate::backend_arena::BackendArena;
pub use crate::backend_arena::BackendKey;
use crate::departed::{Arrival, Departed};
use crate::hash::hash_of;
use crate::loads::Load;
use crate::ports::Target;
use crate::revision::era_of;
use crate::stream_versions::version_id;

/// Time after the store recovers within which a live backend has registered again.
pub const RELIST_MS: u64 = 1_800;
/// Shortest outage of the store in which entries may have expired.
const MIN_EXPIRY_OUTAGE_MS: u64 = 1_000;
/// Time for which a backend that refused a request is avoided while there are others.
const REFUSAL_PAUSE_MS: u64 = 150;
/// Minimum number of backends with which an availability zone serves its callers about as well as
/// the entire fleet would.
const MIN_LOCAL_BACKENDS: usize = 14;
/// Time for which a leaving backend may still be used if there is no other. It is shorter than the
/// time for which a draining backend goes on serving.
const LAST_RESORT_MS: u64 = 1_200;

/// Time from the removal of a backend's entry after which its record may be removed. It is longer than
/// a drain, the reuse of addresses and the time for which requests wait before they are sent. Records
/// with requests in progress stay longer.
pub const RETENTION_MS: u64 = 120_000;
/// Interval at which records are removed.
const REMOVAL_INTERVAL_MS: u64 = 1_000;

/// The entry that a backend registers in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendEntry {
    /// Name of the service.
    pub service: String,
    /// Address for calls.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether the backend is draining.
    pub is_draining: bool,
    /// Phase of a model engine; a plain server counts as [`Phase::Decode`].
    pub phase: Phase,
    /// Whether the engine is a spot engine, which the platform may take back at short notice.
    pub is_spot: bool,
    /// Time until a draining engine ends, if it is known.
    pub leaves_ms: Option<u64>,
    /// Start time of the incarnation, in milliseconds of its own wall clock. It distinguishes
    /// incarnations.
    pub started_ms: u64,
    /// Version of the backend's software; empty if its entry names none.
    pub software: Rc<str>,
}

/// State of a backend's registration, which decides whether it gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    Serving,
    /// Draining or removed since this time.
    Leaving {
        since_ms: u64,
    },
    /// Left before a restore of the store, and listed in the copy. It serves from this time on if
    /// it is still listed then.
    Copied {
        until_ms: u64,
    },
    /// Missing since the store recovered. It stays in use until this time and is gone afterwards,
    /// unless it registers again.
    Expired {
        until_ms: u64,
    },
}

/// A backend as this host knows it.
#[derive(Debug)]
pub struct Backend {
    /// Id and address for calls.
    pub target: Target,
    /// Latest registered entry.
    pub entry: BackendEntry,
    /// Work in flight and cached prefixes.
    pub load: Load,
    /// Health as its responses show it.
    pub health: PassiveHealth,
    id_hash: u64,
    unavailable_until_ms: u64,
    revision: u64,
    registration: Registration,
    /// Whether this incarnation has said that it is leaving, which its entry may not say.
    has_announced_leaving: bool,
    /// Time until which the backend wants no requests from this host.
    paused_until_ms: u64,
    /// Time at which its entry was removed; `None` while it is listed.
    unlisted_since_ms: Option<u64>,
}

impl Backend {
    pub(crate) fn new(id: &str, revision: u64, entry: BackendEntry) -> Self {
        Self {
            target: Target {
                id: Rc::from(id),
                address: entry.address,
                via: None,
            },
            registration: if entry.is_draining {
                Registration::Leaving { since_ms: 0 }
            } else {
                Registration::Serving
            },
            entry,
            load: Load::default(),
            health: PassiveHealth::default(),
            id_hash: hash_of(id),
            unavailable_until_ms: 0,
            revision,
            has_announced_leaving: false,
            paused_until_ms: 0,
            unlisted_since_ms: None,
        }
    }

    /// Whether the record may be removed: its entry was removed at least [`RETENTION_MS`] ago, and no request
    /// or prefill of this host is in progress there.
    fn is_removable(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        let is_past = since_ms.is_some_and(|since_ms| now_ms >= since_ms + RETENTION_MS);
        is_past && self.load.requests == 0 && !self.load.has_own_prefills()
    }

    /// Returns the hash of the backend's id, which is the same on all hosts.
    pub fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Returns the version of its software.
    pub fn version(&self) -> VersionId {
        version_id(&self.entry.software)
    }

    /// Marks the engine as unavailable until it registers with another phase, or until `until_ms`
    /// at the latest.
    pub fn set_unavailable(&mut self, until_ms: u64) {
        self.unavailable_until_ms = until_ms;
    }

    /// Records that the engine refused a request because it is full or changes its phase; it is
    /// avoided for a short time.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.unavailable_until_ms = self.unavailable_until_ms.max(now_ms + REFUSAL_PAUSE_MS);
    }

    /// Whether the engine accepts no requests at present.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        now_ms < self.unavailable_until_ms
    }

    /// Records that the backend wants no requests from this host until `until_ms`.
    pub fn pause_requests(&mut self, until_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }

    /// Returns for how long the backend wants no requests from this host; 0 if it takes them.
    pub fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.paused_until_ms.saturating_sub(now_ms)
    }

    /// Records that a response of the backend says that it is leaving. Returns whether that is new.
    pub fn announce_leaving(&mut self, now_ms: u64) -> bool {
        let is_new = !std::mem::replace(&mut self.has_announced_leaving, true);
        if is_new {
            self.leave(now_ms);
        }
        is_new
    }

    fn update_speeds(&mut self, service: &ServiceSpeed, now_ms: u64) {
        let load = &mut self.load;
        load.prefill_speed = service.prefill_speed(&load.speed, now_ms);
        load.decode_speed = load.speed.decode_speed(now_ms);
        // Only remote prefills have the latency.
        load.latency_ms = match self.entry.phase {
            Phase::Prefill => service.latency_ms(),
            Phase::Decode => 0.0,
        };
    }

    fn is_serving(&self, now_ms: u64) -> bool {
        match self.registration {
            Registration::Serving => true,
            Registration::Copied { until_ms } => now_ms >= until_ms,
            Registration::Expired { until_ms } => now_ms < until_ms,
            Registration::Leaving { .. } => false,
        }
    }

    fn is_last_resort(&self, now_ms: u64) -> bool {
        match self.registration {
            Registration::Leaving { since_ms } => {
                let leaves_ms = self.entry.leaves_ms.unwrap_or(LAST_RESORT_MS);
                now_ms < since_ms + leaves_ms.min(LAST_RESORT_MS)
            }
            Registration::Serving | Registration::Copied { .. } | Registration::Expired { .. } => {
                false
            }
        }
    }

    /// Returns the rule by which the backend gets no new work while others serve; `None` if it serves.
    pub fn exclusion(&self, now_ms: u64) -> Option<Rule> {
        if self.is_serving(now_ms) {
            return None;
        }
        Some(match self.registration {
            Registration::Copied { .. } => Rule::EntryCopied,
            Registration::Expired { .. } => Rule::EntryExpired,
            Registration::Serving | Registration::Leaving { .. } => Rule::Leaving,
        })
    }

    /// Returns the time since which the backend is leaving or gone; `None` if it is not.
    pub fn left_since_ms(&self) -> Option<u64> {
        match self.registration {
            Registration::Leaving { since_ms } => Some(since_ms),
            Registration::Expired { until_ms } => Some(until_ms),
            Registration::Serving | Registration::Copied { .. } => None,
        }
    }

    /// Whether this is an engine that leaves because the platform takes it back, or was ordered away,
    /// and that has not ended yet.
    fn is_taken_back(&self, now_ms: u64) -> bool {
        match (self.registration, self.entry.leaves_ms) {
            (Registration::Leaving { since_ms }, Some(leaves_ms)) => {
                self.entry.is_draining && now_ms < since_ms.saturating_add(leaves_ms)
            }
            _ => false,
        }
    }

    fn leave(&mut self, now_ms: u64) {
        if let Registration::Copied { until_ms } = self.registration
            && now_ms < until_ms
        {
            // It has not been used since it left.
            self.registration = Registration::Leaving { since_ms: 0 };
        }
        if !matches!(self.registration, Registration::Leaving { .. }) {
            self.registration = Registration::Leaving { since_ms: now_ms };
        }
    }
}

/// Effect of an update on the directory, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change that is logged.
    None,
    /// A backend is new, has restarted or serves again.
    Joined(BackendKey),
    /// A backend is draining or gone.
    Left(BackendKey),
    /// An engine has changed its phase.
    Phase(BackendKey),
}

/// The known backends. A record is removed some time after its entry, so that memory stays bounded
/// however many engines come and go.
#[derive(Debug, Default)]
pub struct Directory {
    backends: BackendArena,
    /// Backends whose records were removed.
    departed: Departed,
    /// Number of records that were created.
    joined: u64,
    removed_ms: u64,
    by_id: IndexMap<String, BackendKey>,
    by_hash: IndexMap<u64, BackendKey>,
    /// Learned speeds of the engines of each service.
    speeds: IndexMap<String, ServiceSpeed>,
    store_unavailable_since_ms: Option<u64>,
    /// Time until which backends stay in use if their entries are missing.
    relist_until_ms: u64,
    has_full_listing: bool,
    /// Software versions of backends that have left or changed it, by service.
    versions: IndexMap<String, VersionHistory>,
    /// Time for which they are remembered if that is longer than [`RETENTION_MS`].
    version_lifetime_ms: u64,
    /// Era of the store's latest changes.
    era: u64,
    /// Time in which the entries of silent backends are removed.
    entry_lapse_ms: u64,
}

impl Directory {
    /// Returns the backend with a key.
    pub fn get(&self, key: BackendKey) -> &Backend {
        self.backends.get(key)
    }

    /// Returns the backend with a key, mutably.
    pub fn get_mut(&mut self, key: BackendKey) -> &mut Backend {
        self.backends.get_mut(key)
    }

    /// Whether the hosts of an availability zone exchange load updates only with each other,
    /// because the zone has enough backends of its own. Otherwise they exchange them with all
    /// hosts.
    pub fn shares_load_within_zone(&self, zone: &str) -> bool {
        let in_zone = self.by_id.values().filter(|key| {
            let backend = self.get(**key);
            backend.entry.zone == zone && backend.registration == Registration::Serving
        });
        in_zone.count() >= MIN_LOCAL_BACKENDS
    }

    /// Returns the number of backends with a record.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether no backend has a record.
    pub fn is_empty(&self) -> bool {
        self.backends.len() == 0
    }

    /// Returns the number of records that were created so far.
    pub fn joined(&self) -> u64 {
        self.joined
    }

    /// Iterates over all backends, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.backends.iter_mut()
    }

    /// Returns the keys of all backends.
    pub fn keys(&self) -> impl Iterator<Item = BackendKey> + use<> {
        self.backends.keys().into_iter()
    }

    /// Returns the key of the backend with an id.
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the key of the backend whose id has the given hash.
    pub fn find_by_hash(&self, hash: u64) -> Option<BackendKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns what was learned of the speeds of a service's engines; `None` before the first sample.
    pub fn service_speed(&self, service: &str) -> Option<&ServiceSpeed> {
        self.speeds.get(service)
    }

    /// Applies `record` to what was learned of the service of an engine.
    pub fn update_service_speed(
        &mut self,
        key: BackendKey,
        record: impl FnOnce(&mut ServiceSpeed),
    ) {
        record(service_speed_mut(
            &mut self.speeds,
            &self.backends.get(key).entry.service,
        ));
    }

    /// Records a remote prefill that an engine has completed.
    pub fn record_prefill(&mut self, key: BackendKey, sample: &PrefillSample, now_ms: u64) {
        let backend = self.backends.get_mut(key);
        let service = service_speed_mut(&mut self.speeds, &backend.entry.service);
        service.record_prefill(&mut backend.load.speed, sample, now_ms);
        backend.update_speeds(service, now_ms);
    }

    /// Updates the speeds that forecasts use, which also change when there are no samples.
    pub fn update_speeds(&mut self, now_ms: u64) {
        for backend in self.backends.iter_mut() {
            if let Some(service) = self.speeds.get(&backend.entry.service) {
                backend.update_speeds(service, now_ms);
            }
        }
    }

    /// Whether a full listing has been received.
    pub fn has_full_listing(&self) -> bool {
        self.has_full_listing
    }

    /// Returns the software versions that backends of `service` have, or had after `since_ms`.
    pub fn versions(&self, service: &str, since_ms: u64) -> Vec<VersionId> {
        let listed = self.by_id.values().map(|key| self.get(*key));
        let listed = listed
            .filter(|backend| backend.unlisted_since_ms.is_none())
            .filter(|backend| backend.entry.service == service);
        let past = self.versions.get(service).into_iter();
        let past = past.flat_map(|history| history.since(since_ms));
        let versions: IndexSet<VersionId> = listed.map(Backend::version).chain(past).collect();
        versions.into_iter().collect()
    }

    /// Records that a backend had its software version until `at_ms`.
    fn record_version(&mut self, key: BackendKey, at_ms: u64) {
        let backend = self.backends.get(key);
        let (service, version) = (backend.entry.service.clone(), backend.version());
        let history = self.versions.entry(service).or_default();
        history.record(version, at_ms);
    }

    /// Whether a backend of `service` with a software version may get new work.
    pub fn has_version(&self, service: &str, version: VersionId, now_ms: u64) -> bool {
        let usable = self.usable_among(service, now_ms, |b| b.version() == version);
        !usable.is_empty()
    }

    /// Returns the backends of `service` that may get new work: those that serve or, if there are
    /// none, those that began to leave a moment ago.
    pub fn usable(&self, service: &str, now_ms: u64) -> Vec<BackendKey> {
        self.usable_among(service, now_ms, |_| true)
    }

    /// As [`Directory::usable`], among the backends for which `is_meant` is true.
    pub fn usable_among(
        &self,
        service: &str,
        now_ms: u64,
        is_meant: impl Fn(&Backend) -> bool,
    ) -> Vec<BackendKey> {
        let serving = self.select(service, |b| b.is_serving(now_ms) && is_meant(b));
        if serving.is_empty() {
            return self.select(service, |b| b.is_last_resort(now_ms) && is_meant(b));
        }
        serving
    }

    /// Returns the backend at an address that may get new work, with the name of its service.
    pub fn find_usable(&self, address: SocketAddr, now_ms: u64) -> Option<(BackendKey, String)> {
        let at_address = |key: &&BackendKey| self.get(**key).target.address == address;
        self.by_id.values().filter(at_address).find_map(|key| {
            let service = &self.get(*key).entry.service;
            let is_usable = self.usable(service, now_ms).contains(key);
            is_usable.then(|| (*key, service.clone()))
        })
    }

    /// Returns the backends of `service` that serve.
    pub fn serving(&self, service: &str, now_ms: u64) -> Vec<BackendKey> {
        self.select(service, |backend| backend.is_serving(now_ms))
    }

    /// Returns the backends of all services that serve.
    pub fn all_serving(&self, now_ms: u64) -> Vec<BackendKey> {
        let all = self.by_id.values().copied();
        all.filter(|key| self.get(*key).is_serving(now_ms))
            .collect()
    }

    /// Returns the engines of `service` that leave at a known time, and have not ended yet.
    pub fn taken_back(&self, service: &str, now_ms: u64) -> Vec<BackendKey> {
        self.select(service, |backend| backend.is_taken_back(now_ms))
    }

    /// Returns the backends of `service` that serve, and those that left after `since_ms`.
    pub fn recent(&self, service: &str, since_ms: u64) -> Vec<BackendKey> {
        let is_recent = |left_ms: u64| left_ms >= since_ms;
        self.select(service, |backend| {
            backend.left_since_ms().is_none_or(is_recent)
        })
    }

    /// Returns the usable backends of `service` that want no requests from this host now.
    pub fn paused(&self, service: &str, now_ms: u64) -> Vec<BackendKey> {
        let mut keys = self.usable(service, now_ms);
        keys.retain(|key| self.get(*key).pause_left_ms(now_ms) > 0);
        keys
    }

    fn select(&self, service: &str, is_wanted: impl Fn(&Backend) -> bool) -> Vec<BackendKey> {
        let all = self.by_id.values().copied();
        all.filter(|key| self.get(*key).entry.service == service)
            .filter(|key| is_wanted(self.get(*key)))
            .collect()
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now_ms: u64) {
        self.store_unavailable_since_ms.get_or_insert(now_ms);
    }

    /// Records that the store responded. Returns whether it was unavailable before.
    pub fn record_store_response(&mut self, now_ms: u64) -> bool {
        let Some(unavailable_since_ms) = self.store_unavailable_since_ms.take() else {
            return false;
        };
        if now_ms >= unavailable_since_ms + MIN_EXPIRY_OUTAGE_MS {
            self.relist_until_ms = now_ms + RELIST_MS;
        }
        true
    }

    /// Handles changes of the store's era `era`. After a restore of the store, live backends that the
    /// copy lacks register again, and the entries of those that have left since it was made are
    /// removed within `entry_lapse_ms`.
    pub fn begin_era(&mut self, era: u64, entry_lapse_ms: u64, now_ms: u64) {
        self.entry_lapse_ms = entry_lapse_ms;
        let is_restore = era > self.era && self.joined > 0;
        self.era = self.era.max(era);
        if is_restore {
            self.relist_until_ms = now_ms + RELIST_MS;
        }
    }

    /// Applies an entry from the store, unless a later revision of it is known.
    pub fn apply_entry(
        &mut self,
        id: &str,
        revision: u64,
        entry: BackendEntry,
        now_ms: u64,
    ) -> Change {
        let Some(key) = self.find(id) else {
            return self.join(id, revision, entry, now_ms);
        };
        let backend = self.get_mut(key);
        if backend.revision > revision {
            return Change::None;
        }
        let is_copied = era_of(revision) > era_of(backend.revision);
        if is_copied && entry.started_ms < backend.entry.started_ms {
            // The copy holds an earlier incarnation.
            return self.apply_removal(id, revision, now_ms);
        }
        let is_other_version =
            backend.entry.software != entry.software || backend.entry.service != entry.service;
        let copied_until_ms = now_ms + self.entry_lapse_ms;
        if is_other_version {
            self.record_version(key, now_ms);
        }
        let backend = self.get_mut(key);
        let was_serving = backend.is_serving(now_ms);
        let is_restart = entry.started_ms != backend.entry.started_ms;
        let is_phase_change = entry.phase != backend.entry.phase;
        backend.revision = revision;
        backend.unlisted_since_ms = None;
        backend.target.address = entry.address;
        let is_draining = entry.is_draining;
        backend.entry = entry;
        if is_phase_change || is_restart {
            backend.unavailable_until_ms = 0;
        }
        if is_restart {
            backend.has_announced_leaving = false;
            backend.paused_until_ms = 0;
            backend.health = PassiveHealth::default();
            backend.load.reset();
        }
        if is_draining || backend.has_announced_leaving {
            backend.leave(now_ms);
            return if was_serving {
                Change::Left(key)
            } else {
                Change::None
            };
        }
        backend.registration = match backend.registration {
            Registration::Leaving { .. } if is_copied && !is_restart => Registration::Copied {
                until_ms: copied_until_ms,
            },
            // An entry that changes after the restore is the backend's own.
            _ => Registration::Serving,
        };
        if !backend.is_serving(now_ms) {
            return Change::None;
        }
        match (was_serving && !is_restart, is_phase_change) {
            (false, _) => Change::Joined(key),
            (true, true) => Change::Phase(key),
            (true, false) => Change::None,
        }
    }

    /// Applies the removal of an entry, unless a later revision of it is known.
    pub fn apply_removal(&mut self, id: &str, revision: u64, now_ms: u64) -> Change {
        let Some(key) = self.find(id) else {
            return Change::None;
        };
        let relist_until_ms = self.relist_until_ms;
        if self.get(key).unlisted_since_ms.is_none() {
            // It may be used a little longer if it has no successor, or registers again.
            self.record_version(key, now_ms + RELIST_MS);
        }
        let backend = self.get_mut(key);
        let is_listed = matches!(
            backend.registration,
            Registration::Serving | Registration::Copied { .. }
        );
        if backend.revision > revision {
            return Change::None;
        }
        backend.unlisted_since_ms.get_or_insert(now_ms);
        if !is_listed {
            return Change::None;
        }
        backend.revision = revision;
        let is_serving = backend.is_serving(now_ms);
        if is_serving && now_ms < relist_until_ms {
            backend.registration = Registration::Expired {
                until_ms: relist_until_ms,
            };
            return Change::None;
        }
        backend.leave(now_ms);
        if is_serving {
            Change::Left(key)
        } else {
            Change::None
        }
    }

    /// Applies a full listing as of `revision`: backends that are not in `ids` are removed.
    pub fn apply_full_listing(&mut self, ids: &[&str], revision: u64, now_ms: u64) -> Vec<Change> {
        self.has_full_listing = true;
        let ids: IndexSet<&str> = ids.iter().copied().collect();
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(id.as_str()))
            .cloned()
            .collect();
        missing
            .iter()
            .map(|id| self.apply_removal(id, revision, now_ms))
            .collect()
    }

    fn join(&mut self, id: &str, revision: u64, entry: BackendEntry, now_ms: u64) -> Change {
        let id_hash = hash_of(id);
        let arrival = self.departed.arrive(id_hash, revision, entry.started_ms);
        if arrival == Arrival::Stale {
            return Change::None;
        }
        let is_draining = entry.is_draining;
        let mut backend = Backend::new(id, revision, entry);
        let is_copied = arrival == Arrival::Copied && !is_draining;
        if is_copied {
            let until_ms = now_ms + self.entry_lapse_ms;
            backend.registration = Registration::Copied { until_ms };
        }
        let key = self.backends.insert(backend);
        self.joined += 1;
        self.by_id.insert(id.to_owned(), key);
        self.by_hash.insert(id_hash, key);
        if is_copied {
            Change::None
        } else {
            Change::Joined(key)
        }
    }

    /// Sets the time for which software versions are remembered after they were last there, at least
    /// [`RETENTION_MS`].
    pub fn keep_versions(&mut self, lifetime_ms: u64) {
        self.version_lifetime_ms = lifetime_ms;
    }

    /// Removes the records of the backends that have left long ago. While the store does not answer
    /// they are kept, because its entries may be those that are missing.
    pub fn remove_departed(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.removed_ms + REMOVAL_INTERVAL_MS;
        if !is_due || self.store_unavailable_since_ms.is_some() {
            return;
        }
        self.removed_ms = now_ms;
        // Other writers may name any service and version.
        let kept_ms = self.version_lifetime_ms.max(RETENTION_MS);
        let forgotten_ms = now_ms.saturating_sub(kept_ms);
        self.versions.retain(|_, history| {
            history.forget(forgotten_ms);
            !history.is_empty()
        });
        for key in self.backends.keys() {
            if !self.backends.get(key).is_removable(now_ms) {
                continue;
            }
            if let Some(backend) = self.backends.remove(key) {
                let started_ms = backend.entry.started_ms;
                let revision = backend.revision;
                self.departed.record(backend.id_hash, revision, started_ms);
                self.by_id.shift_remove(&*backend.target.id);
                self.by_hash.shift_remove(&backend.id_hash);
            }
        }
    }
}

fn service_speed_mut<'a>(
    speeds: &'a mut IndexMap<String, ServiceSpeed>,
    service: &str,
) -> &'a mut ServiceSpeed {
    if !speeds.contains_key(service) {
        speeds.insert(service.to_owned(), ServiceSpeed::default());
    }
    &mut speeds[service]
}
