//! Requests of this host that are in flight on each backend.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Counters of this host for a backend.
#[derive(Debug, Default)]
pub struct Backend {
    in_flight: AtomicUsize,
}

impl Backend {
    /// Requests of this host that the backend is working on.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            backend: Arc::clone(self),
        }
    }
}

/// A request in flight on a backend, counted until dropped.
#[derive(Debug)]
pub struct InFlight {
    backend: Arc<Backend>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All backends by their catalogue key.
#[derive(Debug, Default)]
pub struct Backends {
    by_key: Mutex<HashMap<String, Arc<Backend>>>,
}

impl Backends {
    /// The backend with the catalogue key `key`.
    pub fn get(&self, key: &str) -> Arc<Backend> {
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        match by_key.get(key) {
            Some(backend) => Arc::clone(backend),
            None => Arc::clone(by_key.entry(key.to_owned()).or_default()),
        }
    }

    /// Requests in flight by catalogue key.
    pub fn in_flight(&self) -> Vec<(String, usize)> {
        let by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        by_key
            .iter()
            .map(|(key, backend)| (key.clone(), backend.in_flight()))
            .collect()
    }
}
