//! Tests of telling a partition of a host from failures of backends.

use yuccacove::reachability::{Outcome, Reachability};

/// Guards against a host that takes crashes of a few backends for its own partition.
#[test]
fn reachability_crashed_backends() {
    let mut paths = Reachability::default();
    for backend in 0..10 {
        paths.record(backend, Outcome::Opened, 0);
    }
    for backend in 0..4 {
        paths.record(backend, Outcome::Refused, 100);
        assert!(!paths.is_suspected(100), "{backend}");
    }
}

/// Guards against a host that takes its own partition for an outage of each backend in turn.
#[test]
fn reachability_partition() {
    for outcome in [Outcome::Refused, Outcome::Silent] {
        let mut paths = Reachability::default();
        paths.record(0, Outcome::Opened, 0);
        paths.record(1, outcome, 4_000);
        assert!(paths.is_suspected(4_000) && !paths.is_partitioned(4_000));
        paths.record(2, outcome, 4_400);
        assert!(paths.is_partitioned(4_400), "{outcome:?}");
        assert_eq!(paths.is_silent(4_400), outcome == Outcome::Silent);
    }
}

/// Guards against a partition that stays believed after it has healed, and against one that is forgotten while it
/// lasts.
#[test]
fn reachability_end() {
    let mut paths = Reachability::default();
    for probe in 0..20u64 {
        paths.record(probe % 4, Outcome::Silent, probe * 400);
        assert_eq!(paths.is_partitioned(probe * 400), probe > 0);
    }
    for (probe, backend) in (0..4u64).enumerate() {
        paths.record(backend, Outcome::Opened, 8_000 + probe as u64);
    }
    assert!(!paths.is_suspected(8_010));
    paths.record(0, Outcome::Silent, 9_000);
    paths.record(1, Outcome::Silent, 9_000);
    assert!(!paths.is_partitioned(9_000), "two of four are reachable");
    assert!(!paths.is_suspected(13_000), "long ago");
}
