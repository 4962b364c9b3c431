//! Sends one request of a trace and reads its response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};
use yuccacove::catalogue::{Class, Entry};

use crate::check::{ChatStream, Outcome, OutcomeKind, check_plain};
use crate::connections::{Connections, SendError};
use crate::prompt::prompt;
use crate::trace::Row;

/// Time past the entry's deadline after which the client stops waiting.
const DEADLINE_SLACK_MS: u64 = 5_000;

/// A request to be sent.
pub struct LoadRequest {
    entry_name: String,
    entry: Entry,
    output_tokens: usize,
    /// Prompt, path or body, from which the expected response is derived.
    content: String,
    http: Request<Full<Bytes>>,
}

/// Result of sending a request.
pub enum Received {
    /// Final outcome, with or without a response.
    Outcome(Outcome),
    /// A stream that is yet to be checked, because its tokens depend on the model version of the
    /// engine.
    Stream(ChatStream),
}

impl LoadRequest {
    /// Builds the request of row number `index`. `key` is the idempotency key of an order.
    ///
    /// # Errors
    ///
    /// If the path, method or key is not valid in an HTTP request.
    pub fn new(row: &Row, index: usize, entry: &Entry, key: Option<&str>) -> anyhow::Result<Self> {
        let mut builder = Request::builder().header("host", "entry-host");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let method = entry.methods.first().map_or("POST", String::as_str);
        let (content, builder, body) = match entry.class {
            Class::Chat => {
                let prompt = prompt(row, index);
                let body = json!({
                    "model": row.entry,
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": row.output_tokens,
                    "stream": true,
                });
                let builder = builder.method("POST").uri("/v1/chat/completions");
                (prompt, builder, body.to_string())
            }
            Class::Read => {
                let path = format!("{}/item-{index}", entry.path_prefix.trim_end_matches('/'));
                let builder = builder.method(method).uri(&path);
                (path, builder, String::new())
            }
            Class::Order => {
                // Requests with the same key must have the same body.
                let body = json!({"order": key, "item": "beam-24"}).to_string();
                let builder = builder.method(method).uri(&entry.path_prefix);
                (body.clone(), builder, body)
            }
        };
        Ok(Self {
            entry_name: row.entry.clone(),
            entry: entry.clone(),
            output_tokens: row.output_tokens,
            content,
            http: builder
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(body)))?,
        })
    }

    /// Name of the catalogue entry.
    pub fn entry_name(&self) -> &str {
        &self.entry_name
    }

    /// Name of the entry's rank.
    pub fn rank(&self) -> &'static str {
        self.entry.rank.name()
    }

    /// Checks the stream that was received; see [`ChatStream::check`].
    pub fn check(&self, stream: &ChatStream, versions: &[(String, String)]) -> Outcome {
        stream.check(&self.entry, &self.content, self.output_tokens, versions)
    }

    /// Sends the request to the first of `hosts` that accepts a connection, as a load balancer
    /// would, and reads the response. Also returns the number of hosts that did not accept a
    /// connection.
    pub async fn send(&self, connections: &Connections, hosts: &[SocketAddr]) -> (Received, usize) {
        let started = Instant::now();
        let timeout_ms = self.entry.deadline_ms + DEADLINE_SLACK_MS;
        let deadline = started + Duration::from_millis(timeout_ms);
        let broken = |detail| Received::Outcome(Outcome::of_lost_connection(&self.entry, detail));
        for (passed_over, address) in hosts.iter().enumerate() {
            let send = connections.send(*address, self.http.clone());
            let (response, sender) = match timeout_at(deadline, send).await {
                Ok(Ok(exchange)) => exchange,
                Ok(Err(SendError::NotSent(_))) => continue,
                Ok(Err(SendError::Broken(detail))) => return (broken(detail), passed_over),
                Err(_) => return (self.timed_out(timeout_ms), passed_over),
            };
            let received = if response.status() == 200 && self.entry.class == Class::Chat {
                Received::Stream(read_stream(response, started, deadline).await)
            } else {
                match timeout_at(deadline, self.read_complete(response, started)).await {
                    Ok(outcome) => Received::Outcome(outcome),
                    Err(_) => self.timed_out(timeout_ms),
                }
            };
            connections.release(*address, sender);
            return (received, passed_over);
        }
        let detail = "no entry host accepts a connection";
        let outcome = Outcome::without_response(OutcomeKind::Failed, detail);
        (Received::Outcome(outcome), hosts.len())
    }

    fn timed_out(&self, timeout_ms: u64) -> Received {
        let detail = format!("no whole answer in {timeout_ms} ms");
        Received::Outcome(Outcome::without_response(OutcomeKind::Unknown, detail))
    }

    async fn read_complete(&self, response: Response<Incoming>, started: Instant) -> Outcome {
        let status = response.status().as_u16();
        let body = match response.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Outcome::of_lost_connection(&self.entry, error.to_string()),
        };
        if status == 200 {
            check_plain(
                &self.entry,
                self.content.as_bytes(),
                &body,
                started.elapsed(),
            )
        } else {
            Outcome::of_problem(&self.entry, status, &body)
        }
    }
}

async fn read_stream(
    response: Response<Incoming>,
    started: Instant,
    deadline: Instant,
) -> ChatStream {
    let request_id = response.headers().get("x-request-id");
    let mut stream = ChatStream {
        request_id: request_id
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        ..ChatStream::default()
    };
    let mut body = response.into_body();
    let mut buffer = Vec::new();
    // Reads to the end of the body to detect events after [DONE].
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buffer.extend_from_slice(data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            stream.apply_event(&String::from_utf8_lossy(&event), started.elapsed());
        }
    }
    stream
}

impl ChatStream {
    fn apply_event(&mut self, event: &str, at: Duration) {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let Some(data) = data else {
            return;
        };
        if event.starts_with("event: error") {
            self.error = Some(data.to_owned());
        } else if data == "[DONE]" {
            self.done = true;
        } else {
            // Data that is not a chunk is recorded as a token that no correct response contains.
            let chunk: Value = serde_json::from_str(data).unwrap_or_default();
            let choice = &chunk["choices"][0];
            let text = choice["delta"]["content"].as_str().unwrap_or("no chunk");
            self.tokens.push((at, text.to_owned()));
            self.ids
                .insert(chunk["id"].as_str().unwrap_or("").to_owned());
            self.finished = choice["finish_reason"].is_string();
            self.done = false;
        }
    }
}
