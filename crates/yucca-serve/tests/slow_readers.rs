//! Tests of callers that read slowly or not at all, in virtual time.

mod common;

use std::future::poll_fn;
use std::pin::Pin;

use bytes::Bytes;
use common::{
    Chunk, FakeBackends, Step, generation, request, route, run_virtual, serving_host, wait_ms,
};
use http_body::Body;
use tokio::time::{Duration, Instant, timeout};
use yucca_serve::config::RouteKind;
use yucca_serve::host::Host;
use yucca_serve::memory::MemoryGuard;
use yucca_serve::reply::ReplyBody;
use yucca_serve::serve::serve;
use yuccacove::memory_budget::Purpose;

const STREAM: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
/// Size of a large event, and of a large chunk of a body.
const LARGE_BYTES: usize = 10_000;
/// Interval between the events of a stream that is read.
const EVENT_INTERVAL_MS: u64 = 10;

/// Sets the response of every plain server, or of the only decode engine, to its next call.
fn script(host: &Host<FakeBackends>, chunks: &[Chunk]) {
    for id in ["desk-1", "desk-2", "gen-1"] {
        host.backends
            .script(id, [Step::Respond(200, chunks.to_vec())]);
    }
}

fn event(id: usize, bytes: usize) -> &'static str {
    let text = format!("id: {id}\ndata: {}\n\n", "x".repeat(bytes));
    Box::leak(text.into_boxed_str())
}

/// Returns the next part of a body that is not empty.
async fn next(body: &mut ReplyBody) -> Option<Bytes> {
    loop {
        let frame = poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await?;
        let data = frame.expect("a complete body").into_data().expect("data");
        if !data.is_empty() {
            return Some(Bytes::from(data));
        }
    }
}

/// Reserves all memory that bodies may use.
fn reserve_all(host: &Host<FakeBackends>) -> Vec<MemoryGuard> {
    let purposes = [Purpose::Response, Purpose::Request];
    let guards = purposes.map(|purpose| {
        let mut guard = host.memory.guard(purpose);
        while guard.grow(16) {}
        guard
    });
    guards.into()
}

/// Guards against a caller that does not read its stream and delays the other streams of its host, or
/// fills the memory of the host.
#[test]
fn stream_unread_beside_others() {
    for event_bytes in [100, LARGE_BYTES, 400_000] {
        run_virtual(async {
            let host = serving_host(route(STREAM, 1));
            let listed = ["desk-1", "desk-2", "read-1", "gen-1"];
            host.directory
                .borrow_mut()
                .apply_full_listing(&listed, 2, host.now_ms());
            let many = (1..200).map(|id| Chunk::Bytes(0, event(id, event_bytes)));
            script(&host, &many.collect::<Vec<_>>());
            let unread = serve(&host, generation()).await;
            let few = (1..=50).map(|id| Chunk::Bytes(EVENT_INTERVAL_MS, event(id, 50)));
            script(&host, &few.collect::<Vec<_>>());
            let mut read = serve(&host, generation()).await;
            let mut last = Instant::now();
            for number in 0..50 {
                assert!(next(&mut read.body).await.is_some(), "event {number}");
                let gap_ms = last.elapsed().as_millis() as u64;
                assert!(gap_ms <= EVENT_INTERVAL_MS + 1, "{gap_ms} ms");
                last = Instant::now();
                let kept_bytes = host.memory.used_for(Purpose::Response);
                let max_bytes = 20 * 150 + 4 * event_bytes;
                assert!(kept_bytes <= max_bytes, "{kept_bytes} bytes");
            }
            assert!(next(&mut read.body).await.is_none());
            drop(unread);
            wait_ms(5).await;
            assert_eq!(host.memory.used_for(Purpose::Response), 0);
        });
    }
}

/// Guards against large chunks that are kept for slow callers although the memory is in use, and against
/// ordinary responses that wait for it.
#[test]
fn body_waits_for_memory() {
    run_virtual(async {
        let host = serving_host(route(RouteKind::Idempotent, 1));
        let chunks = [event(1, 100), event(2, LARGE_BYTES), event(3, LARGE_BYTES)];
        script(&host, &chunks.map(|text| Chunk::Bytes(0, text)));
        let reserved = reserve_all(&host);
        let mut reply = serve(&host, request()).await;
        let first = next(&mut reply.body).await.expect("a chunk");
        assert_eq!(first, chunks[0]);
        let waiting = timeout(Duration::from_millis(500), next(&mut reply.body)).await;
        assert!(waiting.is_err(), "a large chunk without memory");
        drop(reserved);
        for chunk in &chunks[1..] {
            assert_eq!(next(&mut reply.body).await.expect("a chunk"), chunk);
        }
        assert!(next(&mut reply.body).await.is_none());
        wait_ms(5).await;
        assert_eq!(host.memory.used_bytes(), 0);
    });
}

/// Guards against a body that waits for memory beyond the deadline of its request, or after its caller has
/// left.
#[test]
fn body_stops_waiting_for_memory() {
    for leaves_early in [true, false] {
        run_virtual(async {
            let host = serving_host(route(RouteKind::Idempotent, 1));
            let chunks = [event(1, 100), event(2, LARGE_BYTES), event(3, LARGE_BYTES)];
            script(&host, &chunks.map(|text| Chunk::Bytes(0, text)));
            let _reserved = reserve_all(&host);
            let mut reply = serve(&host, request()).await;
            assert!(next(&mut reply.body).await.is_some());
            if leaves_early {
                drop(reply);
                wait_ms(50).await;
            } else {
                let end = poll_fn(|context| Pin::new(&mut reply.body).poll_frame(context));
                let end = timeout(Duration::from_millis(4_100), end).await;
                assert!(end.expect("an end").is_some_and(|end| end.is_err()));
                wait_ms(5).await;
            }
            assert_eq!(host.backends.dropped_early.get(), 1, "{leaves_early}");
        });
    }
}
