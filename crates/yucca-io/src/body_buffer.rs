//! A buffer for a body, for which memory is reserved before it is allocated.
//!
//! The buffer consists of segments. A buffer in one piece would be moved while it grows, and the gaps
//! that many such buffers leave in the heap made a process use twice the memory that was reserved.

use bytes::Bytes;

use crate::memory::MemoryGuard;

/// Smallest and largest size of a segment, unless the rest of the body is smaller. All segments are below
/// the size from which the allocator asks the kernel for memory, so that they are reused.
const MIN_SEGMENT_BYTES: usize = 4 * 1_024;
const MAX_SEGMENT_BYTES: usize = 32 * 1_024;
/// Share of the allocated bytes, as a divisor, by which the buffer of a body of unknown length grows.
const GROWTH_DIVISOR: usize = 2;

/// Bytes of a body so far, and the memory that is reserved for their segments.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    /// Index of the first segment that is not full.
    current: usize,
    len: usize,
    capacity: usize,
    memory: MemoryGuard,
    /// Length of the body if it is known, else the longest that it may have.
    max_bytes: usize,
    is_length_known: bool,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of at most `max_bytes`, of which `declared_bytes` are announced,
    /// if any.
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
        let wanted = if self.is_length_known {
            MAX_SEGMENT_BYTES
        } else {
            (self.capacity / GROWTH_DIVISOR).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
        };
        wanted.min(left)
    }

    fn grow(&mut self, bytes: usize) -> bool {
        if !self.memory.grow(bytes) {
            return false;
        }
        let mut left = bytes;
        while left > 0 {
            let segment_bytes = left.min(MAX_SEGMENT_BYTES);
            self.segments.push(Vec::with_capacity(segment_bytes));
            left -= segment_bytes;
        }
        self.capacity += bytes;
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
            let room = segment.capacity() - segment.len();
            let (first, rest) = bytes.split_at(room.min(bytes.len()));
            segment.extend_from_slice(first);
            bytes = rest;
            if segment.len() == segment.capacity() {
                self.current += 1;
            }
        }
        true
    }

    /// Returns the segments that have bytes, and the memory that is reserved for them.
    pub fn finish(mut self) -> (Vec<Bytes>, MemoryGuard) {
        self.segments.retain(|segment| !segment.is_empty());
        if let Some(last) = self.segments.last_mut() {
            last.shrink_to_fit();
        }
        let capacity = self.segments.iter().map(Vec::capacity).sum();
        // A smaller size is always granted.
        let _ = self.memory.resize(capacity);
        let segments = self.segments.into_iter().map(Bytes::from);
        (segments.collect(), self.memory)
    }
}
