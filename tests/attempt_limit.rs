//! Guards the number of back ends that get one request.

use yuccacove::attempt_limit::{AttemptLimit, Cost};

/// What is done to a request, in order.
#[derive(Debug, Clone, Copy)]
enum Step {
    Run,
    ReadAccepted,
    ReadRefused,
}

/// Attempts of the route, steps so far, cost of a run, cost of a read.
type Case = (u32, &'static [Step], Option<Cost>, Option<Cost>);

fn after(max_attempts: u32, steps: &[Step]) -> AttemptLimit {
    let mut limit = AttemptLimit::new(max_attempts);
    for step in steps {
        match step {
            Step::Run => limit.attempt_sent(),
            Step::ReadAccepted => limit.prefill_accepted(),
            Step::ReadRefused => limit.prefill_refused(),
        }
    }
    limit
}

#[test]
fn send_limit_cases() {
    use Cost::{Free, Retry};
    use Step::{ReadAccepted, ReadRefused, Run};
    let cases: [Case; 9] = [
        (1, &[], Some(Free), Some(Free)),
        (1, &[ReadAccepted], Some(Free), None),
        (1, &[ReadRefused], None, None),
        (1, &[ReadAccepted, Run], None, None),
        (2, &[ReadRefused], Some(Retry), Some(Retry)),
        (2, &[ReadAccepted], Some(Free), Some(Retry)),
        (2, &[ReadAccepted, Run], Some(Retry), None),
        (2, &[ReadAccepted, ReadAccepted, Run], None, None),
        (0, &[], Some(Free), Some(Free)),
    ];
    for (max_attempts, steps, run, read) in cases {
        let limit = after(max_attempts, steps);
        assert_eq!(limit.attempt_cost(), run, "{max_attempts} {steps:?}");
        assert_eq!(limit.prefill_cost(), read, "{max_attempts} {steps:?}");
    }
}

/// Whatever is sent in whatever order, no more back ends run the request than allowed.
#[test]
fn send_limit_any_order() {
    for max_attempts in 1..4 {
        for order in 0..3_u32.pow(6) {
            let mut limit = AttemptLimit::new(max_attempts);
            let mut runs = 0;
            for at in 0..6 {
                match order / 3_u32.pow(at) % 3 {
                    0 if limit.attempt_cost().is_some() => {
                        limit.attempt_sent();
                        runs += 1;
                    }
                    1 if limit.prefill_cost().is_some() => limit.prefill_accepted(),
                    2 if limit.prefill_cost().is_some() => limit.prefill_refused(),
                    _ => {}
                }
            }
            assert!(runs <= max_attempts, "{runs} of {max_attempts}");
        }
    }
}
