//! Emulated engines and plain servers that hosts use as their backends, in virtual time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http::{Response, StatusCode};
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use yucca_serve::ports::{
    BackendResponse, Backends, Call, CallFault, Connectivity, EngineReport, Kind, KvCacheHandle,
    Notice, OrderReply, PhaseOrder, Prefilled, Target,
};
use yucca_serve::request::{Prompt, Request};
use yuccacove::prompt_placement::Phase;

use crate::engine::{Capacity, Counters, Engine, Work, WorkId};
use crate::response::{Body, Events};
use crate::store::MemoryStore;

/// One-way network delay from a host to a backend. Responses arrive without a delay.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Request header with the number of tokens that an emulated engine generates.
pub const OUTPUT_TOKENS_HEADER: &str = "x-emulated-output-tokens";

/// A fleet of emulated backends, shared by all hosts.
#[derive(Debug, Clone)]
pub struct Pool {
    inner: Rc<Inner>,
}

/// State that all clones of a [`Pool`] share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) engines: IndexMap<String, EngineNode>,
    servers: IndexMap<String, ServerNode>,
    capacity: Capacity,
    pub(crate) tokens_per_event: u32,
    next_work_id: Cell<WorkId>,
}

/// An engine on the emulated network.
#[derive(Debug)]
pub(crate) struct EngineNode {
    address: SocketAddr,
    /// Entry of the engine in the store.
    entry: RefCell<Value>,
    pub(crate) state: RefCell<EngineState>,
    /// Notified when work is submitted or an order accepted.
    wake: Notify,
    /// Time 0 of the engine's model.
    started: Instant,
    /// When the last transfer on the engine's network link ends.
    link_free_at: Cell<Instant>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) waiters: HashMap<WorkId, Waiter>,
}

/// Receiver of the progress of work on an engine.
#[derive(Debug)]
pub(crate) enum Waiter {
    /// Gets whether the prefill has completed.
    Prefill(oneshot::Sender<bool>),
    Generate(mpsc::UnboundedSender<Progress>),
}

/// Progress of a request that generates tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Progress {
    /// A token was generated; tokens are numbered from 1.
    Token { number: u32, is_last: bool },
    /// A phase change removed the request from the queue.
    NotRun,
}

/// A plain server, which processes as many calls concurrently as it has slots.
#[derive(Debug)]
struct ServerNode {
    slots: Semaphore,
    /// Processing time of a call.
    work_time: Duration,
}

/// Number of backends of a fleet, and their parameters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Number of engines.
    pub engines: usize,
    /// Share of the engines that are slow.
    pub slow_share: f64,
    /// Factor on the speed of the slow engines.
    pub slow_speed: f64,
    /// Number of availability zones, over which backends and hosts are distributed.
    pub zones: usize,
    /// Number of servers of the plain service.
    pub servers: usize,
    /// Calls that a server processes concurrently.
    pub server_slots: usize,
    /// Processing time of a call to a server, in milliseconds.
    pub server_work_ms: u64,
    /// Tokens per event of a stream.
    pub tokens_per_event: u32,
}

impl FleetSize {
    /// Returns the factor on the speed of an engine. Multiples of the golden ratio spread the slow
    /// engines evenly over the numbers, and so over the availability zones.
    fn engine_speed(&self, number: usize) -> f64 {
        const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
        let is_slow = (number as f64 * GOLDEN_RATIO).fract() < self.slow_share;
        if is_slow { self.slow_speed } else { 1.0 }
    }
}

impl Pool {
    /// Starts the backends and writes their entries to `store`.
    pub fn spawn(size: &FleetSize, capacity: Capacity, store: &Rc<MemoryStore>) -> Self {
        let mut engines = IndexMap::new();
        for number in 0..size.engines {
            let zone = zone_name(number, size.zones);
            let address =
                SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80));
            let entry = json!({
                "service": "model", "address": address.to_string(), "zone": zone, "started": 1,
            });
            let mut engine = Engine::new(capacity, Phase::Decode);
            engine.set_speed(size.engine_speed(number));
            let node = EngineNode {
                address,
                entry: RefCell::new(entry),
                state: RefCell::new(EngineState {
                    engine,
                    waiters: HashMap::new(),
                }),
                wake: Notify::new(),
                started: Instant::now(),
                link_free_at: Cell::new(Instant::now()),
            };
            engines.insert(format!("engine-{number}"), node);
        }
        let mut servers = IndexMap::new();
        for number in 0..size.servers {
            let address = server_address(number);
            let entry = json!({
                "service": "desk", "address": address.to_string(), "started": 1,
                "zone": zone_name(number, size.zones),
            });
            let name = format!("server-{number}");
            store.put(Kind::BackEnds, &name, Some(entry));
            let node = ServerNode {
                slots: Semaphore::new(size.server_slots),
                work_time: Duration::from_millis(size.server_work_ms),
            };
            servers.insert(name, node);
        }
        let inner = Rc::new(Inner {
            engines,
            servers,
            capacity,
            tokens_per_event: size.tokens_per_event,
            next_work_id: Cell::new(1),
        });
        for name in inner.engines.keys() {
            inner.write_entry(store, name);
            spawn_local(run_engine(
                Rc::clone(&inner),
                name.clone(),
                Rc::clone(store),
            ));
        }
        Self { inner }
    }

    /// Returns the sum of the counters of all engines.
    pub fn counters(&self) -> Counters {
        let mut sum = Counters::default();
        for node in self.inner.engines.values() {
            let counters = node.state.borrow().engine.counters();
            sum.prefilled_tokens += counters.prefilled_tokens;
            sum.cached_tokens += counters.cached_tokens;
            sum.preempted += counters.preempted;
            sum.busy_ms += counters.busy_ms;
        }
        sum
    }

    /// Returns the number of KV caches that all engines hold for others to fetch.
    pub fn held_kv_caches(&self) -> usize {
        let nodes = self.inner.engines.values();
        nodes
            .map(|node| node.state.borrow().engine.held_kv_caches())
            .sum()
    }

    /// Returns the call targets of the plain servers.
    pub fn servers(&self) -> Vec<Target> {
        let names = self.inner.servers.keys().enumerate();
        names
            .map(|(number, name)| Target {
                id: Rc::from(name.as_str()),
                address: server_address(number),
                via: None,
            })
            .collect()
    }

    /// Returns the names of the engines that are in a phase and not changing it, with the number of
    /// requests on each.
    pub fn engines(&self, phase: Phase) -> Vec<(String, usize)> {
        let nodes = self.inner.engines.iter();
        let in_phase = nodes.filter_map(|(name, node)| {
            let engine = &node.state.borrow().engine;
            let is_wanted = engine.phase() == phase && !engine.is_changing();
            is_wanted.then(|| (name.clone(), engine.requests()))
        });
        in_phase.collect()
    }

    /// Returns the call target of an engine; `None` if there is no engine of that name.
    pub fn target(&self, name: &str) -> Option<Target> {
        let node = self.inner.engines.get(name)?;
        Some(Target {
            id: Rc::from(name),
            address: node.address,
            via: None,
        })
    }

    /// Starts a phase change of an engine directly, without a lease, to set up a simulation.
    pub fn set_phase(&self, name: &str, to: Phase) {
        if let Some(node) = self.inner.engines.get(name) {
            node.order(to);
        }
    }
}

fn server_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (number / 250) as u8, (number % 250) as u8], 80))
}

/// Returns the availability zone of the backend or host with this number.
pub fn zone_name(number: usize, zones: usize) -> String {
    format!("zone-{}", number % zones.max(1))
}

impl Inner {
    /// Writes an engine's entry with its current phase to the store.
    fn write_entry(&self, store: &MemoryStore, name: &str) {
        let node = &self.engines[name];
        let phase = match node.state.borrow().engine.phase() {
            Phase::Prefill => "prefill",
            Phase::Decode => "decode",
        };
        let mut entry = node.entry.borrow_mut();
        entry["phase"] = json!(phase);
        store.put(Kind::BackEnds, name, Some(entry.clone()));
    }

    fn new_work_id(&self) -> WorkId {
        let id = self.next_work_id.get();
        self.next_work_id.set(id + 1);
        id
    }

    fn node(&self, to: &Target) -> Result<&EngineNode, CallFault> {
        let node = self.engines.get(&*to.id);
        node.ok_or_else(|| CallFault::NotSent("no such engine".to_owned()))
    }

    fn engine_at(&self, address: SocketAddr) -> Option<&EngineNode> {
        self.engines.values().find(|node| node.address == address)
    }

    /// Transfers the cached prefix of a prompt from the engine at address `from` to `to`, if it is
    /// longer than the prefix that `to` has cached. Returns the number of transferred tokens.
    async fn fetch_prefix(
        &self,
        to: &EngineNode,
        from: Option<SocketAddr>,
        parts: &[(u64, u32)],
    ) -> u32 {
        let Some(from) = from.and_then(|address| self.engine_at(address)) else {
            return 0;
        };
        let cached = from.state.borrow().engine.cached_tokens(parts);
        if cached > to.state.borrow().engine.cached_tokens(parts) {
            self.transfer(from, to, cached).await;
            cached
        } else {
            0
        }
    }

    /// Transfers KV cache. Transfers on the same link run one after another.
    async fn transfer(&self, from: &EngineNode, to: &EngineNode, tokens: u32) {
        let starts_at = Instant::now()
            .max(from.link_free_at.get())
            .max(to.link_free_at.get());
        let duration = Duration::from_secs_f64(self.capacity.transfer_ms(tokens) / 1e3);
        from.link_free_at.set(starts_at + duration);
        to.link_free_at.set(starts_at + duration);
        sleep_until(starts_at + duration).await;
    }
}

impl EngineNode {
    fn submit(&self, work: Work, id: WorkId, waiter: Waiter) {
        let now_ms = self.started.elapsed().as_secs_f64() * 1e3;
        let mut state = self.state.borrow_mut();
        state.waiters.insert(id, waiter);
        state.engine.submit(work, now_ms);
        self.wake.notify_one();
    }

    fn order(&self, to: Phase) {
        let mut state = self.state.borrow_mut();
        for id in state.engine.order(to) {
            match state.waiters.remove(&id) {
                // The receiver may have been dropped.
                Some(Waiter::Prefill(sender)) => drop(sender.send(false)),
                Some(Waiter::Generate(sender)) => drop(sender.send(Progress::NotRun)),
                None => {}
            }
        }
        self.wake.notify_one();
    }
}

/// Runs an engine's steps until the simulation ends.
async fn run_engine(pool: Rc<Inner>, name: String, store: Rc<MemoryStore>) {
    let node = &pool.engines[&name];
    let started = node.started;
    let mut now_ms = 0.0_f64;
    let mut written_phase = Phase::Decode;
    loop {
        let step = node.state.borrow_mut().engine.next_step(now_ms);
        let phase = node.state.borrow().engine.phase();
        if phase != written_phase {
            written_phase = phase;
            pool.write_entry(&store, &name);
        }
        let Some(step) = step else {
            let change_ends_ms = node.state.borrow().engine.change_ends_ms();
            match change_ends_ms {
                Some(change_ends_ms) => sleep_until(started + millis(change_ends_ms)).await,
                None => node.wake.notified().await,
            }
            now_ms = now_ms.max(started.elapsed().as_secs_f64() * 1e3);
            continue;
        };
        now_ms += step.duration_ms;
        sleep_until(started + millis(now_ms)).await;
        let mut state = node.state.borrow_mut();
        let outcome = state.engine.apply(&step, now_ms);
        for id in outcome.prefilled {
            let Some(Waiter::Prefill(sender)) = state.waiters.remove(&id) else {
                continue;
            };
            if sender.send(true).is_err() {
                // The receiver has been dropped, and nothing else knows the handle.
                state.engine.release_handle(id);
            }
        }
        for (id, number, is_last) in outcome.tokens {
            if let Some(Waiter::Generate(sender)) = state.waiters.get(&id) {
                let _ = sender.send(Progress::Token { number, is_last });
            }
            if is_last {
                state.waiters.remove(&id);
            }
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

fn parts(prompt: &Prompt) -> Vec<(u64, u32)> {
    prompt
        .parts
        .iter()
        .map(|part| (part.id, part.tokens))
        .collect()
}

fn ok_head() -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    response.into_parts().0
}

impl Pool {
    async fn call_server(&self, server: &ServerNode) -> Result<BackendResponse<Body>, CallFault> {
        // The semaphore is never closed.
        let _slot = server.slots.acquire().await;
        sleep(server.work_time).await;
        Ok(BackendResponse {
            head: ok_head(),
            is_framed: true,
            limit_per_s: None,
            body: Body::Complete(Some(Bytes::from_static(b"done"))),
        })
    }

    async fn generate(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<BackendResponse<Body>, CallFault> {
        let pool = &self.inner;
        let node = pool.node(to)?;
        let refused = CallFault::NotRun { status: 503 };
        let accepts_work =
            |engine: &Engine| engine.phase() == Phase::Decode && !engine.is_changing();
        if !accepts_work(&node.state.borrow().engine) {
            return Err(refused);
        }
        let prompt = request.prompt.clone().unwrap_or_default();
        let parts = parts(&prompt);
        let fetched = match &call.kv_cache {
            Some(handle) => {
                let from = pool.node(&handle.holder)?;
                let handle_id: WorkId = handle.handle.parse().unwrap_or_default();
                if !from.state.borrow().engine.holds(handle_id) {
                    return Err(refused);
                }
                pool.transfer(from, node, handle.tokens).await;
                from.state.borrow_mut().engine.release_handle(handle_id);
                handle.tokens
            }
            None => pool.fetch_prefix(node, call.prefix_source, &parts).await,
        };
        // The phase may have changed during the transfer.
        if !accepts_work(&node.state.borrow().engine) {
            return Err(refused);
        }
        let output = request.headers.get(OUTPUT_TOKENS_HEADER);
        let output = output.and_then(|value| value.to_str().ok()?.parse().ok());
        let output: u32 = output.unwrap_or(prompt.max_output_tokens);
        let id = pool.new_work_id();
        let (sender, progress) = mpsc::unbounded_channel();
        let work = Work::generate(id, &parts, output.max(1), fetched, call.urgency);
        node.submit(work, id, Waiter::Generate(sender));
        let mut events = Events {
            pool: Rc::clone(pool),
            engine: Rc::clone(&to.id),
            id,
            progress,
            first_token: None,
            last_event_id: 0,
            has_ended: false,
        };
        // The response head is sent with the first token.
        events.first_token = events.progress.recv().await;
        if !matches!(events.first_token, Some(Progress::Token { .. })) {
            events.has_ended = true;
            return Err(refused);
        }
        Ok(BackendResponse {
            head: ok_head(),
            is_framed: true,
            limit_per_s: None,
            body: Body::Events(events),
        })
    }
}

impl Backends for Pool {
    type Body = Body;

    async fn send_request(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<BackendResponse<Body>, CallFault> {
        sleep(NETWORK_DELAY).await;
        match self.inner.servers.get(&*to.id) {
            Some(server) => self.call_server(server).await,
            None => self.generate(to, request, call).await,
        }
    }

    async fn prefill(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<Prefilled, CallFault> {
        sleep(NETWORK_DELAY).await;
        let pool = &self.inner;
        let node = pool.node(to)?;
        let prompt = request.prompt.clone().unwrap_or_default();
        let parts = parts(&prompt);
        let fetched = pool.fetch_prefix(node, call.prefix_source, &parts).await;
        let accepts_work = {
            let engine = &node.state.borrow().engine;
            engine.phase() == Phase::Prefill && !engine.is_changing()
        };
        if !accepts_work {
            return Err(CallFault::NotRun { status: 421 });
        }
        let id = pool.new_work_id();
        let (sender, receiver) = oneshot::channel();
        let mut work = Work::prefill(id, &parts);
        work.set_fetched(fetched);
        node.submit(work, id, Waiter::Prefill(sender));
        let outcome = receiver.await;
        sleep(millis(pool.capacity.prefill_latency_ms)).await;
        match outcome {
            Ok(true) => Ok(Prefilled {
                kv_cache: KvCacheHandle {
                    holder: to.clone(),
                    handle: id.to_string(),
                    tokens: prompt.tokens,
                },
                limit_per_s: None,
            }),
            Ok(false) | Err(_) => Err(CallFault::NotRun { status: 503 }),
        }
    }

    async fn release_kv_cache(&self, handle: &KvCacheHandle) -> Result<(), CallFault> {
        let node = self.inner.node(&handle.holder)?;
        let handle_id: WorkId = handle.handle.parse().unwrap_or_default();
        node.state.borrow_mut().engine.release_handle(handle_id);
        Ok(())
    }

    async fn report(&self, to: &Target) -> Result<EngineReport, CallFault> {
        sleep(NETWORK_DELAY).await;
        let state = self.inner.node(to)?.state.borrow();
        Ok(EngineReport {
            is_prefill: state.engine.phase() == Phase::Prefill,
            is_changing: state.engine.is_changing(),
            orders: state.engine.orders(),
        })
    }

    async fn order(&self, to: &Target, order: &PhaseOrder) -> Result<OrderReply, CallFault> {
        sleep(NETWORK_DELAY).await;
        let node = self.inner.node(to)?;
        let ordered_phase = if order.to_prefill {
            Phase::Prefill
        } else {
            Phase::Decode
        };
        let (is_changing, current_phase, orders) = {
            let engine = &node.state.borrow().engine;
            (engine.is_changing(), engine.phase(), engine.orders())
        };
        if is_changing || orders != order.expected_orders {
            return Ok(OrderReply::Busy);
        }
        if current_phase == ordered_phase {
            return Ok(OrderReply::Holds);
        }
        node.order(ordered_phase);
        Ok(OrderReply::Accepted)
    }

    async fn probe(&self, _: &Target) -> Connectivity {
        // Emulated engines do not crash.
        Connectivity::Opened
    }

    fn take_notices(&self) -> Vec<Notice> {
        Vec::new()
    }

    fn close_idle(&self, _: &Target) {}
}
