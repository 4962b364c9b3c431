//! Whole events of a stream, cut out of chunks that may split them anywhere.

use bytes::{Bytes, BytesMut};

/// Largest event; a larger one ends the stream as broken.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Bytes of a stream, given out by whole events only, so that a run that breaks off within an event
/// leaves nothing of it with the caller.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// A buffer of a stream whose caller already has the event `last_id`.
    pub fn resumed(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Takes the next bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_last_event(&self.buffer)?;
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the event that is being received is larger than allowed.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Forgets the beginning of an event, as before another run sends it anew.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }
}

/// Place after the last empty line.
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
