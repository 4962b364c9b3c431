//! Slots of this host: requests wait for one by rank, are refused early or make room.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};
use yucca_io::clock::boot_ms;
use yuccacove::admission::{Decision, Next, Offer, Queue, Refusal, RequestKey};
use yuccacove::catalogue::{Class, Entry, Service};
use yuccacove::rank::Rank;

use crate::problem::Problem;

/// Calls that one server of a plain service takes at a time.
pub const SERVER_SLOTS: usize = 64;
/// Weight of a finished request in the estimates of its entry.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// First estimate of the time for an output token, which finished requests correct.
const START_TOKEN_MS: f64 = 25.0;
/// First estimate of the time for a plain call and for a first token.
const START_CALL_MS: f64 = 50.0;

#[derive(Debug, Clone, Copy)]
struct Estimate {
    work_ms: f64,
    first_ms: f64,
}

struct ServiceQueue {
    queue: Queue,
    waiting: HashMap<RequestKey, oneshot::Sender<Result<(), Refusal>>>,
    running: HashMap<RequestKey, Arc<Notify>>,
    /// The request that was told to make room and has not done so yet.
    victim: Option<RequestKey>,
}

#[derive(Default)]
struct Inner {
    queues: HashMap<String, ServiceQueue>,
    estimates: HashMap<String, Estimate>,
}

/// Queues of all services on this host.
#[derive(Default)]
pub struct Admission {
    inner: Mutex<Inner>,
}

/// What a request asks a slot for.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Name of the entry.
    pub entry_name: &'a str,
    /// The entry.
    pub entry: &'a Entry,
    /// Service of the entry.
    pub service: &'a Service,
    /// Slots of this host at the service.
    pub slots: usize,
    /// Expected output tokens; 0 for plain calls.
    pub output_tokens: u32,
}

impl Admission {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// A refusal before dispatch, with the time after which a repeat has a chance.
    pub async fn acquire(self: &Arc<Self>, ask: &Ask<'_>) -> Result<Slot, Problem> {
        let (slot, waits) = self.offer(ask)?;
        match waits {
            None => Ok(slot),
            Some(waits) => slot.wait(waits).await,
        }
    }

    fn offer(self: &Arc<Self>, ask: &Ask<'_>) -> Result<(Slot, Option<Waits>), Problem> {
        let now_ms = boot_ms();
        let mut inner = self.lock();
        let estimate = inner.estimate(ask);
        let lead_ms = match ask.entry.class {
            Class::Chat => estimate.first_ms,
            Class::Read | Class::Order => estimate.work_ms,
        };
        let offer = Offer {
            rank: ask.entry.rank,
            class: ask.entry.class,
            work_ms: estimate.work_ms as u64,
            // Half of the target is left for waiting even if the estimates exceed it.
            start_by_ms: now_ms + ask.entry.first_token_ms
                - (lead_ms as u64).min(ask.entry.first_token_ms / 2),
        };
        let floors = ask.service.floors_percent;
        let queue = inner
            .queues
            .entry(ask.entry.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(floors, ask.slots),
                waiting: HashMap::new(),
                running: HashMap::new(),
                victim: None,
            });
        queue.queue.set_slots(ask.slots);
        queue.queue.set_floors(floors);
        queue.pump(now_ms);
        let preempt = Arc::new(Notify::new());
        let (key, waits) = match queue.queue.offer(&offer, now_ms) {
            Decision::Refuse(refusal) => return Err(problem(refusal)),
            Decision::Run(key) => {
                queue.running.insert(key, Arc::clone(&preempt));
                (key, None)
            }
            Decision::Wait(key) => {
                let (tell, waits) = oneshot::channel();
                queue.waiting.insert(key, tell);
                queue.running.insert(key, Arc::clone(&preempt));
                queue.pump(now_ms);
                (key, Some(waits))
            }
        };
        drop(inner);
        let slot = Slot {
            admission: Arc::clone(self),
            service: ask.entry.service.clone(),
            entry_name: ask.entry_name.to_owned(),
            key,
            preempt,
            started_ms: now_ms,
        };
        Ok((slot, waits))
    }

    /// Starts and refuses what is due; called at short intervals.
    pub fn tick(&self) {
        let now_ms = boot_ms();
        for queue in self.lock().queues.values_mut() {
            queue.pump(now_ms);
        }
    }

    /// Waiting requests by service and rank, and running ones by service.
    pub fn load(&self) -> Vec<(String, [usize; 3], usize)> {
        let inner = self.lock();
        let load = |(service, q): (&String, &ServiceQueue)| {
            let waiting = Rank::ALL.map(|rank| q.queue.waiting(rank));
            (service.clone(), waiting, q.queue.running())
        };
        inner.queues.iter().map(load).collect()
    }

    /// Running requests of a service.
    pub fn running(&self, service: &str) -> usize {
        let inner = self.lock();
        inner.queues.get(service).map_or(0, |q| q.queue.running())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn estimate(&self, ask: &Ask<'_>) -> Estimate {
        let first = Estimate {
            work_ms: START_CALL_MS + START_TOKEN_MS * f64::from(ask.output_tokens),
            first_ms: START_CALL_MS,
        };
        self.estimates.get(ask.entry_name).copied().unwrap_or(first)
    }
}

impl ServiceQueue {
    fn pump(&mut self, now_ms: u64) {
        while let Some(next) = self.queue.next(now_ms) {
            let (key, result) = match next {
                Next::Run(key) => (key, Ok(())),
                Next::Refuse(key, refusal) => (key, Err(refusal)),
            };
            let told = self.waiting.remove(&key).map(|tell| tell.send(result));
            if !matches!(told, Some(Ok(()))) {
                // The caller left while it waited.
                self.queue.cancelled(key, now_ms);
            }
        }
        if self.victim.is_none()
            && let Some(victim) = self.queue.victim(now_ms)
            && let Some(preempt) = self.running.get(&victim)
        {
            self.victim = Some(victim);
            preempt.notify_one();
        }
    }
}

type Waits = oneshot::Receiver<Result<(), Refusal>>;

/// A place in the queue or a slot, given back when dropped.
pub struct Slot {
    admission: Arc<Admission>,
    service: String,
    entry_name: String,
    key: RequestKey,
    preempt: Arc<Notify>,
    started_ms: u64,
}

impl Slot {
    /// Completes when the request has to make room.
    pub fn preempted(&self) -> Arc<Notify> {
        Arc::clone(&self.preempt)
    }

    /// Gives the slot to a more urgent request and waits for another one, at most until
    /// `start_by_ms`.
    ///
    /// # Errors
    ///
    /// A refusal when no slot came in time.
    pub async fn yield_and_wait(self, work_ms: u64, start_by_ms: u64) -> Result<Self, Problem> {
        let (tell, waits) = oneshot::channel();
        {
            let now_ms = boot_ms();
            let mut inner = self.admission.lock();
            if let Some(queue) = inner.queues.get_mut(&self.service) {
                queue.waiting.insert(self.key, tell);
                queue.victim = queue.victim.filter(|victim| *victim != self.key);
                queue
                    .queue
                    .preempted(self.key, work_ms, start_by_ms, now_ms);
                queue.pump(now_ms);
            }
        }
        self.wait(waits).await
    }

    /// Corrects the estimates of the entry by this request.
    pub fn record(&self, first_token_ms: Option<u64>) {
        let work_ms = boot_ms().saturating_sub(self.started_ms) as f64;
        let first_ms = first_token_ms.map_or(work_ms, |ms| ms as f64);
        let mut inner = self.admission.lock();
        let estimate = inner
            .estimates
            .entry(self.entry_name.clone())
            .or_insert(Estimate { work_ms, first_ms });
        estimate.work_ms += (work_ms - estimate.work_ms) * ESTIMATE_WEIGHT;
        estimate.first_ms += (first_ms - estimate.first_ms) * ESTIMATE_WEIGHT;
    }

    /// When the slot was received.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    async fn wait(mut self, waits: Waits) -> Result<Self, Problem> {
        match waits.await {
            Ok(Ok(())) => {
                self.started_ms = boot_ms();
                Ok(self)
            }
            Ok(Err(refusal)) => Err(problem(refusal)),
            // The queue dropped the request; only possible during a stop.
            Err(_) => Err(problem(Refusal {
                code: yuccacove::code::Code::Overloaded,
                retry_after_ms: 1_000,
            })),
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now_ms = boot_ms();
        let mut inner = self.admission.lock();
        if let Some(queue) = inner.queues.get_mut(&self.service) {
            queue.waiting.remove(&self.key);
            queue.running.remove(&self.key);
            queue.victim = queue.victim.filter(|victim| *victim != self.key);
            queue.queue.cancelled(self.key, now_ms);
            queue.pump(now_ms);
        }
    }
}

fn problem(refusal: Refusal) -> Problem {
    let mut problem = Problem::new(refusal.code, "the host's share of the service is in use");
    problem.retry_after_s = Some(refusal.retry_after_ms.div_ceil(1_000));
    problem
}
