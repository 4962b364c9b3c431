//! Non-repeatable calls: at most one execution, and a correct outcome.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use common::{Call, Fake, FakeStore, Step, plain, response, until};

async fn desk() -> Fake {
    Fake::spawn(|_, call| plain(call, 201, "confirmed")).await
}

/// A repeated order must receive the first response and must not run, also through another host.
#[tokio::test]
async fn order_repeat_after_end_receives_stored_response() {
    let desk = desk().await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let (first, second) = (store.daemon("").await, store.daemon("").await);
    let reply = first.order("k1", "a").await;
    assert_eq!((reply.status, reply.body.as_str()), (201, "confirmed"));
    assert_eq!(desk.last("POST").header("idempotency-key"), "k1");
    // The result is recorded before the reply is sent, so it is kept even if the host is lost now.
    for host in [&first, &second] {
        let repeat = host.order("k1", "a").await;
        assert_eq!((repeat.status, repeat.body.as_str()), (201, "confirmed"));
    }
    let other = first.order("k1", "b").await;
    assert_eq!(other.problem(), (1006, "not_run".to_owned()));
    assert_eq!(desk.count("POST", "/orders"), 1);
}

/// A repeated order during the first execution must not run, and must not get the outcome
/// `not_run`.
#[tokio::test]
async fn order_repeat_while_running_gets_unknown() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let slow = Fake::spawn(move |_, call| {
        let mut steps = vec![Step::Hold(Arc::clone(&held))];
        steps.extend(plain(call, 201, "late"));
        steps
    })
    .await;
    let store = FakeStore::with_catalogue_and_target(&[], &[&slow], 60_000).await;
    let daemon = Arc::new(store.daemon("").await);
    let first = Arc::clone(&daemon);
    let first = tokio::spawn(async move { first.order("k", "a").await });
    until("dispatch", || slow.count("POST", "/orders") == 1).await;
    let repeat = daemon.order("k", "a").await;
    assert_eq!(repeat.problem(), (3005, "unknown".to_owned()));
    assert!(repeat.headers.contains_key("retry-after"));
    may_end.store(true, Ordering::SeqCst);
    assert_eq!(first.await.unwrap().body, "late");
    assert_eq!(slow.count("POST", "/orders"), 1);
}

/// Each fault of a server after the dispatch must give the outcome `unknown`, and the order must
/// never run a second time.
#[tokio::test]
async fn order_outcome_after_server_fault() {
    type Fault = fn(&Call) -> Vec<Step>;
    let faults: [(&str, Fault); 5] = [
        ("closed", |_| vec![Step::Close]),
        ("silent", |_| vec![Step::Silence]),
        ("crossed", |_| {
            vec![response(201, "X-Request-Id: other\r\n", "other")]
        }),
        ("impossible status", |c| {
            let id = format!("X-Request-Id: {}\r\n", c.header("x-request-id"));
            vec![response(600, &id, "odd")]
        }),
        ("truncated", |c| {
            let id = c.header("x-request-id");
            let head =
                format!("HTTP/1.1 201 X\r\nX-Request-Id: {id}\r\nContent-Length: 9\r\n\r\nhal");
            vec![Step::Send(head), Step::Close]
        }),
    ];
    for (name, fault) in faults {
        // The target for the response is 200 ms and its slack 100 ms.
        let servers = [
            Fake::spawn(move |_, c| fault(c)).await,
            Fake::spawn(move |_, c| fault(c)).await,
        ];
        let store = FakeStore::with_catalogue(&[], &[&servers[0], &servers[1]]).await;
        let daemon = store.daemon("").await;
        for _ in 0..2 {
            let reply = daemon.order("k", "a").await;
            assert_eq!(reply.problem(), (3003, "unknown".to_owned()), "{name}");
            until("recorded end", || daemon.host.attempts.is_empty()).await;
        }
        let runs: usize = servers.iter().map(|s| s.count("POST", "/")).sum();
        assert_eq!(runs, 1, "{name}");
    }
}

/// An order may be refused as `not_run` only if no request with its key can have run or can run
/// later; without a readable claim this is unknown.
#[tokio::test]
async fn order_refused_without_claim() {
    let desk = desk().await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let daemon = store.daemon("").await;
    let no_key = daemon.call("POST", "/orders", &[], "a").await;
    assert_eq!(no_key.problem(), (1004, "not_run".to_owned()));
    let old = daemon.order("t1000-x", "a").await;
    assert_eq!(old.problem(), (1007, "unknown".to_owned()));
    store.state.is_down.store(true, Ordering::SeqCst);
    let down = daemon.order("k", "a").await;
    assert_eq!(down.problem(), (2006, "unknown".to_owned()));
    assert!(down.headers.contains_key("retry-after"));
    store.state.is_down.store(false, Ordering::SeqCst);
    store.state.loses_responses.store(true, Ordering::SeqCst);
    let lost = daemon.order("k", "a").await;
    assert_eq!(lost.problem(), (2006, "unknown".to_owned()));
    assert_eq!(desk.count("POST", "/orders"), 0);
    store.state.loses_responses.store(false, Ordering::SeqCst);
    until("released claim", || daemon.host.attempts.is_empty()).await;
    assert_eq!(daemon.order("k", "a").await.status, 201);
    assert_eq!(desk.count("POST", "/orders"), 1);
}

/// A server that refuses connections must not use up the order's only execution.
#[tokio::test]
async fn order_is_retried_while_nothing_was_sent() {
    let (gone, desk) = (desk().await, desk().await);
    let store = FakeStore::with_catalogue(&[], &[&gone, &desk]).await;
    gone.close().await;
    let daemon = store.daemon("").await;
    for i in 0..8 {
        assert_eq!(daemon.order(&format!("k{i}"), "a").await.status, 201);
    }
    let none = FakeStore::with_catalogue(&[], &[&gone]).await;
    let none = none.daemon("").await;
    assert_eq!(
        none.order("k", "a").await.problem(),
        (2012, "not_run".to_owned())
    );
}
