//! Chat streams against faulty engines.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};

use common::{
    Call, FakeStore, Step, chat_body, done, engine, http_chunk, response, sse_head, stream,
    streamed_text, text, token, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};
use yucca_entry::backend_fault::Fault as BackendFault;
use yucca_entry::engine_stream::{EngineRequest, EngineStream, StreamTimeouts};
use yucca_io::connections::Pool;
use yucca_io::memory::Memory;
use yuccacove::memory_budget::Purpose;

const TOTAL: u64 = 5;

/// Response to the first call, which fails in some way; later calls resume.
type Fault = fn(&Call) -> Vec<Step>;

/// A fault must neither lose nor repeat a token, whatever the engine did before it.
#[tokio::test]
async fn chat_resumes_after_fault() {
    let faults: [(&str, Fault); 9] = [
        ("closed before a response", |_| vec![Step::Close]),
        ("silent before a response", |_| vec![Step::Silence]),
        ("error status", |_| vec![response(500, "", "{}")]),
        ("other version", |_| vec![response(409, "", "{}")]),
        ("closed in the stream", |c| {
            vec![
                sse_head(),
                token(c, 0, TOTAL),
                token(c, 1, TOTAL),
                Step::Close,
            ]
        }),
        ("silent in the stream", |c| {
            vec![sse_head(), token(c, 0, TOTAL), Step::Silence]
        }),
        ("ended without [DONE]", |c| {
            let all = (0..TOTAL).map(|i| token(c, i, TOTAL + 1));
            let end = Step::Send("0\r\n\r\n".to_owned());
            [sse_head()]
                .into_iter()
                .chain(all.take(3))
                .chain([end])
                .collect()
        }),
        ("token left out", |c| {
            vec![
                sse_head(),
                token(c, 0, TOTAL),
                token(c, 2, TOTAL),
                Step::Silence,
            ]
        }),
        ("other request's token", |c| {
            let mut other = c.clone();
            other
                .headers
                .insert("x-request-id".to_owned(), "other".to_owned());
            vec![
                sse_head(),
                token(c, 0, TOTAL),
                token(&other, 1, TOTAL),
                Step::Silence,
            ]
        }),
    ];
    for (name, fault) in faults {
        for is_stream in [true, false] {
            let calls = std::sync::Arc::new(AtomicUsize::new(0));
            let respond = |calls: std::sync::Arc<AtomicUsize>| {
                move |_: usize, call: &Call| match calls.fetch_add(1, Ordering::SeqCst) {
                    0 => fault(call),
                    _ => stream(call, TOTAL),
                }
            };
            let first = engine(respond(calls.clone())).await;
            let second = engine(respond(calls.clone())).await;
            let store = FakeStore::with_catalogue(&[&first, &second], &[]).await;
            let reply = store.daemon("").await.chat(is_stream).await;
            assert_eq!(reply.status, 200, "{name}: {reply:?}");
            let content = if is_stream {
                assert!(
                    reply.body.ends_with("data: [DONE]\n\n"),
                    "{name}: {reply:?}"
                );
                streamed_text(&reply.body)
            } else {
                let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
                body["choices"][0]["message"]["content"]
                    .as_str()
                    .unwrap()
                    .to_owned()
            };
            assert_eq!(content, text(TOTAL), "{name}");
        }
    }
}

/// A truncated response must never look complete.
#[tokio::test]
async fn chat_ends_with_problem_when_all_attempts_fail() {
    let broken = engine(|_, c| {
        let next = c.header("x-resume-from").parse().unwrap_or(0);
        vec![sse_head(), token(c, next, 99), Step::Close]
    })
    .await;
    let store = FakeStore::with_catalogue(&[&broken], &[]).await;
    let daemon = store.daemon("").await;
    let streamed = daemon.chat(true).await;
    assert!(!streamed.body.contains("[DONE]"), "{streamed:?}");
    assert!(streamed.body.contains("event: error\n"), "{streamed:?}");
    assert_eq!(streamed.problem(), (3001, "ran".to_owned()), "{streamed:?}");
    let complete = daemon.chat(false).await;
    assert_eq!(
        (complete.status, complete.problem()),
        (502, (3001, "ran".to_owned()))
    );
}

/// The outcome must be `not_run` exactly when no engine can have received the request.
#[tokio::test]
async fn chat_outcome_when_no_engine_answers() {
    let gone = engine(|_, _| vec![]).await;
    let address = gone.address;
    let store = FakeStore::with_catalogue(&[&gone], &[]).await;
    gone.close().await;
    assert!(TcpStream::connect(address).await.is_err());
    let daemon = store.daemon("").await;
    assert_eq!(
        daemon.chat(true).await.problem(),
        (2012, "not_run".to_owned())
    );
    let none = FakeStore::with_catalogue(&[], &[]).await.daemon("").await;
    assert_eq!(
        none.chat(true).await.problem(),
        (2007, "not_run".to_owned())
    );
}

/// Each token must reach the caller while the engine is still generating; a caller that disconnects
/// must cancel the work on the engine.
#[tokio::test]
async fn chat_flushes_tokens_and_cancels_when_caller_disconnects() {
    let slow = engine(|_, c| vec![sse_head(), token(c, 0, TOTAL), Step::Silence]).await;
    let store = FakeStore::with_catalogue(&[&slow], &[]).await;
    let daemon = store.daemon("").await;
    let body = chat_body("ask", true);
    let mut caller = TcpStream::connect(daemon.address).await.unwrap();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\ntraceparent: 00-trace\r\n\
         x-deadline-ms: 9000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("t0 ") {
        assert!(caller.read_buf(&mut seen).await.unwrap() > 0);
    }
    let sent = slow.last("POST");
    assert_eq!(sent.header("traceparent"), "00-trace");
    assert_eq!(
        (sent.header("x-rank"), sent.header("x-model-version")),
        ("0", "v1")
    );
    let left: u64 = sent.header("x-deadline-ms").parse().unwrap();
    assert!((1..=9_000).contains(&left), "{left}");
    drop(caller);
    let path = format!("/v1/requests/{}", sent.header("x-request-id"));
    until("cancel", || slow.count("DELETE", &path) > 0).await;
}

/// A request must not fail because the engine closed a reused connection while it was idle.
#[tokio::test]
async fn chat_survives_idle_connection_closed_by_engine() {
    let closing = engine(|_, c| {
        let mut steps = stream(c, TOTAL);
        steps.push(Step::Close);
        steps
    })
    .await;
    let store = FakeStore::with_catalogue(&[&closing], &[]).await;
    let daemon = store.daemon("").await;
    for _ in 0..20 {
        let reply = daemon.chat(true).await;
        assert_eq!(streamed_text(&reply.body), text(TOTAL), "{reply:?}");
    }
    assert_eq!(closing.count("POST", "/v1/chat"), 20);
}

/// Events must be read correctly even if they are split or joined at any byte.
#[tokio::test]
async fn chat_reads_events_in_any_fragments() {
    let fragments = engine(|_, c| {
        let Step::Send(first) = token(c, 0, 2) else {
            return vec![];
        };
        let data = first.lines().nth(1).unwrap().to_owned() + "\n\n";
        let (head, tail) = data.split_at(data.len() / 2);
        let mut steps = vec![
            sse_head(),
            http_chunk(": comment\n\n"),
            http_chunk(head),
            Step::Wait(5),
        ];
        steps.extend([http_chunk(tail), token(c, 1, 2)]);
        steps.extend(done());
        steps
    })
    .await;
    let store = FakeStore::with_catalogue(&[&fragments], &[]).await;
    let reply = store.daemon("").await.chat(true).await;
    assert_eq!(streamed_text(&reply.body), text(2), "{reply:?}");
    assert!(reply.headers.contains_key("x-request-id"));
    assert_eq!(reply.headers["x-served-by"], "e0");
    assert_eq!(reply.headers["x-entry-host"], "entry-1");
}

/// Guards against an engine that a request crashes and that counts as never reached, because the request
/// went out on a kept connection and the engine refuses a new one.
#[tokio::test]
async fn open_crash_on_kept_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let engine = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let _ = connection.read(&mut [0; 4_096]).await.unwrap();
        // The port refuses connections before the kept one closes.
        drop(listener);
    });
    let pool = Pool::new(500, 5_000);
    pool.release(pool.open(address).await.unwrap());
    let request = EngineRequest {
        address,
        request_id: "r1".to_owned(),
        model: "m".to_owned(),
        version: "v1".to_owned(),
        rank: 0,
        traceparent: None,
        body: serde_json::json!({}).into(),
        next_index: 0,
        text_so_far: String::new(),
        deadline: Instant::now() + Duration::from_secs(5),
    };
    let timeouts = StreamTimeouts {
        first: Duration::from_secs(2),
        chunk: Duration::from_secs(2),
        probe_ms: 500,
    };
    let memory = Memory::new(64 * 1_024 * 1_024).guard(Purpose::Response);
    let opened = EngineStream::open(&pool, &request, timeouts, memory).await;
    engine.await.unwrap();
    let fault = opened.err().expect("the engine has ended");
    assert!(fault.reached_backend(), "{fault:?}");
    assert!(matches!(fault, BackendFault::Broken(_)), "{fault:?}");
}
