use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yucca_standins::store::{Config, MAX_VALUE_BYTES, Store, TokenBucket};

use crate::client::{Client, Response, spawn};

fn store() -> Client {
    spawn(Store::new(Config::default()))
}

fn put(client: &Client, key: &str, version: u64, value: &str) -> Result<Response, ureq::Error> {
    let path = format!("/v1/objects/{key}");
    client.call("PUT", &path, &[("if-match", &version.to_string())], value)
}

fn object(key: &str, version: u64, value: u64) -> Value {
    json!({"key": key, "version": version, "value": value})
}

/// Guards against lost updates, versions that start again after a deletion, and lists of the wrong
/// objects.
#[test]
fn store_protocol_table() {
    // Method, path, If-Match, body, status and response; `Null` leaves the response unchecked.
    type Step = (
        &'static str,
        &'static str,
        Option<&'static str>,
        &'static str,
        u16,
        Value,
    );
    let client = store();
    let steps: [Step; 17] = [
        ("GET", "/v1/objects/a/1", None, "", 404, Value::Null),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("0"),
            "10",
            200,
            json!({"version": 1}),
        ),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("0"),
            "11",
            409,
            json!({"version": 1}),
        ),
        (
            "PUT",
            "/v1/objects/b/1",
            Some("0"),
            "20",
            200,
            json!({"version": 2}),
        ),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("1"),
            "12",
            200,
            json!({"version": 3}),
        ),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("1"),
            "13",
            409,
            json!({"version": 3}),
        ),
        ("PUT", "/v1/objects/a/1", None, "13", 400, Value::Null),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("3"),
            "no JSON",
            400,
            Value::Null,
        ),
        (
            "PUT",
            "/v1/objects/c/1",
            Some("7"),
            "1",
            409,
            json!({"version": 0}),
        ),
        (
            "GET",
            "/v1/objects/a/1",
            None,
            "",
            200,
            object("a/1", 3, 12),
        ),
        (
            "GET",
            "/v1/objects?prefix=a/",
            None,
            "",
            200,
            json!({"revision": 3, "objects": [object("a/1", 3, 12)]}),
        ),
        (
            "GET",
            "/v1/watch?prefix=&after=1",
            None,
            "",
            200,
            json!({"revision": 3, "objects": [object("b/1", 2, 20), object("a/1", 3, 12)], "deleted": []}),
        ),
        (
            "DELETE",
            "/v1/objects/a/1",
            Some("1"),
            "",
            409,
            json!({"version": 3}),
        ),
        (
            "DELETE",
            "/v1/objects/a/1",
            Some("3"),
            "",
            200,
            json!({"version": 4}),
        ),
        ("GET", "/v1/objects/a/1", None, "", 404, Value::Null),
        (
            "GET",
            "/v1/watch?prefix=a/&after=1",
            None,
            "",
            200,
            json!({"revision": 4, "objects": [], "deleted": [{"key": "a/1", "version": 4}]}),
        ),
        (
            "PUT",
            "/v1/objects/a/1",
            Some("0"),
            "14",
            200,
            json!({"version": 5}),
        ),
    ];
    for (method, path, version, body, status, expected) in steps {
        let headers: Vec<_> = version
            .map(|version| ("if-match", version))
            .into_iter()
            .collect();
        let response = client.call(method, path, &headers, body).unwrap();
        assert_eq!(response.status, status, "{method} {path} {version:?}");
        if !expected.is_null() {
            assert_eq!(response.json(), expected, "{method} {path} {version:?}");
        }
    }
    let calls = &client.stats()["calls"];
    assert_eq!(
        (&calls["get"], &calls["put"], &calls["delete"]),
        (&json!(3), &json!(9), &json!(2))
    );
    assert_eq!(
        (&calls["list"], &calls["watch"], &calls["conflict"]),
        (&json!(1), &json!(2), &json!(4))
    );
}

/// Guards against a watch that misses a change made while it waits, or wakes for another prefix.
#[test]
fn watch_waits_for_its_prefix() {
    let client = store();
    let watcher = client.clone();
    let watch = thread::spawn(move || {
        watcher
            .get("/v1/watch?prefix=a/&after=0&timeout_ms=60000")
            .json()
    });
    client.wait_for_stats(|stats| stats["waiting_watches"] == 1);
    put(&client, "b/1", 0, "1").unwrap();
    put(&client, "a/1", 0, "2").unwrap();
    let expected = json!({"revision": 2, "objects": [object("a/1", 2, 2)], "deleted": []});
    assert_eq!(watch.join().unwrap(), expected);
}

/// Guards against a watch that silently skips changes that are no longer in the store's history.
#[test]
fn watch_of_unknown_revision_is_gone() {
    let client = spawn(Store::new(Config {
        history_changes: 2,
        ..Config::default()
    }));
    for key in ["a", "b", "c", "d"] {
        put(&client, key, 0, "1").unwrap();
    }
    for (after, status) in [(0, 410), (1, 410), (2, 200), (4, 200), (5, 410)] {
        assert_eq!(
            client
                .get(&format!("/v1/watch?prefix=&after={after}"))
                .status,
            status,
            "{after}"
        );
    }
}

/// Guards against defaults other than the platform's limits of 400 writes and 2,000 reads per
/// second (docs/design.md, section 4.4), and against calls or values that exceed a limit but are
/// accepted.
#[test]
fn store_limits() {
    let config = Config::default();
    assert_eq!((config.writes_per_s, config.reads_per_s), (400, 2_000));
    let start = Instant::now();
    let mut bucket = TokenBucket::new(3, start);
    for (at_ms, admitted) in [
        (0, true),
        (0, true),
        (0, true),
        (0, false),
        (300, false),
        (400, true),
        (400, false),
    ] {
        assert_eq!(
            bucket.try_acquire(start + Duration::from_millis(at_ms)),
            admitted,
            "{at_ms} ms"
        );
    }
    let exhausted = spawn(Store::new(Config {
        writes_per_s: 0,
        reads_per_s: 0,
        ..config
    }));
    for path in [
        "/v1/objects/a",
        "/v1/objects?prefix=",
        "/v1/watch?prefix=&after=0",
        "/v1/hosts",
    ] {
        assert_eq!(exhausted.get(path).status, 429, "{path}");
    }
    let refused = put(&exhausted, "a", 0, "1").unwrap();
    assert_eq!(
        (refused.status, &refused.headers["retry-after"]),
        (429, &"1".parse().unwrap())
    );
    assert_eq!(exhausted.stats()["calls"]["rate_limited"], 5);
    let client = store();
    for (bytes, status) in [(MAX_VALUE_BYTES, 200), (MAX_VALUE_BYTES + 1, 413)] {
        let value = format!("\"{}\"", "x".repeat(bytes - 2));
        assert_eq!(
            put(&client, &bytes.to_string(), 0, &value).unwrap().status,
            status,
            "{bytes}"
        );
    }
}

/// Guards against a lost response whose write is lost too, and a stale read that repeats.
#[test]
fn store_faults_table() {
    let client = store();
    put(&client, "a", 0, "1").unwrap();
    client.inject_fault(json!({"mode": "lose_answer", "count": 1}));
    assert_eq!(put(&client, "a", 0, "5").unwrap().status, 409);
    assert!(put(&client, "a", 1, "2").is_err());
    assert_eq!(client.get("/v1/objects/a").json(), object("a", 2, 2));
    client.inject_fault(json!({"mode": "stale_read", "count": 1}));
    assert_eq!(client.get("/v1/objects/a").json(), object("a", 1, 1));
    assert_eq!(client.get("/v1/objects/a").json(), object("a", 2, 2));
    client.inject_fault(json!({"mode": "slow", "delay_ms": 30}));
    let start = Instant::now();
    client.get("/v1/objects/a");
    assert!(start.elapsed() >= Duration::from_millis(30));
    client.end_faults();
    let watcher = client.clone();
    let watch = thread::spawn(move || {
        watcher
            .call("GET", "/v1/watch?prefix=&after=2&timeout_ms=60000", &[], "")
            .is_err()
    });
    client.wait_for_stats(|stats| stats["waiting_watches"] == 1);
    client.inject_fault(json!({"mode": "down"}));
    assert!(watch.join().unwrap());
    client.wait_for_stats(|stats| stats["waiting_watches"] == 0);
    assert!(put(&client, "a", 2, "3").is_err());
    client.end_faults();
    assert_eq!(client.get("/v1/objects/a").json(), object("a", 2, 2));
}

/// Guards against a host list that differs from what the operator set.
#[test]
fn hosts_are_set_by_operator() {
    let client = store();
    assert_eq!(client.get("/v1/hosts").json(), json!({"hosts": []}));
    let hosts = json!({"hosts": [{"name": "entry-1", "state": "leaving", "age_ms": 100}]});
    assert_eq!(client.post("/hosts", &hosts).status, 200);
    let host = &client.get("/v1/hosts").json()["hosts"][0];
    assert_eq!(
        (&host["name"], &host["state"]),
        (&json!("entry-1"), &json!("leaving"))
    );
    assert!(host["age_ms"].as_u64().unwrap() >= 100);
    let wrong = json!({"hosts": [{"name": "entry-1", "state": "dead"}]});
    assert_eq!(client.post("/hosts", &wrong).status, 400);
}

/// Guards against loaded objects that have no versions.
#[test]
fn load_writes_objects() {
    let store = Store::new(Config::default());
    store.load(r#"{"a": 1, "b": 2}"#).unwrap();
    assert!(store.load("[]").is_err());
    assert_eq!(spawn(store).get("/v1/objects/b").json(), object("b", 2, 2));
}
