//! Memory of the head of a request while it arrives.

use std::io;

use yucca_io::caller_connections::CallerConnection;
use yucca_io::memory::MemoryGuard;
use yuccacove::connection_budget::Shortage;

/// Longest read from a caller. `hyper` doubles its read buffer after a read that fills it, 8 KiB at first.
pub const MAX_CALLER_READ_BYTES: usize = 8 * 1_024 - 1;
/// Part of a head that fits into the memory that each connection reserves.
const RESERVED_HEAD_BYTES: usize = 8 * 1_024;
/// Allocated bytes for each byte of a longer head: a buffer doubles when it grows.
const ALLOCATED_PER_HEAD_BYTE: usize = 2;

/// Memory of a read buffer for long heads. `hyper` keeps the buffer for the next requests of a connection.
#[derive(Debug)]
pub struct HeadMemory {
    /// Bytes of the head that is arriving.
    head_bytes: usize,
    buffer: MemoryGuard,
    buffer_bytes: usize,
}

impl HeadMemory {
    /// Creates the memory of a connection; `buffer` holds what is reserved.
    pub fn new(buffer: MemoryGuard) -> Self {
        Self {
            head_bytes: 0,
            buffer,
            buffer_bytes: 0,
        }
    }

    /// Reserves the memory of a long head.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::OutOfMemory`].
    pub fn record_received(&mut self, caller: &CallerConnection, bytes: usize) -> io::Result<()> {
        if !caller.is_receiving_head() {
            self.head_bytes = 0;
            return Ok(());
        }
        self.head_bytes += bytes;
        let long_bytes = self.head_bytes.saturating_sub(RESERVED_HEAD_BYTES);
        let needed_bytes = long_bytes * ALLOCATED_PER_HEAD_BYTE;
        if needed_bytes <= self.buffer_bytes {
            return Ok(());
        }
        // The memory of a connection that is told to close is rarely released at once, but then the next
        // caller finds room.
        let is_reserved = self.buffer.resize(needed_bytes)
            || caller.relieve(Shortage::ConnectionMemory) && self.buffer.resize(needed_bytes);
        if !is_reserved {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.buffer_bytes = needed_bytes;
        Ok(())
    }
}
