//! HTTP calls that a test makes as a caller.

use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use ureq::Agent;
use ureq::http::Response;
use yucca_standins::answer;

/// Timeout of a call. It only ends tests that have already failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client that opens a new connection for each call.
pub struct Caller {
    agent: Agent,
}

/// Response that is not streamed.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Body; null if it is not JSON.
    pub body: Value,
    /// Value of the `x-served-by` header; empty if absent.
    pub served_by: String,
}

impl CallResponse {
    /// Result code of a problem object; 0 for other responses.
    pub fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or(0)
    }

    /// Outcome of a problem object; empty for other responses.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or("")
    }
}

/// A chat response that is being streamed.
pub struct ChatStream {
    lines: Lines<BufReader<ureq::BodyReader<'static>>>,
    /// Engine that started the response.
    pub served_by: String,
    content: String,
}

impl Default for Caller {
    fn default() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Self { agent }
    }
}

impl Caller {
    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// If no response arrives.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<CallResponse, ureq::Error> {
        let response = self.agent.get(format!("http://{address}{path}")).call()?;
        Ok(read(response))
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// If no response arrives.
    pub fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<CallResponse, ureq::Error> {
        let request = self.agent.post(format!("http://{address}{path}"));
        Ok(read(request.send_json(body)?))
    }

    /// Places an order with an idempotency key.
    ///
    /// # Errors
    ///
    /// If no response arrives.
    pub fn order(&self, address: SocketAddr, key: &str) -> Result<CallResponse, ureq::Error> {
        let request = self.agent.post(format!("http://{address}/orders"));
        let response = request
            .header("Idempotency-Key", key)
            .send_json(json!({ "item": "truss", "key": key }))?;
        Ok(read(response))
    }

    /// Starts a streamed chat request for `tokens` tokens.
    ///
    /// # Errors
    ///
    /// The response, if its status is not 200.
    ///
    /// # Panics
    ///
    /// If no response arrives.
    pub fn chat(
        &self,
        address: SocketAddr,
        entry: &str,
        content: &str,
        tokens: usize,
    ) -> Result<ChatStream, CallResponse> {
        let body = json!({
            "model": entry,
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": tokens,
            "stream": true,
        });
        let url = format!("http://{address}/v1/chat/completions");
        let response = self.agent.post(url).send_json(&body).expect("no response");
        if response.status().as_u16() != 200 {
            return Err(read(response));
        }
        let served_by = served_by(&response);
        let reader = response.into_body().into_reader();
        Ok(ChatStream {
            lines: BufReader::new(reader).lines(),
            served_by,
            content: content.to_owned(),
        })
    }
}

impl ChatStream {
    /// The next token, or `None` after the end of a complete response.
    ///
    /// # Panics
    ///
    /// If the stream breaks off or ends with an error event.
    pub fn next_token(&mut self) -> Option<String> {
        loop {
            let line = self.lines.next().expect("the stream ended without [DONE]");
            let line = line.expect("cannot read the stream");
            assert!(
                !line.starts_with("event: error"),
                "the stream ended with an error event"
            );
            match line.strip_prefix("data: ") {
                Some("[DONE]") => return None,
                Some(data) => {
                    let chunk: Value = serde_json::from_str(data).expect("the chunk is not JSON");
                    let text = &chunk["choices"][0]["delta"]["content"];
                    return Some(text.as_str().unwrap_or_default().to_owned());
                }
                None => {}
            }
        }
    }

    /// Reads the remaining tokens and checks that the complete text, which begins with `first`, is
    /// the one that `model` generates for this request.
    ///
    /// # Panics
    ///
    /// If the text differs, or the stream breaks off or ends with an error event.
    pub fn expect_complete(mut self, first: &str, model: &str, version: &str, tokens: usize) {
        let mut text = first.to_owned();
        while let Some(token) = self.next_token() {
            text.push_str(&token);
        }
        let expected = answer::text(model, version, &self.content, 0..tokens);
        assert_eq!(text.trim(), expected.trim());
    }
}

fn read(mut response: Response<ureq::Body>) -> CallResponse {
    let status = response.status().as_u16();
    let served_by = served_by(&response);
    let text = response.body_mut().read_to_string().unwrap_or_default();
    CallResponse {
        status,
        body: serde_json::from_str(&text).unwrap_or(Value::Null),
        served_by,
    }
}

fn served_by(response: &Response<ureq::Body>) -> String {
    let value = response.headers().get("x-served-by");
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
