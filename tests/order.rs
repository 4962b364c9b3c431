//! Next action for an engine, depending on the recorded intent, the status report and the lease.

use yuccacove::catalogue::{Admin, Engine, EngineSpec, Intent, Role};
use yuccacove::lease::Authority;
use yuccacove::order::{Next, OrderTiming, Report, View, fence, next};
use yuccacove::store::Token;

const NOW_MS: u64 = 100_000;

fn spec(role: Role) -> EngineSpec {
    EngineSpec {
        model: "m".into(),
        version: "1".into(),
        role,
    }
}

/// An intent for the role `Prefill` with the id "i".
fn intent(epoch: u64, confirmed: bool) -> Option<Intent> {
    Some(Intent {
        id: "i".into(),
        epoch,
        sequence: 4,
        spec: spec(Role::Prefill),
        confirmed,
    })
}

fn report(role: Role, ready: bool, last_order: &str, fence: u64) -> Option<Report> {
    Some(Report {
        spec: spec(role),
        ready,
        fence,
        last_order: last_order.into(),
    })
}

fn describe(next: &Next) -> String {
    match next {
        Next::Write(write) => {
            let intent = write.value.intent.as_ref().expect("an intent");
            let kind = if intent.confirmed {
                "confirm"
            } else {
                "record"
            };
            format!(
                "{kind} {} epoch {} sequence {}",
                intent.id, intent.epoch, intent.sequence
            )
        }
        Next::Send(order) => format!("send {} fence {}", order.intent, order.fence),
        Next::Wait { until_ms } => format!("wait {}", until_ms.unwrap_or(0)),
        other => format!("{other:?}").to_lowercase(),
    }
}

/// Guards against overwriting an open intent, sending an order that is not recorded, sending a
/// different order to an engine that is still changing, and trusting a confirmed intent that the
/// engine's report contradicts. The desired role is Decode.
#[test]
fn next_cases() {
    let own = fence(3, 4);
    let later = fence(4, 5);
    let send = format!("send i fence {own}");
    let (prefill, decode, mixed) = (Role::Prefill, Role::Decode, Role::Mixed);
    let record = "record 00000000000000aa epoch 3 sequence 5";
    #[rustfmt::skip]
    let cases = [
        ("no report", intent(2, false), None, "wait 0"),
        ("predecessor's open intent", intent(2, false), report(mixed, true, "h", 0), &send),
        ("open and sent", intent(3, false), report(prefill, false, "i", own), "wait 0"),
        ("open, engine on another change", intent(3, false), report(mixed, false, "h", 0), "wait 0"),
        ("open and done", intent(2, false), report(prefill, true, "i", own), "confirm i epoch 3 sequence 4"),
        ("open, restarted during the change", intent(3, false), report(mixed, true, "", own), &send),
        ("open, ended in another state", intent(3, false), report(mixed, true, "i", own), "confirm i epoch 3 sequence 4"),
        ("open, later fence", intent(3, false), report(mixed, true, "h", later), "superseded"),
        ("confirmed, differs", intent(3, true), report(prefill, true, "i", own), record),
        ("confirmed, engine reverted", intent(3, true), report(mixed, true, "", 0), record),
        ("confirmed, changing", intent(3, true), report(mixed, false, "h", 0), "wait 0"),
        ("confirmed, as desired", intent(3, true), report(decode, true, "h", 0), "settled"),
        ("recorded by a later epoch", intent(4, true), report(mixed, true, "", 0), "superseded"),
        ("first order", None, report(mixed, true, "", 0), "record 00000000000000aa epoch 3 sequence 1"),
    ];
    for (case, intent, report, expected) in cases {
        assert_eq!(decide(true, intent, report, None, 50), expected, "{case}");
    }
}

/// Guards against sending a different order to an engine that does not check fencing numbers while
/// an earlier order can still arrive, and against sending the same order again too soon.
#[test]
fn next_waits() {
    let differs = || report(Role::Mixed, true, "", 0);
    let record = "record 00000000000000aa epoch 3 sequence 5";
    let confirmed = || intent(3, true);
    #[rustfmt::skip]
    let cases = [
        ("after lease change", false, confirmed(), None, NOW_MS - 31_499, "wait 100001"),
        ("31.5 s after lease change", false, confirmed(), None, NOW_MS - 31_500, record),
        ("after own order", false, confirmed(), Some(NOW_MS - 31_499), 0, "wait 100001"),
        ("31.5 s after own order", false, confirmed(), Some(NOW_MS - 31_500), 0, record),
        ("engine checks fences", true, confirmed(), Some(NOW_MS), NOW_MS, record),
        ("resend too soon", true, intent(3, false), Some(NOW_MS - 999), 0, "wait 100001"),
        ("resend when due", false, intent(3, false), Some(NOW_MS - 1_000), 0, "send i fence 3145732"),
    ];
    for (case, checks, intent, last_sent_ms, since_ms, expected) in cases {
        assert_eq!(
            decide(checks, intent, differs(), last_sent_ms, since_ms),
            expected,
            "{case}"
        );
    }
}

/// Guards against deciding on a copy of the object that predates the change of lease holder, and
/// against ordering a withdrawn engine.
#[test]
fn next_stale_or_withdrawn() {
    let report = report(Role::Mixed, true, "", 0);
    for (revision, admin, expected) in [
        (8, Admin::Active, Next::Read),
        (9, Admin::Withdrawn, Next::Settled),
    ] {
        let mut engine = engine(true, intent(2, true));
        engine.admin = admin;
        let view = View {
            engine: &engine,
            version: 7,
            revision,
            desired: &spec(Role::Decode),
            report: report.as_ref(),
            last_sent_ms: None,
        };
        let authority = Authority {
            epoch: 3,
            since_ms: 0,
            version: 9,
        };
        assert_eq!(
            next(view, authority, &OrderTiming::default(), NOW_MS, Token(1)),
            expected
        );
    }
}

/// Guards against a fencing number that does not increase with the epoch and the sequence number.
#[test]
fn fence_rises() {
    let numbers = [(1, 1), (1, 2), (1, 1 << 19), (2, 1), (2, 3), (9, 0)].map(|(e, s)| fence(e, s));
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

fn engine(checks_fence: bool, intent: Option<Intent>) -> Engine {
    Engine {
        service: "pool".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        role: Role::Decode,
        checks_fence,
        admin: Admin::Active,
        intent,
    }
}

fn decide(
    checks_fence: bool,
    intent: Option<Intent>,
    report: Option<Report>,
    last_sent_ms: Option<u64>,
    since_ms: u64,
) -> String {
    let view = View {
        engine: &engine(checks_fence, intent),
        version: 7,
        revision: 9,
        desired: &spec(Role::Decode),
        report: report.as_ref(),
        last_sent_ms,
    };
    let authority = Authority {
        epoch: 3,
        since_ms,
        version: 9,
    };
    describe(&next(
        view,
        authority,
        &OrderTiming::default(),
        NOW_MS,
        Token(0xaa),
    ))
}
