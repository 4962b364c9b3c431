//! A model engine: its queue, its batch, its memory, and the steps in which it works.
//!
//! Pure: time comes in with each call. A step reads a chunk of one prompt and gives each generation
//! of the batch a token. Its time follows from both.

use indexmap::IndexMap;
use yuccacove::prompt_placement::Phase;

/// Memory is given out in blocks of this many tokens.
const BLOCK_TOKENS: u32 = 16;
/// Part of the reading speed that a decode engine reaches.
const DECODE_READING_SHARE: f64 = 0.5;
/// Part of the chunk that a decode engine reads in a step.
const DECODE_CHUNK_SHARE: f64 = 0.25;

/// What all engines of a pool have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests in the batch.
    pub slots: u32,
    /// Memory in tokens.
    pub kv_tokens: u64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Attention of a million pairs of tokens, in milliseconds.
    pub attention_ms_per_megapair: f64,
    /// Prompt tokens of a chunk.
    pub chunk_tokens: u32,
    /// Time of a step with one generation, in milliseconds.
    pub step_ms: f64,
    /// What each further generation adds.
    pub step_ms_per_request: f64,
    /// What a full memory adds.
    pub step_ms_full_memory: f64,
    /// Time for which a change of phase takes the engine away, in milliseconds.
    pub switch_ms: f64,
    /// KV cache of one token, in bytes.
    pub token_kv_bytes: u64,
    /// Speed of its links.
    pub link_gbit_per_s: f64,
}

impl Default for Capacity {
    /// The engines of the smallest deployments.
    fn default() -> Self {
        Self {
            slots: 64,
            kv_tokens: 480_000,
            prefill_tokens_per_ms: 64.2,
            attention_ms_per_megapair: 0.65,
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
    /// Time to move the KV cache of `tokens` over a link, in milliseconds.
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.token_kv_bytes as f64 * 8.0;
        bits / (self.link_gbit_per_s * 1e6)
    }
}

/// Identifies work on an engine.
pub type WorkId = u64;

/// A request on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    id: WorkId,
    /// Parts of the prompt in order: content and tokens.
    parts: Vec<(u64, u32)>,
    /// Tokens to be generated; 0 when the prompt is only read.
    output_tokens: u32,
    /// Tokens of the prompt whose KV cache comes with the work.
    fetched_tokens: u32,
    urgency: u8,
    left_tokens: u32,
    generated_tokens: u32,
    started_ms: f64,
}

impl Work {
    /// A prompt that is read for another engine.
    pub fn prefill(id: WorkId, parts: &[(u64, u32)]) -> Self {
        Self {
            id,
            parts: parts.to_vec(),
            output_tokens: 0,
            fetched_tokens: 0,
            urgency: 0,
            left_tokens: 0,
            generated_tokens: 0,
            started_ms: 0.0,
        }
    }

    /// A generation of `output_tokens`. `fetched_tokens` of the prompt need not be read.
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

    /// Sets the leading tokens of the prompt that were fetched from another engine.
    pub fn set_fetched(&mut self, tokens: u32) {
        self.fetched_tokens = tokens;
    }

    fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Memory that it holds while it runs, in tokens.
    fn memory_tokens(&self) -> u64 {
        let tokens = self.prompt_tokens() + self.output_tokens;
        u64::from(tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS)
    }
}

/// What an engine does next.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time that it takes.
    pub duration_ms: f64,
    /// Work whose prompt is read, with the tokens.
    reads: Option<(WorkId, u32)>,
    /// Generations that get a token.
    decodes: Vec<WorkId>,
}

/// What a step brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Prompts that were read for other engines.
    pub prefilled: Vec<WorkId>,
    /// Generations with the number of tokens that they have now, and whether that is all.
    pub tokens: Vec<(WorkId, u32, bool)>,
}

/// Counts of an engine's work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counters {
    /// Prompt tokens that were read.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were kept or fetched.
    pub cached_tokens: u64,
    /// Generations that lost their memory to another and were read again.
    pub preempted: u64,
    /// Time in steps.
    pub busy_ms: f64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    capacity: Capacity,
    phase: Phase,
    /// New phase and when it begins, once the running work has ended.
    change: Option<(Phase, Option<f64>)>,
    waiting: Vec<Work>,
    running: Vec<Work>,
    /// Leading runs of parts in memory, the least recently used first, with the tokens of their last
    /// part.
    kept: IndexMap<u64, u32>,
    /// Read prompts that wait to be fetched, with their tokens.
    handles: IndexMap<WorkId, u32>,
    orders: u64,
    counters: Counters,
}

impl Engine {
    /// An idle engine.
    pub fn new(capacity: Capacity, phase: Phase) -> Self {
        Self {
            capacity,
            phase,
            change: None,
            waiting: Vec::new(),
            running: Vec::new(),
            kept: IndexMap::new(),
            handles: IndexMap::new(),
            orders: 0,
            counters: Counters::default(),
        }
    }

    /// Present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it takes no work, as it changes its phase.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Orders that it accepted.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// What it has done.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Requests in the batch and in the queue.
    pub fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Read prompts that wait to be fetched.
    pub fn held_kv_caches(&self) -> usize {
        self.handles.len()
    }

    /// Whether it holds a prompt that was read under `handle`.
    pub fn holds(&self, handle: WorkId) -> bool {
        self.handles.contains_key(&handle)
    }

    /// Gives a read prompt away.
    pub fn release_handle(&mut self, handle: WorkId) -> bool {
        self.handles.swap_remove(&handle).is_some()
    }

    /// Leading tokens of a prompt that it keeps.
    pub fn cached_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let runs = leading_runs(parts);
        let kept = runs
            .iter()
            .take_while(|(run, _)| self.kept.contains_key(run));
        kept.map(|(_, tokens)| tokens).sum()
    }

    /// Takes work; the most urgent is begun first.
    pub fn submit(&mut self, work: Work, now_ms: f64) {
        let place = self
            .waiting
            .partition_point(|other| other.urgency <= work.urgency);
        let work = Work {
            started_ms: now_ms,
            ..work
        };
        self.waiting.insert(place, work);
    }

    /// Removes work whose caller left.
    pub fn cancel(&mut self, id: WorkId) {
        self.waiting.retain(|work| work.id != id);
        self.running.retain(|work| work.id != id);
    }

    /// Begins a change of phase; work that waits is given back, as it is not run.
    pub fn order(&mut self, to: Phase) -> Vec<WorkId> {
        self.orders += 1;
        self.change = Some((to, None));
        self.waiting.drain(..).map(|work| work.id).collect()
    }

    /// The next step, `None` when there is nothing to do before [`Engine::change_ends_ms`].
    pub fn next_step(&mut self, now_ms: f64) -> Option<Step> {
        self.advance_change(now_ms);
        if !self.is_changing() {
            self.fill_batch();
        }
        if self.running.is_empty() {
            return None;
        }
        let (chunk, share) = self.reading();
        let next = self.running.iter().find(|work| work.left_tokens > 0);
        let reads = next.map(|work| (work.id, work.left_tokens.min(chunk)));
        let read_ms = next.map_or(0.0, |work| self.read_ms(work, chunk) / share);
        let has_read = |work: &&Work| work.left_tokens == 0 && work.output_tokens > 0;
        let decodes: Vec<WorkId> = self.running.iter().filter(has_read).map(|w| w.id).collect();
        Some(Step {
            duration_ms: read_ms + self.decode_ms(decodes.len()),
            reads,
            decodes,
        })
    }

    /// When a change of phase is over, if one is under way and nothing runs.
    pub fn change_ends_ms(&self) -> Option<f64> {
        self.change.and_then(|(_, ends_ms)| ends_ms)
    }

    /// Carries a step out, which ends at `now_ms`.
    pub fn apply(&mut self, step: &Step, now_ms: f64) -> Outcome {
        let mut outcome = Outcome::default();
        self.counters.busy_ms += step.duration_ms;
        if let Some((id, tokens)) = step.reads {
            self.apply_read(id, tokens, &mut outcome);
        }
        for id in &step.decodes {
            let Some(work) = self.running.iter_mut().find(|work| work.id == *id) else {
                // It was cancelled meanwhile.
                continue;
            };
            work.generated_tokens += 1;
            let is_last = work.generated_tokens >= work.output_tokens;
            outcome.tokens.push((*id, work.generated_tokens, is_last));
        }
        let ended: Vec<Work> = self
            .running
            .extract_if(.., |work| {
                let is_read = work.left_tokens == 0;
                is_read && work.generated_tokens >= work.output_tokens
            })
            .collect();
        for work in ended {
            self.keep(&work.parts);
        }
        self.advance_change(now_ms);
        outcome
    }

    fn apply_read(&mut self, id: WorkId, tokens: u32, outcome: &mut Outcome) {
        self.counters.prefilled_tokens += u64::from(tokens);
        let Some(work) = self.running.iter_mut().find(|work| work.id == id) else {
            return;
        };
        work.left_tokens -= tokens;
        if work.left_tokens > 0 {
            return;
        }
        if work.output_tokens == 0 {
            let tokens = work.prompt_tokens();
            self.handles.insert(id, tokens);
            outcome.prefilled.push(id);
        } else {
            // The last chunk also gives the first token.
            work.generated_tokens += 1;
            let is_last = work.generated_tokens >= work.output_tokens;
            outcome.tokens.push((id, work.generated_tokens, is_last));
        }
    }

    /// Chunk, and part of the full speed of reading.
    fn reading(&self) -> (u32, f64) {
        let chunk_tokens = self.capacity.chunk_tokens;
        match self.phase {
            Phase::Prefill => (chunk_tokens, 1.0),
            Phase::Decode => (
                (f64::from(chunk_tokens) * DECODE_CHUNK_SHARE) as u32,
                DECODE_READING_SHARE,
            ),
        }
    }

    /// Time of the next chunk of a prompt at full speed: each token attends to all before it.
    fn read_ms(&self, work: &Work, chunk_tokens: u32) -> f64 {
        let tokens = f64::from(work.left_tokens.min(chunk_tokens));
        let before = f64::from(work.prompt_tokens().saturating_sub(work.left_tokens));
        let megapairs = tokens * (before + tokens / 2.0) / 1e6;
        let capacity = &self.capacity;
        tokens / capacity.prefill_tokens_per_ms + megapairs * capacity.attention_ms_per_megapair
    }

    fn decode_ms(&self, runs: usize) -> f64 {
        if runs == 0 {
            return 0.0;
        }
        let capacity = &self.capacity;
        let memory = self.running_tokens() as f64 / capacity.kv_tokens.max(1) as f64;
        capacity.step_ms
            + capacity.step_ms_per_request * (runs - 1) as f64
            + capacity.step_ms_full_memory * memory
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

    /// Moves work into the batch while there are slots and memory. More urgent work takes the memory
    /// of the newest of the less urgent.
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
            let kept = self.cached_tokens(&work.parts).max(work.fetched_tokens);
            let prompt = work.prompt_tokens() + work.generated_tokens;
            // The first token needs the computation of at least one prompt token.
            work.left_tokens = prompt.saturating_sub(kept).max(1);
            self.counters.cached_tokens += u64::from(prompt - work.left_tokens);
            self.use_parts(&work.parts);
            self.running.push(work);
            self.yield_kept();
        }
    }

    /// Puts the newest run that is less urgent back into the queue.
    fn preempt(&mut self, urgency: u8) -> bool {
        let less_urgent = self.running.iter().enumerate();
        let less_urgent = less_urgent.filter(|(_, work)| work.urgency > urgency);
        let newest = less_urgent.max_by(|(_, a), (_, b)| {
            let by_urgency = a.urgency.cmp(&b.urgency);
            by_urgency.then(a.started_ms.total_cmp(&b.started_ms))
        });
        let Some((at, _)) = newest else {
            return false;
        };
        let mut work = self.running.remove(at);
        work.fetched_tokens = 0;
        self.counters.preempted += 1;
        let place = self
            .waiting
            .partition_point(|other| other.urgency <= work.urgency);
        self.waiting.insert(place, work);
        true
    }

    /// Keeps the parts of a prompt that ended.
    fn keep(&mut self, parts: &[(u64, u32)]) {
        for (run, tokens) in leading_runs(parts) {
            self.kept.shift_remove(&run);
            self.kept.insert(run, tokens);
        }
        self.yield_kept();
    }

    fn use_parts(&mut self, parts: &[(u64, u32)]) {
        for (run, _) in leading_runs(parts) {
            if let Some(tokens) = self.kept.shift_remove(&run) {
                self.kept.insert(run, tokens);
            }
        }
    }

    /// The least recently used parts leave what runs and what is held its memory.
    fn yield_kept(&mut self) {
        let used = self.running_tokens() + self.held_tokens();
        let room = self.capacity.kv_tokens.saturating_sub(used);
        let mut kept: u64 = self.kept.values().map(|tokens| u64::from(*tokens)).sum();
        while kept > room
            && let Some((_, tokens)) = self.kept.shift_remove_index(0)
        {
            kept -= u64::from(tokens);
        }
    }
}

/// Each leading run of parts as one number, with the tokens of its last part.
fn leading_runs(parts: &[(u64, u32)]) -> Vec<(u64, u32)> {
    let mut run: u64 = 0;
    let step = |(id, tokens): &(u64, u32)| {
        // Any mixing serves; the contents are drawn at random.
        run = (run ^ id)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29);
        (run, *tokens)
    };
    parts.iter().map(step).collect()
}
