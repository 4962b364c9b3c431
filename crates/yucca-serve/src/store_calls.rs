//! Counts the calls to the object store, by operation, kind of objects and outcome.
//!
//! Each call has a price. The metrics and the log show which calls grow with the size of the fleet.
//! Each page of a listing is a call.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;

use indexmap::IndexMap;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use serde_json::Value;
use tokio::time::{Duration, sleep};
use yucca_io::log;
use yuccacove::event::Event;

use crate::config::ServingConfig;
use crate::directory::BackendEntry;
use crate::listing::list;
use crate::ports::{ConfigFault, Freshness, Kind, Object, ObjectStore, Objects, Page, StoreFault};

/// Interval at which the calls since the last line are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// What a call asks of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Operation {
    /// A page of a listing in its latest state.
    List,
    /// A page of a listing that may be stale.
    LaggingList,
    /// A watch for changes.
    Watch,
    /// A conditional write.
    Write,
    /// A read of one object in its latest state.
    Read,
    /// A read of one object that may be stale.
    LaggingRead,
    /// A removal.
    Remove,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The store performed the call. A watch also counts here if it ended without changes.
    Done,
    /// A watch ended with changes.
    Changed,
    /// The store refused the call or its precondition failed.
    Refused,
    /// No response arrived.
    NoAnswer,
    /// The caller stopped waiting.
    Abandoned,
}

/// Labels of the counter of calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// What the call asks of the store.
    pub operation: Operation,
    /// Kind of objects.
    pub kind: Kind,
    /// How the call ended.
    pub outcome: Outcome,
}

/// Label of the counter of stalled listings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Kind of objects.
    pub kind: Kind,
}

/// Numbers of calls by operation, kind of objects and outcome.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// Calls since the start of the process.
    pub total: Family<CallLabels, Counter>,
    /// Listings whose pages did not lead to the end, since the start of the process.
    pub stalled_listings: Family<KindLabel, Counter>,
    /// Calls since the last line in the log.
    unreported: RefCell<IndexMap<CallLabels, u64>>,
}

impl StoreCalls {
    fn count(&self, labels: &CallLabels) {
        self.total.get_or_create(labels).inc();
        let mut unreported = self.unreported.borrow_mut();
        *unreported.entry(labels.clone()).or_default() += 1;
    }

    /// Returns the calls since the last time as fields of a log line; empty if there were none.
    pub fn take_unreported(&self) -> String {
        let unreported = std::mem::take(&mut *self.unreported.borrow_mut());
        let mut fields = String::new();
        for (labels, calls) in unreported {
            let CallLabels {
                operation,
                kind,
                outcome,
            } = labels;
            // Writing to a string does not fail.
            let _ = write!(fields, "{operation:?}/{kind:?}/{outcome:?}={calls} ");
        }
        fields
    }
}

/// An object store whose calls are counted.
#[derive(Debug)]
pub struct CountedStore<S> {
    store: Rc<S>,
    calls: Rc<StoreCalls>,
}

impl<S> CountedStore<S> {
    /// Counts the calls to `store` in `calls`.
    pub fn new(store: Rc<S>, calls: Rc<StoreCalls>) -> Self {
        Self { store, calls }
    }

    fn begin(&self, operation: Operation, kind: Kind) -> PendingCall<'_> {
        PendingCall {
            calls: &self.calls,
            labels: CallLabels {
                operation,
                kind,
                outcome: Outcome::Abandoned,
            },
        }
    }
}

/// A call that has begun. It is counted when this value is dropped, as abandoned unless its result
/// has been recorded.
struct PendingCall<'a> {
    calls: &'a StoreCalls,
    labels: CallLabels,
}

impl PendingCall<'_> {
    fn record<T>(&mut self, result: Result<T, StoreFault>) -> Result<T, StoreFault> {
        self.labels.outcome = match &result {
            Ok(_) => Outcome::Done,
            Err(StoreFault::NoAnswer(_) | StoreFault::Stalled(_)) => Outcome::NoAnswer,
            Err(_) => Outcome::Refused,
        };
        result
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.calls.count(&self.labels);
    }
}

impl<S: ObjectStore> ObjectStore for CountedStore<S> {
    async fn page(
        &self,
        kind: Kind,
        freshness: Freshness,
        after: Option<&[u8]>,
    ) -> Result<Page, StoreFault> {
        let operation = match freshness {
            Freshness::Latest => Operation::List,
            Freshness::MayLag => Operation::LaggingList,
        };
        let mut call = self.begin(operation, kind);
        call.record(self.store.page(kind, freshness, after).await)
    }

    async fn list(&self, kind: Kind, freshness: Freshness) -> Result<Objects, StoreFault> {
        let result = list(self, kind, freshness).await;
        if matches!(result, Err(StoreFault::Stalled(_))) {
            let label = KindLabel { kind };
            self.calls.stalled_listings.get_or_create(&label).inc();
        }
        result
    }

    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault> {
        let mut call = self.begin(Operation::Watch, kind);
        let result = call.record(self.store.watch(kind, since, wait_ms).await);
        if result.as_ref().is_ok_and(|o| !o.objects.is_empty()) {
            call.labels.outcome = Outcome::Changed;
        }
        result
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreFault> {
        let mut call = self.begin(Operation::Write, kind);
        call.record(self.store.write(kind, name, expected, value).await)
    }

    async fn read(
        &self,
        kind: Kind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreFault> {
        let operation = match freshness {
            Freshness::Latest => Operation::Read,
            Freshness::MayLag => Operation::LaggingRead,
        };
        let mut call = self.begin(operation, kind);
        call.record(self.store.read(kind, name, freshness).await)
    }

    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault> {
        let mut call = self.begin(Operation::Remove, kind);
        call.record(self.store.remove(kind, name).await)
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    fn backend(&self, object: &Object) -> Option<BackendEntry> {
        self.store.backend(object)
    }

    fn config(&self, object: &Object) -> Result<ServingConfig, ConfigFault> {
        self.store.config(object)
    }
}

/// Logs the calls since the last line for as long as the process lives.
pub async fn report_calls(calls: Rc<StoreCalls>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let fields = calls.take_unreported();
        if !fields.is_empty() {
            log::write(Event::StoreCalls, fields.trim_end());
        }
    }
}
