//! Connections to back ends, reused while they carry data.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Idle connections kept for each back end.
const MAX_IDLE: usize = 64;
/// Time without an acknowledgement after which a connection that has sent something is broken.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Time without data after which the other end is probed, and between two probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is broken. Links that lose some packets must not
/// break a long answer.
const KEEPALIVE_PROBES: u32 = 2;
/// The same for connections whose calls are repeated at little cost.
const QUICK_KEEPALIVE_PROBES: u32 = 1;
/// A connection that just carried an answer's last byte is ready within this time.
const READY_MS: u64 = 20;

/// An open connection; dropping it closes it at once, also when it is silent.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    is_reused: bool,
}

impl Connection {
    /// Opens a connection to `address` within `limit_ms`.
    ///
    /// # Errors
    ///
    /// A text for people; no byte of a request was sent.
    pub async fn open(address: SocketAddr, limit_ms: u64) -> Result<Self, String> {
        Self::open_probed(address, limit_ms, KEEPALIVE_PROBES).await
    }

    async fn open_probed(address: SocketAddr, limit_ms: u64, probes: u32) -> Result<Self, String> {
        let open = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|e| e.to_string())?;
            stream.set_nodelay(true).map_err(|e| e.to_string())?;
            detect_silence(&stream, probes).map_err(|e| e.to_string())?;
            let (sender, driver) = http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|e| e.to_string())?;
            let driver = tokio::spawn(async move {
                // A failed connection shows in the request that it carried.
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
        match timeout(Duration::from_millis(limit_ms), open).await {
            Ok(opened) => opened,
            Err(_) => Err(format!("no connection to {address} within {limit_ms} ms")),
        }
    }

    /// Whether the connection carried another request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the answer's headers.
    ///
    /// # Errors
    ///
    /// As `hyper`; the request may have reached the back end.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }

    /// As [`Connection::send`], but tells whether any byte of the request was sent.
    ///
    /// # Errors
    ///
    /// [`SendError`].
    pub async fn try_send(
        &mut self,
        request: Request<Full<Bytes>>,
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

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// The connection had ended before any byte of the request was sent.
    NotSent(hyper::Error),
    /// The request may have reached the back end.
    Sent(hyper::Error),
}

/// Has the kernel break a connection whose other end vanished without closing it.
fn detect_silence(stream: &TcpStream, probes: u32) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE)
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

/// Idle connections by back end.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_ms: u64,
    idle_limit: Duration,
    probes: u32,
}

impl Pool {
    /// An empty pool that opens connections within `connect_ms` and closes them after `idle_ms`
    /// without use.
    pub fn new(connect_ms: u64, idle_ms: u64) -> Self {
        Self {
            idle: Mutex::default(),
            connect_ms,
            idle_limit: Duration::from_millis(idle_ms),
            probes: KEEPALIVE_PROBES,
        }
    }

    /// Has silent connections found within two seconds, at the risk of breaking a sound one whose
    /// packets are lost.
    pub fn with_quick_probes(mut self) -> Self {
        self.probes = QUICK_KEEPALIVE_PROBES;
        self
    }

    /// An idle connection to `address`, or a new one.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, String> {
        self.get_recent(address, self.idle_limit).await
    }

    /// As [`Pool::get`], but an idle connection must have been used within `recent`. For requests
    /// that may not be repeated, since an old connection is more often about to be closed.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn get_recent(
        &self,
        address: SocketAddr,
        recent: Duration,
    ) -> Result<Connection, String> {
        while let Some(mut connection) = self.take_idle(address, recent) {
            let ready = timeout(Duration::from_millis(READY_MS), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.is_reused = true;
                return Ok(connection);
            }
        }
        self.open(address).await
    }

    /// A new connection to `address`.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, String> {
        Connection::open_probed(address, self.connect_ms, self.probes).await
    }

    /// Takes back a connection whose last answer was read to its end.
    pub fn release(&self, connection: Connection) {
        self.release_with_idle_limit(connection, self.idle_limit);
    }

    /// As [`Pool::release`], for a connection that the other end keeps for `limit` only.
    pub fn release_with_idle_limit(&self, connection: Connection, limit: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(connection.address).or_default();
        idle.retain(|i| i.since.elapsed() < i.limit);
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                connection,
                since: Instant::now(),
                limit: limit.min(self.idle_limit),
            });
        }
    }

    /// Closes all idle connections to `address`; done when one of them turned out silent, since the
    /// same cause usually silences the others.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Takes the connection that was used last.
    fn take_idle(&self, address: SocketAddr, recent: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get_mut(&address)?;
        idle.retain(|i| i.since.elapsed() < i.limit);
        let is_recent = idle.last()?.since.elapsed() < recent;
        if is_recent {
            idle.pop().map(|i| i.connection)
        } else {
            None
        }
    }
}
