//! Fleet-wide limits of the catalogue entries that this host owns, and grants of shares of them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use yucca_io::clock::boot_ms;
use yuccacove::limits::{GRANT_LIFETIME_MS, RateOwner, SlotOwner};

use crate::host::Host;
use crate::quota::UNUSED_AFTER_MS;
use crate::wire::{QuotaAmounts, QuotaGrant, QuotaRequest};

struct OwnedQuota {
    requests: RateOwner,
    tokens: RateOwner,
    slots: SlotOwner,
    /// Time of the first grant; all grants of a previous owner have expired by then.
    grants_from_ms: u64,
    last_used_ms: u64,
}

/// Limits owned by this host, by entry name.
#[derive(Default)]
pub struct OwnedQuotas {
    entries: Mutex<HashMap<String, OwnedQuota>>,
}

impl OwnedQuotas {
    /// Number of entries for which state is kept.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no state is kept for any entry.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Drops the state of entries that were not used for [`UNUSED_AFTER_MS`] or that this host no
    /// longer owns according to `owns`. If this host becomes their owner again, it starts like any
    /// new owner.
    pub fn prune(&self, owns: impl Fn(&str) -> bool, now_ms: u64) {
        self.lock()
            .retain(|name, owned| now_ms < owned.last_used_ms + UNUSED_AFTER_MS && owns(name));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, OwnedQuota>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Grants shares of an entry's limits if `host` has owned them for at least the lifetime of a
/// grant.
pub fn grant(host: &Host, request: &QuotaRequest) -> QuotaGrant {
    let catalogue = host.catalogue.snapshot();
    let Some(entry) = catalogue.entry(&request.entry) else {
        return QuotaGrant::NotOwner;
    };
    let is_owner = host.peers.owner(&request.entry).as_ref() == Some(&host.name);
    let now_ms = boot_ms();
    let mut entries = host.owned_quotas.lock();
    if !is_owner {
        entries.remove(&request.entry);
        return QuotaGrant::NotOwner;
    }
    let owned = entries
        .entry(request.entry.clone())
        .or_insert_with(|| OwnedQuota {
            requests: RateOwner::open(entry.requests_per_s, now_ms),
            tokens: RateOwner::open(entry.tokens_per_s, now_ms),
            slots: SlotOwner::open(entry.concurrent, now_ms),
            grants_from_ms: now_ms + GRANT_LIFETIME_MS,
            last_used_ms: now_ms,
        });
    owned.last_used_ms = now_ms;
    owned.requests.set_limit(entry.requests_per_s, now_ms);
    owned.tokens.set_limit(entry.tokens_per_s, now_ms);
    owned.slots.set_limit(entry.concurrent);
    // A new owner does not grant yet but already records the slots in use on each host.
    let slots = owned
        .slots
        .renew(&request.host, request.slots_in_use, request.slots, now_ms);
    if now_ms < owned.grants_from_ms {
        return QuotaGrant::NotBefore(owned.grants_from_ms - now_ms);
    }
    QuotaGrant::Granted(QuotaAmounts {
        requests: owned.requests.grant(request.requests, now_ms).amount,
        tokens: owned.tokens.grant(request.tokens, now_ms).amount,
        slots: slots.amount,
        valid_ms: slots.valid_ms,
    })
}
