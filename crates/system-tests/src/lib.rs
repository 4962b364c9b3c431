//! Starts a small fleet of real processes on loopback addresses for end-to-end tests.
//!
//! Each test uses its own addresses and directory, so tests can run in parallel.

mod call;
mod fleet;
mod process;

pub use call::{CallResponse, Caller, ChatStream};
pub use fleet::{Fleet, FleetSize, MODEL, VERSION, fault};
pub use process::Process;

use std::time::{Duration, Instant};

/// Timeout of [`wait_for`]. The longest expected wait is 30 s: a new lease holder waits that long
/// before it sends orders to an engine that does not check fencing numbers. The timeout only ends
/// tests that have already failed; no assertion depends on how long a condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which [`wait_for`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `condition` until it returns a value.
///
/// # Panics
///
/// If it returns no value within 120 s.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
