//! A caller's request after it was decoded.

use bytes::Bytes;
use http::{HeaderMap, Method};

/// A request with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Name of the host that the caller addressed, without a port.
    pub host: String,
    /// Path with the query, as received.
    pub path_and_query: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time for which the caller waits, from the receipt of the request.
    pub deadline_ms: Option<u64>,
    /// Prompt of a generation.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller already has, when it resumes a stream.
    pub resume_after: Option<u64>,
}

impl Request {
    /// Path without the query.
    pub fn path(&self) -> &str {
        match self.path_and_query.split_once('?') {
            Some((path, _)) => path,
            None => &self.path_and_query,
        }
    }

    /// Size of what is sent to a back end, in kilobytes.
    pub fn size_kb(&self) -> f64 {
        const HEAD_KB: f64 = 0.4;
        HEAD_KB + self.body.len() as f64 / 1_024.0
    }
}

/// The prompt of a generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: String,
    /// Prompt tokens.
    pub tokens: u32,
    /// Largest number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the prompt in order; requests share leading parts.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}
