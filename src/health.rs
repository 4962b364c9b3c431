//! Ejection of failing back ends and their gradual return.
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

/// Consecutive failures after which a back end is ejected.
pub const FAILURES_TO_EJECT: u32 = 5;

/// Largest part of a pool that may be ejected at a time, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// Time between two probes of an ejected back end.
pub const PROBE_INTERVAL_MS: u64 = 1_000;

/// Part of its traffic with which a back end returns.
pub const SLOW_START_SHARE: f64 = 0.1;

/// Time from a back end's return until it takes all of its traffic.
pub const SLOW_START_MS: u64 = 10_000;

/// Index of a back end in its [`Pool`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BackendKey(u32);

/// A change of a back end's state that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The back end gets no more work.
    Ejected,
    /// The back end gets a growing part of its traffic.
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
    failures: u32,
}

/// Health of the back ends of one service, as seen by this host.
#[derive(Debug, Default)]
pub struct Pool {
    backends: Vec<Backend>,
}

impl Pool {
    /// Adds a back end that takes all of its traffic.
    pub fn add(&mut self) -> BackendKey {
        let backend = Backend {
            state: State::Serving,
            failures: 0,
        };
        let free = self.backends.iter().position(|b| b.state == State::Removed);
        let index = free.unwrap_or(self.backends.len());
        if index == self.backends.len() {
            self.backends.push(backend);
        } else {
            self.backends[index] = backend;
        }
        BackendKey(u32::try_from(index).expect("pools hold fewer than 2^32 back ends"))
    }

    /// Removes a back end; its key may be given to a later one.
    pub fn remove(&mut self, key: BackendKey) {
        self.backend(key).state = State::Removed;
    }

    /// Records that a request ended well.
    pub fn succeeded(&mut self, key: BackendKey) {
        self.backend(key).failures = 0;
    }

    /// Records that a request sent at `sent_ms` failed through the back end's fault.
    ///
    /// One failure ejects a back end again while it returns. Failures of requests that were sent
    /// before its return are late news of the fault that ejected it and do not count.
    pub fn failed(&mut self, key: BackendKey, sent_ms: u64, now_ms: u64) -> Option<Transition> {
        let backend = self.backend(key);
        match backend.state {
            State::Removed | State::Ejected { .. } => None,
            State::Returning { since_ms } if sent_ms < since_ms => None,
            State::Returning { since_ms } if now_ms < since_ms + SLOW_START_MS => {
                self.eject(key, now_ms)
            }
            State::Serving | State::Returning { .. } => {
                backend.failures += 1;
                if backend.failures < FAILURES_TO_EJECT {
                    return None;
                }
                self.eject(key, now_ms)
            }
        }
    }

    /// Records the result of a probe on a fresh connection.
    pub fn probed(&mut self, key: BackendKey, reachable: bool, now_ms: u64) -> Option<Transition> {
        let backend = self.backend(key);
        match (backend.state, reachable) {
            (State::Removed, _) | (State::Serving | State::Returning { .. }, true) => None,
            (State::Ejected { .. }, true) => {
                *backend = Backend {
                    state: State::Returning { since_ms: now_ms },
                    failures: 0,
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

    /// Part of its traffic that the back end may take, from 0 (ejected) to 1.
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

    /// Ejected back ends whose next probe is due; each stays due until its result is recorded.
    pub fn probes_due(&self, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        (0..).zip(&self.backends).filter_map(move |(index, b)| {
            matches!(b.state, State::Ejected { probe_at_ms } if probe_at_ms <= now_ms)
                .then_some(BackendKey(index))
        })
    }

    fn eject(&mut self, key: BackendKey, now_ms: u64) -> Option<Transition> {
        let count =
            |wanted: fn(&State) -> bool| self.backends.iter().filter(|b| wanted(&b.state)).count();
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
