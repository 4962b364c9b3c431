//! Fakes of the edges of a process, for tests in virtual time.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a program of its own and uses a part of this"
)]

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use http::{Method, Response};
use serde_json::Value;
use tokio::task::LocalSet;
use tokio::time::{Duration, sleep};
pub use yucca_emulator::store::{MemoryStore as FakeStore, StoreMode};
use yucca_serve::config::{EngineSpec, Route, RouteKind, Service, ServingConfig, WeightedService};
use yucca_serve::directory::BackendEntry;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::ports::{
    BackendResponse, Backends, Call, CallFault, EngineReport, Freshness, Kind, KvCacheHandle,
    Object, ObjectStore, Objects, OrderReply, PhaseOrder, ResponseBody, StoreFault, Target,
};
use yucca_serve::request::{Prompt, PromptPart, Request};
use yuccacove::prompt_placement::Phase;

/// Runs a test on one thread, with a clock that jumps to the next timer when nothing else is to do.
pub fn run_virtual<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Waits in virtual time.
pub async fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// What a fake back end does with one call.
#[derive(Debug, Clone)]
pub enum Step {
    /// Answers with a status and chunks.
    Answer(u16, Vec<Chunk>),
    /// Fails the call.
    Fault(CallFault),
    /// Never answers.
    Hang,
}

/// A part of an answer's body.
#[derive(Debug, Clone)]
pub enum Chunk {
    /// Bytes after a pause.
    Bytes(u64, &'static str),
    /// The connection breaks after a pause.
    Broken(u64),
}

/// A call as the fake back ends saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Back end.
    pub id: String,
    /// Whether the prompt was only to be read.
    pub is_read: bool,
    /// Event after which the stream was to go on.
    pub resume_after: Option<u64>,
    /// Whether the prompt's KV cache came with the call.
    pub has_prompt: bool,
    /// Time that was left.
    pub left_ms: u64,
}

/// Back ends that follow a script.
#[derive(Debug, Default)]
pub struct FakeBackends {
    runs: RefCell<HashMap<String, VecDeque<Step>>>,
    reads: RefCell<VecDeque<Result<(), CallFault>>>,
    /// Time that reading a prompt takes.
    pub read_ms: Cell<u64>,
    /// Calls in order.
    pub seen: RefCell<Vec<Seen>>,
    /// Bodies that were dropped before their end.
    pub cut: Rc<Cell<u32>>,
    /// Orders in order.
    pub orders: RefCell<Vec<(String, PhaseOrder)>>,
    /// How orders are answered.
    pub order_reply: Cell<Option<OrderReply>>,
    /// Prompts that were freed.
    pub freed: Cell<u32>,
}

impl FakeBackends {
    /// Sets what a back end does with its next calls; without a script it answers "ok".
    pub fn script(&self, id: &str, steps: impl IntoIterator<Item = Step>) {
        let mut runs = self.runs.borrow_mut();
        runs.entry(id.to_owned()).or_default().extend(steps);
    }

    /// Sets how the next reads end; without it they succeed.
    pub fn script_reads(&self, outcomes: impl IntoIterator<Item = Result<(), CallFault>>) {
        self.reads.borrow_mut().extend(outcomes);
    }

    pub fn runs(&self) -> Vec<Seen> {
        let seen = self.seen.borrow();
        seen.iter().filter(|s| !s.is_read).cloned().collect()
    }

    fn note(&self, to: &Target, call: &Call, is_read: bool) {
        self.seen.borrow_mut().push(Seen {
            id: to.id.to_string(),
            is_read,
            resume_after: call.resume_after,
            has_prompt: call.kv_cache.is_some(),
            left_ms: call.left_ms,
        });
    }
}

/// Body of a fake answer.
#[derive(Debug)]
pub struct FakeBody {
    chunks: VecDeque<Chunk>,
    cut: Rc<Cell<u32>>,
    is_ended: bool,
}

impl ResponseBody for FakeBody {
    async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        match self.chunks.pop_front() {
            Some(Chunk::Bytes(pause_ms, text)) => {
                wait_ms(pause_ms).await;
                Some(Ok(Bytes::from_static(text.as_bytes())))
            }
            Some(Chunk::Broken(pause_ms)) => {
                wait_ms(pause_ms).await;
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

impl Drop for FakeBody {
    fn drop(&mut self) {
        if !self.is_ended {
            self.cut.set(self.cut.get() + 1);
        }
    }
}

impl Backends for FakeBackends {
    type Body = FakeBody;

    async fn send_request(
        &self,
        to: &Target,
        _: &Request,
        call: Call,
    ) -> Result<BackendResponse<FakeBody>, CallFault> {
        self.note(to, &call, false);
        let step = self
            .runs
            .borrow_mut()
            .get_mut(&*to.id)
            .and_then(VecDeque::pop_front);
        wait_ms(1).await;
        match step.unwrap_or(Step::Answer(200, vec![Chunk::Bytes(0, "ok")])) {
            Step::Answer(status, chunks) => Ok(BackendResponse {
                head: head(status),
                body: FakeBody {
                    chunks: chunks.into(),
                    cut: Rc::clone(&self.cut),
                    is_ended: false,
                },
            }),
            Step::Fault(fault) => Err(fault),
            Step::Hang => pending().await,
        }
    }

    async fn prefill(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<KvCacheHandle, CallFault> {
        self.note(to, &call, true);
        wait_ms(1 + self.read_ms.get()).await;
        let outcome = self.reads.borrow_mut().pop_front();
        outcome.unwrap_or(Ok(()))?;
        Ok(KvCacheHandle {
            holder: to.clone(),
            handle: "kept".to_owned(),
            tokens: request.prompt.as_ref().map_or(0, |p| p.tokens),
        })
    }

    async fn release_kv_cache(&self, _: &KvCacheHandle) -> Result<(), CallFault> {
        self.freed.set(self.freed.get() + 1);
        Ok(())
    }

    async fn report(&self, to: &Target) -> Result<EngineReport, CallFault> {
        let orders = self.orders.borrow();
        let own: Vec<_> = orders.iter().filter(|(id, _)| *id == *to.id).collect();
        Ok(EngineReport {
            is_prefill: own.last().is_some_and(|(_, order)| order.to_prefill),
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

    fn retire(&self, _: &Target) {}
}

fn head(status: u16) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = status.try_into().expect("a status");
    response.into_parts().0
}

/// A deployment with bounds like those of the users.
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
    }
}

/// A host without back ends.
pub fn host() -> Rc<Host<FakeBackends>> {
    Rc::new(Host::new(deployment(), FakeBackends::default()))
}

/// An entry of a back end whose address ends with `number`.
pub fn entry(service: &str, number: u8, phase: Phase) -> BackendEntry {
    BackendEntry {
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        zone: "a".to_owned(),
        is_draining: false,
        phase,
        started_ms: 1,
    }
}

/// A route of the service "desk" or "model", by its kind.
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
    }
}

/// A host with the given route, two plain back ends and three engines.
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

/// A generation whose prompt is long enough to be read apart.
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
