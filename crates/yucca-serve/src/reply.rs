//! The reply to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, Bytes};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use yuccacove::code::Code;

use crate::memory::MemoryGuard;

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
    bytes: Bytes,
    _memory: Option<MemoryGuard>,
}

impl ReplyData {
    /// Creates the bytes of a body for which memory is reserved.
    pub fn reserved(bytes: Bytes, memory: MemoryGuard) -> Self {
        Self {
            bytes,
            _memory: Some(memory),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for ReplyData {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            _memory: None,
        }
    }
}

impl From<ReplyData> for Bytes {
    fn from(data: ReplyData) -> Self {
        data.bytes
    }
}

impl Buf for ReplyData {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
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
