//! Requests from callers to backends through real processes, with and without failures.

use serde_json::json;
use system_tests::{Fleet, FleetSize, MODEL, VERSION, fault, wait_for};

const SMALL: FleetSize = FleetSize {
    hosts: 2,
    engines: 3,
    servers: 2,
    decode_tokens_per_s: 2_000,
};

/// Engines slow enough that a response is still being generated when the test injects a failure.
const SLOW: FleetSize = FleetSize {
    decode_tokens_per_s: 100,
    ..SMALL
};

/// Guards against an entry host that cannot serve every class of entry, or that does not report an
/// unknown entry with its result code and outcome.
#[test]
fn path_each_class() {
    let fleet = Fleet::spawn("each-class", SMALL);
    let host = fleet.address("entry-1");
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "does truss 7 fit?", 20)
        .expect("the response is not a stream");
    let first = stream.next_token().expect("the stream has no token");
    stream.expect_complete(&first, MODEL, VERSION, 20);

    let read = fleet
        .caller
        .get(host, "/stock/beam-24")
        .expect("no response");
    assert_eq!(
        (read.status, &read.body["path"]),
        (200, &json!("/stock/beam-24"))
    );

    let order = fleet.caller.order(host, "k-1").expect("no response");
    assert_eq!(order.status, 200, "{:?}", order.body);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);

    let Err(unknown) = fleet.caller.chat(host, "no-such-entry", "hello", 3) else {
        panic!("a request for an unknown entry was accepted");
    };
    assert_eq!(
        (unknown.status, unknown.code(), unknown.outcome()),
        (404, 1002, "not_run")
    );
}

/// Guards against an order that runs twice because its caller repeats it through another host, also
/// after the first host was killed.
#[test]
fn order_repeated_elsewhere() {
    let mut fleet = Fleet::spawn("order-repeat", SMALL);
    let (first, second) = (fleet.address("entry-1"), fleet.address("entry-2"));
    let response = fleet.caller.order(first, "k-1").expect("no response");
    assert_eq!(response.status, 200);
    fleet.wait_response_stored();
    let repeat = fleet.caller.order(second, "k-1").expect("no response");
    assert_eq!(repeat.status, 200, "{:?}", repeat.body);
    assert_eq!(
        repeat.body["order"], response.body["order"],
        "the repeat did not return the stored response"
    );
    fleet.process("entry-1").kill();
    let repeat = fleet.caller.order(second, "k-1").expect("no response");
    assert_eq!(repeat.body["order"], response.body["order"]);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against an order that is sent to a second server because the first one ran it without
/// responding, and against a repeat that runs while the outcome of the first attempt is unknown.
#[test]
fn order_server_silent() {
    let fleet = Fleet::spawn("order-silent", SMALL);
    let host = fleet.address("entry-1");
    for server in ["server-1", "server-2"] {
        fleet.fault(server, &json!({ "mode": "lose_answer", "count": 1 }));
    }
    let lost = fleet.caller.order(host, "k-1").expect("no response");
    assert_eq!(lost.outcome(), "unknown", "{:?}", lost.body);
    let repeat = fleet.caller.order(fleet.address("entry-2"), "k-1");
    let repeat = repeat.expect("no response");
    assert_ne!(repeat.status, 200);
    assert_ne!(repeat.outcome(), "not_run", "{:?}", repeat.body);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against orders that run without a claim while the store is down, and against a store
/// outage that stops chat and read requests.
#[test]
fn store_down() {
    let fleet = Fleet::spawn("store-down", SMALL);
    let host = fleet.address("entry-1");
    fleet.fault("store", &fault("down"));
    let refused = fleet.caller.order(host, "k-1").expect("no response");
    assert_eq!(
        (refused.code(), refused.outcome()),
        (2006, "unknown"),
        "{:?}",
        refused.body
    );
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 0);
    let read = fleet
        .caller
        .get(host, "/stock/beam-24")
        .expect("no response");
    assert_eq!(read.status, 200);
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "store outage", 10)
        .expect("the response is not a stream");
    let first = stream.next_token().expect("the stream has no token");
    stream.expect_complete(&first, MODEL, VERSION, 10);
    fleet.fault("store", &fault("none"));
    wait_for("orders to be accepted again", || {
        let response = fleet.caller.order(host, "k-1").ok()?;
        (response.status == 200).then_some(())
    });
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against a streamed response that ends early, repeats tokens or contains wrong tokens when
/// its engine is killed.
#[test]
fn engine_killed_mid_stream() {
    let mut fleet = Fleet::spawn("engine-killed", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "engine dies", tokens)
        .expect("the response is not a stream");
    let mut first = stream.next_token().expect("the stream has no token");
    first.push_str(&stream.next_token().expect("the stream has no token"));
    let engine = stream.served_by.clone();
    fleet.process(&engine).kill();
    stream.expect_complete(&first, MODEL, VERSION, tokens);
}

/// Guards against a planned stop of an entry process that cuts off a running response or exits with
/// an error.
#[test]
fn host_stopped_mid_stream() {
    let mut fleet = Fleet::spawn("host-stopped", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "host stops", tokens)
        .expect("the response is not a stream");
    let first = stream.next_token().expect("the stream has no token");
    fleet.process("entry-1").signal("TERM");
    stream.expect_complete(&first, MODEL, VERSION, tokens);
    assert!(fleet.process("entry-1").wait_exit().success());
}

/// Guards against a drain that cuts off a running response or does not stop new requests from
/// reaching the engine.
#[test]
fn engine_drained_mid_stream() {
    let fleet = Fleet::spawn("engine-drained", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "engine drains", tokens)
        .expect("the response is not a stream");
    let first = stream.next_token().expect("the stream has no token");
    let engine = stream.served_by.clone();
    let (code, output) = fleet.yuccactl(&["drain", &engine]);
    assert_eq!(code, 0, "{output}");
    stream.expect_complete(&first, MODEL, VERSION, tokens);
    let runs = fleet.stats(&engine)["runs"]
        .as_object()
        .map_or(0, serde_json::Map::len);
    for call in 0..12 {
        let content = format!("after the drain {call}");
        for host in ["entry-1", "entry-2"] {
            let stream = fleet
                .caller
                .chat(fleet.address(host), "quote-questions", &content, 1)
                .expect("the response is not a stream");
            assert_ne!(stream.served_by, engine, "{host}");
        }
    }
    let after = fleet.stats(&engine)["runs"]
        .as_object()
        .map_or(0, serde_json::Map::len);
    assert_eq!(after, runs, "the drained engine received new requests");
}
