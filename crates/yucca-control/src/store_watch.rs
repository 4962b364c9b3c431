//! Keeps the view of the store current, with an initial listing and then watches for each key
//! prefix.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use yucca_io::clock::boot_ms;
use yucca_io::store::{Store, StoreError};
use yuccacove::event::Event;
use yuccacove::lease::{POLL_INTERVAL_MS, Standby};

use crate::daemon::Shared;

/// Time for which the store may hold a watch open. A planned stop does not wait for its end.
const WATCH_MS: u64 = 20_000;
/// Minimum time between the starts of two watches of a prefix, so that a rollout causes at most two
/// calls per second.
const MIN_WATCH_INTERVAL_MS: u64 = 500;
/// Minimum pause after a failed call. Each host adds an offset of its own of up to the same length,
/// so that the hosts do not all retry at the same time.
const RETRY_MS: u64 = 1_000;

fn min_interval_ms(shared: &Shared, prefix: &str) -> u64 {
    match (prefix, shared.config.standby) {
        ("lease/", Standby::Polling) => POLL_INTERVAL_MS,
        _ => MIN_WATCH_INTERVAL_MS,
    }
}

/// Lists and then watches the objects whose keys start with `prefix`, until the process stops.
pub fn run(shared: &Arc<Shared>, prefix: &'static str) {
    let store = Store::new(shared.config.store);
    thread::sleep(Duration::from_millis(shared.config.initial_list_delay_ms()));
    let mut revision = None;
    let mut is_unavailable = false;
    while !shared.is_stopping() {
        let started_ms = boot_ms();
        shared.metrics.store_reads.inc();
        let result = match revision {
            None => store.list(prefix).map(|list| {
                shared.view.apply_list(prefix, &list);
                list.revision
            }),
            Some(after) => {
                // After a failure, a watch with a timeout of 0 returns at once if the store is
                // reachable again.
                let timeout_ms = if is_unavailable { 0 } else { WATCH_MS };
                store.watch(prefix, after, timeout_ms).map(|changes| {
                    shared.view.apply_changes(prefix, &changes);
                    changes.revision
                })
            }
        };
        let pause_ms = match result {
            Ok(current) => {
                if is_unavailable {
                    yucca_io::log::write(Event::StoreBack, &format!("prefix={prefix}"));
                }
                is_unavailable = false;
                revision = Some(current);
                shared.store_seen_ms.store(boot_ms(), Ordering::Relaxed);
                (started_ms + min_interval_ms(shared, prefix)).saturating_sub(boot_ms())
            }
            Err(StoreError::Expired) => {
                revision = None;
                MIN_WATCH_INTERVAL_MS
            }
            Err(error) => {
                if !is_unavailable {
                    let fields = format!("prefix={prefix} error={error:?}");
                    yucca_io::log::write(Event::StoreLost, &fields);
                }
                is_unavailable = true;
                RETRY_MS + shared.config.initial_list_delay_ms() % RETRY_MS
            }
        };
        thread::sleep(Duration::from_millis(pause_ms));
    }
}
