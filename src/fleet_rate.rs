//! Rate limits that backends name for all hosts together, kept without a call to the store.
//!
//! For each limited backend, one host owns the limit: the one that ranks first by rendezvous
//! hashing among the hosts that respond. It grants single requests to the hosts that ask for them,
//! so that a limit below one request a second for each host is neither rounded up nor left unused.
//! A host without a grant uses other backends meanwhile.
//!
//! Which limit holds: responses arrive out of order, so that a limit ends, or rises, only with a
//! response to a request that was sent after the limit was last named.
//!
//! Grants are made by [`RateOwner`]: a new owner waits until the grants of the previous one have
//! expired. A host repeats a question under the same number until it has the answer: a repeated
//! question tells the owner that its last grant was lost, so that it takes that grant back. An
//! answer counts once.
//!
//! ```
//! use yuccacove::fleet_rate::{BackendId, FleetRates, HostId, Permission};
//!
//! let (own, backend) = (HostId(1), BackendId(9));
//! let mut rates = FleetRates::new(own, 0);
//! assert_eq!(rates.permission(backend, 0), Permission::Granted);
//! rates.record_response(backend, Some(2.0), 0, 10);
//! assert_eq!(rates.permission(backend, 10), Permission::Askable);
//! // Without other hosts this one is the owner. A new owner grants nothing for a second.
//! rates.ask(backend, &[], 100);
//! assert_eq!(rates.permission(backend, 100), Permission::Withheld);
//! rates.ask(backend, &[], 2_000);
//! assert_eq!(rates.permission(backend, 2_000), Permission::Granted);
//! rates.record_request(backend);
//! assert_eq!(rates.permission(backend, 2_000), Permission::Askable);
//! ```

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::limits::{GRANT_LIFETIME_MS, RateOwner};
use crate::signed_time::signed_ms;
use crate::splitmix::splitmix64;

/// Time in ms after which a host asks again if it gets no answer.
const ASK_INTERVAL_MS: u64 = 100;
/// Shortest time in ms for which a host does not ask after its owner had nothing to grant.
const MIN_DENIED_MS: f64 = 50.0;
/// The longest such time.
const MAX_DENIED_MS: f64 = 500.0;
const MS_PER_S: f64 = 1_000.0;
/// Time in ms for which one grant of a high limit is to last, so that a host need not ask for each
/// request.
const GRANT_WINDOW_MS: f64 = 100.0;
/// Time in ms after which a host returns a grant that it has not used, so that others can use it. A
/// host of a large fleet may get its next request only after the grant has expired.
const RETURN_AFTER_MS: u64 = 250;
/// Time in ms without an answer to a question after which an owner counts as unresponsive.
const SILENT_AFTER_MS: u64 = 1_000;
/// Number of times that a question is sent without an answer after which it does. While two hosts
/// take different ones for the owner, both grant. With a third of the messages lost, 0.55 of the
/// questions have no answer: eight in a row occurred within minutes, sixteen are one in 14,000.
const SILENT_QUESTIONS: u32 = 16;
/// Time in ms for which an unresponsive host is not asked.
const SILENT_MS: u64 = 3_000;
/// Difference in ms between the ages of two observations below which they count as equally old. It
/// is above the usual delay of a message, so that hosts do not renew each other's observations.
const SAME_AGE_MS: i64 = 100;
/// Time in ms after which a limit that no response has named is forgotten.
const EXPIRY_MS: i64 = 600_000;

/// Identifies an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostId(pub u64);

/// Identifies an incarnation of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BackendId(pub u64);

/// The limit that a host last observed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The backend.
    pub backend: BackendId,
    /// Requests a second; `None` if the backend named none any more.
    pub limit_per_s: Option<f64>,
    /// Time since the response, in ms.
    pub age_ms: u64,
}

/// A message between two hosts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner of a limit for a number of requests.
    Ask {
        /// The limit as the sender knows it.
        report: LimitReport,
        /// Number of the question.
        question: u32,
        /// Number of requests.
        want: u32,
    },
    /// Grants a number of requests, which may be 0.
    Grant {
        /// The backend.
        backend: BackendId,
        /// Number of the question that is answered.
        question: u32,
        /// Number of requests.
        amount: u32,
    },
    /// Returns a part of a grant that was not used.
    Return {
        /// The backend.
        backend: BackendId,
        /// Number of requests.
        amount: u32,
    },
}

/// Whether a host may send a request to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It may: the backend names no limit, or the host has a grant.
    Granted,
    /// It must ask for a grant first.
    Askable,
    /// It has asked and waits for the answer.
    Asking,
    /// It may not for now, because there was nothing to grant.
    Withheld,
}

/// A question to an owner that it has not answered.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    owner: HostId,
    question: u32,
    since_ms: u64,
    /// Number of times that the question was sent.
    sent: u32,
}

impl Waiting {
    fn is_silent(&self, now_ms: u64) -> bool {
        self.sent >= SILENT_QUESTIONS && now_ms >= self.since_ms + SILENT_AFTER_MS
    }
}

/// A limit that this host owns.
#[derive(Debug)]
struct Owned {
    bucket: RateOwner,
    /// Number of the last question of each host, and what was granted.
    answers: IndexMap<HostId, (u32, u32)>,
}

impl Owned {
    fn open(limit_per_s: f64, now_ms: u64) -> Self {
        Self {
            bucket: RateOwner::open(limit_per_s, now_ms),
            answers: IndexMap::new(),
        }
    }

    fn answer(&mut self, from: HostId, question: u32, want: u32, now_ms: u64) -> u32 {
        if let Some((_, lost)) = self.answers.get(&from).filter(|last| last.0 == question) {
            self.bucket.give_back(*lost);
        }
        let amount = self.bucket.grant(want, now_ms).amount;
        self.answers.insert(from, (question, amount));
        amount
    }
}

/// A limit with what this host may use of it, and what it grants if it is the owner.
#[derive(Debug)]
struct Rate {
    limit_per_s: Option<f64>,
    /// Time of the response that named the limit, or none; negative if it was before this host's
    /// clock began.
    observed_ms: i64,
    balance: u32,
    balance_until_ms: u64,
    /// The owner that made the last grant, and when.
    granted: Option<(HostId, u64)>,
    /// Time until which the owner has nothing to grant.
    denied_until_ms: u64,
    /// Time at which the last question was last sent.
    asked_ms: Option<u64>,
    /// The question that has not been answered.
    waiting: Option<Waiting>,
    owned: Option<Owned>,
}

impl Rate {
    fn has_balance(&self, now_ms: u64) -> bool {
        self.balance > 0 && now_ms < self.balance_until_ms
    }

    fn waits_for(&self, owner: HostId, question: u32) -> bool {
        self.waiting
            .is_some_and(|waiting| (waiting.owner, waiting.question) == (owner, question))
    }

    fn report(&self, backend: BackendId, now_ms: u64) -> LimitReport {
        LimitReport {
            backend,
            limit_per_s: self.limit_per_s,
            age_ms: u64::try_from(signed_ms(now_ms) - self.observed_ms).unwrap_or(0),
        }
    }

    fn set_limit(&mut self, limit_per_s: Option<f64>) {
        self.limit_per_s = limit_per_s;
        match limit_per_s {
            Some(limit_per_s) => self.balance = self.balance.min(want(limit_per_s)),
            None => self.owned = None,
        }
    }

    fn receive_grant(&mut self, owner: HostId, amount: u32, now_ms: u64) {
        self.waiting = None;
        self.asked_ms = None;
        if amount == 0 {
            let refill_ms = MS_PER_S / self.limit_per_s.unwrap_or(MS_PER_S);
            let pause_ms = refill_ms.clamp(MIN_DENIED_MS, MAX_DENIED_MS);
            self.denied_until_ms = now_ms + pause_ms as u64;
        } else {
            self.granted = Some((owner, now_ms));
            let kept = if self.has_balance(now_ms) {
                self.balance
            } else {
                0
            };
            self.balance = kept.saturating_add(amount);
            self.balance_until_ms = now_ms + GRANT_LIFETIME_MS;
        }
    }
}

/// The limits that backends name, on one host. Times are on the host's monotonic clock.
#[derive(Debug)]
pub struct FleetRates {
    own: HostId,
    rates: IndexMap<BackendId, Rate>,
    /// Time until which each unresponsive host is not asked.
    silent_until_ms: IndexMap<HostId, u64>,
    outbox: Vec<(HostId, Message)>,
    /// Limits to announce to all hosts, because they began or ended.
    announced: Vec<BackendId>,
    next_question: u32,
}

impl FleetRates {
    /// Creates the state of the host `own`. `first_question` should differ between runs of the host:
    /// an owner may know the questions of an earlier one.
    pub fn new(own: HostId, first_question: u32) -> Self {
        Self {
            own,
            rates: IndexMap::new(),
            silent_until_ms: IndexMap::new(),
            outbox: Vec::new(),
            announced: Vec::new(),
            next_question: first_question,
        }
    }

    /// Whether no backend is known to have a limit.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Returns the limit of a backend in requests a second; `None` if it has none.
    pub fn limit_per_s(&self, backend: BackendId) -> Option<f64> {
        self.rates.get(&backend)?.limit_per_s
    }

    /// Records the limit that a response names, or that it names none. The request was sent at
    /// `sent_ms`. Returns whether the limit is another one than before.
    pub fn record_response(
        &mut self,
        backend: BackendId,
        limit_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(rate) = self.rates.get_mut(&backend) else {
            let is_limited = limit_per_s.is_some();
            if is_limited {
                self.insert(backend, limit_per_s, signed_ms(now_ms));
                self.announced.push(backend);
            }
            return is_limited;
        };
        let is_newer = signed_ms(sent_ms) >= rate.observed_ms;
        let is_stricter = is_stricter(limit_per_s, rate.limit_per_s);
        if !is_newer && !is_stricter && limit_per_s != rate.limit_per_s {
            return false;
        }
        rate.observed_ms = signed_ms(now_ms);
        if limit_per_s == rate.limit_per_s {
            return false;
        }
        if limit_per_s.is_some() != rate.limit_per_s.is_some() {
            self.announced.push(backend);
        }
        rate.set_limit(limit_per_s);
        true
    }

    /// Merges what another host observed: the newer observation holds, and of two that are equally
    /// old the stricter one. Returns whether the limit is another one than before.
    pub fn merge(&mut self, report: &LimitReport, now_ms: u64) -> bool {
        let observed_ms = signed_ms(now_ms) - signed_ms(report.age_ms);
        if signed_ms(report.age_ms) >= EXPIRY_MS {
            return false;
        }
        let Some(rate) = self.rates.get_mut(&report.backend) else {
            self.insert(report.backend, report.limit_per_s, observed_ms);
            return report.limit_per_s.is_some();
        };
        let newer_ms = observed_ms - rate.observed_ms;
        let is_same_age = newer_ms.abs() <= SAME_AGE_MS;
        let is_stricter = is_stricter(report.limit_per_s, rate.limit_per_s);
        if newer_ms > SAME_AGE_MS || (is_same_age && is_stricter) {
            rate.observed_ms = observed_ms;
            let is_changed = report.limit_per_s != rate.limit_per_s;
            rate.set_limit(report.limit_per_s);
            return is_changed;
        }
        false
    }

    /// Returns whether this host may send a request to the backend now.
    pub fn permission(&self, backend: BackendId, now_ms: u64) -> Permission {
        let Some(rate) = self.rates.get(&backend) else {
            return Permission::Granted;
        };
        if rate.limit_per_s.is_none() || rate.has_balance(now_ms) {
            return Permission::Granted;
        }
        let is_asking = rate
            .asked_ms
            .is_some_and(|asked_ms| now_ms < asked_ms + ASK_INTERVAL_MS);
        if is_asking {
            Permission::Asking
        } else if now_ms < rate.denied_until_ms {
            Permission::Withheld
        } else {
            Permission::Askable
        }
    }

    /// Asks the owner of a limit for a grant, unless this host may send a request already or must
    /// not ask now. The grant may be there at once. `peers` are the other hosts.
    pub fn ask(&mut self, backend: BackendId, peers: &[HostId], now_ms: u64) {
        if self.permission(backend, now_ms) != Permission::Askable {
            return;
        }
        let rate = &mut self.rates[&backend];
        let want = want(rate.limit_per_s.unwrap_or(0.0));
        if let Some(waiting) = rate.waiting.take_if(|waiting| waiting.is_silent(now_ms)) {
            let until_ms = now_ms + SILENT_MS;
            self.silent_until_ms.insert(waiting.owner, until_ms);
        }
        let silent = &self.silent_until_ms;
        let owner = owner(backend, self.own, peers, |host| {
            silent.get(&host).is_some_and(|until_ms| now_ms < *until_ms)
        });
        if owner == self.own {
            let owned = self.owned(backend, now_ms);
            let amount = owned.map_or(0, |owned| owned.bucket.grant(want, now_ms).amount);
            self.rates[&backend].receive_grant(owner, amount, now_ms);
            return;
        }
        rate.asked_ms = Some(now_ms);
        let waiting = rate.waiting.take_if(|waiting| waiting.owner == owner);
        let waiting = waiting.unwrap_or_else(|| {
            let question = self.next_question;
            self.next_question = question.wrapping_add(1);
            Waiting {
                owner,
                question,
                since_ms: now_ms,
                sent: 0,
            }
        });
        rate.waiting = Some(Waiting {
            sent: waiting.sent + 1,
            ..waiting
        });
        let ask = Message::Ask {
            report: rate.report(backend, now_ms),
            question: waiting.question,
            want,
        };
        self.outbox.push((owner, ask));
    }

    /// Counts a request, a retry or a prefill that is sent to the backend.
    pub fn record_request(&mut self, backend: BackendId) {
        if let Some(rate) = self.rates.get_mut(&backend) {
            rate.balance = rate.balance.saturating_sub(1);
        }
    }

    /// Handles a message from another host.
    pub fn receive(&mut self, from: HostId, message: &Message, now_ms: u64) {
        self.silent_until_ms.swap_remove(&from);
        match message {
            Message::Ask {
                report,
                question,
                want,
            } => {
                self.merge(report, now_ms);
                let backend = report.backend;
                let owned = self.owned(backend, now_ms);
                let amount = owned.map_or(0, |owned| owned.answer(from, *question, *want, now_ms));
                let grant = Message::Grant {
                    backend,
                    question: *question,
                    amount,
                };
                self.outbox.push((from, grant));
            }
            Message::Grant {
                backend,
                question,
                amount,
            } => {
                let rate = self.rates.get_mut(backend);
                if let Some(rate) = rate.filter(|rate| rate.waits_for(from, *question)) {
                    rate.receive_grant(from, *amount, now_ms);
                }
            }
            Message::Return { backend, amount } => self.take_back(*backend, *amount),
        }
    }

    /// Whether there are messages or announcements to send.
    pub fn has_messages(&self) -> bool {
        !self.outbox.is_empty() || !self.announced.is_empty()
    }

    /// Returns and forgets the messages to send, each with its recipient. Grants that have not been
    /// used for a while are returned to their owners.
    pub fn take_messages(&mut self, now_ms: u64) -> Vec<(HostId, Message)> {
        let mut own_returns = Vec::new();
        for (backend, rate) in &mut self.rates {
            let Some((owner, granted_ms)) = rate.granted else {
                continue;
            };
            if now_ms < granted_ms + RETURN_AFTER_MS || !rate.has_balance(now_ms) {
                continue;
            }
            let amount = std::mem::take(&mut rate.balance);
            let backend = *backend;
            if owner == self.own {
                own_returns.push((backend, amount));
            } else {
                self.outbox
                    .push((owner, Message::Return { backend, amount }));
            }
        }
        for (backend, amount) in own_returns {
            self.take_back(backend, amount);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Returns and forgets the limits that this host observed to begin or end, for all hosts.
    pub fn take_announced(&mut self, now_ms: u64) -> Vec<LimitReport> {
        let announced = std::mem::take(&mut self.announced);
        announced
            .into_iter()
            .filter_map(|backend| Some(self.rates.get(&backend)?.report(backend, now_ms)))
            .collect()
    }

    /// Returns up to `limit` limits for a host that may not know them, beginning with the one
    /// number `start`; forgets those that have expired.
    pub fn sample(&mut self, start: u64, limit: usize, now_ms: u64) -> Vec<LimitReport> {
        self.rates
            .retain(|_, rate| signed_ms(now_ms) - rate.observed_ms < EXPIRY_MS);
        let count = self.rates.len();
        let start = start as usize % count.max(1);
        let in_turn = self.rates.iter().cycle().skip(start).take(count.min(limit));
        in_turn
            .map(|(backend, rate)| rate.report(*backend, now_ms))
            .collect()
    }

    /// Returns the state with which this host grants requests of a limit; `None` if it knows no
    /// limit of the backend.
    fn owned(&mut self, backend: BackendId, now_ms: u64) -> Option<&mut Owned> {
        let rate = self.rates.get_mut(&backend)?;
        let limit_per_s = rate.limit_per_s?;
        let owned = rate
            .owned
            .get_or_insert_with(|| Owned::open(limit_per_s, now_ms));
        owned.bucket.set_limit(limit_per_s, now_ms);
        Some(owned)
    }

    fn take_back(&mut self, backend: BackendId, amount: u32) {
        let rate = self.rates.get_mut(&backend);
        if let Some(owned) = rate.and_then(|rate| rate.owned.as_mut()) {
            owned.bucket.give_back(amount);
        }
    }

    fn insert(&mut self, backend: BackendId, limit_per_s: Option<f64>, observed_ms: i64) {
        let rate = Rate {
            limit_per_s,
            observed_ms,
            balance: 0,
            balance_until_ms: 0,
            granted: None,
            denied_until_ms: 0,
            asked_ms: None,
            waiting: None,
            owned: None,
        };
        self.rates.insert(backend, rate);
    }
}

/// Number of requests to ask for at a time.
fn want(limit_per_s: f64) -> u32 {
    // The cast saturates.
    ((limit_per_s * GRANT_WINDOW_MS / MS_PER_S).ceil() as u32).max(1)
}

/// Whether the limit `new` admits fewer requests than `known`.
fn is_stricter(new: Option<f64>, known: Option<f64>) -> bool {
    match (new, known) {
        (Some(new), Some(known)) => new < known,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Returns the host that ranks first for a backend, without those that are silent.
fn owner(
    backend: BackendId,
    own: HostId,
    peers: &[HostId],
    is_silent: impl Fn(HostId) -> bool,
) -> HostId {
    let candidates = peers.iter().copied().filter(|host| !is_silent(*host));
    let all = candidates.chain([own]);
    all.max_by_key(|host| splitmix64(backend.0 ^ host.0))
        .unwrap_or(own)
}
