//! Estimates true time from the wall clocks of several hosts.
//!
//! The wall clock of one host may step by seconds. Each host therefore asks others for theirs and adds
//! the median of the offsets to its own boot clock, which does not step. The median stays close to true
//! time while less than half of the sampled clocks are wrong.
//!
//! ```
//! use yuccacove::fleet_clock::{ClockSample, FleetClock};
//! use yuccacove::fleet_rate::HostId;
//!
//! let mut clock = FleetClock::new(HostId(1));
//! clock.record_own(1_000, 5_001_000);
//! for id in [2, 3] {
//!     let sample = ClockSample { sent_ms: 1_000, received_ms: 1_010, wall_ms: 2_001_005 };
//!     clock.record(HostId(id), sample);
//! }
//! // This host's wall clock is wrong by 3,000 s.
//! assert_eq!(clock.true_ms(1_500), Some(2_001_500));
//! ```

use indexmap::IndexMap;

use crate::fleet_rate::HostId;

/// Time for which a sample counts. A boot clock drifts by about 3 ms in it at 100 ppm.
const SAMPLE_LIFE_MS: u64 = 30_000;
/// Longest round trip of a sample; its error is at most half of it.
const MAX_ROUND_TRIP_MS: u64 = 200;
/// Largest number of samples that are kept. With 30% of the clocks wrong, a majority of 61 samples is
/// wrong with a probability of 3e-4.
const MAX_SAMPLES: usize = 61;
/// Number of samples of other hosts that suffice for an estimate.
const SETTLED_SAMPLES: usize = 5;
/// Time after the start after which an estimate from fewer samples is used. Until then requests wait to
/// be assigned to a window.
const SETTLE_LIMIT_MS: u64 = 2_500;

/// Another host's wall clock, read within a round trip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// Time of the question on this host's boot clock.
    pub sent_ms: u64,
    /// Time of the answer on the same clock.
    pub received_ms: u64,
    /// The other host's wall clock when it answered, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Offset of a wall clock to this host's boot clock.
#[derive(Debug, Clone, Copy)]
struct Offset {
    offset_ms: i64,
    taken_ms: u64,
}

/// Offsets of the wall clocks of this host and of others to this host's boot clock.
#[derive(Debug)]
pub struct FleetClock {
    own: HostId,
    offsets: IndexMap<HostId, Offset>,
    /// Median of the offsets; `None` without any.
    median_ms: Option<i64>,
    /// Time of the first own reading; `None` before it.
    started_ms: Option<u64>,
}

impl FleetClock {
    /// Creates the state of a host that knows no clock yet.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            offsets: IndexMap::new(),
            median_ms: None,
            started_ms: None,
        }
    }

    /// Records a reading of this host's own clocks.
    pub fn record_own(&mut self, boot_ms: u64, wall_ms: u64) {
        self.started_ms.get_or_insert(boot_ms);
        let offset_ms = signed(wall_ms) - signed(boot_ms);
        self.insert(self.own, offset_ms, boot_ms);
    }

    /// Records a reading of another host's clock. One with a long round trip is ignored.
    pub fn record(&mut self, host: HostId, sample: ClockSample) {
        let ClockSample {
            sent_ms,
            received_ms,
            wall_ms,
        } = sample;
        let Some(round_trip_ms) = received_ms.checked_sub(sent_ms) else {
            return;
        };
        if round_trip_ms > MAX_ROUND_TRIP_MS || host == self.own {
            return;
        }
        let middle_ms = sent_ms + round_trip_ms / 2;
        self.insert(host, signed(wall_ms) - signed(middle_ms), received_ms);
    }

    fn insert(&mut self, host: HostId, offset_ms: i64, taken_ms: u64) {
        let is_fresh = |offset: &Offset| taken_ms.saturating_sub(offset.taken_ms) <= SAMPLE_LIFE_MS;
        let count_before = self.offsets.len();
        self.offsets.retain(|_, offset| is_fresh(offset));
        let offset = Offset {
            offset_ms,
            taken_ms,
        };
        let before = self.offsets.insert(host, offset);
        // Most readings repeat the offset of the last one.
        let is_same = before.is_some_and(|before| before.offset_ms == offset_ms);
        if is_same && self.offsets.len() == count_before {
            return;
        }
        if self.offsets.len() > MAX_SAMPLES {
            let others = self.offsets.iter().filter(|(id, _)| **id != self.own);
            let oldest = others.min_by_key(|(_, offset)| offset.taken_ms);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.offsets.swap_remove(&id);
            }
        }
        let mut offsets: Vec<i64> = self.offsets.values().map(|o| o.offset_ms).collect();
        offsets.sort_unstable();
        self.median_ms = offsets.get(offsets.len() / 2).copied();
    }

    /// Returns the time of the latest sample of a host; `None` if there is none that counts.
    pub fn sampled_ms(&self, host: HostId) -> Option<u64> {
        self.offsets.get(&host).map(|offset| offset.taken_ms)
    }

    /// Whether there are enough samples for an estimate, in a fleet with `others` other hosts.
    pub fn is_settled(&self, others: usize, boot_ms: u64) -> bool {
        let Some(started_ms) = self.started_ms else {
            return false;
        };
        let samples = self.offsets.len().saturating_sub(1);
        let is_sampled = others > 0 && samples >= others.min(SETTLED_SAMPLES);
        is_sampled || boot_ms >= started_ms + SETTLE_LIMIT_MS
    }

    /// Returns true time, in milliseconds since 1970, at a time of the boot clock; `None` without any
    /// sample.
    pub fn true_ms(&self, boot_ms: u64) -> Option<u64> {
        u64::try_from(signed(boot_ms) + self.median_ms?).ok()
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
