//! Demand for the engines of a service: what one host measures, the sum over a fleet, and the number
//! of engines that this needs.
//!
//! ```
//! use yuccacove::engine_demand::{DemandSample, EngineCapacity, Level, NeedHistory};
//!
//! let level = Level { prefill_ms_per_s: 4_000, streams: 96, tokens_k: 200 };
//! let sample = DemandSample { all: level, urgent: Level::default() };
//! let capacity = EngineCapacity { slots: 64, kv_tokens: 500_000 };
//! let mut history = NeedHistory::default();
//! for second in 0..10 {
//!     history.observe(&sample, capacity, second * 1_000);
//! }
//! let need = history.need(10_000).expect("a known demand");
//! assert!(need.whole >= 8.0);
//! ```

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::engine_scaling::{BAND, Lowering, Need};
use crate::fleet_rate::HostId;

/// Target fraction of time that a prefill engine is busy.
const PREFILL_UTILISATION: f64 = 0.8;
/// Target fraction of a decode engine's slots, or of its KV cache, in use. Generations that still wait
/// for their prefill count as well, so that the true fraction is lower.
const DECODE_UTILISATION: f64 = 0.75;
/// Time for which a peak counts in full. It is longer than the usual time between two bursts, so that
/// the engines for a burst are not given back before the next one.
const PEAK_MS: u64 = 60_000;
/// Length of the intervals by which peaks are kept.
const PEAK_BUCKET_MS: u64 = 5_000;
/// Half-life of the peak after [`PEAK_MS`].
const PEAK_HALF_LIFE_MS: f64 = 20_000.0;
/// Time constant of the average demand.
const AVERAGE_MS: f64 = 20_000.0;
/// Margin over the average demand for the first bursts. Later ones are known by their peak, and the
/// target utilisations leave the rest of the room.
const BURST_FACTOR: f64 = 1.5;
/// The same for the most urgent kinds while the spot engines of a zone are missing, for about ten
/// seconds, in which a burst is less likely.
const URGENT_BURST_FACTOR: f64 = 2.0;
/// Margin over the average demand for the whole demand while the spot engines of a zone are missing.
const FIRM_FACTOR: f64 = 1.25;
/// The split of a pool into phases is in whole engines, which wastes up to one of them.
const SPLIT_LOSS: f64 = 1.0;
/// Smallest pool with both phases and a spare decode engine.
const MIN_POOL: f64 = 3.0;
/// Ordinary engines that stay if all spot engines are lost: one for each phase.
const MIN_RESERVE: f64 = 2.0;
/// Smallest number of plain back ends: one, and a spare one.
const MIN_PLAIN_POOL: f64 = 2.0;
/// Ordinary plain back ends that stay if all spot ones are lost.
const MIN_PLAIN_RESERVE: f64 = 1.0;
/// Target fraction of a plain back end's slots in use.
const PLAIN_UTILISATION: f64 = 0.75;
/// Requests in progress at a plain back end whose queue is full, as a multiple of its slots.
const FULL_PLAIN_FACTOR: f64 = 5.0;
/// Time for which demand must be observed before it is used to order more engines.
const MIN_OBSERVATION_MS: u64 = 3_000;
/// Time for which demand must be observed before it is used to give engines back.
const SETTLED_MS: u64 = 8_000;
/// Time for which no demand at all must be observed before it counts as known.
const IDLE_OBSERVATION_MS: u64 = 60_000;
/// Time without demand after which the engines that were found are replaced by cheaper ones. Demand that
/// was there before this host became the holder is seen within it.
const IDLE_MS: u64 = 1_000;
/// The same for giving back the engines that were replaced.
const IDLE_SETTLED_MS: u64 = 5_000;
/// Share of the engines found without demand that is kept for the most urgent kinds, and that stays
/// ordinary.
const IDLE_RESERVE_SHARE: f64 = 1.0 / 3.0;
/// Number of intervals between two questions for which the demand of a host counts.
const FRESH_ROUNDS: f64 = 2.5;
/// Time for an answer to arrive.
const ANSWER_MS: u64 = 1_000;
/// Share of the hosts whose demand must be known. That of the others is assumed to be average.
const MIN_KNOWN_SHARE: f64 = 0.5;
/// Interval at which the hosts of a small fleet are asked.
const ROUND_MS: u64 = 1_000;
/// Bytes a second that questions and answers may take at the host that asks.
const BUDGET_BYTES_PER_S: f64 = 7_500.0;
/// Size of a question and an answer with UDP and IP headers, without services.
const EXCHANGE_BYTES: f64 = 100.0;
/// Size of a service in an answer.
const SERVICE_BYTES: f64 = 30.0;
/// Longest interval between two calls for which questions are due.
const MAX_TURN_MS: u64 = 1_000;

/// Demand of a set of requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Level {
    /// Prefill time on a prefill engine that the requests of a second need, in milliseconds; for a
    /// plain service the time of a slot.
    pub prefill_ms_per_s: u32,
    /// Generations, or plain requests, that run or wait.
    pub streams: u32,
    /// KV cache of these generations, in thousands of tokens.
    pub tokens_k: u32,
}

impl Level {
    fn plus(self, other: Self) -> Self {
        Self {
            prefill_ms_per_s: self.prefill_ms_per_s.saturating_add(other.prefill_ms_per_s),
            streams: self.streams.saturating_add(other.streams),
            tokens_k: self.tokens_k.saturating_add(other.tokens_k),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        let scaled = |value: u32| (f64::from(value) * factor).ceil() as u32;
        Self {
            prefill_ms_per_s: scaled(self.prefill_ms_per_s),
            streams: scaled(self.streams),
            tokens_k: scaled(self.tokens_k),
        }
    }

    /// Returns the number of engines, or plain back ends, that serve this demand at their target
    /// utilisation.
    pub fn engines(self, capacity: impl Into<Capacity>) -> f64 {
        match capacity.into() {
            Capacity::Engine(capacity) => self.model_engines(capacity),
            Capacity::Plain { slots } => self.plain_backends(slots),
        }
    }

    /// The requests of a second times their service times are the slots in use, whether or not the
    /// requests wait or are refused. If there are fewer slots than assumed, queues are full although
    /// that demand is met; then the requests in progress ask for more back ends.
    fn plain_backends(self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let in_use = f64::from(self.prefill_ms_per_s) / 1_000.0;
        let full = f64::from(self.streams) / FULL_PLAIN_FACTOR;
        in_use.max(full) / slots / PLAIN_UTILISATION
    }

    fn model_engines(self, capacity: EngineCapacity) -> f64 {
        let prefill = f64::from(self.prefill_ms_per_s) / 1_000.0 / PREFILL_UTILISATION;
        let slots = f64::from(self.streams) / f64::from(capacity.slots.max(1));
        let memory = f64::from(self.tokens_k) * 1_000.0 / capacity.kv_tokens.max(1) as f64;
        prefill + slots.max(memory) / DECODE_UTILISATION
    }
}

/// What an engine can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Capacity of its KV cache in tokens.
    pub kv_tokens: u64,
}

/// What an engine or a plain back end can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Capacity {
    /// A model engine.
    Engine(EngineCapacity),
    /// A back end of a plain service.
    Plain {
        /// Requests that it runs concurrently.
        slots: u32,
    },
}

impl From<EngineCapacity> for Capacity {
    fn from(capacity: EngineCapacity) -> Self {
        Self::Engine(capacity)
    }
}

impl Capacity {
    fn floors(self) -> Floors {
        match self {
            Self::Engine(_) => Floors {
                split_loss: SPLIT_LOSS,
                pool: MIN_POOL,
                reserve: MIN_RESERVE,
            },
            Self::Plain { .. } => Floors {
                split_loss: 0.0,
                pool: MIN_PLAIN_POOL,
                reserve: MIN_PLAIN_RESERVE,
            },
        }
    }
}

/// Engines that a service needs whatever the demand.
#[derive(Debug, Default, Clone, Copy)]
struct Floors {
    /// Addition to the demand.
    split_loss: f64,
    pool: f64,
    reserve: f64,
}

/// Demand for a service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandSample {
    /// Demand of all requests.
    pub all: Level,
    /// Demand of the most urgent kind of requests.
    pub urgent: Level,
}

impl DemandSample {
    fn plus(self, other: Self) -> Self {
        Self {
            all: self.all.plus(other.all),
            urgent: self.urgent.plus(other.urgent),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            all: self.all.scaled(factor),
            urgent: self.urgent.scaled(factor),
        }
    }
}

/// Prefill time that requests need, averaged over the last two complete seconds. Shorter intervals
/// depend on single long prompts.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    second: u64,
    current_ms: f64,
    complete_ms: [f64; 2],
}

impl PrefillRate {
    /// Adds a prompt whose prefill takes `prefill_ms` milliseconds.
    pub fn add(&mut self, prefill_ms: f64, now_ms: u64) {
        self.advance(now_ms);
        self.current_ms += prefill_ms;
    }

    /// Returns the prefill time of a second in milliseconds.
    pub fn ms_per_s(&mut self, now_ms: u64) -> f64 {
        self.advance(now_ms);
        self.complete_ms.iter().sum::<f64>() / self.complete_ms.len() as f64
    }

    fn advance(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        while self.second < second {
            self.complete_ms = [self.complete_ms[1], self.current_ms];
            self.current_ms = 0.0;
            // After more than two empty seconds the skipped ones change nothing.
            let is_empty = self.complete_ms == [0.0; 2];
            self.second = if is_empty { second } else { self.second + 1 };
        }
    }
}

/// Samples of one host.
#[derive(Debug, Clone)]
struct HostSamples {
    sent_ms: u64,
    by_service: IndexMap<u64, DemandSample>,
}

/// Demand of all hosts, as one host collects it: which hosts to ask, and the sum of the answers.
#[derive(Debug, Default)]
pub struct DemandCollection {
    samples: IndexMap<HostId, HostSamples>,
    next: usize,
    asked_ms: Option<u64>,
    /// Questions that are due, in parts of one.
    credit: f64,
}

impl DemandCollection {
    /// Returns the hosts of `hosts` to ask now about `services` services. All are asked once a second,
    /// or less often if there are too many for [`BUDGET_BYTES_PER_S`].
    pub fn next_questions(
        &mut self,
        hosts: &[HostId],
        services: usize,
        now_ms: u64,
    ) -> Vec<HostId> {
        let last_ms = self.asked_ms.replace(now_ms);
        let turn_ms = last_ms.map_or(MAX_TURN_MS, |last_ms| now_ms.saturating_sub(last_ms));
        let turn_ms = turn_ms.min(MAX_TURN_MS) as f64;
        self.credit += turn_ms * hosts.len() as f64 / round_ms(hosts.len(), services);
        let due = (self.credit as usize).min(hosts.len());
        self.credit = (self.credit - due as f64).min(hosts.len() as f64);
        let asked = (0..due).map(|at| hosts[(self.next + at) % hosts.len()]);
        let asked: Vec<HostId> = asked.collect();
        self.next = (self.next + due) % hosts.len().max(1);
        asked
    }

    /// Records the demand of a host, from an answer to the question sent at `sent_ms`.
    pub fn record(&mut self, host: HostId, services: Vec<(u64, DemandSample)>, sent_ms: u64) {
        let known = self.samples.get(&host);
        if known.is_some_and(|known| known.sent_ms > sent_ms) {
            return;
        }
        let samples = HostSamples {
            sent_ms,
            by_service: services.into_iter().collect(),
        };
        self.samples.insert(host, samples);
    }

    /// Returns the demand of all `hosts` for a service; `None` if too few of them have answered.
    pub fn total(
        &mut self,
        hosts: &[HostId],
        services: usize,
        service: u64,
        now_ms: u64,
    ) -> Option<DemandSample> {
        let fresh_ms = round_ms(hosts.len(), services) * FRESH_ROUNDS;
        let fresh_ms = fresh_ms as u64 + ANSWER_MS;
        self.samples
            .retain(|host, sample| hosts.contains(host) && now_ms <= sample.sent_ms + fresh_ms);
        let known = self.samples.len();
        if hosts.is_empty() || (known as f64) < hosts.len() as f64 * MIN_KNOWN_SHARE {
            return None;
        }
        let samples = self.samples.values();
        let samples = samples.filter_map(|host| host.by_service.get(&service));
        let sum = samples.fold(DemandSample::default(), |sum, sample| sum.plus(*sample));
        Some(sum.scaled(hosts.len() as f64 / known as f64))
    }
}

/// Returns the time in which all hosts are asked once.
fn round_ms(hosts: usize, services: usize) -> f64 {
    let bytes = hosts as f64 * (EXCHANGE_BYTES + services as f64 * SERVICE_BYTES);
    (bytes / BUDGET_BYTES_PER_S * 1_000.0).max(ROUND_MS as f64)
}

/// Highest value of the last [`PEAK_MS`], which then decays.
#[derive(Debug, Default, Clone)]
struct Peak {
    /// Start and maximum of each interval, without those that a later one exceeds.
    buckets: VecDeque<(u64, f64)>,
    decaying: f64,
    decayed_ms: u64,
}

impl Peak {
    fn observe(&mut self, value: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.decayed_ms);
        self.decaying *= 0.5_f64.powf(elapsed_ms as f64 / PEAK_HALF_LIFE_MS);
        self.decayed_ms = now_ms;
        while let Some((start_ms, maximum)) = self.buckets.front().copied() {
            if now_ms < start_ms + PEAK_MS {
                break;
            }
            self.decaying = self.decaying.max(maximum);
            self.buckets.pop_front();
        }
        while self.buckets.back().is_some_and(|(_, last)| *last <= value) {
            self.buckets.pop_back();
        }
        let start_ms = now_ms / PEAK_BUCKET_MS * PEAK_BUCKET_MS;
        match self.buckets.back() {
            Some((last_ms, _)) if *last_ms == start_ms => {}
            _ => self.buckets.push_back((start_ms, value)),
        }
    }

    fn value(&self) -> f64 {
        let highest = self.buckets.front().map_or(0.0, |(_, maximum)| *maximum);
        highest.max(self.decaying)
    }
}

/// Average that follows the demand with a time constant of [`AVERAGE_MS`].
#[derive(Debug, Default, Clone, Copy)]
struct Average {
    value: f64,
    observed_ms: u64,
}

impl Average {
    fn observe(&mut self, value: f64, elapsed_ms: u64) {
        self.observed_ms += elapsed_ms;
        // The first values count alike, so that the average does not depend on the very first one.
        let alike = elapsed_ms as f64 / self.observed_ms.max(1) as f64;
        let weight = (1.0 - (-(elapsed_ms as f64) / AVERAGE_MS).exp()).max(alike);
        self.value += (value - self.value) * weight;
    }
}

/// Demand for a service over time, from which the number of engines follows.
#[derive(Debug, Default, Clone)]
pub struct NeedHistory {
    all: Average,
    urgent_all: Average,
    whole: Peak,
    firm: Peak,
    urgent: Peak,
    reserve: Peak,
    floors: Floors,
    first_ms: Option<u64>,
    first_demand_ms: Option<u64>,
    last_ms: u64,
}

impl NeedHistory {
    /// Records the demand of all hosts at `now_ms`.
    pub fn observe(&mut self, sample: &DemandSample, capacity: impl Into<Capacity>, now_ms: u64) {
        let capacity = capacity.into();
        self.floors = capacity.floors();
        let first_ms = *self.first_ms.get_or_insert(now_ms);
        let engines = sample.all.engines(capacity);
        if engines > 0.0 {
            self.first_demand_ms.get_or_insert(now_ms);
        }
        let elapsed_ms = now_ms.saturating_sub(self.last_ms.max(first_ms));
        self.last_ms = now_ms;
        if self.first_demand_ms.is_some() {
            self.record(engines, sample.urgent.engines(capacity), elapsed_ms, now_ms);
        }
    }

    fn record(&mut self, engines: f64, urgent: f64, elapsed_ms: u64, now_ms: u64) {
        self.all.observe(engines, elapsed_ms);
        self.urgent_all.observe(urgent, elapsed_ms);
        let (average, urgent_average) = (self.all.value, self.urgent_all.value);
        let whole = engines.max(average * BURST_FACTOR);
        let split_loss = self.floors.split_loss;
        self.whole.observe(whole + split_loss, now_ms);
        // Ordinary engines boot about as long as a burst lasts, so that they only replace missing spot
        // engines for the average demand.
        self.firm
            .observe(average * FIRM_FACTOR + split_loss, now_ms);
        let urgent = urgent.max(urgent_average * URGENT_BURST_FACTOR);
        self.urgent.observe(urgent, now_ms);
        self.reserve.observe(urgent_average, now_ms);
    }

    /// Returns the need for engines; `None` until demand was observed for some seconds.
    pub fn need(&self, now_ms: u64) -> Option<Need> {
        let since = |from_ms: Option<u64>| from_ms.map_or(0, |ms| now_ms.saturating_sub(ms));
        let is_known = since(self.first_demand_ms) >= MIN_OBSERVATION_MS
            || since(self.first_ms) >= IDLE_OBSERVATION_MS;
        let Floors { pool, reserve, .. } = self.floors;
        is_known.then(|| Need {
            whole: self.whole.value().max(pool),
            firm: self.firm.value().max(pool),
            urgent: self.urgent.value().max(reserve),
            reserve: self.reserve.value().max(reserve),
        })
    }

    /// Returns the need for engines while there has been no demand yet. `found` is the number that was left
    /// at the start after the loss of any zone's spot engines. It is the best estimate of what the demand
    /// will need, so that it stays the same.
    pub fn idle_need(&self, found: u32, now_ms: u64) -> Option<Need> {
        let is_idle = self.first_demand_ms.is_none() && self.observed_ms(now_ms) >= IDLE_MS;
        let Floors {
            pool,
            reserve: least_reserve,
            ..
        } = self.floors;
        let found = f64::from(found);
        let reserve = (found * IDLE_RESERVE_SHARE).max(least_reserve);
        // The band is for needs that change.
        let all = (found / BAND).max(pool);
        is_idle.then_some(Need {
            whole: all,
            firm: all,
            urgent: reserve,
            reserve,
        })
    }

    /// Returns how engines may be given back, which depends on how long demand has been observed.
    pub fn lowering(&self, now_ms: u64) -> Lowering {
        let observed_ms = self.observed_ms(now_ms);
        let demand_ms = self
            .first_demand_ms
            .map(|first_ms| now_ms.saturating_sub(first_ms));
        match demand_ms {
            Some(demand_ms) if demand_ms >= SETTLED_MS => Lowering::Stepwise,
            _ if observed_ms >= IDLE_OBSERVATION_MS => Lowering::Stepwise,
            None if observed_ms >= IDLE_SETTLED_MS => Lowering::AtOnce,
            _ => Lowering::Forbidden,
        }
    }

    fn observed_ms(&self, now_ms: u64) -> u64 {
        self.first_ms
            .map_or(0, |first_ms| now_ms.saturating_sub(first_ms))
    }
}
