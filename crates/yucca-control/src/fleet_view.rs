//! Local view of the store's contents: the catalogue and the leases.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Deserialize;
use yucca_io::store::{Changes, StoredObject};
use yuccacove::catalogue::{Applied, Catalogue, Engine, Object, Service, ServiceKind};
use yuccacove::event::Event;
use yuccacove::lease::Lease;
use yuccacove::store::Stored;

/// Key prefix of leases.
pub const LEASE_PREFIX: &str = "lease/";
/// Key prefixes that this process watches. Owners, entries and plain servers are left out, since
/// they receive no orders.
pub const WATCHED_PREFIXES: [&str; 3] = ["service/", "engine/", LEASE_PREFIX];

/// An engine's object in the store.
#[derive(Debug, Clone)]
pub struct StoredEngine {
    /// Name of the engine.
    pub name: String,
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub engine: Engine,
}

/// Objects of one pool.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// Service of the pool.
    pub service: Service,
    /// Engines of the pool, including withdrawn ones.
    pub engines: Vec<StoredEngine>,
    /// Store revision up to which `engines` is current.
    pub revision: u64,
    /// Number of services of kind `model` in the fleet.
    pub model_pools: usize,
}

#[derive(Debug, Default)]
struct State {
    catalogue: Catalogue,
    leases: HashMap<String, Stored<Lease>>,
    /// Store revision up to which the objects with a key prefix are current.
    revisions: HashMap<&'static str, u64>,
    /// Number of updates to this state.
    generation: u64,
}

/// View of the store that the threads share. It keeps the highest received version of each object.
#[derive(Debug, Default)]
pub struct FleetView {
    state: Mutex<State>,
    changed: Condvar,
}

impl FleetView {
    /// Applies a full listing of the objects whose keys start with `prefix`. Catalogue objects that
    /// it does not contain are marked as deleted.
    pub fn apply_list(&self, prefix: &'static str, list: &Changes) {
        let mut state = self.lock();
        let missing: Vec<String> = state
            .catalogue
            .iter()
            .filter(|(key, _, object)| key.starts_with(prefix) && object.is_some())
            .filter(|(key, ..)| !list.objects.iter().any(|listed| listed.key == *key))
            .map(|(key, ..)| key.to_owned())
            .collect();
        for key in missing {
            state.catalogue.apply(&key, list.revision, None);
        }
        self.apply(&mut state, prefix, list);
    }

    /// Applies the changes that a watch of `prefix` returned.
    pub fn apply_changes(&self, prefix: &'static str, changes: &Changes) {
        let mut state = self.lock();
        for deletion in &changes.deleted {
            match deletion.key.strip_prefix(LEASE_PREFIX) {
                Some(pool) => {
                    let tombstone = Stored {
                        version: deletion.version,
                        value: None,
                    };
                    state.leases.insert(pool.to_owned(), tombstone);
                }
                None => {
                    state.catalogue.apply(&deletion.key, deletion.version, None);
                }
            }
        }
        self.apply(&mut state, prefix, changes);
    }

    /// Applies a single object that was read or written.
    pub fn apply_object(&self, object: &StoredObject) {
        let mut state = self.lock();
        state.apply_object(object);
        state.generation += 1;
        self.changed.notify_all();
    }

    fn apply(&self, state: &mut State, prefix: &'static str, changes: &Changes) {
        for object in &changes.objects {
            state.apply_object(object);
        }
        let revision = state.revisions.entry(prefix).or_default();
        *revision = changes.revision.max(*revision);
        state.generation += 1;
        self.changed.notify_all();
    }

    /// Last received state of the lease on `pool`.
    pub fn lease(&self, pool: &str) -> Option<Stored<Lease>> {
        self.lock().leases.get(pool).cloned()
    }

    /// Whether every watched prefix was listed at least once.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        WATCHED_PREFIXES
            .iter()
            .all(|p| state.revisions.contains_key(p))
    }

    /// Names of all services.
    pub fn service_names(&self) -> Vec<String> {
        let state = self.lock();
        let keys = state.catalogue.iter();
        keys.filter(|(.., object)| object.is_some())
            .filter_map(|(key, ..)| key.strip_prefix("service/"))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the service and engines of `pool`, or `None` if there is no service of kind `model`
    /// with that name.
    pub fn pool(&self, pool: &str) -> Option<PoolView> {
        let state = self.lock();
        let service = state.catalogue.service(pool)?.clone();
        if service.kind != ServiceKind::Model {
            return None;
        }
        let objects = state.catalogue.iter();
        let engines = objects.filter_map(|(key, version, object)| match object {
            Some(Object::Engine(engine)) if engine.service == pool => Some(StoredEngine {
                name: key.strip_prefix("engine/")?.to_owned(),
                version,
                engine: engine.clone(),
            }),
            _ => None,
        });
        let is_model = |object: Option<&Object>| matches!(object, Some(Object::Service(s)) if s.kind == ServiceKind::Model);
        Some(PoolView {
            service,
            engines: engines.collect(),
            revision: state.revisions.get("engine/").copied().unwrap_or(0),
            model_pools: state.catalogue.iter().filter(|o| is_model(o.2)).count(),
        })
    }

    /// Keys and versions of all catalogue objects, including deleted ones.
    pub fn versions(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let objects = state.catalogue.iter();
        objects
            .map(|(key, version, _)| (key.to_owned(), version))
            .collect()
    }

    /// Number of updates so far, for [`FleetView::wait`].
    pub fn generation(&self) -> u64 {
        self.lock().generation
    }

    /// Waits until the generation differs from `seen`, for at most `timeout_ms`.
    pub fn wait(&self, seen: u64, timeout_ms: u64) {
        let timeout = Duration::from_millis(timeout_ms);
        let state = self.lock();
        drop(
            self.changed
                .wait_timeout_while(state, timeout, |state| state.generation == seen)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Wakes all threads in [`FleetView::wait`] without an update from the store.
    pub fn wake_all(&self) {
        self.lock().generation += 1;
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_object(&mut self, stored: &StoredObject) {
        if let Some(pool) = stored.key.strip_prefix(LEASE_PREFIX) {
            let known_version = self.leases.get(pool).map_or(0, |lease| lease.version);
            if stored.version > known_version
                && let Some(lease) = read_lease(stored)
            {
                self.leases.insert(pool.to_owned(), lease);
            }
            return;
        }
        let object = match Object::parse(&stored.key, &stored.value) {
            Ok(Some(object)) => object,
            Ok(None) => return,
            Err(error) => {
                yucca_io::log::write(Event::CatalogueInvalid, &format!("{error}"));
                return;
            }
        };
        let version = stored.version;
        match self.catalogue.apply(&stored.key, version, Some(object)) {
            Applied::Newer => {
                let fields = format!("key={} version={version}", stored.key);
                yucca_io::log::write(Event::CatalogueChanged, &fields);
            }
            Applied::Stale => {}
        }
    }
}

/// Parses the lease in a stored object. Returns `None` if the value is not a lease.
pub fn read_lease(stored: &StoredObject) -> Option<Stored<Lease>> {
    let lease = Lease::deserialize(&stored.value).ok()?;
    Some(Stored {
        version: stored.version,
        value: Some(lease),
    })
}
