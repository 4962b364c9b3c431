//! Monotonic and wall clocks of this host.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since this host booted. The clock also advances while the host is suspended, so
/// that leases expire during a suspension.
///
/// # Panics
///
/// If the kernel does not support `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    let seconds_ms = time.tv_sec().unsigned_abs() * 1_000;
    seconds_ms + time.tv_nsec().unsigned_abs() / 1_000_000
}

/// Milliseconds since the Unix epoch according to this host's wall clock; 0 if the clock is set
/// before the epoch.
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
