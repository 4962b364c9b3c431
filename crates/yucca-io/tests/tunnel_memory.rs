//! Checks that tunnels free their memory. The test has a program of its own, because it counts the allocations of the
//! whole process.

mod common;

use std::alloc::System;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use common::run_beside_host;
use http::Request;
use http_body_util::BodyExt;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tokio::time::sleep;
use yucca_io::connections::Connection;
use yucca_io::segmented_body::SegmentedBody;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Tunnels opened before the measurement, so that tables which are kept have grown by then.
const WARM_UP_TUNNELS: usize = 20;
const TUNNELS: isize = 200;
/// Bytes that may be left for each tunnel. The state of a single task is larger.
const MAX_LEFT_BYTES: isize = 64;

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
    run_beside_host(async |host| {
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
