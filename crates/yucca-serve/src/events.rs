//! Splits a byte stream into complete events; a chunk may end anywhere within an event.

use std::mem;

use bytes::Bytes;

/// Maximum size of an event; a larger one counts as a broken stream.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Buffers the bytes of a stream and releases complete events only. If an attempt fails within an
/// event, the caller has received no part of that event and another attempt can send it again.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: Vec<u8>,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates a buffer for a stream whose caller has already received the event `last_id`.
    pub fn resumed(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
        }
    }

    /// Returns the memory that is needed while `more` bytes are appended. A buffer that grows needs memory
    /// for its former and its new place.
    pub fn bytes_to_push(&self, more: usize) -> usize {
        let capacity = self.buffer.capacity();
        match self.grown_capacity(more) {
            Some(grown_capacity) => capacity + grown_capacity,
            None => capacity,
        }
    }

    /// Returns the capacity with room for `more` bytes; `None` if there is room.
    fn grown_capacity(&self, more: usize) -> Option<usize> {
        let needed = self.buffer.len() + more;
        let capacity = self.buffer.capacity();
        let roomy = capacity.saturating_mul(2).min(MAX_EVENT_BYTES);
        (needed > capacity).then_some(needed.max(roomy))
    }

    /// Appends received bytes and returns all events that are complete now, if any. These take up no more
    /// memory than their length.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if let Some(capacity) = self.grown_capacity(bytes.len()) {
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(bytes);
        let end = end_of_last_event(&self.buffer)?;
        let partial = self.buffer.split_off(end);
        let mut complete = mem::replace(&mut self.buffer, partial);
        complete.shrink_to_fit();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Some(Bytes::from(complete))
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes received so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the size of the buffer of the incomplete event.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Discards the bytes of an incomplete event, before another attempt sends the event again.
    pub fn discard_partial(&mut self) {
        self.buffer = Vec::new();
    }
}

/// Returns the index after the last empty line, which is the end of the last complete event.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while let Some(at) = bytes[..end].iter().rposition(|byte| *byte == b'\n') {
        match &bytes[..at] {
            [.., b'\n'] | [.., b'\n', b'\r'] => return Some(at + 1),
            _ => end = at,
        }
    }
    None
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
