//! Tests of reading the bodies of callers' requests, in virtual time.

mod common;

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use common::{run_virtual, wait_ms};
use http_body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use yucca_serve::caller_body::{CallerBody, read};
use yucca_serve::connections::{CallerConnection, Connections};
use yucca_serve::memory::Memory;
use yuccacove::code::Code;

/// Memory of the process; bodies of requests may use 7/16 of it.
const PROCESS_BYTES: usize = 16_000;
const MAX_BODY_BYTES: usize = 4_000;

/// A body whose chunks come through a channel.
struct Chunks(mpsc::UnboundedReceiver<usize>);

impl Body for Chunks {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let chunk = self.0.poll_recv(context);
        chunk.map(|chunk| chunk.map(|length| Ok(Frame::data(Bytes::from(vec![b'x'; length])))))
    }
}

fn body(chunks: &[usize]) -> Chunks {
    let (sender, receiver) = mpsc::unbounded_channel();
    for chunk in chunks {
        sender.send(*chunk).expect("an open channel");
    }
    Chunks(receiver)
}

async fn read_whole(
    memory: &Memory,
    chunks: &[usize],
    declared: Option<usize>,
) -> Result<CallerBody, Code> {
    let caller = caller().await;
    read(body(chunks), declared, MAX_BODY_BYTES, memory, &caller).await
}

/// Returns a connection with memory of its own.
async fn caller() -> CallerConnection {
    let connections = Connections::new(10, Memory::new(1_000_000));
    connections.open().await.expect("a connection")
}

/// Guards against bodies that exceed the memory of a host together, although each of them is within its
/// limit: many users come at once.
#[test]
fn read_bodies_within_memory() {
    run_virtual(async {
        let memory = Memory::new(PROCESS_BYTES);
        let mut kept = Vec::new();
        for declared in [Some(2_000), None, Some(2_000)] {
            let body = read_whole(&memory, &[1_000, 1_000], declared)
                .await
                .expect("a body");
            assert_eq!(body.len(), 2_000);
            kept.push(body);
        }
        assert_eq!(memory.used_bytes(), 6_000);
        for declared in [Some(2_000), None] {
            let refused = read_whole(&memory, &[1_000, 1_000], declared).await;
            assert_eq!(refused.err(), Some(Code::Overloaded), "{declared:?}");
            assert_eq!(memory.used_bytes(), 6_000, "{declared:?}");
        }
        let copy = kept[0].clone();
        kept.clear();
        assert_eq!(memory.used_bytes(), 2_000);
        drop(copy);
        assert_eq!(memory.used_bytes(), 0);
        read_whole(&memory, &[1_000, 1_000], None)
            .await
            .expect("a body");
    });
}

/// Guards against a limit of one body that is not applied, and against memory that is not returned.
#[test]
fn read_too_large_body() {
    run_virtual(async {
        let memory = Memory::new(PROCESS_BYTES);
        for (chunks, declared) in [(vec![3_000, 1_001], None), (vec![], Some(4_001))] {
            let refused = read_whole(&memory, &chunks, declared).await;
            assert_eq!(refused.err(), Some(Code::BodyTooLarge), "{declared:?}");
            assert_eq!(memory.used_bytes(), 0);
        }
    });
}

/// Guards against a caller that is refused and sends no more: it must not occupy the host.
#[test]
fn read_refused_body_stalls() {
    run_virtual(async {
        let memory = Memory::new(PROCESS_BYTES);
        let _kept = [
            read_whole(&memory, &[3_500], None).await,
            read_whole(&memory, &[3_500], None).await,
        ];
        let (sender, receiver) = mpsc::unbounded_channel();
        sender.send(100).expect("an open channel");
        let caller = caller().await;
        let stalled = spawn_local(async move {
            read(
                Chunks(receiver),
                Some(200),
                MAX_BODY_BYTES,
                &memory,
                &caller,
            )
            .await
        });
        wait_ms(2_000).await;
        assert!(stalled.is_finished());
        let refused = stalled.await.expect("a result");
        assert_eq!(refused.err(), Some(Code::Overloaded));
        drop(sender);
    });
}
