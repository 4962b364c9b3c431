//! Non-repeatable calls: each is claimed in the object API before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use yucca_io::caller_body::CallerBody;
use yucca_io::clock::{boot_ms, wall_ms};
use yucca_io::log;
use yuccacove::catalogue::Entry;
use yuccacove::claim::{self, Attempt, ClaimReply, DispatchResult, Input, Key, Next, Reply, Step};
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;
use yuccacove::store::{Stored, Token, WriteResult};

use crate::admission::Slot;
use crate::backend_fault::Fault;
use crate::caller_response::CallerResponse;
use crate::choose;
use crate::claim_store::{self, RegisteredAttempt};
use crate::host::Host;
use crate::plain::{self, PlainCall, PlainResponse, Reuse};
use crate::problem::Problem;
use crate::quota::ConcurrencyPermit;
use crate::reads;

/// Largest number of servers tried, including the first, while no connection can be opened.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// Longest time for which a response is delayed until the result of its claim is recorded.
const RECORD_WAIT_MS: u64 = 250;
/// Initial pause between reads of the object API while the result of a claim cannot be recorded.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Longest such pause.
const MAX_BACKOFF_MS: u64 = 2_000;

/// A non-repeatable call with its idempotency key.
pub struct Order {
    /// Name of the entry.
    pub entry_name: String,
    /// The entry.
    pub entry: Entry,
    /// The caller's idempotency key.
    pub idempotency_key: String,
    /// The call.
    pub call: PlainCall,
    /// Slot of the service, released when the dispatch has ended.
    pub slot: Option<Slot>,
    /// Permit of the entry's concurrency limit, released together with `slot`.
    pub permit: Option<ConcurrencyPermit>,
}

type OrderResult = Result<(PlainResponse, String), Problem>;

/// Runs `order` at most once. A caller that disconnects does not stop a dispatched order.
///
/// # Errors
///
/// The problem of an order without a response.
pub async fn run(host: &Arc<Host>, order: Order) -> Result<CallerResponse, Problem> {
    let key = Key::new(
        &order.entry.owner,
        &order.entry_name,
        &order.idempotency_key,
    );
    let call = &order.call;
    let fingerprint =
        claim::fingerprint_of_segments(call.method.as_str(), &call.target, call.body.segments());
    let token = token_of(&call.request_id);
    let (attempt, step) = Attempt::start(key, fingerprint, host.name.clone(), token, wall_ms())
        .map_err(|code| Problem::new(code, "the time of issue in the key is out of range"))?;
    let attempt = host.attempts.register(attempt);
    let (reply_sender, reply) = oneshot::channel();
    let execution = OrderExecution {
        host: Arc::clone(host),
        order,
        attempt,
        claim_slot: None,
        reply_sender: Some(reply_sender),
        recorded: None,
        backoff_ms: INITIAL_BACKOFF_MS,
    };
    tokio::spawn(execution.run(step));
    match reply.await {
        Ok(Ok((response, served_by))) => Ok(response.into_response(&served_by)),
        Ok(Err(problem)) => Err(problem),
        // Possible only if the task panicked.
        Err(_) => Err(Problem::new(Code::OutcomeUnknown, "no result of the order")),
    }
}

/// Token for the claim of a request. Request ids are unique, and so are the tokens made from them.
fn token_of(request_id: &str) -> Token {
    let hash = blake3::hash(format!("{}/{request_id}", std::process::id()).as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    Token(u64::from_be_bytes(bytes))
}

struct OrderExecution {
    host: Arc<Host>,
    order: Order,
    attempt: RegisteredAttempt,
    /// The claim slot as last read or written by this attempt.
    claim_slot: Option<Stored<claim::Slot>>,
    /// Channel on which the caller waits; `None` once the caller's reply was handed over.
    reply_sender: Option<oneshot::Sender<OrderResult>>,
    /// Dropped when the claim needs no further write.
    recorded: Option<oneshot::Sender<()>>,
    backoff_ms: u64,
}

impl OrderExecution {
    async fn run(mut self, first: Step) {
        let slot_key = self.attempt.lock().key().slot_key();
        let mut step = first;
        loop {
            if let Some(reply) = step.reply.take() {
                self.handle_reply(reply);
            }
            let input = match step.next {
                // Writes are awaited below, so that no result is outstanding at `Wait`.
                Next::Finished | Next::Wait => return,
                Next::Read { .. } if self.is_abandoned() => Input::Cancelled,
                Next::Read { fresh: true } => self.read(&slot_key).await,
                Next::Read { fresh: false } => match self.claim_slot.clone() {
                    Some(slot) => Input::Read(slot),
                    None => self.read(&slot_key).await,
                },
                Next::Write(write) => {
                    let result = claim_store::write(&self.host, &slot_key, &write).await;
                    if let WriteResult::Written(version) = result {
                        self.claim_slot = Some(Stored {
                            version,
                            value: Some(write.value),
                        });
                    }
                    Input::Write(result)
                }
                Next::Ask { host, token } => Input::Peer(self.ask(&host, token).await),
                Next::Dispatch => {
                    self.log(Event::ClaimTaken, &format!("slot={slot_key}"));
                    Input::Dispatched(self.dispatch().await)
                }
            };
            step = self.attempt.lock().advance(input, wall_ms());
        }
    }

    /// Whether the caller disconnected before the request was dispatched.
    fn is_abandoned(&self) -> bool {
        let is_before_dispatch = self.attempt.lock().claim_reply() == ClaimReply::Running;
        let has_disconnected = self
            .reply_sender
            .as_ref()
            .is_some_and(oneshot::Sender::is_closed);
        is_before_dispatch && has_disconnected
    }

    async fn read(&mut self, slot_key: &str) -> Input {
        if self.reply_sender.is_none() {
            // Recording the result of a claim, or releasing it, waits for the object API; jitter
            // spreads the reads of the hosts.
            let jitter = token_of(slot_key).0 % INITIAL_BACKOFF_MS;
            sleep(Duration::from_millis(self.backoff_ms + jitter)).await;
            self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
        claim_store::read(&self.host, slot_key).await
    }

    async fn ask(&self, host: &str, token: Token) -> ClaimReply {
        if host == self.host.name {
            return self.host.attempts.claim_reply(token);
        }
        self.host.peers.claim_reply(host, token).await
    }

    fn handle_reply(&mut self, reply: Reply) {
        let result = match reply {
            Reply::Problem(code) => Err(Problem::new(code, claim_detail(code))),
            Reply::Stored(stored) => {
                self.log(Event::ClaimRepeated, &format!("status={}", stored.status));
                Ok((from_stored(stored), String::new()))
            }
        };
        self.send_reply(result);
    }

    /// Replies to the caller once the result of its claim is recorded, so that a repeated request
    /// receives the same response even if this host is lost. While the object API is slow or
    /// unavailable, the reply is sent before that.
    fn send_reply_when_recorded(&mut self, result: OrderResult) {
        let Some(reply_sender) = self.reply_sender.take() else {
            return;
        };
        let (recorded, recorded_signal) = oneshot::channel();
        self.recorded = Some(recorded);
        tokio::spawn(async move {
            // The sender is dropped with `OrderExecution`, after the last write.
            let _ = timeout(Duration::from_millis(RECORD_WAIT_MS), recorded_signal).await;
            let _ = reply_sender.send(result);
        });
    }

    fn send_reply(&mut self, result: OrderResult) {
        self.order.slot = None;
        self.order.permit = None;
        if let Some(reply_sender) = self.reply_sender.take() {
            // A caller that disconnected receives the result when it repeats the order.
            let _ = reply_sender.send(result);
        }
    }

    async fn dispatch(&mut self) -> DispatchResult {
        let deadline = self.order.call.deadline;
        let has_disconnected = self
            .reply_sender
            .as_ref()
            .is_none_or(oneshot::Sender::is_closed);
        if has_disconnected || deadline <= Instant::now() {
            let problem = Problem::new(Code::DeadlineExceeded, "the claim took too long");
            self.send_reply(Err(problem.with_outcome(Outcome::NotRun)));
            return DispatchResult::NotDispatched;
        }
        let (result, end) = self.send(deadline).await;
        if let Some(slot) = self.order.slot.take()
            && result.is_ok()
        {
            slot.update_estimates(None);
        }
        self.order.slot = None;
        self.order.permit = None;
        match end {
            DispatchResult::NotDispatched => self.send_reply(result),
            DispatchResult::Responded(_) | DispatchResult::Unknown => {
                self.send_reply_when_recorded(result);
            }
        }
        end
    }

    /// Sends the call to a server, and to another one only while no server can have received it.
    async fn send(&self, deadline: Instant) -> (OrderResult, DispatchResult) {
        let (host, call) = (&*self.host, &self.order.call);
        let mut avoided = Vec::new();
        let mut last_fault = None;
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let service = &self.order.entry.service;
            let Some(server) = choose::server(host, &call.request_id, service, &avoided) else {
                break;
            };
            let _in_flight = server.backend.begin();
            let charge = host
                .usage
                .open_plain_charge(service, &self.order.entry_name);
            let sent_ms = boot_ms();
            let attempt = plain::send(host, &server, call, Reuse::Forbidden);
            let fault = match timeout_at(deadline, attempt).await {
                Ok(Ok(response)) => {
                    host.fleet.succeeded(&server.key());
                    let end = DispatchResult::Responded(to_stored(&response));
                    return (Ok((response, server.name)), end);
                }
                Ok(Err(fault)) => fault,
                Err(_) => Fault::Silent,
            };
            charge.end(fault.reached_backend());
            reads::record_fault(host, &call.request_id, &server, sent_ms, &fault);
            if fault.reached_backend() {
                let problem = Problem::new(Code::OutcomeUnknown, fault.to_string());
                return (Err(problem), DispatchResult::Unknown);
            }
            avoided.push(server.name);
            last_fault = Some(fault);
        }
        let problem = match last_fault {
            Some(fault) => Problem::new(Code::BackendUnreachable, fault.to_string()),
            None => Problem::new(Code::NoBackend, "no server of the service is active"),
        };
        (Err(problem), DispatchResult::NotDispatched)
    }

    fn log(&self, event: Event, fields: &str) {
        log::write(
            event,
            &format!(
                "request={} entry={} {fields}",
                self.order.call.request_id, self.order.entry_name
            ),
        );
    }
}

fn claim_detail(code: Code) -> &'static str {
    match code {
        Code::ClaimUnavailable => {
            "this request was not dispatched; send it again with the same key"
        }
        Code::RepeatInProgress => "the first request with this key is still running",
        Code::KeyReused => "another request used this key",
        Code::AnswerNotKept => "the first request ran; its answer was too large or is too old",
        _ => "the first request with this key ended without a known outcome",
    }
}

fn to_stored(response: &PlainResponse) -> claim::Response {
    let content_type = response.headers.get(CONTENT_TYPE);
    claim::Response {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: stored_body(&response.body),
    }
}

/// Copies a body that is short enough to be stored.
fn stored_body(body: &CallerBody) -> Option<String> {
    if body.len() > claim::RESPONSE_MAX_BYTES {
        return None;
    }
    String::from_utf8(body.segments().concat()).ok()
}

fn from_stored(stored: claim::Response) -> PlainResponse {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&stored.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    PlainResponse {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::from(stored.body.unwrap_or_default()).into(),
    }
}
