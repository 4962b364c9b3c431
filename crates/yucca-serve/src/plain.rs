//! Requests to plain services: a short response is read completely before it is forwarded.

use http::response::Parts;
use tokio::sync::mpsc;
use tokio::time::{Duration, sleep, timeout_at};
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::connection_budget::Shortage;
use yuccacove::event::Event;
use yuccacove::memory_budget::Purpose;

use crate::body_buffer::BodyBuffer;
use crate::choose;
use crate::crashes::{self, Permission, TRIAL_POLL_MS};
use crate::host::InFlight;
use crate::loads::Reservation;
use crate::memory::MemoryGuard;
use crate::named_limits;
use crate::ports::{BackendResponse, Backends, CallFault, ResponseBody};
use crate::reply::{Interrupted, Reply, ReplyData};
use crate::serve::{Progress, RequestContext, Stage};

/// Maximum size of a response that is read completely before it is forwarded, so that the request
/// can be retried if the connection breaks within the response.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1_024 * 1_024;

/// Sends the request to a backend and returns the reply; retries on other backends if the kind of
/// the route allows it.
pub async fn serve<B: Backends>(context: &RequestContext<B>) -> Reply {
    let mut failed_reply = None;
    let mut waited_ms = 0;
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
            return failed_reply.unwrap_or_else(|| context.refuse_unplaced());
        };
        named_limits::record_request(host, key);
        let in_flight = InFlight::start(host, key, Reservation::Request);
        let state_before = context.run_state();
        context.set_may_have_run(true);
        let target = host.target(key);
        let call = context.call();
        let sent_ms = host.now_ms();
        log::write(
            Event::Routed,
            &format!(
                "request={} route={} back_end={} service={} left_ms={}",
                context.request.id, context.route.name, target.id, context.service, call.left_ms
            ),
        );
        let (progress, outcome) = match host
            .backends
            .send_request(&target, &context.request, call)
            .await
        {
            Ok(response) => {
                named_limits::record_response(host, key, response.limit_per_s, sent_ms);
                let memory = host.memory.guard(Purpose::Response);
                (Progress::Head, read_response(response, memory).await)
            }
            Err(fault) => (Progress::NoHead, Err(fault)),
        };
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
                record_health(context, key, is_good);
                let reply = Reply::complete(head, body);
                if is_good || !context.route.kind.is_repeatable() {
                    return finish(context, reply);
                }
                context.failed_backends.borrow_mut().push(key);
                failed_reply = Some(reply);
            }
            Ok(Outcome::Unbuffered(head, start, body)) => {
                record_health(context, key, true);
                host.connections.relieve(Shortage::BodyMemory);
                return stream_rest(context, head, start, body, in_flight);
            }
            Err(fault) => {
                if matches!(fault, CallFault::NotSent(_)) {
                    context.restore_attempts(attempts_before);
                }
                let may_repeat =
                    context.record_failure(key, Stage::Run, progress, &fault, state_before);
                drop(in_flight);
                drop(permission);
                let is_safe =
                    crashes::record_fault(context, key, Stage::Run, progress, &fault).await;
                if !may_repeat || !is_safe {
                    return failed_reply
                        .unwrap_or_else(|| context.refuse(Code::BackendUnreachable));
                }
            }
        }
    }
}

enum Outcome<B> {
    Complete {
        head: Parts,
        body: ReplyData,
        is_framed: bool,
    },
    /// The response is too long, or the host's memory is in use. Head, the bytes read so far in one or
    /// two pieces, and the remaining body.
    Unbuffered(Parts, Vec<ReplyData>, B),
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
            let start = vec![
                ReplyData::segmented(buffer.finish()),
                ReplyData::from(chunk),
            ];
            return Ok(Outcome::Unbuffered(head, start, body));
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
    start: Vec<ReplyData>,
    mut body: B::Body,
    in_flight: InFlight<B>,
) -> Reply {
    let (sender, chunks) = mpsc::channel(1);
    let memory = context.host.memory.clone();
    let deadline = context.deadline;
    tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        for data in start {
            if sender.send(Ok(data)).await.is_err() {
                return;
            }
        }
        // A chunk is read only when there is a place for it, so that few wait for a slow caller.
        while let Ok(place) = sender.reserve().await {
            // A body without end must not be forwarded beyond the deadline.
            let chunk = timeout_at(deadline, body.chunk())
                .await
                .unwrap_or_else(|_| Some(Err("deadline passed within the body".to_owned())));
            match chunk {
                Some(Ok(bytes)) => place.send(Ok(ReplyData::counted(bytes, &memory))),
                Some(Err(_)) => return place.send(Err(Interrupted)),
                None => return,
            }
        }
    });
    Reply::streamed(head, chunks)
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
            "request={} status={} elapsed_ms={}",
            context.request.id,
            reply.head.status.as_u16(),
            context.elapsed_ms()
        ),
    );
    reply
}
