//! State that all tasks of an entry host share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yucca_io::caller_connections::Connections;
use yucca_io::clock::wall_ms;
use yucca_io::memory::Memory;
use yucca_io::settings::{Limits, Policy, Settings};
use yucca_io::stop::StopFlag;
use yucca_io::store::Store;
use yuccacove::catalogue::Catalogue;
use yuccacove::retry::Budget;

use crate::admission::{Admission, SERVER_SLOTS};
use crate::backends::Backends;
use crate::catalogue_watch::InitialListing;
use crate::claim_store::RunningAttempts;
use crate::connectivity::ConnectivityMonitor;
use crate::decisions::Decisions;
use crate::demand::DemandTotals;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::quota::Quotas;
use crate::quota_owner::OwnedQuotas;
use crate::shared_catalogue::SharedCatalogue;
use crate::suspect_tracker::SuspectTracker;
use crate::timing::Timing;
use crate::usage::HostUsage;
use yucca_io::connections::Pool;

/// An entry host.
pub struct Host {
    /// Name in the settings.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Limits of the callers' port.
    pub limits: Limits,
    /// Memory for bodies and connections.
    pub memory: Memory,
    /// Open connections of callers.
    pub connections: Connections,
    /// Configured policies.
    pub policy: Policy,
    /// Time limits and intervals.
    pub timing: Timing,
    /// Start time in Unix milliseconds; identifies this run of the process.
    pub incarnation: u64,
    /// Client of the object API.
    pub store: Store,
    /// Connectivity to the object API and to peers.
    pub connectivity: ConnectivityMonitor,
    /// Progress of the first full listing from the object API.
    pub initial_listing: InitialListing,
    /// Membership of the other entry hosts, and calls to them.
    pub peers: Peers,
    /// Active catalogue.
    pub catalogue: SharedCatalogue,
    /// Counters of requests in flight on each backend.
    pub backends: Backends,
    /// State, load and health of the backends.
    pub fleet: Arc<Fleet>,
    /// Counters and histograms of the requests.
    pub metrics: Metrics,
    /// Connections to backends.
    pub pool: Pool,
    /// Queues of the services.
    pub admission: Arc<Admission>,
    /// Demand for engine time.
    pub demand: DemandTotals,
    /// This host's shares of the entries' limits.
    pub quotas: Arc<Quotas>,
    /// Limits of entries that this host owns.
    pub owned_quotas: OwnedQuotas,
    /// Requests that are suspected of crashing engines.
    pub suspect_tracker: Arc<SuspectTracker>,
    /// Latest decisions, kept for explanations.
    pub decisions: Decisions,
    /// Non-repeatable calls that have not ended.
    pub attempts: Arc<RunningAttempts>,
    /// Charges of the fleet's time to entries.
    pub usage: Arc<HostUsage>,
    /// Set when a planned stop is requested.
    pub stop: StopFlag,
    retry_budget: Mutex<Budget>,
    /// Number of live entry hosts, this one included.
    hosts: AtomicUsize,
    has_joined: AtomicBool,
    next_seed: AtomicU64,
    next_request: AtomicU64,
}

impl Host {
    /// Creates a host with an empty catalogue.
    pub fn new(
        settings: &Settings,
        name: &str,
        zone: &str,
        timing: Timing,
        stop: StopFlag,
    ) -> Self {
        let incarnation = wall_ms();
        let memory = Memory::new(settings.limits.memory_bytes);
        let max_descriptors = settings.limits.max_connections.saturating_mul(2);
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            limits: settings.limits,
            connections: Connections::new(max_descriptors, memory.clone()),
            memory,
            policy: settings.policy,
            timing,
            incarnation,
            store: Store::new(settings.store),
            connectivity: ConnectivityMonitor::default(),
            initial_listing: InitialListing::default(),
            peers: Peers::new(settings, name, incarnation),
            catalogue: SharedCatalogue::new(settings.hosts.len()),
            backends: Backends::default(),
            fleet: Arc::new(Fleet::new(
                settings.policy.routing,
                name,
                zone,
                settings.hosts.get_index_of(name).unwrap_or(0),
                settings.hosts.len(),
            )),
            metrics: Metrics::default(),
            pool: Pool::new(timing.connect_ms, timing.idle_connection_ms),
            admission: Arc::default(),
            demand: DemandTotals::default(),
            quotas: Arc::default(),
            owned_quotas: OwnedQuotas::default(),
            suspect_tracker: Arc::default(),
            decisions: Decisions::default(),
            attempts: Arc::default(),
            usage: Arc::default(),
            stop,
            retry_budget: Mutex::default(),
            hosts: AtomicUsize::new(settings.hosts.len()),
            has_joined: AtomicBool::new(false),
            next_seed: AtomicU64::new(0),
            next_request: AtomicU64::new(1),
        }
    }

    /// Locks the retry budget; the guard must be held only briefly.
    pub fn retry_budget(&self) -> MutexGuard<'_, Budget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of live entry hosts, this one included.
    pub fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts.max(1), Ordering::Relaxed);
        self.fleet.set_hosts(hosts);
    }

    /// This host's share of the slots of a model's engines, at least one while an engine takes
    /// work.
    pub fn engine_slots(&self, catalogue: &Arc<Catalogue>, service: &str) -> usize {
        let running_here = self.admission.running(service);
        self.fleet.engine_slots(catalogue, service, running_here)
    }

    /// This host's share of the concurrent calls that a plain service's servers accept, at least
    /// one while a server takes work.
    pub fn server_slots(&self, catalogue: &Arc<Catalogue>, service: &str) -> usize {
        let serving = self.fleet.serving_backends(catalogue, service);
        (serving * SERVER_SLOTS).div_ceil(self.hosts.load(Ordering::Relaxed))
    }

    /// Whether the host has a catalogue and accepts requests.
    pub fn is_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Lets the host accept requests.
    pub fn set_joined(&self) {
        self.has_joined.store(true, Ordering::Relaxed);
    }

    /// A seed that differs between hosts and between calls.
    pub fn next_seed(&self) -> u64 {
        let n = self.next_seed.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}/{}/{n}", self.name, self.incarnation);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }

    /// Why the load balancer must not send requests to this host; `None` while the host is ready.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.stop.is_requested() {
            Some("stopping")
        } else if !self.is_joined() {
            Some("no catalogue yet")
        } else if !self.connectivity.state().takes_work() {
            Some("isolated")
        } else {
            None
        }
    }

    /// A request id that is unique in the fleet.
    pub fn next_request_id(&self) -> String {
        let n = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{n:x}", self.name, self.incarnation)
    }
}
