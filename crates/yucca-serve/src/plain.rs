//! Requests of plain services: one answer, read whole before it is passed on.

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use tokio::sync::mpsc;
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::event::Event;

use crate::choose;
use crate::host::InFlight;
use crate::loads::Share;
use crate::ports::{Answer, AnswerBody, BackEnds, CallFault};
use crate::reply::{Interrupted, Reply};
use crate::serve::{Job, Stage};

/// Answers up to this size are read whole, so that one that breaks off can be asked for again.
const MAX_WHOLE_BYTES: usize = 1_024 * 1_024;

/// Runs the request, again on another back end where its kind allows.
pub async fn run<B: BackEnds>(job: &Job<B>) -> Reply {
    let mut failed_answer = None;
    loop {
        let host = &job.host;
        let key = {
            let directory = host.directory.borrow();
            let tried = job.tried.borrow();
            let zone = &host.deployment.zone;
            let now_ms = host.now_ms();
            choose::plain(&directory, &job.service, zone, &tried, now_ms, host.draw())
        };
        let before = job.sends();
        let Some(key) = key.filter(|_| job.begin_run()) else {
            return failed_answer.unwrap_or_else(|| job.refuse(Code::NoBackend));
        };
        let in_flight = InFlight::start(host, key, Share::Request);
        let state = job.run_state();
        job.set_may_have_run(true);
        let target = host.target(key);
        let call = job.call();
        log::write(
            Event::Routed,
            &format!(
                "request={} route={} back_end={} service={} left_ms={}",
                job.request.id, job.route.name, target.id, job.service, call.left_ms
            ),
        );
        let outcome = match host.back_ends.run(&target, &job.request, call).await {
            Ok(answer) => read_whole(answer).await,
            Err(fault) => Err(fault),
        };
        match outcome {
            Ok(Outcome::Whole(head, body)) => {
                let is_good = !head.status.is_server_error();
                record(job, key, is_good);
                let reply = Reply::whole(head, body);
                if is_good || !job.route.kind.is_repeatable() {
                    return finish(job, reply);
                }
                job.tried.borrow_mut().push(key);
                failed_answer = Some(reply);
            }
            Ok(Outcome::Long(head, start, body)) => {
                record(job, key, true);
                return stream_rest(head, start, body, in_flight);
            }
            Err(fault) => {
                if matches!(fault, CallFault::NotSent(_)) {
                    job.unsend(before);
                }
                if !job.failed(key, Stage::Run, &fault, state) {
                    return failed_answer.unwrap_or_else(|| job.refuse(Code::BackendUnreachable));
                }
            }
        }
    }
}

enum Outcome<B> {
    Whole(Parts, Bytes),
    /// Head, the bytes so far, and the rest.
    Long(Parts, Bytes, B),
}

async fn read_whole<B: AnswerBody>(answer: Answer<B>) -> Result<Outcome<B>, CallFault> {
    let Answer { head, mut body } = answer;
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.chunk().await {
        bytes.extend_from_slice(&chunk.map_err(CallFault::Broken)?);
        if bytes.len() > MAX_WHOLE_BYTES {
            return Ok(Outcome::Long(head, bytes.freeze(), body));
        }
    }
    Ok(Outcome::Whole(head, bytes.freeze()))
}

fn stream_rest<B: BackEnds>(
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

fn record<B: BackEnds>(job: &Job<B>, key: crate::directory::BackEndKey, is_good: bool) {
    let mut directory = job.host.directory.borrow_mut();
    directory.get_mut(key).fitness.record_response(is_good);
}

fn finish<B: BackEnds>(job: &Job<B>, reply: Reply) -> Reply {
    job.host
        .metrics
        .answered(job.route.urgency, job.elapsed_ms());
    log::write(
        Event::Finished,
        &format!(
            "request={} status={} elapsed_ms={}",
            job.request.id,
            reply.head.status.as_u16(),
            job.elapsed_ms()
        ),
    );
    reply
}
