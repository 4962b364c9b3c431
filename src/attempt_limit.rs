//! To how many back ends one request may be sent, and which sends draw on the shared budget.
//!
//! Reading the prompt on one engine and generating the answer on another is one attempt: the first
//! read that an engine accepts is free. Further reads, and reads that an engine refused, count like
//! runs.
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

/// What a send costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cost {
    /// It belongs to the first attempt.
    Free,
    /// It takes one send from the budget that all hosts share.
    Retry,
}

/// Sends of one request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimit {
    max_attempts: u32,
    attempts: u32,
    has_prefill: bool,
}

impl AttemptLimit {
    /// A request that was not sent yet and may take `max_attempts`.
    pub fn new(max_attempts: u32) -> Self {
        Self {
            max_attempts: max_attempts.max(1),
            attempts: 0,
            has_prefill: false,
        }
    }

    /// What a run costs now; `None` when it is not allowed.
    pub fn attempt_cost(&self) -> Option<Cost> {
        (self.attempts < self.max_attempts).then(|| self.cost())
    }

    /// What reading the prompt on another engine costs now, if a run may still follow.
    pub fn prefill_cost(&self) -> Option<Cost> {
        // A further read would count as one attempt, and the run that follows it as another.
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

    /// Records a run that was sent.
    pub fn attempt_sent(&mut self) {
        self.attempts += 1;
    }

    /// Records a read that was accepted, or whose outcome is unknown.
    pub fn prefill_accepted(&mut self) {
        if self.has_prefill {
            self.attempts += 1;
        }
        self.has_prefill = true;
    }

    /// Records a read that the engine refused.
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
