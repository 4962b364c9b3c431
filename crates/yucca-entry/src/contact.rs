//! Contact to the object API and to peers, which decides whether this host takes new work.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use yucca_io::clock::boot_ms;
use yucca_io::log;
use yucca_io::store::StoreError;
use yuccacove::event::Event;
use yuccacove::membership::{ConnectivityState, Contacts};

/// What a host last reached.
#[derive(Debug, Default)]
pub struct Contact {
    contacts: Mutex<Contacts>,
    store_is_lost: AtomicBool,
    was_isolated: AtomicBool,
    is_probing: AtomicBool,
    /// When a peer last answered, by the host's clock.
    peer_ms: AtomicU64,
}

impl Contact {
    /// Notes the result of a call; reports the loss and the return of the object API.
    pub fn store_result(&self, answered: Result<(), &StoreError>) {
        match answered {
            Err(StoreError::NoAnswer(detail)) => {
                if !self.store_is_lost.swap(true, Ordering::Relaxed) {
                    log::write(Event::StoreLost, &format!("detail={detail:?}"));
                }
            }
            _ => {
                self.lock().store_answered(boot_ms());
                if self.store_is_lost.swap(false, Ordering::Relaxed) {
                    log::write(Event::StoreBack, "");
                }
            }
        }
    }

    /// Notes that a peer answered, and when it last reached the object API.
    pub fn peer_answered(&self, store_seen_ms_ago: Option<u64>) {
        let now_ms = boot_ms();
        self.peer_ms.store(now_ms, Ordering::Relaxed);
        self.lock().peer_answered(store_seen_ms_ago, now_ms);
    }

    /// Whether the last call to the object API was not answered.
    pub fn is_store_lost(&self) -> bool {
        self.store_is_lost.load(Ordering::Relaxed)
    }

    /// Milliseconds since the object API last answered; `None` before its first answer.
    pub fn store_seen_ms_ago(&self) -> Option<u64> {
        self.lock().store_seen_ms_ago(boot_ms())
    }

    /// Whether a peer answered within the last `within_ms`.
    pub fn peer_is_recent(&self, within_ms: u64) -> bool {
        let last_ms = self.peer_ms.load(Ordering::Relaxed);
        last_ms > 0 && boot_ms().saturating_sub(last_ms) <= within_ms
    }

    /// Whether the object API may be probed now; no second probe begins before the end of the first.
    pub fn begin_probe(&self) -> bool {
        !self.is_probing.swap(true, Ordering::Relaxed)
    }

    /// Ends a probe of the object API.
    pub fn end_probe(&self) {
        self.is_probing.store(false, Ordering::Relaxed);
    }

    /// What the host reaches now.
    pub fn standing(&self) -> ConnectivityState {
        self.lock().connectivity(boot_ms())
    }

    /// Reports when the host is cut off and when it no longer is.
    pub fn report_standing(&self) {
        let is_isolated = !self.standing().takes_work();
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
