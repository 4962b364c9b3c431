//! Retries within budget and deadline, and ejection of backends with gradual recovery.

use yuccacove::catalogue::Class;
use yuccacove::code::{Code, Outcome};
use yuccacove::health::{BackendKey, Pool, Transition};
use yuccacove::retry::{Attempts, Budget, Decision, Failure, MAX_ATTEMPTS};

const RETRY: Decision = Decision::Retry { after_ms: 0 };

/// Guards against retrying an order, and against result codes with the wrong outcome.
#[test]
fn failed_first_attempt() {
    // (class, failure, whether part of the response was streamed, time of the failure, decision)
    #[rustfmt::skip] // one case on each line
    let cases = [
        (Class::Read, Failure::Unreachable, false, 0, RETRY),
        (Class::Read, Failure::Crossed, false, 0, RETRY),
        (Class::Chat, Failure::Refused, false, 0, RETRY),
        (Class::Chat, Failure::Broken, true, 0, RETRY),
        (Class::Chat, Failure::Silent, true, 0, RETRY),
        (Class::Read, Failure::Failed, false, 1_000, Decision::End(Code::DeadlineExceeded)),
        (Class::Chat, Failure::Broken, true, 1_000, Decision::End(Code::AnswerIncomplete)),
        (Class::Read, Failure::Unreachable, false, 1_000, Decision::End(Code::BackendUnreachable)),
        (Class::Order, Failure::Unreachable, false, 0, Decision::End(Code::BackendUnreachable)),
        (Class::Order, Failure::Refused, false, 0, Decision::End(Code::NoBackend)),
        (Class::Order, Failure::Failed, false, 0, Decision::End(Code::BackendFailed)),
        (Class::Order, Failure::Broken, false, 0, Decision::End(Code::OutcomeUnknown)),
        (Class::Order, Failure::Silent, false, 0, Decision::End(Code::OutcomeUnknown)),
        (Class::Order, Failure::Crossed, false, 0, Decision::End(Code::OutcomeUnknown)),
    ];
    for (class, failure, streamed, now_ms, decision) in cases {
        let mut attempts = Attempts::new(class, 1_000);
        if streamed {
            attempts.streamed();
        }
        let actual = attempts.failed(failure, &mut Budget::default(), now_ms);
        assert_eq!(actual, decision, "{class:?} {failure:?} at {now_ms}");
    }
}

/// Guards against reporting `not_run` when an earlier attempt may have run.
#[test]
fn failed_later_attempt() {
    for first in [
        Failure::Failed,
        Failure::Broken,
        Failure::Silent,
        Failure::Crossed,
    ] {
        for last in [Failure::Unreachable, Failure::Refused] {
            let mut attempts = Attempts::new(Class::Read, 10_000);
            let mut budget = Budget::default();
            assert_eq!(attempts.failed(first, &mut budget, 0), RETRY);
            let mut decision = attempts.failed(last, &mut budget, 10);
            assert_eq!(decision, Decision::Retry { after_ms: 50 });
            for _ in 2..MAX_ATTEMPTS {
                decision = attempts.failed(last, &mut budget, 100);
            }
            let Decision::End(code) = decision else {
                panic!("{first:?} {last:?}: retried too often");
            };
            assert_ne!(code.outcome(), Outcome::NotRun, "{first:?} {last:?}");
        }
    }
}

/// Guards against retries that multiply the load of a failing fleet.
#[test]
fn budget_bounds_retries() {
    let mut budget = Budget::default();
    let mut retries_after = |requests: u32| {
        let mut retries = 0;
        for _ in 0..requests {
            budget.record_request();
            let mut attempts = Attempts::new(Class::Read, 10_000);
            while matches!(
                attempts.failed(Failure::Failed, &mut budget, 0),
                Decision::Retry { .. }
            ) {
                retries += 1;
            }
        }
        retries
    };
    // Uses up the initially full bucket.
    retries_after(1_000);
    let retries = retries_after(10_000);
    assert!(
        (990..=1_010).contains(&retries),
        "{retries} retries of 10000 requests"
    );
}

/// Event of a backend in a case of [`pool_transitions`].
#[derive(Debug, Clone, Copy)]
enum Step {
    Fail,
    Succeed,
    Probe(bool),
    /// Failure of a request that was sent at time 0.
    FailOld,
}

/// Guards against ejection by non-consecutive failures, recovery without a probe, and recovery to
/// full traffic at once.
#[test]
fn pool_transitions() {
    use Step::{Fail, FailOld, Probe, Succeed};
    // (name, steps at 1 s intervals, last transition, traffic share 5 s after the last step)
    let ejected = Some(Transition::Ejected);
    let returned = Some(Transition::Returned);
    #[rustfmt::skip] // one case on each line
    let cases = [
        ("four", vec![Fail, Fail, Fail, Fail], None, 1.0),
        ("five", vec![Fail; 5], ejected, 0.0),
        ("not in a row", vec![Fail, Fail, Fail, Fail, Succeed, Fail], None, 1.0),
        ("unreachable", vec![Probe(false)], ejected, 0.0),
        ("late success", vec![Probe(false), Succeed], None, 0.0),
        ("probe fails", vec![Probe(false), Probe(false)], None, 0.0),
        ("returns", vec![Probe(false), Probe(true)], returned, 0.55),
        ("fails again", vec![Probe(false), Probe(true), Fail], ejected, 0.0),
        ("old failure", vec![Probe(false), Probe(true), FailOld], None, 0.64),
    ];
    for (name, steps, transition, share) in cases {
        let mut pool = Pool::default();
        let key = pool.add();
        pool.add();
        let mut last = None;
        let mut now_ms = 1_000;
        for step in steps {
            now_ms += 1_000;
            last = match step {
                Fail => pool.failed(key, now_ms, now_ms),
                FailOld => pool.failed(key, 0, now_ms),
                Probe(reachable) => pool.probed(key, reachable, now_ms),
                Succeed => {
                    pool.succeeded(key);
                    None
                }
            };
        }
        assert_eq!(last, transition, "{name}");
        let actual = pool.traffic_share(key, now_ms + 5_000);
        assert!((actual - share).abs() < 1e-9, "{name}: {actual}");
        let is_due = pool.probes_due(now_ms + 1_000).any(|k| k == key);
        assert_eq!(is_due, share == 0.0, "{name}");
    }
}

/// Guards against ejecting a whole pool when an availability zone or the network fails.
#[test]
fn pool_keeps_half() {
    for (members, most) in [(1, 0), (2, 1), (3, 1), (12, 6), (930, 465)] {
        let mut pool = Pool::default();
        let keys: Vec<BackendKey> = (0..members).map(|_| pool.add()).collect();
        for key in &keys {
            pool.probed(*key, false, 0);
        }
        let share = |key: &&BackendKey| pool.traffic_share(**key, 0) == 0.0;
        assert_eq!(keys.iter().filter(share).count(), most, "{members} members");
    }
}
