//! The decision for overload: whether a generation is started, held or refused.
//!
//! It combines the forecast of the generation with the standing of its organisation, kind and size.
//! Under shortage the requests that cost callers least are delayed first: those that are late in any
//! case, those of organisations over their share, and those of kinds that are served more often than
//! a more urgent one. They start only while the prefill queue is so short that it delays nobody else.
//! Requests below their floor are started as the most urgent ones are. Without a shortage only the
//! forecast decides.
//!
//! ```
//! use yuccacove::fair_shares::{Asker, FairShares};
//! use yuccacove::forecast::Forecast;
//! use yuccacove::hold_queue::HoldQueue;
//! use yuccacove::overload::{Ask, Decision, Overload, Reason};
//!
//! let mut overload = Overload::default();
//! let mut ask = Ask {
//!     asker: Asker { organisation: None, kind: 1, urgency: 0, tokens: 826 },
//!     forecast: Forecast {
//!         first_token_ms: 80.0,
//!         elapsed_ms: 0,
//!         left_ms: 8_000,
//!         target_ms: 250,
//!         urgency: 0,
//!         decode_utilisation: 0.5,
//!         prefill_queue_ms: 60.0,
//!         urgent_target_ms: None,
//!     },
//!     work_ms: 15.0,
//!     ticket: None,
//! };
//! assert_eq!(overload.decide(&ask, 0, 0), Decision::Admit);
//! ask.forecast.first_token_ms = 9_000.0;
//! let Decision::Refuse { reason, .. } = overload.decide(&ask, 0, 0) else { panic!() };
//! assert_eq!(reason, Reason::Unreachable);
//! ```

use indexmap::IndexMap;

use crate::fair_shares::{Asker, FairShares, Standing};
use crate::forecast::{self, Forecast};
use crate::hold_queue::{HoldQueue, Precedence, Ticket};

/// Share of the time left that the forecast of a request below its floor may take. The rest is for
/// its output and for errors of the forecast.
const UNDER_DEADLINE_SHARE: f64 = 0.5;
/// Share of the recent requests that were admitted below which there is a shortage.
const SHORTAGE_SHARE: f64 = 0.9;
/// Utilisation of a decode engine above which requests that are delayed first do not start.
const MAX_DELAYED_UTILISATION: f64 = 0.75;
/// Multiple of its work by which a held request is put back. Of two requests with the same due time,
/// the one that needs less of the engines leaves more to others.
const WORK_PENALTY: f64 = 4.0;
/// Largest share of the time left that a refused caller is asked to wait.
const MAX_RETRY_SHARE: f64 = 0.33;
/// Part of the longest retry delay over which capped delays are spread.
const CAPPED_SPREAD: f64 = 0.4;
/// Shortest retry delay. Below it the load data of the hosts have not changed.
const MIN_RETRY_MS: f64 = 40.0;
/// Factor by which the time that callers usually allow decreases with each request, so that it
/// follows a change of the configuration. It is close to 1, because most requests that arrive in a
/// shortage may be those of returning callers.
const USUAL_DECAY: f64 = 0.9995;
/// Time in which the numbers of admitted and refused requests decay to half.
const HALF_LIFE_MS: f64 = 1_000.0;

/// Longest time for which a plain request is held, as a multiple of its target. Its caller can return
/// several times within its deadline.
const MAX_PLAIN_HOLD_FACTOR: f64 = 1.5;
/// Longest time for which a plain request without a target is held.
const MAX_PLAIN_HOLD_MS: u64 = 300;

/// How long requests of a service may be held.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum HoldLimit {
    /// As [`Forecast::max_hold_ms`] says.
    #[default]
    Generation,
    /// Briefly, for plain requests.
    Plain,
}

impl HoldLimit {
    /// Returns the longest time for which a request is held.
    pub fn max_hold_ms(self, forecast: &Forecast) -> u64 {
        let max_ms = forecast.max_hold_ms();
        match self {
            Self::Generation => max_ms,
            Self::Plain if forecast.target_ms == 0 => max_ms.min(MAX_PLAIN_HOLD_MS),
            Self::Plain => max_ms.min((forecast.target_ms as f64 * MAX_PLAIN_HOLD_FACTOR) as u64),
        }
    }
}

/// A request about which is decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Whose request it is, and of which kind and size.
    pub asker: Asker,
    /// Forecast on the engines that were chosen for it now.
    pub forecast: Forecast,
    /// Time of an engine that it needs.
    pub work_ms: f64,
    /// Its place in the queue, if it was held.
    pub ticket: Option<Ticket>,
}

/// Decision about a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The generation is started.
    Admit,
    /// The generation waits for its turn.
    Hold {
        /// Order among the held requests.
        precedence: Precedence,
        /// Why it does not start.
        reason: Reason,
    },
    /// The generation is refused; the caller may retry.
    Refuse {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
        /// Why it does not start.
        reason: Reason,
    },
}

/// Why a generation does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The first token is forecast after the deadline.
    Unreachable,
    /// The target is missed in any case, and the room is left to requests that can meet theirs.
    Late,
    /// The room is left to more urgent requests, or to others that were held before.
    Reserved,
    /// The organisation is over its share.
    OverShare,
    /// The kind is served more often than a more urgent one.
    Ahead,
}

impl Reason {
    /// Returns the reason's name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Late => "late",
            Self::Reserved => "reserved",
            Self::OverShare => "over_share",
            Self::Ahead => "ahead",
        }
    }
}

/// A decision that was not recorded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preview {
    /// The decision.
    pub decision: Decision,
    /// Standing of the request; `None` if the forecast alone decides.
    pub standing: Option<Standing>,
    /// Expected time until the turn of a request that is held; `None` if it is not held, or if held
    /// requests have no order.
    pub expected_wait_ms: Option<u64>,
}

/// State of the decision for one service on one host.
#[derive(Debug, Default, Clone)]
pub struct Overload {
    /// Recent work of organisations and kinds.
    pub shares: FairShares,
    /// Requests that are held.
    pub queue: HoldQueue,
    hold_limit: HoldLimit,
    decayed_ms: u64,
    admitted: f64,
    refused: f64,
    /// Time that the callers of each kind usually allow for a request.
    allowed_ms: IndexMap<u64, f64>,
}

impl Overload {
    /// Creates the state for a service.
    pub fn new(hold_limit: HoldLimit) -> Self {
        Self {
            hold_limit,
            ..Self::default()
        }
    }

    /// Records that an admitted request was not run, because all back ends were full. Returns the time
    /// after which its caller may retry.
    pub fn retract(&mut self, ask: &Ask, now_ms: u64, random: u64) -> u64 {
        self.decay(now_ms);
        self.admitted = (self.admitted - 1.0).max(0.0);
        self.refused += 1.0;
        self.shares.retract(&ask.asker, ask.work_ms, now_ms);
        self.retry_after_ms(&ask.forecast, random)
    }

    /// Decides about a request. `random` is any random number; it spreads the retries of refused
    /// callers.
    pub fn decide(&mut self, ask: &Ask, now_ms: u64, random: u64) -> Decision {
        self.decay(now_ms);
        let decision = self.decision(ask, now_ms, random);
        match decision {
            Decision::Admit => {
                self.admitted += 1.0;
                self.shares.record(&ask.asker, ask.work_ms, true, now_ms);
                if ask.ticket.is_some() {
                    self.queue.record_release(now_ms);
                }
            }
            Decision::Hold { .. } => {}
            Decision::Refuse { .. } => {
                self.refused += 1.0;
                self.shares.record(&ask.asker, ask.work_ms, false, now_ms);
            }
        }
        decision
    }

    /// Returns what [`Overload::decide`] would decide, without recording anything.
    pub fn preview(&self, ask: &Ask, now_ms: u64, random: u64) -> Preview {
        let mut copy = self.clone();
        copy.decay(now_ms);
        let standing = copy.shares.standing(&ask.asker, now_ms);
        let decision = copy.decision(ask, now_ms, random);
        let expected_wait_ms = match decision {
            Decision::Hold { precedence, .. } => {
                Some(copy.queue.expected_wait_ms(precedence, now_ms) as u64)
            }
            Decision::Admit | Decision::Refuse { .. } => None,
        };
        Preview {
            decision,
            standing: Some(standing),
            expected_wait_ms,
        }
    }

    fn decision(&mut self, ask: &Ask, now_ms: u64, random: u64) -> Decision {
        let forecast = &ask.forecast;
        let spent_ms = self.spent_ms(ask);
        let standing = self.shares.standing(&ask.asker, now_ms);
        let left_ms = forecast.left_ms as f64;
        if forecast.first_token_ms > left_ms {
            return self.refuse(ask, Reason::Unreachable, random);
        }
        let is_generation = self.hold_limit == HoldLimit::Generation;
        if is_generation && !self.is_shortage() && spent_ms == 0 {
            return self.by_forecast(ask, now_ms, random);
        }
        if standing == Standing::Under && forecast.first_token_ms <= left_ms * UNDER_DEADLINE_SHARE
        {
            return Decision::Admit;
        }
        let late = forecast.is_late(spent_ms).then_some(Reason::Late);
        let delayed = match standing {
            Standing::Over => Some(Reason::OverShare),
            Standing::Ahead => Some(Reason::Ahead),
            Standing::Under | Standing::Fair => late,
        };
        let is_crowded = match delayed {
            Some(_) => is_busy(forecast),
            None => forecast.is_crowded(),
        };
        let precedence = precedence(ask, delayed.is_some(), now_ms);
        // A request that nothing holds back passes those that are held.
        let may_be_held = delayed.is_some() || ask.asker.urgency > 0;
        let is_behind = may_be_held && ask.ticket.is_none() && self.queue.is_behind(precedence);
        if !is_crowded && !is_behind {
            return Decision::Admit;
        }
        let reason = delayed.unwrap_or(Reason::Reserved);
        if matches!(reason, Reason::OverShare | Reason::Ahead) {
            // Held, it would be late when it starts. Refused, it leaves its share to requests of the
            // same organisation or kind that can be in time.
            return self.refuse(ask, reason, random);
        }
        let wait_ms = match ask.ticket {
            Some(_) => 0.0,
            None => self.queue.expected_wait_ms(precedence, now_ms),
        };
        let max_hold_ms = self.hold_limit.max_hold_ms(forecast);
        if forecast.elapsed_ms as f64 + wait_ms >= max_hold_ms as f64 {
            return self.refuse(ask, reason, random);
        }
        Decision::Hold { precedence, reason }
    }

    /// Whether much of what callers send finds no room. Without a shortage nobody has to pay for others, and
    /// a forecast that is too long must not delay requests further.
    fn is_shortage(&self) -> bool {
        self.shares.served_share() < SHORTAGE_SHARE
    }

    fn by_forecast(&self, ask: &Ask, now_ms: u64, random: u64) -> Decision {
        match ask.forecast.decide(random) {
            forecast::Decision::Admit => Decision::Admit,
            forecast::Decision::Hold => Decision::Hold {
                precedence: precedence(ask, false, now_ms),
                reason: Reason::Reserved,
            },
            // Nobody else needs the room.
            forecast::Decision::Refuse { .. } if !is_busy(&ask.forecast) => Decision::Admit,
            forecast::Decision::Refuse { .. } => self.refuse(ask, Reason::Late, random),
        }
    }

    /// Returns the time that the caller has spent on earlier tries. A returning caller allows less
    /// time than others of its kind, because its target and its deadline began with the first try.
    fn spent_ms(&mut self, ask: &Ask) -> u64 {
        let allowed_ms = (ask.forecast.elapsed_ms + ask.forecast.left_ms) as f64;
        let usual_ms = self.allowed_ms.entry(ask.asker.kind).or_insert(allowed_ms);
        // A held request is considered many times and counts once.
        if ask.ticket.is_none() {
            *usual_ms = (*usual_ms * USUAL_DECAY).max(allowed_ms);
        }
        (*usual_ms - allowed_ms).max(0.0) as u64
    }

    fn refuse(&self, ask: &Ask, reason: Reason, random: u64) -> Decision {
        Decision::Refuse {
            retry_after_ms: self.retry_after_ms(&ask.forecast, random),
            reason,
        }
    }

    /// Returns the time after which the caller of a refused request is to return: when the queue has
    /// become short enough and those that were refused shortly before have returned.
    fn retry_after_ms(&self, forecast: &Forecast, random: u64) -> u64 {
        let excess_ms = forecast.prefill_queue_ms - forecast.tolerated_queue_ms();
        let earliest_ms = excess_ms.max(MIN_RETRY_MS);
        // Time in which this host admits as many requests as it has refused lately.
        let admitted_per_ms = self.admitted.max(1.0) * std::f64::consts::LN_2 / HALF_LIFE_MS;
        let backlog_ms = (self.refused + 1.0) / admitted_per_ms;
        let spread = (random % 1_000) as f64 / 1_000.0;
        let latest_ms = forecast.left_ms as f64 * MAX_RETRY_SHARE;
        let cap_ms = latest_ms * (1.0 - CAPPED_SPREAD * spread);
        let retry_after_ms = earliest_ms + backlog_ms.max(forecast.first_token_ms) * spread;
        retry_after_ms.min(cap_ms) as u64
    }

    fn decay(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.decayed_ms);
        self.decayed_ms = self.decayed_ms.max(now_ms);
        let factor = (-(since_ms as f64) / HALF_LIFE_MS).exp2();
        self.admitted *= factor;
        self.refused *= factor;
    }
}

/// Whether the engines have no room to spare for requests that are delayed first.
fn is_busy(forecast: &Forecast) -> bool {
    forecast.decode_utilisation > MAX_DELAYED_UTILISATION
        || forecast.prefill_queue_ms > forecast.tolerated_queue_ms()
}

fn precedence(ask: &Ask, is_late: bool, now_ms: u64) -> Precedence {
    let forecast = &ask.forecast;
    let until_ms = if is_late {
        forecast.left_ms
    } else {
        forecast.target_ms.saturating_sub(forecast.elapsed_ms)
    };
    Precedence {
        is_late,
        urgency: ask.asker.urgency,
        due_ms: now_ms + until_ms + (ask.work_ms * WORK_PENALTY) as u64,
    }
}
