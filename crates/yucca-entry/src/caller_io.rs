//! A caller's connection that records what its caller sends and takes, and the memory of its read buffer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use yucca_io::caller_connections::CallerConnection;
use yucca_io::memory::MemoryGuard;
use yuccacove::connection_budget::Shortage;

/// Longest read. `hyper` doubles its read buffer after a read that fills it, 8 KiB at first.
const MAX_CALLER_READ_BYTES: usize = 8 * 1_024 - 1;
/// Part of a head that fits into the memory that each connection reserves.
const RESERVED_HEAD_BYTES: usize = 8 * 1_024;
/// Allocated bytes for each byte of a longer head: a buffer doubles when it grows.
const ALLOCATED_PER_HEAD_BYTE: usize = 2;

/// A stream to a caller.
pub struct CallerIo {
    stream: TcpStream,
    caller: Arc<CallerConnection>,
    /// Bytes of the head that is arriving.
    head_bytes: usize,
    /// Memory of a read buffer for a long head. `hyper` keeps the buffer for the next requests.
    buffer: MemoryGuard,
    buffer_bytes: usize,
}

impl CallerIo {
    /// Wraps the stream of `caller`; `buffer` is for the memory of long heads.
    pub fn new(stream: TcpStream, caller: Arc<CallerConnection>, buffer: MemoryGuard) -> Self {
        Self {
            stream,
            caller,
            head_bytes: 0,
            buffer,
            buffer_bytes: 0,
        }
    }

    /// Reserves the memory of a long head.
    fn record_received(&mut self, bytes: usize) -> io::Result<()> {
        self.caller.record_received(bytes);
        if !self.caller.is_receiving_head() {
            self.head_bytes = 0;
            return Ok(());
        }
        self.head_bytes += bytes;
        let long_bytes = self.head_bytes.saturating_sub(RESERVED_HEAD_BYTES);
        let needed = long_bytes * ALLOCATED_PER_HEAD_BYTE;
        if needed <= self.buffer_bytes {
            return Ok(());
        }
        if !self.buffer.resize(needed) && !self.resize_after_relief(needed) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.buffer_bytes = needed;
        Ok(())
    }

    /// Tells another connection to close. Its memory is rarely released at once, but then the next caller
    /// finds room.
    fn resize_after_relief(&mut self, bytes: usize) -> bool {
        self.caller.relieve(Shortage::ConnectionMemory) && self.buffer.resize(bytes)
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.caller.record_sent(true),
            Poll::Pending => self.caller.record_sent(false),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(MAX_CALLER_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Ready(Ok(())) => {
                let received_bytes = part.filled().len();
                buffer.advance(received_bytes);
                if received_bytes == 0 {
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(self.record_received(received_bytes))
            }
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
