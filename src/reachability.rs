//! Whether a host has lost its own paths to the backends of a service, or some backends have failed.
//!
//! A backend that has crashed refuses connections or hangs in the same way as one behind a partition.
//! What tells them apart is the other backends: a host that can open connections to none of several has most
//! likely lost its own paths, and one of its service that it can open shows that it has not. Where a service has
//! a single backend, those of other services tell. What other hosts then reach decides; see `yucca_serve::proxies`.
//!
//! Only new connections count. On a partitioned host, open ones may go on.
//!
//! ```
//! use yuccacove::reachability::{Outcome, Reachability};
//!
//! let mut paths = Reachability::default();
//! paths.record("chat", "a", Outcome::Refused, 0);
//! assert!(paths.is_suspected("chat", 0) && !paths.is_partitioned("chat", 0));
//! paths.record("desk", "b", Outcome::Refused, 50);
//! assert!(paths.is_partitioned("chat", 50));
//! paths.record("chat", "c", Outcome::Opened, 80);
//! assert!(!paths.is_suspected("chat", 80) && !paths.is_partitioned("desk", 80));
//! ```

use std::hash::Hash;

use indexmap::IndexMap;

/// Time in ms for which an outcome counts.
const VALIDITY_MS: u64 = 3_000;
/// Backends of all services that must be unreachable at least: one that has crashed says nothing of the others.
const MIN_UNREACHABLE: usize = 2;

/// Outcome of an attempt to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was opened.
    Opened,
    /// It was refused or reset.
    Refused,
    /// Nothing answered in time.
    Silent,
}

/// Latest outcomes of attempts to connect to backends, by service.
#[derive(Debug)]
pub struct Reachability<K> {
    services: IndexMap<String, ServiceOutcomes<K>>,
}

/// Latest outcomes of attempts to connect to the backends of one service.
#[derive(Debug)]
struct ServiceOutcomes<K> {
    /// Backends that were opened, with the time.
    opened: IndexMap<K, u64>,
    /// Backends that were not reached since any was opened, with the time of the latest attempt.
    unreachable: IndexMap<K, (Outcome, u64)>,
}

impl<K> Default for Reachability<K> {
    fn default() -> Self {
        Self {
            services: IndexMap::new(),
        }
    }
}

impl<K> Default for ServiceOutcomes<K> {
    fn default() -> Self {
        Self {
            opened: IndexMap::new(),
            unreachable: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq> Reachability<K> {
    /// Records the outcome of an attempt to connect to a backend of a service.
    pub fn record(&mut self, service: &str, backend: K, outcome: Outcome, now_ms: u64) {
        let outcomes = match self.services.get_mut(service) {
            Some(outcomes) => outcomes,
            None => self.services.entry(service.to_owned()).or_default(),
        };
        outcomes.record(backend, outcome, now_ms);
    }

    /// Whether a backend of the service was unreachable and none was reached since, so that another should be
    /// tried.
    pub fn is_suspected(&self, service: &str, now_ms: u64) -> bool {
        self.unreachable(service, now_ms).next().is_some()
    }

    /// Returns the services of which [`Reachability::is_suspected`] holds.
    pub fn suspected(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let services = self.services.keys().map(String::as_str);
        services.filter(move |service| self.is_suspected(service, now_ms))
    }

    /// Whether the host has most likely lost its paths to the backends of the service.
    pub fn is_partitioned(&self, service: &str, now_ms: u64) -> bool {
        self.is_suspected(service, now_ms)
            && self.all_unreachable(now_ms).count() >= MIN_UNREACHABLE
    }

    /// Returns the services of which [`Reachability::is_partitioned`] holds.
    pub fn partitioned(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let is_partitioned = self.all_unreachable(now_ms).count() >= MIN_UNREACHABLE;
        self.suspected(now_ms).filter(move |_| is_partitioned)
    }

    /// Whether the host is partitioned from the service and nothing answers, so that open connections hang as well.
    pub fn is_silent(&self, service: &str, now_ms: u64) -> bool {
        let is_silent = |outcome: &Outcome| *outcome == Outcome::Silent;
        let silent = self.all_unreachable(now_ms).filter(is_silent).count();
        let is_all = self.unreachable(service, now_ms).all(|o| is_silent(&o));
        self.is_suspected(service, now_ms) && is_all && silent >= MIN_UNREACHABLE
    }

    /// Whether an attempt to connect to any backend of the service has succeeded lately.
    pub fn has_opened(&self, service: &str, now_ms: u64) -> bool {
        let outcomes = self.services.get(service);
        outcomes.is_some_and(|o| o.opened.values().any(|at_ms| is_valid(*at_ms, now_ms)))
    }

    /// Whether the latest attempt to connect to a backend was lately and has succeeded.
    pub fn is_opened(&self, service: &str, backend: &K, now_ms: u64) -> bool {
        let at_ms = self
            .services
            .get(service)
            .and_then(|o| o.opened.get(backend));
        at_ms.is_some_and(|at_ms| is_valid(*at_ms, now_ms))
    }

    fn unreachable(&self, service: &str, now_ms: u64) -> impl Iterator<Item = Outcome> {
        let outcomes = self.services.get(service).into_iter();
        outcomes.flat_map(move |outcomes| outcomes.unreachable(now_ms))
    }

    fn all_unreachable(&self, now_ms: u64) -> impl Iterator<Item = Outcome> {
        let outcomes = self.services.values();
        outcomes.flat_map(move |outcomes| outcomes.unreachable(now_ms))
    }
}

impl<K: Hash + Eq> ServiceOutcomes<K> {
    fn record(&mut self, backend: K, outcome: Outcome, now_ms: u64) {
        self.opened.retain(|_, at_ms| is_valid(*at_ms, now_ms));
        if outcome == Outcome::Opened {
            self.unreachable.clear();
            self.opened.insert(backend, now_ms);
            return;
        }
        self.unreachable
            .retain(|_, (_, at_ms)| is_valid(*at_ms, now_ms));
        self.opened.swap_remove(&backend);
        self.unreachable.insert(backend, (outcome, now_ms));
    }

    fn unreachable(&self, now_ms: u64) -> impl Iterator<Item = Outcome> {
        let latest = self.unreachable.values();
        let valid = latest.filter(move |(_, at_ms)| is_valid(*at_ms, now_ms));
        valid.map(|(outcome, _)| *outcome)
    }
}

fn is_valid(at_ms: u64, now_ms: u64) -> bool {
    now_ms <= at_ms + VALIDITY_MS
}
