//! Demand for the services whose number of engines follows it: what this host measures, and the
//! exchange by which the host that orders engines collects the demand of all hosts.
//!
//! A request counts from the first choice of engines for it, whether it is then admitted, held or
//! refused: the demand that is turned away is what more engines are needed for.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use yuccacove::engine_demand::{DemandCollection, DemandSample, Level, PrefillRate};
use yuccacove::fleet_rate::HostId;

use crate::hash::hash_of;
use crate::host::Host;

/// Maximum number of services in an answer, which keeps it below the maximum size of a datagram.
const MAX_SERVICES: usize = 40;

/// Question for a host's demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandQuestion {
    /// Host that asks.
    pub sender: HostId,
    /// Number of the question.
    pub number: u32,
}

/// Answer to a [`DemandQuestion`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandAnswer {
    /// Host that answers.
    pub sender: HostId,
    /// Number of the question.
    pub number: u32,
    /// Demand for each service, by the hash of its name.
    pub services: Vec<(u64, DemandSample)>,
}

/// Demand of requests of this host that run or wait.
#[derive(Debug, Default)]
struct LiveLevel {
    prefill: PrefillRate,
    streams: u32,
    tokens: u64,
}

impl LiveLevel {
    fn level(&mut self, now_ms: u64) -> Level {
        Level {
            prefill_ms_per_s: self.prefill.ms_per_s(now_ms) as u32,
            streams: self.streams,
            tokens_k: u32::try_from(self.tokens / 1_000).unwrap_or(u32::MAX),
        }
    }
}

#[derive(Debug, Default)]
struct ServiceDemand {
    all: LiveLevel,
    urgent: LiveLevel,
}

/// Demand of this host, and what it knows of that of the others.
#[derive(Debug, Default)]
pub struct HostDemand {
    services: RefCell<IndexMap<String, ServiceDemand>>,
    questions: RefCell<Vec<(HostId, DemandQuestion)>>,
    answers: RefCell<Vec<(HostId, DemandAnswer)>>,
    /// Number and time of the last question to each host.
    asked: RefCell<IndexMap<HostId, (u32, u64)>>,
    last_number: Cell<u32>,
    collection: RefCell<DemandCollection>,
}

impl HostDemand {
    /// Returns and forgets the questions to send, each with its recipient.
    pub(crate) fn take_questions(&self) -> Vec<(HostId, DemandQuestion)> {
        std::mem::take(&mut self.questions.borrow_mut())
    }

    /// Returns and forgets the answers to send, each with its recipient.
    pub(crate) fn take_answers(&self) -> Vec<(HostId, DemandAnswer)> {
        std::mem::take(&mut self.answers.borrow_mut())
    }

    /// Answers a question.
    pub(crate) fn receive_question(&self, question: DemandQuestion, own: HostId, now_ms: u64) {
        let answer = DemandAnswer {
            sender: own,
            number: question.number,
            services: self.samples(now_ms),
        };
        self.answers.borrow_mut().push((question.sender, answer));
    }

    /// Handles an answer, which counts from the time of the question. One to an earlier question, or
    /// to none, is ignored.
    pub(crate) fn receive_answer(&self, answer: DemandAnswer) {
        let asked = self.asked.borrow().get(&answer.sender).copied();
        if let Some((number, sent_ms)) = asked
            && number == answer.number
        {
            let mut collection = self.collection.borrow_mut();
            collection.record(answer.sender, answer.services, sent_ms);
        }
    }

    /// Asks the `hosts` whose turn it is about `services` services, and records this host's own
    /// demand.
    pub(crate) fn collect(&self, own: HostId, hosts: &[HostId], services: usize, now_ms: u64) {
        let mut collection = self.collection.borrow_mut();
        collection.record(own, self.samples(now_ms), now_ms);
        for to in collection.next_questions(hosts, services, now_ms) {
            let number = self.last_number.get().wrapping_add(1);
            self.last_number.set(number);
            self.asked.borrow_mut().insert(to, (number, now_ms));
            let question = DemandQuestion {
                sender: own,
                number,
            };
            self.questions.borrow_mut().push((to, question));
        }
    }

    /// Returns the demand of all `hosts` for a service; `None` if too few of them have answered.
    pub(crate) fn total(
        &self,
        hosts: &[HostId],
        services: usize,
        service: &str,
        now_ms: u64,
    ) -> Option<DemandSample> {
        let mut collection = self.collection.borrow_mut();
        collection.total(hosts, services, hash_of(service), now_ms)
    }

    /// Forgets the demand of other hosts, for example because this host orders no engines any more.
    pub(crate) fn forget(&self) {
        self.asked.borrow_mut().clear();
        *self.collection.borrow_mut() = DemandCollection::default();
    }

    fn samples(&self, now_ms: u64) -> Vec<(u64, DemandSample)> {
        let mut services = self.services.borrow_mut();
        let samples = services.iter_mut().take(MAX_SERVICES);
        samples
            .map(|(name, demand)| {
                let sample = DemandSample {
                    all: demand.all.level(now_ms),
                    urgent: demand.urgent.level(now_ms),
                };
                (hash_of(name), sample)
            })
            .collect()
    }

    fn update(&self, service: &str, is_urgent: bool, update: impl Fn(&mut LiveLevel)) {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.to_owned(), ServiceDemand::default());
        }
        let demand = &mut services[service];
        update(&mut demand.all);
        if is_urgent {
            update(&mut demand.urgent);
        }
    }
}

/// Counts a generation towards the demand until it is dropped.
#[derive(Debug)]
pub struct DemandGuard<B> {
    host: Rc<Host<B>>,
    service: String,
    is_urgent: bool,
    tokens: u64,
}

impl<B> DemandGuard<B> {
    /// Adds a generation with KV cache for `tokens` tokens, whose prefill takes `prefill_ms`.
    pub fn begin(
        host: &Rc<Host<B>>,
        service: &str,
        is_urgent: bool,
        prefill_ms: f64,
        tokens: u64,
    ) -> Self {
        let now_ms = host.clock.now_ms();
        host.service_demand.update(service, is_urgent, |level| {
            level.prefill.add(prefill_ms, now_ms);
            level.streams += 1;
            level.tokens += tokens;
        });
        Self {
            host: Rc::clone(host),
            service: service.to_owned(),
            is_urgent,
            tokens,
        }
    }
}

impl<B> Drop for DemandGuard<B> {
    fn drop(&mut self) {
        let demand = &self.host.service_demand;
        demand.update(&self.service, self.is_urgent, |level| {
            level.streams -= 1;
            level.tokens -= self.tokens;
        });
    }
}
