//! A host's connection to the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::Value;
use yucca_serve::config::ServingConfig;
use yucca_serve::directory::BackendEntry;
use yucca_serve::ports::{
    ConfigFault, Freshness, Kind, Object, ObjectStore, Objects, Page, StoreFault,
};

use super::{FakeStore, StoreMode, wait_ms};

/// A host's connection to the store, which can be interrupted.
#[derive(Debug)]
pub struct Link {
    store: Rc<FakeStore>,
    /// How the store behaves to this host.
    pub mode: Cell<StoreMode>,
    /// Time for which requests wait on their way to the store, and responses on their way back.
    pub delay_ms: Cell<u64>,
    /// Configuration from which those in the store differ by their version and the time limit of all routes,
    /// which have none left if that is missing; `None` for the store's own decoder.
    pub config_template: RefCell<Option<ServingConfig>>,
    /// Number of watches.
    pub watches: Cell<u64>,
    /// Number of listings.
    pub lists: Cell<u64>,
}

impl Link {
    /// Creates a connection that is not interrupted.
    pub fn new(store: &Rc<FakeStore>) -> Rc<Self> {
        Rc::new(Self {
            store: Rc::clone(store),
            mode: Cell::new(StoreMode::Up),
            delay_ms: Cell::new(0),
            config_template: RefCell::default(),
            watches: Cell::new(0),
            lists: Cell::new(0),
        })
    }

    async fn wait(&self) {
        if self.delay_ms.get() > 0 {
            wait_ms(self.delay_ms.get()).await;
        }
    }

    async fn check(&self) -> Result<(), StoreFault> {
        match self.mode.get() {
            StoreMode::Up => Ok(()),
            StoreMode::Refusing => Err(StoreFault::Refused(503)),
            StoreMode::Unresponsive => {
                wait_ms(1_000).await;
                Err(StoreFault::NoAnswer("disconnected".to_owned()))
            }
        }
    }
}

impl ObjectStore for Link {
    async fn page(
        &self,
        kind: Kind,
        freshness: Freshness,
        after: Option<&[u8]>,
    ) -> Result<Page, StoreFault> {
        self.check().await?;
        self.store.page(kind, freshness, after).await
    }

    async fn list(&self, kind: Kind, freshness: Freshness) -> Result<Objects, StoreFault> {
        self.lists.set(self.lists.get() + 1);
        self.check().await?;
        self.wait().await;
        let response = self.store.list(kind, freshness).await;
        self.wait().await;
        response
    }

    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault> {
        self.watches.set(self.watches.get() + 1);
        self.check().await?;
        self.wait().await;
        let response = self.store.watch(kind, since, wait_ms).await;
        self.wait().await;
        if self.mode.get() != StoreMode::Up {
            // A response that the store sends during the interruption is lost.
            return std::future::pending().await;
        }
        response
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreFault> {
        self.check().await?;
        self.store.write(kind, name, expected, value).await
    }

    async fn read(
        &self,
        kind: Kind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreFault> {
        self.check().await?;
        self.wait().await;
        let response = self.store.read(kind, name, freshness).await;
        self.wait().await;
        response
    }

    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault> {
        self.check().await?;
        self.store.remove(kind, name).await
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    fn backend(&self, object: &Object) -> Option<BackendEntry> {
        self.store.backend(object)
    }

    fn config(&self, object: &Object) -> Result<ServingConfig, ConfigFault> {
        let config = self.store.config(object)?;
        let template = self.config_template.borrow();
        let Some(mut decoded) = template.clone() else {
            return Ok(config);
        };
        decoded.version = config.version;
        let timeout_ms = object.value.as_ref().and_then(|v| v["timeout_ms"].as_u64());
        match timeout_ms {
            Some(timeout_ms) => decoded
                .routes
                .iter_mut()
                .for_each(|route| route.timeout_ms = timeout_ms),
            None => decoded.routes.clear(),
        }
        Ok(decoded)
    }
}
