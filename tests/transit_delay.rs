//! Tests of the estimate of how long messages waited on their way.

use yuccacove::transit_delay::TransitDelay;

/// Guards against a wait that goes unnoticed because the clocks of two machines have nothing in common.
#[test]
fn transit_delay_any_offset() {
    for (sent_ms, received_ms) in [(0, 900_000), (900_000, 0), (7, 7)] {
        let mut transit = TransitDelay::default();
        assert_eq!(transit.record(1, sent_ms, received_ms + 40), 0);
        assert_eq!(transit.record(1, sent_ms + 100, received_ms + 101), 0);
        assert_eq!(transit.record(1, sent_ms + 200, received_ms + 2_201), 2_000);
        assert_eq!(transit.record(1, sent_ms + 300, received_ms + 301), 0);
    }
}

/// Guards against a sender that never counts as prompt again after its machine was replaced, or because clocks
/// drift.
#[test]
fn transit_delay_restart_and_drift() {
    let mut transit = TransitDelay::default();
    transit.record(1, 500_000, 0);
    assert_eq!(transit.record(2, 10, 1_000), 0);
    let day_ms = 86_400_000;
    let drifted_ms = 10 + day_ms - day_ms / 10_000;
    assert_eq!(transit.record(2, drifted_ms, 1_000 + day_ms), 0);
}

/// Guards against an overflow by the numbers of a damaged datagram.
#[test]
fn transit_delay_extreme_numbers() {
    let mut transit = TransitDelay::default();
    transit.record(1, u64::MAX, 0);
    assert_eq!(transit.record(1, 0, u64::MAX), u64::MAX);
    transit.record(1, u64::MAX, u64::MAX);
}
