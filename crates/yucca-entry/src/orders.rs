//! Non-repeatable calls: each is claimed in the object API before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use yucca_io::clock::{boot_ms, wall_ms};
use yucca_io::log;
use yuccacove::catalogue::Entry;
use yuccacove::claim::{self, Attempt, ClaimReply, DispatchResult, Input, Key, Next, Reply, Step};
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;
use yuccacove::store::{Stored, Token, WriteResult};

use crate::admit::Slot;
use crate::answer::Answer;
use crate::backend_fault::Fault;
use crate::choose;
use crate::claim_store::{self, RegisteredAttempt};
use crate::host::Host;
use crate::plain::{self, PlainAnswer, PlainCall, Reuse};
use crate::problem::Problem;
use crate::quota::InUse;
use crate::reads;

/// Servers tried while no connection was opened, the first included.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// Longest time for which an answer waits until the end of its claim is recorded.
const RECORD_WAIT_MS: u64 = 250;
/// First pause after the object API could not be read for the end of a claim.
const FIRST_BACKOFF_MS: u64 = 50;
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
    /// Slot of the service, given back when the dispatch has ended.
    pub slot: Option<Slot>,
    /// Part of the entry's concurrency limit, given back with `slot`.
    pub in_use: Option<InUse>,
}

type Served = Result<(PlainAnswer, String), Problem>;

/// Runs `order` at most once. A caller that leaves does not stop a dispatched order.
///
/// # Errors
///
/// The problem of an order without an answer.
pub async fn run(host: &Arc<Host>, order: Order) -> Result<Answer, Problem> {
    let key = Key::new(
        &order.entry.owner,
        &order.entry_name,
        &order.idempotency_key,
    );
    let call = &order.call;
    let fingerprint = claim::fingerprint(call.method.as_str(), &call.target, &call.body);
    let token = token_of(&call.request_id);
    let (attempt, step) = Attempt::start(key, fingerprint, host.name.clone(), token, wall_ms())
        .map_err(|code| Problem::new(code, "the time of issue in the key is out of range"))?;
    let attempt = host.attempts.register(attempt);
    let (told, answer) = oneshot::channel();
    let run = OrderRun {
        host: Arc::clone(host),
        order,
        attempt,
        slot: None,
        told: Some(told),
        recorded: None,
        backoff_ms: FIRST_BACKOFF_MS,
    };
    tokio::spawn(run.drive(step));
    match answer.await {
        Ok(Ok((answer, served_by))) => Ok(answer.into_answer(&served_by)),
        Ok(Err(problem)) => Err(problem),
        // Only possible when the task panicked.
        Err(_) => Err(Problem::new(Code::OutcomeUnknown, "no result of the order")),
    }
}

/// Request ids are unique, and so are the tokens made of them.
fn token_of(request_id: &str) -> Token {
    let hash = blake3::hash(format!("{}/{request_id}", std::process::id()).as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    Token(u64::from_be_bytes(bytes))
}

struct OrderRun {
    host: Arc<Host>,
    order: Order,
    attempt: RegisteredAttempt,
    /// The slot as last read or written by this attempt.
    slot: Option<Stored<claim::Slot>>,
    /// Where the caller waits, until it was told the result.
    told: Option<oneshot::Sender<Served>>,
    /// Dropped when the claim needs no further write.
    recorded: Option<oneshot::Sender<()>>,
    backoff_ms: u64,
}

impl OrderRun {
    async fn drive(mut self, first: Step) {
        let slot_key = self.attempt.lock().key().slot_key();
        let mut step = first;
        loop {
            if let Some(reply) = step.reply.take() {
                self.reply(reply);
            }
            let input = match step.next {
                // Writes are awaited below, so that no result is outstanding at `Wait`.
                Next::Finished | Next::Wait => return,
                Next::Read { .. } if self.is_abandoned() => Input::Cancelled,
                Next::Read { fresh: true } => self.read(&slot_key).await,
                Next::Read { fresh: false } => match self.slot.clone() {
                    Some(slot) => Input::Read(slot),
                    None => self.read(&slot_key).await,
                },
                Next::Write(write) => {
                    let result = claim_store::write(&self.host, &slot_key, &write).await;
                    if let WriteResult::Written(version) = result {
                        self.slot = Some(Stored {
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

    /// Whether the caller left, or its time ran out, before anything was claimed.
    fn is_abandoned(&self) -> bool {
        let reading = self.attempt.lock().claim_reply() == ClaimReply::Running;
        let left = self.told.as_ref().is_some_and(oneshot::Sender::is_closed);
        reading && left
    }

    async fn read(&mut self, slot_key: &str) -> Input {
        if self.told.is_none() {
            // The end or the release of a claim waits for the object API; jitter spreads the hosts.
            let jitter = token_of(slot_key).0 % FIRST_BACKOFF_MS;
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

    fn reply(&mut self, reply: Reply) {
        let served = match reply {
            Reply::Problem(code) => Err(Problem::new(code, claim_detail(code))),
            Reply::Stored(answer) => {
                self.log(Event::ClaimRepeated, &format!("status={}", answer.status));
                Ok((kept_answer(answer), String::new()))
            }
        };
        self.tell(served);
    }

    /// Tells the caller once the end of its claim is recorded, so that a repeat after this host was
    /// lost receives the same answer; while the object API is slow or down, the caller is told
    /// first.
    fn tell_when_recorded(&mut self, served: Served) {
        let Some(told) = self.told.take() else {
            return;
        };
        let (recorded, is_recorded) = oneshot::channel();
        self.recorded = Some(recorded);
        tokio::spawn(async move {
            // The sender is dropped with the run, after its last write.
            let _ = timeout(Duration::from_millis(RECORD_WAIT_MS), is_recorded).await;
            let _ = told.send(served);
        });
    }

    fn tell(&mut self, served: Served) {
        self.order.slot = None;
        self.order.in_use = None;
        if let Some(told) = self.told.take() {
            // A caller that left learns the result when it repeats the order.
            let _ = told.send(served);
        }
    }

    async fn dispatch(&mut self) -> DispatchResult {
        let deadline = self.order.call.deadline;
        let left = self.told.as_ref().is_none_or(oneshot::Sender::is_closed);
        if left || deadline <= Instant::now() {
            let problem = Problem::new(Code::DeadlineExceeded, "the claim took too long");
            self.tell(Err(problem.with_outcome(Outcome::NotRun)));
            return DispatchResult::NotDispatched;
        }
        let (served, end) = self.send(deadline).await;
        if let Some(slot) = self.order.slot.take()
            && served.is_ok()
        {
            slot.record(None);
        }
        self.order.slot = None;
        self.order.in_use = None;
        match end {
            DispatchResult::NotDispatched => self.tell(served),
            DispatchResult::Responded(_) | DispatchResult::Unknown => {
                self.tell_when_recorded(served)
            }
        }
        end
    }

    async fn send(&self, deadline: Instant) -> (Served, DispatchResult) {
        let (host, call) = (&*self.host, &self.order.call);
        let mut avoided = Vec::new();
        let mut last = None;
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let service = &self.order.entry.service;
            let Some(server) = choose::server(host, &call.request_id, service, &avoided) else {
                break;
            };
            let _in_flight = server.backend.begin();
            let charge = host.usage.plain(service, &self.order.entry_name);
            let sent_ms = boot_ms();
            let sent = plain::send(host, &server, call, Reuse::Forbidden);
            let fault = match timeout_at(deadline, sent).await {
                Ok(Ok(answer)) => {
                    host.fleet.succeeded(&server.key());
                    let end = DispatchResult::Responded(to_kept(&answer));
                    return (Ok((answer, server.name)), end);
                }
                Ok(Err(fault)) => fault,
                Err(_) => Fault::Silent,
            };
            charge.end(fault.reached_backend());
            reads::note_fault(host, &call.request_id, &server, sent_ms, &fault);
            if fault.reached_backend() {
                let problem = Problem::new(Code::OutcomeUnknown, fault.to_string());
                return (Err(problem), DispatchResult::Unknown);
            }
            avoided.push(server.name);
            last = Some(fault);
        }
        let problem = match last {
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

fn to_kept(answer: &PlainAnswer) -> claim::Response {
    let content_type = answer.headers.get(CONTENT_TYPE);
    claim::Response {
        status: answer.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: String::from_utf8(answer.body.to_vec()).ok(),
    }
}

fn kept_answer(kept: claim::Response) -> PlainAnswer {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&kept.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    PlainAnswer {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers,
        body: kept.body.unwrap_or_default().into(),
    }
}
