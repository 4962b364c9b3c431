//! Model of an inference engine: its queue, batch, KV cache memory and steps.
//!
//! The model does no I/O and has no clock: each call passes the current time. A step prefills a chunk
//! of one prompt and decodes one token of each request in the batch whose prefill has completed. Its
//! duration is the sum of both parts.

use indexmap::IndexMap;
use yuccacove::prompt_placement::Phase;

/// KV cache memory is allocated in blocks of this many tokens.
const BLOCK_TOKENS: u32 = 16;
/// Prefill speed of a decode engine as a fraction of that of a prefill engine.
const DECODE_PREFILL_SPEED_SHARE: f64 = 0.5;
/// Prefill chunk of a decode engine as a fraction of that of a prefill engine.
const DECODE_CHUNK_SHARE: f64 = 0.25;

/// Capacity and speed of an engine, the same for all engines of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Size of the KV cache memory in tokens.
    pub kv_tokens: u64,
    /// Prefill throughput in prompt tokens per millisecond, without the cost of attention.
    pub prefill_tokens_per_ms: f64,
    /// Attention time for a million pairs of tokens, in milliseconds.
    pub attention_ms_per_megapair: f64,
    /// Time from the end of a remote prefill until its response, in milliseconds. It does not occupy the
    /// engine.
    pub prefill_latency_ms: f64,
    /// Maximum prompt tokens that a prefill engine processes in one step.
    pub chunk_tokens: u32,
    /// Duration of a decode step with one request in the batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each further request adds to a decode step, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time that a full KV cache memory adds to a decode step, in milliseconds; a partly filled one
    /// adds a proportional part.
    pub step_ms_full_memory: f64,
    /// Time for which a phase change makes the engine unavailable, in milliseconds.
    pub switch_ms: f64,
    /// Size of the KV cache of one token, in bytes.
    pub token_kv_bytes: u64,
    /// Bandwidth of the engine's network link, in Gbit/s.
    pub link_gbit_per_s: f64,
}

impl Default for Capacity {
    /// Capacity of the engines in the smallest deployments.
    fn default() -> Self {
        Self {
            slots: 64,
            kv_tokens: 480_000,
            prefill_tokens_per_ms: 64.2,
            attention_ms_per_megapair: 0.65,
            prefill_latency_ms: 0.0,
            chunk_tokens: 2_048,
            step_ms: 4.23,
            step_ms_per_request: 0.001,
            step_ms_full_memory: 4.1,
            switch_ms: 3_000.0,
            token_kv_bytes: 163_840,
            link_gbit_per_s: 1_200.0,
        }
    }
}

impl Capacity {
    /// Returns the time to transfer the KV cache of `tokens` tokens over a link, in milliseconds.
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.token_kv_bytes as f64 * 8.0;
        bits / (self.link_gbit_per_s * 1e6)
    }
}

/// Id of a [`Work`], unique in its pool.
pub type WorkId = u64;

/// A request on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    id: WorkId,
    /// Parts of the prompt in order: id of the content, and number of tokens.
    parts: Vec<(u64, u32)>,
    /// Tokens to generate; 0 for a prefill only.
    output_tokens: u32,
    /// Leading prompt tokens whose KV cache has been fetched from another engine.
    fetched_tokens: u32,
    /// Urgency rank, 0 being the most urgent.
    urgency: u8,
    /// Tokens that still have to be prefilled; set when the request enters the batch.
    left_prefill_tokens: u32,
    generated_tokens: u32,
    submitted_ms: f64,
}

impl Work {
    /// Creates a remote prefill, whose KV cache another engine fetches.
    pub fn prefill(id: WorkId, parts: &[(u64, u32)]) -> Self {
        Self {
            id,
            parts: parts.to_vec(),
            output_tokens: 0,
            fetched_tokens: 0,
            urgency: 0,
            left_prefill_tokens: 0,
            generated_tokens: 0,
            submitted_ms: 0.0,
        }
    }

    /// Creates a request that generates `output_tokens`. Its first `fetched_tokens` prompt tokens need
    /// no prefill.
    pub fn generate(
        id: WorkId,
        parts: &[(u64, u32)],
        output_tokens: u32,
        fetched_tokens: u32,
        urgency: u8,
    ) -> Self {
        Self {
            output_tokens,
            fetched_tokens,
            urgency,
            ..Self::prefill(id, parts)
        }
    }

    /// Sets the number of leading prompt tokens whose KV cache was fetched from another engine.
    pub fn set_fetched(&mut self, tokens: u32) {
        self.fetched_tokens = tokens;
    }

    fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }

    /// KV cache memory that the request occupies while it runs, in tokens.
    fn memory_tokens(&self) -> u64 {
        let tokens = self.prompt_tokens() + self.output_tokens;
        u64::from(tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS)
    }
}

/// A step of an engine: a prefill chunk, a decode of the batch, or both.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Duration in milliseconds.
    pub duration_ms: f64,
    /// Work whose prompt is prefilled, with the number of tokens.
    prefill: Option<(WorkId, u32)>,
    /// Requests that decode one token.
    decodes: Vec<WorkId>,
}

/// Result of a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepOutcome {
    /// Remote prefills that completed.
    pub prefilled: Vec<WorkId>,
    /// Requests that got a token, each with the number of its tokens so far and whether that token is
    /// its last.
    pub tokens: Vec<(WorkId, u32, bool)>,
}

/// Counters of an engine's work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counters {
    /// Prompt tokens for which the engine ran the prefill.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were cached, or fetched from another engine.
    pub cached_tokens: u64,
    /// Number of times that a request was preempted by a more urgent one, after which it repeats its
    /// prefill.
    pub preempted: u64,
    /// Total duration of the steps, in milliseconds.
    pub busy_ms: f64,
}

/// State of an emulated engine.
#[derive(Debug)]
pub struct Engine {
    capacity: Capacity,
    /// Factor on the speed of all steps.
    speed: f64,
    phase: Phase,
    /// Phase change in progress: the new phase, and the time from which it applies. The time is `None`
    /// until the running work has completed.
    change: Option<(Phase, Option<f64>)>,
    waiting: Vec<Work>,
    running: Vec<Work>,
    /// Cached prefixes, the least recently used first: hash of the prefix (see [`prefix_hashes`]), and
    /// number of tokens of its last part.
    cached: IndexMap<u64, u32>,
    /// Completed remote prefills whose KV cache has not been fetched, with their tokens.
    handles: IndexMap<WorkId, u32>,
    orders: u64,
    counters: Counters,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(capacity: Capacity, phase: Phase) -> Self {
        Self {
            capacity,
            speed: 1.0,
            phase,
            change: None,
            waiting: Vec::new(),
            running: Vec::new(),
            cached: IndexMap::new(),
            handles: IndexMap::new(),
            orders: 0,
            counters: Counters::default(),
        }
    }

    /// Sets the factor on the speed of all steps that begin from now on.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether a phase change is in progress, during which the engine starts no work.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Returns the number of orders to change the phase that the engine has accepted.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// Returns the counters since the engine was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of requests in the batch and in the queue.
    pub fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the number of KV caches held for other engines to fetch.
    pub fn held_kv_caches(&self) -> usize {
        self.handles.len()
    }

    /// Returns whether the engine holds the KV cache of the remote prefill `handle`.
    pub fn holds(&self, handle: WorkId) -> bool {
        self.handles.contains_key(&handle)
    }

    /// Releases the KV cache of a remote prefill. Returns whether the engine held it.
    pub fn release_handle(&mut self, handle: WorkId) -> bool {
        self.handles.swap_remove(&handle).is_some()
    }

    /// Returns the number of leading tokens of a prompt that are in the prefix cache.
    pub fn cached_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let prefixes = prefix_hashes(parts);
        let cached = prefixes
            .iter()
            .take_while(|(prefix, _)| self.cached.contains_key(prefix));
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Adds work to the queue, which is ordered by urgency and then by arrival.
    pub fn submit(&mut self, work: Work, now_ms: f64) {
        let index = self
            .waiting
            .partition_point(|other| other.urgency <= work.urgency);
        let work = Work {
            submitted_ms: now_ms,
            ..work
        };
        self.waiting.insert(index, work);
    }

    /// Removes work whose caller has disconnected.
    pub fn cancel(&mut self, id: WorkId) {
        self.waiting.retain(|work| work.id != id);
        self.running.retain(|work| work.id != id);
    }

    /// Starts a phase change, which lets the running work complete. Removes the work that has not
    /// started, and returns its ids.
    pub fn order(&mut self, to: Phase) -> Vec<WorkId> {
        self.orders += 1;
        self.change = Some((to, None));
        self.waiting.drain(..).map(|work| work.id).collect()
    }

    /// Returns the next step, or `None` if there is nothing to run until work is submitted or the
    /// time [`Engine::change_ends_ms`] is reached.
    pub fn next_step(&mut self, now_ms: f64) -> Option<Step> {
        self.advance_change(now_ms);
        if !self.is_changing() {
            self.fill_batch();
        }
        if self.running.is_empty() {
            return None;
        }
        let (chunk, speed) = self.prefill_rate();
        let next = self
            .running
            .iter()
            .find(|work| work.left_prefill_tokens > 0);
        let prefill = next.map(|work| (work.id, work.left_prefill_tokens.min(chunk)));
        let prefill_ms = next.map_or(0.0, |work| self.prefill_ms(work, chunk) / speed);
        let is_decoding = |work: &&Work| work.left_prefill_tokens == 0 && work.output_tokens > 0;
        let decodes: Vec<WorkId> = self
            .running
            .iter()
            .filter(is_decoding)
            .map(|w| w.id)
            .collect();
        Some(Step {
            duration_ms: (prefill_ms + self.decode_ms(decodes.len())) / self.speed,
            prefill,
            decodes,
        })
    }

    /// Returns when the phase change in progress ends; `None` if there is none or work is still
    /// running.
    pub fn change_ends_ms(&self) -> Option<f64> {
        self.change.and_then(|(_, ends_ms)| ends_ms)
    }

    /// Applies the effects of a step that ends at `now_ms`.
    pub fn apply(&mut self, step: &Step, now_ms: f64) -> StepOutcome {
        let mut outcome = StepOutcome::default();
        self.counters.busy_ms += step.duration_ms;
        if let Some((id, tokens)) = step.prefill {
            self.apply_prefill(id, tokens, &mut outcome);
        }
        for id in &step.decodes {
            let Some(work) = self.running.iter_mut().find(|work| work.id == *id) else {
                // Cancelled during the step.
                continue;
            };
            work.generated_tokens += 1;
            let is_last = work.generated_tokens >= work.output_tokens;
            outcome.tokens.push((*id, work.generated_tokens, is_last));
        }
        let ended: Vec<Work> = self
            .running
            .extract_if(.., |work| {
                let is_prefilled = work.left_prefill_tokens == 0;
                is_prefilled && work.generated_tokens >= work.output_tokens
            })
            .collect();
        for work in ended {
            self.cache_prompt(&work.parts);
        }
        self.advance_change(now_ms);
        outcome
    }

    fn apply_prefill(&mut self, id: WorkId, tokens: u32, outcome: &mut StepOutcome) {
        self.counters.prefilled_tokens += u64::from(tokens);
        let Some(work) = self.running.iter_mut().find(|work| work.id == id) else {
            return;
        };
        work.left_prefill_tokens -= tokens;
        if work.left_prefill_tokens > 0 {
            return;
        }
        if work.output_tokens == 0 {
            let tokens = work.prompt_tokens();
            self.handles.insert(id, tokens);
            outcome.prefilled.push(id);
        } else {
            // The last prefill chunk also yields the first output token.
            work.generated_tokens += 1;
            let is_last = work.generated_tokens >= work.output_tokens;
            outcome.tokens.push((id, work.generated_tokens, is_last));
        }
    }

    /// Returns the prefill chunk size, and the prefill speed as a fraction of a prefill engine's.
    fn prefill_rate(&self) -> (u32, f64) {
        let chunk_tokens = self.capacity.chunk_tokens;
        match self.phase {
            Phase::Prefill => (chunk_tokens, 1.0),
            Phase::Decode => (
                (f64::from(chunk_tokens) * DECODE_CHUNK_SHARE) as u32,
                DECODE_PREFILL_SPEED_SHARE,
            ),
        }
    }

    /// Returns the prefill time of the prompt's next chunk on a prefill engine. Each token attends to
    /// all tokens before it.
    fn prefill_ms(&self, work: &Work, chunk_tokens: u32) -> f64 {
        let tokens = f64::from(work.left_prefill_tokens.min(chunk_tokens));
        let before = f64::from(
            work.prompt_tokens()
                .saturating_sub(work.left_prefill_tokens),
        );
        let megapairs = tokens * (before + tokens / 2.0) / 1e6;
        let capacity = &self.capacity;
        tokens / capacity.prefill_tokens_per_ms + megapairs * capacity.attention_ms_per_megapair
    }

    fn decode_ms(&self, requests: usize) -> f64 {
        if requests == 0 {
            return 0.0;
        }
        let capacity = &self.capacity;
        let memory_share = self.running_tokens() as f64 / capacity.kv_tokens.max(1) as f64;
        capacity.step_ms
            + capacity.step_ms_per_request * (requests - 1) as f64
            + capacity.step_ms_full_memory * memory_share
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Work::memory_tokens).sum()
    }

    fn held_tokens(&self) -> u64 {
        self.handles.values().map(|tokens| u64::from(*tokens)).sum()
    }

    fn advance_change(&mut self, now_ms: f64) {
        let Some((to, ends_ms)) = self.change else {
            return;
        };
        match ends_ms {
            None if self.running.is_empty() => {
                self.change = Some((to, Some(now_ms + self.capacity.switch_ms)));
            }
            Some(ends_ms) if now_ms >= ends_ms => {
                self.phase = to;
                self.change = None;
            }
            _ => {}
        }
    }

    /// Moves work from the queue into the batch while there are slots and memory. If memory runs out,
    /// the newest of the least urgent requests is preempted for a more urgent one.
    fn fill_batch(&mut self) {
        while let Some(next) = self.waiting.first() {
            if self.running.len() >= self.capacity.slots as usize {
                return;
            }
            let needed = next.memory_tokens();
            let used = self.running_tokens() + self.held_tokens();
            if used + needed > self.capacity.kv_tokens && !self.preempt(next.urgency) {
                return;
            }
            if self.running_tokens() + self.held_tokens() + needed > self.capacity.kv_tokens {
                continue;
            }
            let mut work = self.waiting.remove(0);
            let cached = self.cached_tokens(&work.parts).max(work.fetched_tokens);
            // After a preemption, the tokens generated before it are prefilled like the prompt.
            let prompt = work.prompt_tokens() + work.generated_tokens;
            // At least one prompt token has to be computed to get the first output token.
            work.left_prefill_tokens = prompt.saturating_sub(cached).max(1);
            self.counters.cached_tokens += u64::from(prompt - work.left_prefill_tokens);
            self.mark_used(&work.parts);
            self.running.push(work);
            self.evict_cached();
        }
    }

    /// Moves the newest of the least urgent requests from the batch back into the queue, if it is
    /// less urgent than `urgency`. Returns whether there was one.
    fn preempt(&mut self, urgency: u8) -> bool {
        let less_urgent = self.running.iter().enumerate();
        let less_urgent = less_urgent.filter(|(_, work)| work.urgency > urgency);
        let newest = less_urgent.max_by(|(_, a), (_, b)| {
            let by_urgency = a.urgency.cmp(&b.urgency);
            by_urgency.then(a.submitted_ms.total_cmp(&b.submitted_ms))
        });
        let Some((index, _)) = newest else {
            return false;
        };
        let mut work = self.running.remove(index);
        // The fetched KV cache is discarded with the rest of the request's memory.
        work.fetched_tokens = 0;
        self.counters.preempted += 1;
        let index = self
            .waiting
            .partition_point(|other| other.urgency <= work.urgency);
        self.waiting.insert(index, work);
        true
    }

    /// Adds the prefixes of a completed request's prompt to the cache.
    fn cache_prompt(&mut self, parts: &[(u64, u32)]) {
        for (prefix, tokens) in prefix_hashes(parts) {
            self.cached.shift_remove(&prefix);
            self.cached.insert(prefix, tokens);
        }
        self.evict_cached();
    }

    /// Marks the cached prefixes of a prompt as most recently used.
    fn mark_used(&mut self, parts: &[(u64, u32)]) {
        for (prefix, _) in prefix_hashes(parts) {
            if let Some(tokens) = self.cached.shift_remove(&prefix) {
                self.cached.insert(prefix, tokens);
            }
        }
    }

    /// Evicts the least recently used prefixes that no longer fit beside the running work and the KV
    /// caches held for other engines.
    fn evict_cached(&mut self) {
        let used = self.running_tokens() + self.held_tokens();
        let free = self.capacity.kv_tokens.saturating_sub(used);
        let mut cached: u64 = self.cached.values().map(|tokens| u64::from(*tokens)).sum();
        while cached > free
            && let Some((_, tokens)) = self.cached.shift_remove_index(0)
        {
            cached -= u64::from(tokens);
        }
    }
}

/// Returns, for each part of a prompt, a hash of the parts up to and including it, and the part's
/// number of tokens.
fn prefix_hashes(parts: &[(u64, u32)]) -> Vec<(u64, u32)> {
    let mut prefix: u64 = 0;
    let step = |(id, tokens): &(u64, u32)| {
        // Simple mixing is sufficient, because the content ids are random.
        prefix = (prefix ^ id)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29);
        (prefix, *tokens)
    };
    parts.iter().map(step).collect()
}
