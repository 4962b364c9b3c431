//! Proof that a configuration is recent enough to rely on its API keys.
//!
//! A key that was withdrawn must not be accepted for longer than a bound, also by a host that cannot
//! reach the store: a store that serves others while it refuses this host may have acknowledged the
//! withdrawal. A host therefore needs proof of how recently its configuration was the newest one. The
//! proof is a time on its own clock, which must also advance while the host is suspended.
//!
//! ```
//! use yuccacove::recency::Recency;
//!
//! let mut recency = Recency::new(4_000);
//! assert!(!recency.is_proven(0));
//! recency.record_proof(1_000);
//! assert!(recency.is_proven(4_000));
//! assert!(!recency.is_proven(4_001));
//! ```

/// Share of the bound for which a proof is relied on. The rest covers a watch that misses changes for
/// up to a second while the store drops its history.
const RELIED_ON_SHARE: f64 = 0.75;

/// The latest proof that a host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recency {
    limit_ms: u64,
    proven_ms: Option<u64>,
}

impl Recency {
    /// Creates the state of a host without proof, where a withdrawn key is accepted for at most
    /// `bound_ms`.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            limit_ms: (bound_ms as f64 * RELIED_ON_SHARE) as u64,
            proven_ms: None,
        }
    }

    /// Records that the configuration was the newest one at `as_of_ms`.
    pub fn record_proof(&mut self, as_of_ms: u64) {
        self.proven_ms = self.proven_ms.max(Some(as_of_ms));
    }

    /// Returns the age of the latest proof; `None` if there is none that can be relied on.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.proven_ms?);
        (age_ms <= self.limit_ms).then_some(age_ms)
    }

    /// Whether API keys may be accepted at `now_ms`.
    pub fn is_proven(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some()
    }

    /// Whether a new proof should be obtained without delay, because the latest one is missing or
    /// has used up half of its time.
    pub fn is_urgent(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_none_or(|age_ms| age_ms > self.limit_ms / 2)
    }
}
