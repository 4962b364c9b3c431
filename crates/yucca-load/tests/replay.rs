//! Replays against stand-ins for engines and services, which take the place of entry hosts.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{self, Command};
use std::time::Duration;

use indicatif::ProgressBar;
use serde_json::{Value, json};
use yucca_io::catalogue_file;
use yucca_load::check::{ChatStream, Outcome, OutcomeKind};
use yucca_load::monitor::EngineMonitor;
use yucca_load::prompt::prompt;
use yucca_load::replay::{Fleet, replay};
use yucca_load::summary::{DurationHistogram, Summary};
use yucca_load::trace::{self, Row};
use yucca_standins::answer::Answer;
use yucca_standins::engine::Engine;
use yucca_standins::engine_config::EngineConfig;
use yucca_standins::service::Service;
use yucca_standins::standin::{Standin, spawn_standin};
use yuccacove::catalogue::{EngineSpec, Entry, Role};

/// Address on which nothing listens: port 1 belongs to an obsolete service.
const CLOSED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const CATALOGUE: &str = "
[owner o]
organisation = x
[service advisor]
kind = model
model = chat
version = v1
[service desk]
kind = plain
[entry chat]
owner = o
service = advisor
class = chat
rank = urgent
first_token_ms = 60000
between_tokens_ms = 60000
deadline_ms = 60000
requests_per_s = 9
concurrent = 9
tokens_per_s = 9
[entry orders]
owner = o
service = desk
class = order
rank = standard
first_token_ms = 60000
between_tokens_ms = 0
deadline_ms = 60000
requests_per_s = 9
concurrent = 9
tokens_per_s = 0
path_prefix = /orders
methods = POST
[entry stock]
owner = o
service = desk
class = read
rank = standard
first_token_ms = 0
between_tokens_ms = 0
deadline_ms = 60000
requests_per_s = 9
concurrent = 9
tokens_per_s = 0
path_prefix = /stock
methods = GET
";

fn fleet(hosts: Vec<SocketAddr>) -> Fleet {
    Fleet::new(
        hosts,
        catalogue_file::parse("catalogue", CATALOGUE).expect("the catalogue is invalid"),
    )
}

fn spawn<S: Standin>(standin: std::sync::Arc<S>) -> SocketAddr {
    spawn_standin((Ipv4Addr::LOCALHOST, 0).into(), standin).expect("cannot start the stand-in")
}

/// Starts an engine whose model has the name of the catalogue entry, because requests reach it
/// directly. An entry host would replace the name of the entry by the name of the model.
fn engine(version: &str) -> SocketAddr {
    let spec = EngineSpec {
        model: "chat".into(),
        version: version.into(),
        role: Role::Mixed,
    };
    spawn(Engine::spawn(EngineConfig {
        decode_tokens_per_s: 1e5,
        ..EngineConfig::new("e", spec)
    }))
}

fn run_replay(fleet: &Fleet, lines: &[Value]) -> Summary {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let rows =
        trace::parse("trace", &text, &|entry| fleet.is_chat(entry)).expect("the trace is invalid");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let progress = ProgressBar::hidden();
    let replay = replay(fleet, &rows, &progress);
    runtime
        .expect("cannot create the runtime")
        .block_on(replay)
        .expect("the replay failed")
}

fn chat() -> Value {
    json!({"at_ms": 0, "entry": "chat", "prompt_tokens": 80, "output_tokens": 6, "prefix": "p"})
}

/// Guards against wrong or incomplete responses that are counted as on time.
#[test]
fn replay_counts_each_response_once() {
    let lose_answer = json!({"mode": "lose_answer", "count": 1});
    let service = spawn(Service::new("s1", Duration::ZERO));
    let losing = spawn(Service::new("s2", Duration::ZERO));
    let down = spawn(Service::new("s3", Duration::ZERO));
    ureq::post(format!("http://{losing}/faults"))
        .send_json(&lose_answer)
        .unwrap();
    ureq::post(format!("http://{down}/faults"))
        .send_json(json!({"mode": "down"}))
        .unwrap();
    let order = json!({"at_ms": 0, "entry": "orders"});
    let stock = json!({"at_ms": 0, "entry": "stock"});
    let cases = [
        (vec![engine("v1")], chat(), "on_time", 0),
        (vec![engine("v2")], chat(), "wrong", 0),
        (vec![CLOSED, engine("v1")], chat(), "on_time", 1),
        (vec![CLOSED], chat(), "failed", 1),
        (vec![service], chat(), "failed", 0),
        (vec![service], order.clone(), "on_time", 0),
        // The target of this entry is 0 ms.
        (vec![service], stock.clone(), "late", 0),
        (vec![losing], order, "unknown", 0),
        (vec![down], stock, "failed", 0),
    ];
    for (hosts, line, expected, passed_over) in cases {
        let summary = run_replay(&fleet(hosts), std::slice::from_ref(&line)).to_json();
        let entry = line["entry"].as_str().unwrap();
        for group in [&summary["all"], &summary["entries"][entry]] {
            assert_eq!(
                (&group["sent"], &group[expected]),
                (&json!(1), &json!(1)),
                "{line}: {summary:#}"
            );
        }
        assert_eq!(summary["hosts_passed_over"], passed_over, "{line}");
    }
}

/// Guards against responses that are counted as wrong because the engine changed to another model
/// version during the replay.
#[test]
fn replay_accepts_versions_that_engines_report() {
    let address = engine("v2");
    let mut fleet = fleet(vec![address]);
    fleet.engines.insert("e".to_owned(), address);
    assert_eq!(run_replay(&fleet, &[chat()]).to_json()["all"]["on_time"], 1);
}

/// Guards against a summary that omits repeated runs of a key or includes runs of an earlier
/// replay.
#[test]
fn replay_counts_runs_of_keys() {
    let address = spawn(Service::new("s1", Duration::ZERO));
    let mut fleet = fleet(vec![address]);
    fleet.servers.insert("s1".to_owned(), address);
    let order = |key: &str| json!({"at_ms": 0, "entry": "orders", "key": key});
    let keyed = run_replay(&fleet, &[order("a"), order("b"), order("b")]).keyed;
    assert_eq!(
        (keyed.keys, keyed.ran_once, keyed.ran_more, keyed.runs["b"]),
        (2, 1, 1, 2)
    );
    fleet.hosts = vec![CLOSED];
    let keyed = run_replay(
        &fleet,
        &[order("a"), json!({"at_ms": 0, "entry": "orders"})],
    )
    .keyed;
    assert_eq!((keyed.keys, keyed.not_run), (2, 2));
}

fn stream(gap_ms: &[u64]) -> ChatStream {
    let answer = Answer::new("chat", "v1", "p");
    let mut at = Duration::from_millis(100);
    let mut tokens = vec![(at, answer.chunk(0))];
    for (index, gap) in (1..).zip(gap_ms) {
        at += Duration::from_millis(*gap);
        tokens.push((at, answer.chunk(index)));
    }
    ChatStream {
        tokens,
        ids: ["id".to_owned()].into(),
        request_id: "id".to_owned(),
        finished: true,
        done: true,
        error: None,
    }
}

/// Guards against streams that are late, out of order, truncated or from another request but are
/// counted as on time.
#[test]
fn check_table() {
    let fleet = fleet(Vec::new());
    let entry = Entry {
        first_token_ms: 100,
        between_tokens_ms: 61,
        ..fleet.entries["chat"].clone()
    };
    let slow_start = Entry {
        first_token_ms: 99,
        ..entry.clone()
    };
    let gaps = |late: usize| [vec![62; late], vec![61; 20 - late]].concat();
    let changed = |change: fn(&mut ChatStream)| {
        let mut stream = stream(&gaps(0));
        change(&mut stream);
        stream
    };
    let cases = [
        (&entry, stream(&gaps(1)), OutcomeKind::OnTime),
        (&entry, stream(&gaps(2)), OutcomeKind::Late),
        (&slow_start, stream(&gaps(0)), OutcomeKind::Late),
        (&entry, changed(|s| s.tokens.swap(3, 4)), OutcomeKind::Wrong),
        (
            &entry,
            changed(|s| drop(s.tokens.remove(3))),
            OutcomeKind::Wrong,
        ),
        (
            &entry,
            changed(|s| drop(s.tokens.pop())),
            OutcomeKind::Wrong,
        ),
        (&entry, changed(|s| s.finished = false), OutcomeKind::Wrong),
        (
            &entry,
            changed(|s| s.request_id = "other".to_owned()),
            OutcomeKind::Wrong,
        ),
        (&entry, changed(|s| s.done = false), OutcomeKind::Cut),
        (
            &entry,
            changed(|s| (s.done, s.error) = (false, Some("{}".to_owned()))),
            OutcomeKind::Cut,
        ),
    ];
    for (index, (entry, stream, expected)) in cases.into_iter().enumerate() {
        let outcome = stream.check(entry, "p", 21, &fleet.versions);
        assert_eq!(outcome.kind, expected, "case {index}: {}", outcome.detail);
    }
    let problems = [
        (
            "chat",
            json!({"outcome": "not_run", "code": 2004}),
            OutcomeKind::Refused,
        ),
        ("chat", json!({"outcome": "ran"}), OutcomeKind::Failed),
        ("chat", json!({"outcome": "unknown"}), OutcomeKind::Unknown),
        ("chat", Value::Null, OutcomeKind::Failed),
        ("orders", Value::Null, OutcomeKind::Unknown),
    ];
    for (name, body, expected) in problems {
        let outcome = Outcome::of_problem(&fleet.entries[name], 503, body.to_string().as_bytes());
        assert_eq!(outcome.kind, expected, "{name} {body}");
    }
}

/// Guards against a histogram that clamps durations to its current range.
#[test]
fn histogram_keeps_large_values() {
    let mut summary = Summary::default();
    let mut histogram = DurationHistogram::default();
    for ms in 1..=100 {
        histogram.record(Duration::from_millis(ms));
    }
    summary.send_lag = histogram;
    let lag = &summary.to_json()["send_lag_ms"];
    for (quantile, ms) in [("p50", 50.0), ("p95", 95.0), ("p99", 99.0)] {
        let found = lag[quantile].as_f64().unwrap();
        assert!((found - ms).abs() < 0.1, "{quantile}: {found}");
    }
}

/// Guards against engine restarts that are counted as role changes.
#[test]
fn monitor_counts_new_orders_only() {
    let monitor = EngineMonitor::new(indexmap::IndexMap::new(), Vec::new());
    let reports = [
        ("", "mixed", 0, 0),
        ("i1", "prefill", 1, 1),
        ("i1", "prefill", 1, 1),
        // The engine restarts in its initial role and then reports the same order again.
        ("", "mixed", 1, 1),
        ("i1", "prefill", 1, 1),
        ("i2", "prefill", 2, 1),
    ];
    for (order, role, orders, roles) in reports {
        monitor.record_report("e", order, role, ("m".to_owned(), "v".to_owned()));
        let changes = monitor.changes();
        assert_eq!(
            (changes.orders, changes.roles),
            (orders, roles),
            "{order} {role}"
        );
    }
}

/// Guards against prompts or shared prefixes of the wrong size, and against shared prefixes that
/// contain words of a single row.
#[test]
fn prompt_shares_three_quarters() {
    let row = |prompt_tokens, prefix: Option<&str>| Row {
        at_ms: 0,
        entry: "chat".to_owned(),
        prompt_tokens,
        output_tokens: 1,
        prefix: prefix.map(str::to_owned),
        key: None,
    };
    let cases = [
        (Some("a b"), Some("a b"), 75),
        (Some("a"), Some("b"), 0),
        (None, None, 0),
    ];
    for (one, other, shared) in cases {
        let (one, other) = (prompt(&row(100, one), 1), prompt(&row(100, other), 2));
        assert_eq!(one.split(' ').count(), 100);
        let same = one
            .split(' ')
            .zip(other.split(' '))
            .take_while(|(a, b)| a == b);
        assert_eq!(same.count(), shared);
    }
}

/// Guards against invalid input that is partly replayed, or rejected without its line number.
#[test]
fn bad_input_exits_with_2() {
    // A separate directory, so that concurrent test runs do not share files.
    let dir =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bad-input-{}", process::id()));
    fs::create_dir_all(&dir).unwrap();
    let settings = "[fleet]\ncustomer = c\nregion = r\n[store]\naddress = 127.0.0.1:1\n[host h]\nzone = z\n\
                    callers = 127.0.0.1:2\noperators = 127.0.0.1:3\npeers = 127.0.0.1:4\ncontrol = 127.0.0.1:5\n";
    fs::write(dir.join("fleet.ini"), settings).unwrap();
    fs::write(dir.join("catalogue.ini"), CATALOGUE).unwrap();
    let valid_line = chat().to_string();
    let cases = [
        ("", "expected at least one request"),
        (
            "{\"at_ms\": 0, \"entry\": \"none\"}",
            "line 3: unknown entry \"none\"; the catalogue has chat, orders, stock",
        ),
        (
            "{\"at_ms\": 0, \"entry\": \"chat\"}",
            "line 3: a chat request needs prompt_tokens",
        ),
        (
            "{\"at_ms\": 0, \"entry\": \"stock\", \"speed\": 1}",
            "line 3: unknown field `speed`",
        ),
        ("{", "line 3: EOF while parsing"),
    ];
    for (line, text) in cases {
        let lines = if line.is_empty() {
            String::new()
        } else {
            format!("{valid_line}\n\n{line}\n")
        };
        fs::write(dir.join("trace.jsonl"), lines).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_yucca-load"))
            .current_dir(&dir)
            .args(["--settings", "fleet.ini", "--trace", "trace.jsonl"])
            .output()
            .unwrap();
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{line}: {error}");
        assert!(
            error.contains(text) && error.lines().count() == 1,
            "{line}: {error}"
        );
    }
    fs::remove_dir_all(&dir).unwrap();
}
