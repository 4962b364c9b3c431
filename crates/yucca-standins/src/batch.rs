//! The requests of the engine stand-in: its queue, its batch and what a step does to them.

use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Value;
use yuccacove::catalogue::EngineSpec;

use crate::answer::Answer;
use crate::engine_config::prefill_chunk_tokens;
use crate::prefix_cache::PrefixCache;

/// Changes of the load within this time share one sample of the report.
const SAMPLE_MS: u64 = 5;

/// What a request's handler is told by the step loop.
#[derive(Debug)]
pub(crate) enum Progress {
    Token {
        index: usize,
        text: String,
    },
    Cancelled,
    Expired,
    /// The change of an order began before the request ran.
    NotRun,
    /// The change of an order began while the request ran.
    Cut,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) rank: u64,
    pub(crate) deadline: Option<Instant>,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: usize,
    pub(crate) hashes: Vec<String>,
    pub(crate) prefill_left: usize,
    pub(crate) next_index: usize,
    pub(crate) end_index: usize,
    pub(crate) answer: Answer,
    pub(crate) progress: Sender<Progress>,
}

impl Job {
    pub(crate) fn tell(&self, progress: Progress) {
        // A handler that is gone has cancelled the job or is about to.
        let _ = self.progress.send(progress);
    }
}

#[derive(Debug, Default, Clone, Copy, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) prefill_backlog_tokens: usize,
    pub(crate) decode_backlog_tokens: usize,
}

#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) intent: String,
    pub(crate) spec: EngineSpec,
    pub(crate) ends: Instant,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Counters {
    pub(crate) runs: HashMap<String, u64>,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    pub(crate) expired: u64,
    pub(crate) orders_taken: u64,
    pub(crate) orders_repeated: u64,
    pub(crate) orders_fenced: u64,
    pub(crate) overlapping_orders: u64,
    pub(crate) cut_by_order: u64,
    pub(crate) prefill_tokens: usize,
    pub(crate) cached_tokens: usize,
    pub(crate) output_tokens: u64,
    pub(crate) largest_batch: usize,
    pub(crate) busy_us: u64,
    pub(crate) orders: Vec<Value>,
}

pub(crate) struct State {
    pub(crate) spec: EngineSpec,
    pub(crate) change: Option<Change>,
    pub(crate) fence: u64,
    pub(crate) last_order: String,
    pub(crate) jobs: u64,
    /// Most urgent first, then in the order of arrival.
    pub(crate) waiting: Vec<Job>,
    pub(crate) running: Vec<Job>,
    pub(crate) cache: PrefixCache,
    pub(crate) samples: VecDeque<(Instant, Load)>,
    pub(crate) counters: Counters,
}

impl State {
    pub(crate) fn load(&self) -> Load {
        let jobs = || self.running.iter().chain(&self.waiting);
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            prefill_backlog_tokens: jobs().map(|job| job.prefill_left).sum(),
            decode_backlog_tokens: jobs().map(|job| job.end_index - job.next_index).sum(),
        }
    }

    pub(crate) fn sample(&mut self, now: Instant, lag: Duration) {
        let load = self.load();
        match self.samples.back_mut() {
            Some((at, last)) if *at + Duration::from_millis(SAMPLE_MS) > now => *last = load,
            _ => self.samples.push_back((now, load)),
        }
        while self.samples.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.samples.pop_front();
        }
    }

    /// The load as it was `lag` before `now`.
    pub(crate) fn reported_load(&self, now: Instant, lag: Duration) -> Load {
        let old_enough = |(at, _): &&(Instant, Load)| *at + lag <= now;
        let sample = self.samples.iter().rev().find(old_enough);
        sample.map_or_else(Load::default, |(_, load)| *load)
    }

    pub(crate) fn finish_change(&mut self, now: Instant) {
        let Some(change) = self.change.take_if(|change| change.ends <= now) else {
            return;
        };
        if (&change.spec.model, &change.spec.version) != (&self.spec.model, &self.spec.version) {
            self.cache.clear(now);
        }
        self.spec = change.spec;
        self.last_order = change.intent;
    }

    /// Moves waiting requests into the batch.
    pub(crate) fn fill_batch(&mut self, max_batch: usize, now: Instant) {
        let (expired, waiting) = self
            .waiting
            .drain(..)
            .partition::<Vec<_>, _>(|job| job.deadline.is_some_and(|deadline| deadline <= now));
        self.waiting = waiting;
        for job in expired {
            self.counters.expired += 1;
            job.tell(Progress::Expired);
        }
        while self.running.len() < max_batch && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let cached = self.cache.touch(&job.hashes);
            // The first output token needs the computation of at least one prompt token.
            job.prefill_left = job.prompt_tokens.saturating_sub(cached).max(1);
            self.counters.cached_tokens += job.prompt_tokens.saturating_sub(job.prefill_left);
            *self.counters.runs.entry(job.id.clone()).or_default() += 1;
            self.running.push(job);
        }
        self.counters.largest_batch = self.counters.largest_batch.max(self.running.len());
    }

    /// Prefill tokens by job of the next step, and the jobs that decode in it.
    pub(crate) fn plan_step(&self) -> (Vec<(u64, usize)>, Vec<u64>) {
        let mut budget = prefill_chunk_tokens(self.spec.role);
        let mut prefilling: Vec<_> = self.running.iter().filter(|j| j.prefill_left > 0).collect();
        prefilling.sort_by_key(|job| (job.rank, job.number));
        let mut prefill = Vec::new();
        for job in prefilling {
            let tokens = job.prefill_left.min(budget);
            if tokens > 0 {
                budget -= tokens;
                prefill.push((job.number, tokens));
            }
        }
        let decode = self.running.iter().filter(|j| j.prefill_left == 0);
        (prefill, decode.map(|job| job.number).collect())
    }

    /// Applies a step; jobs that were cancelled or cut meanwhile are no longer in the batch.
    pub(crate) fn apply_step(&mut self, prefill: &[(u64, usize)], decode: &[u64], now: Instant) {
        let mut emitting = decode.to_vec();
        for (number, tokens) in prefill {
            let Some(job) = self.running.iter_mut().find(|j| j.number == *number) else {
                continue;
            };
            job.prefill_left -= tokens;
            self.counters.prefill_tokens += tokens;
            if job.prefill_left == 0 {
                self.cache.insert(&job.hashes, now);
                emitting.push(*number);
            }
        }
        for job in &mut self.running {
            if emitting.contains(&job.number) {
                let index = job.next_index;
                let text = job.answer.chunk(index);
                job.next_index += 1;
                self.counters.output_tokens += 1;
                job.tell(Progress::Token { index, text });
            }
        }
        let before = self.running.len();
        self.running.retain(|job| job.next_index < job.end_index);
        self.counters.finished += (before - self.running.len()) as u64;
    }
}
