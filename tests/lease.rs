//! Leases: times, lost answers, lagging reads and changes of holder.

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

/// A keeper of host 1 that took the lease: write sent at `sent_ms`, answered at `answered_ms`.
fn holder(sent_ms: u64, answered_ms: u64) -> LeaseState<u8> {
    let mut state = LeaseState::new(1, Timing::default());
    state.reread(
        Stored {
            version: 0,
            value: None,
        },
        sent_ms,
    );
    take(&mut state, sent_ms);
    state.written(WriteResult::Written(10), answered_ms);
    state
}

fn take(state: &mut LeaseState<u8>, now_ms: u64) -> Write<Lease<u8>> {
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

/// Guards against taking a lease whose holder still renews it, and against a successor that is
/// too late.
#[test]
fn advance_takes_free_lease() {
    let held = lease(Some(2), 3, 1);
    // Observations as (time, version, lease), then the first time at which the lease is taken.
    #[rustfmt::skip]
    let cases = [
        ("seen once", vec![(100, 5, held)], 6_100),
        ("seen again unchanged", vec![(100, 5, held), (900, 5, held)], 6_100),
        ("renewed", vec![(100, 5, held), (900, 6, lease(Some(2), 3, 2))], 6_900),
        ("lagging read", vec![(100, 5, held), (900, 4, lease(Some(2), 3, 0))], 6_100),
        ("given back", vec![(100, 5, held), (900, 6, lease(None, 3, 2))], 900),
        ("own name, earlier process", vec![(100, 5, lease(Some(1), 3, 1))], 6_100),
    ];
    for (name, observations, taken_ms) in cases {
        let mut state = LeaseState::new(1, Timing::default());
        for (at_ms, version, lease) in observations {
            state.observe(stored(version, lease), at_ms);
        }
        let before = state.advance(taken_ms - 1, Token(9));
        assert_eq!(before, wait_until(taken_ms), "{name}");
        let write = take(&mut state, taken_ms);
        assert_eq!(
            (write.value.epoch, write.value.holder),
            (4, Some(1)),
            "{name}"
        );
    }
}

/// Guards against a holder that counts its time from the answer instead of from the sending.
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
    // The slowest clock's safe time ends before the fastest clock's TTL.
    let timing = Timing::default();
    assert!((timing.ttl_ms - timing.margin_ms) * 105 < timing.ttl_ms * 95);
}

/// Guards against a renewal that is taken for failed, or for newer than it is, after its answer
/// was lost.
#[test]
fn written_lost() {
    type Found = fn(Write<Lease<u8>>) -> Stored<Lease<u8>>;
    // What the read finds, whether the authority lasts to 2,000 + 5,000 ms, and the next step.
    #[rustfmt::skip]
    let cases: [(&str, Found, bool, bool); 3] = [
        ("took effect", |write| stored(11, write.value), true, false),
        ("did not take effect", |_| stored(10, lease(Some(1), 1, 0)), false, true),
        ("another host took over", |_| stored(12, lease(Some(2), 2, 0)), false, false),
    ];
    for (name, found, renewed, repeated) in cases {
        let mut state = holder(0, 0);
        let write = take(&mut state, 2_000);
        state.written(WriteResult::Lost, 3_000);
        assert_eq!(state.advance(3_000, Token(7)), Next::Read, "{name}");
        state.reread(found(write), 3_500);
        assert_eq!(state.authority(6_999).is_some(), renewed, "{name}");
        let next = state.advance(3_500, Token(8));
        assert_eq!(next == Next::Write(write), repeated, "{name}: {next:?}");
        if repeated {
            // Either sending may be the one that counts, so the safe time starts at the first.
            state.written(WriteResult::Written(11), 3_600);
            assert!(state.authority(6_999).is_some() && state.authority(7_000).is_none());
        }
    }
}

/// Guards against an answer that arrives after another host's takeover was seen.
#[test]
fn written_after_takeover_seen() {
    let mut state = holder(0, 0);
    take(&mut state, 2_000);
    state.observe(stored(12, lease(Some(2), 2, 0)), 2_100);
    state.written(WriteResult::Written(11), 2_200);
    assert_eq!(state.authority(2_200), None);
}

/// Guards against a stopping holder that still acts, and against a successor that waits for the
/// TTL after a planned stop.
#[test]
fn stop_gives_lease_back() {
    let mut state = holder(0, 0);
    state.stop();
    assert_eq!(state.authority(1), None);
    let write = take(&mut state, 1);
    assert_eq!((write.value.holder, write.value.epoch), (None, 1));
    state.written(WriteResult::Written(11), 2);
    assert_eq!(state.advance(2, Token(9)), Next::Finished);
    let mut successor = LeaseState::new(2, Timing::default());
    successor.observe(stored(11, write.value), 5);
    assert_eq!(take(&mut successor, 5).value.epoch, 2);
}

/// Guards against an epoch that starts again, and an early takeover, when a lease object vanishes.
#[test]
fn observe_vanished() {
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
    assert_eq!(take(&mut state, 7_000).value.epoch, 4);
}

/// Guards against hosts that all write at the moment when a lease expires, and against a wait
/// that moves the successor beyond 8 s.
#[test]
fn stagger_spreads_hosts() {
    let mut waits: Vec<u64> = (0..350)
        .map(|i| stagger_ms("pool", &format!("h{i}")))
        .collect();
    waits.sort_unstable();
    assert!(waits.iter().all(|ms| *ms < MAX_STAGGER_MS));
    let crowd = waits.windows(20).filter(|w| w[19] - w[0] < 10).count();
    assert_eq!(crowd, 0, "20 hosts within 10 ms");
    assert!(Timing::default().ttl_ms + MAX_STAGGER_MS < 8_000);
}

/// Guards against fleets in which nobody, or everybody, follows each renewal, and against a far
/// standby that takes a renewed lease for lapsed because it looks seldom.
#[test]
fn standby_of_hosts() {
    for count in [1, 7, 8, 9, 350] {
        let hosts: Vec<String> = (1..=count).map(|n| format!("entry-{n}")).collect();
        let standing = |host: &String| Standby::of(host, hosts.iter().map(String::as_str));
        let near = hosts
            .iter()
            .filter(|host| standing(host) == Standby::Watching);
        assert_eq!(near.count(), count.min(WATCHING_STANDBYS));
    }
    let wait_ms = |standby: Standby| Timing::default().ttl_ms + standby.stagger_ms("p", "h");
    assert!(wait_ms(Standby::Watching) <= 8_000);
    assert!(wait_ms(Standby::Polling) > POLL_INTERVAL_MS + Timing::default().ttl_ms);
}
