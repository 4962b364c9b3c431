//! Handling of engine faults during a chat request.

use yucca_io::log;
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;

use crate::backend_fault::Fault;
use crate::chat_execution::ChatExecution;
use crate::fleet::ChosenEngine;
use crate::peers;
use crate::probe;
use crate::problem::Problem;
use crate::suspect_tracker::TrackedAttempt;

/// Result of probing an engine on a fresh connection after a fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Responsive,
    /// The engine reports another incarnation than before the attempt.
    Restarted,
    Unreachable,
}

impl ChatExecution<'_> {
    /// Logs the fault, cancels work that may still be running and decides whether the engine may be
    /// tried again.
    pub(crate) async fn handle_fault(
        &mut self,
        engine: &ChosenEngine,
        sent_ms: u64,
        known_incarnation: Option<u64>,
        fault: &Fault,
        attempt: TrackedAttempt,
    ) {
        let event = match fault {
            Fault::Silent => Event::ConnectionRetired,
            Fault::Crossed(_) => Event::CrossedAnswer,
            Fault::NotConnected(_)
            | Fault::WrongVersion
            | Fault::Status(_)
            | Fault::Broken(_)
            | Fault::NoMemory => Event::BackendFailed,
        };
        log::write(
            event,
            &format!(
                "request={} backend={} fault={:?}",
                self.context.request_id,
                engine.name,
                fault.to_string()
            ),
        );
        self.host.metrics.record_fault(fault.kind());
        if matches!(fault, Fault::Silent | Fault::Crossed(_) | Fault::Broken(_)) {
            // A fault of one connection often affects other connections to the same engine too.
            self.host.pool.close_idle(engine.address);
        }
        let probe_result = self.probe(engine, known_incarnation, fault).await;
        self.current = None;
        // An engine that responds on a fresh connection is not blamed for silence or a crossed
        // response on another connection.
        let is_connection_only = probe_result == ProbeResult::Responsive
            && matches!(fault, Fault::Silent | Fault::Crossed(_));
        if !is_connection_only && fault.failure().is_fault() {
            self.host.fleet.failed(&engine.key(), sent_ms);
        }
        if matches!(fault, Fault::Silent | Fault::Broken(_))
            && probe_result != ProbeResult::Responsive
        {
            attempt.engine_lost();
            peers::announce_suspects(self.host).await;
        }
        match (fault, probe_result) {
            (Fault::WrongVersion, _) | (_, ProbeResult::Unreachable) => {
                self.excluded.push(engine.name.clone());
            }
            (Fault::Silent | Fault::Crossed(_), _) => {}
            _ => self.avoided.push(engine.name.clone()),
        }
    }

    /// Probes the engine after a fault. The request must not run on the engine twice at the same
    /// time, so it is also cancelled there before it is sent anywhere again.
    async fn probe(
        &self,
        engine: &ChosenEngine,
        known_incarnation: Option<u64>,
        fault: &Fault,
    ) -> ProbeResult {
        let probe_ms = self.host.timing.probe_ms;
        match fault {
            Fault::NotConnected(_) => return ProbeResult::Unreachable,
            Fault::WrongVersion => return ProbeResult::Responsive,
            Fault::Status(_)
            | Fault::Silent
            | Fault::Broken(_)
            | Fault::NoMemory
            | Fault::Crossed(_) => {}
        }
        let Ok(status) = probe::status(engine.address, probe_ms).await else {
            return ProbeResult::Unreachable;
        };
        if known_incarnation.is_some_and(|known| known != status.incarnation) {
            return ProbeResult::Restarted;
        }
        match probe::cancel(engine.address, &self.context.request_id, probe_ms).await {
            Ok(()) => ProbeResult::Responsive,
            Err(_) => ProbeResult::Unreachable,
        }
    }

    pub(crate) fn log_retry(&self, engine: &ChosenEngine, fault: &Fault) {
        let event = if self.next_index > 0 {
            Event::Resumed
        } else {
            Event::Retried
        };
        log::write(
            event,
            &format!(
                "request={} backend={} attempt={} from_token={} fault={:?}",
                self.context.request_id,
                engine.name,
                self.failed + 1,
                self.next_index,
                fault.to_string()
            ),
        );
    }

    pub(crate) fn log_preempted(&self, engine: &ChosenEngine) {
        log::write(
            Event::Retried,
            &format!(
                "request={} preempted_on={} tokens={}",
                self.context.request_id, engine.name, self.next_index
            ),
        );
    }

    /// Problem for a request that no engine is left for.
    pub(crate) fn no_engine_problem(&self, last_fault: Option<&Fault>) -> Problem {
        let detail = match last_fault {
            Some(fault) => format!("no engine is left; last fault: {fault}"),
            None => "no engine can take the request".to_owned(),
        };
        let code = match (self.outcome(), last_fault) {
            (Outcome::NotRun, Some(Fault::NotConnected(_))) => Code::BackendUnreachable,
            (Outcome::NotRun, _) => Code::NoBackend,
            (Outcome::Ran, _) => Code::AnswerIncomplete,
            (Outcome::Unknown, _) => Code::OutcomeUnknown,
        };
        Problem::new(code, detail).with_outcome(self.outcome())
    }

    /// Problem for a request that is not retried.
    pub(crate) fn end_problem(&self, code: Code, fault: &Fault) -> Problem {
        let detail = format!("{} attempts failed, last: {fault}", self.failed);
        Problem::new(code, detail).with_outcome(self.outcome())
    }

    pub(crate) fn suspect_problem(&self) -> Problem {
        let detail = "engines crashed while they ran requests with this content";
        Problem::new(Code::SuspectRefused, detail).with_outcome(self.outcome())
    }

    /// Problem for a request whose deadline has passed.
    pub fn deadline_problem(&self) -> Problem {
        let detail = format!("{} tokens were generated in time", self.next_index);
        Problem::new(Code::DeadlineExceeded, detail).with_outcome(self.outcome())
    }

    pub(crate) fn outcome(&self) -> Outcome {
        match (
            self.next_index,
            self.was_dispatched || self.current.is_some(),
        ) {
            (1.., _) => Outcome::Ran,
            (0, true) => Outcome::Unknown,
            (0, false) => Outcome::NotRun,
        }
    }
}
