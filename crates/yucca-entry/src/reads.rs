//! Idempotent calls, which may be retried after a failure.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};
use yucca_io::clock::boot_ms;
use yucca_io::log;
use yuccacove::catalogue::{Class, Entry};
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;
use yuccacove::retry::{Attempts, Decision};

use crate::backend_fault::Fault;
use crate::caller_response::CallerResponse;
use crate::choose::{self, ChosenServer};
use crate::host::Host;
use crate::plain::{self, PlainCall, Reuse};
use crate::problem::Problem;

/// Runs an idempotent call on a server of the entry's service.
///
/// # Errors
///
/// The problem of a call without a complete response.
pub async fn run(
    host: &Host,
    entry_name: &str,
    entry: &Entry,
    call: &PlainCall,
) -> Result<CallerResponse, Problem> {
    let mut was_dispatched = false;
    let attempts = run_attempts(host, entry_name, entry, call, &mut was_dispatched);
    match timeout_at(call.deadline, attempts).await {
        Ok(result) => result,
        Err(_) => Err(Problem::new(Code::DeadlineExceeded, "no answer in time")
            .with_outcome(outcome(was_dispatched))),
    }
}

async fn run_attempts(
    host: &Host,
    entry_name: &str,
    entry: &Entry,
    call: &PlainCall,
    was_dispatched: &mut bool,
) -> Result<CallerResponse, Problem> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2);
    let mut attempts = Attempts::new(Class::Read, boot_ms() + left_ms);
    host.retry_budget().record_request();
    let mut avoided = Vec::new();
    let mut last_fault: Option<Fault> = None;
    loop {
        let Some(server) = choose::server(host, &call.request_id, &entry.service, &avoided) else {
            return Err(no_server(last_fault.as_ref(), *was_dispatched));
        };
        if let Some(fault) = &last_fault {
            log::write(
                Event::Retried,
                &format!(
                    "request={} to={} fault={:?}",
                    call.request_id,
                    server.name,
                    fault.to_string()
                ),
            );
        }
        let _in_flight = server.backend.begin();
        let charge = host.usage.open_plain_charge(&entry.service, entry_name);
        let sent_ms = boot_ms();
        let was_dispatched_before = std::mem::replace(was_dispatched, true);
        let fault = match plain::send(host, &server, call, Reuse::Allowed).await {
            Ok(response) => {
                host.fleet.succeeded(&server.key());
                return Ok(response.into_response(&server.name));
            }
            Err(fault) => fault,
        };
        charge.end(fault.reached_backend());
        *was_dispatched = was_dispatched_before || fault.reached_backend();
        record_fault(host, &call.request_id, &server, sent_ms, &fault);
        avoided.push(server.name.clone());
        let decision = attempts.failed(fault.failure(), &mut host.retry_budget(), boot_ms());
        match decision {
            Decision::Retry { after_ms } => sleep(Duration::from_millis(after_ms)).await,
            Decision::End(code) => {
                return Err(
                    Problem::new(code, fault.to_string()).with_outcome(outcome(*was_dispatched))
                );
            }
        }
        last_fault = Some(fault);
    }
}

fn no_server(last_fault: Option<&Fault>, was_dispatched: bool) -> Problem {
    let code = match (was_dispatched, last_fault) {
        (true, _) => Code::OutcomeUnknown,
        (false, Some(_)) => Code::BackendUnreachable,
        (false, None) => Code::NoBackend,
    };
    let detail = match last_fault {
        Some(fault) => format!("no server is left; last fault: {fault}"),
        None => "no server of the service takes work".to_owned(),
    };
    Problem::new(code, detail).with_outcome(outcome(was_dispatched))
}

fn outcome(was_dispatched: bool) -> Outcome {
    if was_dispatched {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

/// Records a fault of a plain server and closes the idle connections to it, which may be affected
/// too.
pub fn record_fault(
    host: &Host,
    request_id: &str,
    server: &ChosenServer,
    sent_ms: u64,
    fault: &Fault,
) {
    host.metrics.record_fault(fault.kind());
    let event = match fault {
        // The server is not at fault. Without a log line, as many requests may meet it at once.
        Fault::NoMemory => return,
        Fault::Silent => Event::ConnectionRetired,
        Fault::Crossed(_) => Event::CrossedAnswer,
        _ => Event::BackendFailed,
    };
    host.pool.close_idle(server.address);
    host.fleet.failed(&server.key(), sent_ms);
    log::write(
        event,
        &format!(
            "request={request_id} backend={} fault={:?}",
            server.name,
            fault.to_string()
        ),
    );
}
