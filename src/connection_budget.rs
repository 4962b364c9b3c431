//! Limits the connections of callers, and decides which of them are closed first.
//!
//! A caller that sends nothing, sends slowly or does not read what it is sent occupies a descriptor and
//! memory. When one of them runs short, the connections that make least progress for what they hold are
//! closed, so that other callers are still served. Requests that wait for a backend are never chosen.
//!
//! ```
//! use yuccacove::connection_budget::{ConnectionBudget, Phase, Shortage};
//!
//! let mut budget = ConnectionBudget::new(3);
//! let silent = budget.open(0);
//! let busy = budget.open(100);
//! budget.set_phase(busy, Phase::Running, 200);
//! // The request in progress may need a connection to a backend, so that it counts twice.
//! assert!(!budget.has_room(1));
//! let closing = budget.choose(Shortage::Descriptors, 300).expect("a connection to close");
//! assert_eq!(closing.key, silent);
//! budget.close(silent);
//! assert!(budget.has_room(1));
//! ```

use indexmap::IndexMap;

/// Time without progress after which a connection with a body or a response may be closed for its
/// memory or its descriptor. Below it, a caller on a slow link can't be told from one that has stalled.
const MIN_STALL_MS: u64 = 1_000;
/// Part of a body that must arrive for its caller to make progress. Single bytes are none, because a
/// caller could hold a body for days with them.
const BODY_STEP_BYTES: usize = 1_024;
/// Memory that each connection holds, beside its body and its response, for comparisons.
const COMPARED_CONNECTION_BYTES: usize = 16 * 1_024;

/// Identifies an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionKey(u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives the head of a request.
    Head,
    /// Receives the body of a request.
    Body,
    /// Has received a request, whose response is not complete yet.
    Running,
}

/// What runs short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// Descriptors.
    Descriptors,
    /// Memory for connections.
    ConnectionMemory,
    /// Memory for bodies of requests and responses.
    BodyMemory,
}

/// Why a connection is closed by this side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// Another connection needs its descriptor.
    Descriptors,
    /// Another request needs its memory.
    Memory,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// The body of a request made no progress in time.
    BodyTimeout,
    /// The caller did not read its response in time.
    UnreadResponse,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Descriptors,
        Self::Memory,
        Self::HeadTimeout,
        Self::BodyTimeout,
        Self::UnreadResponse,
    ];

    /// The name in snake case, for metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Descriptors => "descriptors",
            Self::Memory => "memory",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::UnreadResponse => "unread_response",
        }
    }
}

/// A connection to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closing {
    /// The connection.
    pub key: ConnectionKey,
    /// Why it is closed.
    pub reason: CloseReason,
}

/// Longest times that callers may take.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time from the first byte of a head to its end, in milliseconds.
    pub head_ms: u64,
    /// Time without progress of a body or a response, in milliseconds.
    pub progress_ms: u64,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// Start of the phase, or the latest progress of a body.
    since_ms: u64,
    /// Bytes of a body since `since_ms`.
    step_bytes: usize,
    /// Since when the caller has taken no byte of what is to be sent to it.
    unread_since_ms: Option<u64>,
    /// Memory of the body or the response.
    held_bytes: usize,
    /// Whether it has carried a complete request.
    has_served: bool,
    is_closing: bool,
}

impl Connection {
    /// Returns the time for which the caller, and not a backend, has made no progress.
    fn stalled_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = match (self.unread_since_ms, self.phase) {
            (Some(unread_since_ms), _) => unread_since_ms,
            (None, Phase::Idle | Phase::Head | Phase::Body) => self.since_ms,
            (None, Phase::Running) => return None,
        };
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Whether the connection holds a body or a response, and not only a place for a request.
    fn has_content(&self) -> bool {
        self.phase == Phase::Body || self.unread_since_ms.is_some()
    }

    /// Rank for closing; the greatest goes first. `None` if the connection must stay open.
    fn rank(&self, shortage: Shortage, now_ms: u64) -> Option<(bool, u64)> {
        let stalled_ms = self.stalled_ms(now_ms).filter(|_| !self.is_closing)?;
        let is_stalled = !self.has_content() || stalled_ms >= MIN_STALL_MS;
        match shortage {
            Shortage::Descriptors | Shortage::ConnectionMemory if is_stalled => {
                // An idle connection that has served is likely to be used again.
                let is_unused = !self.has_served || self.phase != Phase::Idle;
                Some((is_unused, stalled_ms))
            }
            Shortage::BodyMemory if is_stalled && self.has_content() => {
                let bytes = (COMPARED_CONNECTION_BYTES + self.held_bytes) as u64;
                Some((true, bytes.saturating_mul(stalled_ms)))
            }
            _ => None,
        }
    }

    /// Returns why the connection has to be closed regardless of any shortage.
    fn overdue(&self, timeouts: Timeouts, now_ms: u64) -> Option<CloseReason> {
        let stalled_ms = self.stalled_ms(now_ms).filter(|_| !self.is_closing)?;
        let (limit_ms, reason) = match (self.unread_since_ms, self.phase) {
            (Some(_), _) => (timeouts.progress_ms, CloseReason::UnreadResponse),
            (None, Phase::Head) => (timeouts.head_ms, CloseReason::HeadTimeout),
            (None, Phase::Body) => (timeouts.progress_ms, CloseReason::BodyTimeout),
            (None, Phase::Idle | Phase::Running) => return None,
        };
        (stalled_ms > limit_ms).then_some(reason)
    }
}

/// Open connections of callers, within a limit of descriptors.
#[derive(Debug)]
pub struct ConnectionBudget {
    max_descriptors: usize,
    connections: IndexMap<ConnectionKey, Connection>,
    running: usize,
    next_key: u64,
}

impl ConnectionBudget {
    /// Creates the budget of a process whose callers, with the backend connections of their requests,
    /// may use `max_descriptors`.
    pub fn new(max_descriptors: usize) -> Self {
        Self {
            max_descriptors,
            connections: IndexMap::new(),
            running: 0,
            next_key: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Whether `descriptors` more may be used. Each connection uses one, and one more while its request
    /// is running.
    pub fn has_room(&self, descriptors: usize) -> bool {
        self.connections.len() + self.running + descriptors <= self.max_descriptors
    }

    /// Adds an idle connection.
    pub fn open(&mut self, now_ms: u64) -> ConnectionKey {
        let key = ConnectionKey(self.next_key);
        self.next_key += 1;
        let connection = Connection {
            phase: Phase::Idle,
            since_ms: now_ms,
            step_bytes: 0,
            unread_since_ms: None,
            held_bytes: 0,
            has_served: false,
            is_closing: false,
        };
        self.connections.insert(key, connection);
        key
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        let closed = self.connections.swap_remove(&key);
        if closed.is_some_and(|connection| connection.phase == Phase::Running) {
            self.running -= 1;
        }
    }

    /// Returns the phase of a connection, if it is open.
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections
            .get(&key)
            .map(|connection| connection.phase)
    }

    /// Changes the phase of a connection.
    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut connection.phase, phase);
        connection.since_ms = now_ms;
        connection.step_bytes = 0;
        if before == Phase::Running {
            connection.has_served = true;
            self.running -= 1;
        }
        if phase == Phase::Running {
            self.running += 1;
        }
    }

    /// Records the size of the body or the response that a connection holds.
    pub fn set_held(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.held_bytes = bytes;
        }
    }

    /// Records bytes that a caller has sent.
    pub fn record_received(&mut self, key: ConnectionKey, bytes: usize, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        match connection.phase {
            Phase::Idle => {
                connection.phase = Phase::Head;
                connection.since_ms = now_ms;
            }
            Phase::Body => {
                connection.step_bytes += bytes;
                if connection.step_bytes >= BODY_STEP_BYTES {
                    connection.step_bytes = 0;
                    connection.since_ms = now_ms;
                }
            }
            Phase::Head | Phase::Running => {}
        }
    }

    /// Records whether a caller has just taken bytes, or takes none although there are some for it.
    pub fn record_sent(&mut self, key: ConnectionKey, is_taken: bool, now_ms: u64) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if is_taken {
            connection.unread_since_ms = None;
        } else {
            connection.unread_since_ms.get_or_insert(now_ms);
        }
    }

    /// Chooses the connection to close first, if any may be closed.
    pub fn choose(&mut self, shortage: Shortage, now_ms: u64) -> Option<Closing> {
        let ranked = self.connections.iter_mut().filter_map(|(key, connection)| {
            let rank = connection.rank(shortage, now_ms)?;
            Some((rank, *key, connection))
        });
        let (_, key, connection) = ranked.max_by_key(|(rank, ..)| *rank)?;
        connection.is_closing = true;
        let reason = match shortage {
            Shortage::Descriptors => CloseReason::Descriptors,
            Shortage::ConnectionMemory | Shortage::BodyMemory => CloseReason::Memory,
        };
        Some(Closing { key, reason })
    }

    /// Returns the connections whose callers have taken too long.
    pub fn overdue(&mut self, timeouts: Timeouts, now_ms: u64) -> Vec<Closing> {
        let mut closing = Vec::new();
        for (key, connection) in &mut self.connections {
            if let Some(reason) = connection.overdue(timeouts, now_ms) {
                connection.is_closing = true;
                closing.push(Closing { key: *key, reason });
            }
        }
        closing
    }

    /// Excludes a time in which this process did not run, so that callers are not charged for it.
    pub fn exclude_pause(&mut self, pause_ms: u64, now_ms: u64) {
        for connection in self.connections.values_mut() {
            connection.since_ms = (connection.since_ms + pause_ms).min(now_ms);
            if let Some(unread_since_ms) = &mut connection.unread_since_ms {
                *unread_since_ms = (*unread_since_ms + pause_ms).min(now_ms);
            }
        }
    }
}
