//! Guards the promises to callers: how often a request runs, what a refusal states, and that an
//! answer is whole.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{
    Chunk, FakeBackends, Step, generation, request, route, run_virtual, serving_host, wait_ms,
};
use http::StatusCode;
use http_body::Body;
use std::future::poll_fn;
use std::pin::Pin;
use yucca_serve::config::RouteKind;
use yucca_serve::host::Host;
use yucca_serve::ports::CallFault;
use yucca_serve::reply::{Reply, ReplyBody};
use yucca_serve::request::Request;
use yucca_serve::serve::serve;

const IDEMPOTENT: RouteKind = RouteKind::Idempotent;
const AT_MOST_ONCE: RouteKind = RouteKind::AtMostOnce;
const STREAM: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };

fn broken() -> Step {
    Step::Fault(CallFault::Broken("reset".to_owned()))
}

fn refused() -> Step {
    Step::Fault(CallFault::NotRun { status: 503 })
}

fn unsent() -> Step {
    Step::Fault(CallFault::NotSent("refused".to_owned()))
}

/// Scripts every back end, as the choice among equal ones is drawn.
fn script_all(host: &Host<FakeBackends>, steps: &[Step]) {
    for id in ["desk-1", "desk-2", "gen-1", "gen-2"] {
        host.backends.script(id, steps.iter().cloned());
    }
}

async fn next_chunk(body: &mut ReplyBody) -> Option<Result<Bytes, ()>> {
    let frame = poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await?;
    Some(match frame {
        Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
        Err(_) => Err(()),
    })
}

/// The whole body, or what came before it broke off.
async fn read(reply: Reply) -> (String, bool) {
    let mut body = reply.body;
    let mut text = String::new();
    while let Some(chunk) = next_chunk(&mut body).await {
        match chunk {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(()) => return (text, false),
        }
    }
    (text, true)
}

/// One case of a request to plain back ends.
struct PlainCase {
    name: &'static str,
    kind: RouteKind,
    max_attempts: u32,
    /// What each back end does with the calls that it gets.
    steps: Vec<Step>,
    status: u16,
    /// Calls that reached back ends.
    calls: usize,
}

/// Guards against a second run of an order, and against a refusal that says "not run" wrongly.
#[test]
fn serve_plain_faults() {
    let truncated = Step::Answer(200, vec![Chunk::Bytes(0, "o"), Chunk::Broken(1)]);
    let failed = Step::Answer(500, vec![Chunk::Bytes(0, "no")]);
    let cases = [
        PlainCase {
            name: "order, connection broken: never sent again, no promise",
            kind: AT_MOST_ONCE,
            max_attempts: 2,
            steps: vec![broken()],
            status: 504,
            calls: 1,
        },
        PlainCase {
            name: "order, answer truncated: never sent again, no promise",
            kind: AT_MOST_ONCE,
            max_attempts: 2,
            steps: vec![truncated.clone()],
            status: 504,
            calls: 1,
        },
        PlainCase {
            name: "order, answer of another request: never sent again",
            kind: AT_MOST_ONCE,
            max_attempts: 2,
            steps: vec![Step::Fault(CallFault::Crossed)],
            status: 504,
            calls: 1,
        },
        PlainCase {
            name: "order, refused by each back end: truthful refusal",
            kind: AT_MOST_ONCE,
            max_attempts: 2,
            steps: vec![refused()],
            status: 503,
            calls: 2,
        },
        PlainCase {
            name: "order, refused, one attempt only",
            kind: AT_MOST_ONCE,
            max_attempts: 1,
            steps: vec![refused()],
            status: 503,
            calls: 1,
        },
        PlainCase {
            name: "order, back end failed it: its answer is passed on",
            kind: AT_MOST_ONCE,
            max_attempts: 2,
            steps: vec![failed.clone()],
            status: 500,
            calls: 1,
        },
        PlainCase {
            name: "read, connection broken once: sent again",
            kind: IDEMPOTENT,
            max_attempts: 2,
            steps: vec![broken()],
            status: 504,
            calls: 2,
        },
        PlainCase {
            name: "read, failed twice: the last answer is passed on",
            kind: IDEMPOTENT,
            max_attempts: 2,
            steps: vec![failed],
            status: 500,
            calls: 2,
        },
        PlainCase {
            name: "read, more attempts than the route allows are not made",
            kind: IDEMPOTENT,
            max_attempts: 1,
            steps: vec![broken()],
            status: 504,
            calls: 1,
        },
        PlainCase {
            name: "order, no connection: refused as not run",
            kind: AT_MOST_ONCE,
            max_attempts: 1,
            steps: vec![unsent()],
            status: 503,
            calls: 2,
        },
    ];
    for case in cases {
        run_virtual(async {
            let host = serving_host(route(case.kind, case.max_attempts));
            script_all(&host, &case.steps);
            let reply = serve(&host, request()).await;
            let name = case.name;
            assert_eq!(reply.head.status.as_u16(), case.status, "{name}");
            assert_eq!(host.backends.seen.borrow().len(), case.calls, "{name}");
            let promises = reply.head.status == StatusCode::SERVICE_UNAVAILABLE;
            assert_eq!(reply.retry_after_ms.is_some(), promises, "{name}");
        });
    }
}

#[test]
fn serve_read_again_succeeds() {
    run_virtual(async {
        let host = serving_host(route(IDEMPOTENT, 2));
        // Whichever is asked first fails; the other has no script left and answers.
        host.backends.script("desk-1", [broken()]);
        host.backends.script("desk-2", []);
        let reply = serve(&host, request()).await;
        assert_eq!(reply.head.status, StatusCode::OK);
        assert_eq!(read(reply).await, ("ok".to_owned(), true));
    });
}

/// A silent back end must not keep the caller beyond the route's timeout.
#[test]
fn serve_timeout() {
    run_virtual(async {
        let host = serving_host(route(AT_MOST_ONCE, 1));
        script_all(&host, &[Step::Hang]);
        let started_ms = host.now_ms();
        let reply = serve(&host, request()).await;
        assert_eq!(reply.head.status, StatusCode::GATEWAY_TIMEOUT);
        let took_ms = host.now_ms() - started_ms;
        assert!((4_000..4_100).contains(&took_ms), "{took_ms} ms");
    });
}

/// A second send must not carry more time than the caller has left.
#[test]
fn serve_time_left() {
    run_virtual(async {
        let host = serving_host(route(IDEMPOTENT, 2));
        let slow = Step::Answer(500, vec![Chunk::Bytes(1_500, "no")]);
        script_all(&host, &[slow]);
        serve(&host, request()).await;
        let runs = host.backends.runs();
        assert_eq!(runs.len(), 2);
        assert!(runs[0].left_ms <= 4_000);
        assert!(runs[1].left_ms <= 2_500, "{} ms", runs[1].left_ms);
    });
}

#[test]
fn serve_without_config() {
    run_virtual(async {
        let reply = serve(&common::host(), request()).await;
        assert_eq!(reply.head.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.retry_after_ms.is_some());
    });
}

#[test]
fn serve_unknown_route() {
    run_virtual(async {
        let host = serving_host(route(IDEMPOTENT, 2));
        let other = Request {
            host: "other.example".to_owned(),
            ..request()
        };
        let reply = serve(&host, other).await;
        assert_eq!(reply.head.status, StatusCode::NOT_FOUND);
    });
}

/// Many failing reads must not multiply the load of their service.
#[test]
fn serve_retry_budget() {
    run_virtual(async {
        let host = serving_host(route(IDEMPOTENT, 2));
        host.set_hosts(7);
        let requests = 400;
        for _ in 0..requests {
            script_all(&host, &[broken(), broken()]);
            serve(&host, request()).await;
        }
        let calls = host.backends.runs().len();
        let allowed = requests as f64 * 1.2 + 54.0 / 7.0;
        assert!(calls as f64 <= allowed, "{calls} calls for {requests}");
        assert!(calls > requests, "no request was sent again");
    });
}

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";
const THIRD: &str = "id: 3\ndata: c\n\n";

fn stream_of(chunks: Vec<Chunk>) -> Step {
    Step::Answer(200, chunks)
}

#[test]
fn serve_stream_two_stages() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 1));
        let whole = stream_of(vec![Chunk::Bytes(5, FIRST), Chunk::Bytes(40, SECOND)]);
        script_all(&host, &[whole]);
        let reply = serve(&host, generation()).await;
        assert_eq!(read(reply).await, (format!("{FIRST}{SECOND}"), true));
        let seen = host.backends.seen.borrow();
        assert_eq!(seen.len(), 2);
        assert!(seen[0].is_read);
        assert!(seen[1].has_prompt);
        assert_eq!(host.backends.freed.get(), 0);
    });
}

/// Another run must go on after the last event that the caller has whole, also when the first run
/// broke off within an event.
#[test]
fn serve_stream_resumed_after_last_whole_event() {
    let cases = [
        vec![Chunk::Bytes(0, FIRST), Chunk::Broken(10)],
        vec![
            Chunk::Bytes(0, FIRST),
            Chunk::Bytes(1, "id: 2\nda"),
            Chunk::Broken(10),
        ],
        // The first run ends as if complete, but within an event.
        vec![Chunk::Bytes(0, "id: 1\ndata: a\n\nid: 2\n")],
    ];
    for first_run in cases {
        run_virtual(async {
            let host = serving_host(route(RESUMABLE, 2));
            // Both engines break off, so that the stream fails after its second run.
            script_all(&host, &[stream_of(first_run.clone())]);
            let reply = serve(&host, generation()).await;
            let (text, is_whole) = read(reply).await;
            let runs = host.backends.runs();
            assert_eq!(runs.len(), 2);
            assert_eq!(runs[1].resume_after, Some(1));
            assert_ne!(runs[0].id, runs[1].id);
            assert!(text.starts_with(FIRST), "{text}");
            assert!(!is_whole, "the third run is beyond the route's attempts");
        });
    }
}

#[test]
fn serve_stream_resumed_on_other_engine() {
    run_virtual(async {
        let host = serving_host(route(RESUMABLE, 2));
        let torn = stream_of(vec![Chunk::Bytes(0, FIRST), Chunk::Broken(10)]);
        let rest = stream_of(vec![Chunk::Bytes(5, SECOND), Chunk::Bytes(5, THIRD)]);
        host.backends.script("gen-1", [torn]);
        host.backends.script("gen-2", [rest]);
        // Only the first engine is there at first.
        host.directory.borrow_mut().apply_removal("gen-2", 2, 0);
        let reply = serve(&host, generation()).await;
        let entry = common::entry("model", 5, yuccacove::prompt_placement::Phase::Decode);
        host.directory
            .borrow_mut()
            .apply_entry("gen-2", 3, entry, 0);
        assert_eq!(read(reply).await, (format!("{FIRST}{SECOND}{THIRD}"), true));
    });
}

/// A stream that may not be resumed is broken off, never passed off as whole.
#[test]
fn serve_stream_broken() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        let torn = stream_of(vec![Chunk::Bytes(0, FIRST), Chunk::Broken(10)]);
        script_all(&host, &[torn]);
        let reply = serve(&host, generation()).await;
        assert_eq!(read(reply).await, (FIRST.to_owned(), false));
        assert_eq!(host.backends.runs().len(), 1);
    });
}

/// Work for a caller that has left ends at once.
#[test]
fn serve_stream_caller_leaves() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 1));
        let long = vec![Chunk::Bytes(0, FIRST), Chunk::Bytes(60_000, SECOND)];
        script_all(&host, &[stream_of(long)]);
        let mut reply = serve(&host, generation()).await;
        assert!(next_chunk(&mut reply.body).await.is_some());
        drop(reply);
        wait_ms(5).await;
        assert_eq!(host.backends.cut.get(), 1);
        let directory = host.directory.borrow();
        let keys = directory.usable("model", host.now_ms());
        assert!(keys.iter().all(|key| directory.get(*key).load.streams == 0));
    });
}

/// Found on the users' bench: a run that an engine refused was answered 502, which keeps callers
/// from coming again, and a failed read was followed by reading on a decode engine.
#[test]
fn serve_stream_refusals() {
    let read_faults = [
        CallFault::NotRun { status: 503 },
        CallFault::Broken("timeout".to_owned()),
        CallFault::NotSent("refused".to_owned()),
    ];
    for fault in read_faults {
        run_virtual(async {
            let host = serving_host(route(RESUMABLE, 2));
            let entry = common::entry("model", 6, yuccacove::prompt_placement::Phase::Prefill);
            host.directory
                .borrow_mut()
                .apply_entry("read-2", 2, entry, 0);
            host.backends.script_reads([Err(fault.clone())]);
            let reply = serve(&host, generation()).await;
            assert_eq!(reply.head.status, StatusCode::OK, "{fault:?}");
            let seen = host.backends.seen.borrow();
            let reads: Vec<_> = seen.iter().filter(|s| s.is_read).collect();
            assert_eq!(reads.len(), 2, "{fault:?}");
            assert_ne!(reads[0].id, reads[1].id, "{fault:?}");
        });
    }
    run_virtual(async {
        let host = serving_host(route(STREAM, 1));
        script_all(&host, &[refused()]);
        let reply = serve(&host, generation()).await;
        assert_eq!(reply.head.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.retry_after_ms.is_some());
        wait_ms(10).await;
        assert_eq!(host.backends.freed.get(), 1, "the kept prompt is freed");
    });
}

/// Found on the users' bench: the engine that was to generate had left while the prompt was read
/// for three seconds, and got the request all the same.
#[test]
fn serve_stream_engine_leaves_during_read() {
    for is_draining in [true, false] {
        run_virtual(async {
            let host = serving_host(route(STREAM, 1));
            host.backends.read_ms.set(700);
            let serving = Rc::clone(&host);
            let reply =
                tokio::task::spawn_local(async move { serve(&serving, generation()).await });
            wait_ms(100).await;
            {
                let mut directory = host.directory.borrow_mut();
                if is_draining {
                    let mut leaving =
                        common::entry("model", 4, yuccacove::prompt_placement::Phase::Decode);
                    leaving.is_draining = true;
                    directory.apply_entry("gen-1", 2, leaving, 100);
                } else {
                    directory.apply_removal("gen-1", 2, 100);
                }
            }
            let reply = reply.await.expect("no panic");
            assert_eq!(reply.head.status, StatusCode::OK);
            let runs = host.backends.runs();
            assert_eq!(runs.len(), 1);
            assert_eq!(runs[0].id, "gen-2");
        });
    }
}

/// A generation that may not be resumed is never run twice, whatever its engine did.
#[test]
fn serve_stream_at_most_once() {
    for step in [broken(), Step::Fault(CallFault::Crossed)] {
        run_virtual(async {
            let host = serving_host(route(STREAM, 2));
            script_all(&host, std::slice::from_ref(&step));
            let reply = serve(&host, generation()).await;
            assert_eq!(reply.head.status, StatusCode::GATEWAY_TIMEOUT);
            assert_eq!(host.backends.runs().len(), 1);
        });
    }
}

#[test]
fn serve_stream_timeout() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 1));
        let endless = vec![Chunk::Bytes(0, FIRST), Chunk::Bytes(60_000, SECOND)];
        script_all(&host, &[stream_of(endless)]);
        let started_ms = host.now_ms();
        let reply = serve(&host, generation()).await;
        assert_eq!(read(reply).await, (FIRST.to_owned(), false));
        let took_ms = host.now_ms() - started_ms;
        assert!((4_000..4_200).contains(&took_ms), "{took_ms} ms");
    });
}

/// Nothing of a request may stay on the load of a back end once it has ended.
#[test]
fn serve_load_returns_to_zero() {
    run_virtual(async {
        for kind in [IDEMPOTENT, AT_MOST_ONCE, STREAM, RESUMABLE] {
            let host = serving_host(route(kind, 2));
            for step in [broken(), refused(), unsent()] {
                script_all(&host, &[step]);
                let reply = serve(&host, generation()).await;
                let _ = read(reply).await;
            }
            wait_ms(10).await;
            let mut directory = host.directory.borrow_mut();
            let loads: u32 = directory.iter_mut().map(|b| b.load.requests).sum();
            assert_eq!(loads, 0, "{kind:?}");
            assert_eq!(Rc::strong_count(&host), 1, "{kind:?}");
        }
    });
}
