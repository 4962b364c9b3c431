//! Guards against work for back ends that are leaving, and against losing those that live.

mod common;

use common::entry;
use yucca_serve::directory::{BackEndEntry, Change, Directory, RELIST_MS};
use yuccacove::prompt_placement::Phase;

fn desk() -> BackEndEntry {
    entry("desk", 1, Phase::Decode)
}

fn draining() -> BackEndEntry {
    BackEndEntry {
        is_draining: true,
        ..desk()
    }
}

fn with(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.listed(id, 1, desk(), 0);
    }
    directory.completed(ids, 1, 0);
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
    directory.listed("i-1", 2, draining(), 100);
    assert_eq!(usable(&directory, 100), ["i-2"]);
    directory.removed("i-1", 3, 200);
    assert_eq!(usable(&directory, 200), ["i-2"]);
}

/// An entry that is removed without having drained is leaving, too.
#[test]
fn usable_without_removed() {
    let mut directory = with(&["i-1", "i-2"]);
    assert!(matches!(directory.removed("i-1", 2, 100), Change::Left(_)));
    assert_eq!(usable(&directory, 100), ["i-2"]);
}

/// The last back ends of a service that left a moment ago still serve; later they must not get work.
#[test]
fn usable_last_resort() {
    let mut directory = with(&["i-1"]);
    directory.removed("i-1", 2, 100);
    assert_eq!(usable(&directory, 1_000), ["i-1"]);
    assert!(usable(&directory, 2_000).is_empty());
}

/// A list or an event that arrives late must not bring a leaving back end back.
#[test]
fn listed_older_revision() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.listed("i-1", 5, draining(), 100);
    assert_eq!(directory.listed("i-1", 4, desk(), 200), Change::None);
    assert_eq!(directory.removed("i-2", 0, 200), Change::None);
    assert_eq!(usable(&directory, 200), ["i-2"]);
}

/// Entries lapse while the store is away. Those that live are back within two seconds of its return;
/// the others are gone.
#[test]
fn completed_after_outage() {
    let mut directory = with(&["i-1", "i-2", "i-3"]);
    directory.store_lost(1_000);
    assert!(directory.store_answered(6_000));
    directory.completed(&["i-3"], 9, 6_000);
    assert_eq!(usable(&directory, 6_500), ["i-1", "i-2", "i-3"]);
    directory.listed("i-1", 10, desk(), 7_000);
    let later_ms = 6_000 + RELIST_MS + 1;
    assert_eq!(usable(&directory, later_ms), ["i-1", "i-3"]);
}

/// A short failure of one call is no outage in which entries lapse.
#[test]
fn completed_after_short_failure() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.store_lost(1_000);
    directory.store_answered(1_300);
    directory.completed(&["i-2"], 9, 1_300);
    assert_eq!(usable(&directory, 1_300), ["i-2"]);
}

/// A back end that drained before the outage is not kept over it.
#[test]
fn completed_after_outage_draining() {
    let mut directory = with(&["i-1", "i-2"]);
    directory.listed("i-1", 2, draining(), 500);
    directory.store_lost(1_000);
    directory.store_answered(6_000);
    directory.completed(&["i-2"], 9, 6_000);
    assert_eq!(usable(&directory, 6_100), ["i-2"]);
}

/// An engine that starts anew under its id keeps nothing of before.
#[test]
fn listed_restart() {
    let mut directory = with(&["i-1"]);
    let key = directory.find("i-1").expect("listed");
    let load = &mut directory.get_mut(key).load;
    load.keep(&[(7, 500)], 0);
    load.add_reading(900.0, 0);
    directory.get_mut(key).fitness.record_unreachable(0);
    let anew = BackEndEntry {
        started_ms: 2,
        ..desk()
    };
    assert_eq!(directory.listed("i-1", 3, anew, 10), Change::Joined(key));
    let back_end = directory.get(key);
    assert_eq!(back_end.load.kept_tokens(&[(7, 500)], 10), 0);
    assert_eq!(back_end.load.pending_ms(10), 0.0);
    assert!(!back_end.fitness.is_avoided(10));
}

#[test]
fn listed_phase_change_ends_absence() {
    let mut directory = with(&["i-1"]);
    let key = directory.find("i-1").expect("listed");
    directory.get_mut(key).set_away(5_000);
    assert!(directory.get(key).is_away(100));
    let changed = entry("desk", 1, Phase::Prefill);
    assert_eq!(directory.listed("i-1", 2, changed, 200), Change::Phase(key));
    assert!(!directory.get(key).is_away(200));
}
