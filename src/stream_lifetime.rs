//! How long streams may live that began under any limits of the recent past.
//!
//! A stream keeps the limits under which it began. When a configuration lowers them, the streams that
//! began before live on under the earlier ones, so that what tells their versions has to be kept, and
//! what proves that there was one version has to reach back, for as long as the earlier limits allow.
//! Higher limits hold for the streams that begin from then on. A caller that waits for longer than the limits
//! allow may take its stream up again until it has waited for so long.
//!
//! ```
//! use yuccacove::stream_lifetime::StreamLifetime;
//!
//! let mut lifetime = StreamLifetime::new(2_000);
//! lifetime.set_in_force(15_000, None, 0);
//! lifetime.set_in_force(4_000, Some(500), 60_000);
//! assert_eq!(lifetime.longest_ms(70_000), 15_000, "earlier streams may still run");
//! assert_eq!(lifetime.longest_ms(80_000), 4_000, "none of them does");
//! ```

/// Maximum number of earlier limits that are told apart.
const MAX_EARLIER: usize = 4;
/// Longest wait of a caller that counts. A caller that names a longer one would keep hosts from inferring versions,
/// and make the journal larger, for as long.
const MAX_WAIT_MS: u64 = 60_000;

/// Lifetime of the streams that began in some span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Limit {
    lifetime_ms: u64,
    /// Time from which on streams began with this lifetime; `None` if it is not known.
    since_ms: Option<u64>,
    /// Time until which one of them may live.
    until_ms: u64,
}

impl Limit {
    /// Returns how long ago a stream may have begun that still lives.
    fn span_ms(&self, now_ms: u64) -> u64 {
        let held_ms = self
            .since_ms
            .map(|since_ms| now_ms.saturating_sub(since_ms));
        held_ms.map_or(self.lifetime_ms, |held_ms| held_ms.min(self.lifetime_ms))
    }

    /// Whether nothing that holds by `self` is missing in `other`.
    fn is_within(&self, other: &Self) -> bool {
        // `None` is before any time.
        self.lifetime_ms <= other.lifetime_ms
            && self.until_ms <= other.until_ms
            && self.since_ms >= other.since_ms
    }

    /// Returns a limit that holds for the streams of both.
    fn union(self, other: Self) -> Self {
        Self {
            lifetime_ms: self.lifetime_ms.max(other.lifetime_ms),
            since_ms: self.since_ms.min(other.since_ms),
            until_ms: self.until_ms.max(other.until_ms),
        }
    }
}

/// Lifetimes of the streams that run, or may begin now. All times are on the clock of one host.
#[derive(Debug, Default)]
pub struct StreamLifetime {
    /// Time within which other hosts apply a change of the limits that this host has applied.
    spread_ms: u64,
    in_force: Option<Limit>,
    /// Other limits by which a stream may still live, the longest first.
    earlier: Vec<Limit>,
}

impl StreamLifetime {
    /// Creates the state before the first limits. `spread_ms` is the time within which all hosts apply a
    /// change.
    pub fn new(spread_ms: u64) -> Self {
        Self {
            spread_ms,
            ..Self::default()
        }
    }

    /// Replaces the limits in force by those that let a stream live for `lifetime_ms`. `unseen_ms` is how long
    /// ago this host last knew that the limits before were in force; `None` if it never did.
    pub fn set_in_force(&mut self, lifetime_ms: u64, unseen_ms: Option<u64>, now_ms: u64) {
        let ended = self.in_force;
        if ended.is_some_and(|ended| ended.lifetime_ms == lifetime_ms) {
            return;
        }
        // Another host may have applied them earlier.
        let unseen_ms = unseen_ms.map(|unseen_ms| unseen_ms.max(self.spread_ms));
        self.in_force = Some(Limit {
            lifetime_ms,
            since_ms: ended
                .and(unseen_ms)
                .map(|unseen_ms| now_ms.saturating_sub(unseen_ms)),
            until_ms: u64::MAX,
        });
        if let Some(ended) = ended {
            self.add(self.ending(ended, now_ms), now_ms);
        }
    }

    /// Records that a stream begins now whose caller waits for `wait_ms`. It may take the stream up again after each
    /// try that its limits end, for longer than these allow.
    pub fn begin(&mut self, wait_ms: u64, now_ms: u64) {
        if wait_ms <= self.in_force_ms() {
            return;
        }
        // Rounded up, so that few lifetimes are told apart.
        let lifetime_ms = wait_ms.min(MAX_WAIT_MS).next_power_of_two();
        let limit = Limit {
            lifetime_ms,
            since_ms: Some(now_ms),
            until_ms: now_ms.saturating_add(lifetime_ms),
        };
        self.add(limit, now_ms);
    }

    /// Records that a stream that has begun by now may live for `lifetime_ms`, by limits that this host may
    /// never have seen in force.
    pub fn learn(&mut self, lifetime_ms: u64, now_ms: u64) {
        let limit = Limit {
            lifetime_ms,
            since_ms: None,
            until_ms: now_ms,
        };
        self.add(self.ending(limit, now_ms), now_ms);
    }

    /// Returns a limit under which no stream begins any more once all hosts have applied the present one.
    fn ending(&self, limit: Limit, now_ms: u64) -> Limit {
        let left_ms = limit.lifetime_ms.saturating_add(self.spread_ms);
        Limit {
            until_ms: now_ms.saturating_add(left_ms),
            ..limit
        }
    }

    fn add(&mut self, limit: Limit, now_ms: u64) {
        self.earlier.retain(|held| held.until_ms >= now_ms);
        if self.limits(now_ms).any(|held| limit.is_within(held)) {
            return;
        }
        let of_same = |held: &&Limit| held.lifetime_ms == limit.lifetime_ms;
        let same = self.earlier.iter().find(of_same);
        let limit = same.map_or(limit, |same| limit.union(*same));
        self.earlier.retain(|held| !held.is_within(&limit));
        self.earlier.push(limit);
        self.earlier.sort_by_key(|held| u64::MAX - held.lifetime_ms);
        while self.earlier.len() > MAX_EARLIER
            && let (Some(last), Some(before)) = (self.earlier.pop(), self.earlier.pop())
        {
            self.earlier.push(before.union(last));
        }
    }

    /// Returns the limits by which a stream may live now.
    fn limits(&self, now_ms: u64) -> impl Iterator<Item = &Limit> {
        let all = self.earlier.iter().chain(&self.in_force);
        all.filter(move |limit| limit.until_ms >= now_ms)
    }

    /// Returns the lifetime by the limits in force; 0 before the first ones.
    pub fn in_force_ms(&self) -> u64 {
        self.in_force.map_or(0, |limit| limit.lifetime_ms)
    }

    /// Returns the longest lifetime of a stream that runs, or begins now.
    pub fn longest_ms(&self, now_ms: u64) -> u64 {
        let lifetimes = self.limits(now_ms).map(|limit| limit.lifetime_ms);
        lifetimes.max().unwrap_or(0)
    }

    /// Returns how long ago a stream may have begun that still runs.
    pub fn span_ms(&self, now_ms: u64) -> u64 {
        let spans = self.limits(now_ms).map(|limit| limit.span_ms(now_ms));
        spans.max().unwrap_or(0)
    }
}
