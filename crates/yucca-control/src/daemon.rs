//! The running process: its threads and its operators' port.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use anyhow::Result;
use serde_json::{Value, json};
use yucca_io::clock::boot_ms;
use yucca_io::operators::{OperatorsRequest, Reply};
use yucca_io::settings::Settings;
use yucca_io::stop::StopFlag;
use yuccacove::lease::{Standby, stagger_ms};
use yuccacove::order::OrderTiming;
use yuccacove::roles::RolesPolicy;

use crate::fleet_view::{FleetView, PREFIXES};
use crate::lease_loop::PoolLease;
use crate::metrics::Metrics;
use crate::order_loop::OrderLoop;
use crate::store_watch;

/// Longest time until a new service is noticed.
const POOLS_MS: u64 = 500;
/// After a mass restart, hosts spread their first lists over this time.
const FIRST_LIST_SPREAD_MS: u64 = 2_000;

/// What a process needs of the settings.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this host.
    pub host: String,
    /// Number of hosts of the fleet.
    pub hosts: usize,
    /// How closely this host follows leases.
    pub standby: Standby,
    /// Address of the object API.
    pub store: SocketAddr,
    /// How long entry hosts may still send work to an engine after its intent was recorded.
    pub drain_settle_ms: u64,
    /// Weight loads that may start in a minute in the whole fleet.
    pub weight_loads_per_min: u32,
    /// Operators' ports of all entry hosts by name.
    pub entry_hosts: Vec<(String, SocketAddr)>,
    /// How the roles of engines are decided.
    pub roles: RolesPolicy,
    /// Times of orders.
    pub order_rules: OrderTiming,
}

impl Config {
    /// The configuration of `host` under `settings`.
    pub fn new(settings: &Settings, host: &str) -> Self {
        Self {
            host: host.to_owned(),
            hosts: settings.hosts.len(),
            standby: Standby::of(host, settings.hosts.keys().map(String::as_str)),
            store: settings.store,
            drain_settle_ms: settings.policy.drain_settle_ms,
            weight_loads_per_min: settings.policy.weight_loads_per_min,
            entry_hosts: settings
                .hosts
                .iter()
                .map(|(name, host)| (name.clone(), host.operators))
                .collect(),
            roles: settings.policy.roles,
            order_rules: OrderTiming::default(),
        }
    }

    /// This host's delay of its first list, the same at each start; none for a single host.
    pub fn first_list_delay_ms(&self) -> u64 {
        if self.hosts == 1 {
            return 0;
        }
        2 * stagger_ms("first list", &self.host) % FIRST_LIST_SPREAD_MS
    }
}

/// What the threads share.
#[derive(Debug)]
pub struct Shared {
    /// Configuration.
    pub config: Config,
    /// View of the store.
    pub view: FleetView,
    /// Counters.
    pub metrics: Metrics,
    /// When the store last answered, on this host's clock; 0 before the first time.
    pub store_seen_ms: AtomicU64,
    leases: Mutex<Vec<Arc<PoolLease>>>,
    is_stopping: AtomicBool,
}

impl Shared {
    /// Whether a planned stop began.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    fn leases(&self) -> Vec<Arc<PoolLease>> {
        self.leases
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn state(&self) -> Value {
        let leases: Vec<Value> = self
            .leases()
            .iter()
            .map(|lease| {
                let last = lease.lease();
                json!({
                    "pool": lease.pool(),
                    "holder": last.as_ref().and_then(|l| l.holder.clone()),
                    "epoch": last.as_ref().map(|l| l.epoch),
                    "held": lease.authority().is_some(),
                })
            })
            .collect();
        let versions: serde_json::Map<String, Value> = self
            .view
            .versions()
            .into_iter()
            .map(|(key, version)| (key, json!(version)))
            .collect();
        let store_seen_ms = self.store_seen_ms.load(Ordering::Relaxed);
        json!({
            "host": self.config.host,
            "store_seen_ms_ago": boot_ms().saturating_sub(store_seen_ms),
            "versions": versions,
            "leases": leases,
        })
    }

    fn answer(&self, request: &OperatorsRequest, stop: &StopFlag) -> Reply {
        match (request.is_post, request.path.as_str()) {
            (false, "/metrics") => Reply::metrics(self.metrics.text()),
            (false, "/healthz") => Reply::text(200, "ok\n"),
            (false, "/readyz") if self.is_stopping() || stop.is_requested() => {
                Reply::text(503, "stopping\n")
            }
            (false, "/readyz") if !self.view.is_complete() => {
                Reply::text(503, "no catalogue yet\n")
            }
            (false, "/readyz") => Reply::text(200, "ready\n"),
            (false, "/v1/state") => Reply::json(200, &self.state()),
            (true, "/v1/stop") => {
                stop.request();
                Reply::text(202, "stopping\n")
            }
            _ => Reply::text(404, "no such path\n"),
        }
    }
}

/// A running process.
pub struct Daemon {
    shared: Arc<Shared>,
    pools: JoinHandle<()>,
}

impl Daemon {
    /// Starts the threads. The process is ready once the catalogue was listed.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn spawn(config: Config) -> Result<Self> {
        let shared = Arc::new(Shared {
            config,
            view: FleetView::default(),
            metrics: Metrics::default(),
            store_seen_ms: AtomicU64::new(0),
            leases: Mutex::new(Vec::new()),
            is_stopping: AtomicBool::new(false),
        });
        for prefix in PREFIXES {
            let shared = Arc::clone(&shared);
            // A waiting watch ends with the process; a stop does not wait for it.
            thread::Builder::new()
                .name(format!("watch {prefix}"))
                .spawn(move || store_watch::run(&shared, prefix))?;
        }
        let for_pools = Arc::clone(&shared);
        let pools = thread::Builder::new()
            .name("pools".to_owned())
            .spawn(move || run_pools(&for_pools))?;
        Ok(Self { shared, pools })
    }

    /// The handler of the operators' port, which requests stops through `stop`.
    pub fn operators(&self, stop: StopFlag) -> impl Fn(&OperatorsRequest) -> Reply + Send + use<> {
        let shared = Arc::clone(&self.shared);
        move |request| shared.answer(request, &stop)
    }

    /// Ends the process's work: no further orders are sent, and leases are given back. Open intents
    /// stay recorded for the next holder.
    pub fn stop(self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        self.shared.view.wake();
        // A thread that panicked has logged why; the stop goes on.
        let _ = self.pools.join();
    }

    /// The answer of `GET /v1/state`.
    pub fn state(&self) -> Value {
        self.shared.state()
    }
}

/// Starts the threads of each pool as its service appears, and waits for them at a stop. The lease
/// of a service that was deleted is kept, since it may come back under the same name.
fn run_pools(shared: &Arc<Shared>) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    while !shared.is_stopping() {
        let seen = shared.view.changes();
        if shared.view.is_complete() {
            for pool in shared.view.pools() {
                if shared.leases().iter().any(|lease| lease.pool() == pool) {
                    continue;
                }
                let lease = Arc::new(PoolLease::new(
                    &pool,
                    &shared.config.host,
                    shared.config.standby,
                ));
                shared
                    .leases
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(Arc::clone(&lease));
                let orders = OrderLoop::new(shared, &lease);
                threads.push(thread::spawn(move || orders.run()));
                let shared = Arc::clone(shared);
                threads.push(thread::spawn(move || lease.run(&shared)));
            }
        }
        shared.view.wait(seen, POOLS_MS);
    }
    shared.view.wake();
    for thread in threads {
        // A thread that panicked has logged why; the stop goes on.
        let _ = thread.join();
    }
}
