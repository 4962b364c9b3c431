//! Problem objects, the only form in which callers receive errors.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use yuccacove::code::{Code, Outcome};

/// Wait suggested to callers if waiting helps.
const RETRY_AFTER_S: u64 = 1;

/// An error as a caller receives it.
#[derive(Debug, Clone)]
pub struct Problem {
    /// Result code.
    pub code: Code,
    /// Human-readable detail.
    pub detail: String,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Seconds after which the caller may retry; `None` if waiting does not help.
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Creates a problem with the default outcome of its code.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        let waiting_helps = matches!(code.number(), 2001..=2009 | 2011 | 2012 | 3005);
        Self {
            code,
            detail: detail.into(),
            outcome: code.outcome(),
            retry_after_s: waiting_helps.then_some(RETRY_AFTER_S),
        }
    }

    /// Replaces the outcome with a more precise one.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// The problem object for the request with `request_id`.
    pub fn to_json(&self, request_id: &str) -> Value {
        json!({
            "type": format!("urn:yuccacove:code:{}", self.code.number()),
            "title": self.code.title(),
            "status": self.code.http_status(),
            "detail": self.detail,
            "code": self.code.number(),
            "outcome": self.outcome.name(),
            "request_id": request_id,
        })
    }

    /// The HTTP response for the request with `request_id`.
    pub fn to_response(&self, request_id: &str) -> Response<Full<Bytes>> {
        let body = self.to_json(request_id).to_string();
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
