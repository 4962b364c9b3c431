//! A chat request from its acceptance to its end.

use std::sync::Arc;

use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, timeout_at};
use yucca_io::memory::MemoryGuard;
use yuccacove::catalogue::Entry;

use crate::chat_execution::{ChatExecution, End};
use crate::chat_request::ChatRequest;
use crate::host::Host;
use crate::probe;
use crate::problem::Problem;
use crate::request_end;

/// Events of a running request, from which the response to the caller is built.
#[derive(Debug)]
pub enum ChatEvent {
    /// The next token; the first one names the engine that generates it.
    Token {
        /// Name of the engine.
        served_by: String,
        /// Text of the token.
        text: String,
        /// Why generation ended, in the last token.
        finish_reason: Option<String>,
    },
    /// The response is complete.
    Done,
    /// The request ended without a complete response.
    Failed(Problem),
}

/// A chat request with its catalogue entry and its deadline.
#[derive(Debug, Clone)]
pub struct ChatContext {
    /// Id of the request.
    pub request_id: String,
    /// The entry named by `request.entry`.
    pub entry: Entry,
    /// Validated body of the request.
    pub request: ChatRequest,
    /// The caller's trace context.
    pub traceparent: Option<String>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Memory that the request takes.
    pub memory: Arc<MemoryGuard>,
}

/// Runs the request of `context` and sends its events. The request ends early when the receiver is
/// dropped, which cancels the work on the engine.
pub async fn run(host: Arc<Host>, context: ChatContext, events: Sender<ChatEvent>) {
    let mut execution = ChatExecution::new(&host, &context, &events);
    let end = tokio::select! {
        biased;
        end = timeout_at(context.deadline, execution.run()) => {
            end.unwrap_or_else(|_| End::Failed(execution.deadline_problem()))
        }
        () = events.closed() => End::CallerGone,
    };
    let (id, entry) = (&context.request_id, &context.request.entry);
    let fields = execution.log_fields();
    if !matches!(end, End::Complete)
        && let Some(engine) = execution.take_current()
    {
        // Stops the engine from generating a response that nobody reads.
        let _ = probe::cancel(engine.address, id, host.timing.probe_ms).await;
    }
    drop(execution);
    match end {
        End::Complete => request_end::completed(&host, id, entry, &fields),
        End::CallerGone => request_end::cancelled(&host, id, entry, &fields),
        End::Failed(problem) => {
            request_end::failed(&host, id, entry, &problem);
            // Fails only if the caller has disconnected and needs no response.
            let _ = events.send(ChatEvent::Failed(problem)).await;
        }
    }
}
