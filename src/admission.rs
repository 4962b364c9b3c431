//! Admission queue of one service, with a guaranteed share (floor) for each rank, early refusal and
//! preemption.
//!
//! Work is measured in slot-milliseconds. A slot is one position in an engine's batch or one
//! concurrent call to a server, so a share of the slot time is a share of the pool's
//! engine-seconds.
//!
//! ```
//! use yuccacove::admission::{Decision, Next, Offer, Queue};
//! use yuccacove::catalogue::Class;
//! use yuccacove::rank::Rank;
//!
//! let mut queue = Queue::new([40, 20, 10], 1);
//! let offer = Offer { rank: Rank::Urgent, class: Class::Chat, work_ms: 500, start_by_ms: 1_500 };
//! let Decision::Run(first) = queue.offer(&offer, 0) else { panic!("the slot is free") };
//! let Decision::Wait(second) = queue.offer(&offer, 0) else { panic!("the slot is taken") };
//! queue.finished(first, 500);
//! assert_eq!(queue.next(500), Some(Next::Run(second)));
//! ```

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::catalogue::Class;
use crate::code::Code;
use crate::rank::Rank;

/// Maximum number of waiting requests of one rank. All ranks together stay below a host's limit of
/// 4,096 connections, so an overload of one rank leaves connections for the others.
pub const MAX_WAITING: usize = 1_024;

/// Time constant of the decaying sums that measure each rank's share of the slot time. A rank that
/// was idle may use its floor of this time at once.
const FLOOR_WINDOW_MS: f64 = 10_000.0;

/// Shortest and longest retry delay given to a refused caller.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 30_000);

/// Maximum number of preemptions of one request. Each preemption repeats its prefill.
const MAX_PREEMPTIONS: u32 = 2;

/// Identifies a waiting or running request of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(u64);

/// A request that needs a slot.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Rank of the request's catalogue entry.
    pub rank: Rank,
    /// Class of the request's catalogue entry; only chat requests are preempted.
    pub class: Class,
    /// Time for which the request is expected to occupy a slot.
    pub work_ms: u64,
    /// Latest start at which the request can meet its target. It expires in the queue after this
    /// time.
    pub start_by_ms: u64,
}

/// A refusal. The request was not dispatched, unless the code says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// [`Code::NoBackend`], [`Code::Overloaded`] or [`Code::DeadlineUnreachable`], or
    /// [`Code::DeadlineExceeded`] for a request that was preempted after it had started.
    pub code: Code,
    /// Time after which a retry may be admitted.
    pub retry_after_ms: u64,
}

/// Result of [`Queue::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now and occupies a slot.
    Run(RequestKey),
    /// The request is queued until [`Queue::next`] returns it.
    Wait(RequestKey),
    /// The request is refused.
    Refuse(Refusal),
}

/// Result of [`Queue::next`] for a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The request starts now and occupies a slot.
    Run(RequestKey),
    /// The request can no longer meet its target.
    Refuse(RequestKey, Refusal),
}

#[derive(Debug, Clone, Copy)]
struct Work {
    offer: Offer,
    preemptions: u32,
    started_ms: u64,
}

/// Waiting and running requests of one service on this host.
#[derive(Debug)]
pub struct Queue {
    floors_percent: [u8; 3],
    slots: usize,
    last_key: u64,
    waiting: [BTreeMap<(u64, RequestKey), Work>; 3],
    running: IndexMap<RequestKey, Work>,
    /// Slot time used by each rank, decayed with [`FLOOR_WINDOW_MS`].
    used_ms: [f64; 3],
    /// Time up to which `used_ms` is decayed.
    used_at_ms: u64,
}

impl Queue {
    /// Creates an empty queue. `floors_percent` is indexed by [`Rank::index`]; `slots` is the
    /// number of requests that this host may run at a time.
    pub fn new(floors_percent: [u8; 3], slots: usize) -> Self {
        Self {
            floors_percent,
            slots,
            last_key: 0,
            waiting: Default::default(),
            running: IndexMap::new(),
            used_ms: [0.0; 3],
            used_at_ms: 0,
        }
    }

    /// Sets the number of requests that this host may run at a time. Running requests keep their
    /// slots.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets the floors after a catalogue change, in percent by [`Rank::index`].
    pub fn set_floors(&mut self, floors_percent: [u8; 3]) {
        self.floors_percent = floors_percent;
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, offer: &Offer, now_ms: u64) -> Decision {
        let work = Work {
            offer: *offer,
            preemptions: 0,
            started_ms: now_ms,
        };
        if self.slots == 0 {
            // Without slots there is no estimate of the wait, so the retry delay is fixed.
            return Decision::Refuse(refusal(Code::NoBackend, FLOOR_WINDOW_MS as u64));
        }
        let is_queue_empty = self.waiting.iter().all(BTreeMap::is_empty);
        if is_queue_empty && self.running.len() < self.slots {
            let key = self.new_key();
            self.start(key, work, now_ms);
            return Decision::Run(key);
        }
        let wait_ms = self.expected_wait_ms(offer, now_ms);
        if self.waiting[offer.rank.index()].len() >= MAX_WAITING {
            return Decision::Refuse(refusal(Code::Overloaded, wait_ms));
        }
        let remaining_ms = offer.start_by_ms.saturating_sub(now_ms);
        if wait_ms > remaining_ms {
            return Decision::Refuse(refusal(Code::DeadlineUnreachable, wait_ms - remaining_ms));
        }
        let key = self.new_key();
        self.waiting[offer.rank.index()].insert((offer.start_by_ms, key), work);
        Decision::Wait(key)
    }

    /// Returns the next waiting request to start or to refuse, or `None` if there is none now.
    ///
    /// Call it until it returns `None` whenever a request has ended and when
    /// [`Queue::next_deadline_ms`] has passed.
    pub fn next(&mut self, now_ms: u64) -> Option<Next> {
        if let Some((key, work)) = self.pop_expired(now_ms) {
            // A preempted request has partly run and must not be reported as not run.
            let code = match work.preemptions {
                0 => Code::DeadlineUnreachable,
                _ => Code::DeadlineExceeded,
            };
            let wait_ms = self.expected_wait_ms(&work.offer, now_ms);
            return Some(Next::Refuse(key, refusal(code, wait_ms)));
        }
        if self.running.len() >= self.slots {
            return None;
        }
        let rank = self.next_rank(now_ms)?;
        let ((_, key), work) = self.waiting[rank.index()].pop_first()?;
        self.start(key, work, now_ms);
        Some(Next::Run(key))
    }

    /// The earliest time at which a waiting request misses its target; `None` if none waits.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let earliest = self.waiting.iter().filter_map(BTreeMap::first_key_value);
        earliest.map(|((start_by_ms, _), _)| *start_by_ms).min()
    }

    /// Frees the slot of a running request that ended, successfully or not.
    pub fn finished(&mut self, key: RequestKey, now_ms: u64) {
        if let Some(work) = self.running.swap_remove(&key) {
            self.settle(&work, now_ms);
        }
    }

    /// Removes a waiting or running request whose caller disconnected.
    pub fn cancelled(&mut self, key: RequestKey, now_ms: u64) {
        self.finished(key, now_ms);
        for waiting in &mut self.waiting {
            waiting.retain(|(_, waiting_key), _| *waiting_key != key);
        }
    }

    /// Chooses a running background chat request to preempt if a more urgent request would
    /// otherwise miss its target. The request that started last is chosen, as it loses the least
    /// work.
    ///
    /// Returns `None` while the background rank is below its floor. The caller cancels the victim
    /// and then calls [`Queue::preempted`].
    pub fn victim(&mut self, now_ms: u64) -> Option<RequestKey> {
        if self.running.len() < self.slots {
            return None;
        }
        let free_at_ms = self.running.values().map(end_ms).min()?;
        let urgent = &self.waiting[..Rank::Background.index()];
        let mut earliest = urgent.iter().filter_map(BTreeMap::first_key_value);
        if !earliest.any(|((start_by_ms, _), _)| *start_by_ms < free_at_ms) {
            return None;
        }
        self.decay(now_ms);
        self.preemptible()
            .max_by_key(|(_, started_ms)| *started_ms)
            .map(|(key, _)| key)
    }

    /// Returns a cancelled victim to the queue, to be resumed by `start_by_ms` with `work_ms` of
    /// work remaining. It keeps its key.
    pub fn preempted(&mut self, key: RequestKey, work_ms: u64, start_by_ms: u64, now_ms: u64) {
        let Some(mut work) = self.running.swap_remove(&key) else {
            return;
        };
        self.settle(&work, now_ms);
        work.preemptions += 1;
        work.offer.work_ms = work_ms;
        work.offer.start_by_ms = start_by_ms;
        // The request was already admitted, so it is queued even when its rank's queue is full.
        self.waiting[work.offer.rank.index()].insert((start_by_ms, key), work);
    }

    /// Number of waiting requests of a rank.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.waiting[rank.index()].len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The most urgent waiting rank below its floor, or else the most urgent waiting rank.
    fn next_rank(&mut self, now_ms: u64) -> Option<Rank> {
        self.decay(now_ms);
        let mut waiting = Rank::ALL.into_iter().filter(|r| self.waiting(*r) > 0);
        let first = waiting.clone().next();
        waiting.find(|r| self.is_below_floor(*r)).or(first)
    }

    fn is_below_floor(&self, rank: Rank) -> bool {
        let total_ms: f64 = self.used_ms.iter().sum();
        self.used_ms[rank.index()] < total_ms * self.floor(rank)
    }

    /// Share of the slots that a rank used recently; may exceed 1 for a moment.
    fn utilisation(&self, rank: Rank) -> f64 {
        self.used_ms[rank.index()] / (FLOOR_WINDOW_MS * self.slots.max(1) as f64)
    }

    /// A rank's floor as a fraction from 0 to 1.
    fn floor(&self, rank: Rank) -> f64 {
        f64::from(self.floors_percent[rank.index()]) / 100.0
    }

    /// Expected time until a request would start. A rank gets the slot time that the more urgent
    /// ranks and the floors of the less urgent ranks leave, and at least its own floor. The recent
    /// utilisation of the other ranks counts as well as their queues, because a rank with little
    /// work rarely has waiting requests.
    fn expected_wait_ms(&self, offer: &Offer, now_ms: u64) -> u64 {
        let (mut more_urgent_ms, mut same_rank_ms) = (0, 0);
        let mut remaining_share = 1.0;
        for rank in Rank::ALL {
            let waiting = &self.waiting[rank.index()];
            let work_ms = |(_, work): (_, &Work)| work.offer.work_ms;
            if rank < offer.rank {
                more_urgent_ms += waiting.iter().map(work_ms).sum::<u64>();
                remaining_share -= self.utilisation(rank);
            } else if rank == offer.rank {
                let earlier = ..=(offer.start_by_ms, RequestKey(u64::MAX));
                same_rank_ms += waiting.range(earlier).map(work_ms).sum::<u64>();
            } else if waiting.is_empty() {
                remaining_share -= self.floor(rank).min(self.utilisation(rank));
            } else {
                remaining_share -= self.floor(rank);
            }
        }
        let slots = self.slots.max(1) as f64;
        let by_priority_ms =
            (more_urgent_ms + same_rank_ms) as f64 / (slots * remaining_share.max(0.0));
        let by_floor_ms = same_rank_ms as f64 / (slots * self.floor(offer.rank));
        // Without a floor and without an earlier request of the same rank, `by_floor_ms` is NaN,
        // which `min` ignores.
        let wait_ms = by_priority_ms.min(by_floor_ms) as u64;
        wait_ms.saturating_add(self.until_free_ms(offer.rank, now_ms))
    }

    /// Expected time until a slot is free or can be preempted from a background chat request.
    fn until_free_ms(&self, rank: Rank, now_ms: u64) -> u64 {
        let has_victim = rank < Rank::Background && self.preemptible().next().is_some();
        if self.running.len() < self.slots || has_victim {
            return 0;
        }
        let free_at_ms = self.running.values().map(end_ms).min();
        free_at_ms.map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    /// Keys and start times of the running requests that can be preempted.
    fn preemptible(&self) -> impl Iterator<Item = (RequestKey, u64)> {
        let may_preempt = !self.is_below_floor(Rank::Background);
        self.running
            .iter()
            .filter(move |(_, work)| {
                may_preempt
                    && work.offer.rank == Rank::Background
                    && work.offer.class == Class::Chat
                    && work.preemptions < MAX_PREEMPTIONS
            })
            .map(|(key, work)| (*key, work.started_ms))
    }

    fn pop_expired(&mut self, now_ms: u64) -> Option<(RequestKey, Work)> {
        self.waiting.iter_mut().find_map(|waiting| {
            let entry = waiting.first_entry()?;
            let (start_by_ms, key) = *entry.key();
            (start_by_ms < now_ms).then(|| (key, entry.remove()))
        })
    }

    fn start(&mut self, key: RequestKey, mut work: Work, now_ms: u64) {
        self.decay(now_ms);
        work.started_ms = now_ms;
        self.used_ms[work.offer.rank.index()] += work.offer.work_ms as f64;
        self.running.insert(key, work);
    }

    /// Replaces the expected slot time, which was charged at the start, by the actual time.
    fn settle(&mut self, work: &Work, now_ms: u64) {
        self.decay(now_ms);
        let actual_ms = now_ms.saturating_sub(work.started_ms) as f64;
        let used_ms = &mut self.used_ms[work.offer.rank.index()];
        *used_ms = (*used_ms + actual_ms - work.offer.work_ms as f64).max(0.0);
    }

    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.used_at_ms) as f64;
        let factor = (-passed_ms / FLOOR_WINDOW_MS).exp();
        self.used_ms = self.used_ms.map(|used_ms| used_ms * factor);
        self.used_at_ms = now_ms.max(self.used_at_ms);
    }

    fn new_key(&mut self) -> RequestKey {
        self.last_key += 1;
        RequestKey(self.last_key)
    }
}

fn end_ms(work: &Work) -> u64 {
    work.started_ms + work.offer.work_ms
}

fn refusal(code: Code, wait_ms: u64) -> Refusal {
    let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
    Refusal {
        code,
        retry_after_ms: wait_ms.clamp(min_ms, max_ms),
    }
}
