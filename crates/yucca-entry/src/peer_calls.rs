//! HTTP/2 calls between entry hosts, with one connection for each peer and one stream for each
//! call.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::wire::MAX_MESSAGE_BYTES;

/// Time limit of a call, including the time to connect.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Pause after a failed `accept`, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 50;

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerFault {
    /// The peer refused the connection: nothing listens there.
    Refused,
    /// No response within the time limit, or an invalid one.
    NoAnswer(String),
}

/// Open connections to peers.
#[derive(Default)]
pub struct PeerCalls {
    open: Mutex<HashMap<SocketAddr, SendRequest<Bytes>>>,
}

impl PeerCalls {
    /// Sends `body` to `path` of the peer at `address` and returns the response body.
    ///
    /// # Errors
    ///
    /// A [`PeerFault`]; the connection is then dropped, so that an unresponsive one is not reused.
    pub async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PeerFault> {
        let call = async {
            let open = self.lock().get(&address).cloned();
            if let Some(sender) = open {
                let response = exchange(sender, address, path, body.clone()).await;
                if response.is_ok() {
                    return response;
                }
                // The peer may have restarted since the last call. All calls may be retried.
                self.lock().remove(&address);
            }
            let sender = connect(address).await?;
            self.lock().insert(address, sender.clone());
            exchange(sender, address, path, body).await
        };
        let response = match timeout(Duration::from_millis(CALL_TIMEOUT_MS), call).await {
            Ok(response) => response,
            Err(_) => Err(PeerFault::NoAnswer(format!(
                "none within {CALL_TIMEOUT_MS} ms"
            ))),
        };
        if response.is_err() {
            self.lock().remove(&address);
        }
        response
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, SendRequest<Bytes>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, PeerFault> {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => return Err(PeerFault::Refused),
        Err(e) => return Err(no_response(&e)),
    };
    stream.set_nodelay(true).map_err(|e| no_response(&e))?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(|e| no_response(&e))?;
    tokio::spawn(async move {
        // A connection error is reported by the next call.
        let _ = connection.await;
    });
    Ok(sender)
}

async fn exchange(
    sender: SendRequest<Bytes>,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Bytes, PeerFault> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .body(())
        .map_err(|e| no_response(&e))?;
    let mut sender = sender.ready().await.map_err(|e| no_response(&e))?;
    let (response, mut stream) = sender
        .send_request(request, false)
        .map_err(|e| no_response(&e))?;
    stream.send_data(body, true).map_err(|e| no_response(&e))?;
    let response = response.await.map_err(|e| no_response(&e))?;
    if response.status() != StatusCode::OK {
        return Err(PeerFault::NoAnswer(response.status().to_string()));
    }
    read_body(response.into_body())
        .await
        .map_err(PeerFault::NoAnswer)
}

fn no_response(error: &impl std::fmt::Display) -> PeerFault {
    PeerFault::NoAnswer(error.to_string())
}

async fn read_body(mut body: RecvStream) -> Result<Bytes, String> {
    let mut buffer = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|e| e.to_string())?;
        if buffer.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err("message too large".to_owned());
        }
        buffer.extend_from_slice(&data);
        body.flow_control()
            .release_capacity(data.len())
            .map_err(|e| e.to_string())?;
    }
    Ok(buffer.freeze())
}

/// Serves calls of peers on `listener` until the task is aborted. `handle` receives path and body
/// and returns the response body, or `None` for an unknown path or an invalid message.
pub fn serve<F>(listener: TcpListener, handle: F) -> JoinHandle<()>
where
    F: Fn(&str, &[u8]) -> Option<Bytes> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        // Dropped with this task, so that a stopped host no longer responds to peers.
        let mut connections = JoinSet::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    while connections.try_join_next().is_some() {}
                    connections.spawn(serve_peer(stream, Arc::clone(&handle)));
                }
                Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            }
        }
    })
}

async fn serve_peer<F>(stream: TcpStream, handle: Arc<F>)
where
    F: Fn(&str, &[u8]) -> Option<Bytes> + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let handle = Arc::clone(&handle);
        tokio::spawn(async move {
            let limit = Duration::from_millis(CALL_TIMEOUT_MS);
            // A peer that disconnects during a call retries it with other hosts.
            let _ = timeout(limit, handle_call(request, respond, &*handle)).await;
        });
    }
}

async fn handle_call<F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handle: &F,
) -> Result<(), h2::Error>
where
    F: Fn(&str, &[u8]) -> Option<Bytes>,
{
    let path = request.uri().path().to_owned();
    let body = read_body(request.into_body()).await;
    let mut response = Response::new(());
    match body.ok().and_then(|body| handle(&path, &body)) {
        Some(body) => {
            let mut stream = respond.send_response(response, false)?;
            stream.send_data(body, true)
        }
        None => {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            respond.send_response(response, true).map(|_| ())
        }
    }
}
