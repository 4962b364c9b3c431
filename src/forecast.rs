//! Admission by forecast latency: whether a generation is started, held or refused.
//!
//! In a burst beyond the capacity of the engines, all requests wait in the engines' queues and miss
//! their targets, and so do the requests that arrive after them. Refusing requests that would miss
//! their target keeps the queues short, so that the engines serve the others in time; the refused
//! callers retry after the burst. Long prompts with a distant target would still fill the prefill
//! queues up to that target, so that more urgent requests would be refused. They are held while the
//! prefill queue is longer than the more urgent requests can tolerate.
//!
//! ```
//! use yuccacove::forecast::{Decision, Forecast};
//!
//! let mut forecast = Forecast {
//!     first_token_ms: 80.0,
//!     elapsed_ms: 0,
//!     left_ms: 8_000,
//!     target_ms: 250,
//!     urgency: 0,
//!     decode_utilisation: 0.5,
//!     prefill_queue_ms: 60.0,
//!     urgent_target_ms: None,
//! };
//! assert_eq!(forecast.decide(0), Decision::Admit);
//! forecast.first_token_ms = 1_800.0;
//! assert!(matches!(forecast.decide(0), Decision::Refuse { .. }));
//! ```

/// Ratio of the forecast time to the target above which a request is refused. Forecasts are often
/// too long by half, but with a limit above the target all requests that start during a long burst
/// are slightly late.
const REFUSE_TARGET_FACTOR: f64 = 1.0;
/// Time to the first token up to which no request is refused for missing its target, however short
/// the target is.
const NEVER_REFUSED_MS: f64 = 200.0;
/// Longest time for which a request is held, as a multiple of its target. The longer of this limit
/// and the one by [`MAX_HOLD_DEADLINE_SHARE`] applies.
const MAX_HOLD_TARGET_FACTOR: f64 = 1.5;
/// Longest time for which a request is held, as a share of its deadline. A request that has already
/// missed its target may as well wait until a burst of more urgent requests has passed.
const MAX_HOLD_DEADLINE_SHARE: f64 = 0.5;
/// Share of the target of more urgent requests that the prompts queued before them may take up.
const MAX_QUEUE_TARGET_SHARE: f64 = 0.35;
/// Longest retry delay of a refused caller, as a share of the time remaining until its deadline.
const MAX_RETRY_DEADLINE_SHARE: f64 = 0.3;
/// Range over which the retry delays of refused callers are spread, as a multiple of the forecast.
const RETRY_SPREAD: f64 = 1.0;

/// Forecast for a generation that has not been started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Forecast time from now until the first token.
    pub first_token_ms: f64,
    /// Time since the request was received.
    pub elapsed_ms: u64,
    /// Time remaining until the caller's deadline.
    pub left_ms: u64,
    /// Target time from the receipt of the request to the first token.
    pub target_ms: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Share of its capacity that the engine chosen for decode has in use, from 0 to 1.
    pub decode_utilisation: f64,
    /// Work queued at the engine chosen for prefill, in milliseconds.
    pub prefill_queue_ms: f64,
    /// Shortest target of the more urgent requests that use the same prefill engines; `None` if
    /// there are none.
    pub urgent_target_ms: Option<u64>,
}

/// Decision about a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The generation is started.
    Admit,
    /// The generation waits, because the remaining capacity is reserved for more urgent requests.
    Hold,
    /// The generation is refused; the caller may retry.
    Refuse {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

impl Forecast {
    /// Returns the longest time for which a request is held.
    pub fn max_hold_ms(&self) -> u64 {
        let by_target_ms = self.target_ms as f64 * MAX_HOLD_TARGET_FACTOR;
        let by_deadline_ms = (self.elapsed_ms + self.left_ms) as f64 * MAX_HOLD_DEADLINE_SHARE;
        by_target_ms.max(by_deadline_ms) as u64
    }

    /// Whether the queued prompts would make more urgent requests late. Engines prefill prompts in
    /// the order of arrival, so the queue has to stay short for more urgent requests that arrive
    /// later.
    fn delays_more_urgent(&self) -> bool {
        let queue_ms = |target_ms: u64| target_ms as f64 * MAX_QUEUE_TARGET_SHARE;
        self.urgent_target_ms
            .is_some_and(|target_ms| self.prefill_queue_ms > queue_ms(target_ms))
    }

    /// Whether the remaining capacity is reserved for more urgent requests.
    pub fn is_crowded(&self) -> bool {
        self.decode_utilisation > max_utilisation(self.urgency) || self.delays_more_urgent()
    }

    /// Returns the prefill queue that does not make other requests late, neither more urgent ones
    /// nor those of the same kind.
    pub fn tolerated_queue_ms(&self) -> f64 {
        let own_ms = self.target_ms.max(NEVER_REFUSED_MS as u64);
        let shortest_ms = self
            .urgent_target_ms
            .map_or(own_ms, |urgent| urgent.min(own_ms));
        shortest_ms as f64 * MAX_QUEUE_TARGET_SHARE
    }

    /// Whether the target is missed if the generation starts now. `spent_ms` is the time that the
    /// caller spent on earlier tries.
    pub fn is_late(&self, spent_ms: u64) -> bool {
        let total_ms = self.first_token_ms + (self.elapsed_ms + spent_ms) as f64;
        total_ms > (self.target_ms as f64 * REFUSE_TARGET_FACTOR).max(NEVER_REFUSED_MS)
    }

    /// Decides by the forecast alone whether the generation is started, held or refused. It is the
    /// decision that [`crate::overload`] is compared with. `random` is any random number;
    /// it spreads the retries of refused callers.
    pub fn decide(&self, random: u64) -> Decision {
        if self.is_crowded() && self.elapsed_ms < self.max_hold_ms() {
            return Decision::Hold;
        }
        let total_ms = self.first_token_ms + self.elapsed_ms as f64;
        let limit_ms = (self.target_ms as f64 * REFUSE_TARGET_FACTOR).max(NEVER_REFUSED_MS);
        // A request that was held for the maximum time is not refused for missing its target, which
        // it missed in favour of more urgent requests.
        let is_in_time = total_ms <= limit_ms || self.elapsed_ms >= self.max_hold_ms();
        if is_in_time && self.first_token_ms <= self.left_ms as f64 {
            return Decision::Admit;
        }
        let spread = 1.0 + RETRY_SPREAD * (random % 1_000) as f64 / 1_000.0;
        let latest_ms = self.left_ms as f64 * MAX_RETRY_DEADLINE_SHARE;
        let retry_after_ms = (self.first_token_ms * spread).min(latest_ms);
        Decision::Refuse {
            retry_after_ms: retry_after_ms as u64,
        }
    }
}

/// Utilisation of a decode engine above which requests of a rank are held, so that the remaining
/// capacity is available to more urgent requests.
fn max_utilisation(urgency: u8) -> f64 {
    match urgency {
        0 => f64::INFINITY,
        1 => 0.95,
        _ => 0.75,
    }
}
