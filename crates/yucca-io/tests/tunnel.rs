//! Tests of connections to backends through another host, on loopback sockets.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use yucca_io::connections::{BackendFault, Connection, probe};
use yucca_io::segmented_body::SegmentedBody;
use yucca_io::tunnel::{Gate, TunnelFault, serve};

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst";
/// Longest wait of a test for what it expects.
const LIMIT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct OpenGate {
    refuses: Option<StatusCode>,
    open: Rc<Cell<usize>>,
}

struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gate for OpenGate {
    type Permit = Permit;

    fn admits(&self, from: IpAddr) -> bool {
        from.is_loopback()
    }

    fn permit(&self, _: SocketAddr) -> Result<Permit, StatusCode> {
        if let Some(status) = self.refuses {
            return Err(status);
        }
        self.open.set(self.open.get() + 1);
        Ok(Permit(Rc::clone(&self.open)))
    }

    fn record(&self, _: SocketAddr, _: Result<(), BackendFault>) {}
}

/// A host that takes tunnels, in a thread of its own.
struct HostBetween {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<usize>>,
}

impl HostBetween {
    fn spawn(refuses: Option<StatusCode>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("an option");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            let gate = OpenGate {
                refuses,
                open: Rc::default(),
            };
            let open = Rc::clone(&gate.open);
            LocalSet::new().block_on(&runtime, async move {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
                tokio::select! {
                    () = serve(listener, Rc::new(gate)) => {}
                    _ = stopped => {}
                }
            });
            open.get()
        });
        Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Ends the process of the host, as far as its connections show. Returns how many tunnels were open.
    fn stop(&mut self) -> usize {
        drop(self.stop.take());
        let thread = self.thread.take().expect("a running host");
        thread.join().expect("no panic")
    }
}

/// Starts a backend that handles one connection, after it has read the head of a request.
fn backend(handle: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
            head.push(byte[0]);
        }
        handle(stream);
    });
    address
}

/// Returns a socket that keeps its port and refuses connections, as it does not listen.
fn bound_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a port");
    socket
}

fn reset(stream: TcpStream) {
    let linger = Some(Duration::ZERO);
    SockRef::from(&stream)
        .set_linger(linger)
        .expect("an option");
    drop(stream);
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let limited = tokio::time::timeout(LIMIT, test).await;
        limited.expect("an end in time")
    })
}

fn request(body: Bytes) -> Request<SegmentedBody> {
    let request = Request::post("/x").header("host", "shop.example");
    request.body(SegmentedBody::from(body)).expect("a request")
}

/// Sends a request through a host. Returns the body, or the error that interrupted it.
async fn exchange(host: SocketAddr, backend: SocketAddr, body: Bytes) -> Result<Bytes, String> {
    let connection = Connection::open_through(host, backend).await;
    let mut connection = connection.expect("a tunnel");
    let response = connection.try_send(request(body)).await;
    let response = response.map_err(|error| format!("{error:?}"))?;
    let collected = response.into_body().collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| error.to_string())
}

/// Guards against bytes that are lost or change on the way, in either direction.
#[test]
fn tunnel_carries_large_bodies() {
    let mut host = HostBetween::spawn(None);
    let body: Vec<u8> = (0..1_000_000u32).map(|n| (n * 31 % 251) as u8).collect();
    let expected = body.clone();
    let address = backend(move |mut stream| {
        let mut received = vec![0; expected.len()];
        stream.read_exact(&mut received).expect("the whole body");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            received.len()
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream.write_all(&received).expect("sent");
        assert_eq!(received, expected);
    });
    let sent = Bytes::from(body);
    let received = run(exchange(host.address, address, sent.clone()));
    assert_eq!(received, Ok(sent));
    host.stop();
}

/// Guards against a response without a length that looks complete although the backend, or the host between, broke it
/// off, and against one that looks broken although it is complete.
#[test]
fn tunnel_tells_end_from_interruption() {
    let mut host = HostBetween::spawn(None);
    let address = backend(|mut stream| {
        stream.write_all(UNFRAMED.as_bytes()).expect("sent");
        stream.shutdown(Shutdown::Write).expect("closed");
        thread::sleep(Duration::from_millis(200));
    });
    let received = run(exchange(host.address, address, Bytes::new()));
    assert_eq!(received, Ok(Bytes::from("first")), "the end");
    let address = backend(|mut stream| {
        stream.write_all(UNFRAMED.as_bytes()).expect("sent");
        thread::sleep(Duration::from_millis(100));
        reset(stream);
    });
    let received = run(exchange(host.address, address, Bytes::new()));
    assert!(received.is_err(), "a reset: {received:?}");
    let (sent, is_sent) = mpsc::channel();
    let address = backend(move |mut stream| {
        stream.write_all(UNFRAMED.as_bytes()).expect("sent");
        sent.send(()).expect("a test");
        thread::sleep(LIMIT);
    });
    let through = host.address;
    let exchanged = thread::spawn(move || run(exchange(through, address, Bytes::new())));
    is_sent.recv().expect("a response");
    thread::sleep(Duration::from_millis(100));
    host.stop();
    let received = exchanged.join().expect("no panic");
    assert!(received.is_err(), "the host between ended: {received:?}");
}

/// Guards against a backend that works on after the caller has left, and against tunnels that are never given back.
#[test]
fn tunnel_closes_with_its_user() {
    let mut host = HostBetween::spawn(None);
    let (closed, is_closed) = mpsc::channel();
    let address = backend(move |mut stream| {
        stream.write_all(UNFRAMED.as_bytes()).expect("sent");
        stream.set_read_timeout(Some(LIMIT)).expect("an option");
        let read = stream.read(&mut [0]);
        closed.send(matches!(read, Ok(0) | Err(_))).expect("a test");
    });
    run(async {
        let connection = Connection::open_through(host.address, address).await;
        let mut connection = connection.expect("a tunnel");
        let response = connection.try_send(request(Bytes::new())).await;
        let mut body = response.expect("a head").into_body();
        body.frame().await.expect("a frame").expect("bytes");
        drop(body);
        drop(connection);
        tokio::time::sleep(Duration::from_millis(100)).await;
    });
    let is_closed = is_closed.recv_timeout(Duration::from_millis(400));
    assert_eq!(is_closed, Ok(true));
    assert_eq!(host.stop(), 0, "tunnels that are still open");
}

/// Guards against taking a refusal of the host between for one of the backend, or the reverse.
#[test]
fn tunnel_faults() {
    let bound = bound_socket();
    let closed = bound.local_addr().expect("an address");
    let closed = closed.as_socket().expect("an IP address");
    let mut host = HostBetween::spawn(None);
    let fault = run(probe(closed, Some(host.address), 400));
    assert_eq!(fault, Err(TunnelFault::Backend(BackendFault::Refused)));
    host.stop();
    let fault = run(probe(closed, Some(host.address), 400));
    assert!(matches!(fault, Err(TunnelFault::Host(_))), "{fault:?}");
    for status in [StatusCode::FORBIDDEN, StatusCode::SERVICE_UNAVAILABLE] {
        let mut host = HostBetween::spawn(Some(status));
        let fault = run(probe(closed, Some(host.address), 400));
        assert!(matches!(fault, Err(TunnelFault::Host(_))), "{fault:?}");
        host.stop();
    }
}

/// Guards against bytes of an outsider that end the task that takes tunnels.
#[test]
fn tunnel_foreign_bytes() {
    let mut host = HostBetween::spawn(None);
    for bytes in [
        "\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "POST /tunnel/x HTTP/1.1\r\nHost: a\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(host.address).expect("a connection");
        stream.write_all(bytes.as_bytes()).expect("sent");
        stream.set_read_timeout(Some(LIMIT)).expect("an option");
        // Any answer, or none, before the end of the connection.
        let _ = stream.read_to_end(&mut Vec::new());
    }
    let address = backend(|mut stream| {
        stream.write_all(UNFRAMED.as_bytes()).expect("sent");
    });
    let received = run(exchange(host.address, address, Bytes::new()));
    assert_eq!(received, Ok(Bytes::from("first")));
    host.stop();
}
