//! The body of a request in segments that need not be adjacent in memory.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// A complete body, which is sent segment by segment.
#[derive(Debug, Clone, Default)]
pub struct SegmentedBody {
    segments: VecDeque<Bytes>,
}

impl SegmentedBody {
    /// Creates a body of these segments.
    pub fn new(segments: impl IntoIterator<Item = Bytes>) -> Self {
        let segments = segments.into_iter();
        Self {
            segments: segments.filter(|segment| !segment.is_empty()).collect(),
        }
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        Self::new([bytes])
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes: usize = self.segments.iter().map(Bytes::len).sum();
        SizeHint::with_exact(bytes as u64)
    }
}
