//! Entry point for requests: selects the route and the service, then serves the request by its
//! kind.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use tokio::time::{Duration, Instant, sleep, timeout_at};
use yucca_io::log;
use yucca_io::log::field;
use yuccacove::attempt_limit::{AttemptLimit, Cost};
use yuccacove::code::{Code, Outcome};
use yuccacove::crash_cause::PartKey;
use yuccacove::event::Event;
use yuccacove::fleet_rate::Permission;
use yuccacove::stream_version::VersionId;

use crate::authentication::authenticate;
use crate::config::{EngineSpec, Route, RouteKind, ServingConfig};
use crate::crashes;
use crate::demand::DemandGuard;
use crate::directory::BackendKey;
use crate::hash::hash_of;
use crate::held::ServiceOverload;
use crate::host::Host;
use crate::named_limits::{self, GRANT_WAIT_MS};
use crate::plain;
use crate::ports::{Backends, Call, CallFault};
use crate::reply::Reply;
use crate::request::Request;
use crate::stream;

/// Time after which a caller may retry if no backend can accept its request now.
pub const RETRY_AFTER_MS: u64 = 250;
/// Interval at which a request that waits for a grant checks for the answer.
const GRANT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for the answer to one question.
const ANSWER_WAIT_MS: u64 = 40;
/// Time that each question takes at least of the time that a request may wait.
const MIN_COUNTED_WAIT_MS: u64 = 5;
/// Number of connection failures that a request may have without being refused.
const MAX_CONNECTION_FAILURES: u32 = 3;

/// Serves a request and returns the reply, whose body may still be arriving.
pub async fn serve<B: Backends>(host: &Rc<Host<B>>, mut request: Request) -> Reply {
    host.metrics.requests.inc();
    let Some(config) = host.config() else {
        return refuse(host, &request.id, Code::NotReady, Some(RETRY_AFTER_MS));
    };
    let Some(route) = config.route(&request.host, request.path()) else {
        let cause = format!(" config={}{}", config.version, host.config_origin_fields());
        return refuse_because(host, &request.id, Code::UnknownEntry, None, &cause);
    };
    let urgency = match authenticate(host, &config, route, &mut request) {
        Ok(urgency) => urgency,
        Err(code) => {
            let retry_after_ms = (code == Code::KeysUnproven).then_some(RETRY_AFTER_MS);
            let cause = format!(" config={}{}", config.version, host.config_origin_fields());
            return refuse_because(host, &request.id, code, retry_after_ms, &cause);
        }
    };
    let Some(service) = route.service(hash_of(&request.id)) else {
        return refuse(host, &request.id, Code::NoBackend, Some(RETRY_AFTER_MS));
    };
    let route = Route {
        urgency,
        ..route.clone()
    };
    let context = Rc::new(RequestContext::new(host, request, &config, &route, service));
    if !host.shutdown().accepts(context.left_ms(), host.now_ms()) {
        return context.refuse(Code::HostStopping);
    }
    let run = async {
        match context.route.kind {
            RouteKind::Stream { .. } => stream::serve(&context).await,
            RouteKind::Idempotent | RouteKind::AtMostOnce => plain::serve(&context).await,
        }
    };
    match timeout_at(context.deadline, until_exit(&context, run)).await {
        Ok(reply) => reply,
        Err(_) => context.refuse(Code::DeadlineExceeded),
    }
}

/// Runs a request. If a graceful shutdown nears its end before the request was sent to a backend,
/// refuses it while it is still true that it did not run.
async fn until_exit<B: Backends>(
    context: &RequestContext<B>,
    run: impl Future<Output = Reply>,
) -> Reply {
    let mut run = pin!(run);
    tokio::select! {
        reply = &mut run => return reply,
        () = context.host.until_refusal() => {}
    }
    if context.run_state() == RunState::NotRun {
        return context.refuse(Code::HostStopping);
    }
    run.await
}

/// Refuses a request that was not sent to a backend.
pub fn refuse<B>(host: &Host<B>, id: &str, code: Code, retry_after_ms: Option<u64>) -> Reply {
    refuse_because(host, id, code, retry_after_ms, "")
}

/// As [`refuse`], with fields for the log line that tell why.
fn refuse_because<B>(
    host: &Host<B>,
    id: &str,
    code: Code,
    retry_after_ms: Option<u64>,
    cause: &str,
) -> Reply {
    host.metrics.record_refusal(code);
    let fields = format!("request={id} code={} ran=no{cause}", code.number());
    log::write(Event::Refused, &fields);
    Reply::refusal(code, retry_after_ms)
}

/// A request with the state that its attempts share.
#[derive(Debug)]
pub struct RequestContext<B> {
    /// Host that serves the request.
    pub host: Rc<Host<B>>,
    /// Request as received from the caller.
    pub request: Request,
    /// Route of the request.
    pub route: Route,
    /// Version of the configuration with that route.
    pub config_version: u64,
    /// Name of the service that was chosen for the request.
    pub service: String,
    /// Specification of the service's engines; all zero for a plain service.
    pub engine: EngineSpec,
    /// Whether the number of the service's engines follows the demand.
    pub is_scaled: bool,
    /// Whether the request is of the most urgent kind of its service.
    pub is_most_urgent: bool,
    /// Shortest latency target among the more urgent routes of the service, of streams or of plain
    /// requests as this one is; `None` if none of them has a target.
    pub urgent_target_ms: Option<u64>,
    /// Time of receipt.
    pub received: Instant,
    /// Time by which the caller must have its complete reply.
    pub deadline: Instant,
    /// What may make the request crash the backends that run it.
    pub crash_keys: Vec<PartKey>,
    /// Backends that failed this request; retries avoid them.
    pub failed_backends: RefCell<Vec<BackendKey>>,
    attempts: Cell<AttemptLimit>,
    may_have_run: Cell<bool>,
    connection_failures: Cell<u32>,
    /// Counts the request towards the demand, once engines were chosen for it.
    demand: RefCell<Option<DemandGuard<B>>>,
    /// Time for which the request has waited for grants of limited backends.
    grant_wait_ms: Cell<u64>,
    /// Time on the boot clock at which the request was first sent to a backend that may have run it.
    begun_ms: Cell<u64>,
    /// Software version at which the stream must go on; `None` if it may begin at any.
    pub required_version: Cell<Option<VersionId>>,
    /// Whether this is a resumption of a stream that is known to have begun.
    pub has_begun: Cell<bool>,
    /// Whether the request was counted for the usage reports.
    is_counted: Cell<bool>,
}

impl<B> Drop for RequestContext<B> {
    /// Counts a plain request that a backend answered or may have run, however it ended: the caller
    /// may have left meanwhile.
    fn drop(&mut self) {
        let is_plain = !matches!(self.route.kind, RouteKind::Stream { .. });
        if is_plain && self.may_have_run.get() {
            self.count_usage(self.begun_ms.get());
        }
    }
}

impl<B> RequestContext<B> {
    /// Counts the request for the usage reports, unless it was counted before.
    fn count_usage(&self, begun_ms: u64) {
        let Some(organisation) = &self.request.organisation else {
            return;
        };
        let host = &self.host;
        let Some(usage) = host
            .usage
            .as_ref()
            .filter(|_| !self.is_counted.replace(true))
        else {
            return;
        };
        host.metrics.usage_counted.inc();
        usage.count(organisation, begun_ms, host.clock.now_ms());
    }

    /// Counts a generation, which begins to run with its first event or ends with an engine's error.
    pub fn count_generation(&self) {
        self.count_usage(self.host.clock.now_ms());
    }
}

impl<B: Backends> RequestContext<B> {
    /// Creates the context of a request that is served, and counts the request for the retry budget.
    fn new(
        host: &Rc<Host<B>>,
        request: Request,
        config: &ServingConfig,
        route: &Route,
        service: &str,
    ) -> Self {
        host.add_retry_credit(service);
        Self::uncounted(host, request, config, route, service)
    }

    /// Creates the context of a request that is explained. It changes nothing in the host.
    pub(crate) fn uncounted(
        host: &Rc<Host<B>>,
        request: Request,
        config: &ServingConfig,
        route: &Route,
        service: &str,
    ) -> Self {
        let spec = config.services.get(service);
        let engine = spec.and_then(|s| s.engine);
        let is_stream = matches!(route.kind, RouteKind::Stream { .. });
        let most_urgent = config.most_urgent(service, is_stream);
        let received = Instant::now();
        let left_ms = request.deadline_ms.unwrap_or(u64::MAX);
        let limit_ms = left_ms.min(route.timeout_ms);
        let crash_keys = crashes::keys(service, &request);
        Self {
            host: Rc::clone(host),
            request,
            service: service.to_owned(),
            engine: engine.unwrap_or_default(),
            is_scaled: spec.is_some_and(|s| s.scaling.is_some()),
            is_most_urgent: most_urgent.is_none_or(|rank| route.urgency <= rank),
            urgent_target_ms: config.urgent_target_ms(service, is_stream, route.urgency),
            received,
            deadline: received + Duration::from_millis(limit_ms),
            crash_keys,
            failed_backends: RefCell::default(),
            attempts: Cell::new(AttemptLimit::new(route.max_attempts)),
            may_have_run: Cell::new(false),
            connection_failures: Cell::new(0),
            demand: RefCell::default(),
            grant_wait_ms: Cell::new(0),
            begun_ms: Cell::new(0),
            is_counted: Cell::new(false),
            required_version: Cell::new(None),
            has_begun: Cell::new(false),
            route: route.clone(),
            config_version: config.version,
        }
    }

    /// Returns the time since the request was received.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.received.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time until the deadline; 0 once it has passed.
    pub fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the decision for overload of the request's service.
    pub fn overload(&self) -> Rc<ServiceOverload> {
        let host = &self.host;
        host.overloads
            .service(&self.service, host.has_organisations())
    }

    /// Counts the request towards the demand for the service's engines until it ends, unless it counts
    /// already. Its prefill is forecast to take `prefill_ms`.
    pub fn count_demand(&self, prefill_ms: f64) {
        let mut demand = self.demand.borrow_mut();
        if self.is_scaled && demand.is_none() {
            let tokens = self.request.prompt.as_ref();
            let tokens = tokens.map_or(0, |p| u64::from(p.tokens) + u64::from(p.max_output_tokens));
            let guard = DemandGuard::begin(
                &self.host,
                &self.service,
                self.is_most_urgent,
                prefill_ms,
                tokens,
            );
            *demand = Some(guard);
        }
    }

    /// Whether the request must not reach a backend, because it would crash it.
    pub fn crashes_backends(&self) -> bool {
        let now_ms = self.host.now_ms();
        let causes = self.host.crash_causes.borrow();
        causes.is_refused(&self.crash_keys, now_ms)
    }

    /// Returns the backends that must not be chosen now: those that failed the request, and those
    /// at the limits that they name.
    pub fn excluded_backends(&self) -> Vec<BackendKey> {
        self.host.apply_notices();
        let may_ask = self.grant_wait_ms.get() < GRANT_WAIT_MS;
        let mut excluded = self.failed_backends.borrow().clone();
        excluded.extend(named_limits::exhausted(&self.host, &self.service, may_ask));
        let now_ms = self.host.now_ms();
        let directory = self.host.directory.borrow();
        excluded.extend(directory.paused(&self.service, now_ms));
        excluded
    }

    /// Returns `true` at once if the request may be sent to the chosen backend. Otherwise asks for a
    /// grant and waits for the answer; the backend must then be chosen again.
    pub async fn ensure_grant(&self, key: BackendKey) -> bool {
        if named_limits::permission(&self.host, key) == Permission::Granted {
            return true;
        }
        named_limits::ask(&self.host, key);
        let since_ms = self.host.now_ms();
        let wait_ms = GRANT_WAIT_MS.saturating_sub(self.grant_wait_ms.get());
        loop {
            let waited_ms = self.host.now_ms() - since_ms;
            let is_answered = named_limits::permission(&self.host, key) != Permission::Asking;
            if is_answered || waited_ms >= wait_ms.min(ANSWER_WAIT_MS) {
                // An answer without a wait counts too, which limits the number of questions.
                let counted_ms = waited_ms.max(MIN_COUNTED_WAIT_MS);
                self.grant_wait_ms
                    .set(self.grant_wait_ms.get() + counted_ms);
                return false;
            }
            sleep(GRANT_POLL_INTERVAL).await;
        }
    }

    /// Refuses a request for which no backend can be chosen.
    pub fn refuse_unplaced(&self) -> Reply {
        self.refuse_with_retry_after(Code::NoBackend, self.unplaced_retry_after_ms())
    }

    /// Returns the time after which a caller may retry a request for which no backend can be chosen.
    pub(crate) fn unplaced_retry_after_ms(&self) -> u64 {
        if let Some(left_ms) = self.shortest_pause_ms() {
            return left_ms.max(RETRY_AFTER_MS);
        }
        if named_limits::exhausted(&self.host, &self.service, false).is_empty() {
            return RETRY_AFTER_MS;
        }
        named_limits::retry_after_ms(&self.host, &self.service)
    }

    /// Returns the time until the first backend takes requests again; `None` if not all usable
    /// backends of the service have turned this host away for some time.
    fn shortest_pause_ms(&self) -> Option<u64> {
        let now_ms = self.host.now_ms();
        let directory = self.host.directory.borrow();
        let keys = directory.usable(&self.service, now_ms);
        let pauses = keys
            .iter()
            .map(|key| directory.get(*key).pause_left_ms(now_ms));
        pauses.min().filter(|left_ms| *left_ms > 0)
    }

    /// Returns the parameters of a call with the remaining time and without a KV cache.
    pub fn call(&self) -> Call {
        Call {
            left_ms: self.left_ms().max(1),
            urgency: self.route.urgency,
            resume_after: self.request.resume_after,
            is_repeatable: self.route.kind.is_repeatable(),
            kv_cache: None,
            prefix_source: None,
        }
    }

    /// Starts an attempt. Returns `false` if the route's limit or the retry budget does not allow
    /// one.
    pub fn begin_attempt(&self) -> bool {
        let mut attempts = self.attempts.get();
        let is_allowed = match attempts.attempt_cost() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.acquire_retry(&self.service),
            None => false,
        };
        if is_allowed {
            attempts.attempt_sent();
            self.attempts.set(attempts);
        }
        is_allowed
    }

    /// Starts a remote prefill. Returns `false` if the route's limit or the retry budget does not
    /// allow one.
    pub fn begin_prefill(&self) -> bool {
        match self.attempts.get().prefill_cost() {
            Some(Cost::Free) => true,
            Some(Cost::Retry) => self.host.acquire_retry(&self.service),
            None => false,
        }
    }

    /// Records a remote prefill that was sent. One that the engine refused counts as an attempt;
    /// the first one that was accepted, or whose outcome is unknown, does not.
    pub fn prefill_ended(&self, is_refused: bool) {
        let mut attempts = self.attempts.get();
        if is_refused {
            attempts.prefill_refused();
        } else {
            attempts.prefill_accepted();
        }
        self.attempts.set(attempts);
    }

    /// Records whether a backend may have run the request. This is assumed from the start of a call
    /// until the backend states otherwise or the call turns out not to have been sent.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        if may_have_run && !self.may_have_run.get() {
            self.begun_ms.set(self.host.clock.now_ms());
        }
        self.may_have_run.set(may_have_run);
    }

    /// Records a failed call and returns whether the request may be retried. `state_before` is the
    /// run state before the call.
    pub fn record_failure(
        &self,
        key: BackendKey,
        stage: Stage,
        progress: Progress,
        fault: &CallFault,
        state_before: RunState,
    ) -> bool {
        let host = &self.host;
        let now_ms = host.now_ms();
        self.failed_backends.borrow_mut().push(key);
        {
            let mut directory = host.directory.borrow_mut();
            let backend = directory.get_mut(key);
            let health = &mut backend.health;
            match fault {
                // With status 421, the address belongs to another backend now.
                CallFault::NotSent(_)
                | CallFault::NotProxied(_)
                | CallFault::NotRun { status: 421 } => {
                    health.record_unreachable(now_ms);
                }
                CallFault::NotRun { .. } => backend.record_refusal(now_ms),
                CallFault::Broken(_) | CallFault::TimedOut | CallFault::Invalid(_) => {
                    health.record_broken_connection();
                }
            }
        }
        let is_unsent = matches!(fault, CallFault::NotSent(_) | CallFault::NotProxied(_));
        let may_have_run_before = state_before == RunState::MayHaveRun;
        let may_have_run = match (stage, fault) {
            (Stage::Read, _)
            | (
                Stage::Run,
                CallFault::NotSent(_) | CallFault::NotProxied(_) | CallFault::NotRun { .. },
            ) => may_have_run_before,
            (Stage::Run, CallFault::Broken(_) | CallFault::TimedOut | CallFault::Invalid(_)) => {
                true
            }
        };
        self.may_have_run.set(may_have_run);
        if is_unsent {
            self.connection_failures
                .set(self.connection_failures.get() + 1);
        }
        let target = host.target(key);
        let fields = format!(
            "request={} stage={stage:?} back_end={} service={} progress={progress:?} parts={} content={:x} fault={fault:?} elapsed_ms={} may_have_run={may_have_run}",
            self.request.id,
            target.id,
            self.service,
            self.part_ids(),
            self.content_id(),
            self.elapsed_ms(),
        );
        if matches!(fault, CallFault::Invalid(_)) {
            host.metrics.invalid_responses.inc();
            log::write(Event::CrossedAnswer, &fields);
        } else {
            log::write(Event::BackendFailed, &fields);
        }
        let may_repeat = !may_have_run || self.route.kind.is_repeatable();
        may_repeat && self.connection_failures.get() <= MAX_CONNECTION_FAILURES
    }

    /// Returns the ids of the prompt's parts for log lines, as the caller wrote them.
    fn part_ids(&self) -> String {
        let parts = self.request.prompt.iter().flat_map(|prompt| &prompt.parts);
        let ids: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// Returns the hash of the request's content for log lines. It is the same for all tries of a
    /// request, at all hosts.
    fn content_id(&self) -> u64 {
        self.crash_keys.last().map_or(0, |key| key.id)
    }

    /// Restores the attempt limit to an earlier value, after an attempt that was not sent.
    pub fn restore_attempts(&self, before: AttemptLimit) {
        self.attempts.set(before);
    }

    /// Whether the request may have run or has failed on a backend.
    pub fn has_started(&self) -> bool {
        self.may_have_run.get() || !self.failed_backends.borrow().is_empty()
    }

    /// Returns the attempt limit with the attempts so far.
    pub fn attempts(&self) -> AttemptLimit {
        self.attempts.get()
    }

    /// Returns whether a backend may have run the request.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run.get() {
            RunState::MayHaveRun
        } else {
            RunState::NotRun
        }
    }

    /// Returns the fields of a log line that tell by organisation and by size which requests are served, and
    /// which try a resumption goes back to.
    pub(crate) fn usage_fields(&self) -> String {
        let organisation = self.request.organisation.as_deref();
        let organisation = organisation.map(|name| format!(" organisation={name}"));
        let prompt = self.request.prompt.as_ref();
        let tokens = prompt.map(|prompt| format!(" tokens={}", prompt.tokens));
        let resumed = self.request.resumed_id.as_deref();
        let resumed = resumed.map(|id| format!(" resumed={}", field(id)));
        [organisation, tokens, resumed]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Creates the final reply to a request without a response of a backend. The reply states that
    /// the request was not run only if that is certain.
    pub fn refuse(&self, code: Code) -> Reply {
        self.refuse_with_retry_after(code, RETRY_AFTER_MS)
    }

    /// Refuses a request for overload before it was sent to a backend. `cause` is appended to the log
    /// line.
    pub fn refuse_overloaded(&self, retry_after_ms: u64, cause: &str) -> Reply {
        let code = Code::DeadlineUnreachable;
        let (host, id) = (&self.host, &self.request.id);
        let cause = format!("{cause}{}", self.usage_fields());
        refuse_because(host, id, code, Some(retry_after_ms), &cause)
    }

    /// Like [`RequestContext::refuse`], with the time after which the caller may retry.
    pub fn refuse_with_retry_after(&self, code: Code, retry_after_ms: u64) -> Reply {
        let host = &self.host;
        if !self.may_have_run.get() {
            let code = match code {
                Code::DeadlineExceeded => Code::DeadlineUnreachable,
                other if other.outcome() == Outcome::NotRun => other,
                _ => Code::NoBackend,
            };
            // A later try of these fares no better.
            let is_final = matches!(
                code,
                Code::SuspectRefused | Code::VersionUnknown | Code::VersionGone
            );
            let retry_after_ms = (!is_final).then_some(retry_after_ms);
            let id = &self.request.id;
            return refuse_because(host, id, code, retry_after_ms, &self.usage_fields());
        }
        let code = match code {
            Code::DeadlineExceeded | Code::BackendFailed => code,
            _ => Code::OutcomeUnknown,
        };
        host.metrics.record_failure(code);
        let fields = format!(
            "request={} code={} ran=unknown elapsed_ms={}{}",
            self.request.id,
            code.number(),
            self.elapsed_ms(),
            self.usage_fields()
        );
        log::write(Event::Failed, &fields);
        Reply::refusal(code, None)
    }
}

/// Purpose of a call to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Prefill for another engine, which does not count as running the request.
    Read,
    /// Running the request.
    Run,
}

/// How far the response to a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No complete head has been received.
    NoHead,
    /// The head has been received, and no complete event of a stream.
    Head,
    /// At least one event has been received.
    Events,
}

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// No backend has run it.
    NotRun,
    /// A backend received it and has not stated that it did not run it.
    MayHaveRun,
}
