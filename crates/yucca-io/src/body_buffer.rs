//! A buffer for a body, for which memory is reserved before it is allocated.
//!
//! The buffer consists of segments. A buffer in one piece would be moved while it grows, and the gaps
//! that many such buffers leave in the heap made a process use twice the memory that was reserved.

use bytes::Bytes;

use crate::memory::MemoryGuard;
use crate::segment::{MIN_MAPPED_BYTES, Segment, page_bytes};

/// Size of the first segment of a body of unknown length, unless its first bytes need more.
const FIRST_SEGMENT_BYTES: usize = 4 * 1_024;
/// Largest size of a segment, unless a page is larger.
const MAX_SEGMENT_BYTES: usize = 32 * 1_024;

/// Bytes of a body so far, in segments for which memory is reserved.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Segment>,
    /// Index of the first segment that is not full.
    current: usize,
    len: usize,
    capacity: usize,
    /// Holds no memory itself.
    memory: MemoryGuard,
    /// Length of the body if it is known, else the longest that it may have.
    max_bytes: usize,
    is_length_known: bool,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`, of which `declared_bytes` are announced,
    /// if any. Its segments are reserved like `memory`.
    pub fn new(memory: MemoryGuard, declared_bytes: Option<usize>, max_bytes: usize) -> Self {
        Self {
            segments: Vec::new(),
            current: 0,
            len: 0,
            capacity: 0,
            memory,
            max_bytes: declared_bytes.unwrap_or(max_bytes),
            is_length_known: declared_bytes.is_some(),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the size of all segments.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Makes room for `more` bytes. Returns `false`, and changes nothing, if there is not enough memory.
    #[must_use]
    pub fn try_reserve(&mut self, more: usize) -> bool {
        let needed = self.len.saturating_add(more);
        if needed <= self.capacity {
            return true;
        }
        let missing = needed - self.capacity;
        let roomy = missing.max(self.next_segment_bytes());
        [roomy, missing].into_iter().any(|bytes| self.grow(bytes))
    }

    fn next_segment_bytes(&self) -> usize {
        let left = self.max_bytes.saturating_sub(self.capacity);
        let wanted = match self.capacity {
            _ if self.is_length_known => max_segment_bytes(),
            0 => FIRST_SEGMENT_BYTES,
            capacity => capacity.clamp(MIN_MAPPED_BYTES, max_segment_bytes()),
        };
        wanted.min(left)
    }

    fn grow(&mut self, bytes: usize) -> bool {
        let mut added = Vec::new();
        let mut added_bytes = 0;
        while added_bytes < bytes {
            let segment_bytes = (bytes - added_bytes).min(max_segment_bytes());
            let Some(segment) = Segment::allocate(self.memory.empty(), segment_bytes) else {
                return false;
            };
            added_bytes += segment.capacity();
            added.push(segment);
        }
        self.segments.append(&mut added);
        self.capacity += added_bytes;
        true
    }

    /// Appends bytes. Returns `false`, and appends none, if there is not enough memory.
    #[must_use]
    pub fn try_push(&mut self, mut bytes: &[u8]) -> bool {
        if !self.try_reserve(bytes.len()) {
            return false;
        }
        self.len += bytes.len();
        while !bytes.is_empty() {
            let segment = &mut self.segments[self.current];
            let pushed_bytes = segment.push(bytes);
            bytes = &bytes[pushed_bytes..];
            if segment.len() == segment.capacity() {
                self.current += 1;
            }
        }
        true
    }

    /// Returns the segments that have bytes. Their memory stays reserved as long as the bytes are referred
    /// to.
    pub fn finish(mut self) -> Vec<Bytes> {
        self.segments.retain(|segment| !segment.is_empty());
        let last = self.segments.pop().map(Segment::fit);
        self.segments.extend(last);
        self.segments.into_iter().map(Bytes::from).collect()
    }
}

fn max_segment_bytes() -> usize {
    MAX_SEGMENT_BYTES.max(page_bytes())
}
