//! Charges of the fleet's time to entries, and the writes of their totals.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use common::{
    Call, Fake, FakeStore, Running, Step, chat_body, engine, plain, response, sse_head, stream,
    token, until,
};
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yuccacove::cost::{BusyTime, Charge, PoolTime, Statement, Usage};

const TOTAL: u64 = 5;
/// Words of the prompt in `chat_body`.
const PROMPT_TOKENS: f64 = 2.0;
/// Assumed rates of an engine of which nothing was measured yet.
const PREFILL_PER_S: f64 = 8_000.0;
const DECODE_PER_S: f64 = 700.0;
const INTERVAL_MS: u64 = 20;
/// Interval so long that no periodic write happens within a test.
const NEVER_MS: u64 = u64::MAX / 4;

/// Written totals by pool and entry, summed over all objects.
fn written(store: &FakeStore) -> BTreeMap<(String, String), BusyTime> {
    let mut sums = BTreeMap::<_, BusyTime>::new();
    for usage in usages(store) {
        for (pool, entries) in usage.pools {
            for (entry, busy) in entries {
                let sum = sums.entry((pool.clone(), entry)).or_default();
                sum.prefill_s += busy.prefill_s;
                sum.decode_s += busy.decode_s;
            }
        }
    }
    sums
}

/// The written objects as `yuccactl costs` reads them.
fn usages(store: &FakeStore) -> Vec<Usage> {
    let values = store.state.values("usage/");
    let read = |(_, value)| Usage::deserialize(&value).expect("a usage object");
    values.into_iter().map(read).collect()
}

fn writes(store: &FakeStore) -> usize {
    store.fake.count("PUT", "/v1/objects/usage/")
}

fn tokens(prefill: f64, decode: f64) -> BusyTime {
    BusyTime {
        prefill_s: prefill / PREFILL_PER_S,
        decode_s: decode / DECODE_PER_S,
    }
}

fn is_written(store: &FakeStore, pool: &str, entry: &str, busy: BusyTime) -> bool {
    let sums = written(store);
    let key = (pool.to_owned(), entry.to_owned());
    sums.len() == 1
        && sums.get(&key).is_some_and(|sum| {
            (sum.prefill_s - busy.prefill_s).abs() < 1e-9
                && (sum.decode_s - busy.decode_s).abs() < 1e-9
        })
}

async fn daemon(store: &FakeStore, interval_ms: u64) -> Running {
    let daemon = store.daemon_with("", |timing| timing.usage_write_ms = interval_ms);
    daemon.await
}

async fn stop(daemon: &Running) {
    daemon.host.stop.request();
    until("exit", || daemon.task.is_finished()).await;
}

/// Sends a chat request and disconnects at the first token.
async fn chat_and_leave(daemon: &Running) {
    let body = chat_body("ask", true);
    let mut caller = TcpStream::connect(daemon.address)
        .await
        .expect("a connection");
    let length = body.len();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    caller
        .write_all(request.as_bytes())
        .await
        .expect("a sent request");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("t0 ") {
        assert!(caller.read_buf(&mut seen).await.expect("a response") > 0);
    }
}

/// Guards against chats that are not charged because they were cancelled or failed, and against
/// retries and resumed attempts that are charged too much or not at all.
#[tokio::test]
async fn chat_is_charged_for_the_part_that_ran() {
    type Chat = fn(usize, &Call) -> Vec<Step>;
    let complete: Chat = |_, c| stream(c, TOTAL);
    let breaks: Chat = |_, c| match c.header("x-resume-from") {
        "" => vec![sse_head(), token(c, 0, 9), token(c, 1, 9), Step::Close],
        _ => stream(c, TOTAL),
    };
    let stalls: Chat = |_, c| vec![sse_head(), token(c, 0, 9), Step::Silence];
    let cases: [(&str, Vec<Chat>, bool, BusyTime); 5] = [
        ("served", vec![complete], false, tokens(PROMPT_TOKENS, 5.0)),
        ("cancelled", vec![stalls], true, tokens(PROMPT_TOKENS, 1.0)),
        // The second engine computes the prompt and the two tokens again.
        (
            "resumed elsewhere",
            vec![breaks, breaks],
            false,
            tokens(2.0 * PROMPT_TOKENS + 2.0, 5.0),
        ),
        (
            "failed after a token",
            vec![|n, c| {
                if n == 1 {
                    vec![sse_head(), token(c, 0, 9), Step::Close]
                } else {
                    vec![response(409, "", "{}")]
                }
            }],
            false,
            tokens(PROMPT_TOKENS, 1.0),
        ),
        // Without a first token, the time since the dispatch exceeds the expected prefill.
        (
            "silent, then another version",
            vec![|n, _| match n {
                1 => vec![Step::Silence],
                _ => vec![response(409, "", "{}")],
            }],
            false,
            tokens(PROMPT_TOKENS, 0.0),
        ),
    ];
    for (name, chats, leaves, expected) in cases {
        let mut engines = Vec::new();
        for chat in chats {
            engines.push(engine(chat).await);
        }
        let engines: Vec<&Fake> = engines.iter().collect();
        let store = FakeStore::with_catalogue(&engines, &[]).await;
        let daemon = daemon(&store, INTERVAL_MS).await;
        if leaves {
            chat_and_leave(&daemon).await;
        } else {
            daemon.chat(true).await;
        }
        let what = format!("charge of {expected:?}: {name}");
        until(&what, || is_written(&store, "llm", "ask", expected)).await;
    }
}

/// Guards against charges for attempts of which nothing ran.
#[tokio::test]
async fn attempt_that_did_not_run_is_not_charged() {
    let other_version = engine(|_, _| vec![response(409, "", "{}")]).await;
    let gone = engine(|_, _| vec![]).await;
    let gone_desk = Fake::spawn(|_, _| vec![]).await;
    gone.close().await;
    gone_desk.close().await;
    for (name, engine) in [("other version", &other_version), ("not connected", &gone)] {
        let store = FakeStore::with_catalogue(&[engine], &[&gone_desk]).await;
        let daemon = daemon(&store, NEVER_MS).await;
        assert_ne!(daemon.chat(false).await.status, 200, "{name}");
        assert_ne!(daemon.call("GET", "/stock", &[], "").await.status, 200);
        assert_ne!(daemon.order("k", "a").await.status, 200);
        let pools = daemon.host.usage.current().usage.pools;
        assert!(pools.is_empty(), "{name}: {pools:?}");
        stop(&daemon).await;
        assert_eq!(writes(&store), 0, "{name}");
    }
}

/// Guards against plain calls that are not charged, are charged to another entry, or are charged
/// for more time than they took.
#[tokio::test]
async fn plain_call_is_charged_its_server_seconds() {
    const WORK_MS: u64 = 30;
    let desk = Fake::spawn(|_, c| {
        let mut steps = vec![Step::Wait(WORK_MS)];
        if !(c.method == "GET" && c.target == "/stock/broken") {
            steps.extend(plain(c, 200, "ok"));
        }
        steps.push(Step::Close);
        steps
    })
    .await;
    let cases = [
        ("GET", "/stock", "stock"),
        ("POST", "/orders", "orders"),
        ("GET", "/stock/broken", "stock"),
    ];
    for (method, target, entry) in cases {
        let store = FakeStore::with_catalogue(&[], &[&desk]).await;
        let daemon = daemon(&store, NEVER_MS).await;
        let started = Instant::now();
        let headers = [("idempotency-key", "k")];
        daemon.call(method, target, &headers, "").await;
        let took_s = started.elapsed().as_secs_f64();
        stop(&daemon).await;
        let sums = written(&store);
        assert_eq!(sums.len(), 1, "{target}: {sums:?}");
        let busy = sums[&("desk".to_owned(), entry.to_owned())];
        let least_s = WORK_MS as f64 / 1_000.0;
        assert!(
            busy.prefill_s >= least_s && busy.prefill_s <= took_s,
            "{target}: {busy:?} of {took_s} s"
        );
        assert_eq!(busy.decode_s.to_bits(), 0.0_f64.to_bits(), "{target}");
    }
}

type Flag = fn(&FakeStore) -> &AtomicBool;

/// Guards against totals that are lost or doubled when the object API fails, and against more than
/// one write in an interval.
#[tokio::test]
async fn totals_are_written_once_due() {
    let faults: [(&str, Option<Flag>); 3] = [
        ("none", None),
        ("lost responses", Some(|store| &store.state.loses_responses)),
        ("outage", Some(|store| &store.state.is_down)),
    ];
    for (name, fault) in faults {
        let llm = engine(|_, c| stream(c, TOTAL)).await;
        let store = FakeStore::with_catalogue(&[&llm], &[]).await;
        let started = Instant::now();
        let daemon = daemon(&store, INTERVAL_MS).await;
        if let Some(flag) = fault {
            flag(&store).store(true, Ordering::SeqCst);
        }
        daemon.chat(true).await;
        if let Some(flag) = fault {
            // A write whose response was lost is recognised by the token in the value that is read
            // back.
            let reads = || store.fake.count("GET", "/v1/objects/usage/");
            until("read after a write", || reads() >= 1).await;
            flag(&store).store(false, Ordering::SeqCst);
        }
        let expected = tokens(PROMPT_TOKENS, 5.0);
        until(name, || is_written(&store, "llm", "ask", expected)).await;
        let max_writes = started.elapsed().as_millis() / u128::from(INTERVAL_MS) + 1;
        assert!(writes(&store) as u128 <= max_writes, "{name}: {max_writes}");
        // The stop has nothing left to write, which shows that one write per interval was enough
        // for all charges.
        let written_before = store.state.values("usage/");
        stop(&daemon).await;
        assert_eq!(store.state.values("usage/"), written_before, "{name}");
        // In a statement, the charges from the written totals add up to the pool's whole time.
        let pool = PoolTime {
            pool: "llm".to_owned(),
            fleet_s: 3_600.0,
            changing_s: 0.0,
        };
        let statement = Statement::new(&[pool], &usages(&store), |_| vec!["ask", "batch"]);
        let sum: f64 = statement.charges.iter().map(Charge::total_s).sum();
        assert!((sum - 3_600.0).abs() < 1e-6, "{name}: {sum}");
    }
}

/// Guards against a planned stop that loses the totals since the last write, and against a
/// restarted host that overwrites the object of its previous run.
#[tokio::test]
async fn planned_stop_writes_and_restart_uses_another_object() {
    let llm = engine(|_, c| stream(c, TOTAL)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let mut names = BTreeSet::new();
    for (runs, loses_responses) in [(1.0, false), (2.0, true)] {
        let daemon = daemon(&store, NEVER_MS).await;
        daemon.chat(true).await;
        assert_eq!(writes(&store), names.len());
        store
            .state
            .loses_responses
            .store(loses_responses, Ordering::SeqCst);
        stop(&daemon).await;
        let expected = tokens(runs * PROMPT_TOKENS, runs * 5.0);
        assert!(is_written(&store, "llm", "ask", expected), "run {runs}");
        names.insert(format!("entry-1-{}", daemon.host.incarnation));
        let keys = store.state.values("usage/").into_iter();
        let written = keys.map(|(key, _)| key.rsplit('/').next().unwrap().to_owned());
        assert_eq!(written.collect::<BTreeSet<_>>(), names);
        assert_eq!(writes(&store), names.len());
    }
}

/// Guards against a planned stop that ends before an attempt is charged whose caller has just
/// disconnected.
#[tokio::test]
async fn planned_stop_waits_for_charges() {
    let llm = engine(|_, c| vec![sse_head(), token(c, 0, TOTAL), Step::Silence]).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = daemon(&store, NEVER_MS).await;
    // The charge of an attempt that ends only during the stop.
    let open = daemon.host.usage.open_plain_charge("desk", "stock");
    chat_and_leave(&daemon).await;
    daemon.host.stop.request();
    until("write at the stop", || writes(&store) > 0).await;
    assert!(!daemon.task.is_finished());
    drop(open);
    until("exit", || daemon.task.is_finished()).await;
    let sums = written(&store);
    let charged = |pool: &str, entry: &str| sums[&(pool.to_owned(), entry.to_owned())];
    assert_eq!(charged("llm", "ask"), tokens(PROMPT_TOKENS, 1.0));
    assert!(charged("desk", "stock").prefill_s > 0.0);
}
