//! In-memory implementation of the platform's store in virtual time, with injectable faults.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::{Duration, sleep};
use yucca_serve::config::ServingConfig;
use yucca_serve::directory::BackendEntry;
use yucca_serve::organisations::{ApiKey, Organisation, Organisations};
use yucca_serve::ports::{
    ConfigFault, Freshness, Kind, Object, ObjectStore, Objects, Page, StoreFault,
};
use yucca_serve::revision::{era_of, number_of, revision};
use yuccacove::prompt_placement::Phase;

/// Time after which a call to an unresponsive store fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds normally.
    Up,
    /// Accepts calls but never responds, neither to them nor to watches that are waiting.
    Unresponsive,
    /// Refuses calls. Watches that are waiting get no response.
    Refusing,
}

/// How the store divides a listing into pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Paging {
    /// All objects are in one page.
    Single,
    /// Pages have this many objects, in the order of their names.
    Pages(usize),
    /// As [`Paging::Pages`], but each page is the first one.
    FirstAgain(usize),
    /// As [`Paging::Pages`], but in listings that may be stale each page is the first one.
    FirstAgainIfStale(usize),
    /// Each page is empty and says that there is more.
    Empty,
}

/// An in-memory store.
#[derive(Debug)]
pub struct MemoryStore {
    mode: Cell<StoreMode>,
    /// Rises by one each time that the store is restored.
    era: Cell<u64>,
    /// Incremented when all waiting watches are abandoned. A watch of an earlier generation receives no
    /// changes.
    watch_generation: Cell<u64>,
    objects: RefCell<Vec<(Kind, Object)>>,
    /// State that calls get whose result may be stale; `None` for the latest one.
    stale: RefCell<Option<Vec<(Kind, Object)>>>,
    /// Copy of the objects from which the store can be restored.
    copy: RefCell<Vec<(Kind, Object)>>,
    /// Revision up to which changes are no longer available to watches.
    oldest_revision: Cell<u64>,
    /// Watches of generations before this one have been closed.
    closed_before: Cell<u64>,
    changed: Notify,
    /// How listings are divided.
    pub paging: Cell<Paging>,
    /// Time that each call takes, in milliseconds.
    pub latency_ms: Cell<u64>,
    /// Number of calls to the store.
    pub calls: Cell<u64>,
    /// Number of those calls that are reads whose result may be stale. Such a read costs the store a
    /// tenth of what any other call costs.
    pub lagging_calls: Cell<u64>,
}

impl MemoryStore {
    /// Creates an empty store that responds normally.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            mode: Cell::new(StoreMode::Up),
            era: Cell::new(1),
            watch_generation: Cell::new(0),
            objects: RefCell::default(),
            stale: RefCell::default(),
            copy: RefCell::default(),
            oldest_revision: Cell::new(0),
            closed_before: Cell::new(0),
            changed: Notify::new(),
            paging: Cell::new(Paging::Single),
            latency_ms: Cell::new(0),
            calls: Cell::new(0),
            lagging_calls: Cell::new(0),
        })
    }

    /// Changes how calls are handled. Abandons all waiting watches.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
        self.watch_generation.set(self.watch_generation.get() + 1);
    }

    /// Makes all listings that may be stale return the present state from now on.
    pub fn hold_stale_state(&self) {
        *self.stale.borrow_mut() = Some(self.objects.borrow().clone());
    }

    /// Copies the present objects, for [`MemoryStore::restore`].
    pub fn save_copy(&self) {
        *self.copy.borrow_mut() = self.objects.borrow().clone();
    }

    /// Replaces the objects by those of the last copy. Later revisions are given out again, and
    /// waiting watches fail.
    pub fn restore(&self) {
        let era = self.era.get() + 1;
        self.era.set(era);
        let in_era = |object: &Object| Object {
            revision: revision(era, number_of(object.revision)),
            ..object.clone()
        };
        let copy = self.copy.borrow();
        let restored = copy.iter().map(|(kind, object)| (*kind, in_era(object)));
        *self.objects.borrow_mut() = restored.collect();
        self.close_watches();
    }

    /// Discards the history of changes: watches since an earlier revision expire, and waiting ones are
    /// abandoned.
    pub fn drop_history(&self) {
        self.oldest_revision.set(self.revision());
        self.watch_generation.set(self.watch_generation.get() + 1);
    }

    /// Closes the connections of all waiting watches, which then fail.
    pub fn close_watches(&self) {
        self.watch_generation.set(self.watch_generation.get() + 1);
        self.closed_before.set(self.watch_generation.get());
        self.changed.notify_waiters();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.objects
            .borrow()
            .iter()
            .map(|(_, o)| o.revision)
            .max()
            .unwrap_or(revision(self.era.get(), 0))
    }

    /// Writes an object, or removes it if `value` is `None`, regardless of the mode and of the
    /// object's revision. Returns the new revision.
    pub fn put(&self, kind: Kind, name: &str, value: Option<Value>) -> u64 {
        let revision = self.revision() + 1;
        let is_removed = value.is_none();
        let mut objects = self.objects.borrow_mut();
        objects.retain(|(k, o)| *k != kind || o.name != name);
        objects.push((
            kind,
            Object {
                name: name.to_owned(),
                revision,
                value,
                is_removed,
            },
        ));
        drop(objects);
        self.changed.notify_waiters();
        revision
    }

    /// Returns the objects of a kind that have changed after a revision, in order of revision.
    fn of_kind(&self, kind: Kind, after: u64) -> Vec<Object> {
        let objects = self.objects.borrow();
        let mut found: Vec<Object> = objects
            .iter()
            .filter(|(k, o)| *k == kind && o.revision > after)
            .map(|(_, o)| o.clone())
            .collect();
        found.sort_by_key(|o| o.revision);
        found
    }

    /// Counts a call and fails it unless the store is up; if the store is unresponsive, after a
    /// time-out.
    async fn begin_call(&self) -> Result<(), StoreFault> {
        self.calls.set(self.calls.get() + 1);
        if self.latency_ms.get() > 0 {
            sleep(Duration::from_millis(self.latency_ms.get())).await;
        }
        match self.mode.get() {
            StoreMode::Up => Ok(()),
            StoreMode::Refusing => Err(StoreFault::Refused(503)),
            StoreMode::Unresponsive => {
                sleep(CALL_TIMEOUT).await;
                Err(StoreFault::NoAnswer("silent".to_owned()))
            }
        }
    }
}

/// Returns the page after the name `after` of these objects.
fn page_of(mut objects: Vec<Object>, paging: Paging, after: Option<&[u8]>) -> Page {
    let (count, after) = match paging {
        Paging::Single | Paging::FirstAgainIfStale(_) => (usize::MAX, None),
        Paging::Pages(count) => (count, after),
        Paging::FirstAgain(count) => (count, None),
        Paging::Empty => (0, None),
    };
    if paging != Paging::Single {
        objects.sort_by(|a, b| a.name.cmp(&b.name));
    }
    objects.retain(|object| after.is_none_or(|after| object.name.as_bytes() > after));
    let has_more = objects.len() > count || paging == Paging::Empty;
    objects.truncate(count);
    Page {
        has_more,
        last_name: objects.last().map(|last| last.name.clone().into_bytes()),
        objects,
        revision: 0,
        unreadable: 0,
    }
}

impl ObjectStore for MemoryStore {
    async fn page(
        &self,
        kind: Kind,
        freshness: Freshness,
        after: Option<&[u8]>,
    ) -> Result<Page, StoreFault> {
        if freshness == Freshness::MayLag {
            self.lagging_calls.set(self.lagging_calls.get() + 1);
        }
        self.begin_call().await?;
        let stale = self.stale.borrow();
        let stale = stale.as_ref().filter(|_| freshness == Freshness::MayLag);
        let latest = self.objects.borrow();
        let state = stale.unwrap_or(&latest);
        let of_kind = state.iter().filter(|(k, o)| *k == kind && !o.is_removed);
        let revision = state.iter().map(|(_, o)| o.revision).max().unwrap_or(0);
        let objects = of_kind.map(|(_, o)| o.clone()).collect();
        let paging = match self.paging.get() {
            Paging::FirstAgainIfStale(count) if freshness == Freshness::MayLag => {
                Paging::FirstAgain(count)
            }
            Paging::FirstAgainIfStale(count) => Paging::Pages(count),
            paging => paging,
        };
        Ok(Page {
            revision,
            ..page_of(objects, paging, after)
        })
    }

    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault> {
        self.begin_call().await?;
        let is_other_era = era_of(since) != self.era.get();
        if is_other_era || since < self.oldest_revision.get() || since > self.revision() {
            return Err(StoreFault::Expired);
        }
        let watch_generation = self.watch_generation.get();
        let limit = sleep(Duration::from_millis(wait_ms));
        tokio::pin!(limit);
        loop {
            let changed = self.changed.notified();
            let objects = self.of_kind(kind, since);
            let is_current = watch_generation == self.watch_generation.get();
            if watch_generation < self.closed_before.get() {
                return Err(StoreFault::NoAnswer("closed".to_owned()));
            }
            if is_current && !objects.is_empty() {
                let revision = self.revision();
                return Ok(Objects {
                    objects,
                    revision,
                    unreadable: 0,
                });
            }
            tokio::select! {
                () = changed => {}
                () = &mut limit => {
                    if watch_generation != self.watch_generation.get() {
                        // The connection stays open without a response.
                        sleep(Duration::from_millis(400)).await;
                        return Err(StoreFault::NoAnswer("silent".to_owned()));
                    }
                    // A change at the end of the wait must not be skipped.
                    return Ok(Objects {
                        objects: self.of_kind(kind, since),
                        revision: self.revision(),
                        unreadable: 0,
                    });
                }
            }
        }
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreFault> {
        self.begin_call().await?;
        let current = self.of_kind(kind, 0).into_iter().find(|o| o.name == name);
        let current = current.filter(|o| !o.is_removed);
        if current.as_ref().map(|o| o.revision) != expected {
            return Err(StoreFault::Conflict(current));
        }
        Ok(self.put(kind, name, Some(value.clone())))
    }

    async fn read(
        &self,
        kind: Kind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreFault> {
        if freshness == Freshness::MayLag {
            self.lagging_calls.set(self.lagging_calls.get() + 1);
        }
        self.begin_call().await?;
        let found = self.of_kind(kind, 0).into_iter().find(|o| o.name == name);
        Ok(found.filter(|o| !o.is_removed))
    }

    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault> {
        self.begin_call().await?;
        self.put(kind, name, None);
        Ok(())
    }

    fn era(&self) -> u64 {
        self.era.get()
    }

    fn backend(&self, object: &Object) -> Option<BackendEntry> {
        let value = object.value.as_ref()?;
        Some(BackendEntry {
            service: value["service"].as_str()?.to_owned(),
            address: value["address"].as_str()?.parse().ok()?,
            zone: value["zone"].as_str().unwrap_or("a").to_owned(),
            is_draining: value["draining"] == true,
            phase: if value["phase"] == "prefill" {
                Phase::Prefill
            } else {
                Phase::Decode
            },
            started_ms: value["started"].as_u64().unwrap_or(0),
            is_spot: false,
            leaves_ms: None,
            software: value["software"].as_str().unwrap_or_default().into(),
        })
    }

    fn config(&self, object: &Object) -> Result<ServingConfig, ConfigFault> {
        let version = object.value.as_ref().and_then(|v| v["version"].as_u64());
        let version =
            version.ok_or_else(|| ConfigFault::Malformed("version is missing".to_owned()))?;
        let mut organisations = Organisations::default();
        let keys_of = object
            .value
            .as_ref()
            .and_then(|v| v["organisations"].as_object());
        for (name, keys) in keys_of.into_iter().flatten() {
            let keys = keys.as_array().into_iter().flatten();
            let organisation = Organisation {
                name: name.as_str().into(),
                urgency: None,
            };
            organisations
                .add(
                    organisation,
                    keys.filter_map(Value::as_str).map(ApiKey::new),
                )
                .map_err(ConfigFault::SharedKey)?;
        }
        Ok(ServingConfig {
            version,
            organisations,
            ..ServingConfig::default()
        })
    }
}
