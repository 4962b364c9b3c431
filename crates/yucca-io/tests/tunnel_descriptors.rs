//! Checks that tunnels close their file descriptors. The test has a program of its own, because it counts those of the
//! whole process.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use common::run_beside_host;
use http::Request;
use socket2::SockRef;
use tokio::time::{sleep, timeout};
use yucca_io::connections::Connection;
use yucca_io::segmented_body::SegmentedBody;

const TUNNELS: usize = 20;
/// Longest wait for the end of a request.
const LIMIT: Duration = Duration::from_secs(5);

/// Starts a backend that resets each connection while the body of the request arrives.
fn resetting_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            stream.read_exact(&mut [0; 1_000]).expect("a part of it");
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream)
                .set_linger(linger)
                .expect("an option");
        }
    });
    address
}

fn open_descriptors() -> usize {
    let descriptors = std::fs::read_dir("/proc/self/fd").expect("a listing");
    descriptors.count()
}

/// Guards against descriptors that are kept for good when a backend resets while a request still arrives.
#[test]
fn tunnel_descriptors_after_resets() {
    run_beside_host(async |host| {
        let backend = resetting_backend();
        let before = open_descriptors();
        for _ in 0..TUNNELS {
            let connection = Connection::open_through(host, backend).await;
            let mut connection = connection.expect("a tunnel");
            let body = SegmentedBody::from(Bytes::from(vec![0; 4_000_000]));
            let request = Request::post("/x").header("host", "shop.example");
            let request = request.body(body).expect("a request");
            let sent = timeout(LIMIT, connection.try_send(request)).await;
            assert!(sent.expect("an end in time").is_err());
        }
        sleep(Duration::from_millis(300)).await;
        let after = open_descriptors();
        assert!(after <= before + 2, "{before} before, {after} after");
    });
}
