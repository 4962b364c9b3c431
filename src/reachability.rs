//! Whether a host has lost its own paths to the backends of a service, or some backends have failed.
//!
//! A backend that has crashed refuses connections or hangs in the same way as one behind a partition.
//! What tells them apart is the other backends: a host that can open connections to none of several has most
//! likely lost its own paths, and one that it can open shows that it has not. What other hosts
//! then reach decides; see `yucca_serve::proxies`.
//!
//! Only new connections count. On a partitioned host, open ones may go on.
//!
//! ```
//! use yuccacove::reachability::{Outcome, Reachability};
//!
//! let mut paths = Reachability::default();
//! paths.record("a", Outcome::Refused, 0);
//! assert!(paths.is_suspected(0) && !paths.is_partitioned(0));
//! paths.record("b", Outcome::Refused, 50);
//! assert!(paths.is_partitioned(50));
//! paths.record("c", Outcome::Opened, 80);
//! assert!(!paths.is_suspected(80));
//! ```

use std::hash::Hash;

use indexmap::IndexMap;

/// Time in ms for which an outcome counts.
const VALIDITY_MS: u64 = 3_000;
/// Backends that must be unreachable at least: one that has crashed says nothing of the others.
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

/// The latest outcomes at the backends of one service, by backend.
#[derive(Debug)]
pub struct Reachability<K> {
    /// Backends that were opened, with the time.
    opened: IndexMap<K, u64>,
    /// Backends that were not reached since any was opened, with the time of the latest attempt.
    unreachable: IndexMap<K, (Outcome, u64)>,
}

impl<K> Default for Reachability<K> {
    fn default() -> Self {
        Self {
            opened: IndexMap::new(),
            unreachable: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq> Reachability<K> {
    /// Records the outcome of an attempt to connect to a backend.
    pub fn record(&mut self, backend: K, outcome: Outcome, now_ms: u64) {
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

    /// Whether a backend was unreachable and none was reached since, so that another should be tried.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        self.unreachable(now_ms).next().is_some()
    }

    /// Whether the host has most likely lost its paths to the backends.
    pub fn is_partitioned(&self, now_ms: u64) -> bool {
        self.unreachable(now_ms).count() >= MIN_UNREACHABLE
    }

    /// Whether the host is partitioned and nothing answers, so that open connections hang as well.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.is_partitioned(now_ms) && self.unreachable(now_ms).all(|o| o == Outcome::Silent)
    }

    /// Whether an attempt to connect to any backend has succeeded lately.
    pub fn has_opened(&self, now_ms: u64) -> bool {
        self.opened.values().any(|at_ms| is_valid(*at_ms, now_ms))
    }

    /// Whether the latest attempt to connect to a backend was lately and has succeeded.
    pub fn is_opened(&self, backend: &K, now_ms: u64) -> bool {
        let at_ms = self.opened.get(backend);
        at_ms.is_some_and(|at_ms| is_valid(*at_ms, now_ms))
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
