//! Fake backends and hosts for tests in virtual time.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a separate crate that uses only a part of this module"
)]

pub mod control;
pub mod link;
pub mod relay_group;
pub mod site;
pub mod version_fleet;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http::{Method, Response};
use serde_json::Value;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Duration, Instant, sleep};
pub use yucca_emulator::store::{MemoryStore as FakeStore, Paging, StoreMode};
use yucca_serve::config::{EngineSpec, Route, RouteKind, Service, ServingConfig, WeightedService};
use yucca_serve::directory::BackendEntry;
use yucca_serve::follow::{follow_backends, probe_store};
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{follow_hosts, register};
use yucca_serve::ports::{
    BackendResponse, Backends, Call, CallFault, Connectivity, EngineReport, Freshness, Kind,
    KvCacheHandle, Notice, NoticeContent, Object, ObjectStore, Objects, OrderReply, PhaseOrder,
    Prefilled, ResponseBody, StoreFault, Target,
};
use yucca_serve::request::{Prompt, PromptPart, Request};
use yucca_serve::roles::{LEASE_NAME, RoleLease, maintain_lease};
use yuccacove::prompt_placement::Phase;
use yuccacove::reachability::Outcome;

/// Runs a test on one thread, with a clock that advances to the next timer whenever all tasks are
/// idle.
pub fn run_virtual<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Sleeps in virtual time.
pub async fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Behaviour of a fake backend for one call.
#[derive(Debug, Clone)]
pub enum Step {
    /// Responds with a status and chunks.
    Respond(u16, Vec<Chunk>),
    /// Responds with status 200 and chunks, in a body that ends with its connection.
    RespondUnframed(Vec<Chunk>),
    /// Fails the call.
    Fault(CallFault),
    /// Never responds.
    Hang,
}

/// A part of a response body.
#[derive(Debug, Clone)]
pub enum Chunk {
    /// Sends bytes after a pause in milliseconds.
    Bytes(u64, &'static str),
    /// Breaks the connection after a pause in milliseconds.
    Broken(u64),
    /// Crashes the engine after a pause in milliseconds.
    Crash(u64),
}

/// A call that a fake backend has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedCall {
    /// Id of the backend.
    pub id: String,
    /// Whether the call is a remote prefill.
    pub is_prefill: bool,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Whether the call has the handle of a KV cache.
    pub has_kv_cache: bool,
    /// Remaining time of the request.
    pub left_ms: u64,
    /// Urgency rank that the engine receives.
    pub urgency: u8,
}

/// Returns what a tunnel of another host to a backend meets; `None` if the tunnel is taken and reaches it.
type TunnelRule = Rc<dyn Fn(&Target) -> Option<Connectivity>>;

/// Engines that all hosts of a test share. An engine crashes a moment after it begins to answer a
/// request whose prompt contains the deadly part, unless it is the last part.
pub struct EngineFleet {
    /// Id of the deadly part, if there is one.
    pub deadly_part: Cell<Option<u64>>,
    /// Body of the request that crashes each backend that runs it, if there is one.
    pub deadly_body: RefCell<Option<Bytes>>,
    /// Whether a deadly request crashes an engine before the head of the response is sent.
    pub crashes_before_head: Cell<bool>,
    /// Time from the arrival of a request at an engine to the head of the response, in milliseconds.
    pub head_ms: Cell<u64>,
    /// Whether a deadly request crashes the engines that only prefill its prompt, too.
    pub crashes_prefill: Cell<bool>,
    /// Limit that each engine names, in requests a second.
    pub limits_per_s: RefCell<HashMap<String, f64>>,
    /// Times at which requests and prefills reached each engine.
    pub arrivals: RefCell<HashMap<String, Vec<Instant>>>,
    /// Times of the crashes by the deadly part.
    pub crashes: RefCell<Vec<Instant>>,
    /// Times at which requests with the deadly part were sent to be run.
    pub deadly_calls: RefCell<Vec<Instant>>,
    /// Whether the host at an address takes tunnels to a backend; `None` if it does and reaches it.
    pub gates: RefCell<HashMap<SocketAddr, TunnelRule>>,
    /// Time of the last crash of each engine.
    crashed: RefCell<HashMap<String, Instant>>,
}

impl std::fmt::Debug for EngineFleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineFleet").finish_non_exhaustive()
    }
}

impl EngineFleet {
    /// Time that an engine takes to restart.
    pub const RESTART: Duration = Duration::from_millis(3_000);
    /// Time from the head of the response to the crash.
    const HEAD_TO_CRASH_MS: u64 = 40;
    /// Time that a plain server takes for a request.
    const PLAIN_WORK_MS: u64 = 60;

    /// Creates engines that neither crash nor name a limit.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            deadly_part: Cell::new(None),
            deadly_body: RefCell::default(),
            crashes_before_head: Cell::default(),
            head_ms: Cell::default(),
            crashes_prefill: Cell::default(),
            limits_per_s: RefCell::default(),
            arrivals: RefCell::default(),
            gates: RefCell::default(),
            crashes: RefCell::default(),
            deadly_calls: RefCell::default(),
            crashed: RefCell::default(),
        })
    }

    /// Crashes an engine. All its connections break at once.
    pub fn crash(&self, id: &str) {
        let now = Instant::now();
        self.crashed.borrow_mut().insert(id.to_owned(), now);
    }

    /// Whether the engine is restarting.
    pub fn is_down(&self, id: &str) -> bool {
        let crashed = self.crashed.borrow();
        crashed
            .get(id)
            .is_some_and(|crashed| crashed.elapsed() < Self::RESTART)
    }

    /// Time of the last crash of an engine; `None` if there was none.
    pub fn last_crash(&self, id: &str) -> Option<Instant> {
        self.crashed.borrow().get(id).copied()
    }

    /// Runs a request on a plain server, which responds only when its work is done.
    async fn run_plain(&self, id: &str, request: &Request) -> Result<(), CallFault> {
        let before = self.last_crash(id);
        let is_deadly =
            self.deadly_body.borrow().as_ref() == Some(&request.body.segments().concat().into());
        if is_deadly {
            self.deadly_calls.borrow_mut().push(Instant::now());
        }
        let until = Instant::now() + Duration::from_millis(Self::PLAIN_WORK_MS);
        while Instant::now() < until {
            wait_ms(1).await;
            if self.last_crash(id) != before {
                return Err(CallFault::Broken("reset".to_owned()));
            }
        }
        if is_deadly {
            self.crashes.borrow_mut().push(Instant::now());
            self.crash(id);
            return Err(CallFault::Broken("reset".to_owned()));
        }
        Ok(())
    }

    /// Waits until an engine sends the head of its response to a generation.
    async fn begin_generation(&self, id: &str, request: &Request) -> Result<(), CallFault> {
        let before = self.last_crash(id);
        let is_deadly = self.is_deadly(request);
        if is_deadly {
            self.deadly_calls.borrow_mut().push(Instant::now());
        }
        let until = Instant::now() + Duration::from_millis(self.head_ms.get());
        while Instant::now() < until {
            wait_ms(1).await;
            if self.last_crash(id) != before {
                return Err(CallFault::Broken("reset".to_owned()));
            }
        }
        if is_deadly && self.crashes_before_head.get() {
            self.crashes.borrow_mut().push(Instant::now());
            self.crash(id);
            return Err(CallFault::Broken("reset".to_owned()));
        }
        Ok(())
    }

    /// Runs a prefill on an engine.
    fn run_prefill(&self, id: &str, request: &Request) -> Result<(), CallFault> {
        if self.is_down(id) {
            return Err(CallFault::NotSent("refused".to_owned()));
        }
        if self.crashes_prefill.get() && self.is_deadly(request) {
            self.deadly_calls.borrow_mut().push(Instant::now());
            self.crashes.borrow_mut().push(Instant::now());
            self.crash(id);
            return Err(CallFault::Broken("reset".to_owned()));
        }
        Ok(())
    }

    fn record_arrival(&self, id: &str) {
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals
            .entry(id.to_owned())
            .or_default()
            .push(Instant::now());
    }

    fn limit_per_s(&self, id: &str) -> Option<f64> {
        self.limits_per_s.borrow().get(id).copied()
    }

    fn is_deadly(&self, request: &Request) -> bool {
        let parts = request.prompt.as_ref().map_or(&[][..], |p| &p.parts);
        let shared = &parts[..parts.len().saturating_sub(1)];
        let has_deadly_part = shared
            .iter()
            .any(|part| Some(part.id) == self.deadly_part.get());
        has_deadly_part
            || self.deadly_body.borrow().as_ref() == Some(&request.body.segments().concat().into())
    }
}

/// Backends with scripted behaviour.
#[derive(Debug, Default)]
pub struct FakeBackends {
    /// Engines that crash on a part of a prompt; `None` if engines only follow their scripts.
    pub fleet: RefCell<Option<Rc<EngineFleet>>>,
    scripts: RefCell<HashMap<String, VecDeque<Step>>>,
    prefills: RefCell<VecDeque<Result<(), CallFault>>>,
    /// Duration of a remote prefill in milliseconds.
    pub prefill_ms: Cell<u64>,
    /// Received calls in order.
    pub calls: RefCell<Vec<ReceivedCall>>,
    /// Requests of all calls, in order.
    pub requests: RefCell<Vec<Request>>,
    /// Number of response bodies that were dropped before their end.
    pub dropped_early: Rc<Cell<u32>>,
    /// Received orders, each with the id of the engine.
    pub orders: RefCell<Vec<(String, PhaseOrder)>>,
    /// Reply to orders; `None` for [`OrderReply::Accepted`].
    pub order_reply: Cell<Option<OrderReply>>,
    /// Engines that are in the prefill phase before any order.
    pub prefill_engines: RefCell<HashSet<String>>,
    /// Number of KV caches that were released.
    pub released: Cell<u32>,
    /// Notices of backends that the host has not taken yet.
    pub notices: RefCell<Vec<Notice>>,
    /// Backends to which this host has no path: its connections are reset and refused.
    pub cut_off: RefCell<HashSet<String>>,
    /// Whether new connections to these hang instead.
    pub cut_off_hangs: Cell<bool>,
}

impl FakeBackends {
    /// Sets the behaviour of a backend for its next calls; without a script it responds "ok" with
    /// status 200.
    pub fn script(&self, id: &str, steps: impl IntoIterator<Item = Step>) {
        let mut scripts = self.scripts.borrow_mut();
        scripts.entry(id.to_owned()).or_default().extend(steps);
    }

    /// Sets the behaviour of the backends `ids` for their next call, in place of all scripts so far.
    pub fn script_only(&self, ids: &[String], step: &Step) {
        let scripts = ids.iter().map(|id| (id.clone(), [step.clone()].into()));
        *self.scripts.borrow_mut() = scripts.collect();
    }

    /// Sets the outcomes of the next remote prefills; without a script they succeed.
    pub fn script_prefills(&self, outcomes: impl IntoIterator<Item = Result<(), CallFault>>) {
        self.prefills.borrow_mut().extend(outcomes);
    }

    /// Returns the received calls that are not remote prefills.
    pub fn attempts(&self) -> Vec<ReceivedCall> {
        let calls = self.calls.borrow();
        calls.iter().filter(|s| !s.is_prefill).cloned().collect()
    }

    fn is_cut_off(&self, to: &Target) -> bool {
        to.via.is_none() && self.cut_off.borrow().contains(&*to.id)
    }

    /// Returns the fault of a call that opens a new connection, if that fails.
    async fn connect(&self, to: &Target) -> Result<(), CallFault> {
        let connectivity = self.connectivity(to).await;
        if to.via.is_none() {
            let outcome = match connectivity {
                Connectivity::Opened => Outcome::Opened,
                Connectivity::Refused => Outcome::Refused,
                Connectivity::Silent | Connectivity::Unknown => Outcome::Silent,
            };
            self.notices.borrow_mut().push(Notice {
                from: Rc::clone(&to.id),
                via: None,
                received: Instant::now(),
                content: NoticeContent::Connection(outcome),
            });
        }
        match connectivity {
            Connectivity::Opened => Ok(()),
            Connectivity::Refused | Connectivity::Silent => {
                Err(CallFault::NotSent(format!("{connectivity:?}")))
            }
            Connectivity::Unknown => Err(CallFault::NotProxied("not taken".to_owned())),
        }
    }

    async fn connectivity(&self, to: &Target) -> Connectivity {
        let fleet = self.fleet.borrow().clone();
        let is_down = fleet.as_ref().is_some_and(|fleet| fleet.is_down(&to.id));
        let gate = to.via.zip(fleet);
        if let Some((via, fleet)) = gate {
            let gate = fleet.gates.borrow().get(&via).cloned();
            let Some(gate) = gate else {
                return Connectivity::Unknown;
            };
            wait_ms(1).await;
            return gate(to).unwrap_or(if is_down {
                Connectivity::Refused
            } else {
                Connectivity::Opened
            });
        }
        if self.is_cut_off(to) && self.cut_off_hangs.get() {
            wait_ms(400).await;
            return Connectivity::Silent;
        }
        if is_down || self.is_cut_off(to) {
            Connectivity::Refused
        } else {
            Connectivity::Opened
        }
    }

    async fn wait_until_cut_off(&self, to: &Target) {
        while !self.is_cut_off(to) {
            wait_ms(1).await;
        }
    }

    fn record(&self, to: &Target, call: &Call, is_prefill: bool) {
        self.calls.borrow_mut().push(ReceivedCall {
            id: to.id.to_string(),
            is_prefill,
            resume_after: call.resume_after,
            has_kv_cache: call.kv_cache.is_some(),
            left_ms: call.left_ms,
            urgency: call.urgency,
        });
    }
}

/// Body of a fake response.
#[derive(Debug)]
pub struct FakeBody {
    /// The engine with the time of its last crash before the response, if it can crash.
    engine: Option<(Rc<EngineFleet>, String, Option<Instant>)>,
    chunks: VecDeque<Chunk>,
    dropped_early: Rc<Cell<u32>>,
    is_ended: bool,
}

impl ResponseBody for FakeBody {
    async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        match self.chunks.pop_front() {
            Some(Chunk::Bytes(pause_ms, text)) => {
                if self.is_crashed_after_ms(pause_ms).await {
                    self.is_ended = true;
                    return Some(Err("reset".to_owned()));
                }
                Some(Ok(Bytes::from_static(text.as_bytes())))
            }
            Some(Chunk::Broken(pause_ms)) => {
                wait_ms(pause_ms).await;
                self.is_ended = true;
                Some(Err("reset".to_owned()))
            }
            Some(Chunk::Crash(pause_ms)) => {
                let is_crashed = self.is_crashed_after_ms(pause_ms).await;
                if let Some((fleet, id, _)) = self.engine.as_ref().filter(|_| !is_crashed) {
                    fleet.crashes.borrow_mut().push(Instant::now());
                    fleet.crash(id);
                }
                self.is_ended = true;
                Some(Err("reset".to_owned()))
            }
            None => {
                self.is_ended = true;
                None
            }
        }
    }
}

impl FakeBody {
    /// Waits, and returns whether the engine has crashed since the response began.
    async fn is_crashed_after_ms(&self, pause_ms: u64) -> bool {
        let Some((fleet, id, before)) = &self.engine else {
            wait_ms(pause_ms).await;
            return false;
        };
        let until = Instant::now() + Duration::from_millis(pause_ms);
        while Instant::now() < until && fleet.last_crash(id) == *before {
            wait_ms(1).await;
        }
        fleet.last_crash(id) != *before
    }
}

impl Drop for FakeBody {
    fn drop(&mut self) {
        if !self.is_ended {
            self.dropped_early.set(self.dropped_early.get() + 1);
        }
    }
}

impl Backends for FakeBackends {
    type Body = FakeBody;

    async fn send_request(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<BackendResponse<FakeBody>, CallFault> {
        self.record(to, &call, false);
        self.requests.borrow_mut().push(request.clone());
        let fleet = self.fleet.borrow().clone();
        if fleet.is_some() {
            wait_ms(1).await;
            self.connect(to).await?;
        }
        let mut step = self
            .scripts
            .borrow_mut()
            .get_mut(&*to.id)
            .and_then(VecDeque::pop_front);
        if let Some(fleet) = &fleet {
            fleet.record_arrival(&to.id);
            if request.prompt.is_some() {
                fleet.begin_generation(&to.id, request).await?;
            } else {
                tokio::select! {
                    outcome = fleet.run_plain(&to.id, request) => outcome?,
                    () = self.wait_until_cut_off(to) => {
                        return Err(CallFault::Broken("reset".to_owned()));
                    }
                }
            }
            if request.prompt.is_some() && fleet.is_deadly(request) {
                let crash = Chunk::Crash(EngineFleet::HEAD_TO_CRASH_MS);
                step = Some(Step::Respond(200, vec![crash]));
            }
        }
        let limit_per_s = fleet.as_ref().and_then(|fleet| fleet.limit_per_s(&to.id));
        let engine = fleet.map(|fleet| {
            let before = fleet.last_crash(&to.id);
            (fleet, to.id.to_string(), before)
        });
        wait_ms(1).await;
        let step = step.unwrap_or(Step::Respond(200, vec![Chunk::Bytes(0, "ok")]));
        let is_framed = matches!(step, Step::Respond(..));
        let (status, chunks) = match step {
            Step::Respond(status, chunks) => (status, chunks),
            Step::RespondUnframed(chunks) => (200, chunks),
            Step::Fault(fault) => return Err(fault),
            Step::Hang => return pending().await,
        };
        Ok(BackendResponse {
            head: head(status),
            is_framed,
            limit_per_s,
            body: FakeBody {
                engine,
                chunks: chunks.into(),
                dropped_early: Rc::clone(&self.dropped_early),
                is_ended: false,
            },
        })
    }

    async fn prefill(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<Prefilled, CallFault> {
        self.record(to, &call, true);
        self.requests.borrow_mut().push(request.clone());
        wait_ms(1 + self.prefill_ms.get()).await;
        if let Some(fleet) = &*self.fleet.borrow() {
            fleet.run_prefill(&to.id, request)?;
        }
        let outcome = self.prefills.borrow_mut().pop_front();
        outcome.unwrap_or(Ok(()))?;
        Ok(Prefilled {
            kv_cache: KvCacheHandle {
                holder: to.clone(),
                handle: "kept".to_owned(),
                tokens: request.prompt.as_ref().map_or(0, |p| p.tokens),
            },
            limit_per_s: None,
        })
    }

    async fn release_kv_cache(&self, _: &KvCacheHandle) -> Result<(), CallFault> {
        self.released.set(self.released.get() + 1);
        Ok(())
    }

    async fn report(&self, to: &Target) -> Result<EngineReport, CallFault> {
        let orders = self.orders.borrow();
        let own: Vec<_> = orders.iter().filter(|(id, _)| *id == *to.id).collect();
        Ok(EngineReport {
            is_prefill: own.last().map_or_else(
                || self.prefill_engines.borrow().contains(&*to.id),
                |(_, order)| order.to_prefill,
            ),
            is_changing: false,
            orders: own.len() as u64,
        })
    }

    async fn order(&self, to: &Target, order: &PhaseOrder) -> Result<OrderReply, CallFault> {
        self.orders
            .borrow_mut()
            .push((to.id.to_string(), order.clone()));
        Ok(self.order_reply.get().unwrap_or(OrderReply::Accepted))
    }

    async fn probe(&self, to: &Target) -> Connectivity {
        wait_ms(1).await;
        self.connectivity(to).await
    }

    fn take_notices(&self) -> Vec<Notice> {
        std::mem::take(&mut self.notices.borrow_mut())
    }

    fn close_idle(&self, _: &Target) {}
}

fn head(status: u16) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = status.try_into().expect("a status");
    response.into_parts().0
}

/// Deployment settings with the bounds that the users require.
pub fn deployment() -> Deployment {
    Deployment {
        name: "entry-1".to_owned(),
        zone: "a".to_owned(),
        retry_ratio: 0.2,
        retry_slack: 54.0,
        drain_ms: 2_000,
        config_ms: 2_000,
        grace_ms: 8_000,
        lease_ms: 3_000,
        heartbeat_ms: 1_200,
        memory_bytes: 260_000_000,
        caller_descriptors: 4_096,
        progress_timeout_ms: 15_000,
        revoke_ms: None,
        usage: None,
        duty_per_s: 50.0,
    }
}

/// Returns the next state of a linear congruential generator, whose upper bits are pseudo-random.
pub fn next_draw(state: u64) -> u64 {
    state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1)
}

/// Starts the tasks of a host with the address `address`: it follows the backends and the hosts,
/// registers, probes the store and maintains the lease on engine roles.
pub fn spawn_common_tasks<S: ObjectStore + 'static>(
    host: &Rc<Host<FakeBackends>>,
    store: &Rc<S>,
    address: &str,
) -> (Rc<RoleLease>, Vec<JoinHandle<()>>) {
    let health = Rc::clone(&host.relay.store_health);
    let started = Instant::now();
    let lease = Rc::new(RoleLease::new(&host.deployment.name, move || {
        1 + started.elapsed().as_millis() as u64
    }));
    let observed = Rc::clone(&lease);
    let address = address.parse().expect("an address");
    let tasks = vec![
        spawn_local(follow_backends(
            Rc::clone(host),
            Rc::clone(store),
            Rc::clone(&health),
        )),
        spawn_local(follow_hosts(
            Rc::clone(host),
            Rc::clone(store),
            Rc::clone(&health),
        )),
        spawn_local(register(Rc::clone(host), Rc::clone(store), address)),
        spawn_local(probe_store(
            Rc::clone(&health),
            Rc::clone(store),
            Kind::Leases,
            LEASE_NAME,
            move |object| observed.observe(object),
        )),
        spawn_local(maintain_lease(Rc::clone(&lease), Rc::clone(store), health)),
    ];
    (lease, tasks)
}

/// A host without backends.
pub fn host() -> Rc<Host<FakeBackends>> {
    Rc::new(Host::new(deployment(), FakeBackends::default(), 1))
}

/// An entry of a backend whose address ends with `number`.
pub fn entry(service: &str, number: u8, phase: Phase) -> BackendEntry {
    BackendEntry {
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        zone: "a".to_owned(),
        is_draining: false,
        phase,
        started_ms: 1,
        is_spot: false,
        leaves_ms: None,
        software: "v1".into(),
    }
}

/// A route to the service "model" for streams and to "desk" for other kinds.
pub fn route(kind: RouteKind, max_attempts: u32) -> Route {
    let service = match kind {
        RouteKind::Stream { .. } => "model",
        RouteKind::Idempotent | RouteKind::AtMostOnce => "desk",
    };
    Route {
        name: "r".to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout_ms: 4_000,
        target_ms: 300,
        target_gap_ms: 150,
        urgency: 0,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts,
        is_public: false,
    }
}

/// A host with the given route, two plain servers, one prefill engine and two decode engines.
pub fn serving_host(route: Route) -> Rc<Host<FakeBackends>> {
    let host = host();
    let engine = EngineSpec {
        slots: 64,
        tokens_per_event: 9,
        kv_tokens: 400_000,
        token_kv_bytes: 160_000,
        handle_ttl_ms: 5_000,
        switch_ms: 3_000,
    };
    let mut config = ServingConfig {
        version: 1,
        routes: vec![route],
        ..ServingConfig::default()
    };
    config
        .services
        .insert("desk".to_owned(), Service::default());
    let model = Service {
        max_connections: 100,
        engine: Some(engine),
        scaling: None,
    };
    config.services.insert("model".to_owned(), model);
    host.set_config(config);
    let mut directory = host.directory.borrow_mut();
    let entries = [
        ("desk-1", entry("desk", 1, Phase::Decode)),
        ("desk-2", entry("desk", 2, Phase::Decode)),
        ("read-1", entry("model", 3, Phase::Prefill)),
        ("gen-1", entry("model", 4, Phase::Decode)),
        ("gen-2", entry("model", 5, Phase::Decode)),
    ];
    for (id, entry) in entries {
        directory.apply_entry(id, 1, entry, 0);
    }
    directory.apply_full_listing(&["desk-1", "desk-2", "read-1", "gen-1", "gen-2"], 1, 0);
    drop(directory);
    host
}

/// A request with a deadline of 4 s.
pub fn request() -> Request {
    Request {
        id: "a1".to_owned(),
        method: Method::POST,
        host: "shop.example".to_owned(),
        path_and_query: "/x".to_owned(),
        deadline_ms: Some(4_000),
        ..Request::default()
    }
}

/// A generation with a prompt that is long enough for a remote prefill.
pub fn generation() -> Request {
    Request {
        prompt: Some(Prompt {
            model: "m".to_owned(),
            tokens: 8_000,
            max_output_tokens: 100,
            parts: vec![
                PromptPart {
                    id: 1,
                    tokens: 5_000,
                },
                PromptPart {
                    id: 2,
                    tokens: 3_000,
                },
            ],
        }),
        ..request()
    }
}
