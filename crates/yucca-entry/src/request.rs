//! Reads and checks callers' requests within the limits of the callers' port.

use std::time::Duration;

use http::HeaderMap;
use http::request::Parts;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;
use yucca_io::caller_body::{self, CallerBody};
use yucca_io::caller_connections::CallerConnection;
use yucca_io::settings::Limits;
use yuccacove::code::Code;

use crate::host::Host;
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
/// [`Code::BodyTooLarge`], [`Code::Overloaded`], [`Code::BodyTimeout`] or [`Code::BadRequest`].
pub async fn read_body(
    body: Incoming,
    host: &Host,
    caller: &CallerConnection,
) -> Result<CallerBody, Problem> {
    let limits = &host.limits;
    let declared_bytes = body.size_hint().exact();
    let declared_bytes = declared_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let max_bytes = limits.max_body_bytes;
    caller_body::read(body, declared_bytes, max_bytes, &host.memory, caller)
        .await
        .map_err(|code| Problem::new(code, refusal_detail(code, limits)))
}

fn refusal_detail(code: Code, limits: &Limits) -> String {
    match code {
        Code::BodyTooLarge => format!("the body exceeds {} bytes", limits.max_body_bytes),
        Code::BodyTimeout => format!("no progress for {} ms", limits.progress_timeout_ms),
        Code::Overloaded => "the host's memory is in use".to_owned(),
        _ => "the body is malformed or incomplete".to_owned(),
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
