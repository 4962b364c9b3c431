//! Where a prompt is prefilled and where its answer is decoded.
//!
//! Engines run in one phase each. A prefill engine reads a prompt at full speed and hands its KV
//! cache to a decode engine; a decode engine can also read a prompt itself, more slowly. The choice
//! answers bursts of long prompts beside short urgent ones: the forecast of the first token decides,
//! so that a short prompt avoids both a transfer and the queue behind long prompts.
//!
//! ```
//! use yuccacove::prompt_placement::{EngineView, Placement, Prompt, Phase, choose};
//!
//! let engine = |phase, pending_ms| EngineView {
//!     phase,
//!     pending_ms,
//!     ..EngineView::default()
//! };
//! let engines = [engine(Phase::Prefill, 400.0), engine(Phase::Decode, 0.0)];
//! let short = Prompt { tokens: 800, ..Prompt::default() };
//! let choice = choose(&engines, &short).expect("a decode engine is there");
//! assert_eq!(choice.placement, Placement::OneStage { decode: 1 });
//! ```

/// Prompt tokens that a prefill engine reads in a millisecond, before any correction is learnt.
pub const PREFILL_TOKENS_PER_MS: f64 = 64.0;
/// Milliseconds of attention for a million pairs of tokens.
const ATTENTION_MS_PER_MEGAPAIR: f64 = 0.65;
/// Part of the prefill speed that a decode engine reaches.
const DECODE_PREFILL_SHARE: f64 = 0.5;
/// Time of one decode step with few requests in the batch.
const STEP_MS: f64 = 4.5;
/// Cost of each request in the batch, which spreads the generations over the engines.
const STEP_MS_PER_STREAM: f64 = 0.2;
/// Cost of a full memory, which spreads long contexts over the engines.
const STEP_MS_FULL_MEMORY: f64 = 15.0;
/// Fixed time of a transfer of KV cache, calls included.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Time that a transfer adds for a thousand tokens within an availability zone.
const TRANSFER_MS_PER_KILOTOKEN: f64 = 1.1;
/// Cost of a kilobyte sent to another availability zone, as milliseconds of delay.
const CROSS_ZONE_MS_PER_KB: f64 = 4.0;
/// Part of the allowed pause between events that reading prompts may take on a decode engine.
const STALL_SHARE: f64 = 0.35;

/// Part of its slots from which an engine counts as full.
const NEARLY_FULL: f64 = 0.9;
/// Time for which a generation takes a slot.
const GENERATION_MS: f64 = 1_500.0;

/// What an engine does at present.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Reads prompts for others.
    Prefill,
    /// Generates answers.
    #[default]
    Decode,
}

/// An engine as the choice sees it.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Present phase.
    pub phase: Phase,
    /// Work that is read before a new prompt, in milliseconds.
    pub pending_ms: f64,
    /// Reading by which its generations are being delayed, in milliseconds.
    pub stall_ms: f64,
    /// Answers that are being generated.
    pub streams: u32,
    /// Answers that can be generated at once; 0 when unknown.
    pub slots: u32,
    /// Part of its memory that those answers take.
    pub memory_use: f64,
    /// Leading tokens of the prompt whose KV cache the engine is expected to keep.
    pub cached_tokens: u32,
    /// Leading tokens that it keeps or can fetch from another engine.
    pub reachable_tokens: u32,
    /// Whether the engine is in another availability zone than the host.
    pub is_remote: bool,
    /// Speed as a part of the published one.
    pub speed: f64,
    /// Cost of the failures to be expected, in milliseconds.
    pub failure_cost_ms: f64,
}

/// The request to be placed.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u32,
    /// Size of the request's body and head in kilobytes.
    pub request_kb: f64,
    /// Expected size of the answer in kilobytes.
    pub response_kb: f64,
    /// Longest allowed pause between events, less the time to generate those tokens; 0 for none.
    pub max_gap_ms: f64,
}

/// Engines for a request, as indices into the list that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// One engine reads the prompt, another generates the answer.
    TwoStage {
        /// Prefill engine.
        prefill: usize,
        /// Decode engine.
        decode: usize,
    },
    /// A decode engine reads the prompt itself.
    OneStage {
        /// Decode engine.
        decode: usize,
    },
}

/// A placement with its forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Engines.
    pub placement: Placement,
    /// Forecast time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Forecast time that the engine spends reading the prompt, in milliseconds.
    pub prefill_ms: f64,
}

/// Time to read a prompt of `tokens` of which `kept` are in the engine's memory, at `speed`.
pub fn prefill_ms(tokens: u32, kept: u32, speed: f64) -> f64 {
    let new = f64::from(tokens.saturating_sub(kept));
    let total = f64::from(tokens);
    let megapairs = new * (total - new / 2.0) / 1e6;
    (new / PREFILL_TOKENS_PER_MS + megapairs * ATTENTION_MS_PER_MEGAPAIR) / speed.max(0.05)
}

/// The placement with the least forecast, or `None` without a decode engine.
pub fn choose(engines: &[EngineView], prompt: &Prompt) -> Option<Choice> {
    let one_stage = best_one_stage(engines, prompt);
    let two_stage = best_two_stage(engines, prompt);
    let best = match (one_stage, two_stage) {
        (Some(one), Some(two)) if two.0 < one.0 => two,
        (Some(one), _) => one,
        (None, two) => two?,
    };
    Some(best.1)
}

/// Score of an engine that reads and decodes, with its forecast. Reading interrupts the answers that
/// the engine generates, so that long prompts are left to prefill engines.
fn best_one_stage(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, Choice)> {
    let has_prefill = engines.iter().any(|e| e.phase == Phase::Prefill);
    let max_stall_ms = if has_prefill && prompt.max_gap_ms > 0.0 {
        prompt.max_gap_ms * STALL_SHARE
    } else {
        f64::INFINITY
    };
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Decode)
        .filter_map(|(decode, engine)| {
            let read = reading(engine, prompt, engine.speed * DECODE_PREFILL_SHARE);
            if engine.stall_ms + read.own_ms > max_stall_ms {
                return None;
            }
            let score = engine.pending_ms + read.total_ms() + step_ms(engine) + slot_ms(engine);
            let bytes = zone_ms(engine, prompt.request_kb + prompt.response_kb);
            let choice = Choice {
                placement: Placement::OneStage { decode },
                first_token_ms: engine.pending_ms + read.total_ms() + STEP_MS + queue_ms(engine),
                prefill_ms: read.own_ms,
            };
            Some((score + bytes + engine.failure_cost_ms, choice))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// How an engine comes by a prompt's KV cache.
struct Reading {
    /// Time that the engine computes.
    own_ms: f64,
    /// Time to fetch what another engine keeps.
    fetch_ms: f64,
}

impl Reading {
    fn total_ms(&self) -> f64 {
        self.own_ms + self.fetch_ms
    }
}

fn reading(engine: &EngineView, prompt: &Prompt, speed: f64) -> Reading {
    let reachable = engine.reachable_tokens.max(engine.cached_tokens);
    let fetched = reachable - engine.cached_tokens;
    let fetch_ms = if fetched > 0 {
        transfer_ms(fetched)
    } else {
        0.0
    };
    Reading {
        own_ms: prefill_ms(prompt.tokens, reachable, speed),
        fetch_ms,
    }
}

fn transfer_ms(tokens: u32) -> f64 {
    TRANSFER_SETUP_MS + f64::from(tokens) / 1_000.0 * TRANSFER_MS_PER_KILOTOKEN
}

fn best_two_stage(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, Choice)> {
    let (read_score, prefill) = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Prefill)
        .map(|(at, engine)| {
            let read = reading(engine, prompt, engine.speed);
            let bytes = zone_ms(engine, prompt.request_kb);
            (
                engine.pending_ms + read.total_ms() + bytes + engine.failure_cost_ms,
                at,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))?;
    let (decode_score, decode) = best_decode(engines, prompt)?;
    let transfer_ms = transfer_ms(prompt.tokens);
    let reader = &engines[prefill];
    let read = reading(reader, prompt, reader.speed);
    let choice = Choice {
        placement: Placement::TwoStage { prefill, decode },
        first_token_ms: reader.pending_ms
            + read.total_ms()
            + transfer_ms
            + STEP_MS
            + queue_ms(&engines[decode]),
        prefill_ms: read.own_ms,
    };
    Some((read_score + decode_score, choice))
}

/// The decode engine for a prompt that another engine has read, or `None` without any.
pub fn choose_decode(engines: &[EngineView], prompt: &Prompt) -> Option<usize> {
    best_decode(engines, prompt).map(|(_, decode)| decode)
}

fn best_decode(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, usize)> {
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Decode)
        .map(|(at, engine)| {
            let bytes = zone_ms(engine, prompt.request_kb + prompt.response_kb);
            // Reading on the decode engine is interleaved, so that a part of it delays the step.
            let busy_ms = step_ms(engine) + engine.pending_ms.min(20.0) + slot_ms(engine);
            (
                transfer_ms(prompt.tokens) + busy_ms + bytes + engine.failure_cost_ms,
                at,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

fn step_ms(engine: &EngineView) -> f64 {
    STEP_MS
        + STEP_MS_PER_STREAM * f64::from(engine.streams)
        + STEP_MS_FULL_MEMORY * engine.memory_use
}

/// Forecast wait for a slot or for memory: those beyond the engine's room wait until others end.
fn queue_ms(engine: &EngineView) -> f64 {
    if engine.slots == 0 {
        return 0.0;
    }
    let slot_use = (f64::from(engine.streams) + 1.0) / f64::from(engine.slots);
    (slot_use.max(engine.memory_use) - 1.0).max(0.0) * GENERATION_MS
}

/// Cost of a nearly full engine. It begins before the last slot is taken, since the count is late.
fn slot_ms(engine: &EngineView) -> f64 {
    if engine.slots == 0 {
        return 0.0;
    }
    let slot_use = (f64::from(engine.streams) + 1.0) / f64::from(engine.slots);
    let over = slot_use.max(engine.memory_use) - NEARLY_FULL;
    over.max(0.0) * GENERATION_MS
}

fn zone_ms(engine: &EngineView, kilobytes: f64) -> f64 {
    if engine.is_remote {
        kilobytes * CROSS_ZONE_MS_PER_KB
    } else {
        0.0
    }
}
