//! Whether a generation is started, or refused because of its forecast.
//!
//! The load that this answers is a burst beyond what the engines can take. When all requests of a
//! burst wait in the engines' queues, all of them miss their target, and so do those that come after
//! it. Refusing what would miss its target keeps the queues short, so that the engines serve others
//! in time; the refused callers come back when the burst has passed. Long prompts with a distant target
//! would still fill the queues of reading up to that target, and more urgent ones would be refused for
//! it. They are held while the queue is longer than those could bear.
//!
//! ```
//! use yuccacove::forecast::{Forecast, Decision};
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

/// Multiple of the target beyond which a request is refused. Forecasts are often too long by half.
const REFUSE_FACTOR: f64 = 1.0;
/// Shortest forecast for which a request is refused.
const MIN_REFUSE_MS: f64 = 200.0;
/// Multiple of its target for which a less urgent request may be held in any case.
const MAX_HOLD_FACTOR: f64 = 1.5;
/// Part of its caller's time for which it may be held if that is longer. Once it is late, it may as
/// well let a burst of more urgent ones pass.
const MAX_HOLD_DEADLINE_SHARE: f64 = 0.5;
/// Part of the target of more urgent requests that the prompts before them may take.
const MAX_QUEUE_SHARE: f64 = 0.35;
/// Part of the time left after which a refused caller comes back at the latest.
const MAX_RETRY_SHARE: f64 = 0.3;
/// Part of the forecast wait by which callers that are refused together come back apart.
const SPREAD: f64 = 1.0;

/// Forecast of a generation that was not started yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Forecast time until the first token.
    pub first_token_ms: f64,
    /// Time since the request was received.
    pub elapsed_ms: u64,
    /// Time that the caller still waits.
    pub left_ms: u64,
    /// Time within which the first token is in time.
    pub target_ms: u64,
    /// Rank, 0 being the most urgent.
    pub urgency: u8,
    /// Part of its room that the engine that is to generate has in use.
    pub decode_utilisation: f64,
    /// Work that the engine that is to read the prompt has before it, in milliseconds.
    pub prefill_queue_ms: f64,
    /// Shortest target of the more urgent requests that the same engines read; `None` without any.
    pub urgent_target_ms: Option<u64>,
}

/// What is done with a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is started.
    Admit,
    /// It waits until engines have more room, which is kept for more urgent requests.
    Hold,
    /// It is refused, and its caller may come back.
    Refuse {
        /// Time after which the caller may come back.
        retry_after_ms: u64,
    },
}

impl Forecast {
    fn max_hold_ms(&self) -> u64 {
        let by_target_ms = self.target_ms as f64 * MAX_HOLD_FACTOR;
        let by_deadline_ms = (self.elapsed_ms + self.left_ms) as f64 * MAX_HOLD_DEADLINE_SHARE;
        by_target_ms.max(by_deadline_ms) as u64
    }

    /// Whether the prompts that wait to be read would make more urgent ones late. Engines read in the
    /// order of arrival, so that the queue has to stay short for those that come next.
    fn delays_more_urgent(&self) -> bool {
        let queue_ms = |target_ms: u64| target_ms as f64 * MAX_QUEUE_SHARE;
        self.urgent_target_ms
            .is_some_and(|target_ms| self.prefill_queue_ms > queue_ms(target_ms))
    }

    /// Decides; `draw` spreads the callers that are refused and may be any number.
    pub fn decide(&self, draw: u64) -> Decision {
        let is_crowded = self.decode_utilisation > room(self.urgency) || self.delays_more_urgent();
        if is_crowded && self.elapsed_ms < self.max_hold_ms() {
            return Decision::Hold;
        }
        let total_ms = self.first_token_ms + self.elapsed_ms as f64;
        let limit_ms = (self.target_ms as f64 * REFUSE_FACTOR).max(MIN_REFUSE_MS);
        // A request that was held has missed its target for the sake of others.
        let is_in_time = total_ms <= limit_ms || self.elapsed_ms >= self.max_hold_ms();
        if is_in_time && self.first_token_ms <= self.left_ms as f64 {
            return Decision::Admit;
        }
        let spread = 1.0 + SPREAD * (draw % 1_000) as f64 / 1_000.0;
        let latest_ms = self.left_ms as f64 * MAX_RETRY_SHARE;
        let retry_after_ms = (self.first_token_ms * spread).min(latest_ms);
        Decision::Refuse {
            retry_after_ms: retry_after_ms as u64,
        }
    }
}

/// Part of an engine's room that requests of a rank may fill.
fn room(urgency: u8) -> f64 {
    match urgency {
        0 => f64::INFINITY,
        1 => 0.95,
        _ => 0.75,
    }
}
