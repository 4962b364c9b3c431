//! Claims: repeated requests through other hosts, lost write results, retention and release.

use yuccacove::claim::{
    Attempt, CLOCK_SKEW_MS, ClaimReply, DispatchResult, Input, Key, MAX_CONFLICTS, Next,
    RESPONSE_MAX_BYTES, RESPONSE_RETENTION_MS, RETENTION_MS, Reply, Response, SLOT_MAX_BYTES, Slot,
    State, Step,
};
use yuccacove::code::Code;
use yuccacove::store::{Stored, Token, Write, WriteResult};

const NOW_MS: u64 = 10 * RETENTION_MS;

type StoredSlot = Stored<Slot<u8>>;

fn attempt(host: u8, body: &str) -> Attempt<u8> {
    let key = Key::new("foremen", "order-confirmations", "k1");
    let token = Token(u64::from(host));
    let started = Attempt::start(key, body.into(), host, token, NOW_MS);
    started.expect("the key has no time of issue").0
}

fn response(body: &str) -> Response {
    Response {
        status: 200,
        content_type: String::new(),
        body: Some(body.into()),
    }
}

fn write(step: Step<u8>) -> Write<Slot<u8>> {
    match step.next {
        Next::Write(write) => write,
        other => panic!("no write: {other:?}"),
    }
}

fn empty() -> StoredSlot {
    Stored {
        version: 0,
        value: None,
    }
}

fn stored(version: u64, slot: Slot<u8>) -> StoredSlot {
    Stored {
        version,
        value: Some(slot),
    }
}

fn written(version: u64) -> Input<u8> {
    Input::Write(WriteResult::Written(version))
}

/// An attempt of host 1 that has claimed and dispatched, and the slot with its claim.
fn dispatched() -> (Attempt<u8>, StoredSlot) {
    let mut first = attempt(1, "b");
    let claim = write(first.advance(Input::Read(empty()), NOW_MS));
    assert_eq!(first.advance(written(1), NOW_MS).next, Next::Dispatch);
    (first, stored(1, claim.value))
}

/// The slot after the dispatch of host 1 ended with `result`.
fn ended(result: DispatchResult) -> StoredSlot {
    let (mut first, slot) = dispatched();
    first.advance(Input::Dispatched(result), NOW_MS);
    stored(2, write(first.advance(Input::Read(slot), NOW_MS)).value)
}

/// Guards against a repeated request that is dispatched although the first may have run, and
/// against a key that stays blocked although the first request never ran. The repeat goes through
/// host 2.
#[test]
fn advance_repeat() {
    let problem = |code| Some(Reply::Problem(code));
    let stored_response = Some(Reply::Stored(response("a")));
    let large = "x".repeat(RESPONSE_MAX_BYTES + 1);
    let claimed = || dispatched().1;
    #[rustfmt::skip]
    let cases = [
        ("running", "b", claimed(), Some(ClaimReply::Running), problem(Code::RepeatInProgress)),
        ("no reply", "b", claimed(), Some(ClaimReply::Unknown), problem(Code::OutcomeUnknown)),
        ("ended, not yet recorded", "b", claimed(), Some(ClaimReply::Ended(Some(response("a")))), stored_response.clone()),
        ("ended", "b", ended(DispatchResult::Responded(response("a"))), None, stored_response),
        ("ended, large response", "b", ended(DispatchResult::Responded(response(&large))), None, problem(Code::AnswerNotKept)),
        ("ended unknown", "b", ended(DispatchResult::Unknown), None, problem(Code::OutcomeUnknown)),
        ("other body", "c", claimed(), None, problem(Code::KeyReused)),
        ("never dispatched", "b", claimed(), Some(ClaimReply::NeverDispatched), None),
        ("released", "b", ended(DispatchResult::NotDispatched), None, None),
    ];
    for (name, body, slot, reply, expected) in cases {
        let mut second = attempt(2, body);
        let mut step = second.advance(Input::Read(slot.clone()), NOW_MS);
        if let Some(reply) = reply {
            assert_eq!(
                step.next,
                Next::Ask {
                    host: 1,
                    token: Token(1)
                },
                "{name}"
            );
            step = second.advance(Input::Peer(reply), NOW_MS);
        }
        if expected.is_none() && step.next == (Next::Read { fresh: true }) {
            step = second.advance(Input::Read(slot), NOW_MS);
        }
        assert_eq!(step.reply, expected, "{name}");
        if expected.is_none() {
            write(step);
            assert_eq!(
                second.advance(written(9), NOW_MS).next,
                Next::Dispatch,
                "{name}"
            );
        }
    }
}

/// Guards against a dispatch under a claim whose write had an unknown result, and against such a
/// write that takes effect after the claim was released.
#[test]
fn advance_claim_write_lost() {
    let claim = write(attempt(1, "b").advance(Input::Read(empty()), NOW_MS)).value;
    let other = write(attempt(2, "b").advance(Input::Read(empty()), NOW_MS)).value;
    // (name, slot that the read returns, version expected by the releasing write if there is one)
    let cases = [
        ("took effect", stored(1, claim), Some(1)),
        ("can still take effect", empty(), Some(0)),
        ("overwritten", stored(1, Slot::default()), None),
        ("another host claimed", stored(1, other), None),
    ];
    for (name, found, expected) in cases {
        let mut first = attempt(1, "b");
        write(first.advance(Input::Read(empty()), NOW_MS));
        let step = first.advance(Input::Write(WriteResult::Lost), NOW_MS);
        assert_eq!(
            step.reply,
            Some(Reply::Problem(Code::ClaimUnavailable)),
            "{name}"
        );
        assert_eq!(first.claim_reply(), ClaimReply::NeverDispatched, "{name}");
        let again = first.advance(Input::Unreadable, NOW_MS);
        assert_eq!(
            again,
            Step {
                reply: None,
                next: Next::Read { fresh: true }
            },
            "{name}"
        );
        let step = first.advance(Input::Read(found), NOW_MS);
        let Some(expected) = expected else {
            assert_eq!(step.next, Next::Finished, "{name}");
            continue;
        };
        let release = write(step);
        assert_eq!(release.expected, expected, "{name}");
        assert_eq!(
            release.value.claims[&first.key().name()].state,
            State::Released,
            "{name}"
        );
        assert_eq!(
            first.advance(written(2), NOW_MS).next,
            Next::Finished,
            "{name}"
        );
    }
}

/// Guards against requests that are retried for ever instead of being refused when the store cannot
/// be read or the slot has too many conflicts, and against a claim that is not released after the
/// caller disconnected.
#[test]
fn advance_not_dispatched() {
    let unavailable = Some(Reply::Problem(Code::ClaimUnavailable));
    let mut first = attempt(1, "b");
    assert_eq!(first.advance(Input::Unreadable, NOW_MS).reply, unavailable);

    let mut first = attempt(1, "b");
    let mut step = first.advance(Input::Read(empty()), NOW_MS);
    for version in 1..=u64::from(MAX_CONFLICTS) {
        write(step);
        let conflict = WriteResult::Conflict(stored(version, Slot::default()));
        step = first.advance(Input::Write(conflict), NOW_MS);
    }
    assert_eq!(step.reply, unavailable);

    let mut first = attempt(1, "b");
    let claim = write(first.advance(Input::Read(empty()), NOW_MS)).value;
    assert_eq!(first.advance(Input::Cancelled, NOW_MS).next, Next::Wait);
    assert_eq!(
        first.advance(written(1), NOW_MS).next,
        Next::Read { fresh: true }
    );
    let release = write(first.advance(Input::Read(stored(1, claim)), NOW_MS));
    assert_eq!(
        release.value.claims[&first.key().name()].state,
        State::Released
    );
}

/// Guards against the end of a dispatch that is not recorded, or is recorded over another claim,
/// after a lost write result or a conflict.
#[test]
fn advance_end_write_lost() {
    let (mut first, slot) = dispatched();
    first.advance(
        Input::Dispatched(DispatchResult::Responded(response("a"))),
        NOW_MS,
    );
    let end = write(first.advance(Input::Read(slot.clone()), NOW_MS));
    let lost = first.advance(Input::Write(WriteResult::Lost), NOW_MS);
    assert_eq!(lost.next, Next::Read { fresh: true });
    let mut took_effect = first.clone();
    let step = took_effect.advance(Input::Read(stored(2, end.value)), NOW_MS);
    assert_eq!(step.next, Next::Finished);
    let again = write(first.advance(Input::Read(slot.clone()), NOW_MS));
    assert_eq!(again.expected, 1);
    let moved = Stored { version: 5, ..slot };
    let conflict = Input::Write(WriteResult::Conflict(moved));
    assert_eq!(write(first.advance(conflict, NOW_MS)).expected, 5);
}

/// Guards against a repeated request that runs because the claim of the first was pruned.
#[test]
fn start_key_age() {
    let issued = |ms: u64| Key::new("o", "e", &format!("t{ms}-x"));
    let cases = [
        (issued(NOW_MS - RETENTION_MS), None),
        (issued(NOW_MS - RETENTION_MS - 1), Some(Code::KeyExpired)),
        (issued(NOW_MS + CLOCK_SKEW_MS + 1), Some(Code::BadRequest)),
        (Key::new("o", "e", "t12"), None),
    ];
    for (key, expected) in cases {
        let started = Attempt::start(key, String::new(), 1, Token(1), NOW_MS);
        assert_eq!(started.err(), expected);
    }
    assert_ne!(
        Key::new("ab", "c", "k").name(),
        Key::new("a", "bc", "k").name()
    );
}

/// Guards against claims that are pruned while their keys are valid, and against slots that exceed
/// the store's limit on the size of a value.
#[test]
fn prune_retention() {
    let slot = ended(DispatchResult::Responded(response("a")))
        .value
        .expect("a slot");
    let name = attempt(1, "b").key().name();
    // (age, whether the claim is kept, whether its response body is kept)
    for (age_ms, claim, body) in [
        (RESPONSE_RETENTION_MS, true, true),
        (RESPONSE_RETENTION_MS + 1, true, false),
        (RETENTION_MS + CLOCK_SKEW_MS, true, false),
        (RETENTION_MS + CLOCK_SKEW_MS + 1, false, false),
    ] {
        let mut pruned = slot.clone();
        pruned.prune(NOW_MS + age_ms);
        let kept = pruned.claims.get(&name).map(|claim| &claim.state);
        assert_eq!(kept.is_some(), claim, "{age_ms}");
        let kept = matches!(kept, Some(State::Ended { answer: Some(a) }) if a.body.is_some());
        assert_eq!(kept, body, "{age_ms}");
    }
    let mut crowded = Slot::default();
    for i in 0..4_000 {
        let mut claim = slot.claims[&name].clone();
        claim.state = State::Ended {
            answer: Some(response(&"x".repeat(RESPONSE_MAX_BYTES))),
        };
        crowded.claims.insert(format!("{i:032}"), claim);
    }
    let step = attempt(2, "b").advance(Input::Read(stored(1, crowded.clone())), NOW_MS);
    assert_eq!(step.reply, Some(Reply::Problem(Code::ClaimUnavailable)));
    crowded.claims.truncate(2_000);
    crowded.prune(NOW_MS);
    let bytes = serde_json::to_vec(&crowded)
        .expect("a slot serialises")
        .len();
    assert!(bytes < SLOT_MAX_BYTES + 2_000 * 64, "{bytes}");
    assert!(
        bytes < 1_000_000 && crowded.claims.len() == 2_000,
        "{bytes}"
    );
}
