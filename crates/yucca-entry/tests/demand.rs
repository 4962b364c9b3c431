//! Demand that the role planner reads on the operators' port.

mod common;

use common::{Call, FakeStore, engine, stream, until};
use serde_json::Value;
use yucca_entry::operators;
use yucca_io::operators::OperatorsRequest;

/// Guards against demand that counts only served requests: refused ones are demand too, and the
/// totals must never decrease.
#[tokio::test]
async fn demand_counts_refused_requests() {
    let llm = engine(|_, call: &Call| stream(call, 3)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[]).await;
    let daemon = store.daemon("").await;
    let totals = || -> (f64, f64) {
        let request = OperatorsRequest {
            is_post: false,
            path: "/v1/demand".to_owned(),
            query: String::new(),
            body: String::new(),
        };
        let reply = operators::handle(&daemon.host, &request);
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        let service = &body["services"]["llm"];
        let total = |name: &str| service[name].as_f64().unwrap_or(0.0);
        (total("prefill_s"), total("decode_s"))
    };
    assert_eq!(totals(), (0.0, 0.0));
    assert_eq!(daemon.chat(true).await.status, 200);
    let served = totals();
    assert!(served.0 > 0.0 && served.1 > 0.0, "{served:?}");

    store.state.remove("engine/e0");
    let has_no_engine = || {
        daemon
            .host
            .fleet
            .serving_backends(&daemon.host.catalogue.snapshot(), "llm")
            == 0
    };
    store
        .state
        .expired_before
        .store(u64::MAX, std::sync::atomic::Ordering::SeqCst);
    until("a fleet without engines", has_no_engine).await;
    assert_eq!(daemon.chat(true).await.problem().1, "not_run");
    let refused = totals();
    assert!(refused.0 > served.0 && refused.1 > served.1, "{refused:?}");
}
