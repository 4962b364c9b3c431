//! Fleet-wide limits of catalogue entries, shared among entry hosts without a store call a request.
//!
//! For each entry one entry host, the owner, holds the limit and grants parts of it to the hosts
//! that ask. [`RateOwner`] and [`SlotOwner`] run on the owner, [`RateHolder`] and [`SlotHolder`] on
//! each host with callers.

use indexmap::IndexMap;

/// How long a granted amount may be used. It also bounds what a dead host takes with it.
pub const GRANT_LIFETIME_MS: u64 = 1_000;
/// Demand that a holder asks for at once; shorter means more messages, longer more waste.
const ASK_AHEAD_MS: u64 = 250;
/// Shortest time between two calls while the fleet's limit is used up. The bucket of a high limit
/// refills within a millisecond, and each refusal would otherwise lead to a call.
const REFUSED_MS: u64 = 50;
const MS_PER_S: f64 = 1_000.0;

/// Amount that a holder may use until it expires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Requests or tokens.
    pub amount: u32,
    /// Time from the receipt of the grant until it expires.
    pub valid_ms: u64,
}

/// Token bucket of an entry's rate limit, on the host that owns the entry.
#[derive(Debug)]
pub struct RateOwner {
    limit_per_s: u32,
    available: f64,
    updated_ms: u64,
    grants_from_ms: u64,
}

impl RateOwner {
    /// Starts to own a limit. The bucket is empty, and nothing is granted until the grants of a
    /// previous owner have expired, so that a change of owner never adds up two owners' grants.
    pub fn open(limit_per_s: u32, now_ms: u64) -> Self {
        let grants_from_ms = now_ms + GRANT_LIFETIME_MS;
        Self {
            limit_per_s,
            available: 0.0,
            updated_ms: grants_from_ms,
            grants_from_ms,
        }
    }

    /// Changes the limit after an edit of the catalogue.
    pub fn set_limit(&mut self, limit_per_s: u32, now_ms: u64) {
        self.refill(now_ms);
        self.limit_per_s = limit_per_s;
        self.available = self.available.min(f64::from(limit_per_s));
    }

    /// Grants up to `want`, and at least nothing.
    pub fn grant(&mut self, want: u32, now_ms: u64) -> Grant {
        self.refill(now_ms);
        let whole = self.available.floor();
        let amount = whole.min(f64::from(want));
        self.available -= amount;
        Grant {
            // Between 0 and `want`, so the conversion is exact.
            amount: amount as u32,
            valid_ms: GRANT_LIFETIME_MS,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        if now_ms < self.grants_from_ms {
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let refill = f64::from(self.limit_per_s) * elapsed_ms as f64 / MS_PER_S;
        self.available = (self.available + refill).min(f64::from(self.limit_per_s));
        self.updated_ms = now_ms.max(self.updated_ms);
    }
}

/// What a holder says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireResult {
    /// The request is within the limit and counted.
    Acquired,
    /// The balance does not suffice; ask the owner for this amount and try again.
    Ask(u32),
    /// The owner has just granted less than the request needs.
    Refused {
        /// Time after which a repeat may succeed.
        retry_after_ms: u64,
    },
}

/// Balance of an entry's rate limit on a host with callers.
#[derive(Debug)]
pub struct RateHolder {
    limit_per_s: u32,
    balance: u32,
    expires_ms: u64,
    refused_until_ms: u64,
    taken_in_window: u32,
    window_start_ms: u64,
    demand_per_s: f64,
    // Kept after its use: a bucket that started anew would add a burst at each lost answer.
    fallback: Option<Fallback>,
    fallback_until_ms: u64,
}

/// Local token bucket that replaces an owner that cannot be reached.
#[derive(Debug)]
struct Fallback {
    limit_per_s: f64,
    /// `None` before the first request, which finds the bucket full.
    available: Option<f64>,
    updated_ms: u64,
}

impl RateHolder {
    /// Starts with no balance.
    pub fn open(limit_per_s: u32, now_ms: u64) -> Self {
        Self {
            limit_per_s,
            balance: 0,
            expires_ms: now_ms,
            refused_until_ms: 0,
            taken_in_window: 0,
            window_start_ms: now_ms,
            demand_per_s: 0.0,
            fallback: None,
            fallback_until_ms: 0,
        }
    }

    /// Counts a request of `cost` (1 for a request rate, its tokens for a token rate).
    pub fn acquire(&mut self, cost: u32, now_ms: u64) -> AcquireResult {
        self.observe_demand(cost, now_ms);
        if now_ms >= self.expires_ms {
            self.balance = 0;
        }
        if self.balance >= cost {
            self.balance -= cost;
            return AcquireResult::Acquired;
        }
        if now_ms < self.fallback_until_ms
            && let Some(fallback) = &mut self.fallback
        {
            return fallback.acquire(cost, now_ms);
        }
        if now_ms < self.refused_until_ms {
            return AcquireResult::Refused {
                retry_after_ms: self.refused_until_ms - now_ms,
            };
        }
        AcquireResult::Ask(self.wanted(cost))
    }

    /// Adds a grant. A grant smaller than `asked` means that the fleet's limit is used up, so that
    /// further requests are refused for a while instead of asking the owner for each.
    pub fn granted(&mut self, asked: u32, grant: Grant, now_ms: u64) {
        self.fallback_until_ms = 0;
        self.balance = self.balance.saturating_add(grant.amount);
        self.expires_ms = now_ms + grant.valid_ms;
        if grant.amount < asked {
            self.refused_until_ms = now_ms + self.refill_time_ms().clamp(REFUSED_MS, ASK_AHEAD_MS);
        }
    }

    /// Gives back what [`RateHolder::acquire`] counted for a request that another limit refuses.
    pub fn release(&mut self, cost: u32, now_ms: u64) {
        if now_ms < self.expires_ms {
            self.balance = self.balance.saturating_add(cost);
        } else if let Some(available) = self.fallback.as_mut().and_then(|f| f.available.as_mut()) {
            *available += f64::from(cost);
        }
    }

    /// Falls back to an equal share of the limit for the lifetime of a grant, while the owner
    /// cannot be reached.
    pub fn owner_unreachable(&mut self, hosts: u32, now_ms: u64) {
        self.fall_back(hosts, GRANT_LIFETIME_MS, now_ms);
    }

    /// Falls back to an equal share of the limit for `for_ms`, after which the owner is asked again.
    /// A new owner tells when it starts to grant; a share that is used for longer adds to its grants.
    pub fn fall_back(&mut self, hosts: u32, for_ms: u64, now_ms: u64) {
        let limit_per_s = f64::from(self.limit_per_s) / f64::from(hosts.max(1));
        self.fallback_until_ms = now_ms + for_ms;
        match &mut self.fallback {
            Some(fallback) => fallback.limit_per_s = limit_per_s,
            None => {
                self.fallback = Some(Fallback {
                    limit_per_s,
                    available: None,
                    updated_ms: now_ms,
                });
            }
        }
    }

    /// Changes the limit after an edit of the catalogue.
    pub fn set_limit(&mut self, limit_per_s: u32) {
        self.limit_per_s = limit_per_s;
    }

    fn wanted(&self, cost: u32) -> u32 {
        let ahead = self.demand_per_s * ASK_AHEAD_MS as f64 / MS_PER_S;
        // A float cast saturates, so an absurd demand asks for at most `u32::MAX`.
        (ahead.ceil() as u32).max(cost)
    }

    fn refill_time_ms(&self) -> u64 {
        1_000 / u64::from(self.limit_per_s.max(1)) + 1
    }

    fn observe_demand(&mut self, cost: u32, now_ms: u64) {
        self.taken_in_window = self.taken_in_window.saturating_add(cost);
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        if window_ms >= ASK_AHEAD_MS {
            self.demand_per_s = f64::from(self.taken_in_window) * MS_PER_S / window_ms as f64;
            self.taken_in_window = 0;
            self.window_start_ms = now_ms;
        }
    }
}

impl Fallback {
    fn acquire(&mut self, cost: u32, now_ms: u64) -> AcquireResult {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let refill = self.limit_per_s * elapsed_ms as f64 / MS_PER_S;
        self.updated_ms = now_ms;
        // A request may cost more than a small share's second, so the bucket holds at least one.
        let capacity = self.limit_per_s.max(f64::from(cost));
        let before = self.available.unwrap_or(capacity);
        let available = (before + refill).min(capacity);
        if available >= f64::from(cost) {
            self.available = Some(available - f64::from(cost));
            return AcquireResult::Acquired;
        }
        self.available = Some(available);
        let missing = f64::from(cost) - available;
        let wait_ms = missing * MS_PER_S / self.limit_per_s.max(f64::MIN_POSITIVE);
        AcquireResult::Refused {
            retry_after_ms: wait_ms.ceil() as u64,
        }
    }
}

/// Slots of an entry's concurrency limit, on the host that owns the entry.
#[derive(Debug)]
pub struct SlotOwner {
    limit: u32,
    grants_from_ms: u64,
    held: IndexMap<String, HeldSlots>,
}

#[derive(Debug)]
struct HeldSlots {
    slots: u32,
    expires_ms: u64,
}

impl SlotOwner {
    /// Starts to own a limit. Holders first report the slots that they use, for the lifetime of a
    /// grant, before new ones are granted.
    pub fn open(limit: u32, now_ms: u64) -> Self {
        Self {
            limit,
            grants_from_ms: now_ms + GRANT_LIFETIME_MS,
            held: IndexMap::new(),
        }
    }

    /// Changes the limit after an edit of the catalogue; running requests keep their slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Renews the `in_use` slots of `host` and grants it up to `want` more. The result's amount is
    /// all that the host may hold until the grant expires. A host that is not heard from for the
    /// lifetime of a grant is taken to be dead, and its slots become free.
    pub fn renew(&mut self, host: &str, in_use: u32, want: u32, now_ms: u64) -> Grant {
        self.held
            .retain(|name, held| name == host || now_ms < held.expires_ms);
        let others: u32 = self
            .held
            .iter()
            .filter(|(name, _)| *name != host)
            .map(|(_, held)| held.slots)
            .sum();
        let free = self.limit.saturating_sub(others).saturating_sub(in_use);
        let more = if now_ms < self.grants_from_ms {
            0
        } else {
            want.min(free)
        };
        let slots = in_use + more;
        let expires_ms = now_ms + GRANT_LIFETIME_MS;
        self.held
            .insert(host.to_owned(), HeldSlots { slots, expires_ms });
        Grant {
            amount: slots,
            valid_ms: GRANT_LIFETIME_MS,
        }
    }
}

/// Slots of an entry's concurrency limit on a host with callers.
#[derive(Debug)]
pub struct SlotHolder {
    limit: u32,
    in_use: u32,
    allowed: u32,
    asked: u32,
    expires_ms: u64,
    refused_until_ms: u64,
}

impl SlotHolder {
    /// Starts with no slots.
    pub fn open(limit: u32, now_ms: u64) -> Self {
        Self {
            limit,
            in_use: 0,
            allowed: 0,
            asked: 0,
            expires_ms: now_ms,
            refused_until_ms: 0,
        }
    }

    /// Changes the limit after an edit of the catalogue; running requests keep their slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Slots that running requests use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Takes a slot for a request; give it back with [`SlotHolder::release`].
    pub fn acquire(&mut self, now_ms: u64) -> AcquireResult {
        if self.in_use < self.allowed(now_ms) {
            self.in_use += 1;
            return AcquireResult::Acquired;
        }
        if now_ms < self.refused_until_ms {
            return AcquireResult::Refused {
                retry_after_ms: self.refused_until_ms - now_ms,
            };
        }
        AcquireResult::Ask(1)
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The slots in use and those to ask for in addition when requests wait for `wanted` ones. The
    /// slots that are still allowed are asked for again, as requests may take them until the answer
    /// arrives.
    pub fn renewal(&mut self, wanted: u32, now_ms: u64) -> (u32, u32) {
        let kept = self.allowed(now_ms).max(self.in_use);
        self.asked = kept.saturating_add(wanted);
        (self.in_use, self.asked - self.in_use)
    }

    /// Gives up the allowed slots above `slots`, for the next renewal to return them.
    pub fn shrink(&mut self, slots: u32) {
        self.allowed = self.allowed.min(slots.max(self.in_use));
    }

    fn allowed(&self, now_ms: u64) -> u32 {
        if now_ms < self.expires_ms {
            self.allowed
        } else {
            0
        }
    }

    /// Takes the owner's answer to a renewal. When it allows less than asked and all is in use,
    /// further requests are refused for a while instead of asking the owner for each.
    pub fn granted(&mut self, grant: Grant, now_ms: u64) {
        self.allowed = grant.amount;
        self.expires_ms = now_ms + grant.valid_ms;
        if grant.amount < self.asked && grant.amount <= self.in_use {
            self.refused_until_ms = now_ms + ASK_AHEAD_MS;
        }
    }

    /// Falls back to an equal share of the limit, at least one slot, for the lifetime of a grant,
    /// while the owner cannot be reached.
    pub fn owner_unreachable(&mut self, hosts: u32, now_ms: u64) {
        self.fall_back(hosts, GRANT_LIFETIME_MS, now_ms);
    }

    /// Falls back to an equal share of the limit, at least one slot, for `for_ms`.
    pub fn fall_back(&mut self, hosts: u32, for_ms: u64, now_ms: u64) {
        self.allowed = (self.limit / hosts.max(1)).max(1);
        self.expires_ms = now_ms + for_ms;
        if self.allowed <= self.in_use {
            self.refused_until_ms = now_ms + ASK_AHEAD_MS.min(for_ms);
        }
    }
}
