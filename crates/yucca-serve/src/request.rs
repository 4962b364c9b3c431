//! A caller's request in decoded form.

use std::rc::Rc;

use http::{HeaderMap, Method};

use crate::caller_body::CallerBody;
use crate::organisations::ApiKey;

/// A request with its complete body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Id that the caller chose; a retry by the caller has another id.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Name of the host that the caller addressed, without a port.
    pub host: String,
    /// Path with the query, as received.
    pub path_and_query: String,
    /// Headers to forward to the backend.
    pub headers: HeaderMap,
    /// Request body.
    pub body: CallerBody,
    /// Time for which the caller waits, from the receipt of the request; `None` if it set no
    /// deadline.
    pub deadline_ms: Option<u64>,
    /// Prompt of a generation; `None` for a request to a plain service.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has received; set when it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the caller's try that brought the first event of the stream; `None` if the caller names none.
    pub resumed_id: Option<String>,
    /// API key that the caller sent; `None` if it sent none or several.
    pub api_key: Option<ApiKey>,
    /// Name of the organisation of the API key, which the back end receives; `None` until the key was
    /// checked, and if no key is needed.
    pub organisation: Option<Rc<str>>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        match self.path_and_query.split_once('?') {
            Some((path, _)) => path,
            None => &self.path_and_query,
        }
    }

    /// Returns the approximate size of the request to a backend, in kilobytes.
    pub fn size_kb(&self) -> f64 {
        /// Approximate size of the request line and the headers.
        const HEAD_KB: f64 = 0.4;
        HEAD_KB + self.body.len() as f64 / 1_024.0
    }
}

/// The prompt of a generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the prompt in order; requests with a shared prefix have the same leading parts.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}
