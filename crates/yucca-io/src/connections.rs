//! HTTP connections to backends, and a pool that reuses them.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::limited_reads::LimitedReads;
use crate::segmented_body::SegmentedBody;

/// Size of the read buffer, which is also the maximum size of a response's head. A backend that sends
/// informational responses without end fills the buffer up to 128 times before other tasks of the
/// thread run, so that it must be small.
const MAX_BUFFER_BYTES: usize = 32 * 1_024;
/// Maximum number of idle connections kept for each backend.
const MAX_IDLE_PER_BACKEND: usize = 64;
/// Time that sent data may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes before the kernel closes the connection. More than one, so that
/// occasional packet loss does not break a long response.
const KEEPALIVE_PROBES: u32 = 2;
/// As [`KEEPALIVE_PROBES`], for connections whose requests are cheap to repeat.
const QUICK_KEEPALIVE_PROBES: u32 = 1;
/// Maximum wait for an idle connection to become ready. A connection becomes ready shortly after
/// the last byte of its previous response was read.
const READY_TIMEOUT_MS: u64 = 20;

/// An open HTTP/1 connection. Dropping it closes it immediately, even if the peer is unresponsive.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<SegmentedBody>,
    driver: AbortHandle,
    address: SocketAddr,
    is_reused: bool,
}

impl Connection {
    /// Opens a connection to `address` within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// A description of the failure for log lines. No byte of a request was sent.
    pub async fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, String> {
        Self::open_with_probes(address, timeout_ms, KEEPALIVE_PROBES).await
    }

    async fn open_with_probes(
        address: SocketAddr,
        timeout_ms: u64,
        probes: u32,
    ) -> Result<Self, String> {
        let open = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            set_dead_peer_detection(&stream, probes).map_err(|e| e.to_string())?;
            let (sender, driver) = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(LimitedReads::new(stream)))
                .await
                .map_err(|e| e.to_string())?;
            let driver = tokio::spawn(async move {
                // A connection error is also reported to the request in progress.
                let _ = driver.await;
            })
            .abort_handle();
            Ok(Self {
                sender,
                driver,
                address,
                is_reused: false,
            })
        };
        match timeout(Duration::from_millis(timeout_ms), open).await {
            Ok(opened) => opened,
            Err(_) => Err(format!("no connection to {address} within {timeout_ms} ms")),
        }
    }

    /// Whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Any error of `hyper`. The request may have reached the backend.
    pub async fn send(
        &mut self,
        request: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// As [`Connection::send`], but the error tells whether any byte of the request was sent.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] if the request can be sent again safely, otherwise
    /// [`SendError::Sent`].
    pub async fn try_send(
        &mut self,
        request: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if is_unsent {
                    SendError::NotSent(error)
                } else {
                    SendError::Sent(error)
                })
            }
        }
    }
}

/// Whether a connection to `address` is refused within `timeout_ms`, because no process listens
/// there. A host that does not respond at all does not refuse.
pub async fn is_refused(address: SocketAddr, timeout_ms: u64) -> bool {
    let connecting = TcpStream::connect(address);
    match timeout(Duration::from_millis(timeout_ms), connecting).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// The connection was closed before any byte of the request was sent.
    NotSent(hyper::Error),
    /// The request may have reached the backend.
    Sent(hyper::Error),
}

/// Configures the kernel to close the connection if the peer disappears without closing it.
fn set_dead_peer_detection(stream: &TcpStream, probes: u32) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(probes),
    )
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

fn count(idle: &HashMap<SocketAddr, Vec<Idle>>) -> usize {
    idle.values().map(Vec::len).sum()
}

/// Pool of idle connections, by backend address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_timeout_ms: u64,
    idle_limit: Duration,
    probes: u32,
    max_idle: usize,
}

impl Pool {
    /// Creates an empty pool. Opening a connection times out after `connect_timeout_ms`; an idle
    /// connection is no longer used after `idle_ms`.
    pub fn new(connect_timeout_ms: u64, idle_ms: u64) -> Self {
        Self {
            idle: Mutex::default(),
            connect_timeout_ms,
            idle_limit: Duration::from_millis(idle_ms),
            probes: KEEPALIVE_PROBES,
            max_idle: usize::MAX,
        }
    }

    /// Limits the number of idle connections to all backends together.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Configures the pool to detect unresponsive connections within two seconds, at the risk of
    /// closing a healthy one after packet loss.
    pub fn with_quick_probes(mut self) -> Self {
        self.probes = QUICK_KEEPALIVE_PROBES;
        self
    }

    /// Returns an idle connection to `address`, or opens a new one.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, String> {
        self.get_recent(address, self.idle_limit).await
    }

    /// As [`Pool::get`], but reuses a connection only if it has been idle for less than
    /// `max_idle_time`. Meant for requests that must not be repeated, since the peer is more likely
    /// to close a connection that has been idle for longer.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn get_recent(
        &self,
        address: SocketAddr,
        max_idle_time: Duration,
    ) -> Result<Connection, String> {
        while let Some(mut connection) = self.take_idle(address, max_idle_time) {
            let ready = timeout(
                Duration::from_millis(READY_TIMEOUT_MS),
                connection.sender.ready(),
            )
            .await;
            if matches!(ready, Ok(Ok(()))) {
                connection.is_reused = true;
                return Ok(connection);
            }
        }
        self.open(address).await
    }

    /// Opens a new connection to `address`.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, String> {
        Connection::open_with_probes(address, self.connect_timeout_ms, self.probes).await
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn release(&self, connection: Connection) {
        self.release_with_idle_limit(connection, self.idle_limit);
    }

    /// As [`Pool::release`], for a connection that the peer keeps open for at most `limit`.
    pub fn release_with_idle_limit(&self, connection: Connection, limit: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if self.max_idle < usize::MAX && count(&idle) >= self.max_idle {
            for idle in idle.values_mut() {
                idle.retain(|i| i.since.elapsed() < i.limit);
            }
            if count(&idle) >= self.max_idle {
                return;
            }
        }
        let idle = idle.entry(connection.address).or_default();
        idle.retain(|i| i.since.elapsed() < i.limit);
        if idle.len() < MAX_IDLE_PER_BACKEND {
            idle.push(Idle {
                connection,
                since: Instant::now(),
                limit: limit.min(self.idle_limit),
            });
        }
    }

    /// Closes all idle connections to `address`. Called when one of them is found unresponsive,
    /// since the others are usually affected by the same cause.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Removes and returns the most recently used connection if it has been idle for less than
    /// `max_idle_time`.
    fn take_idle(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get_mut(&address)?;
        idle.retain(|i| i.since.elapsed() < i.limit);
        let is_recent = idle.last()?.since.elapsed() < max_idle_time;
        if is_recent {
            idle.pop().map(|i| i.connection)
        } else {
            None
        }
    }
}
