//! Outlier detection: failing backends are ejected from their pool and return with a slow start.
//!
//! ```
//! use yuccacove::health::{Pool, Transition};
//!
//! let mut pool = Pool::default();
//! let (first, _second) = (pool.add(), pool.add());
//! assert_eq!(pool.probed(first, false, 1_000), Some(Transition::Ejected));
//! assert_eq!(pool.traffic_share(first, 1_500), 0.0);
//! assert_eq!(pool.probed(first, true, 2_000), Some(Transition::Returned));
//! assert_eq!(pool.traffic_share(first, 2_000), 0.1);
//! assert_eq!(pool.traffic_share(first, 12_000), 1.0);
//! ```

/// Number of consecutive failures after which a backend is ejected.
pub const FAILURES_TO_EJECT: u32 = 5;

/// Maximum share of a pool's backends that may be ejected at the same time, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// Interval between two probes of an ejected backend.
pub const PROBE_INTERVAL_MS: u64 = 1_000;

/// Share of its normal traffic that a backend receives directly after its return.
pub const SLOW_START_SHARE: f64 = 0.1;

/// Time from a backend's return until it receives its full share of traffic again.
pub const SLOW_START_MS: u64 = 10_000;

/// Identifies a backend in its [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BackendKey(u32);

/// A change of a backend's state, to be logged by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The backend receives no more work.
    Ejected,
    /// The backend receives work again, at first a part of its normal share.
    Returned,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Removed,
    Serving,
    Ejected { probe_at_ms: u64 },
    Returning { since_ms: u64 },
}

#[derive(Debug, Clone, Copy)]
struct Backend {
    state: State,
    consecutive_failures: u32,
}

/// Health of the backends of one service, as seen by this host.
#[derive(Debug, Default)]
pub struct Pool {
    backends: Vec<Backend>,
}

impl Pool {
    /// Adds a backend with its full share of traffic.
    pub fn add(&mut self) -> BackendKey {
        let backend = Backend {
            state: State::Serving,
            consecutive_failures: 0,
        };
        let free = self.backends.iter().position(|b| b.state == State::Removed);
        let index = free.unwrap_or(self.backends.len());
        if index == self.backends.len() {
            self.backends.push(backend);
        } else {
            self.backends[index] = backend;
        }
        BackendKey(u32::try_from(index).expect("pools hold fewer than 2^32 backends"))
    }

    /// Removes a backend. Its key may be reused for a backend that is added later.
    pub fn remove(&mut self, key: BackendKey) {
        self.backend(key).state = State::Removed;
    }

    /// Records that a request succeeded.
    pub fn succeeded(&mut self, key: BackendKey) {
        self.backend(key).consecutive_failures = 0;
    }

    /// Records that a request sent at `sent_ms` failed through the backend's fault.
    ///
    /// During the slow start, a single failure ejects the backend again. Failures of requests that
    /// were sent before its return do not count, since they stem from the fault that ejected it.
    pub fn failed(&mut self, key: BackendKey, sent_ms: u64, now_ms: u64) -> Option<Transition> {
        let backend = self.backend(key);
        match backend.state {
            State::Removed | State::Ejected { .. } => None,
            State::Returning { since_ms } if sent_ms < since_ms => None,
            State::Returning { since_ms } if now_ms < since_ms + SLOW_START_MS => {
                self.eject(key, now_ms)
            }
            State::Serving | State::Returning { .. } => {
                backend.consecutive_failures += 1;
                if backend.consecutive_failures < FAILURES_TO_EJECT {
                    return None;
                }
                self.eject(key, now_ms)
            }
        }
    }

    /// Records the result of a probe, which must use a new connection.
    pub fn probed(&mut self, key: BackendKey, reachable: bool, now_ms: u64) -> Option<Transition> {
        let backend = self.backend(key);
        match (backend.state, reachable) {
            (State::Removed, _) | (State::Serving | State::Returning { .. }, true) => None,
            (State::Ejected { .. }, true) => {
                *backend = Backend {
                    state: State::Returning { since_ms: now_ms },
                    consecutive_failures: 0,
                };
                Some(Transition::Returned)
            }
            (State::Ejected { .. }, false) => {
                backend.state = State::Ejected {
                    probe_at_ms: now_ms + PROBE_INTERVAL_MS,
                };
                None
            }
            (State::Serving | State::Returning { .. }, false) => self.eject(key, now_ms),
        }
    }

    /// Share of its normal traffic that the backend may receive, from 0 (ejected) to 1.
    pub fn traffic_share(&self, key: BackendKey, now_ms: u64) -> f64 {
        match self.backends[key.0 as usize].state {
            State::Removed | State::Ejected { .. } => 0.0,
            State::Serving => 1.0,
            State::Returning { since_ms } => {
                let passed = now_ms.saturating_sub(since_ms).min(SLOW_START_MS);
                SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * passed as f64 / SLOW_START_MS as f64
            }
        }
    }

    /// Ejected backends whose next probe is due. Each stays due until [`Pool::probed`] records a
    /// result.
    pub fn probes_due(&self, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        (0..).zip(&self.backends).filter_map(move |(index, b)| {
            matches!(b.state, State::Ejected { probe_at_ms } if probe_at_ms <= now_ms)
                .then_some(BackendKey(index))
        })
    }

    fn eject(&mut self, key: BackendKey, now_ms: u64) -> Option<Transition> {
        let count = |predicate: fn(&State) -> bool| {
            self.backends.iter().filter(|b| predicate(&b.state)).count()
        };
        let members = count(|s| *s != State::Removed);
        let ejected = count(|s| matches!(s, State::Ejected { .. }));
        if (ejected + 1) * 100 > members * MAX_EJECTED_PERCENT {
            return None;
        }
        self.backend(key).state = State::Ejected {
            probe_at_ms: now_ms + PROBE_INTERVAL_MS,
        };
        Some(Transition::Ejected)
    }

    fn backend(&mut self, key: BackendKey) -> &mut Backend {
        &mut self.backends[key.0 as usize]
    }
}
