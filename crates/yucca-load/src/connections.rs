//! Pool of HTTP/1.1 keep-alive connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

const GET_JSON_TIMEOUT_MS: u64 = 1_000;
const CONNECT_TIMEOUT_MS: u64 = 1_000;

type Sender = SendRequest<Full<Bytes>>;

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    NotSent(String),
    /// The connection failed before the response headers arrived; the request may have been
    /// received.
    Broken(String),
}

/// Idle connections by server address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Connections {
    /// Sends a request over an idle or new connection and waits for the response headers. The
    /// caller returns the connection with [`Connections::release`] after it has read the body.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] if no connection could be opened, [`SendError::Broken`] if the
    /// connection failed afterwards.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), SendError> {
        while let Some(mut sender) = self.acquire(address) {
            match sender.send_request(request.clone()).await {
                Ok(response) => return Ok((response, sender)),
                // The server had already closed the idle connection, and nothing was written to it.
                Err(error) if error.is_canceled() => {}
                Err(error) => return Err(SendError::Broken(error.to_string())),
            }
        }
        let mut sender = open(address).await.map_err(SendError::NotSent)?;
        match sender.send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(error) => Err(SendError::Broken(error.to_string())),
        }
    }

    /// Returns a connection to the pool; a closed connection is dropped.
    pub fn release(&self, address: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(address).or_default().push(sender);
        }
    }

    fn acquire(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        // A sender that is not ready is still reading the end of the previous response.
        let ready = senders.iter().rposition(Sender::is_ready)?;
        Some(senders.swap_remove(ready))
    }
}

async fn open(address: SocketAddr) -> Result<Sender, String> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
        .await
        .map_err(|_| format!("{address}: connecting timed out"))?
        .map_err(|e| format!("{address}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    // A connection error is reported to the request that uses the connection.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Requests `path` over a new connection and parses the response body as JSON, whatever its status.
/// `None` if that fails or takes more than 1 s.
pub async fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::default())
        .ok()?;
    let call = async {
        let mut sender = open(address).await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    };
    timeout(Duration::from_millis(GET_JSON_TIMEOUT_MS), call)
        .await
        .ok()?
}
