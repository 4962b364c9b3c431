//! Test of the descriptors that tunnels use. It is alone in its program, because it counts those of the process.

use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use socket2::SockRef;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use yucca_io::connections::{BackendFault, Connection};
use yucca_io::segmented_body::SegmentedBody;
use yucca_io::tunnel::{Gate, serve};

const TUNNELS: usize = 20;
/// Longest wait for the end of a request.
const LIMIT: Duration = Duration::from_secs(5);

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
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let host = listener.local_addr().expect("an address");
        spawn_local(serve(listener, Rc::new(OpenGate)));
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
