//! Tests of how long streams are assumed to live when the limits change.

use yuccacove::stream_lifetime::StreamLifetime;

/// Time within which all hosts apply a change.
const SPREAD_MS: u64 = 2_000;
const SHORT_MS: u64 = 4_000;
const LONG_MS: u64 = 15_000;

/// Lifetime by new limits, and the time at which they were applied.
type Change = (u64, u64);

fn after(changes: &[Change]) -> StreamLifetime {
    let mut lifetime = StreamLifetime::new(SPREAD_MS);
    for (lifetime_ms, now_ms) in changes {
        lifetime.set_in_force(*lifetime_ms, Some(500), *now_ms);
    }
    lifetime
}

/// Guards against streams that outlast what tells their version because limits were lowered, removed or
/// lowered again, and against a look back that is longer than any stream after they were raised.
#[test]
fn lifetime_after_changes() {
    let raised = [(SHORT_MS, 0), (LONG_MS, 100_000)];
    let lowered = [(LONG_MS, 0), (SHORT_MS, 100_000)];
    let lowered_again = [(LONG_MS, 0), (8_000, 100_000), (SHORT_MS, 101_000)];
    let removed = [(LONG_MS, 0), (0, 100_000), (SHORT_MS, 105_000)];
    let flapping = [
        (LONG_MS, 0),
        (SHORT_MS, 100_000),
        (LONG_MS, 101_000),
        (SHORT_MS, 102_000),
    ];
    // Changes, a time, the longest lifetime, and how long ago a live stream may have begun.
    let cases: [(&str, &[Change], u64, u64, u64); 14] = [
        ("first limits", &[(LONG_MS, 0)], 1_000, LONG_MS, LONG_MS),
        (
            "the same again",
            &[(LONG_MS, 0), (LONG_MS, 9_000)],
            90_000,
            LONG_MS,
            LONG_MS,
        ),
        ("lowered", &lowered, 100_001, LONG_MS, LONG_MS),
        (
            "lowered, streams run on",
            &lowered,
            117_000,
            LONG_MS,
            LONG_MS,
        ),
        (
            "lowered, none runs on",
            &lowered,
            117_001,
            SHORT_MS,
            SHORT_MS,
        ),
        ("lowered again", &lowered_again, 116_000, LONG_MS, LONG_MS),
        (
            "lowered again, later",
            &lowered_again,
            117_001,
            SHORT_MS,
            SHORT_MS,
        ),
        ("removed", &removed, 104_000, LONG_MS, LONG_MS),
        ("removed and added", &removed, 117_000, LONG_MS, LONG_MS),
        ("raised", &raised, 100_000, LONG_MS, SHORT_MS),
        ("raised, a while ago", &raised, 110_000, LONG_MS, 12_000),
        ("raised, long ago", &raised, 150_000, LONG_MS, LONG_MS),
        ("raised for a moment", &flapping, 119_000, LONG_MS, LONG_MS),
        (
            "raised for a moment, long ago",
            &flapping,
            119_001,
            SHORT_MS,
            SHORT_MS,
        ),
    ];
    for (name, changes, now_ms, longest_ms, span_ms) in cases {
        let lifetime = after(changes);
        let found = (lifetime.longest_ms(now_ms), lifetime.span_ms(now_ms));
        assert_eq!(found, (longest_ms, span_ms), "{name}");
    }
}

/// Guards against configurations in quick succession that use up memory, or push out the longest lifetime.
#[test]
fn lifetime_after_many_changes() {
    let mut lifetime = StreamLifetime::new(SPREAD_MS);
    for number in 0..10_000 {
        lifetime.set_in_force(LONG_MS - number, Some(500), number);
    }
    assert_eq!(lifetime.longest_ms(10_000), LONG_MS);
    assert_eq!(lifetime.longest_ms(40_000), LONG_MS - 9_999);
}

/// Guards against a host that was out of step while the limits were raised, and takes the time at which it learnt
/// of them for that from which on streams live longer.
#[test]
fn lifetime_raised_unseen() {
    let mut lifetime = after(&[(SHORT_MS, 0)]);
    lifetime.set_in_force(LONG_MS, Some(9_000), 100_000);
    assert_eq!(lifetime.span_ms(100_000), 9_000);
    assert_eq!(lifetime.span_ms(103_000), 12_000);
    let mut lifetime = after(&[(SHORT_MS, 0)]);
    lifetime.set_in_force(LONG_MS, None, 100_000);
    assert_eq!(lifetime.span_ms(100_000), LONG_MS);
}

/// Guards against a host that has just started and knows only the limits that are in force now.
#[test]
fn lifetime_learned() {
    let mut lifetime = after(&[(SHORT_MS, 0)]);
    lifetime.learn(LONG_MS, 1_000);
    let found =
        |lifetime: &StreamLifetime, now_ms| (lifetime.longest_ms(now_ms), lifetime.span_ms(now_ms));
    assert_eq!(found(&lifetime, 18_000), (LONG_MS, LONG_MS));
    assert_eq!(found(&lifetime, 18_001), (SHORT_MS, SHORT_MS));
    assert_eq!(lifetime.in_force_ms(), SHORT_MS);
    // Shorter ones add nothing.
    lifetime.learn(SHORT_MS - 1, 20_000);
    assert_eq!(found(&lifetime, 20_000), (SHORT_MS, SHORT_MS));
}

/// Guards against streams that outlast what tells their version because their callers wait for longer than the
/// limits in force allow, over several tries.
#[test]
fn lifetime_of_waiting_callers() {
    let mut lifetime = after(&[(SHORT_MS, 0)]);
    lifetime.begin(SHORT_MS, 1_000);
    assert_eq!(lifetime.longest_ms(1_000), SHORT_MS);
    lifetime.begin(10_000, 50_000);
    lifetime.begin(9_000, 55_000);
    assert!(lifetime.longest_ms(65_000) >= 10_000);
    assert_eq!(
        lifetime.span_ms(51_000),
        SHORT_MS,
        "none has run for so long"
    );
    assert_eq!(lifetime.span_ms(59_000), 9_000);
    assert!(
        lifetime.span_ms(64_000) >= 10_000,
        "the first one began 14 s ago, the second one 9 s"
    );
    assert_eq!(lifetime.longest_ms(72_000), SHORT_MS);
    // A caller cannot ask for any time.
    lifetime.begin(u64::MAX, 100_000);
    assert!(lifetime.longest_ms(100_000) <= 600_000);
    assert_eq!(lifetime.longest_ms(800_000), SHORT_MS);
}
