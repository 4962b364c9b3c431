//! A stream of tokens from an engine. Each token must belong to the request and be the next in
//! order.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

use crate::backend_fault::Fault;
use crate::probe;
use crate::sse::SseParser;
use yucca_io::connections::{Connection, Pool};
use yucca_io::memory::MemoryGuard;
use yucca_io::segmented_body::SegmentedBody;

/// Part of a stream that fits into the memory that each request in progress reserves.
const RESERVED_EVENT_BYTES: usize = 4 * 1_024;
/// Copies of an event while it is decoded. The buffer doubles when it grows.
const EVENT_COPIES: usize = 4;

/// A chat request as an engine receives it.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Id that each chunk must carry.
    pub request_id: String,
    /// Model name that the engine serves.
    pub model: String,
    /// Model version that the engine must serve.
    pub version: String,
    /// Priority, 0 is the most urgent.
    pub rank: usize,
    /// The caller's trace context.
    pub traceparent: Option<String>,
    /// The caller's body.
    pub body: Arc<Value>,
    /// Number of tokens that the caller already has; the stream starts after them.
    pub next_index: u64,
    /// Text of these tokens.
    pub text_so_far: String,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl EngineRequest {
    fn to_http(&self) -> Result<Request<SegmentedBody>, http::Error> {
        let mut body = Value::clone(&self.body);
        body["model"] = json!(self.model);
        body["stream"] = json!(true);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header("x-request-id", &self.request_id)
            .header("x-model-version", &self.version)
            .header("x-rank", self.rank)
            .header("x-deadline-ms", left.as_millis().max(1).to_string());
        if let Some(traceparent) = &self.traceparent {
            request = request.header("traceparent", traceparent);
        }
        if self.next_index > 0 {
            request = request.header("x-resume-from", self.next_index);
            body["resume_text"] = json!(self.text_so_far);
        }
        request.body(SegmentedBody::from(Bytes::from(body.to_string())))
    }
}

/// A validated event of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next token.
    Token {
        /// Text of the token.
        text: String,
        /// Why generation ended, in the last chunk.
        finish_reason: Option<String>,
    },
    /// The end of a complete response.
    Done,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    token_index: u64,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// An open stream; dropping it closes its connection.
pub struct EngineStream {
    connection: Connection,
    body: Incoming,
    parser: SseParser,
    /// Memory for long events. The buffer keeps its size until the end of the stream.
    memory: MemoryGuard,
    memory_bytes: usize,
    request_id: String,
    next_index: u64,
    is_finished: bool,
}

/// Time limits for the progress of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamTimeouts {
    /// Time until the first token.
    pub first: Duration,
    /// Time between two chunks.
    pub chunk: Duration,
    /// Time for a status probe, in milliseconds.
    pub probe_ms: u64,
}

impl EngineStream {
    /// Sends `request` over a connection of `pool`. `memory` is for long events.
    ///
    /// # Errors
    ///
    /// Any [`Fault`]; its [`Fault::reached_backend`] tells whether the engine may have run it.
    pub async fn open(
        pool: &Pool,
        request: &EngineRequest,
        timeouts: StreamTimeouts,
        memory: MemoryGuard,
    ) -> Result<Self, Fault> {
        let mut connection = pool
            .get(request.address)
            .await
            .map_err(|fault| Fault::NotConnected(fault.to_string()))?;
        let mut response = Self::send(&mut connection, request, timeouts).await;
        if connection.is_reused()
            && let Err(Fault::Broken(cause)) = &response
        {
            // The engine had closed the idle connection. A chat request may be retried.
            let opened = pool.open(request.address).await;
            connection =
                opened.map_err(|e| Fault::broken_and_not_connected(cause, &e.to_string()))?;
            response = Self::send(&mut connection, request, timeouts).await;
        }
        let response = response?;
        match response.status().as_u16() {
            200 => Ok(Self {
                connection,
                body: response.into_body(),
                parser: SseParser::default(),
                memory,
                memory_bytes: 0,
                request_id: request.request_id.clone(),
                next_index: request.next_index,
                is_finished: false,
            }),
            409 => Err(Fault::WrongVersion),
            status => Err(Fault::Status(status)),
        }
    }

    async fn send(
        connection: &mut Connection,
        request: &EngineRequest,
        timeouts: StreamTimeouts,
    ) -> Result<Response<Incoming>, Fault> {
        let http = request
            .to_http()
            .map_err(|e| Fault::NotConnected(e.to_string()))?;
        let mut response = pin!(connection.send(http));
        let mut extended = false;
        loop {
            match timeout(timeouts.first, &mut response).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(e)) => return Err(Fault::Broken(e.to_string())),
                // An engine with a queue is slow rather than unresponsive, so the time limit is
                // applied once more.
                Err(_)
                    if !extended
                        && probe::status(request.address, timeouts.probe_ms)
                            .await
                            .is_ok_and(|s| s.waiting > 0) =>
                {
                    extended = true;
                }
                Err(_) => return Err(Fault::Silent),
            }
        }
    }

    /// Returns the next event, or a fault if none arrives within `limit`.
    ///
    /// # Errors
    ///
    /// [`Fault::Silent`], [`Fault::Broken`], [`Fault::NoMemory`] or [`Fault::Crossed`]; the stream must not be used
    /// after that.
    pub async fn next(&mut self, limit: Duration) -> Result<EngineEvent, Fault> {
        loop {
            if let Some(data) = self.parser.next_data() {
                return self.check(&data);
            }
            match timeout(limit, self.body.frame()).await {
                Err(_) => return Err(Fault::Silent),
                Ok(None) => return Err(Fault::Broken("stream ended without [DONE]".to_owned())),
                Ok(Some(Err(e))) => return Err(Fault::Broken(e.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.reserve(bytes.len())?;
                        self.parser
                            .push(bytes)
                            .map_err(|_| Fault::Broken("event too long".to_owned()))?;
                    }
                }
            }
        }
    }

    /// Reserves the memory to buffer and decode `more` bytes.
    fn reserve(&mut self, more: usize) -> Result<(), Fault> {
        let long_bytes = (self.parser.len() + more).saturating_sub(RESERVED_EVENT_BYTES);
        let needed = long_bytes * EVENT_COPIES;
        if needed > self.memory_bytes {
            if !self.memory.resize(needed) {
                return Err(Fault::NoMemory);
            }
            self.memory_bytes = needed;
        }
        Ok(())
    }

    /// Releases the connection to `pool` after [`EngineEvent::Done`].
    pub async fn finish(mut self, pool: &Pool, limit: Duration) {
        if let Ok(None) = timeout(limit, self.body.frame()).await {
            drop(self.body);
            pool.release(self.connection);
        }
    }

    fn check(&mut self, data: &str) -> Result<EngineEvent, Fault> {
        if data == "[DONE]" {
            return if self.is_finished {
                Ok(EngineEvent::Done)
            } else {
                Err(Fault::Broken("[DONE] without finish_reason".to_owned()))
            };
        }
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|e| Fault::Broken(format!("chunk is not readable: {e}")))?;
        if chunk.id != self.request_id || chunk.token_index != self.next_index {
            return Err(Fault::Crossed(format!(
                "expected {} token {}, found {} token {}",
                self.request_id, self.next_index, chunk.id, chunk.token_index
            )));
        }
        if self.is_finished {
            return Err(Fault::Broken("chunk after finish_reason".to_owned()));
        }
        self.next_index += 1;
        let choice = chunk.choices.into_iter().next();
        let (text, finish_reason) =
            choice.map_or((None, None), |c| (c.delta.content, c.finish_reason));
        self.is_finished = finish_reason.is_some();
        Ok(EngineEvent::Token {
            text: text.unwrap_or_default(),
            finish_reason,
        })
    }
}
