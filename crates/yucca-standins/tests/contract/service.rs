use std::time::Duration;

use serde_json::json;
use yucca_standins::service::{Service, echo_hash};

use crate::client::{Client, spawn};

fn service() -> Client {
    spawn(Service::new("s1", Duration::ZERO))
}

/// Guards against responses that cannot be matched to their request, and against runs that are not
/// counted.
#[test]
fn service_counts_runs_by_key() {
    let client = service();
    let cases = [
        ("/orders", "k1", "a", json!({"order": "s1-1", "runs": 1})),
        ("/orders", "k1", "b", json!({"order": "s1-2", "runs": 2})),
        (
            "/bookings/7",
            "k2",
            "c",
            json!({"order": "s1-3", "runs": 1}),
        ),
    ];
    for (path, key, body, expected) in cases {
        let headers = [("idempotency-key", key), ("x-request-id", body)];
        let response = client.call("POST", path, &headers, body).unwrap();
        assert_eq!(
            (response.status, &response.headers["x-request-id"]),
            (200, &body.parse().unwrap())
        );
        let body_json = response.json();
        assert_eq!(
            (&body_json["order"], &body_json["runs"]),
            (&expected["order"], &expected["runs"])
        );
        assert_eq!(body_json["echo_hash"], echo_hash(body.as_bytes()));
        assert_eq!(body_json["server"], "s1");
    }
    let read = client.get("/stock/beam%20nine").json();
    assert_eq!(read["path"], "/stock/beam nine");
    assert_eq!(read["echo_hash"], echo_hash(b"/stock/beam nine"));
    assert_eq!(
        client.call("POST", "/ordersheet", &[], "x").unwrap().status,
        404
    );
    let stats = client.stats();
    assert_eq!(stats["runs"], json!({"k1": 2, "k2": 1}));
    assert_eq!((&stats["reads"], &stats["orders"]), (&json!(1), &json!(3)));
}

/// Guards against a fault that also prevents the run of the order, or that affects more calls than
/// requested.
#[test]
fn service_faults_table() {
    let client = service();
    let order = |key| {
        let headers = [("idempotency-key", key), ("x-request-id", "mine")];
        client.call("POST", "/orders", &headers, "x")
    };
    client.inject_fault(json!({"mode": "lose_answer"}));
    assert!(order("lost").is_err());
    assert!(order("next").is_ok());
    client.inject_fault(json!({"mode": "crossed"}));
    assert_ne!(order("crossed").unwrap().headers["x-request-id"], "mine");
    assert_eq!(order("next").unwrap().headers["x-request-id"], "mine");
    client.inject_fault(json!({"mode": "down"}));
    assert!(order("down").is_err());
    client.end_faults();
    assert_eq!(
        client.post("/faults", &json!({"mode": "freeze"})).status,
        400
    );
    assert_eq!(
        client.stats()["runs"],
        json!({"lost": 1, "next": 2, "crossed": 1})
    );
}
