//! Responses to callers.

use std::convert::Infallible;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Response};
use http_body_util::combinators::BoxBody;

/// A response on the callers' port.
pub type CallerResponse = Response<BoxBody<Bytes, Infallible>>;

/// Sets a header, unless `value` is not a valid header value.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
