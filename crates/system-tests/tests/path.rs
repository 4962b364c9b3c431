//! The path from callers to back ends through real processes, with failures on the way.

use serde_json::json;
use system_tests::{Fleet, FleetSize, MODEL, VERSION, fault, wait_for};

const SMALL: FleetSize = FleetSize {
    hosts: 2,
    engines: 3,
    servers: 2,
    decode_tokens_per_s: 2_000,
};

/// Engines slow enough that an answer is still running when the test interferes.
const SLOW: FleetSize = FleetSize {
    decode_tokens_per_s: 100,
    ..SMALL
};

/// Guards against an entry host that cannot serve each class of entry, or gives unclear errors.
#[test]
fn path_each_class() {
    let fleet = Fleet::spawn("each-class", SMALL);
    let host = fleet.address("entry-1");
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "does truss 7 fit?", 20)
        .expect("a stream");
    let first = stream.next_token().expect("a token");
    stream.expect_complete(&first, MODEL, VERSION, 20);

    let read = fleet.caller.get(host, "/stock/beam-24").expect("an answer");
    assert_eq!(
        (read.status, &read.body["path"]),
        (200, &json!("/stock/beam-24"))
    );

    let order = fleet.caller.order(host, "k-1").expect("an answer");
    assert_eq!(order.status, 200, "{:?}", order.body);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);

    let Err(unknown) = fleet.caller.chat(host, "no-such-entry", "hello", 3) else {
        panic!("an unknown entry is answered");
    };
    assert_eq!(
        (unknown.status, unknown.code(), unknown.outcome()),
        (404, 1002, "not_run")
    );
}

/// Guards against an order that runs again when its caller repeats it through another host, also
/// after the first host was killed.
#[test]
fn order_repeated_elsewhere() {
    let mut fleet = Fleet::spawn("order-repeat", SMALL);
    let (first, second) = (fleet.address("entry-1"), fleet.address("entry-2"));
    let answer = fleet.caller.order(first, "k-1").expect("an answer");
    assert_eq!(answer.status, 200);
    fleet.wait_response_stored();
    let repeat = fleet.caller.order(second, "k-1").expect("an answer");
    assert_eq!(repeat.status, 200, "{:?}", repeat.body);
    assert_eq!(
        repeat.body["order"], answer.body["order"],
        "the kept answer is given"
    );
    fleet.process("entry-1").kill();
    let repeat = fleet.caller.order(second, "k-1").expect("an answer");
    assert_eq!(repeat.body["order"], answer.body["order"]);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against an order that is sent twice because its server went silent, and against a
/// repeat that runs while the outcome of the first is unknown.
#[test]
fn order_server_silent() {
    let fleet = Fleet::spawn("order-silent", SMALL);
    let host = fleet.address("entry-1");
    for server in ["server-1", "server-2"] {
        fleet.fault(server, &json!({ "mode": "lose_answer", "count": 1 }));
    }
    let lost = fleet.caller.order(host, "k-1").expect("an answer");
    assert_eq!(lost.outcome(), "unknown", "{:?}", lost.body);
    let repeat = fleet.caller.order(fleet.address("entry-2"), "k-1");
    let repeat = repeat.expect("an answer");
    assert_ne!(repeat.status, 200);
    assert_ne!(repeat.outcome(), "not_run", "{:?}", repeat.body);
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against orders that run without a claim while the store is down, and against an outage
/// that stops chat and reads.
#[test]
fn store_down() {
    let fleet = Fleet::spawn("store-down", SMALL);
    let host = fleet.address("entry-1");
    fleet.fault("store", &fault("down"));
    let refused = fleet.caller.order(host, "k-1").expect("an answer");
    assert_eq!(
        (refused.code(), refused.outcome()),
        (2006, "unknown"),
        "{:?}",
        refused.body
    );
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 0);
    let read = fleet.caller.get(host, "/stock/beam-24").expect("an answer");
    assert_eq!(read.status, 200);
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "store outage", 10)
        .expect("a stream");
    let first = stream.next_token().expect("a token");
    stream.expect_complete(&first, MODEL, VERSION, 10);
    fleet.fault("store", &fault("none"));
    wait_for("orders to be taken again", || {
        let answer = fleet.caller.order(host, "k-1").ok()?;
        (answer.status == 200).then_some(())
    });
    assert_eq!(fleet.order_runs("k-1", SMALL.servers), 1);
}

/// Guards against an answer that is cut, repeated in part or mixed up when its engine dies.
#[test]
fn engine_killed_mid_stream() {
    let mut fleet = Fleet::spawn("engine-killed", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "engine dies", tokens)
        .expect("a stream");
    let mut first = stream.next_token().expect("a token");
    first.push_str(&stream.next_token().expect("a token"));
    let engine = stream.served_by.clone();
    fleet.process(&engine).kill();
    stream.expect_complete(&first, MODEL, VERSION, tokens);
}

/// Guards against a planned stop of a host that cuts a running answer or takes leases with it.
#[test]
fn host_stopped_mid_stream() {
    let mut fleet = Fleet::spawn("host-stopped", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "host stops", tokens)
        .expect("a stream");
    let first = stream.next_token().expect("a token");
    fleet.process("entry-1").signal("TERM");
    stream.expect_complete(&first, MODEL, VERSION, tokens);
    assert!(fleet.process("entry-1").wait_exit().success());
}

/// Guards against a drain that cuts a running answer or does not keep new work away.
#[test]
fn engine_drained_mid_stream() {
    let fleet = Fleet::spawn("engine-drained", SLOW);
    let host = fleet.address("entry-1");
    let tokens = 60;
    let mut stream = fleet
        .caller
        .chat(host, "quote-questions", "engine drains", tokens)
        .expect("a stream");
    let first = stream.next_token().expect("a token");
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
                .expect("a stream");
            assert_ne!(stream.served_by, engine, "{host}");
        }
    }
    let after = fleet.stats(&engine)["runs"]
        .as_object()
        .map_or(0, serde_json::Map::len);
    assert_eq!(after, runs, "the drained engine got new work");
}
