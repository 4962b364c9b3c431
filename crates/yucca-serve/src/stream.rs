//! Generations: the prompt is read, perhaps by another engine, and the events are passed on as they
//! arrive. A stream that breaks off goes on with another run where its route allows it.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, sleep_until, timeout};
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::event::Event;
use yuccacove::forecast::{Forecast, Verdict};

use crate::choose::{self, EngineChoice, PlacementInput};
use crate::directory::{BackendKey, Directory};
use crate::events::EventBuffer;
use crate::host::{Host, InFlight};
use crate::loads::Reservation;
use crate::peers;
use crate::ports::{BackendResponse, Backends, CallFault, KvCacheHandle, ResponseBody};
use crate::reply::{Interrupted, Reply};
use crate::serve::{RequestContext, RunState, Stage};

/// Chunks on their way to a caller.
const CHUNKS_AHEAD: usize = 16;
/// Interval in which a held request looks for room again.
const HOLD_INTERVAL: Duration = Duration::from_millis(25);
/// Time that reading a prompt may take beyond its forecast before its engine counts as silent.
const READ_SLACK_MS: u64 = 800;
/// Urgency of all runs on decode engines. A run that is preempted for a more urgent one reads its
/// whole prompt again there, which costs all streams of the engine more than the urgent one gains.
const RUN_URGENCY: u8 = 0;
/// Multiple of the forecast that reading a prompt may take.
const READ_FACTOR: f64 = 3.0;

/// Runs a generation and returns its reply, whose events then follow.
pub async fn serve<B: Backends>(context: &Rc<RequestContext<B>>) -> Reply {
    let mut opened = match open(context, context.request.resume_after).await {
        Ok(opened) => opened,
        Err(reply) => return *reply,
    };
    if !opened.answer.head.status.is_success() {
        return pass_failure(context, opened).await;
    }
    let head = std::mem::replace(
        &mut opened.answer.head,
        http::Response::new(()).into_parts().0,
    );
    let (sender, chunks) = mpsc::channel(CHUNKS_AHEAD);
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move { pass_events(&context, opened, &sender).await });
    Reply::streamed(head, chunks)
}

/// A run whose answer has begun.
struct Opened<B: Backends> {
    key: BackendKey,
    answer: BackendResponse<B::Body>,
    _in_flight: InFlight<B>,
}

/// Frees a kept prompt unless an engine has fetched it.
struct KvCacheGuard<B: Backends> {
    host: Rc<Host<B>>,
    handle: Option<KvCacheHandle>,
}

impl<B: Backends> Drop for KvCacheGuard<B> {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let host = Rc::clone(&self.host);
        tokio::task::spawn_local(async move {
            if let Err(fault) = host.backends.release_kv_cache(&handle).await {
                let fields = format!("back_end={} free_prompt={fault:?}", handle.holder.id);
                log::write(Event::BackendFailed, &fields);
            }
        });
    }
}

/// Starts a run that goes on after the event `resume_after`; several engines are tried where that
/// is allowed. The error is the final reply.
async fn open<B: Backends>(
    context: &Rc<RequestContext<B>>,
    resume_after: Option<u64>,
) -> Result<Opened<B>, Box<Reply>> {
    loop {
        let choice = choose_admitted(context).await?;
        let Some(lease) = read_apart(context, &choice).await? else {
            continue;
        };
        if let Some(opened) = run_once(context, &choice, lease, resume_after).await? {
            return Ok(opened);
        }
    }
}

/// The engines for the request, once there is room for it.
async fn choose_admitted<B: Backends>(
    context: &RequestContext<B>,
) -> Result<EngineChoice, Box<Reply>> {
    let mut is_held = false;
    loop {
        let Some(choice) = choose_engines(context) else {
            return Err(Box::new(context.refuse(Code::NoBackend)));
        };
        match admit(context, &choice) {
            Verdict::Admit => return Ok(choice),
            Verdict::Hold => {
                if !std::mem::replace(&mut is_held, true) {
                    log_held(context, &choice);
                }
                sleep(HOLD_INTERVAL).await;
            }
            Verdict::Refuse { retry_after_ms } => {
                let reply =
                    context.refuse_with_retry_after(Code::DeadlineUnreachable, retry_after_ms);
                return Err(Box::new(reply));
            }
        }
    }
}

fn log_held<B: Backends>(context: &RequestContext<B>, choice: &EngineChoice) {
    log::write(
        Event::Held,
        &format!(
            "request={} route={} engine_use={:.2} reading_ms={:.0} urgent_target_ms={:?} left_ms={}",
            context.request.id,
            context.route.name,
            choice.decode_utilisation,
            choice.pending_ms,
            context.urgent_target_ms,
            context.left_ms()
        ),
    );
}

/// Has the prompt read by another engine if that was chosen. `None` when the engines are to be chosen
/// again.
async fn read_apart<B: Backends>(
    context: &Rc<RequestContext<B>>,
    choice: &EngineChoice,
) -> Result<Option<KvCacheGuard<B>>, Box<Reply>> {
    let mut lease = KvCacheGuard {
        host: Rc::clone(&context.host),
        handle: None,
    };
    let Some(prefill) = choice.prefill else {
        return Ok(Some(lease));
    };
    if !context.begin_prefill() {
        return Err(Box::new(context.refuse(Code::NoBackend)));
    }
    match run_prefill(context, prefill, choice).await {
        Ok(handle) => {
            lease.handle = Some(handle);
            Ok(Some(lease))
        }
        Err(fault) => {
            context.record_failure(prefill, Stage::Read, &fault, context.run_state());
            if context.attempts().run().is_none() {
                return Err(Box::new(context.refuse(Code::NoBackend)));
            }
            Ok(None)
        }
    }
}

/// Starts the generation. `None` when it may be tried again.
async fn run_once<B: Backends>(
    context: &Rc<RequestContext<B>>,
    choice: &EngineChoice,
    mut lease: KvCacheGuard<B>,
    resume_after: Option<u64>,
) -> Result<Option<Opened<B>>, Box<Reply>> {
    let decode = match lease.handle {
        Some(_) => choose_decode(context),
        None => Some(choice.decode),
    };
    let Some(key) = decode else {
        return Err(Box::new(context.refuse(Code::NoBackend)));
    };
    let before = context.attempts();
    if !context.begin_attempt() {
        return Err(Box::new(context.refuse(Code::BackendFailed)));
    }
    let tokens = context.request.prompt.as_ref().map_or(0, |p| p.tokens);
    let in_flight = InFlight::start(&context.host, key, Reservation::Generation { tokens });
    let state = context.run_state();
    match start_run(context, key, choice, &lease, resume_after).await {
        Ok(answer) => {
            lease.handle = None;
            Ok(Some(Opened {
                key,
                answer,
                _in_flight: in_flight,
            }))
        }
        Err(fault) => {
            if matches!(fault, CallFault::NotSent(_)) {
                context.restore_attempts(before);
            }
            if context.record_failure(key, Stage::Run, &fault, state) {
                Ok(None)
            } else {
                Err(Box::new(context.refuse(Code::BackendUnreachable)))
            }
        }
    }
}

/// Whether a generation is worth a start by its forecast. One that was started before goes on.
fn admit<B: Backends>(context: &RequestContext<B>, choice: &EngineChoice) -> Verdict {
    if context.has_started() {
        return Verdict::Admit;
    }
    let wait = Forecast {
        first_token_ms: choice.first_token_ms,
        elapsed_ms: context.elapsed_ms(),
        left_ms: context.left_ms(),
        target_ms: context.route.target_ms,
        urgency: context.route.urgency,
        engine_use: choice.decode_utilisation,
        reading_ms: choice.pending_ms,
        urgent_target_ms: context.urgent_target_ms,
    };
    wait.verdict(context.host.draw())
}

fn choose_engines<B: Backends>(context: &RequestContext<B>) -> Option<EngineChoice> {
    with_input(context, |directory, input, excluded| {
        choose::engines(directory, input, excluded, context.host.now_ms())
    })
}

/// The engine that generates the answer, chosen after the prompt was read: the loads have changed,
/// and an engine may have left, while it was.
fn choose_decode<B: Backends>(context: &RequestContext<B>) -> Option<BackendKey> {
    with_input(context, |directory, input, excluded| {
        choose::decode_engine(directory, input, excluded, context.host.now_ms())
    })
}

fn with_input<B: Backends, T>(
    context: &RequestContext<B>,
    choose: impl FnOnce(&Directory, &PlacementInput<'_>, &[BackendKey]) -> T,
) -> T {
    let host = &context.host;
    let input = PlacementInput {
        allow_remote_prefill: context.attempts().read().is_some(),
        request: &context.request,
        service: &context.service,
        zone: &host.deployment.zone,
        gap_ms: context.route.target_gap_ms,
        tokens_per_event: context.engine.tokens_per_event,
        slots: context.engine.slots,
        memory_tokens: context.engine.kv_tokens,
    };
    choose(
        &host.directory.borrow(),
        &input,
        &context.failed_backends.borrow(),
    )
}

/// Address of the engine from which kept parts of the prompt are fetched.
fn keeper_address<B: Backends>(
    context: &RequestContext<B>,
    choice: &EngineChoice,
) -> Option<SocketAddr> {
    choice
        .prefix_source
        .map(|key| context.host.target(key).address)
}

/// Has the prompt read by `key`, within a time that follows from the forecast.
async fn run_prefill<B: Backends>(
    context: &Rc<RequestContext<B>>,
    key: BackendKey,
    choice: &EngineChoice,
) -> Result<KvCacheHandle, CallFault> {
    let host = &context.host;
    let _in_flight = InFlight::start(host, key, Reservation::Request);
    let target = host.target(key);
    let started_ms = host.now_ms();
    let pending_ms = begin_reading(context, key, choice.prefill_ms);
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} stage=read back_end={} pending_ms={pending_ms:.0} read_ms={:.0} \
             first_token_ms={:.0} left_ms={}",
            context.request.id,
            context.route.name,
            target.id,
            choice.prefill_ms,
            choice.first_token_ms,
            context.left_ms()
        ),
    );
    let forecast_ms = pending_ms + choice.prefill_ms;
    let limit_ms = (forecast_ms * READ_FACTOR) as u64 + READ_SLACK_MS;
    let mut call = context.call();
    call.is_repeatable = true;
    call.fetch_from = keeper_address(context, choice);
    let read = host.backends.prefill(&target, &context.request, call);
    let outcome = match timeout(Duration::from_millis(limit_ms), read).await {
        Ok(outcome) => outcome,
        Err(_) => {
            host.backends.retire(&target);
            let mut directory = host.directory.borrow_mut();
            directory.get_mut(key).fitness.unreachable(host.now_ms());
            Err(CallFault::Broken("reading the prompt timed out".to_owned()))
        }
    };
    let is_refused = matches!(
        outcome,
        Err(CallFault::NotRun { .. } | CallFault::NotSent(_))
    );
    if !matches!(outcome, Err(CallFault::NotSent(_))) {
        context.prefill_ended(is_refused);
    }
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    let backend = directory.get_mut(key);
    if outcome.is_ok() {
        let took_ms = (now_ms - started_ms) as f64;
        backend.load.correct_forecast(took_ms - forecast_ms, now_ms);
        backend.fitness.answered(true);
    } else {
        backend
            .load
            .correct_forecast(-2.0 * choice.prefill_ms, now_ms);
    }
    outcome
}

/// Whether an engine is known to keep the parts of the prompt that other requests share.
fn is_shared_part_kept<B>(host: &Host<B>, prefixes: &[(u64, u32)]) -> bool {
    let Some(shared) = prefixes.len().checked_sub(2).map(|at| &prefixes[..=at]) else {
        return true;
    };
    let (_, tokens) = shared[shared.len() - 1];
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    directory
        .iter_mut()
        .any(|backend| backend.load.cached_tokens(shared, now_ms) == tokens)
}

/// Puts the reading of the prompt on the engine's load; returns the work before it.
fn begin_reading<B: Backends>(context: &RequestContext<B>, key: BackendKey, read_ms: f64) -> f64 {
    let host = &context.host;
    let now_ms = host.now_ms();
    let prefixes = context.request.prompt.as_ref().map(choose::prefixes);
    let prefixes = prefixes.unwrap_or_default();
    host.demand.borrow_mut().read(read_ms);
    let reading = peers::prefill_announcement(host, key, read_ms, &prefixes);
    if !is_shared_part_kept(host, &prefixes) {
        host.peers.announce_shared_prefix(reading);
    }
    host.announce_prefill(reading);
    let mut directory = host.directory.borrow_mut();
    let load = &mut directory.get_mut(key).load;
    let pending_ms = load.pending_ms(now_ms);
    load.add_prefill(read_ms, now_ms);
    load.record_cached(&prefixes, now_ms);
    pending_ms
}

async fn start_run<B: Backends>(
    context: &Rc<RequestContext<B>>,
    key: BackendKey,
    choice: &EngineChoice,
    lease: &KvCacheGuard<B>,
    resume_after: Option<u64>,
) -> Result<BackendResponse<B::Body>, CallFault> {
    let host = &context.host;
    let target = host.target(key);
    let mut call = context.call();
    call.resume_after = resume_after;
    call.urgency = RUN_URGENCY;
    call.kv_cache = lease.handle.clone();
    let pending_ms = if call.kv_cache.is_some() {
        0.0
    } else {
        call.fetch_from = keeper_address(context, choice);
        begin_reading(context, key, choice.prefill_ms)
    };
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} stage=run back_end={} has_prompt={} pending_ms={pending_ms:.0} \
             read_ms={:.0} first_token_ms={:.0} left_ms={}",
            context.request.id,
            context.route.name,
            target.id,
            call.kv_cache.is_some(),
            choice.prefill_ms,
            choice.first_token_ms,
            call.left_ms
        ),
    );
    context.set_may_have_run(true);
    let started_ms = host.now_ms();
    let has_prompt = call.kv_cache.is_some();
    let answer = host
        .backends
        .send_request(&target, &context.request, call)
        .await?;
    let now_ms = host.now_ms();
    let took_ms = (now_ms - started_ms) as f64;
    let mut directory = host.directory.borrow_mut();
    let load = &mut directory.get_mut(key).load;
    if has_prompt {
        // The engine keeps what it fetched.
        let prefixes = context.request.prompt.as_ref().map(choose::prefixes);
        load.record_cached(&prefixes.unwrap_or_default(), now_ms);
    } else {
        load.correct_forecast(took_ms - pending_ms - choice.prefill_ms, now_ms);
    }
    Ok(answer)
}

/// Passes on an answer that is no success.
async fn pass_failure<B: Backends>(
    context: &Rc<RequestContext<B>>,
    mut opened: Opened<B>,
) -> Reply {
    let mut bytes = Vec::new();
    while let Some(chunk) = opened.answer.body.chunk().await {
        let Ok(chunk) = chunk else {
            return context.refuse(Code::BackendFailed);
        };
        bytes.extend_from_slice(&chunk);
    }
    let mut directory = context.host.directory.borrow_mut();
    directory.get_mut(opened.key).fitness.answered(false);
    let head = opened.answer.head;
    log::write(
        Event::Failed,
        &format!(
            "request={} status={} elapsed_ms={}",
            context.request.id,
            head.status.as_u16(),
            context.elapsed_ms()
        ),
    );
    Reply::complete(head, Bytes::from(bytes))
}

/// Times of a stream's events, since the request was received.
#[derive(Debug, Default)]
struct Pace {
    first_ms: Option<u64>,
    last_ms: u64,
    max_gap_ms: u64,
}

impl Pace {
    fn event(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            self.max_gap_ms = self.max_gap_ms.max(now_ms - self.last_ms);
        }
        self.last_ms = now_ms;
    }
}

/// How the events of a run ended.
enum End {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(String),
}

/// Passes events on until the stream is complete, by several runs if need be.
async fn pass_events<B: Backends>(
    context: &Rc<RequestContext<B>>,
    mut opened: Opened<B>,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) {
    let mut events = EventBuffer::resumed(context.request.resume_after);
    let mut pace = Pace::default();
    loop {
        let end = pass_run(context, &mut opened, &mut events, &mut pace, caller).await;
        let target = context.host.target(opened.key);
        let fields = format!(
            "request={} route={} back_end={} last_event={:?} first_event_ms={} max_gap_ms={} \
             elapsed_ms={}",
            context.request.id,
            context.route.name,
            target.id,
            events.last_id(),
            pace.first_ms.unwrap_or(0),
            pace.max_gap_ms,
            context.elapsed_ms()
        );
        match end {
            End::Complete => {
                let first_ms = pace.first_ms.unwrap_or(0);
                context
                    .host
                    .metrics
                    .streamed(context.route.urgency, first_ms, pace.max_gap_ms);
                let mut directory = context.host.directory.borrow_mut();
                directory.get_mut(opened.key).fitness.answered(true);
                return log::write(Event::Finished, &fields);
            }
            End::CallerLeft => return log::write(Event::Cancelled, &fields),
            End::TimedOut => {
                log::write(Event::Failed, &format!("{fields} cause=timeout"));
                break;
            }
            End::Broken(cause) => {
                let fault = CallFault::Broken(cause);
                let may_repeat =
                    context.record_failure(opened.key, Stage::Run, &fault, RunState::MayHaveRun);
                // The failed run is closed before another one starts.
                drop(opened);
                if !may_repeat {
                    break;
                }
                events.discard_partial();
                match resume(context, events.last_id(), caller).await {
                    Some(next) => opened = next,
                    None => break,
                }
                log::write(Event::Resumed, &fields);
            }
        }
    }
    // A failed send means that the caller has left, too.
    let _ = caller.send(Err(Interrupted)).await;
}

/// Starts another run unless the caller leaves meanwhile.
async fn resume<B: Backends>(
    context: &Rc<RequestContext<B>>,
    last_id: Option<u64>,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) -> Option<Opened<B>> {
    tokio::select! {
        opened = open(context, last_id) => {
            opened.ok().filter(|opened| opened.answer.head.status.is_success())
        }
        () = caller.closed() => None,
        () = sleep_until(context.deadline) => None,
    }
}

async fn pass_run<B: Backends>(
    context: &Rc<RequestContext<B>>,
    opened: &mut Opened<B>,
    events: &mut EventBuffer,
    pace: &mut Pace,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) -> End {
    loop {
        let chunk = tokio::select! {
            chunk = opened.answer.body.chunk() => chunk,
            () = caller.closed() => return End::CallerLeft,
            () = sleep_until(context.deadline) => return End::TimedOut,
        };
        let bytes = match chunk {
            Some(Ok(bytes)) => bytes,
            Some(Err(cause)) => return End::Broken(cause),
            None if events.is_at_boundary() => return End::Complete,
            None => return End::Broken("the stream ended within an event".to_owned()),
        };
        let whole = events.push(&bytes);
        if events.is_too_long() {
            return End::Broken("an event is too long".to_owned());
        }
        if whole.is_some() {
            pace.event(context.elapsed_ms());
        }
        if let Some(whole) = whole
            && caller.send(Ok(whole)).await.is_err()
        {
            return End::CallerLeft;
        }
    }
}
