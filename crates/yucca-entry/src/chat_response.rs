//! Responses to chat requests, as a stream or as one object.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderValue, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame};
use serde_json::json;
use tokio::sync::mpsc::Receiver;
use yuccacove::code::Code;

use crate::caller_response::{CallerResponse, set_header};
use crate::chat::ChatEvent;
use crate::problem::Problem;

/// Identifiers in each chunk of a stream and in a complete response.
#[derive(Debug, Clone)]
pub struct ResponseIds {
    /// Id of the request.
    pub request_id: String,
    /// Name of the entry.
    pub entry: String,
}

/// Waits for the first token and returns a streamed response that starts with it.
///
/// # Errors
///
/// The problem of a request that ended before its first token.
pub async fn streamed(
    ids: ResponseIds,
    mut events: Receiver<ChatEvent>,
) -> Result<CallerResponse, Problem> {
    match events.recv().await {
        Some(first @ ChatEvent::Token { .. }) => {
            let served_by = served_by(&first);
            let mut body = EventBody {
                ids,
                events,
                ready: VecDeque::new(),
                is_ended: false,
            };
            body.push_event(first);
            let mut response = Response::new(body.boxed());
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
            set_header(headers, "x-served-by", &served_by);
            Ok(response)
        }
        Some(ChatEvent::Failed(problem)) => Err(problem),
        Some(ChatEvent::Done) | None => Err(ended_early()),
    }
}

/// Waits for all tokens and returns a response with one object.
///
/// # Errors
///
/// The problem of a request that ended without a complete response.
pub async fn complete(
    ids: ResponseIds,
    mut events: Receiver<ChatEvent>,
) -> Result<CallerResponse, Problem> {
    let mut content = String::new();
    let mut reason = None;
    let mut engine = String::new();
    let mut tokens = 0_u64;
    loop {
        match events.recv().await {
            Some(ChatEvent::Token {
                served_by,
                text,
                finish_reason,
            }) => {
                content.push_str(&text);
                reason = finish_reason;
                engine = served_by;
                tokens += 1;
            }
            Some(ChatEvent::Done) => break,
            Some(ChatEvent::Failed(problem)) => return Err(problem),
            None => return Err(ended_early()),
        }
    }
    let body = json!({
        "id": ids.request_id,
        "object": "chat.completion",
        "model": ids.entry,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": reason,
        }],
        "usage": { "completion_tokens": tokens },
    });
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())).boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_header(headers, "x-served-by", &engine);
    Ok(response)
}

fn served_by(event: &ChatEvent) -> String {
    match event {
        ChatEvent::Token { served_by, .. } => served_by.clone(),
        ChatEvent::Done | ChatEvent::Failed(_) => String::new(),
    }
}

/// Problem for a missing result, possible only if the task that runs the request panicked.
fn ended_early() -> Problem {
    Problem::new(Code::OutcomeUnknown, "the request ended without a result")
}

/// Body of server-sent events; dropping it cancels the request.
struct EventBody {
    ids: ResponseIds,
    events: Receiver<ChatEvent>,
    ready: VecDeque<Bytes>,
    is_ended: bool,
}

impl EventBody {
    fn push_event(&mut self, event: ChatEvent) {
        match event {
            ChatEvent::Token {
                text,
                finish_reason,
                ..
            } => {
                let chunk = json!({
                    "id": self.ids.request_id,
                    "object": "chat.completion.chunk",
                    "model": self.ids.entry,
                    "choices": [{
                        "index": 0,
                        "delta": { "content": text },
                        "finish_reason": finish_reason,
                    }],
                });
                self.ready
                    .push_back(Bytes::from(format!("data: {chunk}\n\n")));
            }
            ChatEvent::Done => {
                self.ready
                    .push_back(Bytes::from_static(b"data: [DONE]\n\n"));
                self.is_ended = true;
            }
            ChatEvent::Failed(problem) => self.fail(&problem),
        }
    }

    fn fail(&mut self, problem: &Problem) {
        let problem = problem.to_json(&self.ids.request_id);
        self.ready
            .push_back(Bytes::from(format!("event: error\ndata: {problem}\n\n")));
        self.is_ended = true;
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            if self.is_ended {
                return Poll::Ready(None);
            }
            match self.events.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(event)) => self.push_event(event),
                Poll::Ready(None) => self.fail(&ended_early()),
            }
        }
    }
}
