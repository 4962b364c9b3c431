//! Runs a chat request in one or more attempts on engines until its response is complete.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};
use yucca_io::clock::boot_ms;
use yuccacove::catalogue::Class;
use yuccacove::code::{Code, Outcome};
use yuccacove::memory_budget::Purpose;
use yuccacove::retry::{Attempts, Decision};
use yuccacove::routing::PrefixHash;
use yuccacove::suspect::Fingerprint;

use crate::admission::{Slot, SlotRequest};
use crate::backend_fault::Fault;
use crate::chat::{ChatContext, ChatEvent};
use crate::chat_memory::ResponseMemory;
use crate::choose;
use crate::engine_stream::{EngineEvent, EngineRequest, EngineStream, StreamTimeouts};
use crate::fleet::{ChosenEngine, RequestProfile};
use crate::host::Host;
use crate::peers;
use crate::probe;
use crate::problem::Problem;
use crate::quota;
use crate::suspect_tracker::{PlacementResult, TrackedAttempt};

/// Expected output tokens of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Pause before another try to place a suspect that has to wait for other suspects.
const SUSPECT_RETRY_MS: u64 = 20;

/// How a request ended.
pub enum End {
    /// The response is complete.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The response is missing or incomplete.
    Failed(Problem),
}

/// Why an attempt ended before the request did.
enum AttemptError {
    Fault(Fault),
    /// A more urgent request needs the slot.
    Preempted,
}

/// State of a chat request across its attempts.
pub struct ChatExecution<'a> {
    pub(crate) host: &'a Arc<Host>,
    pub(crate) context: &'a ChatContext,
    events: &'a Sender<ChatEvent>,
    attempts: Attempts,
    /// Text of the tokens sent to the caller so far.
    text: String,
    text_memory: ResponseMemory,
    /// Index of the next token, which is also the number of tokens sent to the caller.
    pub(crate) next_index: u64,
    /// Number of failed attempts.
    pub(crate) failed: u32,
    prefixes: Vec<PrefixHash>,
    fingerprint: Fingerprint,
    /// Engines that cannot take this request.
    pub(crate) excluded: Vec<String>,
    /// Engines that failed this request but respond to probes.
    pub(crate) avoided: Vec<String>,
    /// Engine that may be working on the request now.
    pub(crate) current: Option<ChosenEngine>,
    started: Instant,
    /// When the last token was sent to the caller.
    last_token: Option<Instant>,
    /// Time from `started` to the first token.
    first_token_ms: Option<u64>,
    /// Whether any engine may have run a part of the request.
    pub(crate) was_dispatched: bool,
}

impl<'a> ChatExecution<'a> {
    /// Creates the state of a request that was not sent yet.
    pub fn new(
        host: &'a Arc<Host>,
        context: &'a ChatContext,
        events: &'a Sender<ChatEvent>,
    ) -> Self {
        let started = Instant::now();
        let request = &context.request;
        Self {
            host,
            context,
            events,
            attempts: Attempts::new(Class::Chat, deadline_boot_ms(context)),
            text: String::new(),
            text_memory: ResponseMemory::new(host),
            next_index: 0,
            failed: 0,
            prefixes: PrefixHash::of_prompt(&request.prompt),
            fingerprint: Fingerprint::of(
                &context.entry.owner,
                &request.entry,
                request.body["messages"].to_string().as_bytes(),
            ),
            excluded: Vec::new(),
            avoided: Vec::new(),
            current: None,
            started,
            last_token: None,
            first_token_ms: None,
            was_dispatched: false,
        }
    }

    /// Log fields for the end of the request: tokens, failed attempts and duration.
    pub fn log_fields(&self) -> String {
        format!(
            "tokens={} failed_attempts={} ms={}",
            self.next_index,
            self.failed,
            self.started.elapsed().as_millis()
        )
    }

    /// Takes the engine that may still be working on the request.
    pub fn take_current(&mut self) -> Option<ChosenEngine> {
        self.current.take()
    }

    /// Runs the request until it ends.
    pub async fn run(&mut self) -> End {
        let profile = self.profile();
        self.host.demand.record_arrival(&profile);
        let tokens = profile.prompt_tokens.saturating_add(profile.output_tokens);
        let (name, entry) = (&self.context.request.entry, &self.context.entry);
        let _permit = match quota::admit(self.host, name, entry, tokens).await {
            Ok(permit) => permit,
            Err(problem) => return End::Failed(problem),
        };
        let mut slot = match self.acquire().await {
            Ok(slot) => slot,
            Err(problem) => return End::Failed(problem),
        };
        self.host.retry_budget().record_request();
        let mut last_fault = None;
        loop {
            let (engine, tracked) = match self.select_engine(last_fault.as_ref()).await {
                Ok(selected) => selected,
                Err(problem) => return End::Failed(problem),
            };
            if let Some(fault) = &last_fault {
                self.log_retry(&engine, fault);
            }
            let sent_ms = boot_ms();
            let known_incarnation = self.host.fleet.incarnation(&engine.name);
            let preempt = slot.preempted();
            let attempt = tokio::select! {
                attempt = self.attempt(&engine) => attempt,
                () = preempt.notified() => Err(AttemptError::Preempted),
            };
            match attempt {
                Ok(end) => {
                    self.host.fleet.succeeded(&engine.key());
                    slot.update_estimates(self.first_token_ms);
                    if matches!(end, End::Complete) {
                        tracked.completed();
                    }
                    return end;
                }
                Err(AttemptError::Preempted) => {
                    slot = match self.yield_slot(slot, &engine).await {
                        Ok(slot) => slot,
                        Err(problem) => return End::Failed(problem),
                    };
                    last_fault = None;
                }
                Err(AttemptError::Fault(fault)) => {
                    self.failed += 1;
                    self.was_dispatched |= fault.reached_backend();
                    self.handle_fault(&engine, sent_ms, known_incarnation, &fault, tracked)
                        .await;
                    let decision = {
                        let mut budget = self.host.retry_budget();
                        self.attempts
                            .failed(fault.failure(), &mut budget, boot_ms())
                    };
                    match decision {
                        Decision::Retry { after_ms } => {
                            sleep(Duration::from_millis(after_ms)).await;
                        }
                        Decision::End(code) => return End::Failed(self.end_problem(code, &fault)),
                    }
                    last_fault = Some(fault);
                }
            }
        }
    }

    async fn acquire(&self) -> Result<Slot, Problem> {
        let catalogue = self.host.catalogue.snapshot();
        let Some(service) = catalogue.service(&self.context.entry.service) else {
            return Err(self.no_engine_problem(None));
        };
        let profile = self.profile();
        let slot_request = SlotRequest {
            entry_name: &self.context.request.entry,
            entry: &self.context.entry,
            service,
            slots: self.host.engine_slots(&catalogue, profile.service),
            output_tokens: profile.output_tokens,
        };
        self.host.admission.acquire(&slot_request).await
    }

    /// Chooses an engine. A suspect waits until it can run on an engine without other suspects, and
    /// is announced to the other hosts before it is sent.
    async fn select_engine(
        &self,
        last_fault: Option<&Fault>,
    ) -> Result<(ChosenEngine, TrackedAttempt), Problem> {
        loop {
            let placement = self.host.suspect_tracker.place(
                &self.context.request_id,
                self.fingerprint,
                |with_suspects| {
                    let excluded = [&self.excluded[..], with_suspects].concat();
                    let profile = RequestProfile {
                        excluded: &excluded,
                        ..self.profile()
                    };
                    let engine = choose::engine(self.host, &profile)?;
                    let name = engine.name.clone();
                    Some((engine, name))
                },
            );
            match placement {
                PlacementResult::Placed(engine, tracked) if !tracked.is_suspect() => {
                    return Ok((engine, tracked));
                }
                PlacementResult::Placed(engine, tracked) => {
                    peers::announce_suspects(self.host).await;
                    if tracked.confirm() {
                        return Ok((engine, tracked));
                    }
                    drop(tracked);
                    sleep(Duration::from_millis(SUSPECT_RETRY_MS)).await;
                }
                PlacementResult::NoEngine => return Err(self.no_engine_problem(last_fault)),
                PlacementResult::Refused => return Err(self.suspect_problem()),
                PlacementResult::Wait => sleep(Duration::from_millis(SUSPECT_RETRY_MS)).await,
            }
        }
    }

    /// Cancels the work on the engine for a more urgent request and waits for another slot.
    async fn yield_slot(&mut self, slot: Slot, engine: &ChosenEngine) -> Result<Slot, Problem> {
        self.log_preempted(engine);
        self.was_dispatched = true;
        let id = &self.context.request_id;
        // An engine that does not respond stops the work when the connection is closed.
        let _ = probe::cancel(engine.address, id, self.host.timing.probe_ms).await;
        self.current = None;
        // Extrapolates from the tokens generated so far to those that are left.
        let spent_ms = boot_ms().saturating_sub(slot.started_ms());
        let total_tokens = u64::from(self.profile().output_tokens) + self.next_index;
        let left_tokens = u64::from(self.profile().output_tokens);
        let work_ms =
            spent_ms.saturating_mul(left_tokens) / total_tokens.saturating_sub(left_tokens).max(1);
        let (now_ms, deadline_ms) = (boot_ms(), deadline_boot_ms(self.context));
        // A high estimate of the remaining work must not end the request early, so at least half of
        // the remaining time is left for the wait.
        let half_time_ms = now_ms + deadline_ms.saturating_sub(now_ms) / 2;
        let start_by_ms = deadline_ms.saturating_sub(work_ms).max(half_time_ms);
        slot.yield_and_wait(work_ms, start_by_ms)
            .await
            .map_err(|problem| problem.with_outcome(self.outcome()))
    }

    fn profile(&self) -> RequestProfile<'_> {
        let request = &self.context.request;
        let generated = u32::try_from(self.next_index).unwrap_or(u32::MAX);
        let output = match request.max_tokens {
            0 => DEFAULT_OUTPUT_TOKENS,
            max_tokens => u32::try_from(max_tokens).unwrap_or(u32::MAX),
        };
        RequestProfile {
            service: &self.context.entry.service,
            request_id: &self.context.request_id,
            prompt_tokens: u32::try_from(request.prompt_tokens)
                .unwrap_or(u32::MAX)
                .saturating_add(generated),
            output_tokens: output.saturating_sub(generated),
            prefixes: &self.prefixes,
            excluded: &self.excluded,
            avoided: &self.avoided,
        }
    }

    async fn attempt(&mut self, engine: &ChosenEngine) -> Result<End, AttemptError> {
        let _in_flight = self.host.backends.get(&engine.key()).begin();
        let profile = self.profile();
        self.host
            .demand
            .record_dispatch(&profile, engine.cached_tokens);
        let charge = self
            .host
            .usage
            .open_chat_charge(profile.service, &self.context.request.entry);
        let mut engine_attempt = self.host.fleet.begin_attempt(engine, &profile, charge);
        let timing = &self.host.timing;
        let timeouts = StreamTimeouts {
            first: timing.first_byte(self.context.entry.first_token_ms),
            chunk: Duration::from_millis(timing.chunk_ms),
            probe_ms: timing.probe_ms,
        };
        self.current = Some(engine.clone());
        let request = self.engine_request(engine);
        let memory = self.host.memory.guard(Purpose::Response);
        let mut stream = match EngineStream::open(&self.host.pool, &request, timeouts, memory).await
        {
            Ok(stream) => stream,
            Err(fault) => {
                if !fault.reached_backend() {
                    engine_attempt.not_run();
                }
                return Err(AttemptError::Fault(fault));
            }
        };
        self.was_dispatched = true;
        let mut limit = timeouts.first;
        loop {
            let event = match stream.next(limit).await {
                Ok(event) => event,
                // The engine is not at fault, and another would find no memory either.
                Err(Fault::NoMemory) => return Ok(End::Failed(self.memory_problem())),
                Err(fault) => return Err(AttemptError::Fault(fault)),
            };
            match event {
                EngineEvent::Token {
                    text,
                    finish_reason,
                } => {
                    engine_attempt.record_token();
                    limit = timeouts.chunk;
                    if !self.text_memory.reserve(self.host, text.len()).await {
                        return Ok(End::Failed(self.memory_problem()));
                    }
                    let served_by = engine.name.clone();
                    if !self.forward_token(served_by, text, finish_reason).await {
                        return Ok(End::CallerGone);
                    }
                }
                EngineEvent::Done => {
                    self.current = None;
                    // Records the charge before the caller sees the end of the response.
                    drop(engine_attempt);
                    stream.finish(&self.host.pool, timeouts.chunk).await;
                    let sent = self.events.send(ChatEvent::Done).await;
                    return Ok(if sent.is_ok() {
                        End::Complete
                    } else {
                        End::CallerGone
                    });
                }
            }
        }
    }

    /// Sends a token to the caller; `false` when the caller has disconnected.
    async fn forward_token(
        &mut self,
        served_by: String,
        text: String,
        finish_reason: Option<String>,
    ) -> bool {
        // Waits for space in the token buffer first, so that preemption of the attempt cannot come
        // between counting a token and sending it.
        let Ok(permit) = self.events.reserve().await else {
            return false;
        };
        let now = Instant::now();
        let (metrics, rank) = (&self.host.metrics, self.context.entry.rank);
        match self.last_token.replace(now) {
            None => {
                let first = now - self.started;
                metrics.record_first_token(rank, first.as_secs_f64());
                self.first_token_ms = u64::try_from(first.as_millis()).ok();
            }
            Some(last) => metrics.record_token_gap(rank, (now - last).as_secs_f64()),
        }
        self.attempts.streamed();
        self.text.push_str(&text);
        self.next_index += 1;
        permit.send(ChatEvent::Token {
            served_by,
            text,
            finish_reason,
        });
        true
    }

    fn memory_problem(&self) -> Problem {
        // The request has reached an engine, so that no code may promise that it has not run.
        let outcome = self.outcome();
        let code = match outcome {
            Outcome::Ran => Code::AnswerIncomplete,
            Outcome::Unknown | Outcome::NotRun => Code::OutcomeUnknown,
        };
        let detail = "the host has no memory for the response";
        Problem::new(code, detail).with_outcome(outcome)
    }

    fn engine_request(&self, engine: &ChosenEngine) -> EngineRequest {
        EngineRequest {
            address: engine.address,
            request_id: self.context.request_id.clone(),
            model: engine.model.clone(),
            version: engine.version.clone(),
            rank: self.context.entry.rank.index(),
            traceparent: self.context.traceparent.clone(),
            body: Arc::clone(&self.context.request.body),
            next_index: self.next_index,
            text_so_far: self.text.clone(),
            deadline: self.context.deadline,
        }
    }
}

/// The request's deadline in milliseconds since boot, a few milliseconds late if the task is
/// suspended between the two clock readings.
fn deadline_boot_ms(context: &ChatContext) -> u64 {
    let left = context.deadline.saturating_duration_since(Instant::now());
    boot_ms() + u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2)
}
