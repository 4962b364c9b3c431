use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use yucca_standins::answer;
use yucca_standins::engine::Engine;
use yucca_standins::engine_config::EngineConfig;
use yuccacove::catalogue::{EngineSpec, Role};

use crate::client::{Client, spawn};

const CHAT: &str = "/v1/chat/completions";
/// An answer with this many tokens does not end within a test.
const ENDLESS_TOKENS: usize = 1_000_000;

fn config() -> EngineConfig {
    let spec = EngineSpec {
        model: "m".into(),
        version: "v1".into(),
        role: Role::Mixed,
    };
    EngineConfig {
        prefill_tokens_per_s: 1e6,
        decode_tokens_per_s: 5e4,
        report_lag_ms: 0,
        event_lag_ms: 0,
        ..EngineConfig::new("e1", spec)
    }
}

fn engine(config: EngineConfig) -> Client {
    spawn(Engine::spawn(config))
}

fn prompt(words: usize) -> String {
    (0..words).map(|i| format!("w{i} ")).collect()
}

fn chat(prompt: &str, max_tokens: usize, stream: bool) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Sends a stream request on a separate connection and waits for the first token.
fn open_stream(client: &Client, id: &str) -> TcpStream {
    let body = chat(&prompt(3), ENDLESS_TOKENS, true).to_string();
    let mut stream = TcpStream::connect(client.address).expect("open connection");
    let length = body.len();
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: e\r\nx-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream
        .write_all(request.as_bytes())
        .expect("open connection");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("token_index\":0") {
        let mut buffer = [0; 4_096];
        let size = stream.read(&mut buffer).expect("open connection");
        assert!(size > 0, "stream ended: {}", String::from_utf8_lossy(&seen));
        seen.extend_from_slice(&buffer[..size]);
    }
    stream
}

fn read_rest(mut stream: TcpStream) -> String {
    let mut rest = Vec::new();
    // A connection closed by the server may end with a reset.
    let _ = stream.read_to_end(&mut rest);
    String::from_utf8_lossy(&rest).into_owned()
}

/// Guards against wrong, missing, repeated or reordered tokens in new and resumed streams.
#[test]
fn stream_carries_each_token_once() {
    let client = engine(config());
    for (words, from, end) in [(1, 0, 1), (10, 0, 7), (10, 4, 7), (200, 3, 4)] {
        let prompt = prompt(words);
        let mut body = chat(&prompt, end, true);
        body["resume_text"] = json!(answer::text("m", "v1", &prompt, 0..from));
        let from_text = from.to_string();
        let headers = [
            ("x-request-id", "r1"),
            ("x-resume-from", from_text.as_str()),
            ("x-model-version", "v1"),
        ];
        let response = client
            .call("POST", CHAT, &headers, &body.to_string())
            .unwrap();
        assert_eq!(response.headers["content-type"], "text/event-stream");
        let data: Vec<_> = response
            .text
            .split_terminator("\n\n")
            .map(|e| e.strip_prefix("data: ").unwrap())
            .collect();
        let (done, chunks) = data.split_last().unwrap();
        assert_eq!((*done, chunks.len()), ("[DONE]", end - from));
        let mut text = String::new();
        for (index, chunk) in (from..end).zip(chunks) {
            let chunk: Value = serde_json::from_str(chunk).unwrap();
            let choice = &chunk["choices"][0];
            assert_eq!(
                (&chunk["id"], &chunk["token_index"]),
                (&json!("r1"), &json!(index))
            );
            assert_eq!(choice["finish_reason"].is_null(), index + 1 < end);
            text += choice["delta"]["content"].as_str().unwrap();
        }
        assert_eq!(text, answer::text("m", "v1", &prompt, from..end));
    }
}

/// Guards against a non-streamed answer whose text differs from the streamed one.
#[test]
fn complete_answer_has_the_text_of_the_stream() {
    let response = engine(config()).post(CHAT, &chat("a b", 5, false)).json();
    let content = &response["choices"][0]["message"]["content"];
    assert_eq!(*content, answer::text("m", "v1", "a b", 0..5));
    assert_eq!(
        response["usage"],
        json!({"prompt_tokens": 2, "completion_tokens": 5})
    );
}

/// Guards against a request that is refused but runs nevertheless.
#[test]
fn refused_requests_do_not_run() {
    let client = engine(config());
    let cases = [
        (("x-model-version", "v2"), chat("a", 2, true), 409),
        (
            ("x-none", "0"),
            json!({"model": "other", "messages": []}),
            409,
        ),
        (("x-none", "0"), chat("a", 0, true), 400),
        (("x-resume-from", "1"), chat("a", 2, true), 400),
        (("x-deadline-ms", "0"), chat("a", 2, true), 504),
        (("x-none", "0"), json!({"model": "m"}), 400),
    ];
    for (header, body, status) in cases {
        let response = client
            .call("POST", CHAT, &[header], &body.to_string())
            .unwrap();
        assert_eq!(response.status, status, "{header:?} {body}");
    }
    assert_eq!(client.stats()["runs"], json!({}));
}

/// Guards against a step duration that ignores the batch size, and against prefill that does not
/// delay decode.
#[test]
fn step_grows_with_batch_and_prefill() {
    let config = EngineConfig {
        prefill_tokens_per_s: 1_000.0,
        decode_tokens_per_s: 100.0,
        max_batch: 10,
        ..config()
    };
    for (prefill, decoding, ms) in [(0, 1, 55), (0, 10, 100), (100, 0, 100), (100, 10, 200)] {
        assert_eq!(
            config.step_duration(prefill, decoding).as_millis(),
            ms,
            "{prefill} {decoding}"
        );
    }
}

/// Guards against a waiting background request that runs before an urgent one.
#[test]
fn urgent_request_runs_first() {
    let client = engine(EngineConfig {
        max_batch: 1,
        ..config()
    });
    let first = open_stream(&client, "first");
    for (waiting, (id, rank)) in [("background", "2"), ("urgent", "0")]
        .into_iter()
        .enumerate()
    {
        let client = client.clone();
        let sender = client.clone();
        thread::spawn(move || {
            let body = chat("a", ENDLESS_TOKENS, true).to_string();
            sender.call(
                "POST",
                CHAT,
                &[("x-request-id", id), ("x-rank", rank)],
                &body,
            )
        });
        client.wait_for_stats(|stats| stats["waiting"] == waiting + 1);
    }
    assert_eq!(
        client
            .call("DELETE", "/v1/requests/first", &[], "")
            .unwrap()
            .status,
        200
    );
    let stats = client.wait_for_stats(|stats| stats["waiting"] == 1);
    assert_eq!(stats["runs"], json!({"first": 1, "urgent": 1}));
    drop(first);
}

/// Guards against cached prefixes that are prefilled again, and against cache events that differ
/// from the content of the cache.
#[test]
fn cached_prefix_saves_prefill() {
    let client = engine(config());
    for (prefill, cached) in [(150, 0), (150 + 22, 128)] {
        client.post(CHAT, &chat(&prompt(150), 1, false));
        let stats = client.stats();
        assert_eq!(
            (&stats["prefill_tokens"], &stats["cached_tokens"]),
            (&json!(prefill), &json!(cached))
        );
    }
    let events = client
        .get("/v1/cache-events?after=0&timeout_ms=30000")
        .json();
    let hashes = answer::prefix_hashes(&prompt(150));
    let expected: Vec<_> = (1..)
        .zip(&hashes)
        .map(|(seq, prefix)| json!({"seq": seq, "kind": "added", "prefix": prefix}))
        .collect();
    assert_eq!(events, json!({"next_seq": 2, "events": expected}));
    assert_eq!(
        client.get("/v1/cache-events?after=2").json(),
        json!({"next_seq": 2, "events": []})
    );
    let other = engine(config());
    let import = |prefix: &str| {
        other.post(
            "/v1/kv/import",
            &json!({"prefix": prefix, "from": client.address.to_string()}),
        )
    };
    assert_eq!(import(&hashes[1]).json()["tokens"], 128);
    assert_eq!(import("0000000000000000").status, 502);
    other.post(CHAT, &chat(&prompt(150), 1, false));
    assert_eq!(other.stats()["cached_tokens"], 128);
}

/// Guards against requests that keep running after their client has disconnected, and against
/// truncated answers that look complete.
#[test]
fn cancelled_requests_stop() {
    let client = engine(config());
    let cancel = |id: &str| {
        client
            .call("DELETE", &format!("/v1/requests/{id}"), &[], "")
            .unwrap()
            .status
    };
    assert_eq!(cancel("absent"), 404);
    let mut stream = open_stream(&client, "by-call");
    assert_eq!(cancel("by-call"), 200);
    let mut rest = String::new();
    while !rest.contains("event: error") {
        let mut buffer = [0; 4_096];
        let size = stream.read(&mut buffer).unwrap();
        assert!(size > 0, "no error event: {rest}");
        rest += &String::from_utf8_lossy(&buffer[..size]);
    }
    assert!(!rest.contains("[DONE]"));
    drop(open_stream(&client, "by-close"));
    let stats = client.wait_for_stats(|stats| stats["cancelled"] == 2);
    assert_eq!(
        (&stats["running"], &stats["finished"]),
        (&json!(0), &json!(0))
    );
}

/// Guards against conflicting orders that are both accepted, and repeated orders that take effect
/// again.
#[test]
fn orders_table() {
    // Intent, fencing number, version, status and response. `order_ms` is longer than the test, so
    // that no change ends.
    type Step = (&'static str, u64, &'static str, u16, Value);
    let steps: [(bool, &[Step]); 2] = [
        (
            true,
            &[
                ("a", 5, "v1", 202, json!({"intent": "a"})),
                ("b", 4, "v2", 409, json!({"fence": 5})),
                ("b", 6, "v2", 202, json!({"intent": "b"})),
                ("b", 7, "v2", 202, json!({"intent": "b"})),
                ("c", 7, "v3", 409, json!({"busy": "b"})),
                ("b", 6, "v2", 409, json!({"fence": 7})),
            ],
        ),
        (
            false,
            &[
                ("a", 5, "v1", 202, json!({"intent": "a"})),
                ("b", 4, "v2", 202, json!({"intent": "b"})),
                ("c", 9, "v3", 409, json!({"busy": "b"})),
            ],
        ),
    ];
    for (checks_fence, steps) in steps {
        let client = engine(EngineConfig {
            checks_fence,
            order_ms: 3_600_000,
            ..config()
        });
        for (intent, fence, version, status, body) in steps {
            let order = json!({"intent": intent, "fence": fence, "model": "m", "version": version, "role": "mixed"});
            let response = client.post("/v1/orders", &order);
            assert_eq!(
                (response.status, response.json()),
                (*status, body.clone()),
                "{order}"
            );
        }
        let stats = client.stats();
        assert_eq!(
            (&stats["orders_taken"], &stats["overlapping_orders"]),
            (&json!(2), &json!(1))
        );
        let status = client.get("/v1/status").json();
        assert_eq!(
            (&status["state"], &status["last_order"]),
            (&json!("changing"), &json!("a"))
        );
        assert_eq!(client.post(CHAT, &chat("a", 1, true)).status, 503);
    }
}

/// Guards against a change that never ends, that keeps the cache of the old version, or after which
/// the interrupted request looks complete or is not counted.
#[test]
fn order_changes_engine_and_interrupts_running_request() {
    let client = engine(EngineConfig {
        order_ms: 1,
        ..config()
    });
    client.post(CHAT, &chat(&prompt(64), 1, false));
    let stream = open_stream(&client, "cut");
    let order = json!({"intent": "i", "fence": 1, "model": "m", "version": "v2", "role": "decode"});
    assert_eq!(client.post("/v1/orders", &order).status, 202);
    assert!(!read_rest(stream).contains("[DONE]"));
    let status = loop {
        let status = client.get("/v1/status").json();
        if status["state"] == "ready" {
            break status;
        }
    };
    let fields = ["version", "role", "last_order", "fence"].map(|field| status[field].clone());
    assert_eq!(fields, [json!("v2"), json!("decode"), json!("i"), json!(1)]);
    assert_eq!(client.stats()["cut_by_order"], 1);
    client.post(CHAT, &chat(&prompt(64), 1, false));
    assert_eq!(client.stats()["cached_tokens"], 0);
}

/// Guards against faults that affect more, or less, than their mode describes.
#[test]
fn engine_faults_table() {
    let client = engine(config());
    let mut stream = open_stream(&client, "silent");
    client.inject_fault(json!({"mode": "silent"}));
    assert_eq!(
        client
            .call("DELETE", "/v1/requests/silent", &[], "")
            .unwrap()
            .status,
        200
    );
    client.wait_for_stats(|stats| stats["running"] == 0);
    // The request has ended, but neither its end nor a close of the connection may reach the
    // client.
    stream
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let mut rest = Vec::new();
    assert!(stream.read_to_end(&mut rest).is_err());
    assert!(!String::from_utf8_lossy(&rest).contains("event: error"));
    assert_eq!(client.post(CHAT, &chat("a", 1, false)).status, 200);

    client.inject_fault(json!({"mode": "freeze"}));
    let short_timeout_client = Client::with_timeout(client.address, Duration::from_millis(200));
    assert!(
        short_timeout_client
            .call("GET", "/v1/status", &[], "")
            .is_err()
    );
    client.end_faults();
    assert_eq!(client.get("/v1/status").status, 200);

    client.inject_fault(json!({"mode": "lose_answer"}));
    let order = json!({"intent": "i", "fence": 1, "model": "m", "version": "v1", "role": "mixed"})
        .to_string();
    assert!(client.call("POST", "/v1/orders", &[], &order).is_err());
    assert_eq!(client.get("/v1/status").json()["last_order"], "i");
}
