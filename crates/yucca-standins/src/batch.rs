//! Requests of the engine stand-in: the queue, the running batch and the effect of a step on them.

use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Value;
use yuccacove::catalogue::EngineSpec;

use crate::answer::Answer;
use crate::engine_config::prefill_chunk_tokens;
use crate::prefix_cache::PrefixCache;

/// Changes of the load within this interval are merged into one sample.
const SAMPLE_MS: u64 = 5;

/// Message from the step loop to the thread that handles a request.
#[derive(Debug)]
pub(crate) enum Progress {
    Token {
        index: usize,
        text: String,
    },
    Cancelled,
    Expired,
    /// The engine began to change its model, version or role before the request ran.
    NotRun,
    /// The engine began to change its model, version or role while the request ran.
    Interrupted,
}

#[derive(Debug)]
pub(crate) struct Request {
    /// Unique within the process, unlike `id`, which the client can choose.
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

impl Request {
    pub(crate) fn send_progress(&self, progress: Progress) {
        // Fails only if the handler has ended, which also cancels the request.
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
pub(crate) struct SpecChange {
    pub(crate) intent: String,
    pub(crate) spec: EngineSpec,
    pub(crate) ends_at: Instant,
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
    pub(crate) change: Option<SpecChange>,
    pub(crate) fence: u64,
    pub(crate) last_order: String,
    pub(crate) last_request_number: u64,
    /// Sorted by rank, most urgent first, then by arrival.
    pub(crate) waiting: Vec<Request>,
    pub(crate) running: Vec<Request>,
    pub(crate) cache: PrefixCache,
    pub(crate) samples: VecDeque<(Instant, Load)>,
    pub(crate) counters: Counters,
}

impl State {
    pub(crate) fn load(&self) -> Load {
        let requests = || self.running.iter().chain(&self.waiting);
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            prefill_backlog_tokens: requests().map(|request| request.prefill_left).sum(),
            decode_backlog_tokens: requests()
                .map(|request| request.end_index - request.next_index)
                .sum(),
        }
    }

    /// Records the current load and drops the samples that no later report needs.
    pub(crate) fn record_load(&mut self, now: Instant, lag: Duration) {
        let load = self.load();
        match self.samples.back_mut() {
            Some((at, last)) if *at + Duration::from_millis(SAMPLE_MS) > now => *last = load,
            _ => self.samples.push_back((now, load)),
        }
        while self.samples.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Load at `now - lag`, or the load of an idle engine if no sample is that old.
    pub(crate) fn reported_load(&self, now: Instant, lag: Duration) -> Load {
        let old_enough = |(at, _): &&(Instant, Load)| *at + lag <= now;
        let sample = self.samples.iter().rev().find(old_enough);
        sample.map_or_else(Load::default, |(_, load)| *load)
    }

    /// Applies the pending change of model, version or role if its duration has passed.
    pub(crate) fn finish_change(&mut self, now: Instant) {
        let Some(change) = self.change.take_if(|change| change.ends_at <= now) else {
            return;
        };
        if (&change.spec.model, &change.spec.version) != (&self.spec.model, &self.spec.version) {
            self.cache.clear(now);
        }
        self.spec = change.spec;
        self.last_order = change.intent;
    }

    /// Removes waiting requests whose deadline has passed, then moves waiting requests into the
    /// batch until it is full.
    pub(crate) fn fill_batch(&mut self, max_batch: usize, now: Instant) {
        let (expired, waiting) = self.waiting.drain(..).partition::<Vec<_>, _>(|request| {
            request.deadline.is_some_and(|deadline| deadline <= now)
        });
        self.waiting = waiting;
        for request in expired {
            self.counters.expired += 1;
            request.send_progress(Progress::Expired);
        }
        while self.running.len() < max_batch && !self.waiting.is_empty() {
            let mut request = self.waiting.remove(0);
            let cached = self.cache.touch(&request.hashes);
            // Even if the whole prompt is cached, the first output token needs the computation of
            // at least one prompt token.
            request.prefill_left = request.prompt_tokens.saturating_sub(cached).max(1);
            self.counters.cached_tokens +=
                request.prompt_tokens.saturating_sub(request.prefill_left);
            *self.counters.runs.entry(request.id.clone()).or_default() += 1;
            self.running.push(request);
        }
        self.counters.largest_batch = self.counters.largest_batch.max(self.running.len());
    }

    /// Plans the next step: prefill tokens by request number, and the numbers of the requests that
    /// decode.
    pub(crate) fn plan_step(&self) -> (Vec<(u64, usize)>, Vec<u64>) {
        let mut budget = prefill_chunk_tokens(self.spec.role);
        let mut prefilling: Vec<_> = self
            .running
            .iter()
            .filter(|request| request.prefill_left > 0)
            .collect();
        prefilling.sort_by_key(|request| (request.rank, request.number));
        let mut prefill = Vec::new();
        for request in prefilling {
            let tokens = request.prefill_left.min(budget);
            if tokens > 0 {
                budget -= tokens;
                prefill.push((request.number, tokens));
            }
        }
        let decode = self
            .running
            .iter()
            .filter(|request| request.prefill_left == 0);
        (prefill, decode.map(|request| request.number).collect())
    }

    /// Applies a completed step. Requests that were cancelled or interrupted during the step are no
    /// longer in the batch and are skipped.
    pub(crate) fn apply_step(&mut self, prefill: &[(u64, usize)], decode: &[u64], now: Instant) {
        let mut emitting = decode.to_vec();
        for (number, tokens) in prefill {
            let Some(request) = self
                .running
                .iter_mut()
                .find(|request| request.number == *number)
            else {
                continue;
            };
            request.prefill_left -= tokens;
            self.counters.prefill_tokens += tokens;
            if request.prefill_left == 0 {
                self.cache.insert(&request.hashes, now);
                emitting.push(*number);
            }
        }
        for request in &mut self.running {
            if emitting.contains(&request.number) {
                let index = request.next_index;
                let text = request.answer.chunk(index);
                request.next_index += 1;
                self.counters.output_tokens += 1;
                request.send_progress(Progress::Token { index, text });
            }
        }
        let before = self.running.len();
        self.running
            .retain(|request| request.next_index < request.end_index);
        self.counters.finished += (before - self.running.len()) as u64;
    }
}
