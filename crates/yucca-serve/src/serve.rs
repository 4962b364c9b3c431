//! The way of a request through a host: route, service, and the run that fits its kind.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::{Duration, Instant, timeout_at};
use yucca_io::log;
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;
use yuccacove::send_limit::{Cost, SendLimit};

use crate::config::{EngineSpec, Route, RouteKind, ServingConfig};
use crate::directory::BackEndKey;
use crate::hash::hash_of;
use crate::host::Host;
use crate::plain;
use crate::ports::{BackEnds, Call, CallFault};
use crate::reply::Reply;
use crate::request::Request;
use crate::stream;

/// Time after which a caller may come again when no back end can take its request.
pub const RETRY_AFTER_MS: u64 = 250;
/// Connections of a request that could not be opened, before it is refused.
const MAX_UNREACHABLE: u32 = 3;

/// Serves a request and returns the reply, whose body may still be arriving.
pub async fn serve<B: BackEnds>(host: &Rc<Host<B>>, request: Request) -> Reply {
    host.metrics.requests.inc();
    let Some(config) = host.config() else {
        return refuse(host, &request.id, Code::NotReady, Some(RETRY_AFTER_MS));
    };
    let Some(route) = config.route(&request.host, request.path()) else {
        return refuse(host, &request.id, Code::UnknownEntry, None);
    };
    let Some(service) = route.service(hash_of(&request.id)) else {
        return refuse(host, &request.id, Code::NoBackend, Some(RETRY_AFTER_MS));
    };
    let job = Rc::new(Job::new(host, request, &config, route, service));
    let run = async {
        match job.route.kind {
            RouteKind::Stream { .. } => stream::run(&job).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => plain::run(&job).await,
        }
    };
    match timeout_at(job.limit, run).await {
        Ok(reply) => reply,
        Err(_) => job.refuse(Code::DeadlineExceeded),
    }
}

/// Refuses a request that no back end has got.
fn refuse<B>(host: &Host<B>, id: &str, code: Code, retry_after_ms: Option<u64>) -> Reply {
    host.metrics.refused(code);
    let fields = format!("request={id} code={} ran=no", code.number());
    log::write(Event::Refused, &fields);
    Reply::refusal(code, retry_after_ms)
}

/// A request with what was decided about it.
#[derive(Debug)]
pub struct Job<B> {
    /// The host that serves it.
    pub host: Rc<Host<B>>,
    /// The request.
    pub request: Request,
    /// Its route.
    pub route: Route,
    /// Its service.
    pub service: String,
    /// What its engines have in common.
    pub engine: EngineSpec,
    /// Shortest target of the more urgent generations of the service.
    pub urgent_target_ms: Option<u64>,
    /// When it was received.
    pub received: Instant,
    /// When the caller gets its final answer at the latest.
    pub limit: Instant,
    /// Back ends that failed it.
    pub tried: RefCell<Vec<BackEndKey>>,
    sends: Cell<SendLimit>,
    may_have_run: Cell<bool>,
    unreachable: Cell<u32>,
}

impl<B: BackEnds> Job<B> {
    fn new(
        host: &Rc<Host<B>>,
        request: Request,
        config: &ServingConfig,
        route: &Route,
        service: &str,
    ) -> Self {
        let engine = config.services.get(service).and_then(|s| s.engine);
        let received = Instant::now();
        let left_ms = request.deadline_ms.unwrap_or(u64::MAX);
        let limit_ms = left_ms.min(route.timeout_ms);
        host.earn_retry(service);
        Self {
            host: Rc::clone(host),
            request,
            service: service.to_owned(),
            engine: engine.unwrap_or_default(),
            urgent_target_ms: config.urgent_target_ms(service, route.urgency),
            received,
            limit: received + Duration::from_millis(limit_ms),
            tried: RefCell::default(),
            sends: Cell::new(SendLimit::new(route.max_attempts)),
            may_have_run: Cell::new(false),
            unreachable: Cell::new(0),
            route: route.clone(),
        }
    }

    /// Time since the request was received.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.received.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Time until the final answer.
    pub fn left_ms(&self) -> u64 {
        let left = self.limit.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// A call that carries the time that is left.
    pub fn call(&self) -> Call {
        Call {
            left_ms: self.left_ms().max(1),
            urgency: self.route.urgency,
            resume_after: self.request.resume_after,
            is_repeatable: self.route.kind.is_repeatable(),
            prompt: None,
            fetch_from: None,
        }
    }

    /// Takes the right to send a run; `false` when the request may not be sent again.
    pub fn begin_run(&self) -> bool {
        let mut sends = self.sends.get();
        let is_allowed = match sends.run() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.take_retry(&self.service),
            None => false,
        };
        if is_allowed {
            sends.run_sent();
            self.sends.set(sends);
        }
        is_allowed
    }

    /// Takes the right to have the prompt read on another engine.
    pub fn begin_read(&self) -> bool {
        match self.sends.get().read() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.take_retry(&self.service),
            None => false,
        }
    }

    /// Records how a read ended.
    pub fn read_ended(&self, is_refused: bool) {
        let mut sends = self.sends.get();
        if is_refused {
            sends.read_refused();
        } else {
            sends.read_accepted();
        }
        self.sends.set(sends);
    }

    /// Records that a back end may have run the request, until it says otherwise.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Records a failed call and says whether the request can be sent once more. `before` is what was
    /// known of runs before the call.
    pub fn failed(
        &self,
        key: BackEndKey,
        stage: Stage,
        fault: &CallFault,
        before: RunState,
    ) -> bool {
        let host = &self.host;
        let now_ms = host.now_ms();
        self.tried.borrow_mut().push(key);
        {
            let mut directory = host.directory.borrow_mut();
            let back_end = directory.get_mut(key);
            let fitness = &mut back_end.fitness;
            match fault {
                CallFault::NotSent(_) | CallFault::NotRun { status: 421 } => {
                    fitness.record_unreachable(now_ms);
                }
                CallFault::NotRun { .. } => back_end.refused(now_ms),
                CallFault::Broken(_) | CallFault::Crossed => fitness.record_broken_connection(),
            }
        }
        let is_unsent = matches!(fault, CallFault::NotSent(_));
        let had_run = before == RunState::MayHaveRun;
        let has_run = match (stage, fault) {
            (Stage::Read, _) | (Stage::Run, CallFault::NotSent(_) | CallFault::NotRun { .. }) => {
                had_run
            }
            (Stage::Run, CallFault::Broken(_) | CallFault::Crossed) => true,
        };
        self.may_have_run.set(has_run);
        if is_unsent {
            self.unreachable.set(self.unreachable.get() + 1);
        }
        let target = host.target(key);
        let fields = format!(
            "request={} stage={stage:?} back_end={} service={} fault={fault:?} elapsed_ms={} may_have_run={has_run}",
            self.request.id,
            target.id,
            self.service,
            self.elapsed_ms(),
        );
        log::write(Event::BackendFailed, &fields);
        let may_repeat = !has_run || self.route.kind.is_repeatable();
        may_repeat && self.unreachable.get() <= MAX_UNREACHABLE
    }

    /// Gives back the right to a run that was not sent.
    pub fn unsend(&self, before: SendLimit) {
        self.sends.set(before);
    }

    /// Whether a back end has got a part of the request before.
    pub fn has_started(&self) -> bool {
        self.may_have_run.get() || !self.tried.borrow().is_empty()
    }

    /// The sends so far.
    pub fn sends(&self) -> SendLimit {
        self.sends.get()
    }

    /// What is known of runs so far.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run.get() {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        }
    }

    /// The final reply of a request that gets no answer of a back end. It states that the request
    /// did not run only when that is certain.
    pub fn refuse(&self, code: Code) -> Reply {
        self.refuse_until(code, RETRY_AFTER_MS)
    }

    /// As [`Job::refuse`], with the time after which the caller may come again.
    pub fn refuse_until(&self, code: Code, retry_after_ms: u64) -> Reply {
        let host = &self.host;
        if !self.may_have_run.get() {
            let code = match code {
                Code::DeadlineExceeded => Code::DeadlineUnreachable,
                other if other.outcome() == Outcome::NotRun => other,
                _ => Code::NoBackend,
            };
            return refuse(host, &self.request.id, code, Some(retry_after_ms));
        }
        let code = match code {
            Code::DeadlineExceeded | Code::BackendFailed => code,
            _ => Code::OutcomeUnknown,
        };
        host.metrics.failed(code);
        let fields = format!(
            "request={} code={} ran=unknown elapsed_ms={}",
            self.request.id,
            code.number(),
            self.elapsed_ms()
        );
        log::write(Event::Failed, &fields);
        Reply::refusal(code, None)
    }
}

/// What a call asks of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// To read a prompt for another engine, which is no run.
    Read,
    /// To run the request.
    Run,
}

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// It is certain that no back end ran it.
    NotRun,
    /// A back end got it and did not state that it did not run it.
    MayHaveRun,
}
