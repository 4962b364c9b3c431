//! State of the backends behind [`crate::fleet::Fleet`]: router, reports and health.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use yucca_io::clock::boot_ms;
use yucca_io::http_client::{self, EngineReport};
use yucca_io::log;
use yuccacove::catalogue::{Admin, Catalogue, Engine, Object, Service};
use yuccacove::event::Event;
use yuccacove::health::{BackendKey, Pool, Transition};
use yuccacove::routing::{Candidate, EngineKey, EngineState, Router};
use yuccacove::slot_limit::TokenGaps;
use yuccacove::subset::{self, SUBSET_ENGINES};

use crate::fleet::{ChosenEngine, RequestProfile, routing_request};

/// An engine with its key in the router and its last status report.
pub struct TrackedEngine {
    pub(crate) key: EngineKey,
    pub(crate) address: SocketAddr,
    pub(crate) state: EngineState,
    pub(crate) report: Option<EngineReport>,
}

/// A backend with its key in its service's health pool.
pub struct BackendHealth {
    pub(crate) service: String,
    pub(crate) key: BackendKey,
    pub(crate) address: SocketAddr,
}

/// Summary of the catalogue objects of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceSummary {
    /// Number of backends that the operators allow to take work.
    pub(crate) active: usize,
    /// Shortest target for the inter-token gap among its entries; `None` without entries.
    pub(crate) between_tokens_ms: Option<u64>,
}

/// State of the backends as this host sees them.
pub struct FleetState {
    /// Index of this host in the settings.
    pub(crate) host_index: usize,
    /// Number of live entry hosts.
    pub(crate) hosts: usize,
    /// Number of engines in the largest pool of the catalogue.
    pub(crate) largest_pool: usize,
    pub(crate) router: Router,
    pub(crate) synced_catalogue: Option<Arc<Catalogue>>,
    /// Summaries of the services in the catalogue that was synchronised last.
    pub(crate) services: HashMap<String, ServiceSummary>,
    pub(crate) engines: IndexMap<String, TrackedEngine>,
    /// Health of engines and servers by catalogue key.
    pub(crate) health: IndexMap<String, BackendHealth>,
    pub(crate) pools: HashMap<String, Pool>,
    /// Recent inter-token gaps by service.
    pub(crate) gaps: HashMap<String, TokenGaps>,
}

impl FleetState {
    /// Adds, updates and removes backends if the catalogue has changed.
    pub(crate) fn sync(&mut self, catalogue: &Arc<Catalogue>) {
        if self
            .synced_catalogue
            .as_ref()
            .is_some_and(|s| Arc::ptr_eq(s, catalogue))
        {
            return;
        }
        self.synced_catalogue = Some(Arc::clone(catalogue));
        self.services = summarise(catalogue);
        let mut present: HashMap<String, (String, SocketAddr)> = HashMap::new();
        let mut by_service: HashMap<&str, Vec<(&str, SocketAddr)>> = HashMap::new();
        for (name, engine) in catalogue.engines() {
            if engine.admin != Admin::Withdrawn {
                let pool = by_service.entry(&engine.service).or_default();
                pool.push((name, engine.address));
            }
        }
        let largest = by_service.values().map(Vec::len).max().unwrap_or(0);
        self.largest_pool = largest;
        self.set_sharing_hosts();
        for (service, engines) in by_service {
            let names: Vec<&str> = engines.iter().map(|(name, _)| *name).collect();
            for index in subset::choose(&names, self.host_index, SUBSET_ENGINES) {
                let (name, address) = engines[index];
                present.insert(format!("engine/{name}"), (service.to_owned(), address));
            }
        }
        for (name, server) in catalogue.servers() {
            if server.admin != Admin::Withdrawn {
                let at = (server.service.clone(), server.address);
                present.insert(format!("server/{name}"), at);
            }
        }
        self.remove_except(&present);
        for (key, (service, address)) in present {
            if !self.health.contains_key(&key) {
                let pool = self.pools.entry(service.clone()).or_default();
                let health = BackendHealth {
                    key: pool.add(),
                    service,
                    address,
                };
                self.health.insert(key.clone(), health);
            }
            if let Some(name) = key.strip_prefix("engine/") {
                self.refresh_engine(catalogue, name);
            }
        }
    }

    /// Sets the router's number of hosts that share the engines of this host, for the largest pool.
    /// Each host uses at most [`SUBSET_ENGINES`] engines of a pool.
    pub(crate) fn set_sharing_hosts(&mut self) {
        let used = self.largest_pool.clamp(1, SUBSET_ENGINES);
        let sharing = (self.hosts * used).div_ceil(self.largest_pool.max(1));
        self.router.set_hosts(sharing);
    }

    /// Removes backends that are missing from `present` or have another address or service there.
    pub(crate) fn remove_except(&mut self, present: &HashMap<String, (String, SocketAddr)>) {
        let removed: Vec<String> = self
            .health
            .iter()
            .filter(|(key, h)| {
                let same = |(s, a): &(String, SocketAddr)| *s == h.service && *a == h.address;
                !present.get(*key).is_some_and(same)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            if let Some(health) = self.health.shift_remove(&key)
                && let Some(pool) = self.pools.get_mut(&health.service)
            {
                pool.remove(health.key);
            }
            if let Some(name) = key.strip_prefix("engine/")
                && let Some(tracked) = self.engines.shift_remove(name)
            {
                self.router.remove(tracked.key);
            }
        }
    }

    /// Updates the router's state of an engine from its catalogue object and last report.
    pub(crate) fn refresh_engine(&mut self, catalogue: &Catalogue, name: &str) {
        let Some(Object::Engine(engine)) = catalogue.get(&format!("engine/{name}")) else {
            return;
        };
        let Some(service) = catalogue.service(&engine.service) else {
            return;
        };
        let report = self.engines.get(name).and_then(|s| s.report.as_ref());
        let state = engine_state(service, engine, report);
        match self.engines.get_mut(name) {
            Some(tracked) if tracked.state == state => {}
            Some(tracked) => {
                self.router.change(tracked.key, &state);
                tracked.state = state;
            }
            None => {
                let tracked = TrackedEngine {
                    key: self.router.add(&state),
                    address: engine.address,
                    state,
                    report: None,
                };
                self.engines.insert(name.to_owned(), tracked);
            }
        }
    }

    pub(crate) fn update_traffic_shares(&mut self, service: &str) {
        let now_ms = boot_ms();
        for (name, tracked) in &self.engines {
            if tracked.state.service == service
                && let Some(health) = self.health.get(&format!("engine/{name}"))
                && let Some(pool) = self.pools.get(service)
            {
                let share = pool.traffic_share(health.key, now_ms);
                self.router.set_traffic_share(tracked.key, share);
            }
        }
    }

    /// Summary of a service; empty if the catalogue has no objects for it.
    pub(crate) fn summary(&self, service: &str) -> ServiceSummary {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Requests of all hosts on the service's `engines` engines, extrapolated from the engines that
    /// report to this host.
    pub(crate) fn reported_running(&self, service: &str, engines: usize) -> usize {
        let of_service = self.engines.values().filter(|s| s.state.service == service);
        let (mut requests, mut reports) = (0, 0);
        for report in of_service.filter_map(|tracked| tracked.report.as_ref()) {
            requests += usize::try_from(report.running + report.waiting).unwrap_or(usize::MAX);
            reports += 1;
        }
        (requests * engines).div_ceil(reports.max(1))
    }

    /// Records the gap between two tokens of a response.
    pub(crate) fn record_gap(&mut self, service: &str, gap_ms: u64, now_ms: u64) {
        if !self.gaps.contains_key(service) {
            self.gaps.insert(service.to_owned(), TokenGaps::new(now_ms));
        }
        if let Some(gaps) = self.gaps.get_mut(service) {
            gaps.record(gap_ms, now_ms);
        }
    }

    /// Chooses an engine with the service's version or, if none can take the request, with another
    /// version: while the version is being changed, engines with the old one keep serving.
    pub(crate) fn choose(
        &mut self,
        catalogue: &Catalogue,
        profile: &RequestProfile<'_>,
        exclude: &[&String],
    ) -> Option<ChosenEngine> {
        let service = catalogue.service(profile.service)?;
        let keys: Vec<EngineKey> = exclude
            .iter()
            .filter_map(|name| Some(self.engines.get(*name)?.key))
            .collect();
        let mut versions = vec![service.version.clone()];
        for tracked in self.engines.values() {
            if tracked.state.service == profile.service
                && !versions.contains(&tracked.state.version)
            {
                versions.push(tracked.state.version.clone());
            }
        }
        for version in versions {
            let request = routing_request(profile, &service.model, &version, &keys);
            if let Some(decision) = self.router.choose(boot_ms(), &request) {
                let by_key = |key: EngineKey| self.engines.iter().find(|(_, s)| s.key == key);
                let (name, tracked) = by_key(decision.engine)?;
                let named = |c: &Candidate| Some((by_key(c.engine)?.0.clone(), *c));
                return Some(ChosenEngine {
                    name: name.clone(),
                    address: tracked.address,
                    model: service.model.clone(),
                    version,
                    first_token_ms: decision.first_token_ms,
                    cached_tokens: decision.cached_tokens,
                    candidates: decision.candidates.iter().filter_map(named).collect(),
                    routing_key: decision.engine,
                });
            }
        }
        None
    }

    /// Records the result of a probe. An ejected backend that is reachable is not readmitted before
    /// its probe is due.
    pub(crate) fn probed(&mut self, key: &str, reachable: bool, now_ms: u64) {
        let transition = self.with_pool(key, |pool, backend| {
            let is_due = pool.probes_due(now_ms).any(|due| due == backend);
            let is_serving = pool.traffic_share(backend, now_ms) > 0.0;
            if is_due || (is_serving && !reachable) {
                pool.probed(backend, reachable, now_ms)
            } else {
                None
            }
        });
        log_transition(key, transition.flatten());
    }

    pub(crate) fn traffic_share(&self, key: &str, now_ms: u64) -> f64 {
        let share = self.health.get(key).and_then(|health| {
            let pool = self.pools.get(&health.service)?;
            Some(pool.traffic_share(health.key, now_ms))
        });
        share.unwrap_or(1.0)
    }

    pub(crate) fn with_pool<T>(
        &mut self,
        key: &str,
        change: impl FnOnce(&mut Pool, BackendKey) -> T,
    ) -> Option<T> {
        let health = self.health.get(key)?;
        let pool = self.pools.get_mut(&health.service)?;
        Some(change(pool, health.key))
    }
}

fn summarise(catalogue: &Catalogue) -> HashMap<String, ServiceSummary> {
    let mut services: HashMap<String, ServiceSummary> = HashMap::new();
    let active = catalogue.iter().filter_map(|(_, _, object)| match object? {
        Object::Engine(e) if e.admin == Admin::Active => Some(&e.service),
        Object::Server(s) if s.admin == Admin::Active => Some(&s.service),
        _ => None,
    });
    for service in active {
        services.entry(service.clone()).or_default().active += 1;
    }
    for (_, entry) in catalogue.entries() {
        let shortest_ms = &mut services
            .entry(entry.service.clone())
            .or_default()
            .between_tokens_ms;
        let ms = entry.between_tokens_ms;
        *shortest_ms = Some(shortest_ms.map_or(ms, |shortest_ms| shortest_ms.min(ms)));
    }
    services
}

pub(crate) fn log_transition(key: &str, transition: Option<Transition>) {
    match transition {
        None => {}
        Some(Transition::Ejected) => log::write(Event::BackendEjected, &format!("backend={key}")),
        Some(Transition::Returned) => log::write(Event::BackendReturned, &format!("backend={key}")),
    }
}

/// State of an engine for the router. An engine with an open intent is about to change and takes no
/// new work. A confirmed intent is authoritative: an engine that reports another state was changed
/// by an unauthorised order and gets no work until an order restores it. Without an intent, the
/// engine's own report applies.
fn engine_state(service: &Service, engine: &Engine, report: Option<&EngineReport>) -> EngineState {
    let (model, version, role, is_open) = match &engine.intent {
        Some(intent) => {
            let spec = &intent.spec;
            (&spec.model, &spec.version, spec.role, !intent.confirmed)
        }
        None => match report {
            Some(report) => (&report.model, &report.version, report.role, false),
            None => (&service.model, &service.version, engine.role, false),
        },
    };
    let differs = report.is_some_and(|r| {
        r.state != http_client::EngineState::Ready || r.model != *model || r.version != *version
    });
    EngineState {
        service: engine.service.clone(),
        model: model.clone(),
        version: version.clone(),
        role,
        admin: engine.admin,
        changing: is_open || differs,
        zone: engine.zone.clone(),
    }
}
