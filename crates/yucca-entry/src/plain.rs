//! Calls to plain services.

use std::time::Duration;

use http::header::{ACCEPT, CONTENT_TYPE, HOST, HeaderName};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout};

use crate::backend_fault::Fault;
use crate::caller_response::{CallerResponse, HeldBody, set_header};
use crate::choose::ChosenServer;
use crate::host::Host;
use yucca_io::body_buffer::BodyBuffer;
use yucca_io::caller_body::CallerBody;
use yucca_io::connections::Connection;
use yucca_io::segmented_body::SegmentedBody;
use yuccacove::memory_budget::Purpose;
use yuccacove::response_check::is_final_status;

/// Largest response of a plain service; responses are read completely and checked before they are
/// forwarded.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// Headers of a caller's request that are forwarded to the service, besides `Content-Type` and
/// `Accept`.
const FORWARDED_REQUEST_HEADERS: [&str; 3] = ["idempotency-key", "traceparent", "accept-language"];
/// Headers of the service's response that are forwarded to the caller.
const FORWARDED_RESPONSE_HEADERS: [&str; 5] = [
    "content-type",
    "location",
    "etag",
    "cache-control",
    "retry-after",
];

/// A call as the caller made it.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Id that the response must carry.
    pub request_id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: CallerBody,
    /// Target time of the complete response, in milliseconds.
    pub first_token_ms: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A complete response of a plain service.
#[derive(Debug, Clone)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body for the caller.
    pub body: CallerBody,
}

impl PlainResponse {
    /// Converts to the response to the caller; `served_by` is empty for a stored response.
    pub fn into_response(self, served_by: &str) -> CallerResponse {
        let mut response = Response::new(HeldBody::from(self.body).boxed());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        if !served_by.is_empty() {
            set_header(response.headers_mut(), "x-served-by", served_by);
        }
        response
    }
}

/// Whether a call may use an idle connection. The backend may close an idle connection at the
/// moment of the call, after which it is unknown whether the call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The call is idempotent.
    Allowed,
    /// The call may run only once.
    Forbidden,
}

/// Sends `call` to `server` and reads the complete response.
///
/// # Errors
///
/// Any [`Fault`] but `WrongVersion` and `Status`.
pub async fn send(
    host: &Host,
    server: &ChosenServer,
    call: &PlainCall,
    reuse: Reuse,
) -> Result<PlainResponse, Fault> {
    let request = to_http(server, call).map_err(|e| Fault::NotConnected(e.to_string()))?;
    let connection = match reuse {
        Reuse::Allowed => host.pool.get(server.address).await,
        Reuse::Forbidden => host.pool.open(server.address).await,
    };
    let mut connection = connection.map_err(|fault| Fault::NotConnected(fault.to_string()))?;
    let limit = host.timing.first_byte(call.first_token_ms);
    let mut response = send_request(&mut connection, request.clone(), limit).await;
    if connection.is_reused()
        && let Err(Fault::Broken(cause)) = &response
    {
        // The server had closed the idle connection. An idempotent call may be retried.
        let opened = host.pool.open(server.address).await;
        connection = opened.map_err(|e| Fault::broken_and_not_connected(cause, &e.to_string()))?;
        response = send_request(&mut connection, request, limit).await;
    }
    let (parts, body) = response?.into_parts();
    let response_id = parts.headers.get("x-request-id");
    if response_id.is_none_or(|id| id.as_bytes() != call.request_id.as_bytes()) {
        return Err(Fault::Crossed(format!(
            "expected {}, found {response_id:?}",
            call.request_id
        )));
    }
    if !is_final_status(parts.status.as_u16()) {
        return Err(Fault::Crossed(format!("status {}", parts.status)));
    }
    let body = read_response_body(host, body).await?;
    host.pool.release(connection);
    let headers = FORWARDED_RESPONSE_HEADERS
        .into_iter()
        .filter_map(|name| {
            let value = parts.headers.get(name)?.clone();
            Some((HeaderName::from_static(name), value))
        })
        .collect();
    Ok(PlainResponse {
        status: parts.status,
        headers,
        body,
    })
}

fn to_http(server: &ChosenServer, call: &PlainCall) -> Result<Request<SegmentedBody>, http::Error> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(HOST, server.address.to_string())
        .header("x-request-id", &call.request_id)
        .header("x-deadline-ms", left.as_millis().max(1).to_string())
        .body(SegmentedBody::new(call.body.segments().iter().cloned()))?;
    let forwarded = FORWARDED_REQUEST_HEADERS
        .into_iter()
        .map(HeaderName::from_static)
        .chain([CONTENT_TYPE, ACCEPT]);
    for name in forwarded {
        if let Some(value) = call.headers.get(&name) {
            let value: HeaderValue = value.clone();
            request.headers_mut().insert(name, value);
        }
    }
    Ok(request)
}

async fn send_request(
    connection: &mut Connection,
    request: Request<SegmentedBody>,
    limit: Duration,
) -> Result<Response<Incoming>, Fault> {
    match timeout(limit, connection.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(e)) => Err(Fault::Broken(e.to_string())),
        Err(_) => Err(Fault::Silent),
    }
}

async fn read_response_body(host: &Host, mut body: Incoming) -> Result<CallerBody, Fault> {
    let limit = Duration::from_millis(host.timing.chunk_ms);
    let too_large = || Fault::Broken("the answer is too large".to_owned());
    let declared_bytes = body.size_hint().exact();
    let declared_bytes = declared_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if declared_bytes.is_some_and(|bytes| bytes > MAX_RESPONSE_BYTES) {
        return Err(too_large());
    }
    let guard = host.memory.guard(Purpose::Response);
    let mut buffer = BodyBuffer::new(guard, declared_bytes, MAX_RESPONSE_BYTES);
    loop {
        match timeout(limit, body.frame()).await {
            Err(_) => return Err(Fault::Silent),
            Ok(None) => return Ok(buffer.into()),
            Ok(Some(Err(e))) => return Err(Fault::Broken(e.to_string())),
            Ok(Some(Ok(frame))) => {
                let Some(data) = frame.data_ref() else {
                    continue;
                };
                if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
                    return Err(too_large());
                }
                let reserve = || buffer.try_reserve(data.len());
                if !host.connections.reserve_body(reserve).await {
                    return Err(Fault::NoMemory);
                }
                // There is room for it.
                let _ = buffer.try_push(data);
            }
        }
    }
}
