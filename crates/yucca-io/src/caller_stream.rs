//! The stream of a caller's connection, which records what the caller sends and takes, and the end of the
//! connection.

use std::error::Error;
use std::io::{self, IoSlice};
use std::ops::Deref;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Duration, timeout};

use crate::caller_connections::CallerConnection;

/// Time for the refusal of a request whose body stops, before its connection is closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Serves a connection until it ends or `caller` is told to close it. When `is_closing` becomes true, the
/// connection ends after the request in progress.
pub async fn serve_until_closed<I, S, B>(
    connection: http1::Connection<I, S>,
    caller: &CallerConnection,
    mut is_closing: watch::Receiver<bool>,
) where
    I: Read + Write + Unpin,
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    let mut is_stopping = false;
    loop {
        tokio::select! {
            // Errors concern only this connection, for example if the caller closes it. Its end cancels
            // its request.
            _ = connection.as_mut() => return,
            // Fails only if the sender is dropped, which happens at the end of the process.
            _ = is_closing.wait_for(|closing| *closing), if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            _ = caller.closing() => break,
        }
    }
    if caller.is_receiving_body() {
        connection.as_mut().graceful_shutdown();
        // The connection is closed, whether its caller takes the refusal or not.
        let _ = timeout(REFUSAL_TIMEOUT, connection).await;
    }
}

/// A stream to a caller. `C` is a shared pointer to its connection; `F` is called with the number of
/// bytes of each read, and its error ends the connection.
#[derive(Debug)]
pub struct CallerStream<C, F> {
    stream: TcpStream,
    caller: C,
    max_read_bytes: usize,
    on_received: F,
}

impl<C, F> CallerStream<C, F>
where
    C: Deref<Target = CallerConnection>,
    F: FnMut(&CallerConnection, usize) -> io::Result<()>,
{
    /// Wraps the stream of `caller`, whose reads return at most `max_read_bytes`.
    pub fn new(stream: TcpStream, caller: C, max_read_bytes: usize, on_received: F) -> Self {
        Self {
            stream,
            caller,
            max_read_bytes,
            on_received,
        }
    }

    fn record_received(&mut self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        self.caller.record_received(bytes);
        (self.on_received)(&self.caller, bytes)
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.caller.record_sent(true),
            Poll::Pending => self.caller.record_sent(false),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl<C, F> AsyncRead for CallerStream<C, F>
where
    C: Deref<Target = CallerConnection> + Unpin,
    F: FnMut(&CallerConnection, usize) -> io::Result<()> + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(self.max_read_bytes);
        let before = buffer.filled().len();
        let read = if limit == buffer.remaining() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
            let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
            let received_bytes = part.filled().len();
            buffer.advance(received_bytes);
            read
        };
        let received_bytes = buffer.filled().len() - before;
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(self.record_received(received_bytes)),
            other => other,
        }
    }
}

impl<C, F> AsyncWrite for CallerStream<C, F>
where
    C: Deref<Target = CallerConnection> + Unpin,
    F: FnMut(&CallerConnection, usize) -> io::Result<()> + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
