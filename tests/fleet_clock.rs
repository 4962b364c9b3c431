//! Tests the estimate of true time: wall clocks that step must not move requests between windows.

use yuccacove::fleet_clock::{ClockSample, FleetClock};
use yuccacove::fleet_rate::HostId;

const TRUE_START_MS: u64 = 1_700_000_000_000;

/// Returns the largest error of the estimate over a minute, in a fleet where the share `wrong` of the
/// wall clocks is off by `step_ms` from 10 s on. The host itself is one of them.
fn largest_error_ms(hosts: u64, wrong: f64, step_ms: i64, round_trip_ms: u64) -> u64 {
    let mut clock = FleetClock::new(HostId(0));
    let wrong_hosts = (hosts as f64 * wrong) as u64;
    let wall_ms = |host: u64, at_ms: u64| {
        let is_stepped = host < wrong_hosts && at_ms > 10_000;
        (TRUE_START_MS + at_ms).saturating_add_signed(if is_stepped { step_ms } else { 0 })
    };
    let mut largest_ms = 0;
    let mut draw = 1_u64;
    for at_ms in (0..60_000).step_by(500) {
        clock.record_own(at_ms, wall_ms(0, at_ms));
        for _ in 0..2 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let host = 1 + (draw >> 33) % (hosts - 1);
            let sample = ClockSample {
                sent_ms: at_ms,
                received_ms: at_ms + round_trip_ms,
                wall_ms: wall_ms(host, at_ms + round_trip_ms / 2),
            };
            clock.record(HostId(host), sample);
        }
        if clock.is_settled(hosts as usize - 1, at_ms) {
            let estimate_ms = clock.true_ms(at_ms).expect("an estimate");
            largest_ms = largest_ms.max(estimate_ms.abs_diff(TRUE_START_MS + at_ms));
        }
    }
    largest_ms
}

#[test]
fn true_ms_with_stepped_clocks() {
    for hosts in [7, 59, 350] {
        for step_ms in [-4_000, 4_000] {
            for round_trip_ms in [0, 20, 150] {
                let error_ms = largest_error_ms(hosts, 0.3, step_ms, round_trip_ms);
                assert!(error_ms <= 100, "{hosts} hosts, {step_ms}, {error_ms} ms");
            }
        }
    }
}

/// An answer that waited while a host was suspended must not count.
#[test]
fn record_ignores_long_round_trip() {
    let mut clock = FleetClock::new(HostId(0));
    clock.record_own(0, TRUE_START_MS);
    for id in 1..=4 {
        let sample = ClockSample {
            sent_ms: 0,
            received_ms: 5_000,
            wall_ms: TRUE_START_MS,
        };
        clock.record(HostId(id), sample);
    }
    assert_eq!(clock.true_ms(5_000), Some(TRUE_START_MS + 5_000));
    assert!(!clock.is_settled(4, 1_000));
    assert!(clock.is_settled(4, 5_000));
}

/// Samples of hosts that have left must not count for ever: the boot clock drifts.
#[test]
fn record_forgets_old_samples() {
    let mut clock = FleetClock::new(HostId(0));
    let sample = ClockSample {
        sent_ms: 0,
        received_ms: 0,
        wall_ms: 1,
    };
    clock.record(HostId(1), sample);
    clock.record(HostId(2), sample);
    clock.record_own(40_000, TRUE_START_MS + 40_000);
    assert_eq!(clock.sampled_ms(HostId(1)), None);
    assert_eq!(clock.true_ms(40_000), Some(TRUE_START_MS + 40_000));
}
