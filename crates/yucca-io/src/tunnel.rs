//! Connections to backends through another host, for a host that has no path of its own.
//!
//! A tunnel is one HTTP/1.1 exchange between two hosts: the request's body carries the bytes to the backend, the
//! response's body those from it. Both are chunked, so that the end of a backend's connection arrives as the
//! end of the body, and a reset, or the loss of the host between, as an interrupted one. A tunnel that passed
//! on the bare bytes (`CONNECT`) would make the end of that host's process look like the end of a response that has neither
//! length nor chunks.
//!
//! A tunnel serves one request. The host between decides for each whether it may reach the backend.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::sync::PollSender;

use crate::connections::{BackendFault, connect};

/// Prefix of the path that names the backend.
const PATH_PREFIX: &str = "/tunnel/";
/// Timeout for the connection between the hosts.
const HOST_TIMEOUT_MS: u64 = 200;
/// Time that the host between has for the connection to the backend.
const BACKEND_TIMEOUT_MS: u64 = 400;
/// Time for its answer beyond that.
const ANSWER_MARGIN_MS: u64 = 100;
/// Time within which the head of a request for a tunnel must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Size of a read from a backend.
const CHUNK_BYTES: usize = 8 * 1_024;
/// Size of the buffer for a head, and of other buffers between the hosts.
const BUFFER_BYTES: usize = 16 * 1_024;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Memory that a tunnel takes at most on the host between.
pub const TUNNEL_BYTES: usize = 3 * BUFFER_BYTES;

/// Why a tunnel could not be opened. No byte went to the backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TunnelFault {
    /// The host between did not answer, or does not take this tunnel.
    Host(String),
    /// The host between has no connection to the backend either.
    Backend(BackendFault),
}

/// A connection to a backend through another host. Dropping it closes the connection to the backend.
#[derive(Debug)]
pub struct Tunnel {
    received: Incoming,
    chunk: Bytes,
    sender: PollSender<Bytes>,
    _driver: AbortOnDrop,
}

impl Tunnel {
    /// Opens a connection to `backend` through the host at `host`.
    ///
    /// # Errors
    ///
    /// As [`TunnelFault`] says.
    pub async fn open(host: SocketAddr, backend: SocketAddr) -> Result<Self, TunnelFault> {
        let stream = connect(host, HOST_TIMEOUT_MS).await;
        let stream = stream.map_err(|fault| TunnelFault::Host(format!("{fault:?}")))?;
        let limit = Duration::from_millis(BACKEND_TIMEOUT_MS + ANSWER_MARGIN_MS);
        match timeout(limit, Self::request(stream, host, backend)).await {
            Ok(opened) => opened,
            Err(_) => Err(TunnelFault::Host("no answer in time".to_owned())),
        }
    }

    async fn request(
        stream: TcpStream,
        host: SocketAddr,
        backend: SocketAddr,
    ) -> Result<Self, TunnelFault> {
        let host_fault = |cause: hyper::Error| TunnelFault::Host(cause.to_string());
        let (mut requests, connection) = client::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(host_fault)?;
        let driver = tokio::spawn(async move {
            // An error is also an error of the bodies.
            let _ = connection.await;
        });
        let driver = AbortOnDrop(driver.abort_handle());
        let (sender, sent) = mpsc::channel(1);
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("{PATH_PREFIX}{backend}"))
            .header(http::header::HOST, host.to_string())
            .body(SentBytes(sent))
            .map_err(|cause| TunnelFault::Host(cause.to_string()))?;
        let response = requests.send_request(request).await.map_err(host_fault)?;
        match response.status() {
            StatusCode::OK => Ok(Self {
                received: response.into_body(),
                chunk: Bytes::new(),
                sender: PollSender::new(sender),
                _driver: driver,
            }),
            StatusCode::BAD_GATEWAY => Err(TunnelFault::Backend(BackendFault::Refused)),
            StatusCode::GATEWAY_TIMEOUT => Err(TunnelFault::Backend(BackendFault::Silent)),
            status => Err(TunnelFault::Host(format!("status {}", status.as_u16()))),
        }
    }
}

/// The task that drives a connection between two hosts. Dropping it closes the connection.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.chunk.is_empty() {
            match ready!(Pin::new(&mut self.received).poll_frame(context)) {
                Some(Ok(frame)) => self.chunk = frame.into_data().unwrap_or_default(),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                None => return Poll::Ready(Ok(())),
            }
        }
        let length = self.chunk.len().min(buffer.remaining());
        buffer.put_slice(&self.chunk[..length]);
        self.chunk.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        ready!(self.sender.poll_reserve(context)).map_err(closed)?;
        let length = bytes.len().min(CHUNK_BYTES);
        let chunk = Bytes::copy_from_slice(&bytes[..length]);
        self.sender.send_item(chunk).map_err(closed)?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.sender.close();
        Poll::Ready(Ok(()))
    }
}

/// Body of the bytes that are sent through a [`Tunnel`].
struct SentBytes(mpsc::Receiver<Bytes>);

impl Body for SentBytes {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let chunk = ready!(self.0.poll_recv(context));
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }
}

/// Decides which tunnels a host takes.
pub trait Gate {
    /// What a tunnel holds for as long as it is open.
    type Permit: Unpin + 'static;

    /// Whether connections from an address are accepted at all.
    fn admits(&self, from: IpAddr) -> bool;

    /// Returns the permit of a tunnel to `backend`, or the status that refuses it.
    ///
    /// # Errors
    ///
    /// Status 403 if the backend is none that this host knows, and 503 if this host cannot take it now.
    fn permit(&self, backend: SocketAddr) -> Result<Self::Permit, StatusCode>;

    /// Records whether this host could connect to `backend`.
    fn record(&self, backend: SocketAddr, result: Result<(), BackendFault>);
}

/// Takes tunnels of other hosts for as long as the process lives.
pub async fn serve<G: Gate + 'static>(listener: TcpListener, gate: Rc<G>) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if gate.admits(from.ip()) {
            spawn_local(serve_host(stream, Rc::clone(&gate)));
        }
    }
}

async fn serve_host<G: Gate + 'static>(stream: TcpStream, gate: Rc<G>) {
    if crate::connections::prepare(&stream).is_err() {
        return;
    }
    let service = service_fn(|request| {
        let gate = Rc::clone(&gate);
        async move { Ok::<_, io::Error>(answer(request, &*gate).await) }
    });
    let connection = server::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    // The other host sees an error itself.
    let _ = connection.await;
}

async fn answer<G: Gate>(request: Request<Incoming>, gate: &G) -> Response<AnswerBody<G::Permit>> {
    let backend = request.uri().path().strip_prefix(PATH_PREFIX);
    let Some(backend) = backend.and_then(|address| address.parse().ok()) else {
        return refusal(StatusCode::BAD_REQUEST);
    };
    let permit = match gate.permit(backend) {
        Ok(permit) => permit,
        Err(status) => return refusal(status),
    };
    let connected = connect(backend, BACKEND_TIMEOUT_MS).await;
    gate.record(
        backend,
        connected.as_ref().map(|_| ()).map_err(|fault| *fault),
    );
    match connected {
        Ok(stream) => {
            let (read, write) = stream.into_split();
            let (is_open, is_closed) = oneshot::channel();
            spawn_local(forward(request.into_body(), write, is_open));
            Response::new(AnswerBody::Received(ReceivedBytes {
                read,
                buffer: BytesMut::new(),
                is_closed,
                _permit: permit,
            }))
        }
        Err(BackendFault::Refused) => refusal(StatusCode::BAD_GATEWAY),
        Err(BackendFault::Silent) => refusal(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn refusal<P>(status: StatusCode) -> Response<AnswerBody<P>> {
    let mut response = Response::new(AnswerBody::Empty);
    *response.status_mut() = status;
    response
}

/// Forwards what the other host sends to the backend. The tunnel ends with it, as `is_open` is dropped: the other
/// host's request has ended or was cancelled.
async fn forward(
    mut body: Incoming,
    mut backend: OwnedWriteHalf,
    mut is_open: oneshot::Sender<()>,
) {
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if backend.write_all(&bytes).await.is_err() {
            // The backend may have answered before it has read everything.
            return is_open.closed().await;
        }
    }
}

/// Body of the bytes that a backend sends. Dropping it closes the connection to the backend.
struct ReceivedBytes<P> {
    read: OwnedReadHalf,
    buffer: BytesMut,
    is_closed: oneshot::Receiver<()>,
    _permit: P,
}

/// Body of the answer to a request for a tunnel.
enum AnswerBody<P> {
    Empty,
    Received(ReceivedBytes<P>),
}

impl<P: Unpin> Body for AnswerBody<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Received(received) => received.poll_bytes(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }
}

impl<P: Unpin> ReceivedBytes<P> {
    fn poll_bytes(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if Pin::new(&mut self.is_closed).poll(context).is_ready() {
            let error = io::Error::from(io::ErrorKind::ConnectionAborted);
            return Poll::Ready(Some(Err(error)));
        }
        self.buffer.resize(CHUNK_BYTES, 0);
        let mut buffer = ReadBuf::new(&mut self.buffer);
        let read = ready!(Pin::new(&mut self.read).poll_read(context, &mut buffer));
        let length = buffer.filled().len();
        Poll::Ready(match read {
            Ok(()) if length == 0 => None,
            Ok(()) => {
                let bytes = Bytes::copy_from_slice(&self.buffer[..length]);
                Some(Ok(Frame::data(bytes)))
            }
            Err(error) => Some(Err(error)),
        })
    }
}
