//! How much longer than usual messages of another process were on their way, without synchronised clocks.
//!
//! The difference between the receiver's clock at receipt and the sender's clock at sending is the transit
//! time plus an unknown offset of the clocks. The smallest difference so far belongs to the fastest
//! message; what a later one has beyond it is time that it waited: on a link, or in the receiver's
//! socket. The idea is that of the base delay in LEDBAT (RFC 6817).
//!
//! ```
//! use yuccacove::transit_delay::TransitDelay;
//!
//! let mut transit = TransitDelay::default();
//! assert_eq!(transit.record(1, 5_000, 100), 0);
//! assert_eq!(transit.record(1, 5_300, 1_400), 1_000);
//! assert_eq!(transit.record(2, 20, 1_500), 0, "the clock of another incarnation");
//! ```

/// Rate at which the clocks of two machines may drift apart, as the time in ms after which they may differ
/// by one more ms: 200 parts in a million.
const DRIFT_INTERVAL_MS: u64 = 5_000;

/// Transit times of one sender's messages, relative to the fastest one.
#[derive(Debug, Default, Clone, Copy)]
pub struct TransitDelay {
    base: Option<Base>,
}

/// The fastest message of an incarnation.
#[derive(Debug, Clone, Copy)]
struct Base {
    incarnation: u64,
    /// Receiver's time less sender's time.
    difference_ms: i128,
    received_ms: u64,
}

impl TransitDelay {
    /// Records a message that the sender's process `incarnation` sent at `sent_ms` on its clock and that arrived
    /// at `received_ms` on this one. Returns how much longer it took than the fastest one, in ms. Neither
    /// clock may stop while its machine is suspended.
    pub fn record(&mut self, incarnation: u64, sent_ms: u64, received_ms: u64) -> u64 {
        let message = Base {
            incarnation,
            difference_ms: i128::from(received_ms) - i128::from(sent_ms),
            received_ms,
        };
        let base = self.base.filter(|base| base.incarnation == incarnation);
        let excess_ms = base.map_or(0, |base| {
            let elapsed_ms = received_ms.saturating_sub(base.received_ms);
            let drift_ms = i128::from(elapsed_ms / DRIFT_INTERVAL_MS);
            message.difference_ms - (base.difference_ms + drift_ms)
        });
        if base.is_none() || excess_ms < 0 {
            self.base = Some(message);
        }
        u64::try_from(excess_ms.max(0)).unwrap_or(u64::MAX)
    }
}
