//! Looks up the entry of a request and runs the request.

use std::convert::Infallible;
use std::sync::Arc;

use http::request::Parts;
use http::{Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use yucca_io::caller_body::CallerBody;
use yucca_io::caller_connections::CallerConnection;
use yuccacove::catalogue::Class;
use yuccacove::code::{Code, Outcome};

use crate::admission::SlotRequest;
use crate::caller_response::{CallerResponse, set_header, with_request_end};
use crate::chat::{self, ChatContext};
use crate::chat_memory;
use crate::chat_request::ChatRequest;
use crate::chat_response::{self, ResponseIds};
use crate::host::Host;
use crate::orders::{self, Order};
use crate::plain::PlainCall;
use crate::problem::Problem;
use crate::quota;
use crate::reads;
use crate::request;
use crate::request_end;

/// Path of chat requests.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Tokens buffered for a caller; a caller that reads more slowly slows down the engine's stream.
const TOKEN_BUFFER: usize = 64;

/// Handles one request of a caller.
///
/// # Errors
///
/// Never; failed requests get a problem object as their response.
pub async fn handle(
    host: Arc<Host>,
    caller: Arc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let request_id = host.next_request_id();
    let mut response = match run(&host, &caller, &request_id, request).await {
        Ok(response) => response,
        Err(problem) => problem.to_response(&request_id).map(BodyExt::boxed),
    };
    let headers = response.headers_mut();
    set_header(headers, "x-request-id", &request_id);
    set_header(headers, "x-entry-host", &host.name);
    if host.stop.is_requested() {
        // The load balancer then sends the caller's next request to another host.
        set_header(headers, "connection", "close");
    }
    Ok(with_request_end(response, caller))
}

async fn run(
    host: &Arc<Host>,
    caller: &CallerConnection,
    request_id: &str,
    request: Request<Incoming>,
) -> Result<CallerResponse, Problem> {
    let (parts, body) = request.into_parts();
    let mut checked = request::check_headers(&parts, &host.limits).and_then(|()| admits_work(host));
    // A request that is refused anyway must not close other connections.
    if checked.is_ok() && !caller.begin_request().await {
        checked = Err(no_memory());
    }
    if let Err(problem) = checked {
        let problem = unclaimed(&parts, problem);
        request_end::failed(host, request_id, request_end::NO_ENTRY, &problem);
        return Err(problem);
    }
    if parts.method == Method::POST && parts.uri.path() == CHAT_PATH {
        run_chat(host, caller, request_id, &parts, body).await
    } else {
        run_plain(host, caller, request_id, &parts, body).await
    }
}

/// The problem for a request that ends before its claim was read. An earlier request with the same
/// idempotency key may have run, so `not_run` would mislead the caller.
fn unclaimed(parts: &Parts, problem: Problem) -> Problem {
    let has_key = request::idempotency_key(&parts.headers).is_ok();
    if has_key && parts.uri.path() != CHAT_PATH && problem.outcome == Outcome::NotRun {
        return problem.with_outcome(Outcome::Unknown);
    }
    problem
}

/// Reads the body of a request and reserves the memory to run it.
async fn receive(
    host: &Host,
    caller: &CallerConnection,
    body: Incoming,
) -> Result<CallerBody, Problem> {
    let body = request::read_body(body, host, caller).await?;
    if caller.run_request().await {
        return Ok(body);
    }
    Err(no_memory())
}

fn no_memory() -> Problem {
    let detail = "the host has no memory for another request";
    Problem::new(Code::Overloaded, detail)
}

async fn run_chat(
    host: &Arc<Host>,
    caller: &CallerConnection,
    request_id: &str,
    parts: &Parts,
    body: Incoming,
) -> Result<CallerResponse, Problem> {
    let refused = |problem| log_refusal(host, request_id, request_end::NO_ENTRY, problem);
    let body = receive(host, caller, body)
        .await
        .map_err(|problem| record_refused_body(host, request_id, problem))?;
    let memory = chat_memory::reserve(host, &body)
        .await
        .map_err(|problem| record_refused_body(host, request_id, problem))?;
    let chat = ChatRequest::parse(&body.contiguous()).map_err(refused)?;
    drop(body);
    let catalogue = host.catalogue.snapshot();
    let entry = catalogue
        .entry(&chat.entry)
        .filter(|entry| entry.class == Class::Chat)
        .ok_or_else(|| {
            let detail = format!("no chat entry {:?}", chat.entry);
            refused(Problem::new(Code::UnknownEntry, detail))
        })?;
    let deadline = request::deadline(&parts.headers, entry.deadline_ms).map_err(refused)?;
    let ids = ResponseIds {
        request_id: request_id.to_owned(),
        entry: chat.entry.clone(),
    };
    let is_stream = chat.is_stream;
    let context = ChatContext {
        request_id: request_id.to_owned(),
        entry: entry.clone(),
        request: chat,
        traceparent: request::header_text(&parts.headers, "traceparent"),
        deadline,
        memory: Arc::new(memory),
    };
    let (events, receiver) = mpsc::channel(TOKEN_BUFFER);
    tokio::spawn(chat::run(Arc::clone(host), context, events));
    if is_stream {
        chat_response::streamed(ids, receiver).await
    } else {
        chat_response::complete(ids, receiver).await
    }
}

async fn run_plain(
    host: &Arc<Host>,
    caller: &CallerConnection,
    request_id: &str,
    parts: &Parts,
    body: Incoming,
) -> Result<CallerResponse, Problem> {
    let refused = |problem| {
        log_refusal(
            host,
            request_id,
            request_end::NO_ENTRY,
            unclaimed(parts, problem),
        )
    };
    let catalogue = host.catalogue.snapshot();
    let path = parts.uri.path();
    let (name, entry) = catalogue
        .entry_for_path(parts.method.as_str(), path)
        .ok_or_else(|| {
            let detail = format!("no entry for {} {path}", parts.method);
            refused(Problem::new(Code::UnknownEntry, detail))
        })?;
    let deadline = request::deadline(&parts.headers, entry.deadline_ms).map_err(refused)?;
    let key = match entry.class {
        Class::Order => Some(request::idempotency_key(&parts.headers).map_err(refused)?),
        Class::Chat | Class::Read => None,
    };
    let body = receive(host, caller, body)
        .await
        .map_err(|problem| record_refused_body(host, request_id, unclaimed(parts, problem)))?;
    let call = PlainCall {
        request_id: request_id.to_owned(),
        method: parts.method.clone(),
        target: parts
            .uri
            .path_and_query()
            .map_or_else(|| path.to_owned(), ToString::to_string),
        headers: parts.headers.clone(),
        body,
        first_token_ms: entry.first_token_ms,
        deadline,
    };
    let Some(service) = catalogue.service(&entry.service) else {
        let detail = format!("no service {:?}", entry.service);
        return Err(refused(Problem::new(Code::NoBackend, detail)));
    };
    let slot_request = SlotRequest {
        entry_name: name,
        entry,
        service,
        slots: host.server_slots(&catalogue, &entry.service),
        output_tokens: 0,
    };
    let refused = |problem| log_refusal(host, request_id, name, unclaimed(parts, problem));
    let permit = quota::admit(host, name, entry, 0).await.map_err(refused)?;
    let slot = host
        .admission
        .acquire(&slot_request)
        .await
        .map_err(refused)?;
    let result = match entry.class {
        Class::Read => {
            let result = reads::run(host, name, entry, &call).await;
            if result.is_ok() {
                slot.update_estimates(None);
            }
            result
        }
        Class::Order => {
            let order = Order {
                entry_name: name.to_owned(),
                entry: entry.clone(),
                idempotency_key: key.unwrap_or_default(),
                call,
                slot: Some(slot),
                permit: Some(permit),
            };
            orders::run(host, order).await
        }
        Class::Chat => Err(Problem::new(Code::UnknownEntry, "chat needs its own path")),
    };
    match &result {
        Ok(_) => request_end::completed(host, request_id, name, ""),
        Err(problem) => request_end::failed(host, request_id, name, problem),
    }
    result
}

/// Checks that this host may accept new work.
fn admits_work(host: &Host) -> Result<(), Problem> {
    if !host.is_joined() {
        let detail = "the catalogue was not received yet";
        return Err(Problem::new(Code::NotReady, detail));
    }
    if !host.connectivity.state().takes_work() {
        let detail = "neither the object API nor a peer answers";
        return Err(Problem::new(Code::HostIsolated, detail));
    }
    Ok(())
}

/// Records a request that is refused for its body. If the reason is the body's size, its pace or the
/// host's memory there is no log line for each, as many callers may send such requests at once.
fn record_refused_body(host: &Host, request_id: &str, problem: Problem) -> Problem {
    match problem.code {
        Code::Overloaded | Code::BodyTooLarge | Code::BodyTimeout => {
            host.connections.closed().record_refused_body();
            request_end::refused_unlogged(host, request_id, request_end::NO_ENTRY, &problem);
            problem
        }
        _ => log_refusal(host, request_id, request_end::NO_ENTRY, problem),
    }
}

fn log_refusal(host: &Host, request_id: &str, entry: &str, problem: Problem) -> Problem {
    request_end::failed(host, request_id, entry, &problem);
    problem
}
