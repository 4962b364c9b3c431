//! Speeds of the engines of a service, learned from how long their work takes.
//!
//! Work is measured in nominal milliseconds: the time that it takes at the published speed. A remote
//! prefill takes a fixed latency, which does not occupy its engine, plus the work before it and its
//! own work divided by the engine's speed. [`ServiceSpeed`] holds what all engines of a service have
//! in common, and [`EngineSpeed`] the speed of one engine. Until there are enough samples, each
//! engine has the published speed and there is no latency.
//!
//! ```
//! use yuccacove::engine_speed::{EngineSpeed, PrefillSample, ServiceSpeed};
//!
//! let mut service = ServiceSpeed::default();
//! let mut engine = EngineSpeed::default();
//! for number in 0..100_u32 {
//!     let work_ms = f64::from(10 + 30 * (number % 4));
//!     let sample = PrefillSample {
//!         ahead_ms: 0.0,
//!         work_ms,
//!         took_ms: 47.0 + work_ms / 0.5,
//!         is_queue_known: true,
//!     };
//!     service.record_prefill(&mut engine, &sample, u64::from(number) * 100);
//! }
//! assert!((service.latency_ms() - 47.0).abs() < 5.0);
//! assert!((service.prefill_speed(&engine, 10_000) - 0.5).abs() < 0.05);
//! ```

use std::collections::VecDeque;

/// Bounds of a speed. They keep a faulty sample from removing an engine from use, and from giving it
/// all work.
const SPEED_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Largest speed of an engine as a multiple of the usual one. Short prompts whose queue was shorter than
/// known would else make an engine seem several times faster, and all hosts would choose it.
const MAX_USUAL_MULTIPLE: f64 = 1.5;
/// Longest fixed latency of a remote prefill.
const MAX_LATENCY_MS: f64 = 300.0;
/// Samples of an engine that decide on its current speed.
const RECENT_SAMPLES: usize = 9;
/// Time after which a sample no longer counts for the current speed. Engines turn slow for some
/// seconds.
const RECENT_MS: u64 = 5_000;
/// Largest weight of a sample, in milliseconds of work. It is smaller than [`PRIOR_WEIGHT`], so that
/// no single sample decides.
const MAX_WEIGHT: f64 = 25.0;
/// Weight of the long-term speed beside the recent samples.
const PRIOR_WEIGHT: f64 = 30.0;
/// Work of the expected speed that is added to each sample. Times are known to a few milliseconds,
/// which is much of the time of a short prompt.
const MEASUREMENT_MS: f64 = 6.0;
/// Factor on the weight of a sample if other hosts may have given the engine unknown work.
const UNKNOWN_QUEUE_WEIGHT: f64 = 0.25;
/// Weight of the time between two events of a stream.
const DECODE_WEIGHT: f64 = 10.0;
/// Share by which the long-term speed follows the current one with each sample.
const SETTLE_SHARE: f64 = 0.03;
/// Half-life of the long-term speed without samples, so that an engine which gets no work because it
/// was slow is tried again.
const FORGET_HALF_LIFE_MS: f64 = 60_000.0;
/// Samples of a service from which the latency is determined.
const SERVICE_SAMPLES: usize = 64;
/// Minimum number of these samples if there were no more within [`FEW_SAMPLES_MS`].
const MIN_SERVICE_SAMPLES: usize = 24;
/// Time after which the latency is determined from few samples.
const FEW_SAMPLES_MS: u64 = 10_000;
/// Time after which a sample no longer counts for the latency.
const SERVICE_SAMPLE_MS: u64 = 20_000;
/// Quantile of the times that is taken for the latency. It is below the median, because unknown work
/// and slow engines only add to a time.
const LATENCY_QUANTILE: f64 = 0.3;
/// Interval at which the latency is determined again.
const FIT_INTERVAL_MS: u64 = 1_000;
/// Share by which the usual speed follows a new value. It changes slowly, because a burst during which
/// all engines wait for something else must not make all of them seem slow.
const USUAL_SHARE: f64 = 0.1;
/// Range of the work, between the first and the last decile, that tells latency and speed apart.
const MIN_WORK_RANGE_MS: f64 = 15.0;
/// Number of values whose median is the latency. A single one is wrong by tens of milliseconds if some
/// prompts waited for work that was not known.
const LATENCY_FITS: usize = 9;
/// Largest change of a [`RunningMedian`] by one sample, in milliseconds.
const MEDIAN_STEP_MS: f64 = 2.0;

/// A completed remote prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// Work that the engine had to do before it, in nominal milliseconds.
    pub ahead_ms: f64,
    /// Its own work, in nominal milliseconds.
    pub work_ms: f64,
    /// Time from the call to the response, in milliseconds.
    pub took_ms: f64,
    /// Whether all hosts that give the engine work announce it.
    pub is_queue_known: bool,
}

impl PrefillSample {
    fn total_ms(&self) -> f64 {
        self.ahead_ms + self.work_ms
    }

    fn is_valid(&self) -> bool {
        let is_finite = self.total_ms().is_finite() && self.took_ms.is_finite();
        is_finite && self.ahead_ms >= 0.0 && self.work_ms > 0.0 && self.took_ms > 0.0
    }

    fn weight(&self) -> f64 {
        let weight = self.total_ms().min(MAX_WEIGHT);
        if self.is_queue_known {
            weight
        } else {
            weight * UNKNOWN_QUEUE_WEIGHT
        }
    }

    /// Time per nominal time on an engine that adds `latency_ms`; `usual` is the value that is expected.
    fn slowness(&self, latency_ms: f64, usual: f64) -> f64 {
        let (min, max) = SPEED_BOUNDS;
        let busy_ms = (self.took_ms - latency_ms).max(0.0) + MEASUREMENT_MS * usual;
        (busy_ms / (self.total_ms() + MEASUREMENT_MS)).clamp(1.0 / max, 1.0 / min)
    }
}

/// Time per nominal time of an engine: the median of the recent samples and the long-term value.
#[derive(Debug, Default, Clone, PartialEq)]
struct Slowness {
    /// Time, value and weight of the recent samples.
    recent: VecDeque<(u64, f64, f64)>,
    /// Natural logarithm of the long-term value.
    settled_log: f64,
    samples: u32,
    last_ms: u64,
}

impl Slowness {
    /// Long-term value. Without samples it approaches `usual`.
    fn settled(&self, usual: f64, now_ms: u64) -> f64 {
        if self.samples == 0 {
            return usual;
        }
        let idle_ms = now_ms.saturating_sub(self.last_ms) as f64;
        let kept = 0.5_f64.powf(idle_ms / FORGET_HALF_LIFE_MS);
        (usual.ln() + (self.settled_log - usual.ln()) * kept).exp()
    }

    fn current(&self, usual: f64, now_ms: u64) -> f64 {
        let recent = self.recent.iter();
        let recent = recent.filter(|(at_ms, ..)| now_ms <= at_ms + RECENT_MS);
        let recent = recent.map(|(_, value, weight)| (*value, *weight));
        let prior = (self.settled(usual, now_ms), PRIOR_WEIGHT);
        weighted_median(recent.chain([prior]).collect())
    }

    fn record(&mut self, value: f64, weight: f64, usual: f64, now_ms: u64) {
        let settled = self.settled(usual, now_ms);
        self.recent.push_back((now_ms, value, weight));
        if self.recent.len() > RECENT_SAMPLES {
            self.recent.pop_front();
        }
        let current = self.current(usual, now_ms);
        self.samples = self.samples.saturating_add(1);
        // The first samples weigh more, because a slow engine is mostly so from the start.
        let share = SETTLE_SHARE.max(1.0 / (f64::from(self.samples) + 3.0));
        self.settled_log = settled.ln() + share * (current / settled).ln();
        self.last_ms = now_ms;
    }
}

/// Learned speed of an engine. A restarted engine begins with the default again.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct EngineSpeed {
    prefill: Slowness,
    decode: Slowness,
}

impl EngineSpeed {
    /// Records the time between two events of a stream, and its nominal value.
    pub fn record_decode(&mut self, took_ms: f64, nominal_ms: f64, now_ms: u64) {
        if !(took_ms > 0.0 && nominal_ms > 0.0) {
            return;
        }
        let (min, max) = SPEED_BOUNDS;
        let value = (took_ms / nominal_ms).clamp(1.0 / max, 1.0 / min);
        self.decode.record(value, DECODE_WEIGHT, 1.0, now_ms);
    }

    /// Returns the decode speed relative to the published one.
    pub fn decode_speed(&self, now_ms: u64) -> f64 {
        1.0 / self.decode.current(1.0, now_ms)
    }
}

/// What the engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpeed {
    latency_ms: f64,
    /// Usual time per nominal time, which holds for engines without samples.
    usual: f64,
    /// Latest values of the latency, which are empty until there are enough samples.
    fits: VecDeque<f64>,
    fitted_ms: u64,
    fit_count: u32,
    /// Samples with the time at which they were recorded, and the work that an engine of the usual
    /// speed would do in the same time.
    samples: VecDeque<(u64, f64, PrefillSample)>,
    /// Time by which generations with a remote prefill begin later than forecast.
    pub decode_delay: RunningMedian,
    /// Time by which generations without a remote prefill begin later than forecast.
    pub one_stage_delay: RunningMedian,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            latency_ms: 0.0,
            usual: 1.0,
            fits: VecDeque::new(),
            fitted_ms: 0,
            fit_count: 0,
            samples: VecDeque::new(),
            decode_delay: RunningMedian::default(),
            one_stage_delay: RunningMedian::default(),
        }
    }
}

impl ServiceSpeed {
    /// Returns the fixed latency of a remote prefill, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Returns the speed of an engine without samples, relative to the published one.
    pub fn base_speed(&self) -> f64 {
        1.0 / self.usual
    }

    /// Returns the prefill speed of an engine relative to the published one. It follows from the
    /// engine's decode speed if it has no prefill samples.
    pub fn prefill_speed(&self, engine: &EngineSpeed, now_ms: u64) -> f64 {
        if engine.prefill.samples == 0 && engine.decode.samples > 0 {
            // A fast decode has no meaning for the prefill: the usual speed includes it already.
            let decode = engine.decode.current(1.0, now_ms).max(1.0);
            return 1.0 / (self.usual * decode);
        }
        let slowness = engine.prefill.current(self.usual, now_ms);
        1.0 / slowness.max(self.usual / MAX_USUAL_MULTIPLE)
    }

    /// Records a remote prefill that `engine` has completed.
    pub fn record_prefill(
        &mut self,
        engine: &mut EngineSpeed,
        sample: &PrefillSample,
        now_ms: u64,
    ) {
        if !sample.is_valid() {
            return;
        }
        if sample.is_queue_known {
            let usual_work_ms =
                sample.total_ms() * engine.prefill.settled(self.usual, now_ms) / self.usual;
            self.samples.push_back((now_ms, usual_work_ms, *sample));
            if self.samples.len() > SERVICE_SAMPLES {
                self.samples.pop_front();
            }
            self.fit_if_due(now_ms);
        }
        // Without the latency, an engine with short prompts would seem slow.
        if !self.fits.is_empty() {
            let settled = engine.prefill.settled(self.usual, now_ms);
            let value = sample.slowness(self.latency_ms, settled);
            let weight = sample.weight();
            engine.prefill.record(value, weight, self.usual, now_ms);
        }
    }

    fn fit_if_due(&mut self, now_ms: u64) {
        if !self.fits.is_empty() && now_ms < self.fitted_ms + FIT_INTERVAL_MS {
            return;
        }
        self.samples
            .retain(|(at_ms, ..)| now_ms <= at_ms + SERVICE_SAMPLE_MS);
        let oldest_ms = self.samples.front().map_or(now_ms, |(at_ms, ..)| *at_ms);
        let is_old = now_ms >= oldest_ms + FEW_SAMPLES_MS;
        let needed = if is_old || !self.fits.is_empty() {
            MIN_SERVICE_SAMPLES
        } else {
            SERVICE_SAMPLES
        };
        if self.samples.len() < needed {
            return;
        }
        self.fitted_ms = now_ms;
        self.fit_count = self.fit_count.saturating_add(1);
        if let Some(latency_ms) = self.fitted_latency_ms() {
            self.fits.push_back(latency_ms);
            if self.fits.len() > LATENCY_FITS {
                self.fits.pop_front();
            }
            let fits = self.fits.iter().map(|latency_ms| (*latency_ms, 1.0));
            self.latency_ms = weighted_median(fits.collect());
        }
        let usual = self.usual;
        let samples = self.samples.iter();
        let values =
            samples.map(|(.., sample)| (sample.slowness(self.latency_ms, usual), sample.weight()));
        let usual = weighted_median(values.collect());
        let share = USUAL_SHARE.max(1.0 / f64::from(self.fit_count));
        self.usual *= (usual / self.usual).powf(share);
    }

    /// Returns the intercept of the line through work and time, by the method of Theil and Sen: the
    /// slope is the median of the slopes between all pairs of samples. Samples with little work
    /// determine the intercept, because the speed of their engine affects them least. Returns `None`
    /// if all prompts are alike and a latency was determined before.
    fn fitted_latency_ms(&self) -> Option<f64> {
        let samples = self.samples.iter();
        let mut points: Vec<(f64, f64)> = samples
            .map(|(_, work_ms, s)| (*work_ms, s.took_ms))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        let decile = points.len() / 10;
        let range_ms = points[points.len() - 1 - decile].0 - points[decile].0;
        let slope = if range_ms >= MIN_WORK_RANGE_MS {
            median_slope(&points)
        } else if !self.fits.is_empty() {
            return None;
        } else {
            1.0
        };
        let short = points.iter().take(points.len() / 2);
        let residuals = short.map(|(work_ms, took_ms)| (took_ms - slope * work_ms, 1.0));
        let latency_ms = weighted_quantile(residuals.collect(), LATENCY_QUANTILE);
        Some(latency_ms.clamp(0.0, MAX_LATENCY_MS))
    }
}

/// Returns the median slope between all pairs of points that differ in work; `points` is sorted.
fn median_slope(points: &[(f64, f64)]) -> f64 {
    let mut slopes = Vec::with_capacity(points.len() * points.len() / 2);
    for (at, first) in points.iter().enumerate() {
        for second in &points[at + 1..] {
            let work_ms = second.0 - first.0;
            if work_ms > 1.0 {
                slopes.push((second.1 - first.1) / work_ms);
            }
        }
    }
    let (min, max) = SPEED_BOUNDS;
    let middle = slopes.len() / 2;
    let (_, median, _) = slopes.select_nth_unstable_by(middle, f64::total_cmp);
    median.clamp(1.0 / max, 1.0 / min)
}

/// Returns the value at which half of the weight is reached; `values` is not empty.
fn weighted_median(values: Vec<(f64, f64)>) -> f64 {
    weighted_quantile(values, 0.5)
}

/// Returns the value at which `share` of the weight is reached; `values` is not empty.
fn weighted_quantile(mut values: Vec<(f64, f64)>, share: f64) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let limit = values.iter().map(|(_, weight)| weight).sum::<f64>() * share;
    let mut reached = 0.0;
    let found = values.iter().find(|(_, weight)| {
        reached += weight;
        reached >= limit
    });
    found.or(values.last()).map_or(1.0, |(value, _)| *value)
}

/// Median of a sequence of times, which moves by a bounded step with each sample.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct RunningMedian {
    value_ms: f64,
}

impl RunningMedian {
    /// Returns the median, from 0 to the longest latency.
    pub fn value_ms(&self) -> f64 {
        self.value_ms
    }

    /// Records a sample.
    pub fn record(&mut self, sample_ms: f64) {
        let step = (sample_ms - self.value_ms).clamp(-MEDIAN_STEP_MS, MEDIAN_STEP_MS);
        if step.is_finite() {
            self.value_ms = (self.value_ms + step).clamp(0.0, MAX_LATENCY_MS);
        }
    }
}
