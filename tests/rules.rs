//! Catalogue rules R1 to R10 on complete proposed catalogues.

use serde_json::{Value, json};
use yuccacove::catalogue::{Catalogue, Object};
use yuccacove::rules::check;

fn object(key: &str, value: &Value) -> (String, Object) {
    let object = Object::parse(key, value).expect("a valid value");
    (key.to_owned(), object.expect("a catalogue key"))
}

fn with(mut value: Value, changes: &Value) -> Value {
    for (field, change) in changes.as_object().expect("an object") {
        value[field] = change.clone();
    }
    value
}

fn entry(service: &str, class: &str, changes: &Value) -> Value {
    let value = json!({
        "owner": "office", "service": service, "class": class, "rank": "urgent",
        "first_token_ms": 1_500, "between_tokens_ms": 61, "deadline_ms": 30_000,
        "requests_per_s": 10, "concurrent": 10, "tokens_per_s": 10,
    });
    with(value, changes)
}

fn chat(changes: Value) -> Value {
    entry("advisor", "chat", &changes)
}

fn read(service: &str, prefix: &str, methods: &[&str]) -> Value {
    let path = json!({ "path_prefix": prefix, "methods": methods, "tokens_per_s": 0 });
    entry(service, "read", &path)
}

fn server(service: &str, port: u16) -> Value {
    json!({ "service": service, "address": format!("127.0.0.1:{port}"), "zone": "a" })
}

fn engine(service: &str, port: u16) -> Value {
    with(server(service, port), &json!({ "checks_fence": true }))
}

fn service(kind: &str, floors_percent: [u8; 3]) -> Value {
    json!({ "kind": kind, "model": "m", "version": "v1", "floors_percent": floors_percent })
}

/// A catalogue without violations, to which each case adds its objects.
fn base() -> Vec<(String, Object)> {
    vec![
        object("owner/office", &json!({ "organisation": "hallgren" })),
        object("service/advisor", &service("model", [50, 30, 20])),
        object("service/desk", &service("plain", [0; 3])),
        object("entry/chat", &chat(json!({}))),
        object("entry/orders", &read("desk", "/orders", &["POST"])),
        object("engine/advisor-1", &engine("advisor", 9_001)),
        object("server/desk-1", &server("desk", 9_101)),
    ]
}

/// Guards against accepting a catalogue that violates a rule, and refusing one that violates none.
#[test]
fn check_each_rule() {
    let cases: [(&str, Value, &[u8]); 24] = [
        ("entry/x", chat(json!({ "owner": "nobody" })), &[1]),
        ("entry/x", chat(json!({ "service": "nowhere" })), &[2]),
        ("engine/x", engine("nowhere", 9_002), &[2]),
        ("entry/x", chat(json!({ "service": "desk" })), &[3]),
        ("entry/x", chat(json!({ "class": "order" })), &[3]),
        ("entry/x", read("advisor", "/x", &["GET"]), &[3]),
        ("engine/x", engine("desk", 9_002), &[3]),
        ("server/x", server("advisor", 9_102), &[3]),
        ("entry/x", chat(json!({ "requests_per_s": 0 })), &[4]),
        ("entry/x", chat(json!({ "concurrent": 0 })), &[4]),
        ("entry/x", chat(json!({ "tokens_per_s": 0 })), &[4]),
        ("entry/x", chat(json!({ "concurrent": 1 })), &[]),
        ("engine/x", engine("advisor", 9_001), &[5]),
        ("server/x", server("desk", 9_001), &[5]),
        ("server/x", server("desk", 9_102), &[]),
        ("engine/advisor-1", engine("advisor", 9_002), &[6]),
        ("service/x", service("plain", [50, 30, 21]), &[7]),
        ("service/x", service("plain", [255, 255, 255]), &[7]),
        ("entry/x", read("desk", "/orders", &["GET", "POST"]), &[8]),
        ("entry/x", read("desk", "/orders/", &["POST"]), &[8]),
        ("entry/x", read("desk", "/orders", &["GET"]), &[]),
        ("entry/x", read("desk", "/orders/open", &["POST"]), &[]),
        ("entry/x", chat(json!({ "first_token_ms": 30_001 })), &[10]),
        ("entry/x", chat(json!({ "first_token_ms": 30_000 })), &[]),
    ];
    for (key, value, expected) in cases {
        let mut proposed = base();
        proposed.push(object(key, &value));
        let violations = check(&proposed, &Catalogue::default());
        let rules: Vec<u8> = violations.iter().map(|v| v.rule.number()).collect();
        assert_eq!(rules, expected, "{key} {value}");
        assert!(violations.iter().all(|v| v.key == key), "{violations:?}");
    }
}

/// Guards against conflicts with active objects, whether the proposal contains them or not.
#[test]
fn check_against_current() {
    let withdrawn = |value| with(value, &json!({ "admin": "withdrawn" }));
    let engine = || engine("advisor", 9_002);
    let path = || read("desk", "/x", &["POST"]);
    let cases: [(&str, Value, &str, Value, &[u8]); 6] = [
        ("engine/x", engine(), "engine/x", withdrawn(engine()), &[9]),
        (
            "server/x",
            server("desk", 1),
            "server/x",
            withdrawn(server("desk", 2)),
            &[9],
        ),
        ("engine/x", engine(), "engine/x", engine(), &[]),
        ("engine/x", engine(), "engine/old", engine(), &[5]),
        ("engine/x", engine(), "engine/old", withdrawn(engine()), &[]),
        ("entry/x", path(), "entry/old", path(), &[8]),
    ];
    for (key, value, current_key, current_value, expected) in cases {
        let mut proposed = base();
        proposed.push(object(key, &value));
        let mut current = Catalogue::default();
        let (current_key, current_object) = object(current_key, &current_value);
        current.apply(&current_key, 7, Some(current_object));
        let violations = check(&proposed, &current);
        let rules: Vec<u8> = violations.iter().map(|v| v.rule.number()).collect();
        assert_eq!(rules, expected, "{key} {value} against {current_value}");
    }
}

/// The text of a violation must let an operator find the invalid line in the catalogue file.
#[test]
fn violation_names_rule_section_and_field() {
    let mut proposed = base();
    proposed.push(object("engine/x", &engine("advisor", 9_001)));
    let violations = check(&proposed, &Catalogue::default());
    assert_eq!(
        violations[0].to_string(),
        "R5: [engine x] address: 127.0.0.1:9001 is also used by engine/advisor-1"
    );
}
