//! Guards against backends that stay in use although they fail, and against avoiding healthy ones.

use yuccacove::passive_health::PassiveHealth;

#[test]
fn is_avoided_grows_with_consecutive_failures() {
    let mut health = PassiveHealth::default();
    let mut last_ms = 0;
    for _ in 0..4 {
        health.record_unreachable(0);
        let until_ms = (0..10_000).find(|ms| !health.is_avoided(*ms));
        let until_ms = until_ms.expect("avoided for a limited time");
        assert!(until_ms > last_ms);
        last_ms = until_ms;
    }
    for _ in 0..40 {
        health.record_unreachable(0);
    }
    assert!(!health.is_avoided(4_000));
}

/// Backends that fail one request in seven in normal operation must not be avoided.
#[test]
fn failure_rate_of_healthy_backend() {
    let mut health = PassiveHealth::default();
    for n in 0..700 {
        health.record_response(n % 7 != 0);
        assert!(!health.is_avoided(n));
    }
    assert!(health.failure_rate() < 0.35);
}

#[test]
fn failure_rate_of_failing_backend() {
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
