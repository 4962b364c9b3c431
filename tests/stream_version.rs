//! Tests at which software version a stream goes on, by what a host knows.

use yuccacove::stream_version::{
    Evidence, OnlyVersions, StreamId, StreamVersions, VersionHistory, VersionId,
};

const OLD: VersionId = VersionId(1);
const NEW: VersionId = VersionId(2);

/// Guards against a version that is guessed: only a record, or one version for long enough, tells it.
#[test]
fn evidence_version() {
    let unknown = || Evidence {
        present: vec![NEW],
        ..Evidence::default()
    };
    let cases = [
        ("one version, seen for a moment", unknown(), None),
        (
            "watched",
            Evidence {
                has_watched: true,
                ..unknown()
            },
            Some(NEW),
        ),
        (
            "observed_by_peer",
            Evidence {
                observed_by_peer: Some(NEW),
                ..unknown()
            },
            Some(NEW),
        ),
        (
            "observed_by_peer for another",
            Evidence {
                observed_by_peer: Some(OLD),
                ..unknown()
            },
            None,
        ),
        (
            "stored",
            Evidence {
                stored: Some(NEW),
                ..unknown()
            },
            Some(NEW),
        ),
        (
            "stored another",
            Evidence {
                stored: Some(OLD),
                ..unknown()
            },
            None,
        ),
        (
            "several versions",
            Evidence {
                present: vec![OLD, NEW],
                has_watched: true,
                stored: Some(NEW),
                ..unknown()
            },
            None,
        ),
        (
            "several versions, recorded",
            Evidence {
                present: vec![OLD, NEW],
                recorded: Some(OLD),
                ..unknown()
            },
            Some(OLD),
        ),
        (
            "no engine",
            Evidence {
                present: Vec::new(),
                has_watched: true,
                ..unknown()
            },
            None,
        ),
        (
            "gone, recorded",
            Evidence {
                recorded: Some(OLD),
                ..unknown()
            },
            Some(OLD),
        ),
    ];
    for (name, evidence, expected) in cases {
        assert_eq!(evidence.version(), expected, "{name}");
    }
}

/// Guards against streams that are forgotten too early, or never.
#[test]
fn stream_versions_forget() {
    let mut streams = StreamVersions::default();
    for number in 0..100 {
        let now_ms = number * 10;
        streams.record(StreamId(number), OLD, now_ms + 500, now_ms);
    }
    assert_eq!(streams.find(StreamId(48)), None);
    assert_eq!(streams.find(StreamId(49)), Some(OLD));
    assert_eq!(streams.iter().count(), 51);
    // A stream that is recorded again is the youngest.
    streams.record(StreamId(49), NEW, 1_500, 1_000);
    streams.record(StreamId(100), OLD, 1_900, 1_400);
    assert_eq!(streams.find(StreamId(49)), Some(NEW));
    assert_eq!(streams.find(StreamId(60)), None);
}

/// Guards against a stream that is forgotten because those that begin after it live less long, or because it is
/// recorded again with less time.
#[test]
fn stream_versions_keep_own_time() {
    let mut streams = StreamVersions::default();
    streams.record(StreamId(1), OLD, 15_000, 0);
    streams.record(StreamId(1), OLD, 5_000, 1_000);
    for number in 2..100 {
        let now_ms = number * 100;
        streams.record(StreamId(number), NEW, now_ms + 400, now_ms);
    }
    assert_eq!(streams.find(StreamId(1)), Some(OLD));
    assert_eq!(streams.find(StreamId(95)), Some(NEW));
    assert_eq!(streams.find(StreamId(94)), None);
    streams.record(StreamId(100), NEW, 20_000, 15_001);
    assert_eq!(streams.find(StreamId(1)), None);
}

/// Guards against a version that has left a moment ago and does not count any more.
#[test]
fn version_history_since() {
    let mut history = VersionHistory::default();
    history.record(OLD, 700);
    history.record(NEW, 900);
    history.record(OLD, 300);
    let since = |since_ms| history.since(since_ms).collect::<Vec<_>>();
    assert_eq!(since(0), [OLD, NEW]);
    assert_eq!(since(699), [OLD, NEW]);
    assert_eq!(since(700), [NEW]);
    assert_eq!(since(900), []);
    history.forget(900);
    assert_eq!(history.since(0).collect::<Vec<_>>(), [NEW]);
    history.forget(901);
    assert!(history.is_empty());
}

/// Guards against a record that is taken for proof though it does not reach back to all streams that run, as one of
/// an earlier build after the limits were lowered.
#[test]
fn only_versions_find() {
    // Lifetime in the record, its age, how long ago a stream may have begun, and whether the record counts.
    let cases = [
        (Some(15_000), 0, 15_000, true),
        (Some(15_000), 0, 15_001, false),
        (Some(15_000), 1, 15_001, true),
        (Some(4_000), 0, 15_000, false),
        (Some(4_000), 11_000, 15_000, true),
        (None, 0, 4_000, true),
        (None, 0, 15_000, false),
        (None, 11_000, 15_000, true),
    ];
    for (lifetime_ms, age_ms, span_ms, is_found) in cases {
        let record = OnlyVersions {
            by_service: [("model".to_owned(), OLD)].into(),
            lifetime_ms,
        };
        let found = record.find("model", age_ms, span_ms, 4_000);
        let case = (lifetime_ms, age_ms, span_ms);
        assert_eq!(found, is_found.then_some(OLD), "{case:?}");
        assert_eq!(record.find("other", age_ms, span_ms, 4_000), None);
    }
}
