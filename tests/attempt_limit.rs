//! Limit on the number of backends that run one request.

use yuccacove::attempt_limit::{AttemptLimit, Cost};

/// Event of a request.
#[derive(Debug, Clone, Copy)]
enum Step {
    Attempt,
    PrefillAccepted,
    PrefillRefused,
}

/// Maximum attempts, events so far, cost of an attempt, cost of a remote prefill.
type Case = (u32, &'static [Step], Option<Cost>, Option<Cost>);

fn after(max_attempts: u32, steps: &[Step]) -> AttemptLimit {
    let mut limit = AttemptLimit::new(max_attempts);
    for step in steps {
        match step {
            Step::Attempt => limit.attempt_sent(),
            Step::PrefillAccepted => limit.prefill_accepted(),
            Step::PrefillRefused => limit.prefill_refused(),
        }
    }
    limit
}

#[test]
fn attempt_limit_cases() {
    use Cost::{Free, Retry};
    use Step::{Attempt, PrefillAccepted, PrefillRefused};
    let cases: [Case; 9] = [
        (1, &[], Some(Free), Some(Free)),
        (1, &[PrefillAccepted], Some(Free), None),
        (1, &[PrefillRefused], None, None),
        (1, &[PrefillAccepted, Attempt], None, None),
        (2, &[PrefillRefused], Some(Retry), Some(Retry)),
        (2, &[PrefillAccepted], Some(Free), Some(Retry)),
        (2, &[PrefillAccepted, Attempt], Some(Retry), None),
        (2, &[PrefillAccepted, PrefillAccepted, Attempt], None, None),
        (0, &[], Some(Free), Some(Free)),
    ];
    for (max_attempts, steps, attempt, prefill) in cases {
        let limit = after(max_attempts, steps);
        assert_eq!(limit.attempt_cost(), attempt, "{max_attempts} {steps:?}");
        assert_eq!(limit.prefill_cost(), prefill, "{max_attempts} {steps:?}");
    }
}

/// No more backends run the request than allowed, in any order of events.
#[test]
fn attempt_limit_any_order() {
    for max_attempts in 1..4 {
        for order in 0..3_u32.pow(6) {
            let mut limit = AttemptLimit::new(max_attempts);
            let mut attempts = 0;
            for at in 0..6 {
                match order / 3_u32.pow(at) % 3 {
                    0 if limit.attempt_cost().is_some() => {
                        limit.attempt_sent();
                        attempts += 1;
                    }
                    1 if limit.prefill_cost().is_some() => limit.prefill_accepted(),
                    2 if limit.prefill_cost().is_some() => limit.prefill_refused(),
                    _ => {}
                }
            }
            assert!(attempts <= max_attempts, "{attempts} of {max_attempts}");
        }
    }
}
