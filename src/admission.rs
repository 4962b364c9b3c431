//! Queue of a service's requests by rank, with floors, early refusal and preemption.
//!
//! Work is counted in slot-milliseconds. A slot is a place in an engine's batch or a call to a
//! server, so that a share of the slots' time is a share of the pool's engine-seconds.
//!
//! ```
//! use yuccacove::admission::{Next, Offer, Queue, Decision};
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

/// Waiting requests of one rank. All ranks together stay below a host's 4,096 connections, so that
/// a flood of one rank leaves connections to the others.
pub const MAX_WAITING: usize = 1_024;

/// Time over which a rank's share is measured. A rank that comes back after a pause may take its
/// floor of this time at once.
const FLOOR_WINDOW_MS: f64 = 10_000.0;

/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_MS: (u64, u64) = (100, 30_000);

/// How often a request may be preempted, as each time costs its prefill again.
const MAX_PREEMPTIONS: u32 = 2;

/// Identifies a waiting or running request of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(u64);

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Rank of its entry.
    pub rank: Rank,
    /// Class of its entry; only chat is preempted.
    pub class: Class,
    /// Time for which it is expected to take a slot.
    pub work_ms: u64,
    /// Latest start with which it can meet its target; also its deadline in the queue.
    pub start_by_ms: u64,
}

/// A refusal, before dispatch unless its code says otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// [`Code::NoBackend`], [`Code::Overloaded`] or [`Code::DeadlineUnreachable`], and
    /// [`Code::DeadlineExceeded`] for a request that was preempted.
    pub code: Code,
    /// Time after which a repeat has a chance.
    pub retry_after_ms: u64,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It takes a slot now.
    Run(RequestKey),
    /// It waits until [`Queue::next`] returns it.
    Wait(RequestKey),
    /// It is refused.
    Refuse(Refusal),
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It takes a slot now.
    Run(RequestKey),
    /// It can no longer meet its target.
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
    /// Slot time given to each rank, with old time decayed.
    used_ms: [f64; 3],
    used_at_ms: u64,
}

impl Queue {
    /// An empty queue of a service with the given floors, in percent by [`Rank::index`].
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

    /// Sets the slots that this host may use at a time. Running requests keep theirs.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets the floors after an edit of the catalogue.
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
            return Decision::Refuse(refusal(Code::NoBackend, FLOOR_WINDOW_MS as u64));
        }
        let nobody_waits = self.waiting.iter().all(BTreeMap::is_empty);
        if nobody_waits && self.running.len() < self.slots {
            let key = self.new_key();
            self.start(key, work, now_ms);
            return Decision::Run(key);
        }
        let wait_ms = self.expected_wait_ms(offer, now_ms);
        if self.waiting[offer.rank.index()].len() >= MAX_WAITING {
            return Decision::Refuse(refusal(Code::Overloaded, wait_ms));
        }
        let left_ms = offer.start_by_ms.saturating_sub(now_ms);
        if wait_ms > left_ms {
            return Decision::Refuse(refusal(Code::DeadlineUnreachable, wait_ms - left_ms));
        }
        let key = self.new_key();
        self.waiting[offer.rank.index()].insert((offer.start_by_ms, key), work);
        Decision::Wait(key)
    }

    /// The next request to start or to refuse, or `None` when nothing is to be done now. It is
    /// called again until it returns `None`, after each end of a request and when
    /// [`Queue::next_deadline_ms`] passes.
    pub fn next(&mut self, now_ms: u64) -> Option<Next> {
        if let Some((key, work)) = self.pop_expired(now_ms) {
            // A preempted request has run in part, so that it must not be reported as not run.
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

    /// The earliest time at which a waiting request misses its target.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let firsts = self.waiting.iter().filter_map(BTreeMap::first_key_value);
        firsts.map(|((start_by_ms, _), _)| *start_by_ms).min()
    }

    /// Frees the slot of a running request, however it ended.
    pub fn finished(&mut self, key: RequestKey, now_ms: u64) {
        if let Some(work) = self.running.swap_remove(&key) {
            self.settle(&work, now_ms);
        }
    }

    /// Forgets a request whose caller left, waiting or running.
    pub fn cancelled(&mut self, key: RequestKey, now_ms: u64) {
        self.finished(key, now_ms);
        for waiting in &mut self.waiting {
            waiting.retain(|(_, waiting_key), _| *waiting_key != key);
        }
    }

    /// A running background chat that has to make room, because a more urgent request waits that
    /// would miss its target otherwise. The one that started last is chosen, as it loses least.
    ///
    /// None is chosen while the background rank is below its floor. The caller cancels the victim
    /// and reports it with [`Queue::preempted`].
    pub fn victim(&mut self, now_ms: u64) -> Option<RequestKey> {
        if self.running.len() < self.slots {
            return None;
        }
        let free_at_ms = self.running.values().map(end_ms).min()?;
        let urgent = &self.waiting[..Rank::Background.index()];
        let mut firsts = urgent.iter().filter_map(BTreeMap::first_key_value);
        if !firsts.any(|((start_by_ms, _), _)| *start_by_ms < free_at_ms) {
            return None;
        }
        self.decay(now_ms);
        self.preemptible()
            .max_by_key(|(_, started_ms)| *started_ms)
            .map(|(key, _)| key)
    }

    /// Puts a cancelled victim back into the queue, to be resumed by `start_by_ms` with `work_ms`
    /// left. It keeps its key.
    pub fn preempted(&mut self, key: RequestKey, work_ms: u64, start_by_ms: u64, now_ms: u64) {
        let Some(mut work) = self.running.swap_remove(&key) else {
            return;
        };
        self.settle(&work, now_ms);
        work.preemptions += 1;
        work.offer.work_ms = work_ms;
        work.offer.start_by_ms = start_by_ms;
        // It was admitted once and is not refused now, even when its rank's queue is full.
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

    /// The most urgent rank below its floor, else the most urgent rank.
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

    /// Part of the slots that a rank used in the recent time.
    fn utilisation(&self, rank: Rank) -> f64 {
        self.used_ms[rank.index()] / (FLOOR_WINDOW_MS * self.slots.max(1) as f64)
    }

    /// A rank's floor from 0 to 1.
    fn floor(&self, rank: Rank) -> f64 {
        f64::from(self.floors_percent[rank.index()]) / 100.0
    }

    /// Expected time until a request would start. A rank gets what the more urgent ranks and the
    /// floors of the less urgent ones leave, and at least its own floor. A rank with little work
    /// seldom waits, so that its recent use counts and not only its queue.
    fn expected_wait_ms(&self, offer: &Offer, now_ms: u64) -> u64 {
        let (mut before_ms, mut same_ms) = (0, 0);
        let mut left_share = 1.0;
        for rank in Rank::ALL {
            let waiting = &self.waiting[rank.index()];
            let work_ms = |(_, work): (_, &Work)| work.offer.work_ms;
            if rank < offer.rank {
                before_ms += waiting.iter().map(work_ms).sum::<u64>();
                left_share -= self.utilisation(rank);
            } else if rank == offer.rank {
                let earlier = ..=(offer.start_by_ms, RequestKey(u64::MAX));
                same_ms += waiting.range(earlier).map(work_ms).sum::<u64>();
            } else if waiting.is_empty() {
                left_share -= self.floor(rank).min(self.utilisation(rank));
            } else {
                left_share -= self.floor(rank);
            }
        }
        let slots = self.slots.max(1) as f64;
        let by_priority_ms = (before_ms + same_ms) as f64 / (slots * left_share.max(0.0));
        let by_floor_ms = same_ms as f64 / (slots * self.floor(offer.rank));
        // Without a floor and with nothing ahead the second is not a number, and is ignored.
        let wait_ms = by_priority_ms.min(by_floor_ms) as u64;
        wait_ms.saturating_add(self.until_free_ms(offer.rank, now_ms))
    }

    /// Expected time until a slot is free or may be taken from a background chat.
    fn until_free_ms(&self, rank: Rank, now_ms: u64) -> u64 {
        let has_victim = rank < Rank::Background && self.preemptible().next().is_some();
        if self.running.len() < self.slots || has_victim {
            return 0;
        }
        let free_at_ms = self.running.values().map(end_ms).min();
        free_at_ms.map_or(0, |at_ms| at_ms.saturating_sub(now_ms))
    }

    /// Keys and start times of the running requests that may be preempted.
    fn preemptible(&self) -> impl Iterator<Item = (RequestKey, u64)> {
        let keeps_floor = !self.is_below_floor(Rank::Background);
        self.running
            .iter()
            .filter(move |(_, work)| {
                keeps_floor
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

    /// Replaces the expected slot time, charged at the start, by the actual time.
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
    let (least_ms, most_ms) = RETRY_AFTER_MS;
    Refusal {
        code,
        retry_after_ms: wait_ms.clamp(least_ms, most_ms),
    }
}
