//! Clock of a host that also advances while the host is suspended.

use std::fmt;

use tokio::time::Instant;

/// Clock that proofs and leases are measured with. Tokio's clock stops while the host is suspended, so
/// that knowledge from before the suspension would seem to be recent.
pub struct BootClock(Box<dyn Fn() -> u64>);

impl BootClock {
    /// Creates a clock that reads milliseconds from `read`.
    pub fn new(read: impl Fn() -> u64 + 'static) -> Self {
        Self(Box::new(read))
    }

    /// Returns the time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        (self.0)()
    }
}

impl Default for BootClock {
    /// Creates a clock that reads Tokio's time, for tests in virtual time.
    fn default() -> Self {
        let started = Instant::now();
        Self::new(move || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Debug for BootClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BootClock({} ms)", self.now_ms())
    }
}
