//! The callers' port.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use yucca_io::caller_connections::CallerConnection;
use yucca_io::caller_stream::{CallerStream, serve_until_closed};
use yuccacove::code::Code;
use yuccacove::connection_budget::{Shortage, Timeouts};
use yuccacove::memory_budget::Purpose;

use crate::dispatch;
use crate::head_memory::{HeadMemory, MAX_CALLER_READ_BYTES};
use crate::host::Host;
use crate::problem::Problem;

/// Size of a connection's read buffer as a multiple of the header size limit. The buffer exceeds
/// the limit so that oversized headers get a problem object instead of an empty 431 response.
const HEADER_BUFFER_FACTOR: usize = 4;
/// Smallest read buffer that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Pause after a failed `accept`, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 50;

/// The callers' port while it is open.
pub struct CallersPort {
    accept: JoinHandle<()>,
    closing: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
    address: SocketAddr,
}

impl CallersPort {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn bind(host: Arc<Host>, address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (closing, is_closing) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accept = tokio::spawn(accept(host, listener, is_closing, Arc::clone(&open)));
        Ok(Self {
            accept,
            closing,
            open,
            address,
        })
    }

    /// The address that the port listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Stops listening and waits until all connections are closed. Each connection closes after its
    /// request in flight.
    pub async fn close(&self) {
        self.accept.abort();
        self.closing.send_replace(true);
        while self.connections() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept(
    host: Arc<Host>,
    listener: TcpListener,
    is_closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => continue,
            Err(_) => {
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let Some(caller) = open_connection(&host).await else {
            refuse(&host, &stream);
            continue;
        };
        open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenConnection(Arc::clone(&open));
        let host = Arc::clone(&host);
        let is_closing = is_closing.clone();
        tokio::spawn(async move {
            serve(host, Arc::new(caller), stream, is_closing).await;
            drop(guard);
        });
    }
}

/// Opens a connection. Returns `None` if there is no room for it. At the maximum number of connections,
/// the one that makes least progress is closed, so that the next caller finds room.
async fn open_connection(host: &Host) -> Option<CallerConnection> {
    if host.connections.count() >= host.limits.max_connections {
        host.connections.relieve(Shortage::Descriptors);
        host.connections.closed().record_refused();
        return None;
    }
    host.connections.open().await
}

/// Closes the connections whose callers take too long, for as long as the process runs.
pub async fn check_connections(host: Arc<Host>) {
    let timeouts = Timeouts {
        head_ms: host.limits.header_timeout_ms,
        progress_ms: host.limits.progress_timeout_ms,
    };
    let connections = host.connections.clone();
    connections.check(|| timeouts, || ()).await;
}

/// Rejects a connection over the connection limit without reading from it.
fn refuse(host: &Host, stream: &TcpStream) {
    let problem = Problem::new(Code::Overloaded, "the host has no room for a connection");
    let body = problem.to_json(&host.next_request_id()).to_string();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\
         Retry-After: 1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // The send buffer of a new connection has room for these bytes. If the write fails, the caller
    // sees a closed connection.
    let _ = stream.try_write(response.as_bytes());
}

async fn serve(
    host: Arc<Host>,
    caller: Arc<CallerConnection>,
    stream: TcpStream,
    is_closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = host.limits;
    let buffer = host.memory.guard(Purpose::Connection);
    let mut head = HeadMemory::new(buffer);
    let on_received = move |caller: &CallerConnection, bytes| head.record_received(caller, bytes);
    let io = CallerStream::new(
        stream,
        Arc::clone(&caller),
        MAX_CALLER_READ_BYTES,
        on_received,
    );
    let service =
        service_fn(|request| dispatch::handle(Arc::clone(&host), Arc::clone(&caller), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size((limits.max_header_bytes * HEADER_BUFFER_FACTOR).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(io), service);
    serve_until_closed(connection, &caller, is_closing).await;
}
