//! Whether a host has lost its own paths to the backends of a service, or the backends have failed.
//!
//! A backend that has crashed refuses connections or hangs in the same way as one behind a partition.
//! What tells them apart is the other backends: they seldom fail together, and a host that can open a connection
//! to none of several has most likely lost its own paths. What other hosts then reach decides; see
//! `yucca_serve::proxies`.
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
//! paths.record("b", Outcome::Opened, 90);
//! assert!(!paths.is_partitioned(90));
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
    latest: IndexMap<K, (Outcome, u64)>,
}

impl<K> Default for Reachability<K> {
    fn default() -> Self {
        Self {
            latest: IndexMap::new(),
        }
    }
}

impl<K: Hash + Eq> Reachability<K> {
    /// Records the outcome of an attempt to connect to a backend.
    pub fn record(&mut self, backend: K, outcome: Outcome, now_ms: u64) {
        self.latest.retain(|_, (_, at_ms)| is_valid(*at_ms, now_ms));
        self.latest.insert(backend, (outcome, now_ms));
    }

    /// Whether more backends are unreachable than reachable, so that others should be tried.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        self.unreachable(now_ms) > self.count(now_ms, |outcome| outcome == Outcome::Opened)
    }

    /// Whether the host has most likely lost its paths to the backends.
    pub fn is_partitioned(&self, now_ms: u64) -> bool {
        self.is_suspected(now_ms) && self.unreachable(now_ms) >= MIN_UNREACHABLE
    }

    /// Whether the host is partitioned and nothing answers, so that open connections hang as well.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        self.is_partitioned(now_ms)
            && self.count(now_ms, |outcome| outcome == Outcome::Refused) == 0
    }

    /// Whether an attempt to connect to any backend has succeeded lately.
    pub fn has_opened(&self, now_ms: u64) -> bool {
        self.count(now_ms, |outcome| outcome == Outcome::Opened) > 0
    }

    /// Whether an attempt to connect to a backend has succeeded lately.
    pub fn is_opened(&self, backend: &K, now_ms: u64) -> bool {
        let latest = self.latest.get(backend);
        latest
            .is_some_and(|(outcome, at_ms)| *outcome == Outcome::Opened && is_valid(*at_ms, now_ms))
    }

    fn unreachable(&self, now_ms: u64) -> usize {
        self.count(now_ms, |outcome| outcome != Outcome::Opened)
    }

    fn count(&self, now_ms: u64, is_meant: impl Fn(Outcome) -> bool) -> usize {
        let latest = self.latest.values();
        let valid = latest.filter(|(_, at_ms)| is_valid(*at_ms, now_ms));
        valid.filter(|(outcome, _)| is_meant(*outcome)).count()
    }
}

fn is_valid(at_ms: u64, now_ms: u64) -> bool {
    now_ms <= at_ms + VALIDITY_MS
}
