//! Several entry hosts together, with and without the object API.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{Fake, FakeStore, Running, Step, engine, plain, start, stream, until};
use serde_json::json;
use yucca_entry::operators;
use yucca_io::operators::OperatorsRequest;
use yuccacove::membership::ConnectivityState;

async fn hosts(fleet: &str, numbers: std::ops::RangeInclusive<usize>) -> Vec<Running> {
    let mut hosts = Vec::new();
    for i in numbers {
        let running = start(fleet, &format!("entry-{i}"), |_| {}).await;
        let host = Arc::clone(&running.host);
        until("joined host", || host.is_joined()).await;
        hosts.push(running);
    }
    hosts
}

/// An accepted change must reach all hosts, including one that starts later, even if the object API
/// fails right after the change.
#[tokio::test]
async fn change_spreads_without_store() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let fleet = store.fleet(4);
    let mut running = hosts(&fleet, 1..=3).await;
    until("three live members", || {
        running.iter().all(|r| r.host.peers.live().len() == 3)
    })
    .await;
    store.state.is_down.store(true, Ordering::SeqCst);
    until("detected store outage", || {
        running
            .iter()
            .all(|r| r.host.connectivity.is_store_unavailable())
    })
    .await;
    let value = json!({ "service": "llm", "address": llm.address, "zone": "z",
        "checks_fence": true, "admin": "draining" });
    let body = json!({ "key": "engine/e0", "version": 999, "value": value }).to_string();
    let announce = OperatorsRequest {
        is_post: true,
        path: "/v1/announce".to_owned(),
        query: String::new(),
        body,
    };
    assert_eq!(operators::handle(&running[0].host, &announce).status, 200);
    running.extend(hosts(&fleet, 4..=4).await);
    for host in &running {
        let version = || host.host.catalogue.snapshot().version("engine/e0");
        until("announced version", || version() == 999).await;
        assert_eq!(
            host.chat(true).await.problem(),
            (2007, "not_run".to_owned())
        );
    }
}

/// A host must keep serving while a peer responds, must refuse new work once neither the object API
/// nor a peer responds, and must recover by itself.
#[tokio::test]
async fn isolated_host_refuses_new_work() {
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let running = hosts(&store.fleet(2), 1..=2).await;
    let (first, second) = (&running[0], &running[1]);
    until("second live member", || first.host.peers.live().len() == 2).await;
    store.state.is_down.store(true, Ordering::SeqCst);
    until("detected store outage", || {
        first.host.connectivity.state() == ConnectivityState::StoreOutage
    })
    .await;
    assert_eq!(first.chat(true).await.status, 200);
    second.host.stop.request();
    until("exit of the peer", || second.task.is_finished()).await;
    until("isolation", || {
        first.host.connectivity.state() == ConnectivityState::Isolated
    })
    .await;
    let refused = first.chat(true).await;
    assert_eq!(refused.problem(), (2009, "not_run".to_owned()));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(first.host.not_ready(), Some("isolated"));
    store.state.is_down.store(false, Ordering::SeqCst);
    until("recovery", || {
        first.host.connectivity.state() == ConnectivityState::Normal
    })
    .await;
    assert_eq!(first.chat(true).await.status, 200);
}

/// A repeated order through another host must be refused while the first one runs, and must get the
/// outcome `unknown` once the first host is lost.
#[tokio::test]
async fn order_repeat_through_another_host() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let desk = Fake::spawn(move |_, call| {
        let mut steps = vec![Step::Hold(Arc::clone(&held))];
        steps.extend(plain(call, 201, "late"));
        steps
    })
    .await;
    let store = FakeStore::with_catalogue_and_target(&[], &[&desk], 60_000).await;
    let running = hosts(&store.fleet(2), 1..=2).await;
    let (first, second) = (Arc::new(&running[0]), &running[1]);
    let order = async { first.order("k", "a").await };
    let repeat = async {
        until("dispatch", || desk.count("POST", "/orders") == 1).await;
        let repeat = second.order("k", "a").await;
        assert_eq!(repeat.problem(), (3005, "unknown".to_owned()));
        may_end.store(true, Ordering::SeqCst);
    };
    let (reply, ()) = tokio::join!(order, repeat);
    assert_eq!(reply.body, "late");
    until("recorded end", || first.host.attempts.is_empty()).await;
    store.state.assign_claims_to_lost_host("entry-9");
    let unknown = second.order("k", "a").await;
    assert_eq!(unknown.problem(), (3003, "unknown".to_owned()));
    assert_eq!(desk.count("POST", "/orders"), 1);
}
