//! The daemon: its configuration, its threads, and the handler of its operators' port.

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

use crate::fleet_view::{FleetView, WATCHED_PREFIXES};
use crate::lease_loop::PoolLease;
use crate::metrics::Metrics;
use crate::order_loop::OrderLoop;
use crate::store_watch;

/// Maximum time until a new service is noticed.
const POOL_CHECK_MS: u64 = 500;
/// Period over which hosts spread their initial listings of the store, so that a simultaneous
/// restart of many hosts does not cause a burst of reads.
const INITIAL_LIST_SPREAD_MS: u64 = 2_000;

/// Configuration of a daemon.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this host.
    pub host: String,
    /// Number of entry hosts in the fleet.
    pub host_count: usize,
    /// How this host follows the leases of other hosts.
    pub standby: Standby,
    /// Address of the store's object API.
    pub store: SocketAddr,
    /// Time for which entry hosts may still send work to an engine after an intent for it was
    /// recorded.
    pub drain_settle_ms: u64,
    /// Maximum number of model weight loads that may start per minute in the whole fleet.
    pub weight_loads_per_min: u32,
    /// Names and operators' ports of all entry hosts.
    pub entry_hosts: Vec<(String, SocketAddr)>,
    /// Policy that decides the roles of engines.
    pub roles: RolesPolicy,
    /// Delays before orders are sent or sent again.
    pub order_timing: OrderTiming,
}

impl Config {
    /// Creates the configuration of the host named `host` from the fleet's settings.
    pub fn new(settings: &Settings, host: &str) -> Self {
        Self {
            host: host.to_owned(),
            host_count: settings.hosts.len(),
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
            order_timing: OrderTiming::default(),
        }
    }

    /// Delay before this host's initial listing of the store. It is the same at each start, and 0
    /// if the fleet has a single host.
    pub fn initial_list_delay_ms(&self) -> u64 {
        if self.host_count == 1 {
            return 0;
        }
        // `stagger_ms` is less than 1 s; twice its value covers the whole period.
        2 * stagger_ms("first list", &self.host) % INITIAL_LIST_SPREAD_MS
    }
}

/// State shared by the daemon's threads.
#[derive(Debug)]
pub struct Shared {
    /// Configuration of the daemon.
    pub config: Config,
    /// Local view of the store.
    pub view: FleetView,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Time of the store's last response, in milliseconds on this host's boot clock; 0 before the
    /// first response.
    pub store_seen_ms: AtomicU64,
    leases: Mutex<Vec<Arc<PoolLease>>>,
    is_stopping: AtomicBool,
}

impl Shared {
    /// Whether a planned stop has begun.
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
                let lease_state = lease.lease();
                json!({
                    "pool": lease.pool(),
                    "holder": lease_state.as_ref().and_then(|l| l.holder.clone()),
                    "epoch": lease_state.as_ref().map(|l| l.epoch),
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

    fn handle_request(&self, request: &OperatorsRequest, stop: &StopFlag) -> Reply {
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

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    pools_thread: JoinHandle<()>,
}

impl Daemon {
    /// Starts the daemon's threads. The daemon is ready once it has listed the catalogue.
    ///
    /// # Errors
    ///
    /// If a thread cannot be started.
    pub fn spawn(config: Config) -> Result<Self> {
        let shared = Arc::new(Shared {
            config,
            view: FleetView::default(),
            metrics: Metrics::default(),
            store_seen_ms: AtomicU64::new(0),
            leases: Mutex::new(Vec::new()),
            is_stopping: AtomicBool::new(false),
        });
        for prefix in WATCHED_PREFIXES {
            let shared = Arc::clone(&shared);
            // These threads are not joined and end with the process: a stop does not wait for an
            // open watch.
            thread::Builder::new()
                .name(format!("watch {prefix}"))
                .spawn(move || store_watch::run(&shared, prefix))?;
        }
        let pools_shared = Arc::clone(&shared);
        let pools_thread = thread::Builder::new()
            .name("pools".to_owned())
            .spawn(move || run_pools(&pools_shared))?;
        Ok(Self {
            shared,
            pools_thread,
        })
    }

    /// Returns the handler for the operators' port. It requests a stop through `stop`.
    pub fn operators_handler(
        &self,
        stop: StopFlag,
    ) -> impl Fn(&OperatorsRequest) -> Reply + Send + use<> {
        let shared = Arc::clone(&self.shared);
        move |request| shared.handle_request(request, &stop)
    }

    /// Stops sending orders and releases all leases. Open intents stay in the store, for the next
    /// lease holder to complete.
    pub fn stop(self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        self.shared.view.wake_all();
        // A panic was already printed by the panic hook; the stop continues.
        let _ = self.pools_thread.join();
    }

    /// Body of the response to `GET /v1/state`.
    pub fn state(&self) -> Value {
        self.shared.state()
    }
}

/// Starts the threads of each pool when its service appears, and joins them at a stop. The lease of
/// a deleted service is kept, since the service may be created again under the same name.
fn run_pools(shared: &Arc<Shared>) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    while !shared.is_stopping() {
        let seen = shared.view.generation();
        if shared.view.is_complete() {
            for pool in shared.view.service_names() {
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
        shared.view.wait(seen, POOL_CHECK_MS);
    }
    shared.view.wake_all();
    for thread in threads {
        // A panic was already printed by the panic hook; the stop continues.
        let _ = thread.join();
    }
}
