//! Memory and connections of callers: what exceeds them is refused or closed, and others are served.

mod common;

use common::{Fake, FakeStore, Running, chat_body, engine, plain, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Duration, Instant, sleep, timeout};

const LIMIT: Duration = Duration::from_secs(20);
/// Requests may use 875 KB, responses 938 KB.
const SMALL_MEMORY: &str = "memory_mb = 2\nmax_body_bytes = 100000\n";
const CHAT_PATH: &str = "/v1/chat/completions";

fn chat_head(content_bytes: usize) -> String {
    format!("POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {content_bytes}\r\n\r\n")
}

/// Value of a metric without labels, or with the labels that are a part of `name`.
fn metric(daemon: &Running, name: &str) -> u64 {
    let text = yucca_entry::metrics::render(&daemon.host);
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.unwrap_or_else(|| panic!("no {name} in {text}"));
    value.trim().parse().expect("a number")
}

/// Guards against memory for the JSON values of a body, which may be many times its size.
#[tokio::test]
async fn chat_of_many_values_refused() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon(SMALL_MEMORY).await;
    let zeros = "0,".repeat(40_000);
    let body = chat_body("ask", false).replacen('{', &format!("{{\"x\":[{zeros}0],"), 1);
    let reply = daemon.call("POST", CHAT_PATH, &[], body).await;
    assert_eq!(reply.problem(), (2004, "not_run".to_owned()), "{reply:?}");
    assert_eq!(
        (reply.status, &reply.headers["retry-after"]),
        (503, &"1".parse().unwrap())
    );
    assert_eq!(llm.count("POST", "/"), 0);
    assert_eq!(metric(&daemon, "yucca_entry_refused_bodies_total"), 1);
    assert_eq!(daemon.chat(false).await.status, 200);
}

/// Guards against bodies that stall and keep the memory from other requests.
#[tokio::test]
async fn chat_served_beside_stalled_bodies() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon(SMALL_MEMORY).await;
    let mut held = Vec::new();
    for _ in 0..8 {
        let mut caller = TcpStream::connect(daemon.address).await.unwrap();
        caller
            .write_all(chat_head(100_000).as_bytes())
            .await
            .unwrap();
        caller.write_all(&[b'x'; 99_000]).await.unwrap();
        held.push(caller);
    }
    let request = r#"yucca_entry_reserved_memory_bytes{purpose="request"}"#;
    common::until("held bodies", || metric(&daemon, request) >= 800_000).await;
    let content = "word ".repeat(12_000);
    let body = chat_body("ask", false).replace("how long", &content);
    let served = async {
        loop {
            let reply = daemon.call("POST", CHAT_PATH, &[], body.clone()).await;
            if reply.status == 200 {
                return;
            }
            assert_eq!(reply.problem(), (2004, "not_run".to_owned()), "{reply:?}");
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, served).await.unwrap();
    let closed = r#"yucca_entry_closed_connections_total{reason="memory"}"#;
    assert!(metric(&daemon, closed) > 0);
    drop(held);
    common::until("released memory", || metric(&daemon, request) == 0).await;
}

/// Guards against bodies that arrive so slowly that they hold a connection for days.
#[tokio::test]
async fn body_in_single_bytes_refused() {
    let store = FakeStore::with_catalogue(&[&engine(|_, c| stream(c, 2)).await], &[]).await;
    let daemon = store.daemon("progress_timeout_ms = 400").await;
    let mut caller = TcpStream::connect(daemon.address).await.unwrap();
    caller
        .write_all(chat_head(100_000).as_bytes())
        .await
        .unwrap();
    let started = Instant::now();
    while caller.write_all(b"x").await.is_ok() {
        assert!(started.elapsed() < LIMIT, "the connection is still open");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against responses that exceed the memory, and against a server that is blamed for it. The
/// request has run, so that no code may say that it has not.
#[tokio::test]
async fn read_of_response_larger_than_memory() {
    let desk = Fake::spawn(|_, c| {
        let bytes = if c.target.ends_with("large") {
            1_500_000
        } else {
            10
        };
        plain(c, 200, &"x".repeat(bytes))
    })
    .await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let daemon = store.daemon(SMALL_MEMORY).await;
    for _ in 0..6 {
        let reply = daemon.call("GET", "/stock/large", &[], "").await;
        assert_eq!(reply.problem(), (3003, "unknown".to_owned()), "{reply:?}");
        assert_eq!(reply.status, 504);
        let reply = daemon.call("GET", "/stock/small", &[], "").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let response = r#"yucca_entry_reserved_memory_bytes{purpose="response"}"#;
    common::until("released memory", || metric(&daemon, response) == 0).await;
}

/// Guards against responses that callers do not read and that keep the memory from other responses.
#[tokio::test]
async fn read_served_beside_unread_responses() {
    // More than the kernel buffers for a connection, and so much that two fill the memory of responses.
    const RESPONSE_BYTES: usize = 14_500_000;
    const HELD_BYTES: u64 = 2 * RESPONSE_BYTES as u64;
    let desk = Fake::spawn(|_, c| plain(c, 200, &"x".repeat(RESPONSE_BYTES))).await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let daemon = store.daemon("memory_mb = 64").await;
    let mut held = Vec::new();
    for _ in 0..2 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut caller = socket.connect(daemon.address).await.unwrap();
        let request = "GET /stock HTTP/1.1\r\nHost: x\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        held.push(caller);
    }
    let response = r#"yucca_entry_reserved_memory_bytes{purpose="response"}"#;
    common::until("held responses", || metric(&daemon, response) >= HELD_BYTES).await;
    let served = async {
        loop {
            let reply = daemon.call("GET", "/stock", &[], "").await;
            if reply.status == 200 {
                return;
            }
            assert_eq!(reply.problem(), (3003, "unknown".to_owned()), "{reply:?}");
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, served).await.unwrap();
    let closed = r#"yucca_entry_closed_connections_total{reason="memory"}"#;
    assert!(metric(&daemon, closed) > 0);
    drop(held);
    common::until("released memory", || metric(&daemon, response) == 0).await;
}

/// Guards against the text of a response that exceeds the memory, and against events that do.
#[tokio::test]
async fn chat_of_response_larger_than_memory() {
    for (name, count, text_bytes, code, outcome) in [
        ("text", 40, 20_000, 3001, "ran"),
        ("event", 1, 900_000, 3003, "unknown"),
    ] {
        let llm = engine(move |_, c| {
            let text = "x".repeat(text_bytes);
            let mut steps = vec![common::sse_head()];
            for index in 0..count {
                let chunk = serde_json::json!({ "id": c.header("x-request-id"),
                    "token_index": index, "choices": [{ "delta": { "content": text } }] });
                steps.push(common::http_chunk(&format!("data: {chunk}\n\n")));
            }
            steps
        })
        .await;
        let store = FakeStore::with_catalogue(&[&llm], &[]).await;
        let daemon = store.daemon(SMALL_MEMORY).await;
        let reply = daemon.chat(false).await;
        assert_eq!(
            reply.problem(),
            (code, outcome.to_owned()),
            "{name}: {reply:?}"
        );
        assert!(
            reply.status >= 500 && reply.status != 503,
            "{name}: {reply:?}"
        );
    }
}

/// Guards against idle connections that keep out all others until they time out.
#[tokio::test]
async fn caller_served_beside_idle_connections() {
    let desk = Fake::spawn(|_, c| plain(c, 200, "stock")).await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let limits = "max_connections = 2\nheader_timeout_ms = 60000";
    let daemon = store.daemon(limits).await;
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(TcpStream::connect(daemon.address).await.unwrap());
    }
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
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, served).await.unwrap();
    let closed = r#"yucca_entry_closed_connections_total{reason="descriptors"}"#;
    assert!(metric(&daemon, closed) > 0);
}
