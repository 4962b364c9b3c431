//! Limits of the callers' port and refusals before dispatch.

mod common;

use common::{Fake, FakeStore, Step, chat_body, engine, plain, response, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Duration, sleep, timeout};

const LIMIT: Duration = Duration::from_secs(20);

/// Method, target, headers, body, expected code and expected status.
type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, String, u64, u16);

/// Each invalid request must be refused with its own code and must reach no backend.
#[tokio::test]
async fn request_refused_with_its_code() {
    let (llm, desk) = (
        engine(|_, c| stream(c, 2)).await,
        Fake::spawn(|_, c| plain(c, 200, "")).await,
    );
    let store = FakeStore::with_catalogue(&[&llm], &[&desk]).await;
    let daemon = store
        .daemon("max_body_bytes = 1000\nmax_header_bytes = 2000")
        .await;
    let chat = "/v1/chat/completions";
    let messages = |m: &str| format!(r#"{{"model":"ask","messages":{m}}}"#);
    let large = "x".repeat(1_001);
    let cases: Vec<Case<'_>> = vec![
        ("POST", chat, vec![], "{".to_owned(), 1001, 400),
        ("POST", chat, vec![], "{}".to_owned(), 1001, 400),
        ("POST", chat, vec![], messages("[]"), 1001, 400),
        (
            "POST",
            chat,
            vec![],
            messages(r#"[{"role":"user"}]"#),
            1001,
            400,
        ),
        ("POST", chat, vec![], chat_body("absent", true), 1002, 404),
        ("POST", chat, vec![], chat_body("stock", true), 1002, 404),
        ("GET", chat, vec![], String::new(), 1002, 404),
        ("GET", "/absent", vec![], String::new(), 1002, 404),
        ("DELETE", "/stock/1", vec![], String::new(), 1002, 404),
        ("GET", "/stockade", vec![], String::new(), 1002, 404),
        ("POST", chat, vec![], large.clone(), 1003, 413),
        ("POST", "/orders", vec![], "a".to_owned(), 1004, 400),
        (
            "POST",
            "/orders",
            vec![("idempotency-key", " ")],
            "a".to_owned(),
            1004,
            400,
        ),
        (
            "GET",
            "/stock",
            vec![("x-deadline-ms", "0")],
            String::new(),
            1005,
            400,
        ),
        (
            "POST",
            chat,
            vec![("x-deadline-ms", "soon")],
            chat_body("ask", true),
            1005,
            400,
        ),
        (
            "GET",
            "/stock",
            vec![("x-large", &large), ("x-more", &large)],
            String::new(),
            1001,
            400,
        ),
    ];
    for (method, target, headers, body, code, status) in cases {
        let reply = daemon.call(method, target, &headers, body).await;
        assert_eq!(
            reply.problem(),
            (code, "not_run".to_owned()),
            "{method} {target}: {reply:?}"
        );
        assert_eq!(reply.status, status, "{method} {target}");
        assert_eq!(reply.headers["content-type"], "application/problem+json");
        let id = reply.headers["x-request-id"].to_str().unwrap();
        assert!(reply.body.contains(id), "{reply:?}");
    }
    assert_eq!(
        llm.count("POST", "/") + desk.count("POST", "/") + desk.count("GET", "/"),
        0
    );
}

/// A plain read must get its own, complete response, whatever fault one of the servers has.
#[tokio::test]
async fn read_is_retried_after_fault() {
    for (name, steps) in [
        ("closed", vec![Step::Close]),
        ("silent", vec![Step::Silence]),
        (
            "crossed",
            vec![response(200, "X-Request-Id: other\r\n", "other")],
        ),
        ("without id", vec![response(200, "", "other")]),
        (
            "truncated",
            vec![
                Step::Send("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhal".to_owned()),
                Step::Close,
            ],
        ),
    ] {
        let bad = Fake::spawn(move |_, _| steps.clone()).await;
        let good = Fake::spawn(|_, c| plain(c, 200, "stock")).await;
        let store = FakeStore::with_catalogue(&[], &[&bad, &good]).await;
        let daemon = store.daemon("").await;
        for _ in 0..4 {
            let reply = daemon.call("GET", "/stock/7?a=b", &[], "").await;
            assert_eq!(
                (reply.status, reply.body.as_str()),
                (200, "stock"),
                "{name}"
            );
        }
        assert_eq!(good.last("GET").target, "/stock/7?a=b");
    }
}

/// A caller that stops sending must not hold a connection beyond the time limit.
#[tokio::test]
async fn sender_without_progress_is_disconnected() {
    let store = FakeStore::with_catalogue(&[], &[]).await;
    let daemon = store
        .daemon("progress_timeout_ms = 100\nheader_timeout_ms = 100")
        .await;
    let half_head = "POST /orders HTTP/1.1\r\nHost";
    let half_body =
        "POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 9\r\n\r\nhal";
    for (sent, code) in [(half_head, ""), (half_body, "\"code\":1008")] {
        let mut caller = TcpStream::connect(daemon.address).await.unwrap();
        caller.write_all(sent.as_bytes()).await.unwrap();
        let mut reply = String::new();
        let read = timeout(LIMIT, caller.read_to_string(&mut reply)).await;
        assert!(read.is_ok(), "connection was not closed after {sent:?}");
        assert!(reply.contains(code), "{reply:?}");
    }
}

/// A caller that stops reading must not hold an engine beyond the time limit.
#[tokio::test]
async fn reader_without_progress_is_disconnected() {
    let llm = engine(|_, c| {
        let text = "x".repeat(100_000);
        let mut steps = vec![common::sse_head()];
        for index in 0..100 {
            let chunk = serde_json::json!({ "id": c.header("x-request-id"), "token_index": index,
                "choices": [{ "delta": { "content": text } }] });
            steps.push(common::http_chunk(&format!("data: {chunk}\n\n")));
        }
        steps
    })
    .await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon("progress_timeout_ms = 100").await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(daemon.address).await.unwrap();
    let body = chat_body("ask", true);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    common::until("cancel", || llm.count("DELETE", "/v1/requests/") > 0).await;
}

/// A connection over the limit must be refused with its code, and connections must be served again
/// once others have closed.
#[tokio::test]
async fn connections_are_bounded() {
    let desk = Fake::spawn(|_, c| plain(c, 200, "stock")).await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let daemon = store.daemon("max_connections = 2").await;
    let held = [
        TcpStream::connect(daemon.address).await.unwrap(),
        TcpStream::connect(daemon.address).await.unwrap(),
    ];
    let mut third = TcpStream::connect(daemon.address).await.unwrap();
    let mut reply = String::new();
    timeout(LIMIT, third.read_to_string(&mut reply))
        .await
        .unwrap()
        .unwrap();
    assert!(
        reply.starts_with("HTTP/1.1 503") && reply.contains("\"code\":2004"),
        "{reply:?}"
    );
    drop(held);
    let served = async {
        loop {
            let mut caller = TcpStream::connect(daemon.address).await.unwrap();
            let request = "GET /stock HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let mut reply = String::new();
            if caller.write_all(request.as_bytes()).await.is_ok()
                && caller.read_to_string(&mut reply).await.is_ok()
                && reply.starts_with("HTTP/1.1 200")
            {
                return;
            }
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, served).await.unwrap();
}

/// A deadline must end a request whose engine makes progress too slowly.
#[tokio::test]
async fn deadline_ends_request() {
    let slow = engine(|_, c| {
        let tokens = (0..100).flat_map(|i| [common::token(c, i, 100), Step::Wait(20)]);
        [common::sse_head()].into_iter().chain(tokens).collect()
    })
    .await;
    let store = FakeStore::with_catalogue(&[&slow], &[]).await;
    let daemon = store.daemon("").await;
    let headers = [("x-deadline-ms", "150")];
    let body = chat_body("ask", false);
    let reply = daemon
        .call("POST", "/v1/chat/completions", &headers, body)
        .await;
    assert_eq!(
        (reply.status, reply.problem()),
        (504, (3004, "ran".to_owned()))
    );
    assert_eq!(slow.count("DELETE", "/v1/requests/"), 1);
}
