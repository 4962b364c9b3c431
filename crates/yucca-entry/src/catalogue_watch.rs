//! Keeps the catalogue up to date from the object API.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use yucca_io::store::{Changes, StoreError};

use crate::host::Host;
use crate::shared_catalogue::Propagation;

/// Prefixes that cover the five kinds of catalogue objects with three watches. A single watch on
/// the empty prefix would also deliver every write of a claim, a lease and a usage object.
const WATCHED: [&str; 3] = ["e", "s", "owner/"];

/// Tracks which watched prefixes were listed at least once.
#[derive(Debug, Default)]
pub struct InitialListing {
    by_watch: [AtomicBool; WATCHED.len()],
}

impl InitialListing {
    /// Whether every watched prefix was listed.
    pub fn is_complete(&self) -> bool {
        self.by_watch.iter().all(|l| l.load(Ordering::Relaxed))
    }
}

/// Starts the threads that list and watch the catalogue. They run until the process exits.
///
/// # Errors
///
/// When a thread cannot be started.
pub fn spawn(host: &Arc<Host>, first_delay: Duration) -> std::io::Result<()> {
    for (index, prefix) in WATCHED.into_iter().enumerate() {
        let watch = Watch {
            host: Arc::clone(host),
            prefix,
            index,
        };
        thread::Builder::new()
            .name(format!("watch-{prefix}"))
            .spawn(move || {
                thread::sleep(first_delay);
                watch.run();
            })?;
    }
    Ok(())
}

struct Watch {
    host: Arc<Host>,
    prefix: &'static str,
    index: usize,
}

impl Watch {
    fn run(&self) {
        let mut revision = None;
        loop {
            let started = Instant::now();
            let result = match revision {
                None => self.list(),
                Some(after) => self.watch(after),
            };
            self.host
                .connectivity
                .record_store_result(result.as_ref().map(|_| ()));
            let pause_ms = match result {
                Ok(next) => {
                    revision = Some(next);
                    self.host.initial_listing.by_watch[self.index].store(true, Ordering::Relaxed);
                    self.host.timing.watch_rearm_ms
                }
                Err(StoreError::Expired) => {
                    revision = None;
                    self.host.timing.watch_rearm_ms
                }
                Err(_) => self.host.timing.store_retry_ms,
            };
            let pause = Duration::from_millis(pause_ms);
            thread::sleep(pause.saturating_sub(started.elapsed()));
        }
    }

    fn list(&self) -> Result<u64, StoreError> {
        let list = self.host.store.list(self.prefix)?;
        let present: HashSet<&str> = list.objects.iter().map(|o| o.key.as_str()).collect();
        // Deletions made while no watch was open show only as objects missing from the listing.
        self.host
            .catalogue
            .remove_absent(self.prefix, &present, list.revision);
        self.apply(&list, Propagation::Skip);
        Ok(list.revision)
    }

    fn watch(&self, after: u64) -> Result<u64, StoreError> {
        let changes = self
            .host
            .store
            .watch(self.prefix, after, self.host.timing.watch_ms)?;
        self.apply(&changes, Propagation::Announce);
        Ok(changes.revision.max(after))
    }

    fn apply(&self, changes: &Changes, propagation: Propagation) {
        for object in &changes.objects {
            self.host.catalogue.apply(
                &object.key,
                object.version,
                Some(&object.value),
                propagation,
            );
        }
        for deletion in &changes.deleted {
            self.host
                .catalogue
                .apply(&deletion.key, deletion.version, None, propagation);
        }
    }
}
