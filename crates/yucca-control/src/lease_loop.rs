//! Keeps, takes and gives back the lease on one pool.

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

/// Longest wait before the lease is looked at again.
const MAX_WAIT_MS: u64 = 500;
/// Pause after a call that the store did not answer or refused.
const RETRY_MS: u64 = 200;
/// How long a planned stop tries to give a lease back; without success it lapses by its TTL.
const GIVE_BACK_MS: u64 = 3_000;

/// This host's side of the lease on one pool.
#[derive(Debug)]
pub struct PoolLease {
    pool: String,
    state: Mutex<LeaseState>,
}

impl PoolLease {
    /// A lease that was not looked at yet.
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

    /// The host's authority at this moment, to be asked for directly before each write and order.
    pub fn authority(&self) -> Option<Authority> {
        self.lock().authority(boot_ms())
    }

    /// The lease as last seen.
    pub fn lease(&self) -> Option<Lease> {
        self.lock().lease().cloned()
    }

    /// Runs the lease until the process stops and the lease is given back.
    pub fn run(&self, shared: &Arc<Shared>) {
        let store = Store::open(shared.config.store);
        let mut held_epoch = None;
        let mut stop_by_ms = None;
        loop {
            let seen = shared.view.changes();
            let now_ms = boot_ms();
            if shared.is_stopping() {
                let by_ms = *stop_by_ms.get_or_insert(now_ms + GIVE_BACK_MS);
                self.lock().stop();
                if now_ms > by_ms {
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
            self.report_change(shared, &mut held_epoch);
        }
    }

    fn write(&self, shared: &Shared, store: &Store, write: Write<Lease>) {
        shared.metrics.store_writes.inc();
        let key = lease::key(&self.pool);
        let result = match store.put(&key, write.expected, &json!(write.value)) {
            Ok(version) => WriteResult::Written(version),
            Err(StoreError::Conflict(_)) => match self.get(shared, store) {
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
        match self.get(shared, store) {
            Ok(stored) => self.lock().reread(stored, boot_ms()),
            Err(_) => thread::sleep(Duration::from_millis(RETRY_MS)),
        }
    }

    fn get(&self, shared: &Shared, store: &Store) -> Result<Stored<Lease>, StoreError> {
        shared.metrics.store_reads.inc();
        let object: Option<StoredObject> = store.get(&lease::key(&self.pool))?;
        // A value that is no lease keeps its version, so that a write can replace it.
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

    fn report_change(&self, shared: &Shared, held_epoch: &mut Option<u64>) {
        let epoch = self.authority().map(|authority| authority.epoch);
        if epoch == *held_epoch {
            return;
        }
        let pool = &self.pool;
        match (epoch, *held_epoch) {
            (Some(epoch), _) => {
                yucca_io::log::write(Event::LeaseTaken, &format!("pool={pool} epoch={epoch}"));
            }
            (None, Some(lost)) => {
                yucca_io::log::write(Event::LeaseLost, &format!("pool={pool} epoch={lost}"));
            }
            (None, None) => {}
        }
        *held_epoch = epoch;
        // The order loop of the pool waits for changes.
        shared.view.wake();
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
