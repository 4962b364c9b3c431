//! The operators' port, catalogue changes, planned stops and ejection.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{
    Fake, FakeStore, Step, done, engine, plain, sse_head, stream, streamed_text, text, token, until,
};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use yucca_entry::operators;
use yucca_io::operators::{OperatorsRequest, Reply};

fn call_operators(host: &Arc<yucca_entry::host::Host>, target: &str, body: Option<Value>) -> Reply {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    operators::handle(
        host,
        &OperatorsRequest {
            is_post: body.is_some(),
            path: path.to_owned(),
            query: query.to_owned(),
            body: body.unwrap_or_default().to_string(),
        },
    )
}

/// Each decision and each end of a request must be explainable and counted.
#[tokio::test]
async fn operators_see_requests() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon("").await;
    let reply = daemon.chat(true).await;
    let id = reply.headers["x-request-id"].to_str().unwrap();
    daemon.call("GET", "/absent", &[], "").await;
    until("finished", || {
        call_operators(&daemon.host, &format!("/v1/explain?request={id}"), None)
            .body
            .contains("finished")
    })
    .await;
    let explained = call_operators(&daemon.host, &format!("/v1/explain?request={id}"), None);
    assert!(
        explained.body.contains(r#""backend":"e0""#),
        "{explained:?}"
    );
    assert!(explained.body.contains("score_ms"), "{explained:?}");
    assert_eq!(
        call_operators(&daemon.host, "/v1/explain?request=absent", None).status,
        404
    );
    let metrics = call_operators(&daemon.host, "/metrics", None).body;
    for line in [
        r#"requests_total{entry="ask",code="0"} 1"#,
        r#"requests_total{entry="-",code="1002"} 1"#,
        r#"first_token_seconds_count{rank="urgent"} 1"#,
        r#"between_tokens_seconds_count{rank="urgent"} 1"#,
        r#"in_flight{backend="engine/e0"} 0"#,
        "store_up 1",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
    assert_eq!(call_operators(&daemon.host, "/readyz", None).status, 200);
    let state: Value =
        serde_json::from_str(&call_operators(&daemon.host, "/v1/state", None).body).unwrap();
    assert_eq!(state["in_flight"]["e0"], 0);
    assert!(state["versions"]["engine/e0"].as_u64().unwrap() > 0);
}

/// A catalogue change must soon become active, whether it arrives by watch or by announcement, and
/// must never be reverted by a stale version.
#[tokio::test]
async fn catalogue_change_becomes_active_and_never_reverts() {
    let (first, second) = (
        engine(|_, c| stream(c, 2)).await,
        engine(|_, c| stream(c, 2)).await,
    );
    let store = FakeStore::with_catalogue(&[&first, &second], &[]).await;
    let daemon = store.daemon("").await;
    let drained = |fake: &Fake| {
        json!({ "service": "llm", "address": fake.address, "zone": "z",
        "checks_fence": true, "admin": "draining" })
    };
    let version = store.state.put("engine/e0", drained(&first));
    until("drain by watch", || {
        daemon.host.catalogue.snapshot().version("engine/e0") == version
    })
    .await;
    let announced =
        json!({ "key": "engine/e1", "version": version + 50, "value": drained(&second) });
    assert_eq!(
        call_operators(&daemon.host, "/v1/announce", Some(announced)).status,
        200
    );
    // A version below the announced one is what a stale read returns.
    let stale =
        json!({ "service": "llm", "address": second.address, "zone": "z", "checks_fence": true });
    let stale_version = store.state.put("engine/e1", stale);
    let marker = store.state.put("engine/marker", drained(&second));
    until("marker in the catalogue", || {
        daemon.host.catalogue.snapshot().version("engine/marker") == marker
    })
    .await;
    assert!(stale_version < version + 50);
    assert_eq!(
        daemon.host.catalogue.snapshot().version("engine/e1"),
        version + 50
    );
    assert_eq!(
        daemon.chat(true).await.problem(),
        (2007, "not_run".to_owned())
    );
    assert_eq!(
        call_operators(&daemon.host, "/v1/announce", Some(json!({ "key": 1 }))).status,
        400
    );
}

/// The host must serve during an outage of the object API and must catch up by itself after it.
#[tokio::test]
async fn chat_is_served_during_store_outage() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon("").await;
    store.state.is_down.store(true, Ordering::SeqCst);
    until("detected store outage", || {
        daemon.host.connectivity.is_store_unavailable()
    })
    .await;
    assert_eq!(daemon.chat(true).await.status, 200);
    let version = store.state.put("owner/o", json!({ "organisation": "y" }));
    store.state.expired_before.store(version, Ordering::SeqCst);
    store.state.remove("entry/stock");
    store.state.is_down.store(false, Ordering::SeqCst);
    until("recovery", || {
        !daemon.host.connectivity.is_store_unavailable()
    })
    .await;
    let snapshot = || daemon.host.catalogue.snapshot();
    until("changed owner", || snapshot().version("owner/o") == version).await;
    until("removal of the entry", || {
        snapshot().entry("stock").is_none()
    })
    .await;
}

/// A planned stop must truncate no response and must end once the last one is complete.
#[tokio::test]
async fn planned_stop_truncates_no_response() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let llm = engine(move |_, c| {
        let mut steps = vec![
            sse_head(),
            token(c, 0, 2),
            Step::Hold(Arc::clone(&held)),
            token(c, 1, 2),
        ];
        steps.extend(done());
        steps
    })
    .await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = Arc::new(
        store
            .daemon_with("", |timing| timing.chunk_ms = 60_000)
            .await,
    );
    let caller = Arc::clone(&daemon);
    let running = tokio::spawn(async move { caller.chat(true).await });
    until("dispatch", || llm.count("POST", "/v1/chat") == 1).await;
    assert_eq!(
        call_operators(&daemon.host, "/v1/stop", Some(json!({}))).status,
        202
    );
    assert_eq!(call_operators(&daemon.host, "/readyz", None).status, 503);
    let refused = async {
        while TcpStream::connect(daemon.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), refused)
        .await
        .unwrap();
    assert!(!daemon.task.is_finished());
    may_end.store(true, Ordering::SeqCst);
    assert_eq!(streamed_text(&running.await.unwrap().body), text(2));
    until("exit", || daemon.task.is_finished()).await;
}

/// A backend that keeps failing must get no requests while others can take them.
#[tokio::test]
async fn failing_backend_is_ejected() {
    let bad = Fake::spawn(|_, _| vec![Step::Close]).await;
    let good = Fake::spawn(|_, c| plain(c, 200, "stock")).await;
    let store = FakeStore::with_catalogue(&[], &[&bad, &good]).await;
    let daemon = store.daemon("").await;
    let mut fifth_failure_round = 0;
    for round in 0..200 {
        assert_eq!(daemon.call("GET", "/stock", &[], "").await.status, 200);
        if bad.count("GET", "/stock") >= 5 {
            fifth_failure_round = round;
            break;
        }
    }
    assert!(fifth_failure_round > 0);
    let key = "server/s0";
    let share = daemon
        .host
        .fleet
        .traffic_share(&daemon.host.catalogue.snapshot(), key);
    assert_eq!(share.to_bits(), 0.0_f64.to_bits());
}
