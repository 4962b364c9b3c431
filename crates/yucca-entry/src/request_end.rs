//! Records how requests end: log line, metrics and explanation.

use serde_json::json;
use yucca_io::log;
use yuccacove::code::Outcome;
use yuccacove::event::Event;

use crate::host::Host;
use crate::problem::Problem;

/// Entry name in metrics and log lines for requests that match no entry.
pub const NO_ENTRY: &str = "-";

/// Records a request with a complete response; `fields` are additional log fields.
pub fn completed(host: &Host, request_id: &str, entry: &str, fields: &str) {
    host.metrics.record_request_end(entry, "0");
    log::write(
        Event::Finished,
        &format!("request={request_id} entry={entry} {fields}"),
    );
    host.decisions
        .record(request_id, json!({ "event": Event::Finished.name() }));
}

/// Records a request whose caller disconnected; `fields` are additional log fields.
pub fn cancelled(host: &Host, request_id: &str, entry: &str, fields: &str) {
    host.metrics.record_request_end(entry, "cancelled");
    log::write(
        Event::Cancelled,
        &format!("request={request_id} entry={entry} {fields}"),
    );
    host.decisions
        .record(request_id, json!({ "event": Event::Cancelled.name() }));
}

/// Records a request that ended with `problem`.
pub fn failed(host: &Host, request_id: &str, entry: &str, problem: &Problem) {
    let event = event_of(problem);
    log::write(
        event,
        &format!(
            "request={request_id} entry={entry} code={} outcome={} detail={:?}",
            problem.code.number(),
            problem.outcome.name(),
            problem.detail
        ),
    );
    refused_unlogged(host, request_id, entry, problem);
}

/// As [`failed`], without a log line.
pub fn refused_unlogged(host: &Host, request_id: &str, entry: &str, problem: &Problem) {
    let code = problem.code.number().to_string();
    host.metrics.record_request_end(entry, &code);
    host.decisions.record(
        request_id,
        json!({
            "event": event_of(problem).name(),
            "code": problem.code.number(),
            "outcome": problem.outcome.name(),
            "detail": problem.detail,
        }),
    );
}

fn event_of(problem: &Problem) -> Event {
    if problem.outcome == Outcome::NotRun {
        Event::Refused
    } else {
        Event::Failed
    }
}
