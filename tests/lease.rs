//! Leases: expiry, lost write results, stale reads and changes of holder.

use yuccacove::lease::{
    Lease, LeaseState, MAX_STAGGER_MS, Next, POLL_INTERVAL_MS, Standby, Timing, WATCHING_STANDBYS,
    stagger_ms,
};
use yuccacove::store::{Stored, Token, Write, WriteResult};

fn lease(holder: Option<u8>, epoch: u64, renewal: u64) -> Lease<u8> {
    Lease {
        holder,
        epoch,
        renewal,
        writer: Token(epoch * 100 + renewal),
    }
}

fn stored(version: u64, lease: Lease<u8>) -> Stored<Lease<u8>> {
    Stored {
        version,
        value: Some(lease),
    }
}

/// State of host 1 after it acquired the lease with a write sent at `sent_ms` whose result arrived
/// at `answered_ms`.
fn holder(sent_ms: u64, answered_ms: u64) -> LeaseState<u8> {
    let mut state = LeaseState::new(1, Timing::default());
    state.reread(
        Stored {
            version: 0,
            value: None,
        },
        sent_ms,
    );
    next_write(&mut state, sent_ms);
    state.written(WriteResult::Written(10), answered_ms);
    state
}

fn next_write(state: &mut LeaseState<u8>, now_ms: u64) -> Write<Lease<u8>> {
    match state.advance(now_ms, Token(now_ms + 1)) {
        Next::Write(write) => write,
        other => panic!("no write at {now_ms}: {other:?}"),
    }
}

fn wait_until(at_ms: u64) -> Next<u8> {
    Next::Wait {
        until_ms: Some(at_ms),
    }
}

/// Guards against acquiring a lease whose holder still renews it, and against a successor that
/// acquires an expired lease too late.
#[test]
fn advance_acquires_free_lease() {
    let held = lease(Some(2), 3, 1);
    // (name, observations as (time, version, lease), earliest time at which the lease is acquired)
    #[rustfmt::skip]
    let cases = [
        ("seen once", vec![(100, 5, held)], 6_100),
        ("seen again unchanged", vec![(100, 5, held), (900, 5, held)], 6_100),
        ("renewed", vec![(100, 5, held), (900, 6, lease(Some(2), 3, 2))], 6_900),
        ("stale read", vec![(100, 5, held), (900, 4, lease(Some(2), 3, 0))], 6_100),
        ("released", vec![(100, 5, held), (900, 6, lease(None, 3, 2))], 900),
        ("own name, earlier process", vec![(100, 5, lease(Some(1), 3, 1))], 6_100),
    ];
    for (name, observations, acquired_ms) in cases {
        let mut state = LeaseState::new(1, Timing::default());
        for (at_ms, version, lease) in observations {
            state.observe(stored(version, lease), at_ms);
        }
        let before = state.advance(acquired_ms - 1, Token(9));
        assert_eq!(before, wait_until(acquired_ms), "{name}");
        let write = next_write(&mut state, acquired_ms);
        assert_eq!(
            (write.value.epoch, write.value.holder),
            (4, Some(1)),
            "{name}"
        );
    }
}

/// Guards against a holder that counts the TTL from the result of its write instead of from sending
/// the write.
#[test]
fn authority_ends_before_ttl() {
    for (sent_ms, answered_ms) in [(0, 0), (0, 900), (0, 4_999), (0, 5_500)] {
        let state = holder(sent_ms, answered_ms);
        assert!(
            state.authority(4_999).is_some(),
            "answered at {answered_ms}"
        );
        assert!(
            state.authority(5_000).is_none(),
            "answered at {answered_ms}"
        );
    }
    // The holder's authority on the slowest clock ends before the TTL on the fastest clock.
    let timing = Timing::default();
    assert!((timing.ttl_ms - timing.margin_ms) * 105 < timing.ttl_ms * 95);
}

/// Guards against a renewal whose result was lost and that is then considered failed, or more
/// recent than it is.
#[test]
fn written_lost() {
    type Found = fn(Write<Lease<u8>>) -> Stored<Lease<u8>>;
    // (name, object that the read returns, whether the authority lasts until 2,000 + 5,000 ms,
    // whether the write is repeated)
    #[rustfmt::skip]
    let cases: [(&str, Found, bool, bool); 3] = [
        ("took effect", |write| stored(11, write.value), true, false),
        ("did not take effect", |_| stored(10, lease(Some(1), 1, 0)), false, true),
        ("acquired by another host", |_| stored(12, lease(Some(2), 2, 0)), false, false),
    ];
    for (name, found, renewed, repeated) in cases {
        let mut state = holder(0, 0);
        let write = next_write(&mut state, 2_000);
        state.written(WriteResult::Lost, 3_000);
        assert_eq!(state.advance(3_000, Token(7)), Next::Read, "{name}");
        state.reread(found(write), 3_500);
        assert_eq!(state.authority(6_999).is_some(), renewed, "{name}");
        let next = state.advance(3_500, Token(8));
        assert_eq!(next == Next::Write(write), repeated, "{name}: {next:?}");
        if repeated {
            // Either of the two writes may have taken effect, so the TTL counts from the first.
            state.written(WriteResult::Written(11), 3_600);
            assert!(state.authority(6_999).is_some() && state.authority(7_000).is_none());
        }
    }
}

/// Guards against a write result that arrives after another host was seen to hold the lease.
#[test]
fn written_after_takeover_seen() {
    let mut state = holder(0, 0);
    next_write(&mut state, 2_000);
    state.observe(stored(12, lease(Some(2), 2, 0)), 2_100);
    state.written(WriteResult::Written(11), 2_200);
    assert_eq!(state.authority(2_200), None);
}

/// Guards against a stopping holder that still acts, and against a successor that waits for the TTL
/// after a planned stop.
#[test]
fn stop_releases_lease() {
    let mut state = holder(0, 0);
    state.stop();
    assert_eq!(state.authority(1), None);
    let write = next_write(&mut state, 1);
    assert_eq!((write.value.holder, write.value.epoch), (None, 1));
    state.written(WriteResult::Written(11), 2);
    assert_eq!(state.advance(2, Token(9)), Next::Finished);
    let mut successor = LeaseState::new(2, Timing::default());
    successor.observe(stored(11, write.value), 5);
    assert_eq!(next_write(&mut successor, 5).value.epoch, 2);
}

/// Guards against epochs that start again, and against acquiring the lease before its TTL ends,
/// when the lease object was deleted.
#[test]
fn observe_deleted() {
    let mut state = LeaseState::new(1, Timing::default());
    state.observe(stored(5, lease(Some(2), 3, 1)), 0);
    state.observe(
        Stored {
            version: 0,
            value: None,
        },
        1_000,
    );
    assert_eq!(state.advance(1_000, Token(1)), wait_until(7_000));
    assert_eq!(next_write(&mut state, 7_000).value.epoch, 4);
}

/// Guards against a thundering herd of writes when a lease expires, and against a delay with which
/// the successor would need more than 8 s.
#[test]
fn stagger_spreads_hosts() {
    let mut waits: Vec<u64> = (0..350)
        .map(|i| stagger_ms("pool", &format!("h{i}")))
        .collect();
    waits.sort_unstable();
    assert!(waits.iter().all(|ms| *ms < MAX_STAGGER_MS));
    let crowded = waits.windows(20).filter(|w| w[19] - w[0] < 10).count();
    assert_eq!(crowded, 0, "20 hosts within 10 ms");
    assert!(Timing::default().ttl_ms + MAX_STAGGER_MS < 8_000);
}

/// Guards against fleets in which no host, or every host, watches the leases, and against a polling
/// host that considers a renewed lease expired between two polls.
#[test]
fn standby_of_hosts() {
    for count in [1, 7, 8, 9, 350] {
        let hosts: Vec<String> = (1..=count).map(|n| format!("entry-{n}")).collect();
        let standby = |host: &String| Standby::of(host, hosts.iter().map(String::as_str));
        let watching = hosts
            .iter()
            .filter(|host| standby(host) == Standby::Watching);
        assert_eq!(watching.count(), count.min(WATCHING_STANDBYS));
    }
    let wait_ms = |standby: Standby| Timing::default().ttl_ms + standby.stagger_ms("p", "h");
    assert!(wait_ms(Standby::Watching) <= 8_000);
    assert!(wait_ms(Standby::Polling) > POLL_INTERVAL_MS + Timing::default().ttl_ms);
}

/// Guards against acquiring a lease whose last holder is missing from a restored store, and against
/// an epoch that was given out since the copy.
#[test]
fn restore_waits_for_unknown_holder() {
    let absent = Stored {
        version: 0,
        value: None,
    };
    let cases = [
        ("absent", absent),
        ("released before the copy", stored(3, lease(None, 4, 2))),
        ("held before the copy", stored(3, lease(Some(2), 4, 2))),
        ("held by this host", stored(3, lease(Some(1), 1, 0))),
    ];
    for (name, restored) in cases {
        let mut state = holder(0, 10);
        assert!(state.authority(100).is_some(), "{name}");
        state.restore(1_000);
        assert_eq!(state.authority(100), None, "{name}");
        assert_eq!(state.advance(100, Token(1)), Next::Read, "{name}");
        state.reread(restored, 200);
        let available_ms = 200 + Timing::default().ttl_ms;
        assert_eq!(
            state.advance(available_ms - 1, Token(2)),
            wait_until(available_ms),
            "{name}"
        );
        let write = next_write(&mut state, available_ms);
        assert!(write.value.epoch > 1_000, "{name}: {}", write.value.epoch);
    }
}
