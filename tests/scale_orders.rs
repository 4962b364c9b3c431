//! Calls that order engines: repeats, late effects and conflicts.

use yuccacove::engine_scaling::EngineKind::{Ordinary, Spot};
use yuccacove::scale_orders::{Outcome, ScaleOrders, Verdict};

/// Guards against a number that is lost because its call had no reply.
#[test]
fn next_repeats_until_acknowledged() {
    let mut orders = ScaleOrders::default();
    let order = orders.order(0, Ordinary);
    orders.set(order, 6, true);
    let mut calls = 0;
    for now_ms in (0..20_000).step_by(100) {
        if let Some(call) = orders.next(now_ms) {
            calls += 1;
            assert_eq!(call.engines, 6);
            let outcome = [Outcome::Unknown, Outcome::Refused, Outcome::Done][calls.min(3) - 1];
            orders.record(call, outcome, now_ms);
        }
    }
    assert_eq!(calls, 3);
}

/// Guards against an earlier call that takes effect after a newer one and stays in effect.
#[test]
fn next_says_number_again_after_late_effect() {
    let mut orders = ScaleOrders::default();
    let order = orders.order(0, Ordinary);
    orders.set(order, 6, false);
    let lost = orders.next(0).expect("a call");
    orders.record(lost, Outcome::Unknown, 0);
    orders.set(order, 9, true);
    let newer = orders.next(1_500).expect("a call");
    assert_eq!(newer.engines, 9);
    orders.record(newer, Outcome::Done, 1_500);
    assert_eq!(orders.next(12_000), None);
    let again = orders.next(13_000).expect("a repeated call");
    assert_eq!(again.engines, 9);
    orders.record(again, Outcome::Done, 13_000);
    assert_eq!(orders.next(60_000), None);
}

/// Guards against calls that go on under a fencing token that the platform no longer accepts, and
/// against an end of all orders only because there are no spot engines.
#[test]
fn record_conflicts() {
    let cases = [
        (vec![Spot; 9], Verdict::NoSpot),
        (vec![Ordinary], Verdict::None),
        (vec![Ordinary, Ordinary], Verdict::Stopped),
        (vec![Spot, Ordinary], Verdict::Stopped),
        (vec![Ordinary, Spot], Verdict::Stopped),
    ];
    for (kinds, expected) in cases {
        let mut orders = ScaleOrders::default();
        let mut verdict = Verdict::None;
        for (kind, sent_ms) in kinds.iter().zip((0..).step_by(10_000)) {
            let order = orders.order(0, *kind);
            orders.set(order, 3, true);
            let call = orders.next(sent_ms).expect("a call");
            verdict = orders.record(call, Outcome::Conflict, sent_ms);
        }
        assert_eq!(verdict, expected, "{kinds:?}");
        assert_eq!(orders.is_stopped(), expected == Verdict::Stopped);
    }
}

/// A call that is carried out proves that the fencing token is still accepted.
#[test]
fn record_conflict_after_success() {
    let mut orders = ScaleOrders::default();
    for round in 0..5 {
        let sent_ms = round * 20_000;
        let outcomes = [(Spot, Outcome::Conflict), (Ordinary, Outcome::Done)];
        for (kind, outcome) in outcomes {
            let order = orders.order(0, kind);
            orders.set(order, round as u32, true);
            let call = orders.next(sent_ms).expect("a call");
            orders.record(call, outcome, sent_ms);
        }
    }
    assert!(!orders.is_stopped());
}
