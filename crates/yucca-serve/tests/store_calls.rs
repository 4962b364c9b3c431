//! Tests that the calls to the store are counted by operation, kind of objects and outcome.

mod common;

use std::rc::Rc;

use common::{FakeStore, Paging, StoreMode, run_virtual, wait_ms};
use serde_json::json;
use tokio::task::spawn_local;
use yucca_serve::metrics::Metrics;
use yucca_serve::ports::{Freshness, Kind, ObjectStore};
use yucca_serve::store_calls::CountedStore;

/// An operator must be able to tell from a host's metrics and log which of its calls cost most.
#[test]
fn store_calls_counted_by_outcome() {
    run_virtual(async {
        let store = FakeStore::new();
        let metrics = Metrics::default();
        let counted = CountedStore::new(Rc::clone(&store), Rc::clone(&metrics.store_calls));
        counted
            .list(Kind::BackEnds, Freshness::Latest)
            .await
            .expect("a listing");
        counted
            .list(Kind::BackEnds, Freshness::MayLag)
            .await
            .expect("a listing");
        let start = store.revision();
        counted
            .watch(Kind::Config, start, 10)
            .await
            .expect("no changes");
        store.put(Kind::Config, "main", Some(json!({ "version": 1 })));
        counted
            .watch(Kind::Config, start, 10)
            .await
            .expect("a change");
        store.set_mode(StoreMode::Refusing);
        let refused = counted.read(Kind::Leases, "lease", Freshness::MayLag).await;
        refused.expect_err("a refusal");
        store.set_mode(StoreMode::Unresponsive);
        let lost = counted.write(Kind::Hosts, "host.a", None, &json!({})).await;
        lost.expect_err("no response");
        let expected = "List/BackEnds/Done=1 LaggingList/BackEnds/Done=1 Watch/Config/Done=1 \
                        Watch/Config/Changed=1 LaggingRead/Leases/Refused=1 Write/Hosts/NoAnswer=1 ";
        assert_eq!(metrics.store_calls.take_unreported(), expected);
        assert_eq!(metrics.store_calls.take_unreported(), "");
        let line =
            "yucca_store_calls_total{operation=\"Watch\",kind=\"Config\",outcome=\"Changed\"} 1";
        assert!(metrics.text().contains(line), "{}", metrics.text());
    });
}

/// Guards against a listing whose pages cannot be told from the metrics, so that one that gets no further
/// looks like a single call.
#[test]
fn store_calls_pages_and_stalled_listings() {
    run_virtual(async {
        let store = FakeStore::new();
        for name in ["i-1", "i-2", "i-3"] {
            store.put(Kind::BackEnds, name, Some(json!({})));
        }
        let metrics = Metrics::default();
        let counted = CountedStore::new(Rc::clone(&store), Rc::clone(&metrics.store_calls));
        store.paging.set(Paging::Pages(1));
        let listing = counted.list(Kind::BackEnds, Freshness::Latest).await;
        assert_eq!(listing.expect("a listing").objects.len(), 3);
        assert_eq!(
            metrics.store_calls.take_unreported(),
            "List/BackEnds/Done=3 "
        );
        store.paging.set(Paging::FirstAgain(1));
        let stalled = counted.list(Kind::BackEnds, Freshness::MayLag).await;
        stalled.expect_err("a fault");
        assert_eq!(
            metrics.store_calls.take_unreported(),
            "LaggingList/BackEnds/Done=2 "
        );
        let line = "yucca_stalled_listings_total{kind=\"BackEnds\"} 1";
        assert!(metrics.text().contains(line), "{}", metrics.text());
    });
}

/// A watch that the host stops waiting for has had its price, so it must be counted too.
#[test]
fn store_calls_abandoned() {
    run_virtual(async {
        let store = FakeStore::new();
        let metrics = Metrics::default();
        let calls = Rc::clone(&metrics.store_calls);
        let watching = spawn_local(async move {
            let start = store.revision();
            let counted = CountedStore::new(store, calls);
            counted.watch(Kind::Hosts, start, 60_000).await
        });
        wait_ms(50).await;
        watching.abort();
        wait_ms(1).await;
        assert_eq!(
            metrics.store_calls.take_unreported(),
            "Watch/Hosts/Abandoned=1 "
        );
    });
}
