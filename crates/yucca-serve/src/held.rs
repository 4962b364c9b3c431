//! Decisions for overload on this host, and the requests that it holds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, sleep, timeout};
use yuccacove::forecast::{self, Forecast};
use yuccacove::hold_queue::{Precedence, Ticket};
use yuccacove::output_length::OutputLength;
use yuccacove::overload::{Ask, Decision, HoldLimit, Overload, Preview, Reason};
use yuccacove::plain_load::PlainLoad;

/// Interval at which the first held request is considered for admission again.
const HOLD_INTERVAL: Duration = Duration::from_millis(25);

/// What decides about generations.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// [`Overload`], which knows organisations, kinds and sizes.
    Overload,
    /// [`Forecast`] alone.
    ///
    /// [`Forecast`]: yuccacove::forecast::Forecast
    #[default]
    Forecast,
}

/// State of the decision for all services.
#[derive(Debug, Default)]
pub struct Overloads {
    /// Policy for all services; `None` to choose it by whether there are organisations.
    fixed: Option<AdmissionPolicy>,
    services: RefCell<IndexMap<String, Rc<ServiceOverload>>>,
    plain: RefCell<IndexMap<String, Rc<PlainOverload>>>,
}

impl Overloads {
    /// Creates the state for a policy that does not depend on organisations, for comparisons.
    pub fn new(policy: AdmissionPolicy) -> Self {
        Self {
            fixed: Some(policy),
            ..Self::default()
        }
    }

    /// Returns the state for a service. [`Overload`] decides only where organisations share the engines;
    /// without them its holds of urgent requests cost callers of small fleets more than they gain.
    pub fn service(&self, service: &str, has_organisations: bool) -> Rc<ServiceOverload> {
        let policy = self.policy(has_organisations);
        let known = self.services.borrow().get(service).cloned();
        if let Some(known) = known.filter(|known| known.policy == policy) {
            return known;
        }
        let added = Rc::new(ServiceOverload::new(policy));
        let mut services = self.services.borrow_mut();
        services.insert(service.to_owned(), Rc::clone(&added));
        added
    }

    /// Returns the state for the plain requests to a service; `None` if [`Overload`] does not decide.
    pub fn plain(&self, service: &str, has_organisations: bool) -> Option<Rc<PlainOverload>> {
        let decides = self.policy(has_organisations) == AdmissionPolicy::Overload;
        decides.then(|| self.plain_state(service))
    }

    /// As [`Overloads::plain`], without adding the state of a service that has none.
    pub fn existing_plain(
        &self,
        service: &str,
        has_organisations: bool,
    ) -> Option<Rc<PlainOverload>> {
        let decides = self.policy(has_organisations) == AdmissionPolicy::Overload;
        let known = || self.plain.borrow().get(service).cloned();
        decides.then(|| known().unwrap_or_default())
    }

    /// Returns the state for the plain requests to a service, whether or not [`Overload`] decides.
    pub fn plain_state(&self, service: &str) -> Rc<PlainOverload> {
        let mut plain = self.plain.borrow_mut();
        if let Some(known) = plain.get(service) {
            return Rc::clone(known);
        }
        let added = Rc::new(PlainOverload::default());
        plain.insert(service.to_owned(), Rc::clone(&added));
        added
    }

    /// As [`Overloads::service`], without adding the state of a service that has none.
    pub fn existing(&self, service: &str, has_organisations: bool) -> Rc<ServiceOverload> {
        let policy = self.policy(has_organisations);
        let known = self.services.borrow().get(service).cloned();
        known
            .filter(|known| known.policy == policy)
            .unwrap_or_else(|| Rc::new(ServiceOverload::new(policy)))
    }

    fn policy(&self, has_organisations: bool) -> AdmissionPolicy {
        self.fixed.unwrap_or(if has_organisations {
            AdmissionPolicy::Overload
        } else {
            AdmissionPolicy::Forecast
        })
    }
}

/// State of the decision for the plain requests to one service.
#[derive(Debug)]
pub struct PlainOverload {
    /// The decision.
    pub decisions: Rc<ServiceOverload>,
    /// Load of the back ends.
    pub load: RefCell<PlainLoad>,
}

impl Default for PlainOverload {
    fn default() -> Self {
        let decisions = ServiceOverload {
            policy: AdmissionPolicy::Overload,
            hold_limit: HoldLimit::Plain,
            state: RefCell::new(Overload::new(HoldLimit::Plain)),
            ..ServiceOverload::default()
        };
        Self {
            decisions: Rc::new(decisions),
            load: RefCell::default(),
        }
    }
}

/// State of the decision for one service.
#[derive(Debug, Default)]
pub struct ServiceOverload {
    policy: AdmissionPolicy,
    hold_limit: HoldLimit,
    state: RefCell<Overload>,
    /// Notified when it is a held request's turn.
    turns: RefCell<BTreeMap<Ticket, Rc<Notify>>>,
    output_lengths: RefCell<IndexMap<u64, OutputLength>>,
}

impl ServiceOverload {
    fn new(policy: AdmissionPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Returns what [`ServiceOverload::decide`] would decide, without recording anything.
    pub fn preview(&self, ask: &Ask, now_ms: u64, random: u64) -> Preview {
        match self.policy {
            AdmissionPolicy::Overload => self.state.borrow().preview(ask, now_ms, random),
            AdmissionPolicy::Forecast => Preview {
                decision: decide_by_forecast(ask, random),
                standing: None,
                expected_wait_ms: None,
            },
        }
    }

    /// Decides about a request. `random` is any random number.
    pub fn decide(&self, ask: &Ask, now_ms: u64, random: u64) -> Decision {
        match self.policy {
            AdmissionPolicy::Overload => self.state.borrow_mut().decide(ask, now_ms, random),
            AdmissionPolicy::Forecast => decide_by_forecast(ask, random),
        }
    }

    /// Returns the longest time for which a request is held.
    pub fn max_hold_ms(&self, forecast: &Forecast) -> u64 {
        self.hold_limit.max_hold_ms(forecast)
    }

    /// Records that an admitted request was not run, because all back ends were full. Returns the time
    /// after which its caller may retry.
    pub fn retract(&self, ask: &Ask, now_ms: u64, random: u64) -> u64 {
        self.state.borrow_mut().retract(ask, now_ms, random)
    }

    /// Returns the number of organisations that are over their share.
    pub fn organisations_over(&self) -> usize {
        self.state.borrow().shares.organisations_over()
    }

    /// Returns the share of the requests that were admitted recently.
    pub fn served_share(&self) -> f64 {
        self.state.borrow().shares.served_share()
    }

    /// Returns the number of output tokens to reckon with for a request of a kind.
    pub fn expected_tokens(&self, kind: u64, max_tokens: u32) -> f64 {
        let lengths = self.output_lengths.borrow();
        let length = lengths.get(&kind).copied().unwrap_or_default();
        length.expected_tokens(max_tokens)
    }

    /// Records the length of a complete generation.
    pub fn record_output(&self, kind: u64, max_tokens: u32, tokens: u32) {
        let mut lengths = self.output_lengths.borrow_mut();
        lengths.entry(kind).or_default().record(max_tokens, tokens);
    }

    fn notify_first(&self) {
        let first = self.state.borrow().queue.first();
        let turns = self.turns.borrow();
        if let Some(turn) = first.and_then(|first| turns.get(&first)) {
            turn.notify_one();
        }
    }
}

fn decide_by_forecast(ask: &Ask, random: u64) -> Decision {
    match ask.forecast.decide(random) {
        forecast::Decision::Admit => Decision::Admit,
        forecast::Decision::Hold => Decision::Hold {
            precedence: Precedence {
                is_late: false,
                urgency: 0,
                due_ms: 0,
            },
            reason: Reason::Reserved,
        },
        forecast::Decision::Refuse { retry_after_ms } => Decision::Refuse {
            retry_after_ms,
            reason: Reason::Late,
        },
    }
}

/// The place of a held request in the queue of its service, which it leaves on drop.
#[derive(Debug)]
pub struct Held {
    overload: Rc<ServiceOverload>,
    /// The place.
    pub ticket: Ticket,
    turn: Rc<Notify>,
}

impl Held {
    /// Adds a request to the queue.
    pub fn enter(overload: &Rc<ServiceOverload>, precedence: Precedence) -> Self {
        let ticket = overload.state.borrow_mut().queue.insert(precedence);
        let turn = Rc::new(Notify::new());
        let mut turns = overload.turns.borrow_mut();
        turns.insert(ticket, Rc::clone(&turn));
        Self {
            overload: Rc::clone(overload),
            ticket,
            turn,
        }
    }

    /// Waits until the request is to be considered again, at most for `left`.
    pub async fn wait(&self, left: Duration) {
        if self.overload.policy == AdmissionPolicy::Forecast {
            return sleep(HOLD_INTERVAL).await;
        }
        if self.is_first() {
            sleep(HOLD_INTERVAL.min(left)).await;
            if self.is_first() {
                return;
            }
        }
        // At its end the request is given up, whether or not it is its turn.
        let _ = timeout(left, self.turn.notified()).await;
    }

    fn is_first(&self) -> bool {
        self.overload.state.borrow().queue.first() == Some(self.ticket)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let was_first = self.is_first();
        self.overload.state.borrow_mut().queue.remove(self.ticket);
        self.overload.turns.borrow_mut().remove(&self.ticket);
        if was_first {
            self.overload.notify_first();
        }
    }
}
