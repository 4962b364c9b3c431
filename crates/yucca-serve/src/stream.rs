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
use yuccacove::forecast::{Decision, Forecast};

use crate::choose::{self, EngineChoice, Need};
use crate::directory::{BackEndKey, Directory};
use crate::events::EventBuffer;
use crate::host::{Host, InFlight};
use crate::loads::Share;
use crate::peers;
use crate::ports::{Answer, AnswerBody, BackEnds, CallFault, PromptHandle};
use crate::reply::{Interrupted, Reply};
use crate::serve::{Job, RunState, Stage};

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
pub async fn run<B: BackEnds>(job: &Rc<Job<B>>) -> Reply {
    let mut opened = match open(job, job.request.resume_after).await {
        Ok(opened) => opened,
        Err(reply) => return *reply,
    };
    if !opened.answer.head.status.is_success() {
        return pass_failure(job, opened).await;
    }
    let head = std::mem::replace(
        &mut opened.answer.head,
        http::Response::new(()).into_parts().0,
    );
    let (sender, chunks) = mpsc::channel(CHUNKS_AHEAD);
    let job = Rc::clone(job);
    tokio::task::spawn_local(async move { pass_events(&job, opened, &sender).await });
    Reply::streamed(head, chunks)
}

/// A run whose answer has begun.
struct Opened<B: BackEnds> {
    key: BackEndKey,
    answer: Answer<B::Body>,
    _in_flight: InFlight<B>,
}

/// Frees a kept prompt unless an engine has fetched it.
struct PromptLease<B: BackEnds> {
    host: Rc<Host<B>>,
    handle: Option<PromptHandle>,
}

impl<B: BackEnds> Drop for PromptLease<B> {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let host = Rc::clone(&self.host);
        tokio::task::spawn_local(async move {
            if let Err(fault) = host.back_ends.free_prompt(&handle).await {
                let fields = format!("back_end={} free_prompt={fault:?}", handle.holder.id);
                log::write(Event::BackendFailed, &fields);
            }
        });
    }
}

/// Starts a run that goes on after the event `resume_after`; several engines are tried where that
/// is allowed. The error is the final reply.
async fn open<B: BackEnds>(
    job: &Rc<Job<B>>,
    resume_after: Option<u64>,
) -> Result<Opened<B>, Box<Reply>> {
    loop {
        let choice = choose_admitted(job).await?;
        let Some(lease) = read_apart(job, &choice).await? else {
            continue;
        };
        if let Some(opened) = run_once(job, &choice, lease, resume_after).await? {
            return Ok(opened);
        }
    }
}

/// The engines for the request, once there is room for it.
async fn choose_admitted<B: BackEnds>(job: &Job<B>) -> Result<EngineChoice, Box<Reply>> {
    let mut is_held = false;
    loop {
        let Some(choice) = choose_engines(job) else {
            return Err(Box::new(job.refuse(Code::NoBackend)));
        };
        match admit(job, &choice) {
            Decision::Admit => return Ok(choice),
            Decision::Hold => {
                if !std::mem::replace(&mut is_held, true) {
                    log_held(job, &choice);
                }
                sleep(HOLD_INTERVAL).await;
            }
            Decision::Refuse { retry_after_ms } => {
                let reply = job.refuse_until(Code::DeadlineUnreachable, retry_after_ms);
                return Err(Box::new(reply));
            }
        }
    }
}

fn log_held<B: BackEnds>(job: &Job<B>, choice: &EngineChoice) {
    log::write(
        Event::Held,
        &format!(
            "request={} route={} engine_use={:.2} reading_ms={:.0} urgent_target_ms={:?} left_ms={}",
            job.request.id,
            job.route.name,
            choice.decode_use,
            choice.reading_ms,
            job.urgent_target_ms,
            job.left_ms()
        ),
    );
}

/// Has the prompt read by another engine if that was chosen. `None` when the engines are to be chosen
/// again.
async fn read_apart<B: BackEnds>(
    job: &Rc<Job<B>>,
    choice: &EngineChoice,
) -> Result<Option<PromptLease<B>>, Box<Reply>> {
    let mut lease = PromptLease {
        host: Rc::clone(&job.host),
        handle: None,
    };
    let Some(prefill) = choice.prefill else {
        return Ok(Some(lease));
    };
    if !job.begin_read() {
        return Err(Box::new(job.refuse(Code::NoBackend)));
    }
    match read_prompt(job, prefill, choice).await {
        Ok(handle) => {
            lease.handle = Some(handle);
            Ok(Some(lease))
        }
        Err(fault) => {
            job.failed(prefill, Stage::Read, &fault, job.run_state());
            if job.sends().run().is_none() {
                return Err(Box::new(job.refuse(Code::NoBackend)));
            }
            Ok(None)
        }
    }
}

/// Starts the generation. `None` when it may be tried again.
async fn run_once<B: BackEnds>(
    job: &Rc<Job<B>>,
    choice: &EngineChoice,
    mut lease: PromptLease<B>,
    resume_after: Option<u64>,
) -> Result<Option<Opened<B>>, Box<Reply>> {
    let decode = match lease.handle {
        Some(_) => choose_decode(job),
        None => Some(choice.decode),
    };
    let Some(key) = decode else {
        return Err(Box::new(job.refuse(Code::NoBackend)));
    };
    let before = job.sends();
    if !job.begin_run() {
        return Err(Box::new(job.refuse(Code::BackendFailed)));
    }
    let tokens = job.request.prompt.as_ref().map_or(0, |p| p.tokens);
    let in_flight = InFlight::start(&job.host, key, Share::Generation { tokens });
    let state = job.run_state();
    match start_run(job, key, choice, &lease, resume_after).await {
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
                job.unsend(before);
            }
            if job.failed(key, Stage::Run, &fault, state) {
                Ok(None)
            } else {
                Err(Box::new(job.refuse(Code::BackendUnreachable)))
            }
        }
    }
}

/// Whether a generation is worth a start by its forecast. One that was started before goes on.
fn admit<B: BackEnds>(job: &Job<B>, choice: &EngineChoice) -> Decision {
    if job.has_started() {
        return Decision::Admit;
    }
    let wait = Forecast {
        first_token_ms: choice.first_token_ms,
        elapsed_ms: job.elapsed_ms(),
        left_ms: job.left_ms(),
        target_ms: job.route.target_ms,
        urgency: job.route.urgency,
        decode_utilisation: choice.decode_use,
        prefill_queue_ms: choice.reading_ms,
        urgent_target_ms: job.urgent_target_ms,
    };
    wait.decide(job.host.draw())
}

fn choose_engines<B: BackEnds>(job: &Job<B>) -> Option<EngineChoice> {
    with_need(job, |directory, need, tried| {
        choose::engines(directory, need, tried, job.host.now_ms())
    })
}

/// The engine that generates the answer, chosen after the prompt was read: the loads have changed,
/// and an engine may have left, while it was.
fn choose_decode<B: BackEnds>(job: &Job<B>) -> Option<BackEndKey> {
    with_need(job, |directory, need, tried| {
        choose::decode_engine(directory, need, tried, job.host.now_ms())
    })
}

fn with_need<B: BackEnds, T>(
    job: &Job<B>,
    choose: impl FnOnce(&Directory, &Need<'_>, &[BackEndKey]) -> T,
) -> T {
    let host = &job.host;
    let need = Need {
        may_read_apart: job.sends().read().is_some(),
        request: &job.request,
        service: &job.service,
        zone: &host.deployment.zone,
        gap_ms: job.route.target_gap_ms,
        tokens_per_event: job.engine.tokens_per_event,
        slots: job.engine.slots,
        memory_tokens: job.engine.kv_tokens,
    };
    choose(&host.directory.borrow(), &need, &job.tried.borrow())
}

/// Address of the engine from which kept parts of the prompt are fetched.
fn keeper_address<B: BackEnds>(job: &Job<B>, choice: &EngineChoice) -> Option<SocketAddr> {
    choice.keeper.map(|key| job.host.target(key).address)
}

/// Has the prompt read by `key`, within a time that follows from the forecast.
async fn read_prompt<B: BackEnds>(
    job: &Rc<Job<B>>,
    key: BackEndKey,
    choice: &EngineChoice,
) -> Result<PromptHandle, CallFault> {
    let host = &job.host;
    let _in_flight = InFlight::start(host, key, Share::Request);
    let target = host.target(key);
    let started_ms = host.now_ms();
    let pending_ms = begin_reading(job, key, choice.read_ms);
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} stage=read back_end={} pending_ms={pending_ms:.0} read_ms={:.0} \
             first_token_ms={:.0} left_ms={}",
            job.request.id,
            job.route.name,
            target.id,
            choice.read_ms,
            choice.first_token_ms,
            job.left_ms()
        ),
    );
    let forecast_ms = pending_ms + choice.read_ms;
    let limit_ms = (forecast_ms * READ_FACTOR) as u64 + READ_SLACK_MS;
    let mut call = job.call();
    call.is_repeatable = true;
    call.fetch_from = keeper_address(job, choice);
    let read = host.back_ends.read_prompt(&target, &job.request, call);
    let outcome = match timeout(Duration::from_millis(limit_ms), read).await {
        Ok(outcome) => outcome,
        Err(_) => {
            host.back_ends.retire(&target);
            let mut directory = host.directory.borrow_mut();
            directory
                .get_mut(key)
                .fitness
                .record_unreachable(host.now_ms());
            Err(CallFault::Broken("reading the prompt timed out".to_owned()))
        }
    };
    let is_refused = matches!(
        outcome,
        Err(CallFault::NotRun { .. } | CallFault::NotSent(_))
    );
    if !matches!(outcome, Err(CallFault::NotSent(_))) {
        job.read_ended(is_refused);
    }
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    let back_end = directory.get_mut(key);
    if outcome.is_ok() {
        let took_ms = (now_ms - started_ms) as f64;
        back_end.load.correct(took_ms - forecast_ms, now_ms);
        back_end.fitness.record_response(true);
    } else {
        back_end.load.correct(-2.0 * choice.read_ms, now_ms);
    }
    outcome
}

/// Whether an engine is known to keep the parts of the prompt that other requests share.
fn is_shared_part_kept<B>(host: &Host<B>, chain: &[(u64, u32)]) -> bool {
    let Some(shared) = chain.len().checked_sub(2).map(|at| &chain[..=at]) else {
        return true;
    };
    let (_, tokens) = shared[shared.len() - 1];
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    directory
        .iter_mut()
        .any(|back_end| back_end.load.kept_tokens(shared, now_ms) == tokens)
}

/// Puts the reading of the prompt on the engine's load; returns the work before it.
fn begin_reading<B: BackEnds>(job: &Job<B>, key: BackEndKey, read_ms: f64) -> f64 {
    let host = &job.host;
    let now_ms = host.now_ms();
    let chain = job.request.prompt.as_ref().map(choose::chain);
    let chain = chain.unwrap_or_default();
    host.demand.borrow_mut().read(read_ms);
    let reading = peers::reading(host, key, read_ms, &chain);
    if !is_shared_part_kept(host, &chain) {
        host.peers.tell_new_part(reading);
    }
    host.tell(reading);
    let mut directory = host.directory.borrow_mut();
    let load = &mut directory.get_mut(key).load;
    let pending_ms = load.pending_ms(now_ms);
    load.add_reading(read_ms, now_ms);
    load.keep(&chain, now_ms);
    pending_ms
}

async fn start_run<B: BackEnds>(
    job: &Rc<Job<B>>,
    key: BackEndKey,
    choice: &EngineChoice,
    lease: &PromptLease<B>,
    resume_after: Option<u64>,
) -> Result<Answer<B::Body>, CallFault> {
    let host = &job.host;
    let target = host.target(key);
    let mut call = job.call();
    call.resume_after = resume_after;
    call.urgency = RUN_URGENCY;
    call.prompt = lease.handle.clone();
    let pending_ms = if call.prompt.is_some() {
        0.0
    } else {
        call.fetch_from = keeper_address(job, choice);
        begin_reading(job, key, choice.read_ms)
    };
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} stage=run back_end={} has_prompt={} pending_ms={pending_ms:.0} \
             read_ms={:.0} first_token_ms={:.0} left_ms={}",
            job.request.id,
            job.route.name,
            target.id,
            call.prompt.is_some(),
            choice.read_ms,
            choice.first_token_ms,
            call.left_ms
        ),
    );
    job.set_may_have_run(true);
    let started_ms = host.now_ms();
    let has_prompt = call.prompt.is_some();
    let answer = host.back_ends.run(&target, &job.request, call).await?;
    let now_ms = host.now_ms();
    let took_ms = (now_ms - started_ms) as f64;
    let mut directory = host.directory.borrow_mut();
    let load = &mut directory.get_mut(key).load;
    if has_prompt {
        // The engine keeps what it fetched.
        let chain = job.request.prompt.as_ref().map(choose::chain);
        load.keep(&chain.unwrap_or_default(), now_ms);
    } else {
        load.correct(took_ms - pending_ms - choice.read_ms, now_ms);
    }
    Ok(answer)
}

/// Passes on an answer that is no success.
async fn pass_failure<B: BackEnds>(job: &Rc<Job<B>>, mut opened: Opened<B>) -> Reply {
    let mut bytes = Vec::new();
    while let Some(chunk) = opened.answer.body.chunk().await {
        let Ok(chunk) = chunk else {
            return job.refuse(Code::BackendFailed);
        };
        bytes.extend_from_slice(&chunk);
    }
    let mut directory = job.host.directory.borrow_mut();
    directory.get_mut(opened.key).fitness.record_response(false);
    let head = opened.answer.head;
    log::write(
        Event::Failed,
        &format!(
            "request={} status={} elapsed_ms={}",
            job.request.id,
            head.status.as_u16(),
            job.elapsed_ms()
        ),
    );
    Reply::whole(head, Bytes::from(bytes))
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
async fn pass_events<B: BackEnds>(
    job: &Rc<Job<B>>,
    mut opened: Opened<B>,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) {
    let mut events = EventBuffer::resumed(job.request.resume_after);
    let mut pace = Pace::default();
    loop {
        let end = pass_run(job, &mut opened, &mut events, &mut pace, caller).await;
        let target = job.host.target(opened.key);
        let fields = format!(
            "request={} route={} back_end={} last_event={:?} first_event_ms={} max_gap_ms={} \
             elapsed_ms={}",
            job.request.id,
            job.route.name,
            target.id,
            events.last_id(),
            pace.first_ms.unwrap_or(0),
            pace.max_gap_ms,
            job.elapsed_ms()
        );
        match end {
            End::Complete => {
                let first_ms = pace.first_ms.unwrap_or(0);
                job.host
                    .metrics
                    .streamed(job.route.urgency, first_ms, pace.max_gap_ms);
                let mut directory = job.host.directory.borrow_mut();
                directory.get_mut(opened.key).fitness.record_response(true);
                return log::write(Event::Finished, &fields);
            }
            End::CallerLeft => return log::write(Event::Cancelled, &fields),
            End::TimedOut => {
                log::write(Event::Failed, &format!("{fields} cause=timeout"));
                break;
            }
            End::Broken(cause) => {
                let fault = CallFault::Broken(cause);
                let may_repeat = job.failed(opened.key, Stage::Run, &fault, RunState::MayHaveRun);
                // The failed run is closed before another one starts.
                drop(opened);
                if !may_repeat {
                    break;
                }
                events.discard_partial();
                match resume(job, events.last_id(), caller).await {
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
async fn resume<B: BackEnds>(
    job: &Rc<Job<B>>,
    last_id: Option<u64>,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) -> Option<Opened<B>> {
    tokio::select! {
        opened = open(job, last_id) => {
            opened.ok().filter(|opened| opened.answer.head.status.is_success())
        }
        () = caller.closed() => None,
        () = sleep_until(job.limit) => None,
    }
}

async fn pass_run<B: BackEnds>(
    job: &Rc<Job<B>>,
    opened: &mut Opened<B>,
    events: &mut EventBuffer,
    pace: &mut Pace,
    caller: &mpsc::Sender<Result<Bytes, Interrupted>>,
) -> End {
    loop {
        let chunk = tokio::select! {
            chunk = opened.answer.body.chunk() => chunk,
            () = caller.closed() => return End::CallerLeft,
            () = sleep_until(job.limit) => return End::TimedOut,
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
            pace.event(job.elapsed_ms());
        }
        if let Some(whole) = whole
            && caller.send(Ok(whole)).await.is_err()
        {
            return End::CallerLeft;
        }
    }
}
