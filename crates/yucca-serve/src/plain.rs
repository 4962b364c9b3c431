//! Requests to plain services: a short response is read completely before it is forwarded.

use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant, sleep, timeout_at};
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::connection_budget::Shortage;
use yuccacove::event::Event;
use yuccacove::memory_budget::Purpose;

use crate::body_buffer::BodyBuffer;
use crate::choose;
use crate::crashes::{self, Permission, TRIAL_POLL_MS};
use crate::host::{Host, InFlight};
use crate::loads::Reservation;
use crate::memory::MemoryGuard;
use crate::named_limits;
use crate::plain_admission::{self, Admission, Measurement};
use crate::ports::{BackendResponse, Backends, CallFault, ResponseBody};
use crate::proxies;
use crate::reply::{Interrupted, Reply, ReplyData};
use crate::serve::{Progress, RequestContext, RunState, Stage};
use crate::stream::UNCOUNTED_BYTES;

/// Maximum size of a response that is read completely before it is forwarded, so that the request
/// can be retried if the connection breaks within the response.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1_024 * 1_024;

/// Time until memory for a chunk is asked for again.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends the request to a backend and returns the reply; retries on other backends if the kind of
/// the route allows it.
pub async fn serve<B: Backends>(context: &RequestContext<B>) -> Reply {
    let mut failed_reply = None;
    let mut waited_ms = 0;
    let measurement = Measurement::begin(context);
    let admission = match plain_admission::admit(context).await {
        Ok(admission) => admission,
        Err(reply) => return *reply,
    };
    // Whether a back end refused the request because it was full.
    let mut was_full = false;
    loop {
        let host = &context.host;
        let permission = crashes::permission(host, &context.crash_keys, waited_ms);
        if matches!(permission, Permission::Denied) {
            return failed_reply.unwrap_or_else(|| context.refuse(Code::SuspectRefused));
        }
        let key = {
            let excluded = context.excluded_backends();
            let directory = host.directory.borrow();
            let zone = &host.deployment.zone;
            let now_ms = host.now_ms();
            choose::plain_backend(
                &directory,
                &context.service,
                zone,
                &excluded,
                now_ms,
                host.draw(),
            )
        };
        if key.is_some() && matches!(permission, Permission::Wait) {
            waited_ms += TRIAL_POLL_MS;
            sleep(Duration::from_millis(TRIAL_POLL_MS)).await;
            continue;
        }
        if let Some(key) = key
            && !context.ensure_grant(key).await
        {
            continue;
        }
        let attempts_before = context.attempts();
        let Some(key) = key.filter(|_| context.begin_attempt()) else {
            return failed_reply
                .or_else(|| refuse_full(context, admission.as_ref(), was_full))
                .unwrap_or_else(|| context.refuse_unplaced());
        };
        named_limits::record_request(host, key);
        let measured = measurement
            .as_ref()
            .map(|measurement| (measurement, measurement.begin_call(context, key)));
        let in_flight = InFlight::start(host, key, Reservation::Request);
        let state_before = context.run_state();
        context.set_may_have_run(true);
        let target = host.target(key);
        let call = context.call();
        let sent_ms = host.now_ms();
        log::write(
            Event::Routed,
            &format!(
                "request={} route={} config={} back_end={} service={} left_ms={}",
                context.request.id,
                context.route.name,
                context.config_version,
                target.id,
                context.service,
                call.left_ms
            ),
        );
        let run = async {
            let sent = proxies::call(host, key, call, async |to, call| {
                host.backends
                    .send_request(&to, &context.request, call)
                    .await
            });
            match sent.await {
                Ok(response) => {
                    named_limits::record_response(host, key, response.limit_per_s, sent_ms);
                    let memory = host.memory.guard(Purpose::Response);
                    (Progress::Head, read_response(response, memory).await)
                }
                Err(fault) => (Progress::NoHead, Err(fault)),
            }
        };
        let ((progress, outcome), took_ms) = plain_admission::measure(run).await;
        match outcome {
            Ok(Outcome::Complete {
                head,
                body,
                is_framed,
            }) => {
                // A body without a length that ends may be due to the end of the process.
                if is_framed {
                    crashes::record_sound(host, &context.crash_keys);
                }
                let is_good = !head.status.is_server_error();
                if let (Some((measurement, call)), Some(took_ms), true) =
                    (measured, took_ms, is_good)
                {
                    measurement.record_completion(context, &call, took_ms);
                }
                record_health(context, key, is_good);
                let reply = Reply::complete(head, body);
                if is_good || !context.route.kind.is_repeatable() {
                    return finish(context, reply);
                }
                context.failed_backends.borrow_mut().push(key);
                failed_reply = Some(reply);
            }
            Ok(Outcome::Unbuffered(head, start, rest)) => {
                record_health(context, key, true);
                host.connections.relieve(Shortage::BodyMemory);
                return stream_rest(context, head, start, rest, in_flight);
            }
            Err(fault) => {
                if matches!(fault, CallFault::NotSent(_)) {
                    context.restore_attempts(attempts_before);
                }
                if let Some((measurement, call)) = measured {
                    was_full |= measurement.record_fault(context, &call, &fault);
                }
                let may_repeat =
                    context.record_failure(key, Stage::Run, progress, &fault, state_before);
                drop(in_flight);
                drop(permission);
                let is_safe =
                    crashes::record_fault(context, key, Stage::Run, progress, &fault).await;
                if !may_repeat || !is_safe {
                    return failed_reply
                        .or_else(|| refuse_full(context, admission.as_ref(), was_full))
                        .unwrap_or_else(|| context.refuse(Code::BackendUnreachable));
                }
            }
        }
    }
}

/// Refuses a request that full back ends have refused; `None` if that is not why it ends.
fn refuse_full<B: Backends>(
    context: &RequestContext<B>,
    admission: Option<&Admission>,
    was_full: bool,
) -> Option<Reply> {
    let admission = admission.filter(|_| was_full && context.run_state() == RunState::NotRun)?;
    let retry_after_ms = admission.retract(context);
    Some(context.refuse_with_retry_after(Code::NoBackend, retry_after_ms))
}

enum Outcome<B> {
    Complete {
        head: Parts,
        body: ReplyData,
        is_framed: bool,
    },
    /// The response is too long, or the host's memory is in use. Head, the bytes that were buffered, and
    /// what follows them.
    Unbuffered(Parts, ReplyData, Rest<B>),
}

/// The part of a body that is not buffered.
struct Rest<B> {
    /// Bytes that were read last.
    chunk: Bytes,
    body: B,
}

async fn read_response<B: ResponseBody>(
    response: BackendResponse<B>,
    memory: MemoryGuard,
) -> Result<Outcome<B>, CallFault> {
    let BackendResponse {
        head,
        is_framed,
        mut body,
        ..
    } = response;
    let mut buffer = BodyBuffer::new(memory, None, MAX_BUFFERED_BYTES);
    while let Some(chunk) = body.chunk().await {
        let chunk = chunk.map_err(CallFault::Broken)?;
        let is_too_long = buffer.len() + chunk.len() > MAX_BUFFERED_BYTES;
        if is_too_long || !buffer.try_push(&chunk) {
            let start = ReplyData::segmented(buffer.finish());
            let rest = Rest { chunk, body };
            return Ok(Outcome::Unbuffered(head, start, rest));
        }
    }
    if !is_framed && buffer.is_empty() {
        let cause = "connection ended before the body";
        return Err(CallFault::Broken(cause.to_owned()));
    }
    Ok(Outcome::Complete {
        head,
        body: ReplyData::segmented(buffer.finish()),
        is_framed,
    })
}

fn stream_rest<B: Backends>(
    context: &RequestContext<B>,
    head: Parts,
    start: ReplyData,
    rest: Rest<B::Body>,
    in_flight: InFlight<B>,
) -> Reply {
    let (sender, chunks) = mpsc::channel(1);
    let host = Rc::clone(&context.host);
    let deadline = context.deadline;
    tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        if start.is_empty() || sender.send(Ok(start)).await.is_ok() {
            forward_rest(&host, rest, &sender, deadline).await;
        }
    });
    Reply::streamed(head, chunks)
}

/// Forwards the rest of a body until it ends or the caller leaves.
async fn forward_rest<B: Backends>(
    host: &Host<B>,
    rest: Rest<B::Body>,
    caller: &mpsc::Sender<Result<ReplyData, Interrupted>>,
    deadline: Instant,
) {
    let mut body = rest.body;
    let mut read_chunk = Some(rest.chunk);
    // A chunk is read only when there is a place for it, so that few wait for a slow caller.
    while let Ok(place) = caller.reserve().await {
        let next = async {
            let chunk = match read_chunk.take() {
                Some(chunk) => Ok(chunk),
                None => body.chunk().await?,
            };
            Some(match chunk {
                Ok(chunk) => Ok(reserve_chunk(host, chunk).await),
                Err(_) => Err(Interrupted),
            })
        };
        let data = tokio::select! {
            // A body without end must not be forwarded beyond the deadline.
            data = timeout_at(deadline, next) => data.unwrap_or(Some(Err(Interrupted))),
            () = caller.closed() => None,
        };
        let Some(data) = data else {
            return;
        };
        let is_interrupted = data.is_err();
        place.send(data);
        if is_interrupted {
            return;
        }
    }
}

/// Waits for the memory of a chunk. One that is as small as those of ordinary responses goes on without.
async fn reserve_chunk<B: Backends>(host: &Host<B>, chunk: Bytes) -> ReplyData {
    loop {
        if let Some(data) = ReplyData::copied(&chunk, &host.memory) {
            return data;
        }
        host.connections.relieve(Shortage::BodyMemory);
        if chunk.len() <= UNCOUNTED_BYTES {
            return ReplyData::from(Bytes::copy_from_slice(&chunk));
        }
        sleep(MEMORY_RETRY_DELAY).await;
    }
}

fn record_health<B: Backends>(
    context: &RequestContext<B>,
    key: crate::directory::BackendKey,
    is_good: bool,
) {
    let mut directory = context.host.directory.borrow_mut();
    directory.get_mut(key).health.record_response(is_good);
}

fn finish<B: Backends>(context: &RequestContext<B>, reply: Reply) -> Reply {
    context
        .host
        .metrics
        .record_response(context.route.urgency, context.elapsed_ms());
    log::write(
        Event::Finished,
        &format!(
            "request={} route={} status={} elapsed_ms={}{}",
            context.request.id,
            context.route.name,
            reply.head.status.as_u16(),
            context.elapsed_ms(),
            context.usage_fields()
        ),
    );
    reply
}
