//! This host's shares of the fleet-wide limits of catalogue entries.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use yucca_io::clock::boot_ms;
use yuccacove::catalogue::Entry;
use yuccacove::code::Code;
use yuccacove::limits::{AcquireResult, GRANT_LIFETIME_MS, Grant, RateHolder, SlotHolder};

use crate::host::Host;
use crate::problem::Problem;
use crate::quota_owner;
use crate::wire::{QuotaGrant, QuotaRequest};

/// Longest wait of a request for a grant.
pub const GRANT_WAIT_MS: u64 = 100;
/// Time without a request after which the state of an entry is dropped.
pub const UNUSED_AFTER_MS: u64 = 60_000;
/// Interval at which slots in use are renewed. A renewal after the whole lifetime of a grant would
/// come too late: the owner would have given the slots to other hosts.
const RENEW_MS: u64 = GRANT_LIFETIME_MS / 2;

/// This host's share of an entry's limits.
struct LocalQuota {
    requests: RateHolder,
    tokens: RateHolder,
    slots: SlotHolder,
    /// Largest number of slots in use since the last renewal.
    peak_slots: u32,
    /// Amounts that requests wait for and that have not been requested from the owner.
    wanted: Wanted,
    /// Signals the end of the pending call to the owner; `None` while no call is pending.
    owner_call: Option<watch::Receiver<()>>,
    /// When the owner last made a grant.
    last_grant_ms: Option<u64>,
    last_used_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Wanted {
    requests: u32,
    tokens: u32,
    slots: u32,
}

/// What a request waits for.
enum WaitFor {
    /// The end of a call to the owner, made because of the limit with this code.
    OwnerCall(Code, watch::Receiver<()>),
    /// The time at which an exhausted limit has capacity again.
    Until(Instant),
}

/// Decision of the local limits on a request.
enum Decision {
    Admitted,
    Refused {
        code: Code,
        retry_after_ms: u64,
    },
    /// The owner must first grant `wanted`; `code` is that of the first limit that requires it.
    Ask {
        code: Code,
        wanted: Wanted,
    },
}

/// This host's shares of the limits of all entries that it receives requests for.
#[derive(Default)]
pub struct Quotas {
    entries: Mutex<HashMap<String, LocalQuota>>,
    calls: AtomicU64,
}

/// Counts a request towards its entry's concurrency limit until dropped.
pub struct ConcurrencyPermit {
    quotas: Arc<Quotas>,
    entry: String,
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        if let Some(quota) = self.quotas.lock().get_mut(&self.entry) {
            quota.slots.release();
            quota.last_used_ms = boot_ms();
        }
    }
}

impl Quotas {
    /// Number of calls to other hosts since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of entries for which state is kept.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no state is kept for any entry.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Drops the state of entries that were not used for [`UNUSED_AFTER_MS`], unless they have
    /// slots in use or a pending call.
    pub fn prune(&self, now_ms: u64) {
        self.lock().retain(|_, quota| {
            now_ms < quota.last_used_ms + UNUSED_AFTER_MS
                || quota.slots.in_use() > 0
                || quota.owner_call.is_some()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, LocalQuota>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request of `tokens` tokens towards the limits of `entry`, waiting up to
/// [`GRANT_WAIT_MS`] for a grant.
///
/// # Errors
///
/// The problem for the exhausted limit, with the time after which a retry may succeed.
pub async fn admit(
    host: &Arc<Host>,
    name: &str,
    entry: &Entry,
    tokens: u32,
) -> Result<ConcurrencyPermit, Problem> {
    // A plain entry has no token limit.
    let tokens = if entry.tokens_per_s == 0 { 0 } else { tokens };
    if tokens > entry.tokens_per_s {
        let limit = entry.tokens_per_s;
        let detail = format!("the request needs {tokens} tokens, the entry has {limit} a second");
        let mut problem = Problem::new(Code::TokensLimited, detail);
        problem.retry_after_s = None;
        return Err(problem);
    }
    let started_ms = boot_ms();
    let started = Instant::now();
    let mut wait_until = started + Duration::from_millis(GRANT_WAIT_MS);
    let wait_limit = started + Duration::from_millis(GRANT_LIFETIME_MS);
    loop {
        let wait_for = {
            let now_ms = boot_ms();
            let mut entries = host.quotas.lock();
            let quota = entries
                .entry(name.to_owned())
                .or_insert_with(|| LocalQuota::open(entry, now_ms));
            quota.set_limits(entry);
            quota.last_used_ms = now_ms;
            match quota.try_acquire(tokens, now_ms) {
                Decision::Admitted => {
                    return Ok(ConcurrencyPermit {
                        quotas: Arc::clone(&host.quotas),
                        entry: name.to_owned(),
                    });
                }
                Decision::Refused {
                    code,
                    retry_after_ms,
                } => {
                    let retry_at = Instant::now() + Duration::from_millis(retry_after_ms);
                    if retry_at > wait_until {
                        return Err(problem(code, retry_after_ms));
                    }
                    // The bucket of a new owner is empty for a short time, which is no reason to
                    // refuse.
                    WaitFor::Until(retry_at)
                }
                Decision::Ask { code, wanted } => {
                    quota.wanted.add(wanted, tokens);
                    match begin_call(host, name, quota) {
                        Some(owner_call) => WaitFor::OwnerCall(code, owner_call),
                        None => continue,
                    }
                }
            }
        };
        let (code, mut owner_call) = match wait_for {
            WaitFor::OwnerCall(code, owner_call) => (code, owner_call),
            WaitFor::Until(retry_at) => {
                sleep_until(retry_at).await;
                continue;
            }
        };
        // A call that ends drops its sender, which also counts as a change.
        if timeout_at(wait_until, owner_call.changed()).await.is_ok() {
            continue;
        }
        let now_ms = boot_ms();
        if let Some(quota) = host.quotas.lock().get_mut(name) {
            if quota.last_grant_ms.is_some_and(|at| at >= started_ms) {
                if wait_until == wait_limit {
                    // Other requests use up what the owner grants.
                    return Err(problem(code, GRANT_LIFETIME_MS));
                }
                // The owner responds, and has not refused: on a busy host one call may take most of
                // the wait.
                wait_until = wait_limit;
                continue;
            }
            quota.owner_unreachable(host, now_ms);
        }
    }
}

fn problem(code: Code, retry_after_ms: u64) -> Problem {
    let mut problem = Problem::new(code, "the entry's limit in the whole fleet is used up");
    problem.retry_after_s = Some(retry_after_ms.div_ceil(1_000));
    problem
}

/// Renews the slots in use and drops unused state until the task is aborted.
pub async fn run(host: Arc<Host>) {
    loop {
        sleep(Duration::from_millis(RENEW_MS)).await;
        let now_ms = boot_ms();
        for (name, quota) in host.quotas.lock().iter_mut() {
            let in_use = quota.slots.in_use();
            if in_use > 0 {
                // Keeps slots up to the recent peak, so that successive requests do not each need a
                // call.
                quota.slots.shrink(quota.peak_slots);
                begin_call(&host, name, quota);
            }
            quota.peak_slots = quota.slots.in_use();
        }
        host.quotas.prune(now_ms);
        let owns = |name: &str| host.peers.owner(name).as_ref() == Some(&host.name);
        host.owned_quotas.prune(owns, now_ms);
    }
}

/// Asks the owner for the wanted amounts, with one call at a time for each entry. A call to another
/// host continues after the requests that wait for it have ended, so that its grant is not lost.
/// `None` means that the result was applied at once, because this host is the owner or there is
/// none.
fn begin_call(host: &Arc<Host>, name: &str, quota: &mut LocalQuota) -> Option<watch::Receiver<()>> {
    // The sender is dropped when the task of a call ends.
    if let Some(owner_call) = &quota.owner_call
        && owner_call.has_changed().is_ok()
    {
        return Some(owner_call.clone());
    }
    let Some(owner) = host.peers.owner(name) else {
        quota.owner_unreachable(host, boot_ms());
        return None;
    };
    if owner == host.name {
        let request = quota.request(host, name);
        let grant = quota_owner::grant(host, &request);
        quota.apply_grant(host, &request, grant, boot_ms());
        return None;
    }
    let (ended, owner_call) = watch::channel(());
    quota.owner_call = Some(owner_call.clone());
    let (host, name) = (Arc::clone(host), name.to_owned());
    tokio::spawn(async move {
        let request = host
            .quotas
            .lock()
            .get_mut(&name)
            .map(|quota| quota.request(&host, &name));
        let Some(request) = request else {
            return;
        };
        host.quotas.calls.fetch_add(1, Ordering::Relaxed);
        let sent_ms = boot_ms();
        let grant = host.peers.request_quota(&owner, &request).await;
        if let Some(quota) = host.quotas.lock().get_mut(&name) {
            quota.owner_call = None;
            let grant = grant.unwrap_or(QuotaGrant::NotOwner);
            quota.apply_grant(&host, &request, grant, sent_ms);
        }
        drop(ended);
    });
    Some(owner_call)
}

impl LocalQuota {
    fn open(entry: &Entry, now_ms: u64) -> Self {
        Self {
            requests: RateHolder::open(entry.requests_per_s, now_ms),
            tokens: RateHolder::open(entry.tokens_per_s, now_ms),
            slots: SlotHolder::open(entry.concurrent, now_ms),
            peak_slots: 0,
            wanted: Wanted::default(),
            owner_call: None,
            last_grant_ms: None,
            last_used_ms: now_ms,
        }
    }

    fn set_limits(&mut self, entry: &Entry) {
        self.requests.set_limit(entry.requests_per_s);
        self.tokens.set_limit(entry.tokens_per_s);
        self.slots.set_limit(entry.concurrent);
    }

    /// Counts a request towards all limits or towards none.
    fn try_acquire(&mut self, tokens: u32, now_ms: u64) -> Decision {
        let slot = self.slots.acquire(now_ms);
        let request = self.requests.acquire(1, now_ms);
        let token = match tokens {
            0 => AcquireResult::Acquired,
            tokens => self.tokens.acquire(tokens, now_ms),
        };
        let results = [
            (request, Code::RateLimited),
            (slot, Code::ConcurrencyLimited),
            (token, Code::TokensLimited),
        ];
        if results
            .iter()
            .all(|(result, _)| *result == AcquireResult::Acquired)
        {
            self.peak_slots = self.peak_slots.max(self.slots.in_use());
            return Decision::Admitted;
        }
        if slot == AcquireResult::Acquired {
            self.slots.release();
        }
        if request == AcquireResult::Acquired {
            self.requests.release(1, now_ms);
        }
        if token == AcquireResult::Acquired && tokens > 0 {
            self.tokens.release(tokens, now_ms);
        }
        for (result, code) in results {
            if let AcquireResult::Refused { retry_after_ms } = result {
                return Decision::Refused {
                    code,
                    retry_after_ms,
                };
            }
        }
        let asked_amount = |result| match result {
            AcquireResult::Ask(amount) => amount,
            AcquireResult::Acquired | AcquireResult::Refused { .. } => 0,
        };
        let ask = results
            .iter()
            .find(|(result, _)| *result != AcquireResult::Acquired);
        Decision::Ask {
            code: ask.map_or(Code::RateLimited, |(_, code)| *code),
            wanted: Wanted {
                requests: asked_amount(request),
                tokens: asked_amount(token),
                slots: asked_amount(slot),
            },
        }
    }

    /// Builds the request for the wanted amounts and resets them.
    fn request(&mut self, host: &Host, name: &str) -> QuotaRequest {
        let wanted = std::mem::take(&mut self.wanted);
        let (slots_in_use, slots) = self.slots.renewal(wanted.slots, boot_ms());
        QuotaRequest {
            entry: name.to_owned(),
            host: host.name.clone(),
            requests: wanted.requests,
            tokens: wanted.tokens,
            slots_in_use,
            slots,
        }
    }

    /// Applies the owner's reply to `request`, which was sent at `sent_ms`.
    fn apply_grant(
        &mut self,
        host: &Host,
        request: &QuotaRequest,
        grant: QuotaGrant,
        sent_ms: u64,
    ) {
        let now_ms = boot_ms();
        let amounts = match grant {
            QuotaGrant::Granted(amounts) => amounts,
            // Counted from the start of the call, so that the fallback share is not used after the
            // owner starts to grant.
            QuotaGrant::NotBefore(for_ms) => return self.fall_back(host, for_ms, sent_ms),
            QuotaGrant::NotOwner => return self.owner_unreachable(host, now_ms),
        };
        let valid_ms = amounts.valid_ms;
        let part = |amount| Grant { amount, valid_ms };
        self.last_grant_ms = Some(now_ms);
        // A grant extends the lifetime of a balance, so only limits that were asked for are
        // updated.
        if request.requests > 0 {
            let grant = part(amounts.requests);
            self.requests.granted(request.requests, grant, now_ms);
        }
        if request.tokens > 0 {
            let grant = part(amounts.tokens);
            self.tokens.granted(request.tokens, grant, now_ms);
        }
        self.slots.granted(part(amounts.slots), now_ms);
    }

    /// Uses an equal share of the limits among the live hosts for the lifetime of a grant.
    fn owner_unreachable(&mut self, host: &Host, now_ms: u64) {
        let hosts = u32::try_from(host.peers.live().len()).unwrap_or(u32::MAX);
        self.requests.owner_unreachable(hosts, now_ms);
        self.tokens.owner_unreachable(hosts, now_ms);
        self.slots.owner_unreachable(hosts, now_ms);
    }

    /// Uses the same share for `for_ms` from `now_ms` on, because a new owner does not grant yet.
    fn fall_back(&mut self, host: &Host, for_ms: u64, now_ms: u64) {
        let hosts = u32::try_from(host.peers.live().len()).unwrap_or(u32::MAX);
        self.requests.fall_back(hosts, for_ms, now_ms);
        self.tokens.fall_back(hosts, for_ms, now_ms);
        self.slots.fall_back(hosts, for_ms, now_ms);
    }
}

impl Wanted {
    /// Adds what another request of `tokens` tokens waits for. `more` holds the amounts that the
    /// host as a whole expects to use soon, so they are not summed over requests.
    fn add(&mut self, more: Self, tokens: u32) {
        let sum = |so_far: u32, own: u32, ahead: u32| match ahead {
            0 => so_far,
            ahead => so_far.saturating_add(own).max(ahead),
        };
        self.requests = sum(self.requests, 1, more.requests);
        self.tokens = sum(self.tokens, tokens, more.tokens);
        self.slots = sum(self.slots, 1, more.slots);
    }
}
