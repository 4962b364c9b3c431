//! Tests of telling a partition of a host from failures of backends.

use yuccacove::reachability::{Outcome, Reachability};

/// Guards against a host that takes crashes of most backends for its own partition although it reaches the rest.
#[test]
fn reachability_crashed_backends() {
    let mut paths = Reachability::default();
    for round in 0..20 {
        let now_ms = 100 * round;
        paths.record("chat", "a", Outcome::Refused, now_ms);
        paths.record("chat", "b", Outcome::Refused, now_ms);
        paths.record("chat", "c", Outcome::Opened, now_ms);
        assert!(!paths.is_suspected("chat", now_ms), "round {round}");
        assert!(paths.is_opened("chat", &"c", now_ms) && !paths.is_opened("chat", &"a", now_ms));
    }
}

/// Guards against a host that takes its own partition for an outage of each backend in turn.
#[test]
fn reachability_partition() {
    for outcome in [Outcome::Refused, Outcome::Silent] {
        let mut paths = Reachability::default();
        paths.record("chat", 0, Outcome::Opened, 0);
        paths.record("chat", 1, outcome, 4_000);
        assert!(paths.is_suspected("chat", 4_000) && !paths.is_partitioned("chat", 4_000));
        paths.record("chat", 1, outcome, 4_200);
        assert!(
            !paths.is_partitioned("chat", 4_200),
            "the same backend again"
        );
        paths.record("chat", 2, outcome, 4_400);
        assert!(paths.is_partitioned("chat", 4_400), "{outcome:?}");
        assert_eq!(paths.is_silent("chat", 4_400), outcome == Outcome::Silent);
    }
}

/// Guards against a partition that stays believed after it has healed, and against one that is forgotten while it
/// lasts.
#[test]
fn reachability_end() {
    let mut paths = Reachability::default();
    for probe in 0..20u64 {
        paths.record("chat", probe % 4, Outcome::Silent, probe * 400);
        assert_eq!(paths.is_partitioned("chat", probe * 400), probe > 0);
    }
    paths.record("chat", 3, Outcome::Opened, 8_000);
    assert!(!paths.is_suspected("chat", 8_000));
    paths.record("chat", 0, Outcome::Silent, 9_000);
    assert!(paths.is_suspected("chat", 9_000));
    assert!(!paths.is_suspected("chat", 13_000), "long ago");
}

/// Guards against a host that cannot tell its own partition where a service has a single backend, and against one that
/// is refuted by a service which it still reaches.
#[test]
fn reachability_single_backend() {
    let mut paths = Reachability::default();
    for now_ms in [0, 300, 600] {
        paths.record("desk", 0, Outcome::Silent, now_ms);
        paths.record("chat", 1, Outcome::Opened, now_ms);
        assert!(
            !paths.is_partitioned("desk", now_ms),
            "only it is unreachable"
        );
    }
    paths.record("chat", 1, Outcome::Silent, 900);
    assert!(paths.is_silent("desk", 900) && paths.is_partitioned("chat", 900));
    assert_eq!(paths.partitioned(900).collect::<Vec<_>>(), ["desk", "chat"]);
    paths.record("chat", 2, Outcome::Refused, 950);
    assert!(!paths.is_silent("chat", 950), "a backend of it answers");
    assert!(paths.is_silent("desk", 950));
    paths.record("chat", 3, Outcome::Opened, 1_000);
    assert!(!paths.is_partitioned("desk", 1_000));
    assert!(paths.is_suspected("desk", 1_000));
}
