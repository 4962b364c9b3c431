//! Response to a request that the engine stand-in has queued: waits for the tokens and sends them.

use std::sync::mpsc::Receiver;

use serde_json::json;

use crate::batch::Progress;
use crate::call::{Call, EventWriter};
use crate::proxy::Connection;

/// Response to a queued request whose tokens the step loop sends to `receiver`.
pub(crate) struct PendingResponse {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) model: String,
    pub(crate) prompt_tokens: usize,
    pub(crate) first_index: usize,
    pub(crate) end_index: usize,
    pub(crate) receiver: Receiver<Progress>,
}

impl PendingResponse {
    fn next_progress(&self) -> Progress {
        // The sender is dropped only with its request, after the last token or a final message.
        self.receiver.recv().unwrap_or(Progress::Cancelled)
    }

    pub(crate) fn respond_complete(self, call: Call, connection: &Connection) {
        let mut content = String::new();
        for _ in self.first_index..self.end_index {
            match self.next_progress() {
                Progress::Token { text, .. } => content += &text,
                other => return respond_unfinished(&other, call, connection),
            }
        }
        connection.clear_on_close();
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": "length",
            }],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.end_index - self.first_index,
            },
        });
        call.respond_with(200, &[("x-request-id", &self.id)], &body);
    }

    pub(crate) fn respond_stream(self, call: Call, connection: &Connection) {
        let first = self.next_progress();
        let Progress::Token { index, text } = first else {
            return respond_unfinished(&first, call, connection);
        };
        // A failed write means that the client has disconnected, which cancels the request.
        let Ok(mut events) = call.start_events(&[("x-request-id", &self.id)]) else {
            return;
        };
        if events.data(&self.chunk(index, &text)).is_err() {
            return;
        }
        for _ in index + 1..self.end_index {
            match self.next_progress() {
                Progress::Token { index, text } => {
                    if events.data(&self.chunk(index, &text)).is_err() {
                        return;
                    }
                }
                Progress::Interrupted => return connection.shutdown(),
                _ => {
                    connection.clear_on_close();
                    return end_cancelled(events);
                }
            }
        }
        // Cleared before the response ends, because the next request on this connection registers
        // its own close action.
        connection.clear_on_close();
        let _ = events.data("[DONE]").and_then(|()| events.end());
    }

    fn chunk(&self, index: usize, text: &str) -> String {
        let last = index + 1 == self.end_index;
        let finish_reason = last.then_some("length");
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "token_index": index,
            "choices": [{
                "index": 0,
                "delta": {"content": text},
                "finish_reason": finish_reason,
            }],
        })
        .to_string()
    }
}

fn end_cancelled(mut events: EventWriter) {
    let problem = json!({"status": 499, "detail": "request cancelled"});
    let _ = events
        .event("error", &problem.to_string())
        .and_then(|()| events.end());
}

/// Responds to a request that ended before any of its tokens was sent.
fn respond_unfinished(progress: &Progress, call: Call, connection: &Connection) {
    connection.clear_on_close();
    match progress {
        Progress::Interrupted => call.abort(),
        Progress::Expired => call.respond_error(504, "deadline passed before the request ran"),
        Progress::NotRun => call.respond_with(
            503,
            &[("retry-after", "1")],
            &json!({"status": 503, "state": "changing"}),
        ),
        Progress::Token { .. } | Progress::Cancelled => {
            call.respond_error(499, "request cancelled");
        }
    }
}
