//! Requests of plain services: one answer, read whole before it is passed on.

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use tokio::sync::mpsc;
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::event::Event;

use crate::choose;
use crate::host::InFlight;
use crate::loads::Reservation;
use crate::ports::{BackendResponse, Backends, CallFault, ResponseBody};
use crate::reply::{Interrupted, Reply};
use crate::serve::{RequestContext, Stage};

/// Answers up to this size are read whole, so that one that breaks off can be asked for again.
const MAX_WHOLE_BYTES: usize = 1_024 * 1_024;

/// Runs the request, again on another back end where its kind allows.
pub async fn serve<B: Backends>(context: &RequestContext<B>) -> Reply {
    let mut failed_answer = None;
    loop {
        let host = &context.host;
        let key = {
            let directory = host.directory.borrow();
            let failed_backends = context.failed_backends.borrow();
            let zone = &host.deployment.zone;
            let now_ms = host.now_ms();
            choose::plain_backend(
                &directory,
                &context.service,
                zone,
                &failed_backends,
                now_ms,
                host.draw(),
            )
        };
        let before = context.attempts();
        let Some(key) = key.filter(|_| context.begin_attempt()) else {
            return failed_answer.unwrap_or_else(|| context.refuse(Code::NoBackend));
        };
        let in_flight = InFlight::start(host, key, Reservation::Request);
        let state = context.run_state();
        context.set_may_have_run(true);
        let target = host.target(key);
        let call = context.call();
        log::write(
            Event::Routed,
            &format!(
                "request={} route={} back_end={} service={} left_ms={}",
                context.request.id, context.route.name, target.id, context.service, call.left_ms
            ),
        );
        let outcome = match host
            .backends
            .send_request(&target, &context.request, call)
            .await
        {
            Ok(answer) => read_whole(answer).await,
            Err(fault) => Err(fault),
        };
        match outcome {
            Ok(Outcome::Complete(head, body)) => {
                let is_good = !head.status.is_server_error();
                record(context, key, is_good);
                let reply = Reply::complete(head, body);
                if is_good || !context.route.kind.is_repeatable() {
                    return finish(context, reply);
                }
                context.failed_backends.borrow_mut().push(key);
                failed_answer = Some(reply);
            }
            Ok(Outcome::Long(head, start, body)) => {
                record(context, key, true);
                return stream_rest(head, start, body, in_flight);
            }
            Err(fault) => {
                if matches!(fault, CallFault::NotSent(_)) {
                    context.restore_attempts(before);
                }
                if !context.record_failure(key, Stage::Run, &fault, state) {
                    return failed_answer
                        .unwrap_or_else(|| context.refuse(Code::BackendUnreachable));
                }
            }
        }
    }
}

enum Outcome<B> {
    Complete(Parts, Bytes),
    /// Head, the bytes so far, and the rest.
    Long(Parts, Bytes, B),
}

async fn read_whole<B: ResponseBody>(answer: BackendResponse<B>) -> Result<Outcome<B>, CallFault> {
    let BackendResponse { head, mut body } = answer;
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.chunk().await {
        bytes.extend_from_slice(&chunk.map_err(CallFault::Broken)?);
        if bytes.len() > MAX_WHOLE_BYTES {
            return Ok(Outcome::Long(head, bytes.freeze(), body));
        }
    }
    Ok(Outcome::Complete(head, bytes.freeze()))
}

fn stream_rest<B: Backends>(
    head: Parts,
    start: Bytes,
    mut body: B::Body,
    in_flight: InFlight<B>,
) -> Reply {
    let (sender, chunks) = mpsc::channel(4);
    tokio::task::spawn_local(async move {
        let _in_flight = in_flight;
        let mut next = Some(Ok(start));
        while let Some(chunk) = next {
            let is_broken = chunk.is_err();
            if sender
                .send(chunk.map_err(|_: String| Interrupted))
                .await
                .is_err()
                || is_broken
            {
                return;
            }
            next = body.chunk().await;
        }
    });
    Reply::streamed(head, chunks)
}

fn record<B: Backends>(
    context: &RequestContext<B>,
    key: crate::directory::BackendKey,
    is_good: bool,
) {
    let mut directory = context.host.directory.borrow_mut();
    directory.get_mut(key).fitness.answered(is_good);
}

fn finish<B: Backends>(context: &RequestContext<B>, reply: Reply) -> Reply {
    context
        .host
        .metrics
        .answered(context.route.urgency, context.elapsed_ms());
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
