//! Runs `yuccactl` as a process and checks exit codes, output and the objects in the store.

mod fakes;

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use fakes::{FakeStore, Fault, serve};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

const CATALOGUE: &str = "
[owner office]
organisation = hallgren
[entry chat]
owner = office
service = advisor
class = chat
rank = urgent
first_token_ms = 1500
between_tokens_ms = 61
deadline_ms = 30000
requests_per_s = 10
concurrent = 10
tokens_per_s = 10
[service advisor]
kind = model
model = m
version = v1
[engine advisor-1]
service = advisor
address = 127.0.0.1:9
zone = a
checks_fence = yes
";

/// Settings file, catalogue file and fake store of one test.
struct Fleet {
    store: FakeStore,
    directory: PathBuf,
}

impl Fleet {
    fn new() -> Self {
        Self::with_hosts(&[closed_port()])
    }

    fn with_hosts(operators: &[SocketAddr]) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("yuccactl-{}-{number}", std::process::id());
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("a directory");
        let store = FakeStore::spawn();
        let mut settings = format!(
            "[fleet]\ncustomer = c\nregion = r\n[store]\naddress = {}\n[policy]\ndrain_settle_ms = 10\n",
            store.address
        );
        for (index, operators) in operators.iter().enumerate() {
            let port = 2 * index + 1;
            settings += &format!(
                "[host entry-{index}]\nzone = a\ncallers = 127.0.0.2:{port}\noperators = {operators}\n\
                 peers = 127.0.0.3:{port}\ncontrol = 127.0.0.4:{port}\n"
            );
        }
        fs::write(directory.join("fleet.ini"), settings).expect("a settings file");
        let fleet = Self { store, directory };
        fleet.write_catalogue(CATALOGUE);
        fleet
    }

    fn write_catalogue(&self, text: &str) {
        fs::write(self.directory.join("catalogue.ini"), text).expect("a catalogue file");
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_yuccactl"));
        command.current_dir(&self.directory);
        command.args(["--settings", "fleet.ini"]).args(arguments);
        command
    }

    /// Runs the command, checks its exit code and returns its standard output and error.
    fn expect(&self, arguments: &[&str], exit_code: i32) -> (String, String) {
        let output = self.command(arguments).output().expect("an output");
        let out = String::from_utf8_lossy(&output.stdout).into_owned();
        let err = String::from_utf8_lossy(&output.stderr).into_owned();
        let code = output.status.code();
        assert_eq!(code, Some(exit_code), "{arguments:?}: {out}{err}");
        (out, err)
    }

    fn put_engine(&self, changes: &Value) {
        let mut value = json!({
            "service": "advisor", "address": "127.0.0.1:9", "zone": "a", "role": "mixed",
            "checks_fence": true, "admin": "active", "intent": null,
        });
        for (field, change) in changes.as_object().expect("an object") {
            value[field] = change.clone();
        }
        self.store.put("engine/advisor-1", &value);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // If this fails, the directory remains in the target directory, which is no problem.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns an address that refuses connections. Its port stays bound until the test program ends, as
/// a server that is started later could be given a released port.
fn closed_port() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("a free port");
    let address = socket.local_addr().expect("an address");
    std::mem::forget(socket);
    address.as_socket().expect("an IP address")
}

/// Guards against a fault of these tests, in which a fake store was given the port of an address
/// that was to refuse connections, so that the settings named it twice.
#[test]
fn closed_port_stays_closed() {
    let closed = closed_port();
    assert!(TcpStream::connect(closed).is_err());
    assert!(
        TcpListener::bind(closed).is_err(),
        "the port can be given to a server"
    );
}

fn engine_with(running: u64, age_ms: u64) -> SocketAddr {
    let report = json!({
        "engine": "advisor-1", "model": "m", "version": "v1", "role": "mixed", "state": "ready",
        "fence": 1, "last_order": "", "running": running, "waiting": 0, "age_ms": age_ms,
    });
    serve(move |_, _, _, _| (200, report.clone()))
}

/// Guards against exit codes that let a script confuse one kind of failure with another.
#[test]
fn exit_code_of_each_outcome() {
    let fleet = Fleet::new();
    fleet.put_engine(&json!({ "admin": "withdrawn" }));
    fleet.write_catalogue(&CATALOGUE.replace("owner = office", "owner = nobody"));
    let cases: [(&[&str], i32, &str); 14] = [
        (&["--version"], 0, ""),
        (&["--help"], 0, ""),
        (&["withdraw", "--help"], 0, ""),
        (&["get", "engine/"], 0, ""),
        (&["get", "engine/none"], 1, "4105 "),
        (&["drain", "none"], 1, "4105 "),
        (&[], 2, "4101 "),
        (&["dry"], 2, "4101 "),
        (&["drain"], 2, "4101 "),
        (&["drain", "advisor-1", "--force"], 2, "4101 "),
        (&["replace", "a", "b"], 2, "4101 "),
        (&["check", "none.ini"], 2, "4001 "),
        (&["check", "catalogue.ini"], 4, "R1: [entry chat] owner: "),
        (&["undrain", "advisor-1"], 4, "4103 "),
    ];
    for (arguments, exit_code, text) in cases {
        let (_, err) = fleet.expect(arguments, exit_code);
        assert!(err.contains(text), "{arguments:?}: {err}");
    }
    fs::remove_file(fleet.directory.join("fleet.ini")).expect("the settings file");
    let (_, err) = fleet.expect(&["status"], 2);
    assert!(err.contains("4001 "), "{err}");
}

/// Guards against reporting an unreachable store as success or as a conflict.
#[test]
fn unreachable_store_fails() {
    let fleet = Fleet::new();
    let settings = fleet.directory.join("fleet.ini");
    let text = fs::read_to_string(&settings).expect("settings");
    let text = text.replace(&fleet.store.address.to_string(), &closed_port().to_string());
    fs::write(&settings, text).expect("settings");
    let (_, err) = fleet.expect(&["apply", "catalogue.ini"], 1);
    assert!(err.contains("4104 "), "{err}");
}

/// Guards against rewriting unchanged objects, and against losing the admin state and the recorded
/// order of an engine.
#[test]
fn apply_creates_then_changes_only_what_differs() {
    let fleet = Fleet::new();
    let (out, _) = fleet.expect(&["apply", "catalogue.ini"], 0);
    let kinds: Vec<&str> = out
        .lines()
        .filter_map(|l| l.split(['/', ' ']).nth(1))
        .collect();
    assert_eq!(
        kinds,
        ["owner", "service", "engine", "entry"],
        "referenced objects first: {out}"
    );
    assert!(
        out.lines().all(|line| line.starts_with("created ")),
        "{out}"
    );
    let intent = json!({
        "id": "i1", "epoch": 3, "sequence": 2, "confirmed": false,
        "spec": { "model": "m", "version": "v2", "role": "mixed" },
    });
    fleet.put_engine(&json!({ "admin": "draining", "intent": intent }));
    fleet.write_catalogue(&CATALOGUE.replace("zone = a", "zone = b"));
    let writes = fleet.store.writes();
    let (out, _) = fleet.expect(&["apply", "catalogue.ini"], 0);
    assert_eq!(out.matches("unchanged ").count(), 3, "{out}");
    assert!(out.contains("\nchanged engine/advisor-1 version "), "{out}");
    assert_eq!(fleet.store.writes(), writes + 1);
    let engine = fleet.store.value("engine/advisor-1");
    assert_eq!(engine["zone"], "b");
    assert_eq!(engine["admin"], "draining");
    assert_eq!(engine["intent"], intent);
}

/// Guards against applying part of a catalogue that violates a rule.
#[test]
fn apply_refuses_whole_file() {
    let fleet = Fleet::new();
    fleet.put_engine(&json!({ "admin": "withdrawn" }));
    let (out, err) = fleet.expect(&["apply", "catalogue.ini"], 4);
    assert!(
        err.contains("catalogue.ini: R9: [engine advisor-1]"),
        "{err}"
    );
    assert_eq!((out.as_str(), fleet.store.writes()), ("", 0));
}

/// Guards against silent overwrites, false conflicts and false success in each command that writes.
#[test]
fn write_under_each_fault() {
    let cases = [
        (Fault::LoseResponse, 0, ""),
        (Fault::Fail, 0, ""),
        (Fault::Race, 3, "4102 "),
        (Fault::LoseResponseThenRace, 3, "4102 "),
    ];
    let replace = [
        "replace",
        "advisor-1",
        "advisor-2",
        "--address",
        "127.0.0.1:8",
    ];
    let commands: [(&[&str], &str); 7] = [
        (&["apply", "catalogue.ini"], "engine/advisor-1"),
        (&["apply", "catalogue.ini"], "entry/chat"),
        (&["drain", "advisor-1"], "engine/advisor-1"),
        (&["undrain", "advisor-1"], "engine/advisor-1"),
        (&["withdraw", "advisor-1", "--force"], "engine/advisor-1"),
        (&replace, "engine/advisor-2"),
        (&replace, "engine/advisor-1"),
    ];
    for (fault, exit_code, text) in cases {
        for (arguments, key) in commands {
            let fleet = Fleet::new();
            if arguments[0] != "apply" {
                fleet.expect(&["apply", "catalogue.ini"], 0);
            }
            if arguments[0] == "undrain" {
                fleet.expect(&["drain", "advisor-1"], 0);
            }
            fleet.store.fault(key, fault);
            let (_, err) = fleet.expect(arguments, exit_code);
            assert!(err.contains(text), "{fault:?} {arguments:?}: {err}");
            let value = fleet.store.value(key);
            let raced = value["writer"] == "another operator";
            assert_eq!(raced, exit_code == 3, "{fault:?} {arguments:?}: {value}");
        }
    }
}

/// Guards against an interrupted or conflicting command that does not complete when it is run
/// again.
#[test]
fn repeat_completes() {
    let fleet = Fleet::new();
    for _ in 0..4 {
        fleet.store.fault("engine/advisor-1", Fault::Fail);
    }
    fleet.expect(&["apply", "catalogue.ini"], 1);
    let (out, _) = fleet.expect(&["apply", "catalogue.ini"], 0);
    assert!(out.starts_with("unchanged owner/office"), "{out}");
    assert!(out.contains("created engine/advisor-1"), "{out}");
    let replace = [
        "replace",
        "advisor-1",
        "advisor-2",
        "--address",
        "127.0.0.1:8",
        "--zone",
        "c",
    ];
    fleet.store.fault("engine/advisor-1", Fault::Race);
    fleet.expect(&replace, 3);
    fleet.put_engine(&json!({}));
    let (out, _) = fleet.expect(&replace, 0);
    assert!(out.starts_with("unchanged engine/advisor-2"), "{out}");
    assert_eq!(fleet.store.value("engine/advisor-1")["admin"], "draining");
    assert_eq!(fleet.store.value("engine/advisor-2")["admin"], "active");
    assert_eq!(fleet.store.value("engine/advisor-2")["zone"], "c");
}

/// Guards against withdrawing a backend that has running requests, or whose load is unknown.
#[test]
fn withdraw_only_without_work() {
    let hour_ms = 3_600_000;
    let cases = [
        (engine_with(0, 0), false, 0, "withdrawn"),
        (engine_with(2, 0), false, 1, "draining"),
        (engine_with(2, 0), true, 0, "withdrawn"),
        (engine_with(0, hour_ms), false, 1, "draining"),
        (closed_port(), true, 0, "withdrawn"),
    ];
    for (address, force, exit_code, admin) in cases {
        let fleet = Fleet::new();
        fleet.put_engine(&json!({ "address": address.to_string() }));
        let flags: &[&str] = if force { &["--force"] } else { &[] };
        let (_, err) = fleet.expect(&[&["withdraw", "advisor-1"], flags].concat(), exit_code);
        assert_eq!(err.contains("4106 "), exit_code == 1, "{err}");
        assert_eq!(fleet.store.value("engine/advisor-1")["admin"], admin);
    }
}

/// Guards against withdrawing a plain server that still has requests in flight from entry hosts, or
/// for which an entry host reports no counts.
#[test]
fn withdraw_server_asks_entry_hosts() {
    let cases = [
        (json!({ "in_flight": {} }), 0),
        (json!({ "in_flight": { "desk-1": 1 } }), 1),
        (json!({}), 1),
    ];
    for (state, exit_code) in cases {
        let host = serve(move |_, _, _, _| (200, state.clone()));
        let fleet = Fleet::with_hosts(&[host]);
        let server = json!({ "service": "desk", "address": "127.0.0.1:9", "zone": "a" });
        fleet.store.put("server/desk-1", &server);
        fleet.expect(&["withdraw", "desk-1"], exit_code);
    }
}

/// Guards against an accepted change that is not announced to entry hosts, and against a command
/// that fails because one host cannot be reached.
#[test]
fn accepted_change_is_announced_to_three_hosts() {
    let announced = Arc::new(Mutex::new(Vec::new()));
    let host = || {
        let announced = Arc::clone(&announced);
        serve(move |_, url, _, body| {
            let body: Value = serde_json::from_str(body).expect("a JSON body");
            announced.lock().unwrap().push((url.to_owned(), body));
            (200, json!({}))
        })
    };
    let fleet = Fleet::with_hosts(&[closed_port(), host(), host(), host(), host()]);
    fleet.put_engine(&json!({}));
    let (_, err) = fleet.expect(&["drain", "advisor-1"], 0);
    assert!(
        err.contains("announcing engine/advisor-1 to entry-0 failed"),
        "{err}"
    );
    let announced = announced.lock().unwrap();
    assert_eq!(announced.len(), 3);
    for (url, body) in announced.iter() {
        assert_eq!(url, "/v1/announce");
        assert_eq!(
            (&body["key"], &body["version"]),
            (&json!("engine/advisor-1"), &json!(2))
        );
        assert_eq!(body["value"], fleet.store.value("engine/advisor-1"));
    }
}

/// Guards against tables in which a backend or a host is missing, and against wrong diffs.
#[test]
fn views_show_fleet() {
    let explain = json!({ "request": "r1", "event": "routed" });
    let host = serve(move |_, url, _, _| match url {
        "/readyz" => (200, json!({})),
        "/v1/explain?request=r1" | "/v1/explain?request=R%26D%201" => (200, explain.clone()),
        _ => (404, json!({})),
    });
    let fleet = Fleet::with_hosts(&[host, closed_port()]);
    fleet.expect(&["apply", "catalogue.ini"], 0);
    fleet.put_engine(&json!({ "address": engine_with(2, 0).to_string(), "zone": "b" }));
    fleet.store.put(
        "server/old",
        &json!({ "service": "desk", "address": "127.0.0.1:1", "zone": "a" }),
    );
    let (out, _) = fleet.expect(&["status"], 0);
    let line = |start: &str| {
        let line = out
            .lines()
            .find(|line| line.starts_with(start))
            .expect(start);
        line.split_whitespace().collect::<Vec<_>>().join(" ")
    };
    assert_eq!(line("advisor-1"), "advisor-1 b mixed m v1 active 2+0 -");
    assert_eq!(line("old"), "old a - - - active - -");
    assert_eq!(line("entry-0"), "entry-0 a ready no answer");
    assert_eq!(line("entry-1"), "entry-1 a no answer no answer");
    let (out, _) = fleet.expect(&["diff", "catalogue.ini"], 0);
    assert!(
        out.contains("~ engine/advisor-1 zone: \"b\" -> \"a\"\n"),
        "{out}"
    );
    assert!(out.contains("= server/old is not in the file\n"), "{out}");
    let (out, _) = fleet.expect(&["explain", "r1"], 0);
    assert!(out.starts_with("entry-0 {"), "{out}");
    fleet.expect(&["explain", "r2"], 1);
    let (out, _) = fleet.expect(&["explain", "R&D 1"], 0);
    assert!(out.starts_with("entry-0 {"), "{out}");
    fleet.store.put("server/R&D 1?", &json!({ "zone": "a" }));
    let (out, _) = fleet.expect(&["get", "server/R&D 1?"], 0);
    assert!(out.contains(r#""key":"server/R&D 1?""#), "{out}");
}

/// Guards against a cost statement that omits the usage of a host or does not add up to the total
/// time of the fleet.
#[test]
fn costs_add_up_to_fleet_time() {
    let fleet = Fleet::new();
    fleet.expect(&["apply", "catalogue.ini"], 0);
    for (host, seconds) in [("entry-1-7", 60.0), ("entry-2-9", 30.0)] {
        let busy = json!({ "prefill_s": seconds, "decode_s": 0.0 });
        let usage = json!({ "pools": { "advisor": { "chat": busy } }, "writer": "1" });
        fleet.store.put(&format!("usage/1000/{host}"), &usage);
    }
    let (out, _) = fleet.expect(&["costs", "--hour", "1000", "--csv"], 0);
    let lines: Vec<&str> = out.lines().collect();
    let expected = [
        "pool,entry,owner,busy_s,changing_s,idle_s,total_s",
        "advisor,chat,office,90.000,0.000,3510.000,3600.000",
    ];
    assert_eq!(lines, expected);
    let (out, _) = fleet.expect(&["costs", "--hour", "1000"], 0);
    assert!(out.ends_with(" 3600.000\n"), "{out}");
    // The time of a pool without entries also counts.
    let spare = "\n[service spare]\nkind = model\nmodel = m2\nversion = v1\n[engine spare-1]\n\
                 service = spare\naddress = 127.0.0.1:10\nzone = a\nchecks_fence = yes\n";
    fleet.write_catalogue(&(CATALOGUE.to_owned() + spare));
    fleet.expect(&["apply", "catalogue.ini"], 0);
    let (out, _) = fleet.expect(&["costs", "--hour", "1000", "--csv"], 0);
    let mut lines: Vec<&str> = out.lines().collect();
    lines.sort_unstable();
    let unused = "spare,-,-,0.000,0.000,3600.000,3600.000";
    assert_eq!(lines, [expected[1], expected[0], unused]);
    let (out, _) = fleet.expect(&["costs", "--hour", "1000"], 0);
    assert!(out.ends_with(" 7200.000\n"), "{out}");
    fleet.expect(&["costs"], 0);
    fleet.expect(&["costs", "--hour", "9999999"], 2);
    fleet.expect(&["status", "--csv"], 2);
}

/// Guards against a command that ends between two writes because its standard output was closed.
#[test]
fn apply_completes_without_reader() {
    let fleet = Fleet::new();
    let mut command = fleet.command(&["apply", "catalogue.ini"]);
    let mut child = command.stdout(Stdio::piped()).spawn().expect("a process");
    drop(child.stdout.take());
    let status = child.wait().expect("an exit code");
    assert_eq!((status.code(), fleet.store.writes()), (Some(0), 4));
}

/// Runs `yuccactl explain` with no settings file, and returns its exit code, output and errors.
fn explain(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccactl"));
    let output = command.arg("explain").args(arguments).output();
    let output = output.expect("an output");
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), out, err)
}

/// The answer of a host with one engine that may be chosen, and one that may not.
fn explanation() -> Value {
    json!({
        "answered_by": "front-1", "zone": "a", "config_version": 3, "route": "ask",
        "kind": "stream", "service": "model", "weights": { "model": 1 }, "organisation": "north",
        "rank": 1, "left_ms": 3000, "target_ms": 300, "prompt_tokens": 100,
        "outcome": {
            "outcome": "held", "reason": "reserved", "standing": "fair", "expected_wait_ms": 40,
            "max_wait_ms": 1500,
        },
        "choice": {
            "backend": "gen-1", "prefill": null, "prefix_source": null,
            "forecast": {
                "first_token_ms": 12.5, "prefill_ms": 3.1, "prefill_queue_ms": 0.0,
                "decode_utilisation": 0.97, "urgent_target_ms": 250, "work_ms": 10.0,
            },
        },
        "candidate_count": 1,
        "candidates": [{
            "backend": "gen-1", "zone": "a", "score": 12.5, "failure_rate": 0.25,
            "is_avoided": false, "excluded_by": null, "own_requests": 2,
            "engine": {
                "phase": "decode", "one_stage_score": 12.5, "two_stage_score": null, "streams": 62,
                "slots": 64, "load_age_ms": 30, "kv_use": 0.5, "pending_ms": 0.0, "stall_ms": 0.0,
                "cached_tokens": 60, "prefill_speed": 1.0, "decode_speed": 0.9,
            },
        }],
        "excluded_by_rule": { "paused": 1 },
        "excluded": [{ "backend": "gen-2", "zone": "b", "rule": "paused" }],
    })
}

/// Guards against a question that is sent without what the operator gave, and against output without
/// the inputs, the excluded engine or the wait.
#[test]
fn explain_prints_answer() {
    let asked = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&asked);
    let host = serve(move |method, url, _, body| {
        let question: Value = serde_json::from_str(body).expect("JSON");
        let mut seen = seen.lock().expect("a lock");
        seen.push((format!("{method} {url}"), question));
        (200, explanation())
    });
    let at = host.to_string();
    let mut arguments = vec!["--at", &at, "--host", "shop.example", "--path", "/ask/1"];
    arguments.extend([
        "--organisation",
        "north",
        "--parts",
        "5c1e:60",
        "--tokens",
        "100",
    ]);
    arguments.extend([
        "--output-tokens",
        "20",
        "--rank",
        "1",
        "--deadline-ms",
        "3000",
    ]);
    arguments.extend(["--body-bytes", "400", "--request-id", "r1"]);
    let (code, out, err) = explain(&arguments);
    assert_eq!(code, Some(0), "{out}{err}");
    for text in [
        "host front-1, zone a, configuration 3: route ask, service model",
        "rank 1, 3000 ms left, target 300 ms, organisation north, prompt of 100 tokens",
        "held: reserved; waits about 40 ms, 1500 ms at most, standing fair",
        "62/64",
        "30ms",
        "excluded: paused 1",
        "gen-2",
    ] {
        assert!(out.contains(text), "{text} is not in\n{out}");
    }
    arguments.push("--json");
    let (code, out, _) = explain(&arguments);
    assert_eq!(code, Some(0));
    let printed: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(printed, explanation());
    let expected = json!({
        "host": "shop.example", "path": "/ask/1", "organisation": "north", "parts": "5c1e:60",
        "tokens": 100, "output_tokens": 20, "rank": 1, "deadline_ms": 3000, "body_bytes": 400,
        "request_id": "r1",
    });
    let expected = ("POST /v1/explain".to_owned(), expected);
    assert_eq!(*asked.lock().expect("a lock"), [expected.clone(), expected]);
}

/// Guards against exit codes that let a script confuse a host that is down with a wrong question, and
/// against a crash or a wait without end.
#[test]
fn explain_exit_code_of_each_failure() {
    let answers = [
        ("bad_question", 400, 2, "4101 "),
        ("no_configuration", 503, 6, "4108 "),
        ("unknown_route", 404, 7, "4109 "),
        ("unknown_organisation", 404, 8, "4110 "),
        ("too_many", 429, 9, "4111 "),
        ("other", 500, 5, "4107 "),
    ];
    for (error, status, exit_code, text) in answers {
        let problem = json!({ "error": error, "message": "the reason" });
        let host = serve(move |_, _, _, _| (status, problem.clone()));
        let (code, _, err) = explain(&["--at", &host.to_string(), "--route", "ask"]);
        assert_eq!(code, Some(exit_code), "{error}: {err}");
        assert!(err.contains(text), "{error}: {err}");
        assert!(
            error == "other" || err.contains("the reason"),
            "{error}: {err}"
        );
    }
    // A host of an older version responds to all paths.
    let old = serve(|_, _, _, _| (200, json!("")));
    let closed = closed_port();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let silent = listener.local_addr().expect("an address");
    for at in [old, closed, silent] {
        let (code, _, err) = explain(&["--at", &at.to_string(), "--route", "ask"]);
        assert_eq!(code, Some(5), "{err}");
        assert!(
            err.contains("4107 ") && err.contains(&at.to_string()),
            "{err}"
        );
    }
}

/// Guards against wrong input that is sent to a host, or taken for the other command `explain`.
#[test]
fn explain_bad_usage() {
    let cases: [(&[&str], &str); 14] = [
        (&[], "usage: "),
        (&["--route", "ask"], "--at is missing"),
        (&["--at", "front-1", "--route", "ask"], "--at front-1: "),
        (
            &["--at", "127.0.0.1:9"],
            "either --route, or --host and --path",
        ),
        (&["--at", "127.0.0.1:9", "--host", "a"], "either --route"),
        (
            &["--at", "127.0.0.1:9", "--route", "a", "--path", "/"],
            "either --route",
        ),
        (&["--at", "127.0.0.1:9", "--route", "a", "r1"], "usage: "),
        (&["--at", "127.0.0.1:9", "--route", "a", "--csv"], "usage: "),
        (
            &["--at", "127.0.0.1:9", "--route", "a", "--tokens", "-1"],
            "--tokens -1: ",
        ),
        (
            &["--at", "127.0.0.1:9", "--route", "a", "--rank", "256"],
            "--rank 256: ",
        ),
        (
            &["--at", "127.0.0.1:9", "--route", "a", "--parts", "x"],
            "part `x`: ",
        ),
        (
            &[
                "--at",
                "127.0.0.1:9",
                "--route",
                "a",
                "--parts",
                "5c:9",
                "--tokens",
                "8",
            ],
            "more than the 8 of the prompt",
        ),
        (&["--at", "127.0.0.1:9", "--route"], "missing argument"),
        (&["--colour"], "--colour"),
    ];
    for (arguments, text) in cases {
        let (code, _, err) = explain(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {err}");
        assert!(
            err.contains("4101 ") && err.contains(text),
            "{arguments:?}: {err}"
        );
    }
    let (code, out, _) = explain(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("explain REQUEST_ID\n"), "{out}");
    assert!(
        out.contains("usage: yuccactl explain --at ADDRESS"),
        "{out}"
    );
    let fleet = Fleet::new();
    let (_, err) = fleet.expect(&["status", "--tokens", "1"], 2);
    assert!(err.contains("--tokens is an option of explain"), "{err}");
}
