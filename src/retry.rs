//! Whether a failed attempt is retried on another backend, and the result code of the request if
//! not.
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

/// Ratio of retries to requests that a host may sustain.
pub const RETRY_RATIO: f64 = 0.1;

/// Maximum number of retries in a burst, enough to retry the whole batch of a lost engine.
const RETRY_BURST: f64 = 64.0;

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Delay before the second retry; it doubles with each further one. The first retry has no delay,
/// because it goes to another backend.
const BACKOFF_MS: u64 = 50;

/// Token bucket that limits retries.
#[derive(Debug)]
pub struct Budget {
    retries: f64,
    ratio: f64,
    burst: f64,
}

impl Default for Budget {
    /// Creates a full bucket, so that a host that has just started can retry the requests that it
    /// gets from a failed host.
    fn default() -> Self {
        Self::new(RETRY_RATIO, RETRY_BURST)
    }
}

impl Budget {
    /// Creates a full bucket of `burst` retries. Each request adds `ratio` of a retry.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            retries: burst,
            ratio,
            burst,
        }
    }

    /// Sets the size of the bucket, for example when the number of hosts that share a budget
    /// changes.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.retries = self.retries.min(burst);
    }

    /// Records a new request, which adds a fraction of a retry to the bucket.
    pub fn record_request(&mut self) {
        self.retries = (self.retries + self.ratio).min(self.burst);
    }

    /// Acquires one retry and returns `true`, or returns `false` if the bucket holds less than one.
    pub fn try_acquire(&mut self) -> bool {
        let is_available = self.retries >= 1.0;
        if is_available {
            self.retries -= 1.0;
        }
        is_available
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened, and no byte was sent.
    Unreachable,
    /// The backend answered that it did not run the request, for example an engine with another
    /// model version.
    Refused,
    /// The backend answered with an error.
    Failed,
    /// The connection closed before the response was complete.
    Broken,
    /// The connection made no progress and was closed by this host.
    Silent,
    /// The response belonged to another request.
    Crossed,
}

impl Failure {
    /// Returns whether the backend may have run the request.
    fn may_have_run(self) -> bool {
        match self {
            Self::Unreachable | Self::Refused => false,
            Self::Failed | Self::Broken | Self::Silent | Self::Crossed => true,
        }
    }

    /// Returns whether the failure counts against the backend's health.
    pub fn is_fault(self) -> bool {
        !matches!(self, Self::Refused)
    }
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry on a backend that is not ejected and has not failed this request.
    Retry {
        /// Delay before the retry, in ms.
        after_ms: u64,
    },
    /// The request fails with this result code.
    End(Code),
}

/// State of the attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    class: Class,
    deadline_ms: u64,
    failed: u32,
    may_have_run: bool,
    streamed: bool,
}

impl Attempts {
    /// Creates the state of a request without attempts, whose deadline is at `deadline_ms`.
    pub fn new(class: Class, deadline_ms: u64) -> Self {
        Self {
            class,
            deadline_ms,
            failed: 0,
            may_have_run: false,
            streamed: false,
        }
    }

    /// Records that part of the response was sent to the caller.
    pub fn streamed(&mut self) {
        self.streamed = true;
        self.may_have_run = true;
    }

    /// Records a failed attempt and decides what follows. A result code with the outcome `not_run`
    /// is returned only if no attempt may have run.
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
            // The outcome is known only if the backend itself reports an error.
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
