//! HTTP connections to backends, and a pool that reuses them.

use std::collections::HashMap;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::limited_reads::LimitedReads;
use crate::segmented_body::SegmentedBody;
use crate::tunnel::{Tunnel, TunnelFault};

/// Size of the read buffer, which is also the maximum size of a response's head. A backend that sends
/// informational responses without end fills the buffer up to 128 times before other tasks of the
/// thread run, so that it must be small.
const MAX_BUFFER_BYTES: usize = 32 * 1_024;
/// Maximum number of idle connections kept for each backend.
const MAX_IDLE_PER_BACKEND: usize = 64;
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
    /// Whether it leads through another host. It is not reused then.
    is_tunnel: bool,
}

impl Connection {
    /// Opens a connection to `address` within `timeout_ms`.
    ///
    /// # Errors
    ///
    /// If it cannot be opened. No byte of a request was sent.
    pub async fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, BackendFault> {
        Self::open_with_probes(address, timeout_ms, KEEPALIVE_PROBES).await
    }

    /// Opens a connection to `address` through the host at `host`.
    ///
    /// # Errors
    ///
    /// As for [`Tunnel::open`].
    pub async fn open_through(host: SocketAddr, address: SocketAddr) -> Result<Self, TunnelFault> {
        let tunnel = Tunnel::open(host, address).await?;
        let connection = Self::handshake(tunnel, address).await;
        let mut connection = connection.map_err(|cause| TunnelFault::Host(cause.to_string()))?;
        connection.is_tunnel = true;
        Ok(connection)
    }

    async fn open_with_probes(
        address: SocketAddr,
        timeout_ms: u64,
        probes: u32,
    ) -> Result<Self, BackendFault> {
        let stream = connect(address, timeout_ms).await?;
        set_dead_peer_detection(&stream, probes).map_err(|_| BackendFault::Refused)?;
        let connection = Self::handshake(stream, address).await;
        connection.map_err(|_| BackendFault::Refused)
    }

    async fn handshake(
        io: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        address: SocketAddr,
    ) -> Result<Self, hyper::Error> {
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(LimitedReads::new(io)))
            .await?;
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
            is_tunnel: false,
        })
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

/// Why no connection to a backend could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFault {
    /// It was refused or reset: no process listens there, or the network says that there is no path.
    Refused,
    /// Nothing answered in time.
    Silent,
}

impl fmt::Display for BackendFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "connection refused",
            Self::Silent => "no connection in time",
        })
    }
}

/// Opens a TCP connection to `address` within `timeout_ms`.
///
/// # Errors
///
/// If it cannot be opened.
pub async fn connect(address: SocketAddr, timeout_ms: u64) -> Result<TcpStream, BackendFault> {
    let connecting = TcpStream::connect(address);
    match timeout(Duration::from_millis(timeout_ms), connecting).await {
        Ok(Ok(stream)) => prepare(&stream)
            .map(|()| stream)
            .map_err(|_| BackendFault::Refused),
        Ok(Err(error)) if error.kind() == ErrorKind::TimedOut => Err(BackendFault::Silent),
        Ok(Err(_)) => Err(BackendFault::Refused),
        Err(_) => Err(BackendFault::Silent),
    }
}

/// Configures a connection between two processes: no delay of small writes, and an end if the other one
/// disappears without closing it.
pub(crate) fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    set_dead_peer_detection(stream, KEEPALIVE_PROBES)
}

/// Tries to connect to `address`, through the host at `via` if there is one.
///
/// # Errors
///
/// Why it failed. A host between that does not take the connection tells nothing of the backend.
pub async fn probe(
    address: SocketAddr,
    via: Option<SocketAddr>,
    timeout_ms: u64,
) -> Result<(), TunnelFault> {
    match via {
        Some(host) => Tunnel::open(host, address).await.map(|_| ()),
        None => {
            let connected = connect(address, timeout_ms).await;
            connected.map(|_| ()).map_err(TunnelFault::Backend)
        }
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
    // Without it sent data may stay unacknowledged for minutes. It also ends the wait for answers to probes, whatever
    // their number, so that it must not be shorter than that.
    let user_timeout = KEEPALIVE_INTERVAL * (1 + probes);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
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
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, BackendFault> {
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
    ) -> Result<Connection, BackendFault> {
        match self.reuse(address, max_idle_time).await {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Returns a connection to `address` that has been idle for less than `max_idle_time`, if there is one.
    pub async fn reuse(&self, address: SocketAddr, max_idle_time: Duration) -> Option<Connection> {
        while let Some(mut connection) = self.take_idle(address, max_idle_time) {
            let ready = timeout(
                Duration::from_millis(READY_TIMEOUT_MS),
                connection.sender.ready(),
            )
            .await;
            if matches!(ready, Ok(Ok(()))) {
                connection.is_reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection to `address`.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, BackendFault> {
        Connection::open_with_probes(address, self.connect_timeout_ms, self.probes).await
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn release(&self, connection: Connection) {
        self.release_with_idle_limit(connection, self.idle_limit);
    }

    /// As [`Pool::release`], for a connection that the peer keeps open for at most `limit`.
    pub fn release_with_idle_limit(&self, connection: Connection, limit: Duration) {
        if connection.is_tunnel || connection.sender.is_closed() {
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
