//! The way of a request through a host: route, service, and the run that fits its kind.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::{Duration, Instant, timeout_at};
use yucca_io::log;
use yuccacove::code::{Code, Outcome};
use yuccacove::event::Event;
use yuccacove::send_limit::{Cost, SendLimit};

use crate::config::{EngineSpec, Route, RouteKind, ServingConfig};
use crate::directory::BackendKey;
use crate::hash::hash_of;
use crate::host::Host;
use crate::plain;
use crate::ports::{Backends, Call, CallFault};
use crate::reply::Reply;
use crate::request::Request;
use crate::stream;

/// Time after which a caller may come again when no back end can take its request.
pub const RETRY_AFTER_MS: u64 = 250;
/// Connections of a request that could not be opened, before it is refused.
const MAX_UNREACHABLE: u32 = 3;

/// Serves a request and returns the reply, whose body may still be arriving.
pub async fn serve<B: Backends>(host: &Rc<Host<B>>, request: Request) -> Reply {
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
    let context = Rc::new(RequestContext::new(host, request, &config, route, service));
    let run = async {
        match context.route.kind {
            RouteKind::Stream { .. } => stream::serve(&context).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => plain::serve(&context).await,
        }
    };
    match timeout_at(context.deadline, run).await {
        Ok(reply) => reply,
        Err(_) => context.refuse(Code::DeadlineExceeded),
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
pub struct RequestContext<B> {
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
    pub deadline: Instant,
    /// Back ends that failed it.
    pub failed_backends: RefCell<Vec<BackendKey>>,
    attempts: Cell<SendLimit>,
    may_have_run: Cell<bool>,
    unreachable: Cell<u32>,
}

impl<B: Backends> RequestContext<B> {
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
        host.add_retry_credit(service);
        Self {
            host: Rc::clone(host),
            request,
            service: service.to_owned(),
            engine: engine.unwrap_or_default(),
            urgent_target_ms: config.urgent_target_ms(service, route.urgency),
            received,
            deadline: received + Duration::from_millis(limit_ms),
            failed_backends: RefCell::default(),
            attempts: Cell::new(SendLimit::new(route.max_attempts)),
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
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// A call that carries the time that is left.
    pub fn call(&self) -> Call {
        Call {
            left_ms: self.left_ms().max(1),
            urgency: self.route.urgency,
            resume_after: self.request.resume_after,
            is_repeatable: self.route.kind.is_repeatable(),
            kv_cache: None,
            fetch_from: None,
        }
    }

    /// Takes the right to send a run; `false` when the request may not be sent again.
    pub fn begin_attempt(&self) -> bool {
        let mut attempts = self.attempts.get();
        let is_allowed = match attempts.run() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.acquire_retry(&self.service),
            None => false,
        };
        if is_allowed {
            attempts.run_sent();
            self.attempts.set(attempts);
        }
        is_allowed
    }

    /// Takes the right to have the prompt read on another engine.
    pub fn begin_prefill(&self) -> bool {
        match self.attempts.get().read() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.acquire_retry(&self.service),
            None => false,
        }
    }

    /// Records how a read ended.
    pub fn prefill_ended(&self, is_refused: bool) {
        let mut attempts = self.attempts.get();
        if is_refused {
            attempts.read_refused();
        } else {
            attempts.read_accepted();
        }
        self.attempts.set(attempts);
    }

    /// Records that a back end may have run the request, until it says otherwise.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Records a failed call and says whether the request can be sent once more. `before` is what was
    /// known of runs before the call.
    pub fn record_failure(
        &self,
        key: BackendKey,
        stage: Stage,
        fault: &CallFault,
        before: RunState,
    ) -> bool {
        let host = &self.host;
        let now_ms = host.now_ms();
        self.failed_backends.borrow_mut().push(key);
        {
            let mut directory = host.directory.borrow_mut();
            let backend = directory.get_mut(key);
            let fitness = &mut backend.fitness;
            match fault {
                CallFault::NotSent(_) | CallFault::NotRun { status: 421 } => {
                    fitness.unreachable(now_ms);
                }
                CallFault::NotRun { .. } => backend.record_refusal(now_ms),
                CallFault::Broken(_) | CallFault::Crossed => fitness.broke(),
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
    pub fn restore_attempts(&self, before: SendLimit) {
        self.attempts.set(before);
    }

    /// Whether a back end has got a part of the request before.
    pub fn has_started(&self) -> bool {
        self.may_have_run.get() || !self.failed_backends.borrow().is_empty()
    }

    /// The sends so far.
    pub fn attempts(&self) -> SendLimit {
        self.attempts.get()
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
        self.refuse_with_retry_after(code, RETRY_AFTER_MS)
    }

    /// As [`RequestContext::refuse`], with the time after which the caller may come again.
    pub fn refuse_with_retry_after(&self, code: Code, retry_after_ms: u64) -> Reply {
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
