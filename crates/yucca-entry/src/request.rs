//! Reads and checks callers' requests within the limits of the callers' port.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};
use yucca_io::settings::Limits;
use yuccacove::code::Code;

use crate::problem::Problem;

/// Length limit of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Checks the total size of a request's target and headers, with four bytes for the separators of
/// each header.
///
/// # Errors
///
/// [`Code::BadRequest`].
pub fn check_headers(parts: &Parts, limits: &Limits) -> Result<(), Problem> {
    let headers: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let target = parts.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if headers + target > limits.max_header_bytes {
        let detail = format!("headers exceed {} bytes", limits.max_header_bytes);
        return Err(Problem::new(Code::BadRequest, detail));
    }
    Ok(())
}

/// Reads the complete body of a request.
///
/// # Errors
///
/// [`Code::BodyTooLarge`], [`Code::BodyTimeout`] or [`Code::BadRequest`].
pub async fn read_body(mut body: Incoming, limits: &Limits) -> Result<Bytes, Problem> {
    let too_large = || {
        let detail = format!("the body exceeds {} bytes", limits.max_body_bytes);
        Problem::new(Code::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(too_large());
    }
    let progress = Duration::from_millis(limits.progress_timeout_ms);
    let mut buffer = BytesMut::new();
    loop {
        match timeout(progress, body.frame()).await {
            Err(_) => {
                let detail = format!("no progress for {} ms", limits.progress_timeout_ms);
                return Err(Problem::new(Code::BodyTimeout, detail));
            }
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(e))) => return Err(Problem::new(Code::BadRequest, e.to_string())),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    if buffer.len() + data.len() > limits.max_body_bytes {
                        return Err(too_large());
                    }
                    buffer.extend_from_slice(data);
                }
            }
        }
    }
}

/// Returns when the caller stops waiting: its `x-deadline-ms`, but at most the entry's deadline.
///
/// # Errors
///
/// [`Code::BadDeadline`].
pub fn deadline(headers: &HeaderMap, entry_deadline_ms: u64) -> Result<Instant, Problem> {
    let limit_ms = match headers.get("x-deadline-ms") {
        None => entry_deadline_ms,
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok())
            .filter(|ms| *ms > 0)
            .ok_or_else(|| {
                Problem::new(Code::BadDeadline, "expected whole milliseconds above 0")
            })?,
    };
    Ok(Instant::now() + Duration::from_millis(limit_ms.min(entry_deadline_ms)))
}

/// Value of a header as text; `None` if the header is missing or not text.
pub fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// The idempotency key that a non-repeatable request must carry.
///
/// # Errors
///
/// [`Code::MissingIdempotencyKey`], or [`Code::BadRequest`] when it is too long.
pub fn idempotency_key(headers: &HeaderMap) -> Result<String, Problem> {
    let key = header_text(headers, "idempotency-key").filter(|key| !key.trim().is_empty());
    let Some(key) = key else {
        let detail = "expected a header Idempotency-Key with a unique key for this order";
        return Err(Problem::new(Code::MissingIdempotencyKey, detail));
    };
    if key.len() > MAX_KEY_BYTES {
        let detail = format!("Idempotency-Key exceeds {MAX_KEY_BYTES} bytes");
        return Err(Problem::new(Code::BadRequest, detail));
    }
    Ok(key)
}
