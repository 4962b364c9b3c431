//! Passive health checking: the health of a backend, derived from the outcome of its requests.
//!
//! A backend that fails some of its requests stays in use, but its failure rate raises its cost in
//! the choice of a backend. A backend that cannot be reached is avoided for a time that doubles
//! with each consecutive failure.
//!
//! ```
//! use yuccacove::passive_health::PassiveHealth;
//!
//! let mut health = PassiveHealth::default();
//! health.record_unreachable(1_000);
//! assert!(health.is_avoided(1_200));
//! assert!(!health.is_avoided(1_500));
//! health.record_response(true);
//! assert!(!health.is_avoided(1_000));
//! ```

/// Weight of the latest request in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.12;
/// Time for which a backend is avoided after its first consecutive failure to connect.
const MIN_AVOID_MS: u64 = 400;
/// Longest time for which a backend is avoided.
const MAX_AVOID_MS: u64 = 3_200;

/// Health of one backend.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PassiveHealth {
    failure_rate: f64,
    consecutive_unreachable: u32,
    avoid_until_ms: u64,
}

impl PassiveHealth {
    /// Records that the backend responded. `is_success` tells whether the request succeeded.
    pub fn record_response(&mut self, is_success: bool) {
        self.consecutive_unreachable = 0;
        self.avoid_until_ms = 0;
        self.record_sample(!is_success);
    }

    /// Records that the connection broke during a request.
    pub fn record_broken_connection(&mut self) {
        self.record_sample(true);
    }

    /// Records that no connection could be opened, or that a connection stopped responding.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        let doublings = self.consecutive_unreachable.min(8);
        self.consecutive_unreachable += 1;
        self.avoid_until_ms = now_ms + (MIN_AVOID_MS << doublings).min(MAX_AVOID_MS);
        self.record_sample(true);
    }

    /// Whether the backend should not be used while others are available.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Moving average of the share of failed requests, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record_sample(&mut self, is_failure: bool) {
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (value - self.failure_rate);
    }
}
