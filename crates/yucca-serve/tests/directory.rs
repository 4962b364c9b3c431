//! Tests that leaving backends get no new work, and that live backends stay in use during outages
//! of the store.

mod common;

use common::entry;
use yucca_serve::directory::{BackendEntry, Change, Directory, RELIST_MS, RETENTION_MS};
use yucca_serve::loads::{PrefillSource, Reservation};
use yucca_serve::revision::revision;
use yuccacove::prompt_placement::Phase;

fn desk() -> BackendEntry {
    entry("desk", 1, Phase::Decode)
}

fn draining() -> BackendEntry {
    BackendEntry {
        is_draining: true,
        ..desk()
    }
}

fn with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.apply_entry(id, 1, desk(), 0);
    }
    directory.apply_full_listing(ids, 1, 0);
    directory
}

fn usable(directory: &Directory, now_ms: u64) -> Vec<String> {
    let keys = directory.usable("desk", now_ms);
    let ids = keys
        .iter()
        .map(|key| directory.get(*key).target.id.to_string());
    ids.collect()
}

#[test]
fn usable_without_draining() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.apply_entry("i-1", 2, draining(), 100);
    assert_eq!(usable(&directory, 100), ["i-2"]);
    directory.apply_removal("i-1", 3, 200);
    assert_eq!(usable(&directory, 200), ["i-2"]);
}

/// A backend whose entry is removed without draining first must get no new work either.
#[test]
fn usable_without_removed() {
    let mut directory = with(&["i-1", "i-2"]);
    assert!(matches!(
        directory.apply_removal("i-1", 2, 100),
        Change::Left(_)
    ));
    assert_eq!(usable(&directory, 100), ["i-2"]);
}

/// The last backends of a service get work for a short time after they leave, but not later.
#[test]
fn usable_last_resort() {
    let mut directory = with(&["i-1"]);
    directory.apply_removal("i-1", 2, 100);
    assert_eq!(usable(&directory, 1_000), ["i-1"]);
    assert!(usable(&directory, 2_000).is_empty());
}

/// A stale listing or event must not make a leaving backend usable again.
#[test]
fn apply_entry_older_revision() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.apply_entry("i-1", 5, draining(), 100);
    assert_eq!(directory.apply_entry("i-1", 4, desk(), 200), Change::None);
    assert_eq!(directory.apply_removal("i-2", 0, 200), Change::None);
    assert_eq!(usable(&directory, 200), ["i-2"]);
}

/// Entries expire during an outage of the store. Live backends register again within two seconds of
/// its recovery and must stay in use; the others must be removed after that time.
#[test]
fn full_listing_after_outage() {
    let mut directory = with(&["i-1", "i-2", "i-3"]);
    directory.record_store_failure(1_000);
    assert!(directory.record_store_response(6_000));
    directory.apply_full_listing(&["i-3"], 9, 6_000);
    assert_eq!(usable(&directory, 6_500), ["i-1", "i-2", "i-3"]);
    directory.apply_entry("i-1", 10, desk(), 7_000);
    let later_ms = 6_000 + RELIST_MS + 1;
    assert_eq!(usable(&directory, later_ms), ["i-1", "i-3"]);
}

/// After a single failed call, which is too short an outage for entries to expire, missing backends
/// must be removed at once.
#[test]
fn full_listing_after_short_failure() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.record_store_failure(1_000);
    directory.record_store_response(1_300);
    directory.apply_full_listing(&["i-2"], 9, 1_300);
    assert_eq!(usable(&directory, 1_300), ["i-2"]);
}

/// A backend that was draining before an outage must not be used after it.
#[test]
fn full_listing_after_outage_draining() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.apply_entry("i-1", 2, draining(), 500);
    directory.record_store_failure(1_000);
    directory.record_store_response(6_000);
    directory.apply_full_listing(&["i-2"], 9, 6_000);
    assert_eq!(usable(&directory, 6_100), ["i-2"]);
}

/// The load, the cached prefixes and the health of an engine must be reset when it restarts under
/// the same id.
#[test]
fn apply_entry_restart() {
    let mut directory = with(&["i-1"]);
    let key = directory.find("i-1").expect("listed");
    let load = &mut directory.get_mut(key).load;
    load.record_cached(&[(7, 500)], 0);
    load.add_prefill(PrefillSource::Own(1), 900.0, 0);
    directory.get_mut(key).health.record_unreachable(0);
    let restarted = BackendEntry {
        started_ms: 2,
        ..desk()
    };
    assert_eq!(
        directory.apply_entry("i-1", 3, restarted, 10),
        Change::Joined(key)
    );
    let backend = directory.get(key);
    assert_eq!(backend.load.cached_tokens(&[(7, 500)], 10), 0);
    assert_eq!(backend.load.pending_ms(10), 0.0);
    assert!(!backend.health.is_avoided(10));
}

#[test]
fn apply_entry_phase_change_ends_unavailability() {
    let mut directory = with(&["i-1"]);
    let key = directory.find("i-1").expect("listed");
    directory.get_mut(key).set_unavailable(5_000);
    assert!(directory.get(key).is_unavailable(100));
    let changed = entry("desk", 1, Phase::Prefill);
    assert_eq!(
        directory.apply_entry("i-1", 2, changed, 200),
        Change::Phase(key)
    );
    assert!(!directory.get(key).is_unavailable(200));
}

/// Guards against requests to a leaving engine that ends before it could answer them.
#[test]
fn usable_last_resort_ends_with_engine() {
    for (leaves_ms, is_usable) in [(None, true), (Some(2_000), true), (Some(400), false)] {
        let mut directory = Directory::default();
        let entry = entry("model", 1, Phase::Decode);
        directory.apply_entry("gen-1", 1, entry.clone(), 0);
        let leaving = BackendEntry {
            is_draining: true,
            leaves_ms,
            ..entry
        };
        directory.apply_entry("gen-1", 2, leaving, 1_000);
        assert_eq!(directory.usable("model", 1_300).len(), 1);
        assert_eq!(!directory.usable("model", 1_500).is_empty(), is_usable);
        assert!(directory.serving("model", 1_300).is_empty());
        let taken_back = directory.taken_back("model", 1_300).len();
        assert_eq!(taken_back, usize::from(leaves_ms.is_some()));
    }
}

/// Returns a directory in which the record of "i-1" was removed at the returned time.
fn with_departed() -> (Directory, u64) {
    let mut directory = with(&["i-1", "i-2"]);
    directory.apply_entry("i-1", 5, draining(), 100);
    directory.apply_removal("i-1", 6, 2_000);
    let now_ms = 2_000 + RETENTION_MS;
    directory.remove_departed(now_ms - 1);
    assert_eq!(directory.len(), 2);
    directory.remove_departed(now_ms + 1_000);
    assert_eq!((directory.len(), directory.find("i-1")), (1, None));
    (directory, now_ms + 1_000)
}

/// A stale list or relay message must not bring a back end back whose record was removed.
#[test]
fn remove_departed_stale_entry() {
    let (mut directory, now_ms) = with_departed();
    for (revision, entry) in [(1, desk()), (5, draining())] {
        let change = directory.apply_entry("i-1", revision, entry, now_ms);
        assert_eq!(change, Change::None);
    }
    directory.apply_full_listing(&["i-1", "i-2"], 3, now_ms);
    assert_eq!(usable(&directory, now_ms), ["i-2"]);
    assert_eq!(directory.len(), 1);
}

/// A back end that registers again under the same id, as after a restart, must serve at once.
#[test]
fn remove_departed_registers_again() {
    let (mut directory, now_ms) = with_departed();
    let restarted = BackendEntry {
        started_ms: 2,
        ..desk()
    };
    let change = directory.apply_entry("i-1", 7, restarted, now_ms);
    assert!(matches!(change, Change::Joined(_)));
    assert_eq!(usable(&directory, now_ms), ["i-2", "i-1"]);
}

/// Guards against a back end that has left and that a restored copy of the store still lists.
#[test]
fn remove_departed_restored_store() {
    let (mut directory, now_ms) = with_departed();
    directory.begin_era(1, 5_600, now_ms);
    let change = directory.apply_entry("i-1", revision(1, 3), desk(), now_ms);
    assert_eq!(change, Change::None);
    assert_eq!(usable(&directory, now_ms + 5_000), ["i-2"]);
    // An entry that changes after the restore is its own.
    let change = directory.apply_entry("i-1", revision(1, 9), desk(), now_ms + 5_000);
    assert!(matches!(change, Change::Joined(_)));
}

/// Guards against a request whose end is counted at another back end, or not at all, because the record
/// of its own was removed meanwhile.
#[test]
fn remove_departed_requests_in_progress() {
    let mut directory = with(&["i-1", "i-2"]);
    let key = directory.find("i-1").expect("listed");
    directory
        .get_mut(key)
        .load
        .add(Reservation::Generation { tokens: 700 });
    directory.apply_removal("i-1", 2, 100);
    directory.remove_departed(10 * RETENTION_MS);
    assert_eq!(&*directory.get(key).target.id, "i-1");
    directory
        .get_mut(key)
        .load
        .remove(Reservation::Generation { tokens: 700 });
    directory.remove_departed(11 * RETENTION_MS);
    assert_eq!(directory.len(), 1);
    // Another back end takes the place. The key of a request that was not sent yet is not its key.
    directory.apply_entry("i-3", 3, desk(), 11 * RETENTION_MS);
    let added = directory.find("i-3").expect("listed");
    assert_ne!(added, key);
    directory.get_mut(key).load.add(Reservation::Request);
    assert_eq!(directory.get(added).load.requests, 0);
    assert_ne!(directory.get(key).target.address, desk().address);
}

/// Entries may be missing because the store does not answer.
#[test]
fn remove_departed_store_unavailable() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.apply_removal("i-1", 2, 100);
    directory.record_store_failure(200);
    directory.remove_departed(2 * RETENTION_MS);
    assert_eq!(directory.len(), 2);
    directory.record_store_response(2 * RETENTION_MS);
    directory.remove_departed(2 * RETENTION_MS + 1_000);
    assert_eq!(directory.len(), 1);
}

/// Guards against a software version that is forgotten while streams may run that began with it.
#[test]
fn remove_departed_keeps_versions() {
    let lifetime_ms = RETENTION_MS + 30_000;
    let mut directory = with(&["i-1", "i-2"]);
    let newer = BackendEntry {
        software: "v2".into(),
        ..desk()
    };
    directory.apply_entry("i-2", 2, newer, 0);
    directory.apply_removal("i-1", 3, 0);
    directory.keep_versions(lifetime_ms);
    let mut versions_at = |now_ms: u64| {
        directory.remove_departed(now_ms);
        directory
            .versions("desk", now_ms.saturating_sub(lifetime_ms))
            .len()
    };
    assert_eq!(versions_at(RETENTION_MS + 20_000), 2);
    assert_eq!(versions_at(RETENTION_MS + 40_000), 1);
}

/// Guards against memory that grows with each engine that comes and goes.
#[test]
fn remove_departed_spot_engines() {
    let mut directory = with(&["i-1", "i-2"]);
    let mut most = 0;
    let mut revision = 2;
    for engine in 0..10_000_u64 {
        let id = format!("spot-{engine}");
        let now_ms = engine * 8_000;
        revision += 1;
        directory.apply_entry(&id, revision, desk(), now_ms);
        let key = directory.find(&id).expect("listed");
        directory
            .get_mut(key)
            .load
            .record_cached(&[(engine, 500)], now_ms);
        directory.apply_entry(&id, revision + 1, draining(), now_ms + 4_000);
        directory.apply_removal(&id, revision + 2, now_ms + 6_000);
        revision += 2;
        directory.remove_departed(now_ms + 6_000);
        most = most.max(directory.len());
        assert_eq!(directory.keys().count(), directory.len());
    }
    assert!(most <= 20, "{most} records");
    assert_eq!(directory.joined(), 10_002);
    assert_eq!(usable(&directory, 80_010_000), ["i-1", "i-2"]);
}
