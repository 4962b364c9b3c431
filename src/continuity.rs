//! For how long a host has known all changes without a gap.
//!
//! A host learns now and then that it had all changes up to some time. It was out of step between two such
//! times if they are too far apart: it stood still, or was cut off from those that tell it. What came and went
//! meanwhile it does not know, and so cannot say what was there.
//!
//! ```
//! use yuccacove::continuity::Continuity;
//!
//! let mut known = Continuity::new(2_000);
//! known.confirm(1_000);
//! known.confirm(2_500);
//! assert_eq!(known.lasted_ms(2_600), Some(1_600));
//! assert_eq!(known.lasted_ms(4_600), None, "nothing says that it still knows all");
//! known.confirm(9_000);
//! assert_eq!(known.lasted_ms(9_100), Some(100), "it was out of step");
//! ```

/// Times of confirmations, on a clock that also advances while the host is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Continuity {
    max_gap_ms: u64,
    /// First and latest confirmation since the last gap.
    span: Option<(u64, u64)>,
}

impl Continuity {
    /// Creates the state of a host that knows nothing yet. Confirmations that are further apart than
    /// `max_gap_ms` leave a gap.
    pub fn new(max_gap_ms: u64) -> Self {
        Self {
            max_gap_ms,
            span: None,
        }
    }

    /// Records that the host had all changes up to `as_of_ms`.
    pub fn confirm(&mut self, as_of_ms: u64) {
        self.span = Some(match self.span {
            Some((since_ms, latest_ms)) if as_of_ms <= latest_ms + self.max_gap_ms => {
                (since_ms, latest_ms.max(as_of_ms))
            }
            _ => (as_of_ms, as_of_ms),
        });
    }

    /// Returns the time since the latest confirmation; `None` before the first one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let (_, latest_ms) = self.span?;
        Some(now_ms.saturating_sub(latest_ms))
    }

    /// Returns for how long the host has known all changes without a gap; `None` if it may be out of step now.
    pub fn lasted_ms(&self, now_ms: u64) -> Option<u64> {
        let (since_ms, latest_ms) = self.span?;
        let is_current = now_ms <= latest_ms + self.max_gap_ms;
        is_current.then_some(now_ms.saturating_sub(since_ms))
    }
}
