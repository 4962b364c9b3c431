//! State of an entry host that its requests share.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::Instant;
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::phase_split::PoolDemand;
use yuccacove::retry::Budget;

use crate::config::ServingConfig;
use crate::directory::{BackendKey, Directory};
use crate::loads::Reservation;
use crate::metrics::Metrics;
use crate::peers::{Peers, PrefillAnnouncement};
use crate::ports::Target;
use crate::relay::Relay;

/// Part of the requests of a service that hosts send again, below what the deployment allows as
/// hosts count their windows apart.
const BUDGET_SHARE: f64 = 0.8;

/// What the deployment fixes for a host.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Second sends for each request of a service, over all hosts.
    pub retry_ratio: f64,
    /// Second sends beyond the ratio in a window, over all hosts.
    pub retry_slack: f64,
    /// Time for which leaving back ends go on serving.
    pub drain_ms: u64,
    /// Time within which a new configuration is in force on all hosts.
    pub config_ms: u64,
    /// Time within which a planned stop ends.
    pub grace_ms: u64,
    /// Shortest time for which a lease holds against other holders.
    pub lease_ms: u64,
}

impl Deployment {
    /// Time within which any change of the store is in force on all hosts.
    pub fn change_bound_ms(&self) -> u64 {
        self.drain_ms.min(self.config_ms)
    }
}

/// State shared by all requests of a host.
#[derive(Debug)]
pub struct Host<B> {
    /// What the deployment fixes.
    pub deployment: Deployment,
    /// Client of the back ends.
    pub backends: B,
    /// Back ends with their loads.
    pub directory: RefCell<Directory>,
    /// The other hosts.
    pub peers: Peers,
    /// Its part in the group of hosts that share their watches of the store.
    pub relay: Relay,
    /// Notified when there is something to tell the other hosts.
    pub peer_updates: Notify,
    /// Demand of the model engines, of all hosts.
    pub demand: RefCell<PoolDemand>,
    /// Counters and histograms.
    pub metrics: Metrics,
    config: RefCell<Option<Rc<ServingConfig>>>,
    budgets: RefCell<IndexMap<String, Budget>>,
    hosts: Cell<u32>,
    stopping: Cell<bool>,
    started: Instant,
    draws: RandomState,
    next_draw: Cell<u64>,
}

impl<B> Host<B> {
    /// A host that knows no configuration yet.
    pub fn new(deployment: Deployment, backends: B) -> Self {
        let relay = Relay::new(&deployment.name, deployment.change_bound_ms());
        Self {
            deployment,
            relay,
            backends,
            directory: RefCell::default(),
            peers: Peers::default(),
            peer_updates: Notify::new(),
            demand: RefCell::default(),
            metrics: Metrics::default(),
            config: RefCell::default(),
            budgets: RefCell::default(),
            hosts: Cell::new(1),
            stopping: Cell::new(false),
            started: Instant::now(),
            draws: RandomState::new(),
            next_draw: Cell::new(0),
        }
    }

    /// Milliseconds since the process started, on the steady clock.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force, unless its version is not higher.
    pub fn set_config(&self, config: ServingConfig) {
        let known = self.config.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        let fields = format!("version={} routes={}", config.version, config.routes.len());
        log::write(Event::CatalogueChanged, &fields);
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Whether the host can serve: it knows a configuration and the back ends, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let has_config = self.config.borrow().is_some();
        has_config && self.directory.borrow().has_full_listing() && !self.is_stopping()
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Sets the number of hosts, this one included.
    pub fn set_hosts(&self, hosts: u32) {
        self.hosts.set(hosts.max(1));
        let burst = self.retry_burst();
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_burst(burst);
        }
    }

    /// Number of hosts, this one included.
    pub fn hosts(&self) -> u32 {
        self.hosts.get()
    }

    /// Records a new request of a service, which earns a part of a second send.
    pub fn add_retry_credit(&self, service: &str) {
        self.with_budget(service, Budget::request);
    }

    /// Takes a second send of a service if there is one.
    pub fn acquire_retry(&self, service: &str) -> bool {
        let taken = self.with_budget(service, Budget::take);
        if taken {
            self.metrics.retries.inc();
        }
        taken
    }

    /// A number that differs from draw to draw and from host to host.
    pub fn draw(&self) -> u64 {
        let draw = self.next_draw.get();
        self.next_draw.set(draw + 1);
        let mut hasher = self.draws.build_hasher();
        hasher.write_u64(draw);
        hasher.finish()
    }

    /// Tells the other hosts of a prompt that an engine was given.
    pub fn announce_prefill(&self, reading: PrefillAnnouncement) {
        self.peers.announce_prefill(reading);
        self.peer_updates.notify_one();
    }

    /// What calls to a back end are sent to.
    pub fn target(&self, key: BackendKey) -> Target {
        self.directory.borrow().get(key).target.clone()
    }

    fn with_budget<T>(&self, service: &str, action: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let share = self.deployment.retry_ratio * BUDGET_SHARE;
            let budget = Budget::new(share, self.retry_burst());
            budgets.insert(service.to_owned(), budget);
        }
        action(&mut budgets[service])
    }

    /// The host's part of the slack that all hosts share.
    fn retry_burst(&self) -> f64 {
        let part = self.deployment.retry_slack * BUDGET_SHARE / f64::from(self.hosts.get());
        part.max(1.0)
    }
}

/// A request in flight on a back end; dropping it takes it off the back end's load.
pub struct InFlight<B> {
    host: Rc<Host<B>>,
    key: BackendKey,
    share: Reservation,
}

impl<B> InFlight<B> {
    /// Puts a request on the load of a back end.
    pub fn start(host: &Rc<Host<B>>, key: BackendKey, share: Reservation) -> Self {
        host.directory.borrow_mut().get_mut(key).load.add(share);
        Self {
            host: Rc::clone(host),
            key,
            share,
        }
    }
}

impl<B> Drop for InFlight<B> {
    fn drop(&mut self) {
        let mut directory = self.host.directory.borrow_mut();
        directory.get_mut(self.key).load.remove(self.share);
    }
}
