//! The body of a chat request.

use std::sync::Arc;

use serde_json::Value;
use yuccacove::code::Code;

use crate::problem::Problem;

/// A validated body.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Name of the catalogue entry.
    pub entry: String,
    /// Whether the caller wants a streamed response.
    pub is_stream: bool,
    /// Prompt size in whitespace-separated words.
    pub prompt_tokens: u64,
    /// Largest number of output tokens; 0 if the caller sets none.
    pub max_tokens: u64,
    /// Contents of all messages in order, joined with spaces.
    pub prompt: String,
    /// The body as received.
    pub body: Arc<Value>,
}

impl ChatRequest {
    /// Parses and validates `body`.
    ///
    /// # Errors
    ///
    /// [`Code::BadRequest`] that names the invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let bad = |detail: String| Problem::new(Code::BadRequest, detail);
        let body: Value =
            serde_json::from_slice(body).map_err(|e| bad(format!("body is not JSON: {e}")))?;
        let entry = body["model"]
            .as_str()
            .ok_or_else(|| bad("model: expected the name of an entry".to_owned()))?
            .to_owned();
        let messages = body["messages"]
            .as_array()
            .filter(|messages| !messages.is_empty())
            .ok_or_else(|| bad("messages: expected at least one".to_owned()))?;
        let mut contents = Vec::with_capacity(messages.len());
        for (i, message) in messages.iter().enumerate() {
            match (message["role"].as_str(), message["content"].as_str()) {
                (Some(_), Some(content)) => contents.push(content),
                _ => return Err(bad(format!("messages[{i}]: expected role and content"))),
            }
        }
        let prompt = contents.join(" ");
        let max_tokens = match &body["max_tokens"] {
            Value::Null => 0,
            value => value
                .as_u64()
                .filter(|n| *n > 0)
                .ok_or_else(|| bad("max_tokens: expected a whole number above 0".to_owned()))?,
        };
        let is_stream = match &body["stream"] {
            Value::Null => false,
            Value::Bool(is_stream) => *is_stream,
            _ => return Err(bad("stream: expected true or false".to_owned())),
        };
        Ok(Self {
            entry,
            is_stream,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            max_tokens,
            prompt,
            body: Arc::new(body),
        })
    }
}
