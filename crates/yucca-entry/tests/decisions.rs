//! Admission, preemption and requests that crash engines, end to end.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use common::{
    Call, Fake, FakeStore, Reply, Running, Step, done, engine, response, sse_head, status_of,
    stream, streamed_text, text, token, until,
};
use tokio::task::JoinHandle;
use yuccacove::slot_limit::START_ENGINE_SLOTS as ENGINE_SLOTS;

/// An engine that crashes on prompts with "poison" and restarts with another incarnation.
async fn crashing_engine() -> (Fake, Arc<AtomicU64>) {
    let crashes = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&crashes);
    let fake = Fake::spawn(move |_, call: &Call| match call.target.as_str() {
        "/v1/status" => status_of(0, 1 + count.load(Ordering::SeqCst)),
        "/v1/chat/completions" if call.body.contains("poison") => {
            count.fetch_add(1, Ordering::SeqCst);
            vec![Step::Close]
        }
        "/v1/chat/completions" => stream(call, 3),
        _ => vec![response(200, "", "{}")],
    })
    .await;
    (fake, crashes)
}

/// A request that crashes engines must crash at most two, even if its caller retries it, and must
/// not make other requests fail.
#[tokio::test]
async fn crashing_request_crashes_two_engines() {
    let engines = [
        crashing_engine().await,
        crashing_engine().await,
        crashing_engine().await,
        crashing_engine().await,
    ];
    let fakes: Vec<&Fake> = engines.iter().map(|(fake, _)| fake).collect();
    let store = FakeStore::with_catalogue(&fakes, &[]).await;
    let daemon = store.daemon("").await;
    let known = || (0..4).all(|i| daemon.host.fleet.incarnation(&format!("e{i}")).is_some());
    until("status of all engines", known).await;
    let crashes = || -> u64 { engines.iter().map(|(_, c)| c.load(Ordering::SeqCst)).sum() };
    let poison = common::chat_body("ask", true).replace("how long", "poison");
    for _ in 0..3 {
        let reply = daemon
            .call("POST", "/v1/chat/completions", &[], poison.clone())
            .await;
        assert_eq!(reply.problem().0, 2010, "{reply:?}");
        assert_eq!(crashes(), 2);
    }
    for _ in 0..8 {
        assert_eq!(streamed_text(&daemon.chat(true).await.body), text(3));
    }
}

/// Sends as many requests as the engine accepts and waits until it has received all of them.
async fn fill(daemon: &Arc<Running>, llm: &Fake, body: &str) -> Vec<JoinHandle<Reply>> {
    let call = |_| {
        let (daemon, body) = (Arc::clone(daemon), body.to_owned());
        tokio::spawn(async move { daemon.call("POST", "/v1/chat/completions", &[], body).await })
    };
    let running = (0..ENGINE_SLOTS).map(call).collect();
    until("full engine", || {
        llm.count("POST", "/v1/chat") == ENGINE_SLOTS
    })
    .await;
    running
}

/// Background requests that fill the engine must be preempted for an urgent request, and must still
/// be completed.
#[tokio::test]
async fn background_is_preempted_and_resumed() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let llm = engine(move |_, call| {
        if call.header("x-rank") == "0" || held.load(Ordering::SeqCst) {
            return stream(call, 3);
        }
        let mut steps = vec![sse_head(), token(call, 0, 3), Step::Hold(Arc::clone(&held))];
        steps.extend([token(call, 1, 3), token(call, 2, 3)]);
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
    let body = common::chat_body("batch", true).replace("\"max_tokens\":8", "\"max_tokens\":8000");
    let running = fill(&daemon, &llm, &body).await;
    assert_eq!(streamed_text(&daemon.chat(true).await.body), text(3));
    assert_eq!(llm.count("DELETE", "/v1/requests/"), 1);
    may_end.store(true, Ordering::SeqCst);
    for reply in running {
        let reply = reply.await.unwrap();
        assert_eq!(streamed_text(&reply.body), text(3), "{reply:?}");
    }
}

/// A request that cannot meet its target must be refused early, with the time after which to retry.
#[tokio::test]
async fn overload_is_refused_early() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let llm = engine(move |_, call| {
        let mut steps = vec![
            sse_head(),
            token(call, 0, 2),
            Step::Hold(Arc::clone(&held)),
            token(call, 1, 2),
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
    let body = common::chat_body("ask", true).replace("\"max_tokens\":8", "\"max_tokens\":8000");
    let running = fill(&daemon, &llm, &body).await;
    let refused = daemon
        .call("POST", "/v1/chat/completions", &[], body.clone())
        .await;
    assert_eq!(
        refused.problem(),
        (2005, "not_run".to_owned()),
        "{refused:?}"
    );
    assert!(refused.headers.contains_key("retry-after"));
    may_end.store(true, Ordering::SeqCst);
    for reply in running {
        assert_eq!(streamed_text(&reply.await.unwrap().body), text(2));
    }
    assert_eq!(llm.count("POST", "/v1/chat"), ENGINE_SLOTS);
}
