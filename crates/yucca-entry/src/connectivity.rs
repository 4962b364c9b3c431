//! Connectivity to the object API and to peers, which decides whether this host accepts new work.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use yucca_io::clock::boot_ms;
use yucca_io::log;
use yucca_io::store::StoreError;
use yuccacove::event::Event;
use yuccacove::membership::{ConnectivityState, Contacts};

/// Tracks when the object API and peers last responded.
#[derive(Debug, Default)]
pub struct ConnectivityMonitor {
    contacts: Mutex<Contacts>,
    store_is_unavailable: AtomicBool,
    was_isolated: AtomicBool,
    is_probing: AtomicBool,
    /// When a peer last responded, in milliseconds since boot; 0 before the first response.
    peer_response_ms: AtomicU64,
}

impl ConnectivityMonitor {
    /// Records the result of a call to the object API, and logs when the API becomes unavailable
    /// and when it responds again.
    pub fn record_store_result(&self, result: Result<(), &StoreError>) {
        match result {
            Err(StoreError::NoAnswer(detail)) => {
                if !self.store_is_unavailable.swap(true, Ordering::Relaxed) {
                    log::write(Event::StoreLost, &format!("detail={detail:?}"));
                }
            }
            _ => {
                self.lock().store_answered(boot_ms());
                if self.store_is_unavailable.swap(false, Ordering::Relaxed) {
                    log::write(Event::StoreBack, "");
                }
            }
        }
    }

    /// Records that a peer responded, and how long ago the peer last reached the object API.
    pub fn record_peer_response(&self, store_seen_ms_ago: Option<u64>) {
        let now_ms = boot_ms();
        self.peer_response_ms.store(now_ms, Ordering::Relaxed);
        self.lock().peer_answered(store_seen_ms_ago, now_ms);
    }

    /// Whether the last call to the object API got no response.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_is_unavailable.load(Ordering::Relaxed)
    }

    /// Milliseconds since the object API last responded; `None` before its first response.
    pub fn store_seen_ms_ago(&self) -> Option<u64> {
        self.lock().store_seen_ms_ago(boot_ms())
    }

    /// Whether a peer responded within the last `within_ms` milliseconds.
    pub fn peer_is_recent(&self, within_ms: u64) -> bool {
        let last_ms = self.peer_response_ms.load(Ordering::Relaxed);
        last_ms > 0 && boot_ms().saturating_sub(last_ms) <= within_ms
    }

    /// Starts a probe of the object API; `false` while another probe is running.
    pub fn begin_probe(&self) -> bool {
        !self.is_probing.swap(true, Ordering::Relaxed)
    }

    /// Ends a probe of the object API.
    pub fn end_probe(&self) {
        self.is_probing.store(false, Ordering::Relaxed);
    }

    /// Current connectivity of this host.
    pub fn state(&self) -> ConnectivityState {
        self.lock().connectivity(boot_ms())
    }

    /// Logs when this host becomes isolated and when it no longer is.
    pub fn log_state_change(&self) {
        let is_isolated = !self.state().takes_work();
        if is_isolated != self.was_isolated.swap(is_isolated, Ordering::Relaxed) {
            let event = if is_isolated {
                Event::Isolated
            } else {
                Event::Rejoined
            };
            log::write(event, "");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contacts> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
