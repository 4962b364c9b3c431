//! Limit on the attempts of one request, and which of them use the shared retry budget.
//!
//! A remote prefill followed by decode on another engine is one attempt: the first remote prefill
//! that an engine accepts is free. Each further remote prefill, and each one that an engine
//! refuses, counts as an attempt.
//!
//! ```
//! use yuccacove::attempt_limit::{Cost, AttemptLimit};
//!
//! let mut limit = AttemptLimit::new(1);
//! assert_eq!(limit.prefill_cost(), Some(Cost::Free));
//! limit.prefill_accepted();
//! assert_eq!(limit.attempt_cost(), Some(Cost::Free));
//! limit.attempt_sent();
//! assert_eq!(limit.attempt_cost(), None);
//! ```

/// Cost of an attempt or a remote prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cost {
    /// Part of the first attempt.
    Free,
    /// Uses one retry of the budget that all hosts share.
    Retry,
}

/// Attempts of one request, and their limit.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimit {
    max_attempts: u32,
    attempts: u32,
    has_prefill: bool,
}

impl AttemptLimit {
    /// Creates the state of a request that was not sent yet and may use `max_attempts` attempts, at
    /// least one.
    pub fn new(max_attempts: u32) -> Self {
        Self {
            max_attempts: max_attempts.max(1),
            attempts: 0,
            has_prefill: false,
        }
    }

    /// Returns the cost of an attempt now, or `None` if the limit is reached.
    pub fn attempt_cost(&self) -> Option<Cost> {
        (self.attempts < self.max_attempts).then(|| self.cost())
    }

    /// Returns the cost of a remote prefill now, or `None` if no attempt would be left for decode.
    pub fn prefill_cost(&self) -> Option<Cost> {
        // A further prefill counts as one attempt, and the decode that follows it as another.
        let needed = if self.has_prefill { 2 } else { 1 };
        if self.attempts + needed > self.max_attempts {
            return None;
        }
        Some(if self.has_prefill {
            Cost::Retry
        } else {
            self.cost()
        })
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self) {
        self.attempts += 1;
    }

    /// Records a remote prefill that was accepted, or whose outcome is unknown.
    pub fn prefill_accepted(&mut self) {
        if self.has_prefill {
            self.attempts += 1;
        }
        self.has_prefill = true;
    }

    /// Records a remote prefill that the engine refused.
    pub fn prefill_refused(&mut self) {
        self.attempts += 1;
    }

    fn cost(&self) -> Cost {
        if self.attempts == 0 {
            Cost::Free
        } else {
            Cost::Retry
        }
    }
}
