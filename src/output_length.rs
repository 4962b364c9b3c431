//! Expected output length of generations, learned from the lengths of earlier ones.
//!
//! Callers state a maximum, which may be far from the length that is generated.
//!
//! ```
//! use yuccacove::output_length::OutputLength;
//!
//! let mut length = OutputLength::default();
//! assert_eq!(length.expected_tokens(1_000), 1_000.0);
//! for _ in 0..50 {
//!     length.record(1_000, 100);
//! }
//! assert!(length.expected_tokens(1_000) < 150.0);
//! ```

/// Weight of one generation in the learned values.
const WEIGHT: f64 = 0.1;

/// Ratio of generated tokens to the stated maximum, over the recent generations of a kind.
#[derive(Debug, Clone, Copy)]
pub struct OutputLength {
    mean: f64,
    deviation: f64,
}

impl Default for OutputLength {
    fn default() -> Self {
        Self {
            mean: 1.0,
            deviation: 0.0,
        }
    }
}

impl OutputLength {
    /// Records a generation that ended after `tokens` of at most `max_tokens`.
    pub fn record(&mut self, max_tokens: u32, tokens: u32) {
        let ratio = f64::from(tokens.min(max_tokens)) / f64::from(max_tokens.max(1));
        let difference = ratio - self.mean;
        self.mean += WEIGHT * difference;
        self.deviation += WEIGHT * (difference.abs() - self.deviation);
    }

    /// Returns the length to reckon with: the mean and its mean deviation, at most the maximum.
    pub fn expected_tokens(&self, max_tokens: u32) -> f64 {
        f64::from(max_tokens) * (self.mean + self.deviation).min(1.0)
    }
}
