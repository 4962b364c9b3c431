//! Engines and plain servers of a fleet as the back ends of hosts, in virtual time.

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
    BackendResponse, Backends, Call, CallFault, EngineReport, Kind, KvCacheHandle, OrderReply,
    PhaseOrder, Target,
};
use yucca_serve::request::{Prompt, Request};
use yuccacove::prompt_placement::Phase;

use crate::answer::{Body, Events};
use crate::engine::{Capacity, Counters, Engine, Work, WorkId};
use crate::store::MemoryStore;

/// One way between a host and a back end.
const NETWORK: Duration = Duration::from_micros(500);
/// Header by which callers of the emulator say how many tokens the answer has.
pub const OUTPUT_TOKENS: &str = "x-emulated-output-tokens";

/// A fleet of back ends; hosts share it.
#[derive(Debug, Clone)]
pub struct Pool {
    inner: Rc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) engines: IndexMap<String, EngineNode>,
    servers: IndexMap<String, ServerNode>,
    capacity: Capacity,
    pub(crate) tokens_per_event: u32,
    next_work: Cell<WorkId>,
}

#[derive(Debug)]
pub(crate) struct EngineNode {
    address: SocketAddr,
    entry: RefCell<Value>,
    pub(crate) state: RefCell<EngineState>,
    work: Notify,
    began: Instant,
    /// When its link is free again.
    link_free: Cell<Instant>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) engine: Engine,
    pub(crate) waiters: HashMap<WorkId, Waiter>,
}

/// Who waits for work of an engine.
#[derive(Debug)]
pub(crate) enum Waiter {
    Read(oneshot::Sender<bool>),
    Run(mpsc::UnboundedSender<Progress>),
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Progress {
    Token { number: u32, is_last: bool },
    NotRun,
}

/// A server that works on as many calls at once as it has slots.
#[derive(Debug)]
struct ServerNode {
    slots: Semaphore,
    work: Duration,
}

/// How many of what a fleet has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Engines.
    pub engines: usize,
    /// Availability zones, over which back ends and hosts are spread.
    pub zones: usize,
    /// Servers of the plain service.
    pub servers: usize,
    /// Calls that a server works on at once.
    pub server_slots: usize,
    /// Time of such a call.
    pub server_work_ms: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl Pool {
    /// Starts the back ends and lists them in `store`.
    pub fn spawn(size: &FleetSize, capacity: Capacity, store: &Rc<MemoryStore>) -> Self {
        let mut engines = IndexMap::new();
        for number in 0..size.engines {
            let zone = zone_name(number, size.zones);
            let address =
                SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80));
            let entry = json!({
                "service": "model", "address": address.to_string(), "zone": zone, "started": 1,
            });
            let node = EngineNode {
                address,
                entry: RefCell::new(entry),
                state: RefCell::new(EngineState {
                    engine: Engine::new(capacity, Phase::Decode),
                    waiters: HashMap::new(),
                }),
                work: Notify::new(),
                began: Instant::now(),
                link_free: Cell::new(Instant::now()),
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
                work: Duration::from_millis(size.server_work_ms),
            };
            servers.insert(name, node);
        }
        let inner = Rc::new(Inner {
            engines,
            servers,
            capacity,
            tokens_per_event: size.tokens_per_event,
            next_work: Cell::new(1),
        });
        for name in inner.engines.keys() {
            inner.list(store, name);
            spawn_local(run_engine(
                Rc::clone(&inner),
                name.clone(),
                Rc::clone(store),
            ));
        }
        Self { inner }
    }

    /// Work of all engines.
    pub fn counters(&self) -> Counters {
        let mut sum = Counters::default();
        for node in self.inner.engines.values() {
            let own = node.state.borrow().engine.counters();
            sum.read_tokens += own.read_tokens;
            sum.kept_tokens += own.kept_tokens;
            sum.preempted += own.preempted;
            sum.busy_ms += own.busy_ms;
        }
        sum
    }

    /// Read prompts that wait to be fetched, on all engines.
    pub fn held_prompts(&self) -> usize {
        let nodes = self.inner.engines.values();
        nodes
            .map(|node| node.state.borrow().engine.held_prompts())
            .sum()
    }

    /// What calls to the plain servers are sent to.
    pub fn servers(&self) -> Vec<Target> {
        let names = self.inner.servers.keys().enumerate();
        names
            .map(|(number, name)| Target {
                id: Rc::from(name.as_str()),
                address: server_address(number),
            })
            .collect()
    }

    /// Names of the engines in a phase, with the requests on each.
    pub fn engines(&self, phase: Phase) -> Vec<(String, usize)> {
        let nodes = self.inner.engines.iter();
        let in_phase = nodes.filter_map(|(name, node)| {
            let engine = &node.state.borrow().engine;
            let is_wanted = engine.phase() == phase && !engine.is_changing();
            is_wanted.then(|| (name.clone(), engine.requests()))
        });
        in_phase.collect()
    }

    /// What calls to an engine are sent to.
    pub fn target(&self, name: &str) -> Option<Target> {
        let node = self.inner.engines.get(name)?;
        Some(Target {
            id: Rc::from(name),
            address: node.address,
        })
    }

    /// Orders an engine to another phase without a lease, as a set-up does.
    pub fn set_phase(&self, name: &str, to: Phase) {
        if let Some(node) = self.inner.engines.get(name) {
            node.order(to);
        }
    }
}

fn server_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (number / 250) as u8, (number % 250) as u8], 80))
}

/// Name of the availability zone of the back end or host `number`.
pub fn zone_name(number: usize, zones: usize) -> String {
    format!("zone-{}", number % zones.max(1))
}

impl Inner {
    /// Writes an engine's entry.
    fn list(&self, store: &MemoryStore, name: &str) {
        let node = &self.engines[name];
        let phase = match node.state.borrow().engine.phase() {
            Phase::Prefill => "prefill",
            Phase::Decode => "decode",
        };
        let mut entry = node.entry.borrow_mut();
        entry["phase"] = json!(phase);
        store.put(Kind::BackEnds, name, Some(entry.clone()));
    }

    fn new_work(&self) -> WorkId {
        let id = self.next_work.get();
        self.next_work.set(id + 1);
        id
    }

    fn node(&self, to: &Target) -> Result<&EngineNode, CallFault> {
        let node = self.engines.get(&*to.id);
        node.ok_or_else(|| CallFault::NotSent("no such engine".to_owned()))
    }

    fn at_address(&self, address: SocketAddr) -> Option<&EngineNode> {
        self.engines.values().find(|node| node.address == address)
    }

    /// Leading tokens of the prompt that `from` keeps and `to` fetches, once they have arrived.
    async fn fetch_kept(
        &self,
        to: &EngineNode,
        from: Option<SocketAddr>,
        parts: &[(u64, u32)],
    ) -> u32 {
        let Some(from) = from.and_then(|address| self.at_address(address)) else {
            return 0;
        };
        let kept = from.state.borrow().engine.kept_tokens(parts);
        if kept > to.state.borrow().engine.kept_tokens(parts) {
            self.transfer(from, to, kept).await;
            kept
        } else {
            0
        }
    }

    /// Moves KV cache; the transfers of a link run one after another.
    async fn transfer(&self, from: &EngineNode, to: &EngineNode, tokens: u32) {
        let began = Instant::now()
            .max(from.link_free.get())
            .max(to.link_free.get());
        let took = Duration::from_secs_f64(self.capacity.transfer_ms(tokens) / 1e3);
        from.link_free.set(began + took);
        to.link_free.set(began + took);
        sleep_until(began + took).await;
    }
}

impl EngineNode {
    fn submit(&self, work: Work, id: WorkId, waiter: Waiter) {
        let now_ms = self.began.elapsed().as_secs_f64() * 1e3;
        let mut state = self.state.borrow_mut();
        state.waiters.insert(id, waiter);
        state.engine.submit(work, now_ms);
        self.work.notify_one();
    }

    fn order(&self, to: Phase) {
        let mut state = self.state.borrow_mut();
        for id in state.engine.order(to) {
            match state.waiters.remove(&id) {
                // Whoever waited may have left.
                Some(Waiter::Read(tell)) => drop(tell.send(false)),
                Some(Waiter::Run(tell)) => drop(tell.send(Progress::NotRun)),
                None => {}
            }
        }
        self.work.notify_one();
    }
}

/// Lets an engine work for as long as the play lasts.
async fn run_engine(pool: Rc<Inner>, name: String, store: Rc<MemoryStore>) {
    let node = &pool.engines[&name];
    let began = node.began;
    let mut now_ms = 0.0_f64;
    let mut listed = Phase::Decode;
    loop {
        let step = node.state.borrow_mut().engine.next_step(now_ms);
        let phase = node.state.borrow().engine.phase();
        if phase != listed {
            listed = phase;
            pool.list(&store, &name);
        }
        let Some(step) = step else {
            let wakes_ms = node.state.borrow().engine.wakes_ms();
            match wakes_ms {
                Some(wakes_ms) => sleep_until(began + millis(wakes_ms)).await,
                None => node.work.notified().await,
            }
            now_ms = now_ms.max(began.elapsed().as_secs_f64() * 1e3);
            continue;
        };
        now_ms += step.duration_ms;
        sleep_until(began + millis(now_ms)).await;
        let mut state = node.state.borrow_mut();
        let outcome = state.engine.apply(&step, now_ms);
        for id in outcome.read {
            let Some(Waiter::Read(tell)) = state.waiters.remove(&id) else {
                continue;
            };
            if tell.send(true).is_err() {
                // Whoever waited has left, and nobody else knows the handle.
                state.engine.take_handle(id);
            }
        }
        for (id, number, is_last) in outcome.tokens {
            if let Some(Waiter::Run(tell)) = state.waiters.get(&id) {
                let _ = tell.send(Progress::Token { number, is_last });
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

fn head() -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    response.into_parts().0
}

impl Pool {
    async fn call_server(&self, server: &ServerNode) -> Result<BackendResponse<Body>, CallFault> {
        // The semaphore is never closed.
        let _slot = server.slots.acquire().await;
        sleep(server.work).await;
        Ok(BackendResponse {
            head: head(),
            body: Body::Whole(Some(Bytes::from_static(b"done"))),
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
        let takes = |engine: &Engine| engine.phase() == Phase::Decode && !engine.is_changing();
        if !takes(&node.state.borrow().engine) {
            return Err(refused);
        }
        let prompt = request.prompt.clone().unwrap_or_default();
        let parts = parts(&prompt);
        let fetched = match &call.kv_cache {
            Some(handle) => {
                let from = pool.node(&handle.holder)?;
                let number: WorkId = handle.handle.parse().unwrap_or_default();
                if !from.state.borrow().engine.holds(number) {
                    return Err(refused);
                }
                pool.transfer(from, node, handle.tokens).await;
                from.state.borrow_mut().engine.take_handle(number);
                handle.tokens
            }
            None => pool.fetch_kept(node, call.fetch_from, &parts).await,
        };
        if !takes(&node.state.borrow().engine) {
            return Err(refused);
        }
        let output = request.headers.get(OUTPUT_TOKENS);
        let output = output.and_then(|value| value.to_str().ok()?.parse().ok());
        let output: u32 = output.unwrap_or(prompt.max_output_tokens);
        let id = pool.new_work();
        let (tell, progress) = mpsc::unbounded_channel();
        let work = Work::generate(id, &parts, output.max(1), fetched, call.urgency);
        node.submit(work, id, Waiter::Run(tell));
        let mut events = Events {
            pool: Rc::clone(pool),
            engine: Rc::clone(&to.id),
            id,
            progress,
            first: None,
            event: 0,
            is_over: false,
        };
        // An answer's head comes with its first token.
        events.first = events.progress.recv().await;
        if !matches!(events.first, Some(Progress::Token { .. })) {
            events.is_over = true;
            return Err(refused);
        }
        Ok(BackendResponse {
            head: head(),
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
        sleep(NETWORK).await;
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
    ) -> Result<KvCacheHandle, CallFault> {
        sleep(NETWORK).await;
        let pool = &self.inner;
        let node = pool.node(to)?;
        let prompt = request.prompt.clone().unwrap_or_default();
        let parts = parts(&prompt);
        let fetched = pool.fetch_kept(node, call.fetch_from, &parts).await;
        let takes = {
            let engine = &node.state.borrow().engine;
            engine.phase() == Phase::Prefill && !engine.is_changing()
        };
        if !takes {
            return Err(CallFault::NotRun { status: 421 });
        }
        let id = pool.new_work();
        let (tell, told) = oneshot::channel();
        let mut work = Work::read(id, &parts);
        work.set_fetched(fetched);
        node.submit(work, id, Waiter::Read(tell));
        match told.await {
            Ok(true) => Ok(KvCacheHandle {
                holder: to.clone(),
                handle: id.to_string(),
                tokens: prompt.tokens,
            }),
            Ok(false) | Err(_) => Err(CallFault::NotRun { status: 503 }),
        }
    }

    async fn release_kv_cache(&self, handle: &KvCacheHandle) -> Result<(), CallFault> {
        let node = self.inner.node(&handle.holder)?;
        let number: WorkId = handle.handle.parse().unwrap_or_default();
        node.state.borrow_mut().engine.take_handle(number);
        Ok(())
    }

    async fn report(&self, to: &Target) -> Result<EngineReport, CallFault> {
        sleep(NETWORK).await;
        let state = self.inner.node(to)?.state.borrow();
        Ok(EngineReport {
            is_prefill: state.engine.phase() == Phase::Prefill,
            is_changing: state.engine.is_changing(),
            orders: state.engine.orders(),
        })
    }

    async fn order(&self, to: &Target, order: &PhaseOrder) -> Result<OrderReply, CallFault> {
        sleep(NETWORK).await;
        let node = self.inner.node(to)?;
        let phase = if order.to_prefill {
            Phase::Prefill
        } else {
            Phase::Decode
        };
        let (is_busy, now, orders) = {
            let engine = &node.state.borrow().engine;
            (engine.is_changing(), engine.phase(), engine.orders())
        };
        if is_busy || orders != order.expected_orders {
            return Ok(OrderReply::Busy);
        }
        if now == phase {
            return Ok(OrderReply::Holds);
        }
        node.order(phase);
        Ok(OrderReply::Accepted)
    }

    fn close_idle(&self, _: &Target) {}
}
