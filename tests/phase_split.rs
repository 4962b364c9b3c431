//! Split of a pool between prefill and decode: it must not react to too little data, nor change too
//! many engines at once.

use yuccacove::phase_split::{Member, PoolDemand, changes_after_loss, next_changes};
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

fn observed(streams: u32, prefill: f64, seconds: u64) -> PoolDemand {
    let mut demand = PoolDemand::default();
    for second in 1..=seconds {
        demand.add_prefill(prefill * 1_000.0);
        demand.observe(streams, second * 1_000);
    }
    demand
}

/// Prefill is observed before the streams that follow it, so a target from the first observations
/// alone would move five of seven decode engines to prefill.
#[test]
fn decode_target_before_demand_is_reliable() {
    let start = PoolDemand::default().decode_target(18, SLOTS);
    assert_eq!(observed(0, 5.0, 1).decode_target(18, SLOTS), start);
    assert_eq!(observed(3, 5.0, 3).decode_target(18, SLOTS), start);
}

#[test]
fn decode_target_follows_demand() {
    let long_prompts = observed(20, 9.0, 10).decode_target(18, SLOTS);
    let long_answers = observed(400, 2.0, 10).decode_target(18, SLOTS);
    assert!(long_prompts <= 3, "{long_prompts}");
    assert!(long_answers >= 12, "{long_answers}");
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

/// The target must not drop by much in the interval between two bursts.
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

/// A change makes an engine unavailable for seconds, which a difference of one engine does not
/// justify.
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
    // The remaining decode engines are spread over the zones.
    for zone in 0..4 {
        let in_zone = after.iter().filter(|m| m.zone == zone);
        assert_eq!(in_zone.filter(|m| m.phase == Phase::Decode).count(), 1);
    }
}

#[test]
fn next_changes_empty_pool() {
    assert_eq!(next_changes(&[], 2, true), []);
}

/// Guards against a pool that, after the loss of most engines of one phase, changes one engine at a
/// time, and against changes for a small difference or of engines that are changing.
#[test]
fn changes_after_loss_restores_split() {
    let cases = [
        (pool(9, 1), 4, 3, Phase::Decode),
        (pool(0, 6), 2, 4, Phase::Prefill),
        (pool(8, 2), 3, 0, Phase::Decode),
        (pool(3, 0), 1, 1, Phase::Decode),
        (pool(8, 1), 2, 1, Phase::Decode),
    ];
    for (members, target, expected, to) in cases {
        let changes = changes_after_loss(&members, target);
        assert_eq!(changes.len(), expected, "{members:?}");
        assert!(changes.iter().all(|change| change.to == to));
    }
    let mut members = pool(9, 1);
    members[0].is_changing = true;
    members[0].phase = Phase::Decode;
    let changes = changes_after_loss(&members, 4);
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.engine != 0));
}
