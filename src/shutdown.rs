//! Decides which requests a host still takes during a graceful shutdown, and when it refuses those
//! that it has not sent to a backend yet.
//!
//! ```
//! use yuccacove::shutdown::Shutdown;
//!
//! let mut shutdown = Shutdown::new(8_000);
//! assert!(shutdown.accepts(60_000, 0));
//! shutdown.begin(1_000);
//! // Callers learn of the shutdown with a delay, so that requests come for some time.
//! assert!(shutdown.accepts(60_000, 3_000));
//! assert!(!shutdown.accepts(4_000, 6_000));
//! assert!(shutdown.accepts(500, 6_000));
//! ```

/// Time in ms from the start of a shutdown for which all requests are taken. The platform sends new
/// callers elsewhere only after two failed readiness checks, which are a second apart.
const ACCEPT_MS: u64 = 3_000;
/// How long in ms before the end of the grace period the process exits, even if requests are in
/// flight.
const EXIT_MARGIN_MS: u64 = 400;
/// Time in ms before the exit that a refusal takes to reach its caller.
const REFUSAL_MARGIN_MS: u64 = 400;

/// State of a graceful shutdown. Times are on the host's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    grace_ms: u64,
    begun_ms: Option<u64>,
}

impl Shutdown {
    /// Creates the state of a host that runs, with `grace_ms` from the start of a shutdown to the end
    /// of its process.
    pub fn new(grace_ms: u64) -> Self {
        Self {
            grace_ms,
            begun_ms: None,
        }
    }

    /// Begins the shutdown. A second call changes nothing.
    pub fn begin(&mut self, now_ms: u64) {
        self.begun_ms.get_or_insert(now_ms);
    }

    /// Whether the shutdown has begun.
    pub fn is_begun(&self) -> bool {
        self.begun_ms.is_some()
    }

    /// Whether a request that may take `limit_ms` is taken. A late one is taken only if it ends before
    /// the process does.
    pub fn accepts(&self, limit_ms: u64, now_ms: u64) -> bool {
        let (Some(begun_ms), Some(refusal_ms)) = (self.begun_ms, self.refusal_ms()) else {
            return true;
        };
        now_ms <= begun_ms + ACCEPT_MS || now_ms.saturating_add(limit_ms) <= refusal_ms
    }

    /// Returns the time at which requests that were not sent to a backend yet are refused; `None`
    /// before the shutdown.
    pub fn refusal_ms(&self) -> Option<u64> {
        let exit_ms = self.exit_ms()?;
        Some(exit_ms.saturating_sub(REFUSAL_MARGIN_MS))
    }

    /// Returns the time at which the process exits, even if requests are in flight; `None` before the
    /// shutdown.
    pub fn exit_ms(&self) -> Option<u64> {
        let begun_ms = self.begun_ms?;
        Some(begun_ms + self.grace_ms.saturating_sub(EXIT_MARGIN_MS))
    }
}
