//! Tests which requests a host takes during a graceful shutdown.

use yuccacove::shutdown::Shutdown;

/// Guards against taking a request late in the grace period that the exit of the process cuts off, and
/// against refusing those that come before callers learn of the shutdown.
#[test]
fn accepts_within_grace() {
    let mut shutdown = Shutdown::new(8_000);
    assert!(shutdown.accepts(u64::MAX, 500));
    assert_eq!(shutdown.refusal_ms(), None);
    shutdown.begin(10_000);
    shutdown.begin(12_000);
    #[rustfmt::skip]
    let cases = [
        (10_000, u64::MAX, true),
        (13_000, 10_000, true),
        (13_001, 10_000, false),
        (14_000, 3_200, true),
        (14_000, 3_201, false),
        (17_300, 1, false),
        (18_000, 0, false),
    ];
    for (now_ms, limit_ms, is_accepted) in cases {
        let accepts = shutdown.accepts(limit_ms, now_ms);
        assert_eq!(accepts, is_accepted, "{limit_ms} ms at {now_ms}");
    }
    assert_eq!(shutdown.refusal_ms(), Some(17_200));
    assert_eq!(shutdown.exit_ms(), Some(17_600));
}
