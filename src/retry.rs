//! Whether a failed attempt is repeated on another back end, and how a request ends otherwise.
//!
//! ```
//! use yuccacove::catalogue::Class;
//! use yuccacove::retry::{Attempts, Budget, Failure, Decision};
//!
//! let mut budget = Budget::default();
//! let mut attempts = Attempts::new(Class::Read, 10_000);
//! budget.record_request();
//! assert_eq!(attempts.failed(Failure::Broken, &mut budget, 0), Decision::Retry { after_ms: 0 });
//! ```

use crate::catalogue::Class;
use crate::code::Code;

/// Retries for each request, on the average of a host.
pub const BUDGET_SHARE: f64 = 0.1;

/// Retries that a host may save up, so that the loss of one engine's batch can be absorbed.
const BUDGET_BURST: f64 = 64.0;

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Wait before the second retry; the first goes out at once, as it goes to another back end.
const BACKOFF_MS: u64 = 50;

/// Token bucket of a host's retries.
#[derive(Debug)]
pub struct Budget {
    retries: f64,
    share: f64,
    burst: f64,
}

impl Default for Budget {
    /// A full bucket: a new host may retry the requests that come over from a failed one.
    fn default() -> Self {
        Self::new(BUDGET_SHARE, BUDGET_BURST)
    }
}

impl Budget {
    /// A full bucket of `burst` retries, to which each request adds `share` of one.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            retries: burst,
            share,
            burst,
        }
    }

    /// Changes the size of the bucket, as when the number of hosts that share a budget changes.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.retries = self.retries.min(burst);
    }

    /// Records a new request, which earns a part of a retry.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + self.share).min(self.burst);
    }

    /// Takes one retry if there is one.
    pub fn try_acquire(&mut self) -> bool {
        let has_one = self.retries >= 1.0;
        if has_one {
            self.retries -= 1.0;
        }
        has_one
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened, and no byte was sent.
    Unreachable,
    /// The back end answered that it ran nothing, such as an engine with another version.
    Refused,
    /// The back end answered with an error.
    Failed,
    /// The connection broke before the answer was whole.
    Broken,
    /// The connection made no progress and was retired.
    Silent,
    /// The answer belonged to another request.
    Crossed,
}

impl Failure {
    /// Whether a back end may have run the request.
    fn may_have_run(self) -> bool {
        match self {
            Self::Unreachable | Self::Refused => false,
            Self::Failed | Self::Broken | Self::Silent | Self::Crossed => true,
        }
    }

    /// Whether the failure counts against the back end's health.
    pub fn is_fault(self) -> bool {
        !matches!(self, Self::Refused)
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Another attempt, on a back end that has not failed the request and is not ejected.
    Retry {
        /// Time to wait first.
        after_ms: u64,
    },
    /// The request ends with this code.
    End(Code),
}

/// Attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    class: Class,
    deadline_ms: u64,
    failed: u32,
    may_have_run: bool,
    streamed: bool,
}

impl Attempts {
    /// A request that has not failed yet and may take until `deadline_ms`.
    pub fn new(class: Class, deadline_ms: u64) -> Self {
        Self {
            class,
            deadline_ms,
            failed: 0,
            may_have_run: false,
            streamed: false,
        }
    }

    /// Records that a part of the answer went to the caller.
    pub fn streamed(&mut self) {
        self.streamed = true;
        self.may_have_run = true;
    }

    /// Decides what follows a failed attempt. The code of an end never states `not_run` when an
    /// earlier attempt may have run.
    pub fn failed(&mut self, failure: Failure, budget: &mut Budget, now_ms: u64) -> Decision {
        self.failed += 1;
        self.may_have_run |= failure.may_have_run();
        let after_ms = match self.failed {
            0 | 1 => 0,
            later => BACKOFF_MS << (later - 2).min(8),
        };
        let has_time = now_ms + after_ms < self.deadline_ms;
        let may_retry = self.class != Class::Order && self.failed < MAX_ATTEMPTS && has_time;
        if may_retry && budget.try_acquire() {
            return Decision::Retry { after_ms };
        }
        Decision::End(self.end_code(failure, now_ms >= self.deadline_ms))
    }

    fn end_code(&self, failure: Failure, is_late: bool) -> Code {
        if !self.may_have_run {
            return match failure {
                Failure::Unreachable => Code::BackendUnreachable,
                _ => Code::NoBackend,
            };
        }
        if self.class == Class::Order {
            // An error that the server itself reports is the one failure with a known outcome.
            return match failure {
                Failure::Failed => Code::BackendFailed,
                _ => Code::OutcomeUnknown,
            };
        }
        match failure {
            _ if self.streamed => Code::AnswerIncomplete,
            _ if is_late => Code::DeadlineExceeded,
            Failure::Failed => Code::BackendFailed,
            _ => Code::OutcomeUnknown,
        }
    }
}
