//! Tests of the decision for overload.

use yuccacove::fair_shares::Asker;
use yuccacove::forecast::Forecast;
use yuccacove::hold_queue::Precedence;
use yuccacove::overload::{Ask, Decision, Overload, Reason};

fn ask(kind: u64, first_token_ms: f64, prefill_queue_ms: f64) -> Ask {
    Ask {
        asker: Asker {
            organisation: None,
            kind,
            urgency: kind as u8,
            tokens: 800,
        },
        forecast: Forecast {
            first_token_ms,
            elapsed_ms: 0,
            left_ms: 8_000,
            target_ms: 300,
            urgency: kind as u8,
            decode_utilisation: 0.5,
            prefill_queue_ms,
            urgent_target_ms: (kind > 0).then_some(300),
        },
        work_ms: 15.0,
        ticket: None,
    }
}

fn reason(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Admit => None,
        Decision::Hold { reason, .. } | Decision::Refuse { reason, .. } => Some(reason),
    }
}

/// Guards against a decision that differs from the forecast's where nothing is late.
#[test]
fn decide_calm_as_forecast() {
    use yuccacove::forecast;
    for kind in 0..3 {
        for queue_ms in [0.0, 50.0, 104.0, 150.0, 250.0] {
            let ask = ask(kind, queue_ms + 20.0, queue_ms);
            let decision = Overload::default().decide(&ask, 1_000, 0);
            let is_same = match ask.forecast.decide(0) {
                forecast::Decision::Admit => decision == Decision::Admit,
                forecast::Decision::Hold => matches!(decision, Decision::Hold { .. }),
                forecast::Decision::Refuse { .. } => false,
            };
            assert!(is_same, "{kind} {queue_ms}: {decision:?}");
        }
    }
}

/// A late answer is worth something where the room for it is not needed, and a prompt whose own
/// prefill takes longer than its target is no reason to refuse it.
#[test]
fn decide_late() {
    let cases = [
        (900.0, 0.0, None),
        (900.0, 800.0, Some(Reason::Late)),
        (8_100.0, 0.0, Some(Reason::Unreachable)),
    ];
    for (first_token_ms, queue_ms, expected) in cases {
        let decision = Overload::default().decide(&ask(0, first_token_ms, queue_ms), 1_000, 0);
        assert_eq!(reason(decision), expected, "{first_token_ms} {queue_ms}");
    }
}

/// Guards against requests that are held until they are late because a forecast says that they will be, while
/// nearly all requests find room.
#[test]
fn decide_late_without_shortage() {
    let late = ask(0, 900.0, 800.0);
    let mut overload = Overload::default();
    for at in 0..100 {
        overload.decide(&ask(0, 20.0, 0.0), 1_000 + at, at);
    }
    let decision = overload.decide(&late, 1_200, 0);
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
    let mut shortage = Overload::default();
    for at in 0..100 {
        shortage.decide(&ask(0, 8_100.0, 0.0), 1_000 + at, at);
    }
    let decision = shortage.decide(&late, 1_200, 0);
    assert!(matches!(decision, Decision::Hold { .. }), "{decision:?}");
}

/// Guards against requests that are held although their turn cannot come: in a long burst most are
/// refused at once, so that their callers can return.
#[test]
fn decide_refuses_without_prospect() {
    let mut overload = Overload::default();
    let (mut held, mut refused) = (0, 0);
    for at in 0..200 {
        match overload.decide(&ask(0, 900.0, 800.0), 1_000 + at, at) {
            Decision::Hold { precedence, .. } => {
                overload.queue.insert(precedence);
                held += 1;
            }
            Decision::Refuse { .. } => refused += 1,
            Decision::Admit => panic!("admitted beyond the target"),
        }
    }
    assert!((1..=20).contains(&held), "{held}");
    assert!(refused >= 180, "{refused}");
}

/// Guards against a returning caller that takes the place of one that can still be in time.
#[test]
fn decide_returning_caller_is_late() {
    let mut overload = Overload::default();
    assert_eq!(
        overload.decide(&ask(0, 200.0, 180.0), 1_000, 0),
        Decision::Admit
    );
    let mut returning = ask(0, 200.0, 180.0);
    returning.forecast.left_ms = 7_000;
    let decision = overload.decide(&returning, 1_000, 0);
    assert_eq!(reason(decision), Some(Reason::Late));
}

/// Guards against callers that return all at once, or too late for another try.
#[test]
fn decide_spreads_retries() {
    for left_ms in [300, 1_200, 8_000] {
        let mut overload = Overload::default();
        let mut times = Vec::new();
        for draw in 0..200 {
            let mut ask = ask(0, 9_000.0, 900.0);
            ask.forecast.left_ms = left_ms;
            match overload.decide(&ask, 1_000, draw * 7_919) {
                Decision::Refuse { retry_after_ms, .. } => times.push(retry_after_ms),
                other => panic!("{other:?}"),
            }
        }
        times.sort_unstable();
        assert!(times[199] <= left_ms / 3, "{left_ms}: {times:?}");
        let quarter = times[150] - times[50];
        assert!(quarter >= left_ms / 20, "{left_ms}: {times:?}");
    }
}

/// Guards against a decision that depends on how often held requests are considered: each poll of one
/// made the host forget a part of the time that callers usually allow.
#[test]
fn decide_independent_of_polls() {
    let is_late_after = |polls: u64| {
        let mut overload = Overload::default();
        let first = ask(1, 100.0, 0.0);
        assert_eq!(overload.decide(&first, 0, 0), Decision::Admit);
        let mut returning = ask(1, 100.0, 200.0);
        returning.forecast.left_ms = 5_000;
        returning.ticket = Some(overload.queue.insert(Precedence {
            is_late: true,
            urgency: 1,
            due_ms: 0,
        }));
        for poll in 0..polls {
            let decision = overload.decide(&returning, poll * 2_000 / polls, 0);
            assert!(matches!(decision, Decision::Hold { .. }));
        }
        returning.ticket = None;
        reason(overload.decide(&returning, 2_000, 0)) == Some(Reason::Late)
    };
    assert!(is_late_after(1));
    assert!(is_late_after(80));
    assert!(is_late_after(4_000));
}
