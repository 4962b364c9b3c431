//! HTTP/1.1 connections to the entry hosts, kept for reuse.

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

/// Bound of a small call to an engine or a service.
const SMALL_CALL_TIMEOUT_MS: u64 = 1_000;
/// Bound of opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

type Sender = SendRequest<Full<Bytes>>;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No connection could be opened, so that nothing was sent.
    NotSent(String),
    /// The connection broke before the head of an answer.
    Broken(String),
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Connections {
    /// Sends a request and waits for the head of its answer. The connection goes back with
    /// [`Connections::release`] once the body is read.
    ///
    /// # Errors
    ///
    /// Any [`SendError`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Sender), SendError> {
        while let Some(mut sender) = self.acquire(address) {
            match sender.send_request(request.clone()).await {
                Ok(response) => return Ok((response, sender)),
                // The host had closed the idle connection, and no byte was written.
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

    /// Keeps a connection for the next request.
    pub fn release(&self, address: SocketAddr, sender: Sender) {
        if !sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(address).or_default().push(sender);
        }
    }

    fn acquire(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        // A sender that is not ready still reads the end of an answer.
        let ready = senders.iter().rposition(Sender::is_ready)?;
        Some(senders.swap_remove(ready))
    }
}

async fn open(address: SocketAddr) -> Result<Sender, String> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting)
        .await
        .map_err(|_| format!("{address}: no connection in time"))?
        .map_err(|e| format!("{address}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    // A broken connection shows in the request that uses it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Reads a JSON document over a connection of its own; `None` when there is no such answer in 1 s.
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
    timeout(Duration::from_millis(SMALL_CALL_TIMEOUT_MS), call)
        .await
        .ok()?
}
