//! Simulates a scenario in virtual time, with a policy that decides where its requests run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use yucca_serve::config::{EngineSpec, Route, RouteKind, Service, ServingConfig, WeightedService};
use yucca_serve::follow::{follow_backends, probe_store};
use yucca_serve::hash::hash_of;
use yucca_serve::held::AdmissionPolicy;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::organisations::{Organisation, Organisations};
use yucca_serve::peers;
use yucca_serve::ports::{BackendResponse, Backends, Call, CallFault, Kind, ResponseBody, Target};
use yucca_serve::reply::Reply;
use yucca_serve::request::Request;
use yucca_serve::roles::{self, RoleLease};
use yucca_serve::serve::serve;
use yuccacove::code::Code;
use yuccacove::prompt_placement::Phase;

use crate::caller::{self, RequestResult};
use crate::engine::Counters;
use crate::load::arrivals;
use crate::pool::{Pool, zone_name};
use crate::scenario::{Class, Scenario};
use crate::store::MemoryStore;

/// Time before the start of the traffic, in which hosts and engines discover each other.
const SETUP: Duration = Duration::from_secs(14);
/// Interval at which hosts send datagrams. A datagram arrives one interval after it was sent.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which all hosts must apply changes of backends and of the configuration.
const CHANGE_BOUND_MS: u64 = 2_000;
/// Retry delay in refusals of the least-in-flight policy.
const RETRY_AFTER_MS: u64 = 250;

/// Policy that decides where requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Entry hosts decide, with the code of [`yucca_serve`].
    Hosts,
    /// Entry hosts decide, and admit, hold and refuse by the forecast alone.
    HostsByForecast,
    /// Each stage runs on the engine with the fewest requests in flight, without admission control.
    /// Engines keep their phase; without prefill engines, each decode engine prefills its own prompts.
    LeastInFlight {
        /// Number of prefill engines.
        prefill_engines: usize,
    },
}

/// Result of one or more simulations.
#[derive(Debug, Clone)]
pub struct SimulationResult {
    /// Results of the requests, in order of arrival within each simulation.
    pub results: Vec<RequestResult>,
    /// Sum of the counters of all engines.
    pub counters: Counters,
    /// Available engine time, which is the duration times the number of engines, in milliseconds.
    pub engine_ms: f64,
}

impl SimulationResult {
    /// Adds the results and counters of another simulation.
    pub fn merge(&mut self, other: Self) {
        self.results.extend(other.results);
        self.engine_ms += other.engine_ms;
        self.counters.prefilled_tokens += other.counters.prefilled_tokens;
        self.counters.cached_tokens += other.counters.cached_tokens;
        self.counters.preempted += other.counters.preempted;
        self.counters.busy_ms += other.counters.busy_ms;
    }

    /// Returns a summary of the engines' work in one line.
    pub fn engine_summary(&self) -> String {
        let Counters {
            prefilled_tokens,
            cached_tokens,
            preempted,
            busy_ms,
        } = self.counters;
        format!(
            "engines busy {:.0}%, {prefilled_tokens} prompt tokens prefilled, \
             {cached_tokens} cached or fetched, {preempted} preempted",
            100.0 * busy_ms / self.engine_ms.max(1.0)
        )
    }
}

/// Simulates a scenario until all its requests have ended. The same scenario, seed and policy give
/// the same result.
///
/// # Errors
///
/// If the runtime cannot be created.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    policy: Policy,
) -> std::io::Result<SimulationResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, run(scenario, seed, policy)))
}

async fn run(scenario: &Scenario, seed: u64, policy: Policy) -> SimulationResult {
    let store = MemoryStore::new();
    let pool = Pool::spawn(&scenario.size, scenario.capacity, &store);
    let handler = match policy {
        Policy::Hosts => {
            let admission = AdmissionPolicy::Overload;
            start_hosts(scenario, seed, admission, &pool, &store)
        }
        Policy::HostsByForecast => {
            let admission = AdmissionPolicy::Forecast;
            start_hosts(scenario, seed, admission, &pool, &store)
        }
        Policy::LeastInFlight { prefill_engines } => {
            start_least_in_flight(scenario, &pool, prefill_engines)
        }
    };
    sleep(SETUP).await;
    let started = Instant::now();
    let results = Rc::new(RefCell::new(Vec::new()));
    let mut calls = Vec::new();
    for (number, arrival) in arrivals(scenario, seed).into_iter().enumerate() {
        sleep_until(started + Duration::from_secs_f64(arrival.at_ms / 1e3)).await;
        let kind = scenario.kinds[arrival.kind].clone();
        let (handler, results) = (Rc::clone(&handler), Rc::clone(&results));
        calls.push(spawn_local(async move {
            let result = caller::call(&kind, &arrival, number, &handler).await;
            results.borrow_mut().push(result);
        }));
    }
    for call in calls {
        // A call that panicked has no result.
        let _ = call.await;
    }
    let mut results = results.take();
    results.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    SimulationResult {
        results,
        counters: pool.counters(),
        engine_ms: started.elapsed().as_secs_f64() * 1e3 * scenario.size.engines as f64,
    }
}

fn start_hosts(
    scenario: &Scenario,
    seed: u64,
    admission: AdmissionPolicy,
    pool: &Pool,
    store: &Rc<MemoryStore>,
) -> caller::RequestHandler {
    let hosts: Vec<Rc<Host<Pool>>> = (0..scenario.hosts)
        .map(|number| start_host(scenario, seed, number, admission, pool, store))
        .collect();
    spawn_local(deliver_datagrams(hosts.clone()));
    Rc::new(move |host, request| {
        let host = Rc::clone(&hosts[host % hosts.len()]);
        Box::pin(async move { serve(&host, request).await })
    })
}

fn host_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (number / 250) as u8, (number % 250) as u8], 7_000))
}

fn start_host(
    scenario: &Scenario,
    seed: u64,
    number: usize,
    admission: AdmissionPolicy,
    pool: &Pool,
    store: &Rc<MemoryStore>,
) -> Rc<Host<Pool>> {
    let deployment = Deployment {
        name: format!("host-{number}"),
        zone: zone_name(number, scenario.size.zones),
        retry_ratio: 0.2,
        retry_slack: 54.0,
        drain_ms: CHANGE_BOUND_MS,
        config_ms: CHANGE_BOUND_MS,
        grace_ms: 8_000,
        lease_ms: 3_000,
        heartbeat_ms: 1_200,
        memory_bytes: 260_000_000,
        caller_descriptors: 4_096,
        progress_timeout_ms: 15_000,
        revoke_ms: None,
        usage: None,
        duty_per_s: 50.0,
    };
    let name = deployment.name.clone();
    let host = Host::new(deployment, pool.clone(), hash_of((seed, number)));
    let host = Rc::new(host.with_admission(admission));
    host.set_config(config(scenario));
    let store_health = Rc::clone(&host.relay.store_health);
    let started = Instant::now();
    let clock = move || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let lease = Rc::new(RoleLease::new(&name, clock));
    let observer = Rc::clone(&lease);
    spawn_local(follow_backends(
        Rc::clone(&host),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    spawn_local(peers::follow_hosts(
        Rc::clone(&host),
        Rc::clone(store),
        Rc::clone(&store_health),
    ));
    spawn_local(peers::register(
        Rc::clone(&host),
        Rc::clone(store),
        host_address(number),
    ));
    spawn_local(probe_store(
        Rc::clone(&store_health),
        Rc::clone(store),
        Kind::Leases,
        roles::LEASE_NAME,
        move |object| observer.observe(object),
    ));
    spawn_local(roles::maintain_lease(
        Rc::clone(&lease),
        Rc::clone(store),
        store_health,
    ));
    spawn_local(roles::plan_roles(Rc::clone(&host), lease));
    host
}

/// Delivers each datagram between hosts one interval after it was sent.
async fn deliver_datagrams(hosts: Vec<Rc<Host<Pool>>>) {
    let by_address: HashMap<SocketAddr, usize> = (0..hosts.len())
        .map(|number| (host_address(number), number))
        .collect();
    let mut in_flight = Vec::new();
    loop {
        sleep(DATAGRAM_INTERVAL).await;
        let arrived: Vec<peers::Outgoing> = std::mem::take(&mut in_flight);
        for outgoing in arrived {
            for index in outgoing
                .to
                .iter()
                .filter_map(|address| by_address.get(address))
            {
                peers::receive(&hosts[*index], &outgoing.bytes);
            }
        }
        for host in &hosts {
            in_flight.extend(peers::outgoing_datagrams(host));
        }
    }
}

fn config(scenario: &Scenario) -> ServingConfig {
    let routes = scenario.kinds.iter().map(|kind| Route {
        name: kind.name.clone(),
        host: "play.example".to_owned(),
        path_prefix: format!("/{}/", kind.name),
        kind: match kind.class {
            Class::Stream => RouteKind::Stream { is_resumable: true },
            Class::Read => RouteKind::Idempotent,
            Class::Order => RouteKind::AtMostOnce,
        },
        timeout_ms: kind.deadline_ms,
        target_ms: kind.target_ms,
        target_gap_ms: kind.gap_ms,
        urgency: kind.urgency,
        services: vec![WeightedService {
            service: match kind.class {
                Class::Stream => "model".to_owned(),
                Class::Read | Class::Order => "desk".to_owned(),
            },
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    });
    let engine = EngineSpec {
        slots: scenario.capacity.slots,
        tokens_per_event: scenario.size.tokens_per_event,
        kv_tokens: scenario.capacity.kv_tokens,
        token_kv_bytes: scenario.capacity.token_kv_bytes,
        handle_ttl_ms: 5_000,
        switch_ms: scenario.capacity.switch_ms as u64,
    };
    let services = [("model", Some(engine)), ("desk", None)];
    ServingConfig {
        version: 1,
        routes: routes.collect(),
        services: IndexMap::from(services.map(|(name, engine)| {
            let service = Service {
                max_connections: 500,
                engine,
                scaling: None,
            };
            (name.to_owned(), service)
        })),
        organisations: organisations(scenario),
        ..ServingConfig::default()
    }
}

fn organisations(scenario: &Scenario) -> Organisations {
    let mut all = Organisations::default();
    for (index, spec) in scenario.organisations.iter().enumerate() {
        let organisation = Organisation {
            name: spec.name.as_str().into(),
            urgency: None,
        };
        all.add(organisation, [caller::api_key(index)])
            .expect("API keys differ by index");
    }
    all
}

/// State of the least-in-flight policy, which knows the current number of requests on each engine.
struct LeastInFlight {
    pool: Pool,
    servers: Vec<Target>,
    next_server: Cell<usize>,
}

fn start_least_in_flight(
    scenario: &Scenario,
    pool: &Pool,
    prefill_engines: usize,
) -> caller::RequestHandler {
    for number in 0..prefill_engines.min(scenario.size.engines.saturating_sub(1)) {
        pool.set_phase(&format!("engine-{number}"), Phase::Prefill);
    }
    let policy = Rc::new(LeastInFlight {
        pool: pool.clone(),
        servers: pool.servers(),
        next_server: Cell::new(0),
    });
    Rc::new(move |_, request| {
        let policy = Rc::clone(&policy);
        Box::pin(async move { policy.serve(request).await })
    })
}

impl LeastInFlight {
    fn least_loaded(&self, phase: Phase) -> Option<Target> {
        let engines = self.pool.engines(phase);
        let (name, _) = engines.into_iter().min_by_key(|(_, requests)| *requests)?;
        self.pool.target(&name)
    }

    /// Returns the next plain server; calls go to all of them in turn.
    fn server(&self) -> Option<Target> {
        let next = self.next_server.get();
        self.next_server.set(next + 1);
        self.servers.get(next % self.servers.len().max(1)).cloned()
    }

    async fn serve(&self, request: Request) -> Reply {
        match self.run(request).await {
            Ok(response) => stream_reply(response),
            Err(_) => Reply::refusal(Code::NoBackend, Some(RETRY_AFTER_MS)),
        }
    }

    async fn run(
        &self,
        request: Request,
    ) -> std::result::Result<BackendResponse<<Pool as Backends>::Body>, CallFault> {
        let no_backend = || CallFault::NotSent("no backend".to_owned());
        let mut call = Call {
            left_ms: request.deadline_ms.unwrap_or(u64::MAX),
            urgency: 0,
            resume_after: None,
            is_repeatable: true,
            kv_cache: None,
            prefix_source: None,
        };
        if request.prompt.is_none() {
            let server = self.server().ok_or_else(no_backend)?;
            return self.pool.send_request(&server, &request, call).await;
        }
        if let Some(prefill_engine) = self.least_loaded(Phase::Prefill) {
            call.kv_cache = Some(
                self.pool
                    .prefill(&prefill_engine, &request, call.clone())
                    .await?
                    .kv_cache,
            );
        }
        let engine = self.least_loaded(Phase::Decode).ok_or_else(no_backend)?;
        self.pool.send_request(&engine, &request, call).await
    }
}

/// Returns a reply that streams the body of a response.
fn stream_reply<B: ResponseBody + 'static>(response: BackendResponse<B>) -> Reply {
    const BUFFERED_CHUNKS: usize = 16;
    let (sender, chunks) = tokio::sync::mpsc::channel(BUFFERED_CHUNKS);
    let mut body = response.body;
    spawn_local(async move {
        while let Some(chunk) = body.chunk().await {
            let chunk = chunk.map(yucca_serve::reply::ReplyData::from);
            let chunk = chunk.map_err(|_| yucca_serve::reply::Interrupted);
            if sender.send(chunk).await.is_err() {
                return;
            }
        }
    });
    Reply::streamed(response.head, chunks)
}
