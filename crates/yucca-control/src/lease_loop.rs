//! Acquires, renews and releases the lease on one pool.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::json;
use yucca_io::clock::boot_ms;
use yucca_io::store::{Store, StoreError, StoredObject};
use yucca_io::writer::new_token;
use yuccacove::event::Event;
use yuccacove::lease::{self, Authority, Lease, LeaseState, Next, Standby, Timing};
use yuccacove::store::{Stored, Write, WriteResult};

use crate::daemon::Shared;
use crate::fleet_view::read_lease;

/// Maximum wait before the lease is checked again.
const MAX_WAIT_MS: u64 = 500;
/// Pause after a call to the store that failed.
const RETRY_MS: u64 = 200;
/// Time for which a planned stop tries to release a lease. If it fails, the lease expires after its
/// TTL.
const RELEASE_TIMEOUT_MS: u64 = 3_000;

/// This host's state of the lease on one pool.
#[derive(Debug)]
pub struct PoolLease {
    pool: String,
    state: Mutex<LeaseState>,
}

impl PoolLease {
    /// Creates the state for a lease that was not read yet.
    pub fn new(pool: &str, host: &str, standby: Standby) -> Self {
        let timing = Timing {
            stagger_ms: standby.stagger_ms(pool, host),
            ..Timing::default()
        };
        Self {
            pool: pool.to_owned(),
            state: Mutex::new(LeaseState::new(host.to_owned(), timing)),
        }
    }

    /// Name of the pool.
    pub fn pool(&self) -> &str {
        &self.pool
    }

    /// Authority of this host over the pool at this moment; `None` if it does not hold the lease.
    /// Must be checked immediately before each write and order.
    pub fn authority(&self) -> Option<Authority> {
        self.lock().authority(boot_ms())
    }

    /// Last observed state of the lease; `None` if it does not exist or was not read yet.
    pub fn lease(&self) -> Option<Lease> {
        self.lock().lease().cloned()
    }

    /// Acquires and renews the lease until the process stops, then releases it.
    pub fn run(&self, shared: &Arc<Shared>) {
        let store = Store::new(shared.config.store);
        let mut held_epoch = None;
        let mut release_deadline_ms = None;
        loop {
            let seen = shared.view.generation();
            let now_ms = boot_ms();
            if shared.is_stopping() {
                let deadline_ms = *release_deadline_ms.get_or_insert(now_ms + RELEASE_TIMEOUT_MS);
                self.lock().stop();
                if now_ms > deadline_ms {
                    return;
                }
            }
            if let Some(stored) = shared.view.lease(&self.pool) {
                self.lock().observe(stored, now_ms);
            }
            let next = self.lock().advance(now_ms, new_token());
            match next {
                Next::Write(write) => self.write(shared, &store, write),
                Next::Read => self.read(shared, &store),
                Next::Wait { until_ms } => {
                    let until_ms = until_ms.unwrap_or(now_ms + MAX_WAIT_MS);
                    let wait_ms = until_ms.saturating_sub(now_ms).clamp(1, MAX_WAIT_MS);
                    shared.view.wait(seen, wait_ms);
                }
                Next::Finished => return,
            }
            self.log_change(shared, &mut held_epoch);
        }
    }

    fn write(&self, shared: &Shared, store: &Store, write: Write<Lease>) {
        shared.metrics.store_writes.inc();
        let key = lease::key(&self.pool);
        let result = match store.put(&key, write.expected, &json!(write.value)) {
            Ok(version) => WriteResult::Written(version),
            Err(StoreError::Conflict(_)) => match self.fetch(shared, store) {
                Ok(stored) => WriteResult::Conflict(stored),
                Err(_) => WriteResult::Lost,
            },
            Err(_) => WriteResult::Lost,
        };
        let is_lost = matches!(result, WriteResult::Lost);
        self.lock().written(result, boot_ms());
        if is_lost {
            thread::sleep(Duration::from_millis(RETRY_MS));
        }
    }

    fn read(&self, shared: &Shared, store: &Store) {
        match self.fetch(shared, store) {
            Ok(stored) => self.lock().reread(stored, boot_ms()),
            Err(_) => thread::sleep(Duration::from_millis(RETRY_MS)),
        }
    }

    fn fetch(&self, shared: &Shared, store: &Store) -> Result<Stored<Lease>, StoreError> {
        shared.metrics.store_reads.inc();
        let object: Option<StoredObject> = store.get(&lease::key(&self.pool))?;
        // If the value is not a lease, its version is kept, so that a write can replace it.
        Ok(match object {
            Some(object) => read_lease(&object).unwrap_or(Stored {
                version: object.version,
                value: None,
            }),
            None => Stored {
                version: 0,
                value: None,
            },
        })
    }

    fn log_change(&self, shared: &Shared, held_epoch: &mut Option<u64>) {
        let epoch = self.authority().map(|authority| authority.epoch);
        if epoch == *held_epoch {
            return;
        }
        let pool = &self.pool;
        match (epoch, *held_epoch) {
            (Some(epoch), _) => {
                yucca_io::log::write(Event::LeaseTaken, &format!("pool={pool} epoch={epoch}"));
            }
            (None, Some(lost_epoch)) => {
                yucca_io::log::write(Event::LeaseLost, &format!("pool={pool} epoch={lost_epoch}"));
            }
            (None, None) => {}
        }
        *held_epoch = epoch;
        // The pool's order loop may be waiting for changes of the view.
        shared.view.wake_all();
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
