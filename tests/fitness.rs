//! Guards against back ends that stay in use though they fail, and against leaving out sound ones.

use yuccacove::fitness::Fitness;

#[test]
fn is_avoided_grows_with_failures_in_a_row() {
    let mut fitness = Fitness::default();
    let mut last_ms = 0;
    for _ in 0..4 {
        fitness.unreachable(0);
        let until_ms = (0..10_000).find(|ms| !fitness.is_avoided(*ms));
        let until_ms = until_ms.expect("not avoided for ever");
        assert!(until_ms > last_ms);
        last_ms = until_ms;
    }
    for _ in 0..40 {
        fitness.unreachable(0);
    }
    assert!(!fitness.is_avoided(4_000));
}

/// Back ends that fail one request in seven by design are not to be avoided.
#[test]
fn failure_rate_of_a_normal_back_end() {
    let mut fitness = Fitness::default();
    for n in 0..700 {
        fitness.answered(n % 7 != 0);
        assert!(!fitness.is_avoided(n));
    }
    assert!(fitness.failure_rate() < 0.35);
}

#[test]
fn failure_rate_tells_a_failing_back_end() {
    let mut fitness = Fitness::default();
    for n in 0..20 {
        if n % 2 == 0 {
            fitness.broke();
        } else {
            fitness.answered(true);
        }
    }
    assert!(fitness.failure_rate() > 0.3);
    for _ in 0..40 {
        fitness.answered(true);
    }
    assert!(fitness.failure_rate() < 0.02);
}
