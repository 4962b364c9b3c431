//! Fake backends and hosts for tests in virtual time.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a separate crate that uses only a part of this module"
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
}

/// A call that a fake backend has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
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
}

/// Backends with scripted behaviour.
#[derive(Debug, Default)]
pub struct FakeBackends {
    scripts: RefCell<HashMap<String, VecDeque<Step>>>,
    prefills: RefCell<VecDeque<Result<(), CallFault>>>,
    /// Duration of a remote prefill in milliseconds.
    pub prefill_ms: Cell<u64>,
    /// Received calls in order.
    pub seen: RefCell<Vec<Seen>>,
    /// Number of bodies that were dropped before their end.
    pub dropped_early: Rc<Cell<u32>>,
    /// Received orders, each with the id of the engine.
    pub orders: RefCell<Vec<(String, PhaseOrder)>>,
    /// Reply to orders; `None` for [`OrderReply::Accepted`].
    pub order_reply: Cell<Option<OrderReply>>,
    /// Number of KV caches that were released.
    pub released: Cell<u32>,
}

impl FakeBackends {
    /// Sets the behaviour of a backend for its next calls; without a script it responds "ok".
    pub fn script(&self, id: &str, steps: impl IntoIterator<Item = Step>) {
        let mut scripts = self.scripts.borrow_mut();
        scripts.entry(id.to_owned()).or_default().extend(steps);
    }

    /// Sets the outcomes of the next remote prefills; without a script they succeed.
    pub fn script_prefills(&self, outcomes: impl IntoIterator<Item = Result<(), CallFault>>) {
        self.prefills.borrow_mut().extend(outcomes);
    }

    /// Returns the received calls that are not remote prefills.
    pub fn attempts(&self) -> Vec<Seen> {
        let seen = self.seen.borrow();
        seen.iter().filter(|s| !s.is_prefill).cloned().collect()
    }

    fn record(&self, to: &Target, call: &Call, is_prefill: bool) {
        self.seen.borrow_mut().push(Seen {
            id: to.id.to_string(),
            is_prefill,
            resume_after: call.resume_after,
            has_kv_cache: call.kv_cache.is_some(),
            left_ms: call.left_ms,
        });
    }
}

/// Body of a fake response.
#[derive(Debug)]
pub struct FakeBody {
    chunks: VecDeque<Chunk>,
    dropped_early: Rc<Cell<u32>>,
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
            self.dropped_early.set(self.dropped_early.get() + 1);
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
        self.record(to, &call, false);
        let step = self
            .scripts
            .borrow_mut()
            .get_mut(&*to.id)
            .and_then(VecDeque::pop_front);
        wait_ms(1).await;
        match step.unwrap_or(Step::Respond(200, vec![Chunk::Bytes(0, "ok")])) {
            Step::Respond(status, chunks) => Ok(BackendResponse {
                head: head(status),
                body: FakeBody {
                    chunks: chunks.into(),
                    dropped_early: Rc::clone(&self.dropped_early),
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
        self.record(to, &call, true);
        wait_ms(1 + self.prefill_ms.get()).await;
        let outcome = self.prefills.borrow_mut().pop_front();
        outcome.unwrap_or(Ok(()))?;
        Ok(KvCacheHandle {
            holder: to.clone(),
            handle: "kept".to_owned(),
            tokens: request.prompt.as_ref().map_or(0, |p| p.tokens),
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

/// Deployment settings with the bounds of the users.
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

/// A host without backends.
pub fn host() -> Rc<Host<FakeBackends>> {
    Rc::new(Host::new(deployment(), FakeBackends::default()))
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
