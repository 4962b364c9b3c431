//! Connections of callers: their number and memory are limited, and those that make least progress are
//! closed first.
//!
//! [`yuccacove::connection_budget`] decides; this module holds the connections and tells them to close.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout};
use yuccacove::code::Code;
use yuccacove::connection_budget::{
    CloseReason, Closing, ConnectionBudget, ConnectionKey, Phase, Shortage, Timeouts,
};
use yuccacove::event::Event;
use yuccacove::memory_budget::Purpose;

use crate::log;
use crate::memory::{Memory, MemoryGuard};

/// Memory of an open connection: its state and hyper's read buffer.
const RESERVED_CONNECTION_BYTES: usize = 24 * 1_024;
/// Memory of a connection while the body of a request arrives, beside the body: hyper's read buffer grows,
/// and the part that was read last is held until it has been copied. Measured were 48 KiB with the above.
const RECEIVING_BYTES: usize = 24 * 1_024;
/// Memory of a request in progress beside its body: its state, and its connection to a backend.
const REQUEST_BYTES: usize = 32 * 1_024;
/// Number of times that a reservation is tried again after a connection was told to close.
const MAX_RELIEF_TRIES: u32 = 8;
/// Longest wait for the memory of a connection that was told to close. Its task may run on another thread.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval at which callers that have taken too long are looked for.
const CHECK_INTERVAL_MS: u64 = 250;
/// Shortest delay of a check that counts as a pause of the process.
const MIN_PAUSE_MS: u64 = 100;
/// Least time between two log lines on closed connections.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Numbers of what was closed and refused, since the start.
#[derive(Debug, Default)]
pub struct ClosedConnections {
    by_reason: Mutex<IndexMap<CloseReason, u64>>,
    refused: AtomicU64,
    refused_bodies: AtomicU64,
}

impl ClosedConnections {
    /// Returns the number of connections that were closed for a reason.
    pub fn count(&self, reason: CloseReason) -> u64 {
        let by_reason = lock(&self.by_reason);
        by_reason.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the number of connections that were not accepted.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts a connection that was not accepted.
    pub fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests that were refused for their body.
    pub fn refused_bodies(&self) -> u64 {
        self.refused_bodies.load(Ordering::Relaxed)
    }

    /// Counts a request that was refused for its body.
    pub fn record_refused_body(&self) {
        self.refused_bodies.fetch_add(1, Ordering::Relaxed);
    }

    fn record(&self, reason: CloseReason) {
        *lock(&self.by_reason).entry(reason).or_default() += 1;
    }

    /// Returns all numbers as fields of a log line.
    fn fields(&self) -> String {
        let reasons = CloseReason::ALL.iter();
        let counts: Vec<String> = reasons
            .map(|reason| format!("{}={}", reason.name(), self.count(*reason)))
            .collect();
        let (refused, bodies) = (self.refused(), self.refused_bodies());
        format!("{} refused={refused} bodies={bodies}", counts.join(" "))
    }
}

/// Open connections of callers. Clones share them.
#[derive(Debug, Clone)]
pub struct Connections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<ConnectionBudget>,
    signals: Mutex<IndexMap<ConnectionKey, Arc<CloseSignal>>>,
    memory: Memory,
    closed: ClosedConnections,
    started: Instant,
}

/// Tells the tasks of a connection to close it.
#[derive(Debug, Default)]
struct CloseSignal {
    reason: OnceLock<CloseReason>,
    notify: Notify,
}

impl Connections {
    /// Creates the connections of a process whose callers, with the backend connections of their
    /// requests, may use `max_descriptors`.
    pub fn new(max_descriptors: usize, memory: Memory) -> Self {
        Self {
            shared: Arc::new(Shared {
                budget: Mutex::new(ConnectionBudget::new(max_descriptors)),
                signals: Mutex::default(),
                memory,
                closed: ClosedConnections::default(),
                started: Instant::now(),
            }),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.shared.budget).count()
    }

    /// Returns the numbers of what was closed and refused.
    pub fn closed(&self) -> &ClosedConnections {
        &self.shared.closed
    }

    /// Adds a connection, for which others may be closed. Returns `None` if there is no room for it.
    pub async fn open(&self) -> Option<CallerConnection> {
        for _ in 0..=MAX_RELIEF_TRIES {
            let mut memory = self.shared.memory.guard(Purpose::Connection);
            let shortage = if !lock(&self.shared.budget).has_room(1) {
                Shortage::Descriptors
            } else if !memory.grow(RESERVED_CONNECTION_BYTES) {
                Shortage::ConnectionMemory
            } else {
                return Some(self.add(memory));
            };
            if !self.relieve_and_wait(shortage).await {
                break;
            }
        }
        self.shared.closed.record_refused();
        None
    }

    fn add(&self, memory: MemoryGuard) -> CallerConnection {
        let signal = Arc::new(CloseSignal::default());
        // Held until the signal is there, as another thread may choose the connection once it is open.
        let mut signals = lock(&self.shared.signals);
        let key = lock(&self.shared.budget).open(self.now_ms());
        signals.insert(key, Arc::clone(&signal));
        CallerConnection {
            connections: self.clone(),
            key,
            signal,
            memory: Mutex::new(memory),
        }
    }

    /// Tells the connection that makes least progress to close. Returns `false` if none may be closed.
    pub fn relieve(&self, shortage: Shortage) -> bool {
        let now_ms = self.now_ms();
        let closing = lock(&self.shared.budget).choose(shortage, now_ms);
        closing.inspect(|closing| self.signal(*closing)).is_some()
    }

    /// Calls `reserve` until it succeeds, and closes other connections in between. Returns `false` if
    /// none may be closed any more.
    pub async fn reserve_body(&self, mut reserve: impl FnMut() -> bool) -> bool {
        for _ in 0..MAX_RELIEF_TRIES {
            if reserve() {
                return true;
            }
            if !self.relieve_and_wait(Shortage::BodyMemory).await {
                return false;
            }
        }
        reserve()
    }

    /// Tells the connection that makes least progress to close, and waits for memory that is released.
    /// Returns `false` if none may be closed.
    async fn relieve_and_wait(&self, shortage: Shortage) -> bool {
        let released = self.shared.memory.released();
        let is_relieved = self.relieve(shortage);
        if is_relieved {
            // The next try shows whether it was enough.
            let _ = timeout(RELEASE_TIMEOUT, released).await;
        }
        is_relieved
    }

    fn signal(&self, closing: Closing) {
        self.shared.closed.record(closing.reason);
        if let Some(signal) = lock(&self.shared.signals).get(&closing.key) {
            let _ = signal.reason.set(closing.reason);
            signal.notify.notify_waiters();
        }
    }

    /// Closes the connections whose callers take too long, for as long as the process runs, and logs at
    /// most once a second what was closed. `report` is called after each check.
    pub async fn check(self, timeouts: impl Fn() -> Timeouts, report: impl Fn()) {
        let mut checked_ms = self.now_ms();
        let mut logged_ms = checked_ms;
        let mut logged = String::new();
        loop {
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let now_ms = self.now_ms();
            let late_ms = (now_ms - checked_ms).saturating_sub(CHECK_INTERVAL_MS);
            checked_ms = now_ms;
            let overdue = {
                let mut budget = lock(&self.shared.budget);
                if late_ms >= MIN_PAUSE_MS {
                    budget.exclude_pause(late_ms, now_ms);
                }
                budget.overdue(timeouts(), now_ms)
            };
            for closing in overdue {
                self.signal(closing);
            }
            report();
            if now_ms - logged_ms >= LOG_INTERVAL_MS {
                let fields = self.shared.closed.fields();
                if !logged.is_empty() && fields != logged {
                    let open = self.count();
                    log::write(Event::ConnectionsClosed, &format!("open={open} {fields}"));
                }
                logged = fields;
                logged_ms = now_ms;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// An open connection of a caller; dropping it releases its place and its memory.
#[derive(Debug)]
pub struct CallerConnection {
    connections: Connections,
    key: ConnectionKey,
    signal: Arc<CloseSignal>,
    memory: Mutex<MemoryGuard>,
}

impl CallerConnection {
    /// Returns the reason once the connection has to be closed.
    pub async fn closing(&self) -> CloseReason {
        loop {
            let notified = self.signal.notify.notified();
            if let Some(reason) = self.signal.reason.get() {
                return *reason;
            }
            notified.await;
        }
    }

    /// Begins a request, whose body arrives next. Other connections may be closed for it. Returns `false`
    /// if there is no room for it.
    pub async fn begin_request(&self) -> bool {
        self.set_phase(Phase::Body);
        self.make_room(0, RECEIVING_BYTES).await
    }

    /// Begins to run a request that has arrived completely. Other connections may be closed for it.
    /// Returns `false` if there is no room for it.
    pub async fn run_request(&self) -> bool {
        let has_room = self.make_room(1, REQUEST_BYTES).await;
        if has_room {
            self.set_phase(Phase::Running);
        }
        has_room
    }

    /// Reserves memory for a request, and closes other connections until there is enough of it and
    /// `descriptors` are free. Returns `false` if there is no room.
    async fn make_room(&self, descriptors: usize, request_bytes: usize) -> bool {
        let shared = &self.connections.shared;
        for _ in 0..=MAX_RELIEF_TRIES {
            let has_descriptors = lock(&shared.budget).has_room(descriptors);
            let needed_bytes = RESERVED_CONNECTION_BYTES + request_bytes;
            let shortage = if descriptors > 0 && !has_descriptors {
                Shortage::Descriptors
            } else if !lock(&self.memory).resize(needed_bytes) {
                Shortage::ConnectionMemory
            } else {
                return true;
            };
            if !self.connections.relieve_and_wait(shortage).await {
                return false;
            }
        }
        false
    }

    /// Ends a request.
    pub fn end_request(&self) {
        // A smaller size is always granted.
        let _ = lock(&self.memory).resize(RESERVED_CONNECTION_BYTES);
        self.set_held(0);
        self.set_phase(Phase::Idle);
    }

    /// Whether the head of a request is arriving.
    pub fn is_receiving_head(&self) -> bool {
        lock(&self.connections.shared.budget).phase(self.key) == Some(Phase::Head)
    }

    /// Whether the body of a request is arriving.
    pub fn is_receiving_body(&self) -> bool {
        lock(&self.connections.shared.budget).phase(self.key) == Some(Phase::Body)
    }

    /// Records the size of the body or the response that the connection holds.
    pub fn set_held(&self, bytes: usize) {
        let mut budget = lock(&self.connections.shared.budget);
        budget.set_held(self.key, bytes);
    }

    /// Records bytes that the caller has sent.
    pub fn record_received(&self, bytes: usize) {
        let now_ms = self.connections.now_ms();
        let mut budget = lock(&self.connections.shared.budget);
        budget.record_received(self.key, bytes, now_ms);
    }

    /// Records whether the caller has just taken bytes, or takes none although there are some for it.
    pub fn record_sent(&self, is_taken: bool) {
        let now_ms = self.connections.now_ms();
        let mut budget = lock(&self.connections.shared.budget);
        budget.record_sent(self.key, is_taken, now_ms);
    }

    /// As [`Connections::relieve`].
    pub fn relieve(&self, shortage: Shortage) -> bool {
        self.connections.relieve(shortage)
    }

    /// As [`Connections::reserve_body`].
    pub async fn reserve_body(&self, reserve: impl FnMut() -> bool) -> bool {
        self.connections.reserve_body(reserve).await
    }

    fn set_phase(&self, phase: Phase) {
        let now_ms = self.connections.now_ms();
        let mut budget = lock(&self.connections.shared.budget);
        budget.set_phase(self.key, phase, now_ms);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let shared = &self.connections.shared;
        lock(&shared.budget).close(self.key);
        lock(&shared.signals).swap_remove(&self.key);
    }
}

/// Returns the code of a request that is refused because its connection closes while its body arrives.
pub fn refusal_code(reason: CloseReason) -> Code {
    match reason {
        CloseReason::HeadTimeout | CloseReason::BodyTimeout => Code::BodyTimeout,
        CloseReason::Descriptors | CloseReason::Memory | CloseReason::UnreadResponse => {
            Code::Overloaded
        }
    }
}

/// Locks state that is held only briefly.
fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
