//! Recent work of organisations and kinds of requests on one host, and who is above or below its
//! share of it.
//!
//! All amounts decay, so that a shortage that has ended is forgotten. Without a shortage nothing is
//! refused, and everyone's standing is [`Standing::Fair`].
//!
//! ```
//! use yuccacove::fair_shares::{Asker, FairShares, Standing};
//!
//! let asker = |organisation| Asker { organisation: Some(organisation), kind: 1, urgency: 0, tokens: 800 };
//! let mut shares = FairShares::default();
//! for _ in 0..50 {
//!     // Both are served half of what they ask for, but one asks for twice the work of the other.
//!     shares.record(&asker(7), 26.0, true, 0);
//!     shares.record(&asker(7), 26.0, false, 0);
//!     shares.record(&asker(8), 13.0, true, 0);
//!     shares.record(&asker(8), 13.0, false, 0);
//! }
//! assert_eq!(shares.standing(&asker(7), 200), Standing::Over);
//! assert_eq!(shares.standing(&asker(8), 200), Standing::Fair);
//! ```

use indexmap::IndexMap;

/// Time in which recorded amounts decay to half. It is longer than the deadlines of most requests, so
/// that a returning caller meets the state that its refusal has changed.
const HALF_LIFE_MS: f64 = 8_000.0;
/// Interval at which the decay is applied; between, amounts count in full.
const DECAY_INTERVAL_MS: u64 = 100;
/// Decayed number of requests below which an account is removed.
const FORGOTTEN_REQUESTS: f64 = 0.02;
/// Maximum number of organisations with an account. Those beyond it are treated as fair.
const MAX_ORGANISATIONS: usize = 1_000;
/// Served requests that each account is assumed to have had, so that one refusal is no shortage.
const PRIOR_REQUESTS: f64 = 1.0;
/// Ratio of the admitted work to the fair share above which an organisation is over its share.
const OVER_SHARE_FACTOR: f64 = 1.05;
/// Ratio of the work asked for to the work admitted above which there is a shortage.
const SHORTAGE_RATIO: f64 = 1.05;
/// Served share of an organisation, relative to that of all, below which it is preferred. Callers
/// need a quarter; the margin is for hosts that see few of an organisation's requests.
const ORGANISATION_FLOOR: f64 = 0.5;
/// The same for an organisation that is over its share, which is then no longer delayed for it.
const OVER_SHARE_FLOOR: f64 = 0.35;
/// Served share of a kind, relative to that of all kinds, below which it is preferred.
const KIND_FLOOR: f64 = 0.5;
/// Served share of a kind's large requests, relative to that of the whole kind, below which they are
/// preferred. Callers need a half.
const SIZE_FLOOR: f64 = 0.6;
/// Served share of a kind below which less urgent kinds are delayed if theirs is not lower by
/// [`INVERSION_MARGIN`].
const SHORTAGE_SHARE: f64 = 0.9;
/// Served share by which a kind is kept below the more urgent ones. It allows for their callers that
/// have no time left to return, so that they are served less often than a host can see.
const INVERSION_MARGIN: f64 = 0.05;
/// Prompt lengths, relative to a quantile, above which a prompt is longer than it.
const LONGER_FACTOR: f64 = 1.02;
/// Relative change of an estimated quantile with each request.
const QUANTILE_STEP: f64 = 0.05;

/// A request in the terms in which shares are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// Hash of the organisation's name; `None` if the deployment has no organisations.
    pub organisation: Option<u64>,
    /// Hash of the route's name.
    pub kind: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Length of its prompt.
    pub tokens: u32,
}

/// How a request is treated under shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its organisation, kind or size is below the share that it keeps in any case.
    Under,
    /// Neither of the others.
    Fair,
    /// Its organisation is above its fair share of the work.
    Over,
    /// Its kind is served more often than a more urgent one.
    Ahead,
}

impl Standing {
    /// Returns the standing's name in explanations.
    pub fn name(self) -> &'static str {
        match self {
            Self::Under => "under",
            Self::Fair => "fair",
            Self::Over => "over",
            Self::Ahead => "ahead",
        }
    }
}

/// Decayed number of requests and how many of them were admitted.
#[derive(Debug, Default, Clone, Copy)]
struct Account {
    asked: f64,
    served: f64,
}

impl Account {
    fn add(&mut self, is_served: bool) {
        self.asked += 1.0;
        self.served += f64::from(u8::from(is_served));
    }

    /// Counts one of the served requests as not served.
    fn retract(&mut self) {
        self.served = (self.served - 1.0).max(0.0);
    }

    fn scale(&mut self, factor: f64) {
        self.asked *= factor;
        self.served *= factor;
    }

    fn share(&self) -> f64 {
        (self.served + PRIOR_REQUESTS) / (self.asked + PRIOR_REQUESTS)
    }

    /// Whether this share is below a part of another one.
    fn is_below(&self, floor: f64, whole: &Self) -> bool {
        self.share() < floor * whole.share()
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct OrganisationAccount {
    requests: Account,
    asked_ms: f64,
    admitted_ms: f64,
}

/// Size class of a prompt among those of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Size {
    /// Not among the longest three tenths.
    Usual,
    /// In the fifth below the longest tenth.
    Large,
    /// In the longest tenth.
    Largest,
}

#[derive(Debug, Clone, Copy)]
struct KindAccount {
    urgency: u8,
    requests: Account,
    /// By [`Size`].
    sizes: [Account; 3],
    /// Prompt lengths that 70% and 90% of the requests do not exceed.
    quantiles: [f64; 2],
}

impl KindAccount {
    fn new(asker: &Asker) -> Self {
        Self {
            urgency: asker.urgency,
            requests: Account::default(),
            sizes: [Account::default(); 3],
            quantiles: [f64::from(asker.tokens); 2],
        }
    }

    fn size(&self, tokens: u32) -> Size {
        let exceeds = |quantile: f64| f64::from(tokens) > quantile * LONGER_FACTOR;
        if exceeds(self.quantiles[1]) {
            Size::Largest
        } else if exceeds(self.quantiles[0]) {
            Size::Large
        } else {
            Size::Usual
        }
    }

    fn learn_size(&mut self, tokens: u32) {
        let tokens = f64::from(tokens);
        for (quantile, share) in self.quantiles.iter_mut().zip([0.7, 0.9]) {
            let direction = if tokens > *quantile {
                share
            } else {
                share - 1.0
            };
            let step = *quantile * QUANTILE_STEP * direction;
            // A step does not pass the length that caused it, so that equal lengths stay equal.
            *quantile = if step > 0.0 {
                (*quantile + step).min(tokens)
            } else {
                (*quantile + step).max(tokens.min(*quantile))
            };
        }
    }
}

/// Recent work of all organisations and kinds of one service.
#[derive(Debug, Default, Clone)]
pub struct FairShares {
    decayed_ms: u64,
    all: Account,
    organisations: IndexMap<u64, OrganisationAccount>,
    kinds: IndexMap<u64, KindAccount>,
    /// Work that each organisation may have had admitted before it is over its share.
    share_ms: f64,
}

impl FairShares {
    /// Records the final decision about a request that needs `work_ms` of an engine's time.
    pub fn record(&mut self, asker: &Asker, work_ms: f64, is_admitted: bool, now_ms: u64) {
        self.decay(now_ms);
        self.all.add(is_admitted);
        // A kind is not served less because one organisation sends too much of it.
        let is_own_excess = !is_admitted && self.is_over(asker);
        if !is_own_excess {
            let kinds = &mut self.kinds;
            let kind = kinds
                .entry(asker.kind)
                .or_insert_with(|| KindAccount::new(asker));
            kind.urgency = kind.urgency.min(asker.urgency);
            let size = kind.size(asker.tokens);
            kind.learn_size(asker.tokens);
            kind.requests.add(is_admitted);
            kind.sizes[size as usize].add(is_admitted);
        }
        let Some(organisation) = asker.organisation else {
            return;
        };
        let has_room = self.organisations.len() < MAX_ORGANISATIONS;
        if has_room || self.organisations.contains_key(&organisation) {
            let account = self.organisations.entry(organisation).or_default();
            account.requests.add(is_admitted);
            account.asked_ms += work_ms;
            account.admitted_ms += if is_admitted { work_ms } else { 0.0 };
        }
    }

    /// Records that an admitted request did not run after all, because there was no room for it.
    pub fn retract(&mut self, asker: &Asker, work_ms: f64, now_ms: u64) {
        self.decay(now_ms);
        self.all.retract();
        if let Some(kind) = self.kinds.get_mut(&asker.kind) {
            let size = kind.size(asker.tokens);
            kind.requests.retract();
            kind.sizes[size as usize].retract();
        }
        let organisation = asker.organisation;
        let account = organisation.and_then(|o| self.organisations.get_mut(&o));
        if let Some(account) = account {
            account.requests.retract();
            account.admitted_ms = (account.admitted_ms - work_ms).max(0.0);
        }
    }

    /// Returns how a request is to be treated.
    pub fn standing(&mut self, asker: &Asker, now_ms: u64) -> Standing {
        self.decay(now_ms);
        let organisation = asker.organisation.and_then(|o| self.organisations.get(&o));
        if self.is_over(asker) {
            let is_low =
                organisation.is_some_and(|o| o.requests.is_below(OVER_SHARE_FLOOR, &self.all));
            return if is_low {
                Standing::Fair
            } else {
                Standing::Over
            };
        }
        let is_starved =
            organisation.is_some_and(|o| o.requests.is_below(ORGANISATION_FLOOR, &self.all));
        let Some(kind) = self.kinds.get(&asker.kind) else {
            return Standing::Fair;
        };
        if self.is_ahead(kind) {
            return Standing::Ahead;
        }
        let size = kind.size(asker.tokens);
        let is_size_low =
            size != Size::Usual && kind.sizes[size as usize].is_below(SIZE_FLOOR, &kind.requests);
        if is_starved || is_size_low || kind.requests.is_below(KIND_FLOOR, &self.all) {
            Standing::Under
        } else {
            Standing::Fair
        }
    }

    /// Returns the share of the requests that were admitted recently; 1 without a shortage.
    pub fn served_share(&self) -> f64 {
        self.all.share()
    }

    /// Returns the number of organisations that are over their share.
    pub fn organisations_over(&self) -> usize {
        let organisations = self.organisations.values();
        organisations
            .filter(|o| o.admitted_ms > self.share_ms * OVER_SHARE_FACTOR)
            .count()
    }

    fn is_over(&self, asker: &Asker) -> bool {
        let account = asker.organisation.and_then(|o| self.organisations.get(&o));
        account.is_some_and(|o| o.admitted_ms > self.share_ms * OVER_SHARE_FACTOR)
    }

    /// Whether a kind is served more often than a more urgent one.
    fn is_ahead(&self, kind: &KindAccount) -> bool {
        let share = kind.requests.share();
        let more_urgent = self.kinds.values().filter(|o| o.urgency < kind.urgency);
        more_urgent
            .map(|other| other.requests.share())
            .any(|other| other < SHORTAGE_SHARE && share > other - INVERSION_MARGIN)
    }

    fn decay(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.decayed_ms);
        if since_ms < DECAY_INTERVAL_MS && self.decayed_ms > 0 {
            return;
        }
        self.decayed_ms = now_ms.max(1);
        let factor = (-(since_ms as f64) / HALF_LIFE_MS).exp2();
        self.all.scale(factor);
        for kind in self.kinds.values_mut() {
            kind.requests.scale(factor);
            kind.sizes.iter_mut().for_each(|size| size.scale(factor));
        }
        for organisation in self.organisations.values_mut() {
            organisation.requests.scale(factor);
            organisation.asked_ms *= factor;
            organisation.admitted_ms *= factor;
        }
        let is_recent = |account: &Account| account.asked > FORGOTTEN_REQUESTS;
        self.kinds.retain(|_, kind| is_recent(&kind.requests));
        self.organisations.retain(|_, o| is_recent(&o.requests));
        self.share_ms = self.fair_share_ms();
    }

    /// Returns the max-min fair share: the level at which the work asked for, cut off at that level
    /// for each organisation, adds up to the admitted work. It is infinite without a shortage.
    fn fair_share_ms(&self) -> f64 {
        let organisations = || self.organisations.values();
        let asked_ms: f64 = organisations().map(|o| o.asked_ms).sum();
        let mut left_ms: f64 = organisations().map(|o| o.admitted_ms).sum();
        if asked_ms <= left_ms * SHORTAGE_RATIO {
            return f64::INFINITY;
        }
        let mut asks: Vec<f64> = organisations().map(|o| o.asked_ms).collect();
        asks.sort_by(f64::total_cmp);
        for (index, asked_ms) in asks.iter().enumerate() {
            let level_ms = left_ms / (asks.len() - index) as f64;
            if *asked_ms >= level_ms {
                return level_ms;
            }
            left_ms -= asked_ms;
        }
        f64::INFINITY
    }
}
