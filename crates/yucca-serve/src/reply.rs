//! The reply to a caller.

use std::collections::VecDeque;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use yuccacove::code::Code;
use yuccacove::memory_budget::Purpose;

use crate::memory::{Memory, MemoryGuard};

/// A reply with its head and a body that may still be arriving.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: Parts,
    /// Body, complete or streamed.
    pub body: ReplyBody,
    /// Time after which the caller may retry; set for refusals.
    pub retry_after_ms: Option<u64>,
}

impl Reply {
    /// Creates a reply that the host itself generates, with the result code in its body.
    pub fn refusal(code: Code, retry_after_ms: Option<u64>) -> Self {
        let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::new(());
        *response.status_mut() = status;
        let text = format!("{} {}: {}\n", code.number(), code.name(), code.title());
        Self {
            head: response.into_parts().0,
            body: ReplyBody::Complete(Some(Bytes::from(text).into())),
            retry_after_ms,
        }
    }

    /// Creates a reply whose body is complete.
    pub fn complete(head: Parts, body: ReplyData) -> Self {
        Self {
            head,
            body: ReplyBody::Complete(Some(body)),
            retry_after_ms: None,
        }
    }

    /// Creates a reply whose body arrives through `chunks`.
    pub fn streamed(head: Parts, chunks: mpsc::Receiver<Result<ReplyData, Interrupted>>) -> Self {
        Self {
            head,
            body: ReplyBody::Streamed(chunks),
            retry_after_ms: None,
        }
    }
}

/// Bytes of a body, with the memory that is reserved for them until they are sent.
#[derive(Debug)]
pub struct ReplyData {
    first: Bytes,
    /// The segments after the first one; none is empty.
    rest: VecDeque<Bytes>,
    _memory: Option<MemoryGuard>,
}

impl ReplyData {
    /// Creates bytes for which memory is reserved.
    pub fn reserved(bytes: Bytes, memory: MemoryGuard) -> Self {
        Self {
            _memory: Some(memory),
            ..Self::from(bytes)
        }
    }

    /// Creates the bytes of a body in segments, whose memory they hold themselves.
    pub fn segmented(segments: impl IntoIterator<Item = Bytes>) -> Self {
        let mut segments = segments.into_iter().filter(|segment| !segment.is_empty());
        Self {
            first: segments.next().unwrap_or_default(),
            rest: segments.collect(),
            _memory: None,
        }
    }

    /// Copies bytes into memory that is reserved for them. Returns `None` if there is not enough. The bytes
    /// themselves may keep a buffer that is much larger from being freed.
    pub fn copied(bytes: &[u8], memory: &Memory) -> Option<Self> {
        let mut guard = memory.guard(Purpose::Response);
        let is_reserved = guard.grow(bytes.len());
        is_reserved.then(|| Self::reserved(Bytes::copy_from_slice(bytes), guard))
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.iter().map(Bytes::len).sum::<usize>()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }
}

impl From<Bytes> for ReplyData {
    fn from(bytes: Bytes) -> Self {
        Self {
            first: bytes,
            rest: VecDeque::new(),
            _memory: None,
        }
    }
}

impl From<ReplyData> for Bytes {
    fn from(mut data: ReplyData) -> Self {
        data.copy_to_bytes(data.len())
    }
}

impl Buf for ReplyData {
    fn remaining(&self) -> usize {
        self.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.first
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let segments = std::iter::once(&self.first).chain(&self.rest);
        let segments = segments.filter(|segment| !segment.is_empty());
        let mut count = 0;
        for (slice, segment) in slices.iter_mut().zip(segments) {
            *slice = IoSlice::new(segment);
            count += 1;
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        while count > 0 && count >= self.first.len() {
            count -= self.first.len();
            self.first = self.rest.pop_front().unwrap_or_default();
            assert!(
                count == 0 || !self.first.is_empty(),
                "advanced past the end"
            );
        }
        self.first.advance(count);
    }

    fn copy_to_bytes(&mut self, count: usize) -> Bytes {
        if count <= self.first.len() {
            let bytes = self.first.split_to(count);
            if self.first.is_empty() {
                self.first = self.rest.pop_front().unwrap_or_default();
            }
            return bytes;
        }
        let mut bytes = BytesMut::with_capacity(count);
        bytes.put(self.take(count));
        bytes.freeze()
    }
}

/// Error of a body that ended before it was complete. The connection to the caller must be closed,
/// so that the caller does not take the body for complete.
#[derive(Debug)]
pub struct Interrupted;

impl std::fmt::Display for Interrupted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body ended before it was complete")
    }
}

impl std::error::Error for Interrupted {}

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body; `None` once it has been read.
    Complete(Option<ReplyData>),
    /// Body that arrives in chunks.
    Streamed(mpsc::Receiver<Result<ReplyData, Interrupted>>),
}

impl Body for ReplyBody {
    type Data = ReplyData;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<ReplyData>, Interrupted>>> {
        match &mut *self {
            Self::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streamed(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, ReplyData::len) as u64)
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
