//! Fleet-wide rate and concurrency limits of catalogue entries, distributed among the entry hosts
//! without a call to the store for each request.
//!
//! For each entry, one entry host owns the limit and grants parts of it to the hosts that request
//! them. [`RateOwner`] and [`SlotOwner`] run on the owner, [`RateHolder`] and [`SlotHolder`] on
//! each host that receives requests.

use indexmap::IndexMap;

/// Time for which a granted amount may be used. It also bounds how long the grants of a failed host
/// are lost.
pub const GRANT_LIFETIME_MS: u64 = 1_000;
/// Time for which a holder requests its expected demand in advance. A shorter time needs more
/// messages, a longer one leaves more of the grants unused.
const DEMAND_WINDOW_MS: u64 = 250;
/// Minimum interval between two calls to the owner while the fleet's limit is exhausted. The bucket
/// of a high limit refills within a millisecond, so that otherwise each refusal would cause a call.
const MIN_REFUSED_MS: u64 = 50;
const MS_PER_S: f64 = 1_000.0;

/// An amount of a limit that a holder may use until it expires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Number of requests, tokens or slots.
    pub amount: u32,
    /// Time from the receipt of the grant until it expires.
    pub valid_ms: u64,
}

/// Token bucket of an entry's rate limit, on the host that owns the entry.
#[derive(Debug)]
pub struct RateOwner {
    limit_per_s: f64,
    available: f64,
    updated_ms: u64,
    grants_from_ms: u64,
}

impl RateOwner {
    /// Creates the bucket when this host becomes the owner. It is empty, and nothing is granted
    /// until the grants of a previous owner have expired, so that the grants of two owners never
    /// add up.
    pub fn open(limit_per_s: impl Into<f64>, now_ms: u64) -> Self {
        let limit_per_s = limit_per_s.into();
        let grants_from_ms = now_ms + GRANT_LIFETIME_MS;
        Self {
            limit_per_s,
            available: 0.0,
            updated_ms: grants_from_ms,
            grants_from_ms,
        }
    }

    /// Sets the limit after a catalogue change.
    pub fn set_limit(&mut self, limit_per_s: impl Into<f64>, now_ms: u64) {
        self.refill(now_ms);
        self.limit_per_s = limit_per_s.into();
        self.available = self.available.min(self.capacity());
    }

    /// Grants up to `want`, as far as the bucket allows; the amount may be 0.
    pub fn grant(&mut self, want: u32, now_ms: u64) -> Grant {
        self.refill(now_ms);
        let whole = self.available.floor();
        let amount = whole.min(f64::from(want));
        self.available -= amount;
        Grant {
            // A whole number between 0 and `want`, so the conversion is exact.
            amount: amount as u32,
            valid_ms: GRANT_LIFETIME_MS,
        }
    }

    /// Takes back an amount that was granted and not used.
    pub fn give_back(&mut self, amount: u32) {
        self.available = (self.available + f64::from(amount)).min(self.capacity());
    }

    fn refill(&mut self, now_ms: u64) {
        if now_ms < self.grants_from_ms {
            return;
        }
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let refill = self.limit_per_s * elapsed_ms as f64 / MS_PER_S;
        self.available = (self.available + refill).min(self.capacity());
        self.updated_ms = now_ms.max(self.updated_ms);
    }

    /// The bucket holds the limit of one second, and at least one request, so that a limit below
    /// one a second admits any.
    fn capacity(&self) -> f64 {
        if self.limit_per_s > 0.0 {
            self.limit_per_s.max(1.0)
        } else {
            0.0
        }
    }
}

/// Result of [`RateHolder::acquire`] and [`SlotHolder::acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireResult {
    /// The request is within the limit and has been counted.
    Acquired,
    /// The granted amount is not sufficient. Ask the owner for this amount and try again.
    Ask(u32),
    /// The limit is exhausted for now.
    Refused {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
}

/// Granted balance of an entry's rate limit, on a host that receives requests.
#[derive(Debug)]
pub struct RateHolder {
    limit_per_s: u32,
    balance: u32,
    expires_ms: u64,
    refused_until_ms: u64,
    demand_in_window: u32,
    window_start_ms: u64,
    demand_per_s: f64,
    // Kept after its use: a new, full bucket would admit a burst after each lost response.
    fallback: Option<Fallback>,
    fallback_until_ms: u64,
    /// Whether the owner may grant the time in which the fallback is used as well.
    is_fallback_owed: bool,
    /// Amount admitted by such a fallback, which is subtracted from the next grants.
    owed: u32,
}

/// Local token bucket, used while the owner cannot be reached.
#[derive(Debug)]
struct Fallback {
    limit_per_s: f64,
    /// `None` until the first request, for which the bucket is full.
    available: Option<f64>,
    updated_ms: u64,
}

impl RateHolder {
    /// Creates a holder without a balance.
    pub fn open(limit_per_s: u32, now_ms: u64) -> Self {
        Self {
            limit_per_s,
            balance: 0,
            expires_ms: now_ms,
            refused_until_ms: 0,
            demand_in_window: 0,
            window_start_ms: now_ms,
            demand_per_s: 0.0,
            fallback: None,
            fallback_until_ms: 0,
            is_fallback_owed: false,
            owed: 0,
        }
    }

    /// Counts a request of `cost`, which is 1 for a request rate and its number of tokens for a
    /// token rate.
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
            let result = fallback.acquire(cost, now_ms);
            if result == AcquireResult::Acquired && self.is_fallback_owed {
                // The owner's bucket holds at most the grants of one second.
                self.owed = self.owed.saturating_add(cost).min(self.limit_per_s);
            }
            return result;
        }
        if now_ms < self.refused_until_ms {
            return AcquireResult::Refused {
                retry_after_ms: self.refused_until_ms - now_ms,
            };
        }
        AcquireResult::Ask(self.wanted(cost))
    }

    /// Adds a grant. If it is smaller than `asked`, the fleet's limit is exhausted, and further
    /// requests are refused for a while instead of asking the owner for each of them.
    pub fn granted(&mut self, asked: u32, grant: Grant, now_ms: u64) {
        self.fallback_until_ms = 0;
        let repaid = self.owed.min(grant.amount);
        self.owed -= repaid;
        self.balance = self.balance.saturating_add(grant.amount - repaid);
        self.expires_ms = now_ms + grant.valid_ms;
        if grant.amount < asked {
            self.refused_until_ms = now_ms
                + self
                    .refill_time_ms()
                    .clamp(MIN_REFUSED_MS, DEMAND_WINDOW_MS);
        }
    }

    /// Reverses [`RateHolder::acquire`] for a request that another limit refused.
    pub fn release(&mut self, cost: u32, now_ms: u64) {
        if now_ms < self.expires_ms {
            self.balance = self.balance.saturating_add(cost);
        } else if let Some(available) = self.fallback.as_mut().and_then(|f| f.available.as_mut()) {
            *available += f64::from(cost);
            self.owed = self.owed.saturating_sub(cost);
        }
    }

    /// Falls back to an equal share of the limit for the lifetime of a grant, because the owner
    /// does not respond in time. It may respond late and grant the same time again, so that what
    /// the share admits is subtracted from the next grants.
    pub fn owner_unreachable(&mut self, hosts: u32, now_ms: u64) {
        self.fall_back(hosts, GRANT_LIFETIME_MS, now_ms);
        self.is_fallback_owed = true;
    }

    /// Falls back to an equal share of the limit for `for_ms`, after which the owner is asked
    /// again. A new owner announces when it starts to grant; a share used beyond that time would
    /// add to its grants.
    pub fn fall_back(&mut self, hosts: u32, for_ms: u64, now_ms: u64) {
        let limit_per_s = f64::from(self.limit_per_s) / f64::from(hosts.max(1));
        self.fallback_until_ms = now_ms + for_ms;
        self.is_fallback_owed = false;
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

    /// Sets the limit after a catalogue change.
    pub fn set_limit(&mut self, limit_per_s: u32) {
        self.limit_per_s = limit_per_s;
    }

    fn wanted(&self, cost: u32) -> u32 {
        let ahead = self.demand_per_s * DEMAND_WINDOW_MS as f64 / MS_PER_S;
        // The cast saturates, so the result is at most `u32::MAX`.
        (ahead.ceil() as u32).max(cost)
    }

    fn refill_time_ms(&self) -> u64 {
        1_000 / u64::from(self.limit_per_s.max(1)) + 1
    }

    fn observe_demand(&mut self, cost: u32, now_ms: u64) {
        self.demand_in_window = self.demand_in_window.saturating_add(cost);
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        if window_ms >= DEMAND_WINDOW_MS {
            self.demand_per_s = f64::from(self.demand_in_window) * MS_PER_S / window_ms as f64;
            self.demand_in_window = 0;
            self.window_start_ms = now_ms;
        }
    }
}

impl Fallback {
    fn acquire(&mut self, cost: u32, now_ms: u64) -> AcquireResult {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let refill = self.limit_per_s * elapsed_ms as f64 / MS_PER_S;
        self.updated_ms = now_ms;
        // A request may cost more than one second of a small share, so the capacity is at least the
        // cost of one request.
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
    /// Creates the state when this host becomes the owner. For the lifetime of a grant it only
    /// collects the slots that holders report as in use; then it grants new ones.
    pub fn open(limit: u32, now_ms: u64) -> Self {
        Self {
            limit,
            grants_from_ms: now_ms + GRANT_LIFETIME_MS,
            held: IndexMap::new(),
        }
    }

    /// Sets the limit after a catalogue change. Running requests keep their slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Renews the `in_use` slots of `host` and grants it up to `want` more. The returned amount is
    /// the total number of slots that the host may hold until the grant expires. If a host does not
    /// renew its slots within the lifetime of a grant, it is considered failed and its slots become
    /// free.
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

/// Granted slots of an entry's concurrency limit, on a host that receives requests.
#[derive(Debug)]
pub struct SlotHolder {
    limit: u32,
    in_use: u32,
    /// Number of slots that may be in use until the grant expires.
    allowed: u32,
    /// Value of `allowed` that the last renewal asked for.
    asked: u32,
    expires_ms: u64,
    refused_until_ms: u64,
}

impl SlotHolder {
    /// Creates a holder without slots.
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

    /// Sets the limit after a catalogue change. Running requests keep their slots.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Number of slots used by running requests.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Acquires a slot for a request, to be released with [`SlotHolder::release`].
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

    /// Releases the slot of a request that ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The arguments of [`SlotOwner::renew`] when requests wait for `wanted` slots: the slots in
    /// use and the additional slots to ask for. These include the granted slots that are not in
    /// use, as requests may acquire them before the owner's response arrives.
    pub fn renewal(&mut self, wanted: u32, now_ms: u64) -> (u32, u32) {
        let kept = self.allowed(now_ms).max(self.in_use);
        self.asked = kept.saturating_add(wanted);
        (self.in_use, self.asked - self.in_use)
    }

    /// Reduces the granted slots to `slots`, but not below those in use. The next renewal returns
    /// the rest to the owner.
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

    /// Handles the owner's response to a renewal. If it grants less than asked and all granted
    /// slots are in use, further requests are refused for a while instead of asking the owner for
    /// each.
    pub fn granted(&mut self, grant: Grant, now_ms: u64) {
        self.allowed = grant.amount;
        self.expires_ms = now_ms + grant.valid_ms;
        if grant.amount < self.asked && grant.amount <= self.in_use {
            self.refused_until_ms = now_ms + DEMAND_WINDOW_MS;
        }
    }

    /// Falls back to an equal share of the limit, at least one slot, for the lifetime of a grant,
    /// because the owner cannot be reached.
    pub fn owner_unreachable(&mut self, hosts: u32, now_ms: u64) {
        self.fall_back(hosts, GRANT_LIFETIME_MS, now_ms);
    }

    /// Falls back to an equal share of the limit, at least one slot, for `for_ms`.
    pub fn fall_back(&mut self, hosts: u32, for_ms: u64, now_ms: u64) {
        self.allowed = (self.limit / hosts.max(1)).max(1);
        self.expires_ms = now_ms + for_ms;
        if self.allowed <= self.in_use {
            self.refused_until_ms = now_ms + DEMAND_WINDOW_MS.min(for_ms);
        }
    }
}
