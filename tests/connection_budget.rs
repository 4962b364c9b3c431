//! Tests of the limit of connections, and of which are closed first.

use yuccacove::connection_budget::{
    CloseReason, Closing, ConnectionBudget, ConnectionKey, Phase, Shortage, Timeouts,
};

const TIMEOUTS: Timeouts = Timeouts {
    head_ms: 3_000,
    progress_ms: 15_000,
};

/// Opens a connection at time 0 and brings it into a phase at `since_ms`.
fn open(budget: &mut ConnectionBudget, phase: Phase, since_ms: u64) -> ConnectionKey {
    let key = budget.open(0);
    budget.set_phase(key, phase, since_ms);
    key
}

fn order(budget: &mut ConnectionBudget, shortage: Shortage, now_ms: u64) -> Vec<ConnectionKey> {
    std::iter::from_fn(|| budget.choose(shortage, now_ms).map(|closing| closing.key)).collect()
}

/// Guards against requests in progress without a descriptor for their backend.
#[test]
fn has_room_running_counts_twice() {
    let mut budget = ConnectionBudget::new(4);
    let first = open(&mut budget, Phase::Running, 0);
    let second = open(&mut budget, Phase::Idle, 0);
    assert!(budget.has_room(1) && !budget.has_room(2));
    budget.set_phase(second, Phase::Running, 1);
    assert!(!budget.has_room(1));
    budget.close(first);
    assert!(budget.has_room(2));
    budget.set_phase(second, Phase::Idle, 2);
    budget.close(second);
    budget.close(second);
    assert!(budget.has_room(4) && !budget.has_room(5));
}

/// Guards against closing callers that make progress, or wait for a backend, before those that do not.
#[test]
fn choose_least_progress() {
    let mut budget = ConnectionBudget::new(10);
    let used = open(&mut budget, Phase::Running, 0);
    budget.set_phase(used, Phase::Idle, 100);
    let silent = open(&mut budget, Phase::Idle, 3_000);
    let head = open(&mut budget, Phase::Head, 2_000);
    let running = open(&mut budget, Phase::Running, 0);
    let large = open(&mut budget, Phase::Body, 1_000);
    budget.set_held(large, 1_000_000);
    let small = open(&mut budget, Phase::Body, 500);
    let unread = open(&mut budget, Phase::Running, 0);
    budget.record_sent(unread, false, 1_500);
    let moving = open(&mut budget, Phase::Body, 0);
    budget.record_received(moving, 2_000, 3_500);
    let bodies = order(&mut budget, Shortage::BodyMemory, 4_000);
    assert_eq!(bodies, [large, small, unread]);
    let others = order(&mut budget, Shortage::Descriptors, 4_000);
    assert_eq!(others, [head, silent, used]);
    let _ = running;
}

/// Guards against closing callers within the limits, and against callers that hold a connection with
/// single bytes.
#[test]
fn overdue_by_phase() {
    for (name, phase, until_ms, reason) in [
        ("idle", Phase::Idle, 100_000, None),
        ("running", Phase::Running, 100_000, None),
        ("head in time", Phase::Head, 3_000, None),
        ("head", Phase::Head, 3_001, Some(CloseReason::HeadTimeout)),
        ("body in time", Phase::Body, 15_000, None),
        ("body", Phase::Body, 15_001, Some(CloseReason::BodyTimeout)),
    ] {
        let mut budget = ConnectionBudget::new(10);
        let key = open(&mut budget, phase, 0);
        let expected: Vec<_> = reason
            .map(|reason| Closing { key, reason })
            .into_iter()
            .collect();
        assert_eq!(budget.overdue(TIMEOUTS, until_ms), expected, "{name}");
        assert_eq!(budget.overdue(TIMEOUTS, until_ms), [], "{name} again");
    }
    for (bytes, is_closed) in [(1, true), (100, false)] {
        let mut budget = ConnectionBudget::new(10);
        let key = open(&mut budget, Phase::Body, 0);
        for now_ms in (0..16_000).step_by(1_000) {
            budget.record_received(key, bytes, now_ms);
        }
        let closed = budget.overdue(TIMEOUTS, 16_000);
        assert_eq!(!closed.is_empty(), is_closed, "{bytes} bytes a second");
    }
}

/// Guards against a caller that reads nothing, and against closing one that reads slowly.
#[test]
fn overdue_unread_response() {
    let mut budget = ConnectionBudget::new(10);
    let key = open(&mut budget, Phase::Running, 0);
    budget.record_sent(key, false, 1_000);
    budget.record_sent(key, false, 9_000);
    budget.record_sent(key, true, 10_000);
    assert_eq!(budget.overdue(TIMEOUTS, 60_000), []);
    budget.record_sent(key, false, 60_000);
    assert_eq!(budget.overdue(TIMEOUTS, 75_000), []);
    let reason = CloseReason::UnreadResponse;
    assert_eq!(budget.overdue(TIMEOUTS, 75_001), [Closing { key, reason }]);
}

/// Guards against charging callers for a pause of this process.
#[test]
fn exclude_pause_shifts_times() {
    let mut budget = ConnectionBudget::new(10);
    let key = open(&mut budget, Phase::Head, 0);
    budget.exclude_pause(5_000, 6_000);
    assert_eq!(budget.overdue(TIMEOUTS, 8_000), []);
    assert_eq!(budget.overdue(TIMEOUTS, 8_001).len(), 1);
    budget.close(key);
}
