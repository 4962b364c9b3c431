//! Test of the memory that tunnels leave behind. It is alone in its program, because it counts that of the process.

use std::alloc::System;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::BodyExt;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use yucca_io::connections::{BackendFault, Connection};
use yucca_io::segmented_body::SegmentedBody;
use yucca_io::tunnel::{Gate, serve};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Tunnels before the count begins, so that tables and pools have their size.
const WARM_UP_TUNNELS: usize = 20;
const TUNNELS: isize = 200;
/// Bytes that may be left behind for each tunnel: the smallest state of a task is larger.
const MAX_LEFT_BYTES: isize = 64;

struct OpenGate;

impl Gate for OpenGate {
    type Permit = ();

    fn admits(&self, _: IpAddr) -> bool {
        true
    }

    fn permit(&self, _: SocketAddr) -> Result<(), StatusCode> {
        Ok(())
    }

    fn record(&self, _: SocketAddr, _: Result<(), BackendFault>) {}
}

/// Starts a backend that answers one request on each connection.
fn backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut head = [0; 1_024];
            let length = stream.read(&mut head).expect("a request");
            assert!(head[..length].ends_with(b"\r\n\r\n"));
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(answer).expect("an answer");
        }
    });
    address
}

async fn exchange(host: SocketAddr, backend: SocketAddr) {
    let connection = Connection::open_through(host, backend).await;
    let mut connection = connection.expect("a tunnel");
    let request = Request::get("/x").header("host", "shop.example");
    let request = request.body(SegmentedBody::default()).expect("a request");
    let response = connection.try_send(request).await.expect("a response");
    let body = response.into_body().collect().await.expect("a body");
    assert_eq!(body.to_bytes(), "ok");
}

/// Guards against a part of each tunnel that is never freed.
#[test]
fn tunnel_memory_is_freed() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let host = listener.local_addr().expect("an address");
        spawn_local(serve(listener, Rc::new(OpenGate)));
        let backend = backend();
        for _ in 0..WARM_UP_TUNNELS {
            exchange(host, backend).await;
        }
        sleep(Duration::from_millis(300)).await;
        let region = Region::new(ALLOCATOR);
        for _ in 0..TUNNELS {
            exchange(host, backend).await;
        }
        sleep(Duration::from_millis(300)).await;
        let change = region.change();
        let left = change.bytes_allocated.cast_signed() - change.bytes_deallocated.cast_signed();
        assert!(left < TUNNELS * MAX_LEFT_BYTES, "{left} bytes are left");
    });
}
