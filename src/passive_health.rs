//! Fitness of back ends as their answers show it, where no health check is sent.
//!
//! A back end that fails part of its requests stays in use with a cost; one that cannot be reached
//! is avoided for a time that doubles with each failure in a row.
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

/// Weight of one more answer in the failure rate.
const RATE_WEIGHT: f64 = 0.12;
/// Time for which a back end is avoided after its first failure in a row.
const FIRST_AVOID_MS: u64 = 400;
/// Longest time for which a back end is avoided.
const MAX_AVOID_MS: u64 = 3_200;

/// What is known of a back end's health.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PassiveHealth {
    failure_rate: f64,
    unreachable_in_a_row: u32,
    avoid_until_ms: u64,
}

impl PassiveHealth {
    /// Records an answer that came, and whether it was a good one.
    pub fn record_response(&mut self, is_good: bool) {
        self.unreachable_in_a_row = 0;
        self.avoid_until_ms = 0;
        self.sample(!is_good);
    }

    /// Records that the connection broke within a request.
    pub fn record_broken_connection(&mut self) {
        self.sample(true);
    }

    /// Records that no connection could be opened, or that one went silent.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        let doublings = self.unreachable_in_a_row.min(8);
        self.unreachable_in_a_row += 1;
        self.avoid_until_ms = now_ms + (FIRST_AVOID_MS << doublings).min(MAX_AVOID_MS);
        self.sample(true);
    }

    /// Whether the back end is to be left out while others are there.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Part of the latest requests that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn sample(&mut self, is_failure: bool) {
        let value = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += RATE_WEIGHT * (value - self.failure_rate);
    }
}
