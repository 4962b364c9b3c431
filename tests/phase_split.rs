//! Guards the split of a pool between reading and generating against reacting to too little, and
//! against taking too many engines away.

use yuccacove::phase_split::{Member, PoolDemand, next_changes};
use yuccacove::prompt_placement::Phase;

const SLOTS: u32 = 64;

fn pool(prefill: usize, decode: usize) -> Vec<Member> {
    let member = |phase, zone| Member {
        phase,
        is_changing: false,
        zone,
    };
    let prefill = (0..prefill).map(|n| member(Phase::Prefill, n % 4));
    prefill
        .chain((0..decode).map(|n| member(Phase::Decode, n % 4)))
        .collect()
}

fn observed(streams: u32, reading: f64, seconds: u64) -> PoolDemand {
    let mut demand = PoolDemand::default();
    for second in 1..=seconds {
        demand.add_prefill(reading * 1_000.0);
        demand.observe(streams, second * 1_000);
    }
    demand
}

/// Found on the users' bench: reading is seen before the streams that follow it, and the first plan
/// sent five of seven decode engines away.
#[test]
fn decode_target_before_demand_is_mature() {
    let start = PoolDemand::default().decode_target(18, SLOTS);
    assert_eq!(observed(0, 5.0, 1).decode_target(18, SLOTS), start);
    assert_eq!(observed(3, 5.0, 3).decode_target(18, SLOTS), start);
}

#[test]
fn decode_target_follows_demand() {
    let reading = observed(20, 9.0, 10).decode_target(18, SLOTS);
    let generating = observed(400, 2.0, 10).decode_target(18, SLOTS);
    assert!(reading <= 3, "{reading}");
    assert!(generating >= 12, "{generating}");
}

#[test]
fn decode_target_leaves_both_phases() {
    for engines in 2..40 {
        for demand in [observed(0, 20.0, 10), observed(5_000, 0.0, 10)] {
            let target = demand.decode_target(engines, SLOTS);
            assert!((1..engines).contains(&target), "{target} of {engines}");
        }
    }
    assert_eq!(PoolDemand::default().decode_target(1, SLOTS), 1);
}

/// A peak is remembered over the pause between two bursts.
#[test]
fn decode_target_between_bursts() {
    let mut demand = observed(400, 2.0, 10);
    let in_burst = demand.decode_target(18, SLOTS);
    for second in 11..=16 {
        demand.add_prefill(2_000.0);
        demand.observe(150, second * 1_000);
    }
    assert!(in_burst - demand.decode_target(18, SLOTS) <= 2);
}

#[test]
fn next_changes_one_at_a_time_under_load() {
    let mut members = pool(2, 10);
    let changes = next_changes(&members, 4, false);
    assert_eq!(changes.len(), 1);
    members[changes[0].engine].is_changing = true;
    assert_eq!(next_changes(&members, 4, false), []);
}

/// A change costs seconds of an engine, so that one engine more or less is left.
#[test]
fn next_changes_small_difference_under_load() {
    for decode in 3..=5 {
        assert_eq!(next_changes(&pool(12 - decode, decode), 4, false), []);
    }
}

#[test]
fn next_changes_all_at_once_while_idle() {
    let members = pool(2, 10);
    let changes = next_changes(&members, 4, true);
    assert_eq!(changes.len(), 6);
    let mut after = members;
    for change in &changes {
        after[change.engine].phase = change.to;
    }
    // The decode engines that stay are spread over the zones.
    for zone in 0..4 {
        let here = after.iter().filter(|m| m.zone == zone);
        assert_eq!(here.filter(|m| m.phase == Phase::Decode).count(), 1);
    }
}

#[test]
fn next_changes_empty_pool() {
    assert_eq!(next_changes(&[], 2, true), []);
}
