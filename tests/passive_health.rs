//! Guards against back ends that stay in use though they fail, and against leaving out sound ones.

use yuccacove::passive_health::PassiveHealth;

#[test]
fn is_avoided_grows_with_failures_in_a_row() {
    let mut health = PassiveHealth::default();
    let mut last_ms = 0;
    for _ in 0..4 {
        health.record_unreachable(0);
        let until_ms = (0..10_000).find(|ms| !health.is_avoided(*ms));
        let until_ms = until_ms.expect("not avoided for ever");
        assert!(until_ms > last_ms);
        last_ms = until_ms;
    }
    for _ in 0..40 {
        health.record_unreachable(0);
    }
    assert!(!health.is_avoided(4_000));
}

/// Back ends that fail one request in seven by design are not to be avoided.
#[test]
fn failure_rate_of_a_normal_back_end() {
    let mut health = PassiveHealth::default();
    for n in 0..700 {
        health.record_response(n % 7 != 0);
        assert!(!health.is_avoided(n));
    }
    assert!(health.failure_rate() < 0.35);
}

#[test]
fn failure_rate_tells_a_failing_back_end() {
    let mut health = PassiveHealth::default();
    for n in 0..20 {
        if n % 2 == 0 {
            health.record_broken_connection();
        } else {
            health.record_response(true);
        }
    }
    assert!(health.failure_rate() > 0.3);
    for _ in 0..40 {
        health.record_response(true);
    }
    assert!(health.failure_rate() < 0.02);
}
