//! Keeps the view current: one list and then one waiting watch for each prefix.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use yucca_io::clock::boot_ms;
use yucca_io::store::{Store, StoreError};
use yuccacove::event::Event;
use yuccacove::lease::{POLL_INTERVAL_MS, Standby};

use crate::daemon::Shared;

/// Time that the store may hold a watch open; also the longest delay of a planned stop's exit.
const WATCH_MS: u64 = 20_000;
/// Shortest time between two arms of a watch, so that a rollout costs two calls a second at most.
const REARM_MS: u64 = 500;
/// Pause after a failed call, plus up to as much again, different on each host.
const RETRY_MS: u64 = 1_000;

fn rearm_ms(shared: &Shared, prefix: &str) -> u64 {
    match (prefix, shared.config.standby) {
        ("lease/", Standby::Polling) => POLL_INTERVAL_MS,
        _ => REARM_MS,
    }
}

/// Watches `prefix` until the process stops.
pub fn run(shared: &Arc<Shared>, prefix: &'static str) {
    let store = Store::open(shared.config.store);
    thread::sleep(Duration::from_millis(shared.config.first_list_delay_ms()));
    let mut revision = None;
    let mut is_lost = false;
    while !shared.is_stopping() {
        let armed_ms = boot_ms();
        shared.metrics.store_reads.inc();
        let result = match revision {
            None => store.list(prefix).map(|list| {
                shared.view.take_list(prefix, &list);
                list.revision
            }),
            Some(after) => {
                // After a failure, an answer at once shows that the store is back.
                let timeout_ms = if is_lost { 0 } else { WATCH_MS };
                store.watch(prefix, after, timeout_ms).map(|changes| {
                    shared.view.take_changes(prefix, &changes);
                    changes.revision
                })
            }
        };
        let pause_ms = match result {
            Ok(reached) => {
                if is_lost {
                    yucca_io::log::write(Event::StoreBack, &format!("prefix={prefix}"));
                }
                is_lost = false;
                revision = Some(reached);
                shared.store_seen_ms.store(boot_ms(), Ordering::Relaxed);
                (armed_ms + rearm_ms(shared, prefix)).saturating_sub(boot_ms())
            }
            Err(StoreError::Expired) => {
                revision = None;
                REARM_MS
            }
            Err(error) => {
                if !is_lost {
                    let fields = format!("prefix={prefix} error={error:?}");
                    yucca_io::log::write(Event::StoreLost, &fields);
                }
                is_lost = true;
                RETRY_MS + shared.config.first_list_delay_ms() % RETRY_MS
            }
        };
        thread::sleep(Duration::from_millis(pause_ms));
    }
}
