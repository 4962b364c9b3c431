//! Runs a small fleet of real processes on loopback, for the whole-system tests.
//!
//! Each test has its own ports and folder, so that tests can run side by side.

mod call;
mod fleet;
mod process;

pub use call::{CallResponse, Caller, ChatStream};
pub use fleet::{Fleet, FleetSize, MODEL, VERSION, fault};
pub use process::Process;

use std::time::{Duration, Instant};

/// Bound on a wait for a condition; the longest wait by design is the 30 s that a successor waits
/// before new orders to an engine that does not check fencing numbers. It only ends a test that has failed already; no verdict depends
/// on how long a condition takes within it.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Pause between two looks at a condition.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// Waits until `condition` gives a value.
///
/// # Panics
///
/// When it gives none within 120 s.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(started.elapsed() < WAIT_LIMIT, "waited in vain for {what}");
        std::thread::sleep(WAIT_STEP);
    }
}
