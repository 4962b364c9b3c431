//! State that all requests of an entry host share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep_until};
use yucca_io::log;
use yuccacove::crash_cause::{CrashCauses, PartKey};
use yuccacove::event::Event;
use yuccacove::fleet_rate::{FleetRates, HostId};
use yuccacove::phase_split::PoolDemand;
use yuccacove::retry::Budget;
use yuccacove::shutdown::Shutdown;

use crate::boot_clock::BootClock;
use crate::config::ServingConfig;
use crate::connections::Connections;
use crate::demand::HostDemand;
use crate::directory::{BackendKey, Directory};
use crate::follow::Source;
use crate::hash::hash_of;
use crate::held::{AdmissionPolicy, Overloads};
use crate::loads::Reservation;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::peers::{BackendPause, Peers, PrefillAnnouncement, PrefillEnd};
use crate::ports::{Backends, Kind, NoticeContent, Object, Target};
use crate::proxies::{self, Paths};
use crate::recency::{ConfigId, ConfigRecency};
use crate::relay::Relay;
use crate::scaling::PendingEngines;
use crate::stream_versions::HostStreams;
use crate::usage::HostUsage;

/// Fraction of the allowed retries that hosts use. The rest is a margin, because hosts count their
/// time windows independently of each other.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// Longest time for which a backend may turn a host away with one response.
pub(crate) const MAX_PAUSE_MS: u64 = 600_000;

/// Deployment settings of a host.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Retries per request of a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries of a service beyond the ratio in a time window, over all hosts.
    pub retry_slack: f64,
    /// Time for which a backend goes on serving after it begins to drain.
    pub drain_ms: u64,
    /// Time within which a new configuration must be active on all hosts.
    pub config_ms: u64,
    /// Time within which a graceful shutdown must end.
    pub grace_ms: u64,
    /// Minimum time for which a lease excludes other holders.
    pub lease_ms: u64,
    /// Interval at which a backend writes its entry.
    pub heartbeat_ms: u64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that callers may use, with the backend connections of their requests.
    pub caller_descriptors: usize,
    /// Longest time without progress of a request's body or of a response that its caller reads.
    pub progress_timeout_ms: u64,
    /// Time for which a withdrawn API key may still be accepted; `None` if it is not limited.
    pub revoke_ms: Option<u64>,
    /// Reports of usage; `None` if none are due.
    pub usage: Option<UsageTiming>,
    /// Calls a second that the control API accepts from all hosts together.
    pub duty_per_s: f64,
}

/// When usage is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a time window.
    pub window_ms: u64,
    /// Time from the end of a window until its report is due.
    pub due_ms: u64,
}

impl Deployment {
    /// Returns the time within which a change in the store, of backends or of the configuration,
    /// must be applied on all hosts.
    pub fn change_bound_ms(&self) -> u64 {
        self.drain_ms.min(self.config_ms)
    }

    /// Returns the time within which all hosts know that the entry of a silent backend was removed.
    pub fn entry_lapse_ms(&self) -> u64 {
        /// Heartbeat intervals after which the store removes the entry of a silent backend.
        const LAPSE_HEARTBEATS: u64 = 3;
        LAPSE_HEARTBEATS * self.heartbeat_ms + self.change_bound_ms()
    }
}

/// How a configuration reached a host.
#[derive(Debug, Clone, Copy)]
struct ConfigOrigin {
    /// Revision of its object.
    revision: u64,
    source: Source,
    activated_ms: u64,
}

/// State shared by all requests of a host.
#[derive(Debug)]
pub struct Host<B> {
    /// Deployment settings.
    pub deployment: Deployment,
    /// Client of the backends.
    pub backends: B,
    /// Known backends with their loads.
    pub directory: RefCell<Directory>,
    /// The other hosts.
    pub peers: Peers,
    /// State of this host in the group that shares its watches on the store.
    pub relay: Relay,
    /// Notified when there are updates to send to the other hosts.
    pub peer_updates: Notify,
    /// Paths to the backends, also through other hosts.
    pub paths: Paths,
    /// Memory for bodies and connections.
    pub memory: Memory,
    /// Decisions for overload, and held requests.
    pub overloads: Overloads,
    /// Open connections of callers.
    pub connections: Connections,
    /// Demand for the model engines, over all hosts.
    pub demand: RefCell<PoolDemand>,
    /// Demand of this host for the services whose number of engines follows the demand.
    pub service_demand: HostDemand,
    /// Engines of each service that boot or were ordered away; empty on hosts that order none.
    pub pending_engines: RefCell<IndexMap<String, PendingEngines>>,
    /// Requests and parts of prompts that crash the backends that run them.
    pub crash_causes: RefCell<CrashCauses>,
    /// Requests on trial that this host has sent to a backend.
    pub trials: RefCell<IndexSet<PartKey>>,
    /// Rate limits that backends name for all hosts together.
    pub rates: RefCell<FleetRates>,
    /// Software versions of streams.
    pub streams: HostStreams,
    /// Metrics of this host.
    pub metrics: Metrics,
    /// Clock for proofs, which also advances while the host is suspended.
    pub clock: Rc<BootClock>,
    /// Recency of the configuration; `None` if the time for which a withdrawn API key is accepted is not
    /// limited.
    pub recency: Option<ConfigRecency>,
    /// Counts for usage reports; `None` if none are due.
    pub usage: Option<HostUsage>,
    config: RefCell<Option<Rc<ServingConfig>>>,
    /// How the active configuration came; `None` if it did not come from the store.
    config_origin: Cell<Option<ConfigOrigin>>,
    retry_budgets: RefCell<IndexMap<String, Budget>>,
    host_count: Cell<u32>,
    shutdown: Cell<Shutdown>,
    /// Notified when a graceful shutdown begins.
    stopped: Notify,
    started: Instant,
    draw_seed: u64,
    next_draw: Cell<u64>,
}

impl<B> Host<B> {
    /// Creates a host without a configuration. `draw_seed` is the seed of its pseudo-random numbers,
    /// which should differ between hosts and between runs of one host.
    pub fn new(deployment: Deployment, backends: B, draw_seed: u64) -> Self {
        let own = HostId(hash_of(&deployment.name));
        let shutdown = Shutdown::new(deployment.grace_ms);
        let incarnation = hash_of((draw_seed, own.0));
        let change_bound_ms = deployment.change_bound_ms();
        let relay = Relay::new(&deployment.name, incarnation, change_bound_ms);
        let memory = Memory::new(deployment.memory_bytes);
        let connections = Connections::new(deployment.caller_descriptors, memory.clone());
        let recency = deployment.revoke_ms.map(ConfigRecency::new);
        let usage = deployment.usage;
        let usage = usage.map(|timing| HostUsage::new(timing, own, incarnation));
        Self {
            deployment,
            memory,
            connections,
            relay,
            backends,
            directory: RefCell::default(),
            peers: Peers::default(),
            peer_updates: Notify::new(),
            paths: Paths::default(),
            overloads: Overloads::default(),
            demand: RefCell::default(),
            service_demand: HostDemand::default(),
            pending_engines: RefCell::default(),
            crash_causes: RefCell::default(),
            trials: RefCell::default(),
            rates: RefCell::new(FleetRates::new(own, draw_seed as u32)),
            streams: HostStreams::new(change_bound_ms),
            metrics: Metrics::default(),
            clock: Rc::default(),
            recency,
            usage,
            config: RefCell::default(),
            config_origin: Cell::default(),
            retry_budgets: RefCell::default(),
            host_count: Cell::new(1),
            shutdown: Cell::new(shutdown),
            stopped: Notify::new(),
            started: Instant::now(),
            draw_seed,
            next_draw: Cell::new(0),
        }
    }

    /// Replaces the clock for proofs and for the transit times of messages.
    #[must_use]
    pub fn with_clock(self, clock: BootClock) -> Self {
        let clock = Rc::new(clock);
        Self {
            relay: self.relay.with_clock(Rc::clone(&clock)),
            clock,
            ..self
        }
    }

    /// Replaces the policy that decides about generations.
    #[must_use]
    pub fn with_admission(self, policy: AdmissionPolicy) -> Self {
        Self {
            overloads: Overloads::new(policy),
            ..self
        }
    }

    /// Returns the id of this host in messages to other hosts.
    pub fn id(&self) -> HostId {
        HostId(hash_of(&self.deployment.name))
    }

    /// Returns the milliseconds since the host was created, on the monotonic clock.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn time_ms(&self, at: Instant) -> u64 {
        let since_start = at.saturating_duration_since(self.started);
        u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the active configuration, or `None` before the first one is received.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        self.config.borrow().clone()
    }

    /// Whether the active configuration has organisations.
    pub fn has_organisations(&self) -> bool {
        let config = self.config.borrow();
        let config = config.as_ref();
        config.is_some_and(|config| !config.organisations.is_empty())
    }

    /// Activates a configuration if its version is higher than that of the active one.
    pub fn set_config(&self, config: ServingConfig) {
        let known = self.config.borrow().as_ref().map(|c| c.version);
        if known.is_none_or(|known| known < config.version) {
            self.activate(config, "");
        }
    }

    /// Activates a configuration; `origin` are fields for the log line that tell where it came from.
    fn activate(&self, config: ServingConfig, origin: &str) {
        let (version, routes) = (config.version, config.routes.len());
        let fields = format!("version={version} routes={routes}{origin}");
        log::write(Event::CatalogueChanged, &fields);
        let unseen_ms = self.relay.age_ms(Kind::Config);
        self.streams.set_limits(&config, unseen_ms, self.now_ms());
        *self.config.borrow_mut() = Some(Rc::new(config));
    }

    /// Activates the configuration in an object of the store if its version is higher than that of the
    /// active one. A lower one is a version that the store has lost in a restore and that the operator
    /// writes again. `source` tells how the object came.
    pub fn update_config(&self, config: ServingConfig, object: &Object, source: Source) {
        let active = self.config.borrow().as_ref().map(|c| c.version);
        if active.is_none_or(|active| config.version > active) {
            if let Some(recency) = &self.recency {
                recency.record_config(ConfigId {
                    revision: object.revision,
                    version: config.version,
                });
            }
            let origin = format!(" revision={} source={}", object.revision, source.name());
            self.activate(config, &origin);
            self.config_origin.set(Some(ConfigOrigin {
                revision: object.revision,
                source,
                activated_ms: self.now_ms(),
            }));
        } else if active != Some(config.version) {
            let fields = format!("version={} revision={}", config.version, object.revision);
            log::write(Event::CatalogueStale, &fields);
        }
    }

    /// Returns the fields of a log line that tell how and when the active configuration came, and the
    /// revision of the newest one that a relay claims to know.
    pub(crate) fn config_origin_fields(&self) -> String {
        let Some(origin) = self.config_origin.get() else {
            return String::new();
        };
        format!(
            " revision={} source={} age_ms={} claimed={}",
            origin.revision,
            origin.source.name(),
            self.now_ms().saturating_sub(origin.activated_ms),
            self.relay.claimed(Kind::Config).unwrap_or(0),
        )
    }

    /// Whether the host can serve: it has a configuration and a full listing of the backends, can check
    /// API keys, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let config = self.config.borrow();
        let checks_keys = config
            .as_ref()
            .is_some_and(|config| config.organisations.is_empty() || self.may_accept_keys());
        checks_keys && self.directory.borrow().has_full_listing() && !self.is_stopping()
    }

    /// Whether the configuration is known to be recent enough to accept API keys.
    pub fn may_accept_keys(&self) -> bool {
        let recency = self.recency.as_ref();
        recency.is_none_or(|recency| recency.is_proven(&self.clock))
    }

    /// Starts a graceful shutdown.
    pub fn stop(&self) {
        let mut shutdown = self.shutdown.get();
        shutdown.begin(self.now_ms());
        self.shutdown.set(shutdown);
        self.stopped.notify_waiters();
    }

    /// Returns the state of the graceful shutdown.
    pub fn shutdown(&self) -> Shutdown {
        self.shutdown.get()
    }

    /// Waits until a graceful shutdown has come so far that requests are refused which were not sent
    /// to a backend yet.
    pub async fn until_refusal(&self) {
        let stopped = self.stopped.notified();
        if !self.is_stopping() {
            stopped.await;
        }
        if let Some(refusal_ms) = self.shutdown.get().refusal_ms() {
            sleep_until(self.started + Duration::from_millis(refusal_ms)).await;
        }
    }

    /// Whether a graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_begun()
    }

    /// Sets the number of hosts, including this one, among which the retry budgets are divided.
    pub fn set_host_count(&self, host_count: u32) {
        self.host_count.set(host_count.max(1));
        let burst = self.retry_burst();
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_burst(burst);
        }
    }

    /// Returns the number of hosts, including this one.
    pub fn host_count(&self) -> u32 {
        self.host_count.get()
    }

    /// Records a new request of a service, which adds a fraction of a retry to the service's
    /// budget.
    pub fn add_retry_credit(&self, service: &str) {
        self.with_budget(service, Budget::record_request);
    }

    /// Takes one retry from the budget of a service. Returns `false` if the budget is exhausted.
    pub fn acquire_retry(&self, service: &str) -> bool {
        let is_acquired = self.with_budget(service, Budget::try_acquire);
        if is_acquired {
            self.metrics.retries.inc();
        }
        is_acquired
    }

    /// Returns a pseudo-random number that differs between calls and between hosts.
    pub fn draw(&self) -> u64 {
        let draw = self.next_draw.get();
        self.next_draw.set(draw + 1);
        hash_of((self.draw_seed, draw))
    }

    /// Returns the number that the call of [`Host::draw`] after `skipped` others will return, without
    /// changing it.
    pub fn future_draw(&self, skipped: u64) -> u64 {
        hash_of((self.draw_seed, self.next_draw.get() + skipped))
    }

    /// Announces a prefill to the other hosts.
    pub fn announce_prefill(&self, announcement: PrefillAnnouncement) {
        self.peers.announce_prefill(announcement);
        self.peer_updates.notify_one();
    }

    /// Announces to the hosts that know of a prefill that it has ended.
    pub fn announce_prefill_end(&self, end: PrefillEnd) {
        self.peers.announce_prefill_end(end);
        self.peer_updates.notify_one();
    }

    /// Applies what calls have told of backends. This works also without the store, and before each choice of a
    /// backend.
    pub fn apply_notices(&self)
    where
        B: Backends,
    {
        for notice in self.backends.take_notices() {
            let at_ms = self.time_ms(notice.received);
            let Some(key) = self.directory.borrow().find(&notice.from) else {
                continue;
            };
            if let NoticeContent::Connection(outcome) = notice.content {
                proxies::record(self, key, outcome);
                continue;
            }
            let mut directory = self.directory.borrow_mut();
            let backend = directory.get_mut(key);
            match notice.content {
                NoticeContent::Leaving => {
                    if backend.announce_leaving(at_ms) {
                        let fields = format!("back_end={} source=response", notice.from);
                        log::write(Event::BackendLeft, &fields);
                    }
                }
                NoticeContent::RetryAfter { wait_ms } => {
                    backend.pause_requests(at_ms + wait_ms.min(MAX_PAUSE_MS));
                    if let Some(via) = notice.via {
                        let pause = BackendPause {
                            backend: backend.id_hash(),
                            wait_ms,
                        };
                        self.peers.announce_pause(via, pause);
                        self.peer_updates.notify_one();
                    }
                    let fields = format!("back_end={} pause_ms={wait_ms}", notice.from);
                    log::write(Event::BackendLimited, &fields);
                }
                NoticeContent::Connection(_) => {}
            }
        }
    }

    /// Returns the id and the address for calls to a backend.
    pub fn target(&self, key: BackendKey) -> Target {
        self.directory.borrow().get(key).target.clone()
    }

    fn with_budget<T>(&self, service: &str, action: impl FnOnce(&mut Budget) -> T) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        if !retry_budgets.contains_key(service) {
            let ratio = self.deployment.retry_ratio * RETRY_BUDGET_SHARE;
            let budget = Budget::new(ratio, self.retry_burst());
            retry_budgets.insert(service.to_owned(), budget);
        }
        action(&mut retry_budgets[service])
    }

    /// Returns this host's part of the retry slack that all hosts share.
    fn retry_burst(&self) -> f64 {
        let burst =
            self.deployment.retry_slack * RETRY_BUDGET_SHARE / f64::from(self.host_count.get());
        burst.max(1.0)
    }
}

/// A request in flight on a backend; dropping it removes the request from the backend's load.
pub struct InFlight<B> {
    host: Rc<Host<B>>,
    key: BackendKey,
    reservation: Reservation,
}

impl<B> InFlight<B> {
    /// Adds a request to the load of a backend.
    pub fn start(host: &Rc<Host<B>>, key: BackendKey, reservation: Reservation) -> Self {
        host.directory
            .borrow_mut()
            .get_mut(key)
            .load
            .add(reservation);
        Self {
            host: Rc::clone(host),
            key,
            reservation,
        }
    }
}

impl<B> Drop for InFlight<B> {
    fn drop(&mut self) {
        let mut directory = self.host.directory.borrow_mut();
        directory.get_mut(self.key).load.remove(self.reservation);
    }
}
