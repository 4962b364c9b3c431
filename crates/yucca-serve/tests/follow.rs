//! Tests that a host misses no change in the store, even if the change is made during an outage or
//! the store drops its history.

mod common;

use std::rc::Rc;

use common::{FakeStore, Paging, StoreMode, host, run_virtual, wait_ms};
use serde_json::json;
use tokio::task::spawn_local;
use yucca_serve::directory::RETENTION_MS;
use yucca_serve::follow::{StoreHealth, follow_backends, follow_config, probe_store};
use yucca_serve::host::Host;
use yucca_serve::ports::Kind;

/// Time after the end of an outage within which a host must be up to date.
const RECOVERY_MS: u64 = 3_000;
/// Time within which a change must be applied while the store works normally.
const CONFIG_MS: u64 = 2_000;
/// Pause after a listing that got no further.
const STALLED_RETRY_MS: u64 = 2_000;
/// Calls of two hosts in a minute in which their listings get no further: every two seconds two pages of
/// the stale state and two of the latest one for each of two kinds, and a probe every 0.9 s.
const MAX_STALLED_CALLS: u64 = 2 * (60 / 2 * 4 * 2 + 67);

fn follow(store: &Rc<FakeStore>) -> Rc<Host<common::FakeBackends>> {
    let host = host();
    let store_health = Rc::new(StoreHealth::default());
    spawn_local(follow_config(
        Rc::clone(&host),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    spawn_local(follow_backends(
        Rc::clone(&host),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    spawn_local(probe_store(
        store_health,
        Rc::clone(store),
        Kind::Leases,
        "none",
        |_| {},
    ));
    host
}

fn put_config(store: &FakeStore, version: u64) {
    store.put(Kind::Config, "main", Some(json!({ "version": version })));
}

fn version(host: &Host<common::FakeBackends>) -> Option<u64> {
    host.config().map(|config| config.version)
}

fn put_backend(store: &FakeStore, name: &str, is_draining: bool) {
    let value = json!({
        "service": "desk",
        "address": "10.0.0.9:80",
        "draining": is_draining,
    });
    store.put(Kind::BackEnds, name, Some(value));
}

fn usable(host: &Host<common::FakeBackends>) -> usize {
    let directory = host.directory.borrow();
    directory.usable("desk", host.now_ms()).len()
}

#[test]
fn follow_config_change_without_faults() {
    run_virtual(async {
        let store = FakeStore::new();
        put_config(&store, 4);
        let host = follow(&store);
        wait_ms(100).await;
        assert_eq!(version(&host), Some(4));
        for next in [7, 9] {
            put_config(&store, next);
            wait_ms(CONFIG_MS).await;
            assert_eq!(version(&host), Some(next));
        }
    });
}

/// Guards against a fault in which the store, when it became unresponsive, dropped the waiting
/// watch and the host got the change 20 s late.
#[test]
fn follow_config_change_during_outage() {
    for mode in [StoreMode::Unresponsive, StoreMode::Refusing] {
        for outage_ms in [1_000, 2_500, 8_000] {
            run_virtual(async {
                let store = FakeStore::new();
                put_config(&store, 4);
                let host = follow(&store);
                wait_ms(5_000).await;
                store.set_mode(mode);
                wait_ms(outage_ms).await;
                put_config(&store, 10);
                store.set_mode(StoreMode::Up);
                wait_ms(RECOVERY_MS).await;
                assert_eq!(version(&host), Some(10), "{mode:?} for {outage_ms} ms");
            });
        }
    }
}

/// Guards against a fault, seen in a soak test, in which a store outage between two probes made the
/// store drop a watch, and the host got a change only when the watch's time of 8 s was over.
#[test]
fn follow_config_change_during_short_outage() {
    for began_ms in (0..2_000).step_by(100) {
        run_virtual(async {
            let store = FakeStore::new();
            put_config(&store, 4);
            let host = follow(&store);
            wait_ms(5_000 + began_ms).await;
            store.set_mode(StoreMode::Unresponsive);
            wait_ms(150).await;
            put_config(&store, 10);
            store.set_mode(StoreMode::Up);
            wait_ms(CONFIG_MS).await;
            assert_eq!(version(&host), Some(10), "outage after {began_ms} ms");
        });
    }
}

#[test]
fn follow_config_older_version() {
    run_virtual(async {
        let store = FakeStore::new();
        put_config(&store, 8);
        let host = follow(&store);
        wait_ms(100).await;
        // A delayed write of an older version must not replace the newer one.
        put_config(&store, 5);
        wait_ms(CONFIG_MS).await;
        assert_eq!(version(&host), Some(8));
    });
}

#[test]
fn follow_backends_dropped_history() {
    run_virtual(async {
        let store = FakeStore::new();
        put_backend(&store, "i-1", false);
        put_backend(&store, "i-2", false);
        let host = follow(&store);
        wait_ms(100).await;
        assert_eq!(usable(&host), 2);
        // The store drops its history and all waiting watches.
        store.drop_history();
        put_backend(&store, "i-1", true);
        store.drop_history();
        store.set_mode(StoreMode::Refusing);
        wait_ms(1_000).await;
        store.set_mode(StoreMode::Up);
        wait_ms(RECOVERY_MS).await;
        assert_eq!(usable(&host), 1);
    });
}

#[test]
fn follow_backends_invalid_entry() {
    run_virtual(async {
        let store = FakeStore::new();
        put_backend(&store, "i-1", false);
        store.put(Kind::BackEnds, "i-2", Some(json!("no entry")));
        let host = follow(&store);
        wait_ms(100).await;
        assert_eq!(usable(&host), 1);
        assert!(host.directory.borrow().find("i-1").is_some());
        assert!(host.directory.borrow().find("i-2").is_none());
    });
}

/// Each call to the store has a cost. A host without others must make at most two watch calls per
/// 1.2 s, which is the time after which a dropped watch is replaced, and one stale read per 0.9 s.
#[test]
fn follow_calls_when_idle() {
    run_virtual(async {
        let store = FakeStore::new();
        put_config(&store, 4);
        put_backend(&store, "i-1", false);
        let _host = follow(&store);
        wait_ms(5_000).await;
        let (before, lagging_before) = (store.calls.get(), store.lagging_calls.get());
        wait_ms(60_000).await;
        let lagging = store.lagging_calls.get() - lagging_before;
        let full = store.calls.get() - before - lagging;
        assert!(lagging <= 67, "{lagging} stale reads in 60 s");
        assert!(full <= 100, "{full} full calls in 60 s");
    });
}

/// A listing that may be stale can contain a backend that has left since. A host that starts must not
/// use it, not even until its first watch returns.
#[test]
fn follow_backends_stale_listing() {
    run_virtual(async {
        let store = FakeStore::new();
        put_backend(&store, "i-1", false);
        put_backend(&store, "i-2", false);
        store.hold_stale_state();
        store.put(Kind::BackEnds, "i-2", None);
        put_backend(&store, "i-3", false);
        let host = follow(&store);
        for _ in 0..100 {
            wait_ms(10).await;
            let directory = host.directory.borrow();
            assert!(
                directory.find("i-2").is_none(),
                "a backend that left is known"
            );
        }
        assert_eq!(usable(&host), 2);
        assert!(host.directory.borrow().find("i-3").is_some());
    });
}

/// If the store has dropped the changes since a stale listing, the host lists the latest state.
#[test]
fn follow_backends_stale_listing_without_history() {
    run_virtual(async {
        let store = FakeStore::new();
        put_backend(&store, "i-1", false);
        store.hold_stale_state();
        store.put(Kind::BackEnds, "i-1", None);
        put_backend(&store, "i-2", false);
        store.drop_history();
        let host = follow(&store);
        wait_ms(100).await;
        assert!(host.directory.borrow().find("i-1").is_none());
        assert_eq!(usable(&host), 1);
    });
}

/// Guards against memory that grows with each back end that was ever listed, and against records that are
/// removed while the store is away.
#[test]
fn follow_backends_removes_records() {
    run_virtual(async {
        let store = FakeStore::new();
        for number in 0..20 {
            put_backend(&store, &format!("desk-{number}"), false);
        }
        let host = follow(&store);
        wait_ms(2_000).await;
        for number in 1..20 {
            store.put(Kind::BackEnds, &format!("desk-{number}"), None);
        }
        wait_ms(2_000).await;
        store.set_mode(StoreMode::Refusing);
        wait_ms(RETENTION_MS).await;
        assert_eq!(host.directory.borrow().len(), 20);
        store.set_mode(StoreMode::Up);
        put_backend(&store, "desk-20", false);
        wait_ms(RECOVERY_MS).await;
        assert_eq!(host.directory.borrow().len(), 2);
        assert_eq!(usable(&host), 2);
    });
}

/// Guards against a host that reads the same page without end: it must go on with what it knows, call
/// the store at a bounded rate, and catch up when the pages lead on again.
#[test]
fn follow_listing_stalls() {
    for paging in [Paging::FirstAgain(1), Paging::Empty] {
        run_virtual(async move {
            let store = FakeStore::new();
            for name in ["i-1", "i-2", "i-3"] {
                put_backend(&store, name, false);
            }
            let running = follow(&store);
            wait_ms(100).await;
            assert_eq!(usable(&running), 3);
            store.paging.set(paging);
            store.drop_history();
            let restarted = follow(&store);
            wait_ms(1_000).await;
            let calls = store.calls.get();
            wait_ms(60_000).await;
            let calls = store.calls.get() - calls;
            assert!(calls < MAX_STALLED_CALLS, "{calls} {paging:?}");
            assert_eq!(usable(&running), 3, "{paging:?}");
            assert!(!restarted.directory.borrow().has_full_listing());
            store.paging.set(Paging::Pages(1));
            put_backend(&store, "i-3", true);
            wait_ms(RECOVERY_MS).await;
            assert_eq!(usable(&running), 2, "{paging:?}");
            assert_eq!(usable(&restarted), 2, "{paging:?}");
        });
    }
}

/// Guards against work for a backend that left while listings got no further. The store responded all
/// the while, so that a missing entry has not expired in an outage.
#[test]
fn follow_listing_stalls_backend_leaves() {
    run_virtual(async {
        let store = FakeStore::new();
        for name in ["i-1", "i-2"] {
            put_backend(&store, name, false);
        }
        let host = follow(&store);
        wait_ms(100).await;
        store.paging.set(Paging::FirstAgain(1));
        put_backend(&store, "i-3", false);
        store.put(Kind::BackEnds, "i-2", None);
        store.drop_history();
        wait_ms(10_000).await;
        store.paging.set(Paging::Pages(1));
        wait_ms(STALLED_RETRY_MS + 100).await;
        let directory = host.directory.borrow();
        let serving = directory.serving("desk", host.now_ms());
        let ids: Vec<&str> = serving
            .iter()
            .map(|key| &*directory.get(*key).target.id)
            .collect();
        assert_eq!(ids, ["i-1", "i-3"]);
    });
}

/// Guards against a host that does not get ready because the pages of lagging copies do not lead on.
#[test]
fn follow_stale_listing_stalls() {
    run_virtual(async {
        let store = FakeStore::new();
        for name in ["i-1", "i-2", "i-3"] {
            put_backend(&store, name, false);
        }
        store.paging.set(Paging::FirstAgainIfStale(1));
        let host = follow(&store);
        wait_ms(100).await;
        assert_eq!(usable(&host), 3);
    });
}
