//! Calls to plain services.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{ACCEPT, CONTENT_TYPE, HOST, HeaderName};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::answer::{Answer, set_header};
use crate::backend_fault::Fault;
use crate::choose::ChosenServer;
use crate::host::Host;
use yucca_io::connections::Connection;

/// Largest answer of a plain service; answers are checked whole before they are passed on.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// Headers of the caller that the service receives.
const PASSED_ON: [&str; 3] = ["idempotency-key", "traceparent", "accept-language"];
/// Headers of the service that the caller receives.
const PASSED_BACK: [&str; 5] = [
    "content-type",
    "location",
    "etag",
    "cache-control",
    "retry-after",
];

/// A call as the caller made it.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Id that the answer must carry.
    pub request_id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Target for the whole answer.
    pub first_token_ms: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A whole answer of a plain service.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl PlainAnswer {
    /// The response to the caller; `served_by` is empty for an answer that was kept.
    pub fn into_answer(self, served_by: &str) -> Answer {
        let mut response = Response::new(Full::new(self.body).boxed());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        if !served_by.is_empty() {
            set_header(response.headers_mut(), "x-served-by", served_by);
        }
        response
    }
}

/// Whether a call may use a connection that was idle before. The back end may close it just then,
/// after which nobody knows whether the call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The call is idempotent.
    Allowed,
    /// The call may run only once.
    Forbidden,
}

/// Sends `call` to `server` and reads its whole answer.
///
/// # Errors
///
/// Any [`Fault`] but `WrongVersion` and `Status`.
pub async fn send(
    host: &Host,
    server: &ChosenServer,
    call: &PlainCall,
    reuse: Reuse,
) -> Result<PlainAnswer, Fault> {
    let request = to_http(server, call).map_err(|e| Fault::NotConnected(e.to_string()))?;
    let connection = match reuse {
        Reuse::Allowed => host.pool.get(server.address).await,
        Reuse::Forbidden => host.pool.open(server.address).await,
    };
    let mut connection = connection.map_err(Fault::NotConnected)?;
    let bound = host.timing.first_byte(call.first_token_ms);
    let mut response = sent(&mut connection, request.clone(), bound).await;
    if connection.is_reused() && matches!(response, Err(Fault::Broken(_))) {
        connection = host
            .pool
            .open(server.address)
            .await
            .map_err(Fault::NotConnected)?;
        response = sent(&mut connection, request, bound).await;
    }
    let (parts, body) = response?.into_parts();
    let answered = parts.headers.get("x-request-id");
    if answered.is_none_or(|id| id.as_bytes() != call.request_id.as_bytes()) {
        return Err(Fault::Crossed(format!(
            "expected {}, found {answered:?}",
            call.request_id
        )));
    }
    let body = read_answer(body, Duration::from_millis(host.timing.chunk_ms)).await?;
    host.pool.release(connection);
    let headers = PASSED_BACK
        .into_iter()
        .filter_map(|name| {
            let value = parts.headers.get(name)?.clone();
            Some((HeaderName::from_static(name), value))
        })
        .collect();
    Ok(PlainAnswer {
        status: parts.status,
        headers,
        body,
    })
}

fn to_http(server: &ChosenServer, call: &PlainCall) -> Result<Request<Full<Bytes>>, http::Error> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .header(HOST, server.address.to_string())
        .header("x-request-id", &call.request_id)
        .header("x-deadline-ms", left.as_millis().max(1).to_string())
        .body(Full::new(call.body.clone()))?;
    let passed_on = PASSED_ON
        .into_iter()
        .map(HeaderName::from_static)
        .chain([CONTENT_TYPE, ACCEPT]);
    for name in passed_on {
        if let Some(value) = call.headers.get(&name) {
            let value: HeaderValue = value.clone();
            request.headers_mut().insert(name, value);
        }
    }
    Ok(request)
}

async fn sent(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    bound: Duration,
) -> Result<Response<Incoming>, Fault> {
    match timeout(bound, connection.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(e)) => Err(Fault::Broken(e.to_string())),
        Err(_) => Err(Fault::Silent),
    }
}

async fn read_answer(mut body: Incoming, bound: Duration) -> Result<Bytes, Fault> {
    let mut whole = BytesMut::new();
    loop {
        match timeout(bound, body.frame()).await {
            Err(_) => return Err(Fault::Silent),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(e))) => return Err(Fault::Broken(e.to_string())),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    if whole.len() + data.len() > MAX_ANSWER_BYTES {
                        return Err(Fault::Broken("the answer is too large".to_owned()));
                    }
                    whole.extend_from_slice(data);
                }
            }
        }
    }
}
