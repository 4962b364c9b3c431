//! What a fault of an engine means for a running chat request.

use yucca_io::log;
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;

use crate::backend_fault::Fault;
use crate::chat_run::Run;
use crate::fleet::ChosenEngine;
use crate::peers;
use crate::probe;
use crate::problem::Problem;
use crate::suspicion::SuspectRun;

/// What a probe on a fresh connection shows of an engine after a fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Probed {
    Answers,
    Restarted,
    Unreachable,
}

impl Run<'_> {
    /// Logs the fault, cancels what may still run and decides whether the engine is tried again.
    pub(crate) async fn note_fault(
        &mut self,
        engine: &ChosenEngine,
        sent_ms: u64,
        known_incarnation: Option<u64>,
        fault: &Fault,
        run: SuspectRun,
    ) {
        let event = match fault {
            Fault::Silent => Event::ConnectionRetired,
            Fault::Crossed(_) => Event::CrossedAnswer,
            Fault::NotConnected(_) | Fault::WrongVersion | Fault::Status(_) | Fault::Broken(_) => {
                Event::BackendFailed
            }
        };
        log::write(
            event,
            &format!(
                "request={} backend={} fault={:?}",
                self.job.request_id,
                engine.name,
                fault.to_string()
            ),
        );
        self.host.metrics.fault(fault.kind());
        if matches!(fault, Fault::Silent | Fault::Crossed(_) | Fault::Broken(_)) {
            // What befell one connection often befell the others to the same engine too.
            self.host.pool.close_idle(engine.address);
        }
        let probed = self.probe(engine, known_incarnation, fault).await;
        self.current = None;
        let is_connection_only =
            probed == Probed::Answers && matches!(fault, Fault::Silent | Fault::Crossed(_));
        if !is_connection_only && fault.failure().is_fault() {
            self.host.fleet.failed(&engine.key(), sent_ms);
        }
        if matches!(fault, Fault::Silent | Fault::Broken(_)) && probed != Probed::Answers {
            run.engine_lost();
            peers::tell_suspects(self.host).await;
        }
        match (fault, probed) {
            (Fault::WrongVersion, _) | (_, Probed::Unreachable) => {
                self.excluded.push(engine.name.clone());
            }
            (Fault::Silent | Fault::Crossed(_), _) => {}
            _ => self.avoided.push(engine.name.clone()),
        }
    }

    /// The engine must not run the request twice at the same time, so that the request is also
    /// cancelled there before it goes anywhere else.
    async fn probe(
        &self,
        engine: &ChosenEngine,
        known_incarnation: Option<u64>,
        fault: &Fault,
    ) -> Probed {
        let probe_ms = self.host.timing.probe_ms;
        match fault {
            Fault::NotConnected(_) => return Probed::Unreachable,
            Fault::WrongVersion => return Probed::Answers,
            Fault::Status(_) | Fault::Silent | Fault::Broken(_) | Fault::Crossed(_) => {}
        }
        let Ok(status) = probe::status(engine.address, probe_ms).await else {
            return Probed::Unreachable;
        };
        if known_incarnation.is_some_and(|known| known != status.incarnation) {
            return Probed::Restarted;
        }
        match probe::cancel(engine.address, &self.job.request_id, probe_ms).await {
            Ok(()) => Probed::Answers,
            Err(_) => Probed::Unreachable,
        }
    }

    pub(crate) fn log_repeat(&self, engine: &ChosenEngine, fault: &Fault) {
        let event = if self.next_index > 0 {
            Event::Resumed
        } else {
            Event::Retried
        };
        log::write(
            event,
            &format!(
                "request={} backend={} attempt={} from_token={} fault={:?}",
                self.job.request_id,
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
                self.job.request_id, engine.name, self.next_index
            ),
        );
    }

    /// The problem of a request for which no engine is left.
    pub(crate) fn no_engine_problem(&self, last: Option<&Fault>) -> Problem {
        let detail = match last {
            Some(fault) => format!("no engine is left; last fault: {fault}"),
            None => "no engine can take the request".to_owned(),
        };
        let code = match (self.outcome(), last) {
            (Outcome::NotRun, Some(Fault::NotConnected(_))) => Code::BackendUnreachable,
            (Outcome::NotRun, _) => Code::NoBackend,
            (Outcome::Ran, _) => Code::AnswerIncomplete,
            (Outcome::Unknown, _) => Code::OutcomeUnknown,
        };
        Problem::new(code, detail).with_outcome(self.outcome())
    }

    /// The problem of a request that is not tried again.
    pub(crate) fn end_problem(&self, code: Code, fault: &Fault) -> Problem {
        let detail = format!("{} attempts failed, last: {fault}", self.failed);
        Problem::new(code, detail).with_outcome(self.outcome())
    }

    pub(crate) fn suspect_problem(&self) -> Problem {
        let detail = "engines crashed while they ran requests with this content";
        Problem::new(Code::SuspectRefused, detail).with_outcome(self.outcome())
    }

    /// The problem of a request whose caller stops waiting now.
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
