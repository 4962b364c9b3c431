//! This host's parts of the fleet-wide limits of catalogue entries.

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

/// Parts of an entry's limits.
struct Held {
    requests: RateHolder,
    tokens: RateHolder,
    slots: SlotHolder,
    /// Most slots in use since the last renewal.
    peak_slots: u32,
    /// Amounts that requests wait for and that were not asked for yet.
    wanted: Wanted,
    /// Changes when the call that is under way to the owner ends; `None` while there is none.
    asking: Option<watch::Receiver<()>>,
    /// When the owner last granted.
    granted_ms: Option<u64>,
    used_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Wanted {
    requests: u32,
    tokens: u32,
    slots: u32,
}

/// What a request waits for.
enum Pause {
    /// The end of a call to the owner, which was asked for the limit with this code.
    Call(Code, watch::Receiver<()>),
    /// A moment at which a used-up limit has something again.
    Until(Instant),
}

/// What the limits say to a request.
enum Decision {
    Taken,
    Refused { code: Code, retry_after_ms: u64 },
    Ask { code: Code, wanted: Wanted },
}

/// Parts of the limits of all entries with callers on this host.
#[derive(Default)]
pub struct Quotas {
    entries: Mutex<HashMap<String, Held>>,
    calls: AtomicU64,
}

/// A request that counts in its entry's concurrency limit until this is dropped.
pub struct InUse {
    quotas: Arc<Quotas>,
    entry: String,
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some(held) = self.quotas.lock().get_mut(&self.entry) {
            held.slots.release();
            held.used_ms = boot_ms();
        }
    }
}

impl Quotas {
    /// Calls to other hosts so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of entries with state.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no entry has state.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Drops the state of entries that were not used for a while.
    pub fn prune(&self, now_ms: u64) {
        self.lock().retain(|_, held| {
            now_ms < held.used_ms + UNUSED_AFTER_MS
                || held.slots.in_use() > 0
                || held.asking.is_some()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Held>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request of `tokens` in the limits of `entry`.
///
/// # Errors
///
/// The problem of the limit that is used up, with the time after which a repeat may succeed.
pub async fn admit(
    host: &Arc<Host>,
    name: &str,
    entry: &Entry,
    tokens: u32,
) -> Result<InUse, Problem> {
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
    let wait_until = Instant::now() + Duration::from_millis(GRANT_WAIT_MS);
    loop {
        let pause = {
            let now_ms = boot_ms();
            let mut entries = host.quotas.lock();
            let held = entries
                .entry(name.to_owned())
                .or_insert_with(|| Held::open(entry, now_ms));
            held.set_limits(entry);
            held.used_ms = now_ms;
            match held.take(tokens, now_ms) {
                Decision::Taken => {
                    return Ok(InUse {
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
                    // A new owner's bucket is empty for a moment, which is no reason to refuse.
                    Pause::Until(retry_at)
                }
                Decision::Ask { code, wanted } => {
                    held.wanted.add(wanted, tokens);
                    match begin_call(host, name, held) {
                        Some(asking) => Pause::Call(code, asking),
                        None => continue,
                    }
                }
            }
        };
        let (code, mut asking) = match pause {
            Pause::Call(code, asking) => (code, asking),
            Pause::Until(retry_at) => {
                sleep_until(retry_at).await;
                continue;
            }
        };
        // A call that ends drops its sender, which also counts as a change.
        if timeout_at(wait_until, asking.changed()).await.is_ok() {
            continue;
        }
        let now_ms = boot_ms();
        if let Some(held) = host.quotas.lock().get_mut(name) {
            if held.granted_ms.is_some_and(|at| at >= started_ms) {
                // The owner answers, but other requests took all that it granted.
                return Err(problem(code, GRANT_LIFETIME_MS));
            }
            held.fall_back(host, GRANT_LIFETIME_MS, now_ms);
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
        for (name, held) in host.quotas.lock().iter_mut() {
            let in_use = held.slots.in_use();
            if in_use > 0 {
                // The peak is kept, so that requests that follow each other need no call each.
                held.slots.shrink(held.peak_slots);
                begin_call(&host, name, held);
            }
            held.peak_slots = held.slots.in_use();
        }
        host.quotas.prune(now_ms);
        let owns = |name: &str| host.peers.owner(name).as_ref() == Some(&host.name);
        host.owned_quotas.prune(owns, now_ms);
    }
}

/// Asks the owner for what is wanted. A call to another host runs on when its requests end, so that
/// its grant is not lost; there is one at a time for each entry. `None`: the answer was taken.
fn begin_call(host: &Arc<Host>, name: &str, held: &mut Held) -> Option<watch::Receiver<()>> {
    // A call whose task ended has dropped its sender.
    if let Some(asking) = &held.asking
        && asking.has_changed().is_ok()
    {
        return Some(asking.clone());
    }
    let Some(owner) = host.peers.owner(name) else {
        held.fall_back(host, GRANT_LIFETIME_MS, boot_ms());
        return None;
    };
    if owner == host.name {
        let request = held.request(host, name);
        let grant = quota_owner::grant(host, &request);
        held.answered(host, &request, grant, boot_ms());
        return None;
    }
    let (ended, asking) = watch::channel(());
    held.asking = Some(asking.clone());
    let (host, name) = (Arc::clone(host), name.to_owned());
    tokio::spawn(async move {
        let request = host
            .quotas
            .lock()
            .get_mut(&name)
            .map(|held| held.request(&host, &name));
        let Some(request) = request else {
            return;
        };
        host.quotas.calls.fetch_add(1, Ordering::Relaxed);
        let sent_ms = boot_ms();
        let grant = host.peers.quota(&owner, &request).await;
        if let Some(held) = host.quotas.lock().get_mut(&name) {
            held.asking = None;
            let grant = grant.unwrap_or(QuotaGrant::NotOwner);
            held.answered(&host, &request, grant, sent_ms);
        }
        drop(ended);
    });
    Some(asking)
}

impl Held {
    fn open(entry: &Entry, now_ms: u64) -> Self {
        Self {
            requests: RateHolder::open(entry.requests_per_s, now_ms),
            tokens: RateHolder::open(entry.tokens_per_s, now_ms),
            slots: SlotHolder::open(entry.concurrent, now_ms),
            peak_slots: 0,
            wanted: Wanted::default(),
            asking: None,
            granted_ms: None,
            used_ms: now_ms,
        }
    }

    fn set_limits(&mut self, entry: &Entry) {
        self.requests.set_limit(entry.requests_per_s);
        self.tokens.set_limit(entry.tokens_per_s);
        self.slots.set_limit(entry.concurrent);
    }

    /// Counts a request in all limits or in none.
    fn take(&mut self, tokens: u32, now_ms: u64) -> Decision {
        let slot = self.slots.acquire(now_ms);
        let request = self.requests.acquire(1, now_ms);
        let token = match tokens {
            0 => AcquireResult::Acquired,
            tokens => self.tokens.acquire(tokens, now_ms),
        };
        let takes = [
            (request, Code::RateLimited),
            (slot, Code::ConcurrencyLimited),
            (token, Code::TokensLimited),
        ];
        if takes
            .iter()
            .all(|(take, _)| *take == AcquireResult::Acquired)
        {
            self.peak_slots = self.peak_slots.max(self.slots.in_use());
            return Decision::Taken;
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
        for (take, code) in takes {
            if let AcquireResult::Refused { retry_after_ms } = take {
                return Decision::Refused {
                    code,
                    retry_after_ms,
                };
            }
        }
        let asked = |take| match take {
            AcquireResult::Ask(amount) => amount,
            AcquireResult::Acquired | AcquireResult::Refused { .. } => 0,
        };
        let ask = takes
            .iter()
            .find(|(take, _)| *take != AcquireResult::Acquired);
        Decision::Ask {
            code: ask.map_or(Code::RateLimited, |(_, code)| *code),
            wanted: Wanted {
                requests: asked(request),
                tokens: asked(token),
                slots: asked(slot),
            },
        }
    }

    /// The call for what is wanted.
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

    fn answered(&mut self, host: &Host, request: &QuotaRequest, grant: QuotaGrant, sent_ms: u64) {
        let now_ms = boot_ms();
        let amounts = match grant {
            QuotaGrant::Granted(amounts) => amounts,
            // Counted from the call, so that the share is not used beyond the owner's start.
            QuotaGrant::NotBefore(for_ms) => return self.fall_back(host, for_ms, sent_ms),
            QuotaGrant::NotOwner => return self.fall_back(host, GRANT_LIFETIME_MS, now_ms),
        };
        let valid_ms = amounts.valid_ms;
        let part = |amount| Grant { amount, valid_ms };
        self.granted_ms = Some(now_ms);
        // A grant extends the life of a balance, so that none is taken that was not asked for.
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

    fn fall_back(&mut self, host: &Host, for_ms: u64, now_ms: u64) {
        let hosts = u32::try_from(host.peers.live().len()).unwrap_or(u32::MAX);
        self.requests.fall_back(hosts, for_ms, now_ms);
        self.tokens.fall_back(hosts, for_ms, now_ms);
        self.slots.fall_back(hosts, for_ms, now_ms);
    }
}

impl Wanted {
    /// Adds what another request of `tokens` waits for. `more` holds the amounts that the host
    /// expects to use soon, so that these are not added up.
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
