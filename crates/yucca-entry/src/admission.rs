//! Admission of requests to this host's slots: requests wait by rank, are refused early if they
//! cannot start in time, and are preempted by more urgent ones.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};
use yucca_io::clock::boot_ms;
use yuccacove::admission::{Decision, Next, Offer, Queue, Refusal, RequestKey};
use yuccacove::catalogue::{Class, Entry, Service};
use yuccacove::rank::Rank;

use crate::problem::Problem;

/// Concurrent calls that one server of a plain service accepts.
pub const SERVER_SLOTS: usize = 64;
/// Weight of a finished request in the moving averages of its entry.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// Initial estimate of the time per output token, used until a request of the entry has finished.
const INITIAL_TOKEN_MS: f64 = 25.0;
/// Initial estimate of the time for a plain call and of the time to the first token.
const INITIAL_CALL_MS: f64 = 50.0;

/// Moving averages over the finished requests of an entry.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Time from the start to the end of a request.
    work_ms: f64,
    /// Time from the start to the first token of a chat or to the end of a plain call.
    first_ms: f64,
}

struct ServiceQueue {
    queue: Queue,
    /// Channels on which waiting requests receive their slot or a refusal.
    waiting: HashMap<RequestKey, oneshot::Sender<Result<(), Refusal>>>,
    /// Preemption signals of waiting and running requests.
    preempt: HashMap<RequestKey, Arc<Notify>>,
    /// Request that was told to release its slot and has not done so yet.
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

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest<'a> {
    /// Name of the entry.
    pub entry_name: &'a str,
    /// The entry.
    pub entry: &'a Entry,
    /// Service of the entry.
    pub service: &'a Service,
    /// Number of slots that this host has for the service.
    pub slots: usize,
    /// Expected output tokens; 0 for plain calls.
    pub output_tokens: u32,
}

impl Admission {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The refusal, with the time after which a retry may succeed. Nothing was dispatched.
    pub async fn acquire(self: &Arc<Self>, request: &SlotRequest<'_>) -> Result<Slot, Problem> {
        let (slot, receiver) = self.offer(request)?;
        match receiver {
            None => Ok(slot),
            Some(receiver) => slot.wait(receiver).await,
        }
    }

    fn offer(
        self: &Arc<Self>,
        request: &SlotRequest<'_>,
    ) -> Result<(Slot, Option<SlotReceiver>), Problem> {
        let now_ms = boot_ms();
        let mut inner = self.lock();
        let estimate = inner.estimate(request);
        // The target of a chat is for its first token, that of a plain call for its end.
        let expected_ms = match request.entry.class {
            Class::Chat => estimate.first_ms,
            Class::Read | Class::Order => estimate.work_ms,
        };
        let offer = Offer {
            rank: request.entry.rank,
            class: request.entry.class,
            work_ms: estimate.work_ms as u64,
            // Leaves half of the target for waiting even if the estimate is longer.
            start_by_ms: now_ms + request.entry.first_token_ms
                - (expected_ms as u64).min(request.entry.first_token_ms / 2),
        };
        let floors = request.service.floors_percent;
        let queue = inner
            .queues
            .entry(request.entry.service.clone())
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(floors, request.slots),
                waiting: HashMap::new(),
                preempt: HashMap::new(),
                victim: None,
            });
        queue.queue.set_slots(request.slots);
        queue.queue.set_floors(floors);
        queue.process(now_ms);
        let preempt = Arc::new(Notify::new());
        let (key, receiver) = match queue.queue.offer(&offer, now_ms) {
            Decision::Refuse(refusal) => return Err(problem(refusal)),
            Decision::Run(key) => {
                queue.preempt.insert(key, Arc::clone(&preempt));
                (key, None)
            }
            Decision::Wait(key) => {
                let (sender, receiver) = oneshot::channel();
                queue.waiting.insert(key, sender);
                queue.preempt.insert(key, Arc::clone(&preempt));
                queue.process(now_ms);
                (key, Some(receiver))
            }
        };
        drop(inner);
        let slot = Slot {
            admission: Arc::clone(self),
            service: request.entry.service.clone(),
            entry_name: request.entry_name.to_owned(),
            key,
            preempt,
            started_ms: now_ms,
        };
        Ok((slot, receiver))
    }

    /// Starts and refuses waiting requests that are due; called at short intervals.
    pub fn tick(&self) {
        let now_ms = boot_ms();
        for queue in self.lock().queues.values_mut() {
            queue.process(now_ms);
        }
    }

    /// For each service: its name, waiting requests by rank, and running requests.
    pub fn load(&self) -> Vec<(String, [usize; 3], usize)> {
        let inner = self.lock();
        let load = |(service, q): (&String, &ServiceQueue)| {
            let waiting = Rank::ALL.map(|rank| q.queue.waiting(rank));
            (service.clone(), waiting, q.queue.running())
        };
        inner.queues.iter().map(load).collect()
    }

    /// Number of running requests of a service.
    pub fn running(&self, service: &str) -> usize {
        let inner = self.lock();
        inner.queues.get(service).map_or(0, |q| q.queue.running())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn estimate(&self, request: &SlotRequest<'_>) -> Estimate {
        let first = Estimate {
            work_ms: INITIAL_CALL_MS + INITIAL_TOKEN_MS * f64::from(request.output_tokens),
            first_ms: INITIAL_CALL_MS,
        };
        self.estimates
            .get(request.entry_name)
            .copied()
            .unwrap_or(first)
    }
}

impl ServiceQueue {
    fn process(&mut self, now_ms: u64) {
        while let Some(next) = self.queue.next(now_ms) {
            let (key, result) = match next {
                Next::Run(key) => (key, Ok(())),
                Next::Refuse(key, refusal) => (key, Err(refusal)),
            };
            let sent = self.waiting.remove(&key).map(|sender| sender.send(result));
            if !matches!(sent, Some(Ok(()))) {
                // The caller disconnected while its request waited.
                self.queue.cancelled(key, now_ms);
            }
        }
        if self.victim.is_none()
            && let Some(victim) = self.queue.victim(now_ms)
            && let Some(preempt) = self.preempt.get(&victim)
        {
            self.victim = Some(victim);
            preempt.notify_one();
        }
    }
}

type SlotReceiver = oneshot::Receiver<Result<(), Refusal>>;

/// A queue position or an acquired slot, released when dropped.
pub struct Slot {
    admission: Arc<Admission>,
    service: String,
    entry_name: String,
    key: RequestKey,
    preempt: Arc<Notify>,
    started_ms: u64,
}

impl Slot {
    /// Notified when the request must release its slot.
    pub fn preempted(&self) -> Arc<Notify> {
        Arc::clone(&self.preempt)
    }

    /// Releases the slot to a more urgent request and waits for another one, at most until
    /// `start_by_ms`. `work_ms` is the estimated remaining work of this request.
    ///
    /// # Errors
    ///
    /// A refusal when no slot became free in time.
    pub async fn yield_and_wait(self, work_ms: u64, start_by_ms: u64) -> Result<Self, Problem> {
        let (sender, receiver) = oneshot::channel();
        {
            let now_ms = boot_ms();
            let mut inner = self.admission.lock();
            if let Some(queue) = inner.queues.get_mut(&self.service) {
                queue.waiting.insert(self.key, sender);
                queue.victim = queue.victim.filter(|victim| *victim != self.key);
                queue
                    .queue
                    .preempted(self.key, work_ms, start_by_ms, now_ms);
                queue.process(now_ms);
            }
        }
        self.wait(receiver).await
    }

    /// Updates the entry's estimates with this request, which has just ended; `first_token_ms` is
    /// `None` for plain calls.
    pub fn update_estimates(&self, first_token_ms: Option<u64>) {
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

    /// When the slot was acquired, in milliseconds since boot.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    async fn wait(mut self, receiver: SlotReceiver) -> Result<Self, Problem> {
        match receiver.await {
            Ok(Ok(())) => {
                self.started_ms = boot_ms();
                Ok(self)
            }
            Ok(Err(refusal)) => Err(problem(refusal)),
            // The queue dropped the request, which happens only during a stop.
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
            queue.preempt.remove(&self.key);
            queue.victim = queue.victim.filter(|victim| *victim != self.key);
            queue.queue.cancelled(self.key, now_ms);
            queue.process(now_ms);
        }
    }
}

fn problem(refusal: Refusal) -> Problem {
    let mut problem = Problem::new(refusal.code, "the host's share of the service is in use");
    problem.retry_after_s = Some(refusal.retry_after_ms.div_ceil(1_000));
    problem
}
