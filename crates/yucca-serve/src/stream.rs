//! Requests to model services: the prompt is prefilled, possibly on another engine, and the events
//! of the stream are forwarded as they arrive. A broken stream is resumed by another attempt if its
//! route allows it.

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, sleep_until};
use yucca_io::log;
use yucca_io::log::field;
use yuccacove::code::Code;
use yuccacove::connection_budget::Shortage;
use yuccacove::event::Event;
use yuccacove::fair_shares::Asker;
use yuccacove::forecast::Forecast;
use yuccacove::memory_budget::Purpose;
use yuccacove::overload::{Ask, Decision, Reason};
use yuccacove::prompt_placement::{first_step_ms, start_ms};

use crate::body_buffer::BodyBuffer;
use crate::choose::{self, EngineChoice, PlacementInput};
use crate::config::EngineSpec;
use crate::crashes::{self, Permission, TRIAL_POLL_MS};
use crate::directory::{BackendKey, Directory};
use crate::events::EventBuffer;
use crate::hash::hash_of;
use crate::held::{Held, ServiceOverload};
use crate::host::InFlight;
use crate::loads::Reservation;
use crate::named_limits;
use crate::plain::MAX_BUFFERED_BYTES;
use crate::ports::{BackendResponse, Backends, CallFault, ResponseBody};
use crate::prefill::{KvCacheGuard, PrefillGuard, prefill_if_remote, prefix_source_address};
use crate::proxies;
use crate::reply::{Interrupted, Reply, ReplyData};
use crate::serve::{Progress, RequestContext, RunState, Stage};
use crate::stream_versions::{self, KnownVersion};

/// Capacity of the channel that carries the chunks of a response to the caller.
const CHANNEL_CHUNKS: usize = 16;
/// Size of events that are sent without memory, one at a time. It is above that of ordinary ones, so that
/// streams go on while the memory for bodies is in use.
pub(crate) const UNCOUNTED_BYTES: usize = 4 * 1_024;
/// Urgency of all generations on decode engines. An engine that preempts a generation for a more
/// urgent one must prefill its entire prompt again, which delays all streams of the engine by more
/// than the urgent one gains.
const DECODE_URGENCY: u8 = 0;

/// Starts a generation and returns its reply, whose body receives the events as they arrive.
pub async fn serve<B: Backends>(context: &Rc<RequestContext<B>>) -> Reply {
    if let Err(reply) = require_version(context).await {
        return *reply;
    }
    let mut opened = match open_stream(context, context.request.resume_after).await {
        Ok(opened) => opened,
        Err(reply) => return *reply,
    };
    if !opened.response.head.status.is_success() {
        return forward_error(context, opened).await;
    }
    let head = std::mem::replace(
        &mut opened.response.head,
        http::Response::new(()).into_parts().0,
    );
    let (sender, chunks) = mpsc::channel(CHANNEL_CHUNKS);
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move { forward_stream(&context, opened, &sender).await });
    Reply::streamed(head, chunks)
}

/// Finds out at which software version a stream goes on that its caller resumes. The error is the final
/// reply if that is not known, or no engine of that version serves.
async fn require_version<B: Backends>(context: &RequestContext<B>) -> Result<(), Box<Reply>> {
    if context.request.resume_after.is_none() {
        return Ok(());
    }
    let host = &context.host;
    let resumed_id = context.request.resumed_id.as_deref();
    let wait_ms = context.request.deadline_ms;
    let version = stream_versions::version_of(host, &context.service, resumed_id, wait_ms).await;
    let Some(KnownVersion { version, has_begun }) = version else {
        return Err(Box::new(context.refuse(Code::VersionUnknown)));
    };
    let directory = host.directory.borrow();
    if !directory.has_version(&context.service, version, host.now_ms()) {
        return Err(Box::new(context.refuse(Code::VersionGone)));
    }
    context.required_version.set(Some(version));
    context.has_begun.set(has_begun);
    Ok(())
}

/// An attempt whose response has begun.
struct OpenStream<B: Backends> {
    key: BackendKey,
    response: BackendResponse<B::Body>,
    progress: Progress,
    _in_flight: InFlight<B>,
    /// Ends the trial of the request, if it is on trial, together with the attempt.
    permission: Permission<B>,
}

/// Starts an attempt that resumes after the event `resume_after`, and retries on other engines
/// where that is allowed. The error is the final reply.
async fn open_stream<B: Backends>(
    context: &Rc<RequestContext<B>>,
    resume_after: Option<u64>,
) -> Result<OpenStream<B>, Box<Reply>> {
    loop {
        let permission = wait_for_permission(context).await?;
        let choice = choose_admitted(context).await?;
        let Some(kv_cache) = prefill_if_remote(context, &choice).await? else {
            continue;
        };
        let attempt = attempt_once(context, &choice, kv_cache, resume_after).await?;
        if let Some(mut opened) = attempt {
            opened.permission = permission;
            return Ok(opened);
        }
    }
}

/// Waits while the request is on trial elsewhere. The error is the final reply.
async fn wait_for_permission<B: Backends>(
    context: &RequestContext<B>,
) -> Result<Permission<B>, Box<Reply>> {
    let mut waited_ms = 0;
    loop {
        match crashes::permission(&context.host, &context.crash_keys, waited_ms) {
            Permission::Denied => return Err(Box::new(context.refuse(Code::SuspectRefused))),
            Permission::Wait => {
                waited_ms += TRIAL_POLL_MS;
                sleep(Duration::from_millis(TRIAL_POLL_MS)).await;
            }
            permission => return Ok(permission),
        }
    }
}

/// Chooses the engines for the request and waits until it is admitted. The error is the final
/// reply.
async fn choose_admitted<B: Backends>(
    context: &RequestContext<B>,
) -> Result<EngineChoice, Box<Reply>> {
    let overload = context.overload();
    let mut held: Option<Held> = None;
    // A stream that was admitted once goes on, whether this host or its caller resumes it.
    let mut is_admitted = context.has_started() || context.has_begun.get();
    loop {
        if context.crashes_backends() {
            return Err(Box::new(context.refuse(Code::SuspectRefused)));
        }
        let Some(choice) = choose_engines(context) else {
            return Err(Box::new(context.refuse_unplaced()));
        };
        context.count_demand(choice.prefill_engine_ms());
        let ask = ask(context, &overload, &choice, held.as_ref());
        let decision = if is_admitted {
            Decision::Admit
        } else {
            decide(context, &overload, &ask)
        };
        match decision {
            Decision::Admit => {
                is_admitted = true;
                // It must not stand before others while it waits for a grant.
                held = None;
                if context
                    .ensure_grant(choice.prefill.unwrap_or(choice.decode))
                    .await
                {
                    return Ok(choice);
                }
            }
            Decision::Hold { precedence, reason } => {
                let held = held.get_or_insert_with(|| {
                    log_held(context, &overload, &ask, reason);
                    Held::enter(&overload, precedence)
                });
                let max_hold_ms = ask.forecast.max_hold_ms();
                let left_ms = max_hold_ms.saturating_sub(ask.forecast.elapsed_ms);
                held.wait(Duration::from_millis(left_ms)).await;
            }
            Decision::Refuse {
                retry_after_ms,
                reason,
            } => {
                context.host.metrics.record_overload(reason);
                let cause = format!(" {}", inputs(&overload, &ask, reason));
                let reply = context.refuse_overloaded(retry_after_ms, &cause);
                return Err(Box::new(reply));
            }
        }
    }
}

fn log_held<B: Backends>(
    context: &RequestContext<B>,
    overload: &ServiceOverload,
    ask: &Ask,
    reason: Reason,
) {
    context.host.metrics.record_hold(reason);
    log::write(
        Event::Held,
        &format!(
            "request={} route={} {}",
            context.request.id,
            context.route.name,
            inputs(overload, ask, reason)
        ),
    );
}

/// Returns the log fields with the inputs to the decision about a request.
fn inputs(overload: &ServiceOverload, ask: &Ask, reason: Reason) -> String {
    let forecast = &ask.forecast;
    format!(
        "reason={} engine_use={:.2} reading_ms={:.0} urgent_target_ms={:?} first_token_ms={:.0} \
         work_ms={:.0} target_ms={} urgency={} elapsed_ms={} left_ms={} served_share={:.2}",
        reason.name(),
        forecast.decode_utilisation,
        forecast.prefill_queue_ms,
        forecast.urgent_target_ms,
        forecast.first_token_ms,
        ask.work_ms,
        forecast.target_ms,
        forecast.urgency,
        forecast.elapsed_ms,
        forecast.left_ms,
        overload.served_share()
    )
}

/// Starts the generation on a decode engine. Returns `None` if the request may be retried; the
/// error is the final reply.
async fn attempt_once<B: Backends>(
    context: &Rc<RequestContext<B>>,
    choice: &EngineChoice,
    mut kv_cache: KvCacheGuard<B>,
    resume_after: Option<u64>,
) -> Result<Option<OpenStream<B>>, Box<Reply>> {
    let decode = match kv_cache.handle {
        Some(_) => choose_granted_decode(context).await,
        None => Some(choice.decode),
    };
    let Some(key) = decode else {
        return Err(Box::new(context.refuse_unplaced()));
    };
    // The cause of crashes may have become known during the remote prefill.
    if context.crashes_backends() {
        return Err(Box::new(context.refuse(Code::SuspectRefused)));
    }
    let attempts_before = context.attempts();
    if !context.begin_attempt() {
        return Err(Box::new(context.refuse(Code::BackendFailed)));
    }
    let tokens = context.request.prompt.as_ref().map_or(0, |p| p.tokens);
    let in_flight = InFlight::start(&context.host, key, Reservation::Generation { tokens });
    named_limits::record_request(&context.host, key);
    let state_before = context.run_state();
    match send_generation(context, key, choice, &kv_cache, resume_after).await {
        Ok(response) => {
            kv_cache.handle = None;
            // An engine that answers with an error of its own has worked on the request.
            if response.head.status.is_server_error() {
                context.count_generation();
            }
            Ok(Some(OpenStream {
                key,
                response,
                progress: Progress::Head,
                _in_flight: in_flight,
                permission: Permission::Granted,
            }))
        }
        Err(fault) => {
            if matches!(fault, CallFault::NotSent(_)) {
                context.restore_attempts(attempts_before);
            }
            let (stage, progress) = (Stage::Run, Progress::NoHead);
            let may_repeat = context.record_failure(key, stage, progress, &fault, state_before);
            drop(in_flight);
            let is_safe = crashes::record_fault(context, key, stage, progress, &fault).await;
            if may_repeat && is_safe {
                Ok(None)
            } else {
                Err(Box::new(context.refuse(Code::BackendUnreachable)))
            }
        }
    }
}

/// Decides whether a generation is admitted, held or refused.
fn decide<B: Backends>(
    context: &RequestContext<B>,
    overload: &ServiceOverload,
    ask: &Ask,
) -> Decision {
    let host = &context.host;
    let decision = overload.decide(ask, host.now_ms(), host.draw());
    let over = i64::try_from(overload.organisations_over()).unwrap_or(i64::MAX);
    host.metrics.organisations_over.set(over);
    decision
}

/// Returns the inputs to the decision about a generation on the chosen engines.
pub(crate) fn ask<B: Backends>(
    context: &RequestContext<B>,
    overload: &ServiceOverload,
    choice: &EngineChoice,
    held: Option<&Held>,
) -> Ask {
    let prompt = context.request.prompt.as_ref();
    let tokens = prompt.map_or(0, |prompt| prompt.tokens);
    let max_output_tokens = prompt.map_or(0, |prompt| prompt.max_output_tokens);
    let kind = hash_of(&context.route.name);
    let organisation = context.request.organisation.as_deref();
    let output_tokens = overload.expected_tokens(kind, max_output_tokens);
    let forecast = Forecast {
        first_token_ms: choice.first_token_ms,
        elapsed_ms: context.elapsed_ms(),
        left_ms: context.left_ms(),
        target_ms: context.route.target_ms,
        urgency: context.route.urgency,
        decode_utilisation: choice.decode_utilisation,
        prefill_queue_ms: choice.pending_ms,
        urgent_target_ms: context.urgent_target_ms,
    };
    Ask {
        asker: Asker {
            organisation: organisation.map(hash_of),
            kind,
            urgency: context.route.urgency,
            tokens,
        },
        forecast,
        work_ms: choice.prefill_ms + decode_work_ms(&context.engine, tokens, output_tokens),
        ticket: held.map(|held| held.ticket),
    }
}

/// Returns the part of an engine's time that a generation takes up by its slot or its KV cache,
/// whichever is the larger part of the engine's.
fn decode_work_ms(engine: &EngineSpec, tokens: u32, output_tokens: f64) -> f64 {
    let slot_share = 1.0 / f64::from(engine.slots.max(1));
    let kv_share = (f64::from(tokens) + output_tokens) / engine.kv_tokens.max(1) as f64;
    output_tokens * choose::TOKEN_MS * slot_share.max(kv_share)
}

fn choose_engines<B: Backends>(context: &RequestContext<B>) -> Option<EngineChoice> {
    with_input(context, |directory, input, excluded| {
        choose::engines(directory, input, excluded, context.host.now_ms())
    })
}

/// Chooses the decode engine after a remote prefill. During the prefill the loads have changed, and
/// the engine that was chosen before may have left.
fn choose_decode<B: Backends>(context: &RequestContext<B>) -> Option<BackendKey> {
    with_input(context, |directory, input, excluded| {
        choose::decode_engine(directory, input, excluded, context.host.now_ms())
    })
}

/// As [`choose_decode`], with a grant if the engine is at the limit that it names.
async fn choose_granted_decode<B: Backends>(context: &RequestContext<B>) -> Option<BackendKey> {
    loop {
        let key = choose_decode(context)?;
        if context.ensure_grant(key).await {
            return Some(key);
        }
    }
}

fn with_input<B: Backends, T>(
    context: &RequestContext<B>,
    select: impl FnOnce(&Directory, &PlacementInput<'_>, &[BackendKey]) -> T,
) -> T {
    with_drawn_input(context, context.host.draw(), select)
}

/// As [`with_input`], with the random number that spreads the choices of the hosts.
pub(crate) fn with_drawn_input<B: Backends, T>(
    context: &RequestContext<B>,
    draw: u64,
    select: impl FnOnce(&Directory, &PlacementInput<'_>, &[BackendKey]) -> T,
) -> T {
    let host = &context.host;
    let input = PlacementInput {
        allow_remote_prefill: context.attempts().prefill_cost().is_some(),
        request: &context.request,
        service: &context.service,
        zone: &host.deployment.zone,
        gap_ms: context.route.target_gap_ms,
        tokens_per_event: context.engine.tokens_per_event,
        slots: context.engine.slots,
        kv_tokens: context.engine.kv_tokens,
        version: context.required_version.get(),
        draw,
    };
    let excluded = context.excluded_backends();
    select(&host.directory.borrow(), &input, &excluded)
}

/// Sends the generation to the decode engine `key` and waits for the head of the response.
async fn send_generation<B: Backends>(
    context: &Rc<RequestContext<B>>,
    key: BackendKey,
    choice: &EngineChoice,
    kv_cache: &KvCacheGuard<B>,
    resume_after: Option<u64>,
) -> Result<BackendResponse<B::Body>, CallFault> {
    let host = &context.host;
    let target = host.target(key);
    let mut call = context.call();
    call.resume_after = resume_after;
    call.urgency = DECODE_URGENCY;
    call.kv_cache = kv_cache.handle.clone();
    let prefill = if call.kv_cache.is_some() {
        None
    } else {
        call.prefix_source = prefix_source_address(context, choice);
        Some(PrefillGuard::begin(context, key, choice))
    };
    let pending_ms = prefill.as_ref().map_or(0.0, |prefill| prefill.pending_ms);
    let software = Rc::clone(&host.directory.borrow().get(key).entry.software);
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} config={} stage=run back_end={} software={} resumed={} \
             has_prompt={} pending_ms={pending_ms:.0} read_ms={:.0} first_token_ms={:.0} left_ms={}",
            context.request.id,
            context.route.name,
            context.config_version,
            target.id,
            field(&software),
            field(context.request.resumed_id.as_deref().unwrap_or_default()),
            call.kv_cache.is_some(),
            choice.prefill_ms,
            choice.first_token_ms,
            call.left_ms
        ),
    );
    context.set_may_have_run(true);
    let started_ms = host.now_ms();
    let has_prompt = call.kv_cache.is_some();
    let response = proxies::call(host, key, call, async |to, call| {
        host.backends
            .send_request(&to, &context.request, call)
            .await
    })
    .await?;
    named_limits::record_response(host, key, response.limit_per_s, started_ms);
    let now_ms = host.now_ms();
    let took_ms = (now_ms - started_ms) as f64;
    if let Some(prefill) = prefill {
        prefill.complete_in_generation();
    }
    let mut directory = host.directory.borrow_mut();
    let prompt = context.request.prompt.as_ref();
    let decode_speed = directory.get(key).load.decode_speed;
    if has_prompt {
        // The engine keeps the fetched KV cache as a cached prefix.
        let prefixes = prompt.map(choose::prefixes).unwrap_or_default();
        let load = &mut directory.get_mut(key).load;
        load.record_cached(&prefixes, now_ms);
        let forecast_ms = start_ms(prompt.map_or(0, |prompt| prompt.tokens), decode_speed);
        directory.update_service_speed(key, |service| {
            service.decode_delay.record(took_ms - forecast_ms);
        });
    } else {
        let forecast_ms = pending_ms + choice.prefill_ms + first_step_ms(decode_speed);
        directory.update_service_speed(key, |service| {
            service.one_stage_delay.record(took_ms - forecast_ms);
        });
    }
    Ok(response)
}

/// Forwards an error response of a backend.
async fn forward_error<B: Backends>(
    context: &Rc<RequestContext<B>>,
    mut opened: OpenStream<B>,
) -> Reply {
    let directory = &context.host.directory;
    let key = opened.key;
    directory
        .borrow_mut()
        .get_mut(key)
        .health
        .record_response(false);
    let memory = context.host.memory.guard(Purpose::Response);
    let mut buffer = BodyBuffer::new(memory, None, MAX_BUFFERED_BYTES);
    while let Some(chunk) = opened.response.body.chunk().await {
        let Ok(chunk) = chunk else {
            return context.refuse(Code::BackendFailed);
        };
        let is_too_long = buffer.len() + chunk.len() > MAX_BUFFERED_BYTES;
        if is_too_long || !buffer.try_push(&chunk) {
            return context.refuse(Code::BackendFailed);
        }
    }
    let head = opened.response.head;
    log::write(
        Event::Failed,
        &format!(
            "request={} status={} elapsed_ms={}{}",
            context.request.id,
            head.status.as_u16(),
            context.elapsed_ms(),
            context.usage_fields()
        ),
    );
    Reply::complete(head, ReplyData::segmented(buffer.finish()))
}

/// Times of a stream's events, in milliseconds since the request was received.
#[derive(Debug, Default)]
struct EventTimes {
    first_ms: Option<u64>,
    last_ms: u64,
    max_gap_ms: u64,
}

impl EventTimes {
    fn record(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            self.max_gap_ms = self.max_gap_ms.max(now_ms - self.last_ms);
        }
        self.last_ms = now_ms;
    }
}

/// How the events of an attempt ended.
enum StreamEnd {
    Complete,
    CallerLeft,
    TimedOut,
    Broken(String),
}

/// Forwards events until the stream is complete, and resumes it by further attempts if necessary.
async fn forward_stream<B: Backends>(
    context: &Rc<RequestContext<B>>,
    mut opened: OpenStream<B>,
    caller: &mpsc::Sender<Result<ReplyData, Interrupted>>,
) {
    let mut events = EventBuffer::resumed(context.request.resume_after);
    let mut times = EventTimes::default();
    loop {
        let end = forward_attempt(context, &mut opened, &mut events, &mut times, caller).await;
        let target = context.host.target(opened.key);
        let fields = format!(
            "request={} route={} back_end={} last_event={:?} first_event_ms={} max_gap_ms={} \
             elapsed_ms={}{}",
            context.request.id,
            context.route.name,
            target.id,
            events.last_id(),
            times.first_ms.unwrap_or(0),
            times.max_gap_ms,
            context.elapsed_ms(),
            context.usage_fields()
        );
        match end {
            StreamEnd::Complete => {
                let first_ms = times.first_ms.unwrap_or(0);
                context.host.metrics.record_stream(
                    context.route.urgency,
                    first_ms,
                    times.max_gap_ms,
                );
                let mut directory = context.host.directory.borrow_mut();
                directory.get_mut(opened.key).health.record_response(true);
                drop(directory);
                record_output(context, events.last_id());
                return log::write(Event::Finished, &fields);
            }
            StreamEnd::CallerLeft => return log::write(Event::Cancelled, &fields),
            StreamEnd::TimedOut => {
                log::write(Event::Failed, &format!("{fields} cause=timeout"));
                break;
            }
            StreamEnd::Broken(cause) => {
                let fault = CallFault::Broken(cause);
                let may_repeat = context.record_failure(
                    opened.key,
                    Stage::Run,
                    opened.progress,
                    &fault,
                    RunState::MayHaveRun,
                );
                let (key, progress) = (opened.key, opened.progress);
                // The failed attempt is closed before another one starts.
                drop(opened);
                let is_safe =
                    crashes::record_fault(context, key, Stage::Run, progress, &fault).await;
                if !may_repeat || !is_safe {
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
    // The send fails only if the caller has left as well.
    let _ = caller.send(Err(Interrupted)).await;
}

/// Records the length of a complete generation, for the work that later ones are expected to need.
fn record_output<B: Backends>(context: &RequestContext<B>, last_event: Option<u64>) {
    let (Some(prompt), Some(last_event)) = (&context.request.prompt, last_event) else {
        return;
    };
    let tokens = last_event.saturating_mul(u64::from(context.engine.tokens_per_event));
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    let overload = context.overload();
    let kind = hash_of(&context.route.name);
    overload.record_output(kind, prompt.max_output_tokens, tokens);
}

/// Starts another attempt. Returns `None` if it fails, the caller leaves or the deadline passes.
async fn resume<B: Backends>(
    context: &Rc<RequestContext<B>>,
    last_id: Option<u64>,
    caller: &mpsc::Sender<Result<ReplyData, Interrupted>>,
) -> Option<OpenStream<B>> {
    tokio::select! {
        opened = open_stream(context, last_id) => {
            opened.ok().filter(|opened| opened.response.head.status.is_success())
        }
        () = caller.closed() => None,
        () = sleep_until(context.deadline) => None,
    }
}

/// Forwards the events of one attempt until it ends.
async fn forward_attempt<B: Backends>(
    context: &Rc<RequestContext<B>>,
    opened: &mut OpenStream<B>,
    events: &mut EventBuffer,
    times: &mut EventTimes,
    caller: &mpsc::Sender<Result<ReplyData, Interrupted>>,
) -> StreamEnd {
    let mut partial = context.host.memory.guard(Purpose::Response);
    loop {
        let chunk = tokio::select! {
            chunk = opened.response.body.chunk() => chunk,
            () = caller.closed() => return StreamEnd::CallerLeft,
            () = sleep_until(context.deadline) => return StreamEnd::TimedOut,
        };
        let bytes = match chunk {
            Some(Ok(bytes)) => bytes,
            Some(Err(cause)) => return StreamEnd::Broken(cause),
            None if !opened.response.is_framed && opened.progress == Progress::Head => {
                return StreamEnd::Broken("connection ended before an event".to_owned());
            }
            None if events.is_at_boundary() => return StreamEnd::Complete,
            None => return StreamEnd::Broken("stream ended within an event".to_owned()),
        };
        let needed_bytes = counted_bytes(events.bytes_to_push(bytes.len()));
        let connections = &context.host.connections;
        if !connections
            .reserve_body(|| partial.resize(needed_bytes))
            .await
        {
            return StreamEnd::Broken("memory for bodies is in use".to_owned());
        }
        let complete = events.push(&bytes);
        // Its buffer is not held while the caller is slow.
        drop(bytes);
        if events.is_too_long() {
            return StreamEnd::Broken("event exceeds the size limit".to_owned());
        }
        // A smaller size is always granted.
        let _ = partial.resize(counted_bytes(events.capacity()));
        if complete.is_some() {
            let elapsed_ms = context.elapsed_ms();
            if opened.progress == Progress::Head {
                crashes::record_sound(&context.host, &context.crash_keys);
                opened.progress = Progress::Events;
                context.count_generation();
                record_version(context, opened.key);
            } else if caller.capacity() == caller.max_capacity() {
                // A caller that does not read delays the events.
                record_gap(context, opened.key, elapsed_ms - times.last_ms);
            }
            times.record(elapsed_ms);
        }
        if let Some(complete) = complete {
            let sent = send_events(context, complete, caller).await;
            if let Err(end) = sent {
                return end;
            }
        }
    }
}

/// Records the software version of the engine that has made the first event of the caller's try. The
/// stream goes on at this version only.
fn record_version<B: Backends>(context: &RequestContext<B>, key: BackendKey) {
    if context.required_version.get().is_some() {
        return;
    }
    let version = context.host.directory.borrow().get(key).version();
    context.required_version.set(Some(version));
    let request = &context.request;
    stream_versions::record_begin(&context.host, &request.id, version, request.deadline_ms);
}

/// Returns the part of the buffer of an incomplete event for which memory is reserved.
fn counted_bytes(buffer_bytes: usize) -> usize {
    buffer_bytes.saturating_sub(UNCOUNTED_BYTES)
}

/// Records the time between two events of a stream, from which the decode speed of its engine is
/// learned.
fn record_gap<B: Backends>(context: &RequestContext<B>, key: BackendKey, gap_ms: u64) {
    let host = &context.host;
    let nominal_ms = f64::from(context.engine.tokens_per_event) * choose::TOKEN_MS;
    let mut directory = host.directory.borrow_mut();
    let load = &mut directory.get_mut(key).load;
    load.record_decode(gap_ms as f64, nominal_ms, host.now_ms());
}

/// Sends complete events to the caller. The error is the end of the attempt.
async fn send_events<B: Backends>(
    context: &RequestContext<B>,
    events: Bytes,
    caller: &mpsc::Sender<Result<ReplyData, Interrupted>>,
) -> Result<(), StreamEnd> {
    let mut memory = context.host.memory.guard(Purpose::Response);
    let has_memory = memory.grow(events.len());
    let is_small = events.len() <= UNCOUNTED_BYTES;
    if is_small && has_memory {
        let sent = caller.send(Ok(ReplyData::reserved(events, memory))).await;
        return sent.map_err(|_| StreamEnd::CallerLeft);
    }
    if !has_memory {
        context.host.connections.relieve(Shortage::BodyMemory);
    }
    if !is_small && !has_memory {
        return Err(StreamEnd::Broken("memory for bodies is in use".to_owned()));
    }
    // Large ones, and those without memory, wait until the caller has taken all before them, so that few
    // of them are held.
    let permits = caller.reserve_many(CHANNEL_CHUNKS).await;
    let mut permits = permits.map_err(|_| StreamEnd::CallerLeft)?;
    if let Some(permit) = permits.next() {
        permit.send(Ok(ReplyData::reserved(events, memory)));
    }
    Ok(())
}
