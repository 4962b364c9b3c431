//! Calls to backends through other hosts, while this host has lost its own paths to them.
//!
//! [`yuccacove::reachability`] decides when that is. A call then goes through a tunnel of another host, which
//! only passes on bytes: choice, limits, retries and what a failure means stay with this host. Orders to
//! engines never go through another host, as each engine takes them from one machine.
//!
//! A host takes a tunnel only to a backend that it would use itself, and only while it reaches the
//! service's backends. It never passes a tunnel on, so that there are no loops.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use http::StatusCode;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep};
use yucca_io::connections::BackendFault;
use yucca_io::log;
use yucca_io::log::field;
use yucca_io::memory::MemoryGuard;
use yucca_io::tunnel::{Gate, TUNNEL_BYTES};
use yuccacove::event::Event;
use yuccacove::memory_budget::Purpose;
use yuccacove::reachability::{Outcome, Reachability};

use crate::directory::BackendKey;
use crate::host::Host;
use crate::ports::{Backends, Call, CallFault, Connectivity, Target};

/// Number of other hosts through which a call is tried.
const MAX_TRIES: usize = 3;
/// Number of these that must say that they do not reach a backend either before that is believed.
const MIN_WITNESSES: usize = 2;
/// Time for which a host that took no tunnel is left out.
const HOST_PAUSE_MS: u64 = 500;
/// Cost of a host in another availability zone, in calls in progress: bytes between zones are dear.
const OTHER_ZONE_CALLS: usize = 4;
/// Number of hosts that are drawn at random, of which the one with the fewest calls is chosen.
const DRAWN_HOSTS: usize = 3;
/// Number of other backends that are tried before a refused connection is asked about elsewhere.
const CONTROL_PROBES: usize = 2;
/// Interval at which a host that may be partitioned tries to connect to a backend.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a response after which a call may be on a connection that hangs.
const OVERDUE: Duration = Duration::from_millis(700);
/// Time after which a partition counts as confirmed: two backends that went dark at once look like one until another
/// is reached.
const CONFIRMATION: Duration = Duration::from_millis(500);
/// Share of the descriptors of callers, as a divisor, that tunnels of other hosts may use. Each takes two.
const DESCRIPTOR_SHARE_DIVISOR: usize = 4;

/// A host as a way to the backends.
#[derive(Debug, Default, Clone, Copy)]
struct Proxy {
    /// Calls of this host through it.
    calls: usize,
    paused_until_ms: u64,
}

/// What this host knows of its own paths to the backends, and of those through other hosts.
#[derive(Debug, Default)]
pub struct Paths {
    /// Outcomes of this host's attempts to connect to backends.
    outcomes: RefCell<Reachability<BackendKey>>,
    /// Services whose backends this host has lost.
    lost: RefCell<Vec<String>>,
    /// Other hosts by address.
    proxies: RefCell<IndexMap<SocketAddr, Proxy>>,
    /// Number of tunnels of other hosts through this one.
    taken: Cell<usize>,
    /// Backends whose responses are overdue.
    overdue: RefCell<Vec<BackendKey>>,
    /// Notified when an attempt to connect has failed, or a call is overdue.
    suspected: Notify,
    /// Notified when the paths to the backends of a service were lost.
    changed: Notify,
}

impl Paths {
    /// Returns the number of tunnels of other hosts through this one.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Whether this host has lost its paths to the backends of a service.
    pub fn is_partitioned(&self, service: &str, now_ms: u64) -> bool {
        self.outcomes.borrow().is_partitioned(service, now_ms)
    }

    /// Whether this host has lost its paths to the backends of a service, and attempts to connect to them time out.
    fn is_silent(&self, service: &str, now_ms: u64) -> bool {
        self.outcomes.borrow().is_silent(service, now_ms)
    }
}

/// Records the outcome of an attempt of this host to connect to a backend.
pub(crate) fn record<B: Backends>(host: &Host<B>, key: BackendKey, outcome: Outcome) {
    let now_ms = host.now_ms();
    let directory = host.directory.borrow();
    let service = &directory.get(key).entry.service;
    let mut outcomes = host.paths.outcomes.borrow_mut();
    outcomes.record(service, key, outcome, now_ms);
    if outcome != Outcome::Opened {
        host.paths.suspected.notify_one();
    }
    let partitioned: Vec<String> = outcomes.partitioned(now_ms).map(str::to_owned).collect();
    let lost = host.paths.lost.replace(partitioned.clone());
    let log = |event, service: &str| {
        let fields = format!("service={} outcome={outcome:?}", field(service));
        log::write(event, &fields);
    };
    for service in lost.iter().filter(|lost| !partitioned.contains(lost)) {
        log(Event::PathsFound, service);
    }
    for service in partitioned.iter().filter(|other| !lost.contains(other)) {
        log(Event::PathsLost, service);
        host.paths.changed.notify_waiters();
    }
}

/// A call through another host, until the head of its response. Dropping it removes it from that host's load.
struct OwnCall<'a, B> {
    host: &'a Host<B>,
    through: SocketAddr,
}

impl<'a, B> OwnCall<'a, B> {
    fn begin(host: &'a Host<B>, through: SocketAddr) -> Self {
        let mut proxies = host.paths.proxies.borrow_mut();
        proxies.entry(through).or_default().calls += 1;
        Self { host, through }
    }
}

impl<B> Drop for OwnCall<'_, B> {
    fn drop(&mut self) {
        let mut proxies = self.host.paths.proxies.borrow_mut();
        if let Some(proxy) = proxies.get_mut(&self.through) {
            proxy.calls -= 1;
        }
    }
}

/// Chooses a host through which a call goes, other than those in `excluded`.
fn choose<B>(host: &Host<B>, excluded: &[SocketAddr]) -> Option<SocketAddr> {
    let now_ms = host.now_ms();
    let proxies = host.paths.proxies.borrow();
    let state = |address: &SocketAddr| proxies.get(address).copied().unwrap_or_default();
    let mut usable = host.peers.addresses();
    usable.retain(|(address, _)| {
        !excluded.contains(address) && state(address).paused_until_ms <= now_ms
    });
    let cost = |address: &SocketAddr, zone: &str| {
        let is_other_zone = *zone != *host.deployment.zone;
        state(address).calls + usize::from(is_other_zone) * OTHER_ZONE_CALLS
    };
    let drawn = (0..DRAWN_HOSTS.min(usable.len())).map(|_| {
        let at = host.draw() as usize % usable.len();
        &usable[at]
    });
    let chosen = drawn.min_by_key(|(address, zone)| cost(address, zone));
    chosen.map(|(address, _)| *address)
}

fn pause<B>(host: &Host<B>, proxy: SocketAddr) {
    let until_ms = host.now_ms() + HOST_PAUSE_MS;
    let mut proxies = host.paths.proxies.borrow_mut();
    proxies.entry(proxy).or_default().paused_until_ms = until_ms;
}

/// Calls a backend: directly, or through another host while this one has lost its paths to the backends of the
/// service. `send` makes one call; it is repeated only if no byte of the request was sent.
///
/// # Errors
///
/// Those of `send`, but for [`CallFault::NotProxied`].
pub(crate) async fn call<B: Backends, T>(
    host: &Host<B>,
    key: BackendKey,
    call: Call,
    send: impl AsyncFn(Target, Call) -> Result<T, CallFault>,
) -> Result<T, CallFault> {
    let begun = Instant::now();
    let service = host.directory.borrow().get(key).entry.service.clone();
    let is_partitioned = || {
        host.apply_notices();
        host.paths.is_partitioned(&service, host.now_ms())
    };
    if !is_partitioned() {
        let sent = send(host.target(key), call.clone());
        let outcome = watched(host, key, &service, call.is_repeatable, sent).await;
        if !matches!(outcome, Err(CallFault::NotSent(_))) || !is_partitioned() {
            return outcome;
        }
    }
    let mut excluded = Vec::new();
    let mut unreachable = 0;
    let mut cause = "no other host to call through".to_owned();
    while excluded.len() < MAX_TRIES && unreachable < MIN_WITNESSES {
        let Some(proxy) = choose(host, &excluded) else {
            break;
        };
        excluded.push(proxy);
        let _own = OwnCall::begin(host, proxy);
        let target = Target {
            via: Some(proxy),
            ..host.target(key)
        };
        match send(target, remaining(&call, begun)).await {
            Err(CallFault::NotProxied(fault)) => {
                pause(host, proxy);
                cause = fault;
            }
            Err(CallFault::NotSent(fault)) => {
                unreachable += 1;
                cause = fault;
            }
            outcome => {
                host.metrics.proxied_calls.inc();
                return outcome;
            }
        }
    }
    let is_silent = host.paths.is_silent(&service, host.now_ms());
    if unreachable == 0 && !is_silent {
        // The other hosts are no better off, as when most backends have crashed.
        let call = remaining(&call, begun);
        return send(host.target(key), call).await;
    }
    Err(CallFault::NotSent(cause))
}

/// Returns the parameters of a call that begins now instead of at `begun`.
fn remaining(call: &Call, begun: Instant) -> Call {
    let elapsed_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
    Call {
        left_ms: call.left_ms.saturating_sub(elapsed_ms).max(1),
        ..call.clone()
    }
}

/// Waits for a direct call. One that gets no response for a while has the path to its backend checked; one that may be
/// repeated ends as broken when the paths turn out to be lost and nothing answers on them.
async fn watched<B: Backends, T>(
    host: &Host<B>,
    key: BackendKey,
    service: &str,
    is_repeatable: bool,
    sent: impl Future<Output = Result<T, CallFault>>,
) -> Result<T, CallFault> {
    let mut sent = std::pin::pin!(sent);
    tokio::select! {
        outcome = &mut sent => return outcome,
        () = sleep(OVERDUE) => suspect(host, key),
        () = until_silent(host, service), if is_repeatable => return Err(lost_path()),
    }
    tokio::select! {
        outcome = &mut sent => outcome,
        () = until_silent(host, service), if is_repeatable => Err(lost_path()),
    }
}

fn lost_path() -> CallFault {
    CallFault::Broken("this host has lost its paths to the back ends".to_owned())
}

/// Waits until the paths to the backends of a service are lost, nothing answers on them, and attempts to reach others
/// have not refuted that.
async fn until_silent<B>(host: &Host<B>, service: &str) {
    let is_silent = || host.paths.is_silent(service, host.now_ms());
    loop {
        let changed = host.paths.changed.notified();
        if !is_silent() {
            changed.await;
        }
        sleep(CONFIRMATION).await;
        if is_silent() {
            return;
        }
    }
}

/// Has the path to a backend checked, unless connections to backends of its service were opened lately.
fn suspect<B>(host: &Host<B>, key: BackendKey) {
    let now_ms = host.now_ms();
    let service = host.directory.borrow().get(key).entry.service.clone();
    if !host.paths.outcomes.borrow().has_opened(&service, now_ms) {
        host.paths.overdue.borrow_mut().push(key);
        host.paths.suspected.notify_one();
    }
}

/// Returns whether the process of a backend has ended, which its refusal of a connection shows. That a partitioned
/// host's own connections are refused shows nothing: this host must reach another backend, or another
/// host must be refused as well.
pub(crate) async fn is_ended<B: Backends>(host: &Host<B>, key: BackendKey) -> bool {
    let service = host.directory.borrow().get(key).entry.service.clone();
    let now_ms = host.now_ms();
    if host.paths.is_silent(&service, now_ms) {
        return false;
    }
    if host.backends.probe(&host.target(key)).await != Connectivity::Refused {
        return false;
    }
    record(host, key, Outcome::Refused);
    reaches_another(host, key).await || is_refused_elsewhere(host, key).await
}

/// Whether this host can connect to a backend other than `key`, of any service.
async fn reaches_another<B: Backends>(host: &Host<B>, key: BackendKey) -> bool {
    for _ in 0..CONTROL_PROBES {
        let now_ms = host.now_ms();
        let mut others = host.directory.borrow().all_serving(now_ms);
        others.retain(|other| *other != key);
        let at = host.draw() as usize % others.len().max(1);
        let Some(other) = others.get(at).copied() else {
            return false;
        };
        if probe(host, other).await {
            return true;
        }
    }
    false
}

async fn is_refused_elsewhere<B: Backends>(host: &Host<B>, key: BackendKey) -> bool {
    let mut excluded = Vec::new();
    while let Some(proxy) = choose(host, &excluded).filter(|_| excluded.len() < MAX_TRIES) {
        excluded.push(proxy);
        let through = Target {
            via: Some(proxy),
            ..host.target(key)
        };
        match host.backends.probe(&through).await {
            Connectivity::Refused => return true,
            Connectivity::Opened | Connectivity::Silent => return false,
            Connectivity::Unknown => pause(host, proxy),
        }
    }
    false
}

/// Checks the paths to backends that may be lost, and whether lost ones are back, for as long as the process
/// lives.
pub async fn check<B: Backends>(host: Rc<Host<B>>) {
    loop {
        tokio::select! {
            () = host.paths.suspected.notified() => {}
            () = sleep(PROBE_INTERVAL) => {}
        }
        host.apply_notices();
        let overdue = std::mem::take(&mut *host.paths.overdue.borrow_mut());
        if let Some(key) = overdue.last().copied() {
            probe(&host, key).await;
        }
        let mut has_failed = false;
        for service in suspected_services(&host) {
            let is_reached = reaches_any(&host, &service).await;
            has_failed |= !is_reached;
            let serving = host.directory.borrow().serving(&service, host.now_ms());
            if let [only] = *serving
                && !is_reached
            {
                // Backends of other services tell a crash of this one from a partition.
                reaches_another(&host, only).await;
            }
        }
        // A refused connection fails at once, and so would the next one.
        if has_failed {
            sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Whether this host can connect to one of a few backends of a service.
async fn reaches_any<B: Backends>(host: &Host<B>, service: &str) -> bool {
    for _ in 0..MIN_WITNESSES {
        let Some(key) = untried(host, service) else {
            return false;
        };
        if probe(host, key).await {
            return true;
        }
    }
    false
}

fn suspected_services<B>(host: &Host<B>) -> Vec<String> {
    let now_ms = host.now_ms();
    let outcomes = host.paths.outcomes.borrow();
    outcomes.suspected(now_ms).map(str::to_owned).collect()
}

/// Returns a backend of a service to which no connection was opened lately.
fn untried<B>(host: &Host<B>, service: &str) -> Option<BackendKey> {
    let now_ms = host.now_ms();
    let mut keys = host.directory.borrow().serving(service, now_ms);
    let outcomes = host.paths.outcomes.borrow();
    keys.retain(|key| !outcomes.is_opened(service, key, now_ms));
    let at = host.draw() as usize % keys.len().max(1);
    keys.get(at).copied()
}

/// Tries to connect to a backend, and returns whether that succeeds.
async fn probe<B: Backends>(host: &Host<B>, key: BackendKey) -> bool {
    let outcome = match host.backends.probe(&host.target(key)).await {
        Connectivity::Opened => Outcome::Opened,
        Connectivity::Refused => Outcome::Refused,
        Connectivity::Silent | Connectivity::Unknown => Outcome::Silent,
    };
    record(host, key, outcome);
    outcome == Outcome::Opened
}

/// Decides which tunnels of other hosts this host takes.
#[derive(Debug)]
pub struct TunnelGate<B>(pub Rc<Host<B>>);

/// A tunnel of another host through this one.
#[derive(Debug)]
pub struct TakenTunnel<B> {
    host: Rc<Host<B>>,
    _memory: MemoryGuard,
}

impl<B> Drop for TakenTunnel<B> {
    fn drop(&mut self) {
        let taken = &self.host.paths.taken;
        taken.set(taken.get() - 1);
    }
}

impl<B: Backends> Gate for TunnelGate<B> {
    type Permit = TakenTunnel<B>;

    fn admits(&self, from: IpAddr) -> bool {
        let peers = self.0.peers.addresses();
        peers.iter().any(|(address, _)| address.ip() == from)
    }

    fn permit(&self, backend: SocketAddr) -> Result<TakenTunnel<B>, StatusCode> {
        let host = &self.0;
        host.apply_notices();
        let now_ms = host.now_ms();
        let found = host.directory.borrow().find_usable(backend, now_ms);
        let Some((key, service)) = found else {
            return Err(StatusCode::FORBIDDEN);
        };
        let is_paused = host.directory.borrow().get(key).pause_left_ms(now_ms) > 0;
        let most = host.deployment.caller_descriptors / (2 * DESCRIPTOR_SHARE_DIVISOR);
        let mut memory = host.memory.guard(Purpose::Connection);
        let is_refused = is_paused
            || host.is_stopping()
            || host.paths.is_partitioned(&service, now_ms)
            || host.paths.taken.get() >= most
            || !memory.grow(TUNNEL_BYTES);
        if is_refused {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        host.paths.taken.set(host.paths.taken.get() + 1);
        host.metrics.taken_tunnels.inc();
        Ok(TakenTunnel {
            host: Rc::clone(host),
            _memory: memory,
        })
    }

    fn record(&self, backend: SocketAddr, result: Result<(), BackendFault>) {
        let host = &self.0;
        let found = host.directory.borrow().find_usable(backend, host.now_ms());
        if let Some((key, _)) = found {
            record(host, key, outcome_of(result));
        }
    }
}

/// Returns the outcome of an attempt to connect.
pub fn outcome_of(result: Result<(), BackendFault>) -> Outcome {
    match result {
        Ok(()) => Outcome::Opened,
        Err(BackendFault::Refused) => Outcome::Refused,
        Err(BackendFault::Silent) => Outcome::Silent,
    }
}
