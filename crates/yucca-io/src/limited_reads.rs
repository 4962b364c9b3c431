//! A stream whose reads are small, so that the buffers they go to stay small.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// Largest number of bytes of a read. hyper doubles its buffer when a read fills it, from 8 KiB on, and
/// each of up to three parts of a body that wait for a slow reader holds a buffer. Below 16 KiB, the buffer
/// grows only once, except for a head that is longer.
pub const MAX_READ_BYTES: usize = 16 * 1_024 - 1;

/// A stream that returns at most [`MAX_READ_BYTES`] at a time.
#[derive(Debug)]
pub struct LimitedReads<S> {
    stream: Take<S>,
}

impl<S: AsyncRead + Unpin> LimitedReads<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream: stream.take(MAX_READ_BYTES as u64),
        }
    }

    fn inner(&mut self) -> Pin<&mut S> {
        Pin::new(self.stream.get_mut())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedReads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream.set_limit(MAX_READ_BYTES as u64);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LimitedReads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(context)
    }
}
