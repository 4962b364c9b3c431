//! Estimated processing rates of engines.

use std::cmp::Ordering;

/// Weight of a rate sample above the estimate. An engine below full load yields samples below its
/// capacity, so high samples are more reliable than low ones.
const RISING_WEIGHT: f64 = 0.2;

/// Weight of a rate sample below the estimate.
const FALLING_WEIGHT: f64 = 0.02;

/// Bounds of the estimate, against samples from requests that were answered immediately or hung.
const RATE_BOUNDS_TOKENS_PER_S: (f64, f64) = (10.0, 1_000_000.0);

/// Estimated rate, stored as its inverse to avoid divisions in each decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    pub(super) ms_per_token: f64,
}

impl Rate {
    pub(super) fn new(tokens_per_s: f64) -> Self {
        Self {
            ms_per_token: 1_000.0 / tokens_per_s,
        }
    }

    pub(super) fn learn(&mut self, sample_per_s: f64) {
        let (low, high) = RATE_BOUNDS_TOKENS_PER_S;
        let estimate_per_s = 1_000.0 / self.ms_per_token;
        let weight = match sample_per_s.total_cmp(&estimate_per_s) {
            Ordering::Greater => RISING_WEIGHT,
            Ordering::Less | Ordering::Equal => FALLING_WEIGHT,
        };
        let per_s = estimate_per_s + (sample_per_s - estimate_per_s) * weight;
        *self = Self::new(per_s.clamp(low, high));
    }
}
