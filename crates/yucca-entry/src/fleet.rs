//! State, load and health of the backends as this host sees them, synchronised with the catalogue.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use yucca_io::clock::boot_ms;
use yucca_io::http_client::EngineReport;
use yuccacove::catalogue::{Admin, Catalogue, Object};
use yuccacove::health::Pool;
use yuccacove::routing::{
    Candidate, Dispatch, EngineKey, LoadReport, PrefixHash, Request, Router, RoutingPolicy,
};
use yuccacove::slot_limit::{self, PoolLoad, START_ENGINE_SLOTS};

use crate::fleet_state::{FleetState, log_transition};
use crate::usage::ChatCharge;

/// Properties of a request that determine the choice of its engine.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile<'a> {
    /// Service of the entry.
    pub service: &'a str,
    /// Id of the request.
    pub request_id: &'a str,
    /// Words of the prompt, plus the output tokens generated so far.
    pub prompt_tokens: u32,
    /// Output tokens that are still expected.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: &'a [PrefixHash],
    /// Engines that must not be chosen.
    pub excluded: &'a [String],
    /// Engines that are chosen only if no other is left.
    pub avoided: &'a [String],
}

/// An engine chosen for a request.
#[derive(Debug, Clone)]
pub struct ChosenEngine {
    /// Name in the catalogue.
    pub name: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Model that the engine must serve.
    pub model: String,
    /// Model version that the engine must serve.
    pub version: String,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Prompt tokens that routing expects in the engine's KV cache.
    pub cached_tokens: u32,
    /// The chosen engine and the best alternatives, with their names.
    pub candidates: Vec<(String, Candidate)>,
    pub(crate) routing_key: EngineKey,
}

impl ChosenEngine {
    /// The engine's catalogue key.
    pub fn key(&self) -> String {
        format!("engine/{}", self.name)
    }
}

/// Engines and servers as this host sees them.
pub struct Fleet {
    inner: Mutex<FleetState>,
}

impl Fleet {
    /// Creates a state without backends for the host called `host` with index `host_index` of
    /// `hosts` hosts.
    pub fn new(
        policy: RoutingPolicy,
        host: &str,
        zone: &str,
        host_index: usize,
        hosts: usize,
    ) -> Self {
        Self {
            inner: Mutex::new(FleetState {
                host_index,
                hosts,
                largest_pool: 0,
                router: Router::new(policy, host, zone),
                synced_catalogue: None,
                services: HashMap::new(),
                engines: IndexMap::new(),
                health: IndexMap::new(),
                pools: HashMap::new(),
                gaps: HashMap::new(),
            }),
        }
    }

    /// Sets the number of live entry hosts.
    pub fn set_hosts(&self, hosts: usize) {
        let mut inner = self.lock();
        inner.hosts = hosts;
        inner.set_sharing_hosts();
    }

    /// Chooses an engine; `None` when no engine may take the request.
    pub fn choose(
        &self,
        catalogue: &Arc<Catalogue>,
        profile: &RequestProfile<'_>,
    ) -> Option<ChosenEngine> {
        let mut inner = self.lock();
        inner.sync(catalogue);
        inner.update_traffic_shares(profile.service);
        let excluded_or_avoided: Vec<&String> =
            profile.excluded.iter().chain(profile.avoided).collect();
        let excluded: Vec<&String> = profile.excluded.iter().collect();
        inner
            .choose(catalogue, profile, &excluded_or_avoided)
            .or_else(|| inner.choose(catalogue, profile, &excluded))
    }

    /// Starts an attempt on the chosen engine. The request counts as in flight there until the
    /// guard is dropped, which also charges the work.
    pub fn begin_attempt(
        self: &Arc<Self>,
        engine: &ChosenEngine,
        profile: &RequestProfile<'_>,
        charge: ChatCharge,
    ) -> EngineAttempt {
        let request = routing_request(profile, &engine.model, &engine.version, &[]);
        let now_ms = boot_ms();
        let router = &mut self.lock().router;
        let dispatch =
            router.dispatched(engine.routing_key, &request, engine.cached_tokens, now_ms);
        EngineAttempt {
            fleet: Arc::clone(self),
            dispatch: Some(dispatch),
            charge: Some(charge),
            service: profile.service.to_owned(),
            last_token_ms: None,
        }
    }

    /// Records an engine's report, or the failure to get one, from a fresh connection.
    pub fn reported(
        &self,
        catalogue: &Arc<Catalogue>,
        name: &str,
        report: Result<EngineReport, String>,
    ) {
        let now_ms = boot_ms();
        let mut inner = self.lock();
        inner.sync(catalogue);
        inner.probed(&format!("engine/{name}"), report.is_ok(), now_ms);
        let Some(tracked) = inner.engines.get_mut(name) else {
            return;
        };
        let Ok(report) = report else {
            return;
        };
        let load = LoadReport {
            age_ms: report.age_ms,
            requests: u32::try_from(report.running + report.waiting).unwrap_or(u32::MAX),
            prefill_backlog_tokens: report.prefill_backlog_tokens,
            decode_backlog_tokens: report.decode_backlog_tokens,
            incarnation: report.incarnation,
        };
        tracked.report = Some(report);
        let key = tracked.key;
        inner.router.reported(key, &load, now_ms);
        inner.refresh_engine(catalogue, name);
    }

    /// Records the result of a probe of a server.
    pub fn probed(&self, key: &str, reachable: bool) {
        self.lock().probed(key, reachable, boot_ms());
    }

    /// Records that a request succeeded on the backend with the catalogue key `key`.
    pub fn succeeded(&self, key: &str) {
        let mut inner = self.lock();
        inner.with_pool(key, Pool::succeeded);
    }

    /// Records that a request sent at `sent_ms` failed because of the backend with the catalogue
    /// key `key`.
    pub fn failed(&self, key: &str, sent_ms: u64) {
        let now_ms = boot_ms();
        let mut inner = self.lock();
        let transition = inner.with_pool(key, |pool, b| pool.failed(b, sent_ms, now_ms));
        log_transition(key, transition.flatten());
    }

    /// Share of its normal traffic, from 0 to 1, that the backend with the catalogue key `key` may
    /// take.
    pub fn traffic_share(&self, catalogue: &Arc<Catalogue>, key: &str) -> f64 {
        let mut inner = self.lock();
        inner.sync(catalogue);
        inner.traffic_share(key, boot_ms())
    }

    /// Estimated number of backends in the whole pool of a service that take work now, extrapolated
    /// from the backends that this host uses.
    pub fn serving_backends(&self, catalogue: &Arc<Catalogue>, service: &str) -> usize {
        let now_ms = boot_ms();
        let mut inner = self.lock();
        inner.sync(catalogue);
        let active = inner.summary(service).active;
        let is_active = |object: &Object| match object {
            Object::Engine(e) => e.admin == Admin::Active,
            Object::Server(s) => s.admin == Admin::Active,
            _ => false,
        };
        let shares: Vec<f64> = inner
            .health
            .iter()
            .filter(|(key, h)| h.service == service && catalogue.get(key).is_some_and(is_active))
            .map(|(key, _)| inner.traffic_share(key, now_ms))
            .collect();
        let usable = shares.iter().filter(|share| **share > 0.0).count();
        (active * usable).div_ceil(shares.len().max(1))
    }

    /// Number of requests that this host may run at once on the engines of a service; 0 when no
    /// engine takes work. `running_here` is the number that it runs now.
    pub fn engine_slots(
        &self,
        catalogue: &Arc<Catalogue>,
        service: &str,
        running_here: usize,
    ) -> usize {
        let engines = self.serving_backends(catalogue, service);
        let now_ms = boot_ms();
        let mut inner = self.lock();
        let load = PoolLoad {
            engines,
            hosts: inner.hosts,
            running: inner.reported_running(service, engines),
            running_here,
        };
        let gap_ms = inner
            .gaps
            .get_mut(service)
            .and_then(|gaps| gaps.p99_ms(now_ms));
        let target_ms = inner.summary(service).between_tokens_ms;
        let per_engine = target_ms.map_or(START_ENGINE_SLOTS, |target_ms| {
            slot_limit::engine_slots(&load, gap_ms, target_ms)
        });
        slot_limit::host_slots(&load, per_engine)
    }

    /// Names and addresses of the engines that this host sends requests to.
    pub fn engines(&self, catalogue: &Arc<Catalogue>) -> Vec<(String, SocketAddr)> {
        let mut inner = self.lock();
        inner.sync(catalogue);
        inner
            .engines
            .iter()
            .map(|(name, tracked)| (name.clone(), tracked.address))
            .collect()
    }

    /// Catalogue keys and addresses of ejected servers whose probe is due.
    pub fn server_probes_due(&self) -> Vec<(String, SocketAddr)> {
        let now_ms = boot_ms();
        let inner = self.lock();
        inner
            .health
            .iter()
            .filter(|(key, _)| key.starts_with("server/"))
            .filter(|(_, h)| {
                let pool = inner.pools.get(&h.service);
                pool.is_some_and(|p| p.probes_due(now_ms).any(|due| due == h.key))
            })
            .map(|(key, h)| (key.clone(), h.address))
            .collect()
    }

    /// Incarnation that the engine last reported.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        let inner = self.lock();
        Some(inner.engines.get(name)?.report.as_ref()?.incarnation)
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt of a request on an engine, ended and charged when dropped.
pub struct EngineAttempt {
    fleet: Arc<Fleet>,
    dispatch: Option<Dispatch>,
    charge: Option<ChatCharge>,
    service: String,
    last_token_ms: Option<u64>,
}

impl EngineAttempt {
    /// Records a generated token.
    pub fn record_token(&mut self) {
        let now_ms = boot_ms();
        if let Some(dispatch) = &mut self.dispatch {
            let mut inner = self.fleet.lock();
            inner.router.first_token(dispatch, now_ms);
            inner.router.generated(dispatch, 1);
            if let Some(last_ms) = self.last_token_ms.replace(now_ms) {
                inner.record_gap(&self.service, now_ms.saturating_sub(last_ms), now_ms);
            }
        }
        if let (Some(charge), Some(dispatch)) = (&mut self.charge, &self.dispatch) {
            charge.progress(|| dispatch.busy(now_ms));
        }
    }

    /// Ends an attempt of which the engine ran nothing, so that nothing is charged.
    pub fn not_run(mut self) {
        self.charge = None;
    }

    /// When the attempt was sent, in milliseconds since boot.
    pub fn sent_ms(&self) -> u64 {
        self.dispatch.as_ref().map_or(0, Dispatch::sent_ms)
    }
}

impl Drop for EngineAttempt {
    fn drop(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            let now_ms = boot_ms();
            if let Some(charge) = self.charge.take() {
                charge.end(dispatch.busy(now_ms));
            }
            self.fleet.lock().router.finished(dispatch, now_ms);
        }
    }
}

pub(crate) fn routing_request<'a>(
    profile: &RequestProfile<'a>,
    model: &'a str,
    version: &'a str,
    exclude: &'a [EngineKey],
) -> Request<'a> {
    Request {
        service: profile.service,
        model,
        version,
        request_id: profile.request_id,
        prompt_tokens: profile.prompt_tokens,
        output_tokens: profile.output_tokens,
        prefixes: profile.prefixes,
        exclude,
    }
}
