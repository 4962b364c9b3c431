//! The platform's store in memory and in virtual time, with the troubles that a real one has.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::{Duration, sleep};
use yucca_serve::config::ServingConfig;
use yucca_serve::directory::BackendEntry;
use yucca_serve::ports::{Freshness, Kind, Object, ObjectStore, Objects, StoreFault};
use yuccacove::prompt_placement::Phase;

/// Time after which a caller gives a silent store up.
const SILENCE: Duration = Duration::from_millis(1_000);

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers.
    Up,
    /// Takes calls and never answers them, nor the watches that were waiting.
    Unresponsive,
    /// Refuses calls; watches that were waiting stay without an answer.
    Refusing,
}

/// A store in memory.
#[derive(Debug)]
pub struct MemoryStore {
    mode: Cell<StoreMode>,
    /// Rises when waiting watches are forgotten.
    era: Cell<u64>,
    objects: RefCell<Vec<(Kind, Object)>>,
    oldest: Cell<u64>,
    /// The era whose watches were closed with all before it.
    closed: Cell<u64>,
    changed: Notify,
    /// Number of calls.
    pub calls: Cell<u64>,
    /// Number of those whose answer may lag, which cost a tenth.
    pub lagging_calls: Cell<u64>,
}

impl MemoryStore {
    /// An empty store that answers.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            mode: Cell::new(StoreMode::Up),
            era: Cell::new(0),
            objects: RefCell::default(),
            oldest: Cell::new(0),
            closed: Cell::new(0),
            changed: Notify::new(),
            calls: Cell::new(0),
            lagging_calls: Cell::new(0),
        })
    }

    /// Changes how calls are treated; watches that wait are forgotten.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.set(mode);
        self.era.set(self.era.get() + 1);
    }

    /// Forgets all changes so far.
    pub fn drop_history(&self) {
        self.oldest.set(self.revision());
        self.era.set(self.era.get() + 1);
    }

    /// Closes the connections of all watches that wait.
    pub fn close_watches(&self) {
        self.era.set(self.era.get() + 1);
        self.closed.set(self.era.get());
        self.changed.notify_waiters();
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.objects
            .borrow()
            .iter()
            .map(|(_, o)| o.revision)
            .max()
            .unwrap_or(0)
    }

    /// Writes an object as another writer does.
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

    async fn admit(&self) -> Result<(), StoreFault> {
        self.calls.set(self.calls.get() + 1);
        match self.mode.get() {
            StoreMode::Up => Ok(()),
            StoreMode::Refusing => Err(StoreFault::Refused(503)),
            StoreMode::Unresponsive => {
                sleep(SILENCE).await;
                Err(StoreFault::NoAnswer("silent".to_owned()))
            }
        }
    }
}

impl ObjectStore for MemoryStore {
    async fn list(&self, kind: Kind) -> Result<Objects, StoreFault> {
        self.admit().await?;
        let mut objects = self.of_kind(kind, 0);
        objects.retain(|o| !o.is_removed);
        Ok(Objects {
            objects,
            revision: self.revision(),
        })
    }

    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault> {
        self.admit().await?;
        if since < self.oldest.get() {
            return Err(StoreFault::Expired);
        }
        let era = self.era.get();
        let limit = sleep(Duration::from_millis(wait_ms));
        tokio::pin!(limit);
        loop {
            let changed = self.changed.notified();
            let objects = self.of_kind(kind, since);
            let is_known = era == self.era.get();
            if era < self.closed.get() {
                return Err(StoreFault::NoAnswer("closed".to_owned()));
            }
            if is_known && !objects.is_empty() {
                let revision = self.revision();
                return Ok(Objects { objects, revision });
            }
            tokio::select! {
                () = changed => {}
                () = &mut limit => {
                    if era != self.era.get() {
                        // The connection stays open, and nothing comes on it.
                        sleep(Duration::from_millis(400)).await;
                        return Err(StoreFault::NoAnswer("silent".to_owned()));
                    }
                    return Ok(Objects { objects: Vec::new(), revision: since });
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
        self.admit().await?;
        let known = self.of_kind(kind, 0).into_iter().find(|o| o.name == name);
        let known = known.filter(|o| !o.is_removed);
        if known.as_ref().map(|o| o.revision) != expected {
            return Err(StoreFault::Conflict(known));
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
        self.admit().await?;
        let found = self.of_kind(kind, 0).into_iter().find(|o| o.name == name);
        Ok(found.filter(|o| !o.is_removed))
    }

    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault> {
        self.admit().await?;
        self.put(kind, name, None);
        Ok(())
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
        })
    }

    fn config(&self, object: &Object) -> Option<ServingConfig> {
        Some(ServingConfig {
            version: object.value.as_ref()?["version"].as_u64()?,
            ..ServingConfig::default()
        })
    }
}
