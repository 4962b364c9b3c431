//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};
use yucca_io::caller_body::CallerBody;
use yucca_io::caller_connections::CallerConnection;
use yucca_io::segmented_body::SegmentedBody;

/// Memory that a response of unknown length is taken to hold, when connections are compared.
const STREAM_BYTES: usize = 64 * 1_024;

/// A response on the callers' port.
pub type CallerResponse = Response<BoxBody<Bytes, Infallible>>;

/// Sets a header, unless `value` is not a valid header value.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Ends the request of `caller` when the body of `response` is dropped.
pub fn with_request_end(response: CallerResponse, caller: Arc<CallerConnection>) -> CallerResponse {
    let held_bytes = response.body().size_hint().exact();
    let held_bytes = held_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    caller.set_held(held_bytes.unwrap_or(STREAM_BYTES));
    response.map(|body| {
        let end = RequestEnd(caller);
        Held { body, _held: end }.boxed()
    })
}

/// Ends the request of a connection when it is dropped.
struct RequestEnd(Arc<CallerConnection>);

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// A complete body, whose memory is released when all of it has been sent.
pub type HeldBody = Held<SegmentedBody, CallerBody>;

impl From<CallerBody> for HeldBody {
    fn from(body: CallerBody) -> Self {
        Self {
            body: SegmentedBody::new(body.segments().iter().cloned()),
            _held: body,
        }
    }
}

/// A body that holds something until it is dropped.
pub struct Held<B, H> {
    body: B,
    _held: H,
}

impl<B, H> Body for Held<B, H>
where
    B: Body<Data = Bytes, Error = Infallible> + Unpin,
    H: Unpin,
{
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
