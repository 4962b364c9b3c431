//! A caller's connection that fails when the caller reads no data for too long.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A stream whose writes fail after they made no progress for a time limit.
pub struct ProgressIo {
    inner: TokioIo<TcpStream>,
    limit: Duration,
    /// Timer of a write that waits for the reader; `None` while writes make progress.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ProgressIo {
    /// Wraps `stream`; a write fails after `limit` without progress.
    pub fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            inner: TokioIo::new(stream),
            limit,
            stall_timer: None,
        }
    }

    /// Fails a write that has made no progress for the time limit.
    fn limit_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        if timer.deadline() <= Instant::now() || timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl Read for ProgressIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl Write for ProgressIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.limit_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.limit_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
