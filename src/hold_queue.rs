//! Order of the requests that a host holds for a service, and the time until their turn.
//!
//! Only the first request is considered for admission, so a host with many held requests does not
//! work more than with one.
//!
//! ```
//! use yuccacove::hold_queue::{HoldQueue, Precedence};
//!
//! let mut queue = HoldQueue::default();
//! let late = queue.insert(Precedence { is_late: true, urgency: 0, due_ms: 10 });
//! let in_time = queue.insert(Precedence { is_late: false, urgency: 1, due_ms: 90 });
//! assert_eq!(queue.first(), Some(in_time));
//! queue.remove(in_time);
//! assert_eq!(queue.first(), Some(late));
//! ```

use std::collections::BTreeSet;

/// Time in which the number of releases decays to half.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Rate of releases that is assumed without any, in releases per millisecond. With it, a few requests
/// are held to find out whether there is room for them.
const MIN_RELEASES_PER_MS: f64 = 0.002;

/// Order in which held requests are admitted; the least is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether the request costs callers less than the others if it is delayed: it is late in any
    /// case, or others are below their share because of it.
    pub is_late: bool,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time by which it should start, later by a multiple of the work that it needs.
    pub due_ms: u64,
}

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    precedence: Precedence,
    number: u64,
}

/// Requests that are held for one service.
#[derive(Debug, Default, Clone)]
pub struct HoldQueue {
    tickets: BTreeSet<Ticket>,
    next_number: u64,
    /// Decayed number of requests that were released.
    releases: f64,
    decayed_ms: u64,
}

impl HoldQueue {
    /// Adds a request behind those with the same precedence.
    pub fn insert(&mut self, precedence: Precedence) -> Ticket {
        let ticket = Ticket {
            precedence,
            number: self.next_number,
        };
        self.next_number += 1;
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request, if it is still there.
    pub fn remove(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }

    /// Returns the first request.
    pub fn first(&self) -> Option<Ticket> {
        self.tickets.first().copied()
    }

    /// Whether a request of this precedence would not be the first.
    pub fn is_behind(&self, precedence: Precedence) -> bool {
        let first = self.tickets.first();
        first.is_some_and(|first| first.precedence <= precedence)
    }

    /// Records that a held request was admitted.
    pub fn record_release(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.releases += 1.0;
    }

    /// Returns the expected time until the turn of a request of this precedence.
    pub fn expected_wait_ms(&mut self, precedence: Precedence, now_ms: u64) -> f64 {
        self.decay(now_ms);
        let ahead = self.tickets.range(
            ..Ticket {
                precedence,
                number: u64::MAX,
            },
        );
        // Releases that decay with this half-life sum up to the rate times its mean lifetime.
        let per_ms = self.releases * std::f64::consts::LN_2 / HALF_LIFE_MS;
        ahead.count() as f64 / per_ms.max(MIN_RELEASES_PER_MS)
    }

    fn decay(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.decayed_ms);
        self.decayed_ms = self.decayed_ms.max(now_ms);
        self.releases *= (-(since_ms as f64) / HALF_LIFE_MS).exp2();
    }
}
