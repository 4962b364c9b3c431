//! Choice of the engines that run the prefill and the decode of a request.
//!
//! Each engine runs in one phase. A prefill engine runs prefill at full speed and transfers the KV
//! cache to a decode engine. A decode engine can also run prefill itself, more slowly. The engines
//! with the lowest score are chosen. The score is a forecast delay in milliseconds, to which other
//! costs are added as equivalent delays. In a burst of long prompts beside short urgent ones, a
//! short prompt thus avoids both the transfer and the queue behind the long prompts.
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
//! let choice = choose(&engines, &short).expect("there is a decode engine");
//! assert_eq!(choice.placement, Placement::OneStage { decode: 1 });
//! ```

mod scores;

pub use scores::{EngineScores, scores};

/// Prefill throughput of an engine with speed 1.0, in prompt tokens per millisecond, without the
/// cost of attention and before any learned correction.
pub const PREFILL_TOKENS_PER_MS: f64 = 64.0;
/// Attention time for a million pairs of tokens, in ms.
const ATTENTION_MS_PER_MEGAPAIR: f64 = 0.65;
/// Prefill speed of a decode engine as a fraction of that of a prefill engine.
pub const DECODE_PREFILL_SHARE: f64 = 0.5;
/// Duration of a decode step with few requests in the batch.
const STEP_MS: f64 = 4.5;
/// Added to the step duration for each stream; spreads the streams over the engines.
const STEP_MS_PER_STREAM: f64 = 0.2;
/// Added to the step duration when the KV cache memory is full; spreads long contexts over the
/// engines.
const STEP_MS_FULL_MEMORY: f64 = 15.0;
/// Fixed duration of a KV cache transfer, including the calls.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Additional duration of a transfer within an availability zone, per thousand tokens.
const TRANSFER_MS_PER_KILOTOKEN: f64 = 1.1;
/// Cost of a kilobyte that is sent to another availability zone, as an equivalent delay.
const CROSS_ZONE_MS_PER_KB: f64 = 4.0;
/// Cost of a millisecond by which an engine exceeds the allowed gap with each event, as an equivalent
/// delay. Such a stream misses its target even if it begins in time.
const GAP_EXCESS_COST: f64 = 10.0;
/// Fraction of the allowed gap between events for which prefill may stall a decode engine.
const STALL_SHARE: f64 = 0.35;

/// Fraction of slots or memory in use above which an engine counts as nearly full.
const NEARLY_FULL: f64 = 0.9;
/// Time for which a stream occupies a slot.
const GENERATION_MS: f64 = 1_500.0;

/// Phase of inference that an engine runs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Runs prefill for other engines.
    Prefill,
    /// Runs decode, and prefill for its own streams if needed.
    #[default]
    Decode,
}

/// State of an engine, as input of [`choose`].
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Current phase.
    pub phase: Phase,
    /// Prefill work queued ahead of a new prompt, in milliseconds.
    pub pending_ms: f64,
    /// Prefill work that is stalling the engine's streams, in milliseconds.
    pub stall_ms: f64,
    /// Streams that are being decoded.
    pub streams: u32,
    /// Streams that the engine can decode at the same time; 0 if unknown.
    pub slots: u32,
    /// Fraction of the KV cache memory in use; above 1.0 when streams are waiting for memory.
    pub memory_use: f64,
    /// Leading tokens of the prompt that are expected in the engine's KV cache.
    pub cached_tokens: u32,
    /// Leading tokens of the prompt in its own KV cache or in one that it can fetch from.
    pub reachable_tokens: u32,
    /// Whether the engine is in another availability zone than the host.
    pub is_remote: bool,
    /// Prefill speed relative to the published speed of the engine, which is 1.0.
    pub speed: f64,
    /// Decode speed relative to the published one; 0 if unknown.
    pub decode_speed: f64,
    /// Expected cost of failures, as an equivalent delay in milliseconds.
    pub failure_cost_ms: f64,
}

/// Request to be placed, as input of [`choose`].
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// Prompt tokens.
    pub tokens: u32,
    /// Size of the request's headers and body in kilobytes.
    pub request_kb: f64,
    /// Expected size of the response in kilobytes.
    pub response_kb: f64,
    /// Maximum gap between events minus the time to generate an event's tokens, in milliseconds; 0
    /// for no limit.
    pub max_gap_ms: f64,
    /// Time to generate an event's tokens at the published speed, in milliseconds.
    pub event_ms: f64,
    /// Delays that do not depend on the engine.
    pub delays: Delays,
}

/// Delays of calls to engines that are not caused by load, in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Delays {
    /// Of a remote prefill.
    pub prefill_ms: f64,
    /// Of a generation whose prefill another engine has run.
    pub decode_ms: f64,
    /// Of a generation whose engine also runs its prefill.
    pub one_stage_ms: f64,
}

/// Engines for a request, as indices into the slice passed to [`choose`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// One engine runs prefill, another runs decode.
    TwoStage {
        /// Prefill engine.
        prefill: usize,
        /// Decode engine.
        decode: usize,
    },
    /// A decode engine runs both prefill and decode.
    OneStage {
        /// Decode engine.
        decode: usize,
    },
}

/// A placement with its forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Chosen engines.
    pub placement: Placement,
    /// Forecast time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Forecast prefill time in milliseconds, without queueing and transfers.
    pub prefill_ms: f64,
}

/// Returns the prefill time in milliseconds of a prompt of `tokens` tokens, of which the first
/// `cached` are in the KV cache, on an engine of the given relative speed.
pub fn prefill_ms(tokens: u32, cached: u32, speed: f64) -> f64 {
    let new = f64::from(tokens.saturating_sub(cached));
    let total = f64::from(tokens);
    let megapairs = new * (total - new / 2.0) / 1e6;
    (new / PREFILL_TOKENS_PER_MS + megapairs * ATTENTION_MS_PER_MEGAPAIR) / speed.max(0.05)
}

/// Returns the forecast time from the call that starts a generation until its first token, in
/// milliseconds, if another engine has run the prefill of its `tokens` tokens.
pub fn start_ms(tokens: u32, decode_speed: f64) -> f64 {
    transfer_ms(tokens) + first_step_ms(decode_speed)
}

/// Returns the forecast time from the end of the prefill until the first token, in milliseconds, if
/// the engine that decodes has run it.
pub fn first_step_ms(decode_speed: f64) -> f64 {
    STEP_MS / decode_speed
}

/// Returns the placement with the lowest score, or `None` if there is no decode engine.
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

/// Returns the decode engine with the lowest score for both phases, with the score. Prefill stalls
/// the engine's other streams, so engines that it would stall for too long are excluded while there
/// are prefill engines.
fn best_one_stage(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, Choice)> {
    let has_prefill = engines.iter().any(|e| e.phase == Phase::Prefill);
    let max_stall_ms = |engine: &EngineView| {
        if has_prefill && prompt.max_gap_ms > 0.0 {
            gap_left_ms(engine, prompt).max(0.0) * STALL_SHARE
        } else {
            f64::INFINITY
        }
    };
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Decode)
        .filter_map(|(decode, engine)| {
            let time = prefill_time(engine, prompt, engine.speed * DECODE_PREFILL_SHARE);
            if engine.stall_ms + time.compute_ms > max_stall_ms(engine) {
                return None;
            }
            let start_ms = engine.pending_ms + time.total_ms() + prompt.delays.one_stage_ms;
            let busy_ms = step_ms(engine) + nearly_full_ms(engine) + gap_cost_ms(engine, prompt);
            let traffic_ms = cross_zone_ms(engine, prompt.request_kb + prompt.response_kb);
            let choice = Choice {
                placement: Placement::OneStage { decode },
                first_token_ms: start_ms + first_step_ms(decode_speed(engine)) + queue_ms(engine),
                prefill_ms: time.compute_ms,
            };
            let score = start_ms + busy_ms + traffic_ms + engine.failure_cost_ms;
            Some((score, choice))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Time until an engine has the KV cache of a prompt.
struct PrefillTime {
    /// Time for which the engine computes.
    compute_ms: f64,
    /// Time to fetch the cached prefix from another engine.
    fetch_ms: f64,
}

impl PrefillTime {
    fn total_ms(&self) -> f64 {
        self.compute_ms + self.fetch_ms
    }
}

fn prefill_time(engine: &EngineView, prompt: &Prompt, speed: f64) -> PrefillTime {
    let reachable = engine.reachable_tokens.max(engine.cached_tokens);
    let fetched = reachable - engine.cached_tokens;
    let fetch_ms = if fetched > 0 {
        transfer_ms(fetched)
    } else {
        0.0
    };
    PrefillTime {
        compute_ms: prefill_ms(prompt.tokens, reachable, speed),
        fetch_ms,
    }
}

fn transfer_ms(tokens: u32) -> f64 {
    TRANSFER_SETUP_MS + f64::from(tokens) / 1_000.0 * TRANSFER_MS_PER_KILOTOKEN
}

fn best_two_stage(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, Choice)> {
    let (prefill_score, prefill) = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Prefill)
        .map(|(index, engine)| {
            let time = prefill_time(engine, prompt, engine.speed);
            let traffic_ms = cross_zone_ms(engine, prompt.request_kb);
            (
                engine.pending_ms + time.total_ms() + traffic_ms + engine.failure_cost_ms,
                index,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))?;
    let (decode_score, decode) = best_decode(engines, prompt)?;
    let delays_ms = prompt.delays.prefill_ms + prompt.delays.decode_ms;
    let prefill_engine = &engines[prefill];
    let time = prefill_time(prefill_engine, prompt, prefill_engine.speed);
    let choice = Choice {
        placement: Placement::TwoStage { prefill, decode },
        first_token_ms: prefill_engine.pending_ms
            + time.total_ms()
            + delays_ms
            + start_ms(prompt.tokens, decode_speed(&engines[decode]))
            + queue_ms(&engines[decode]),
        prefill_ms: time.compute_ms,
    };
    Some((prefill_score + decode_score + delays_ms, choice))
}

/// Returns the index of the best decode engine for a prompt that a prefill engine has processed, or
/// `None` if there is no decode engine.
pub fn choose_decode(engines: &[EngineView], prompt: &Prompt) -> Option<usize> {
    best_decode(engines, prompt).map(|(_, decode)| decode)
}

fn best_decode(engines: &[EngineView], prompt: &Prompt) -> Option<(f64, usize)> {
    engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.phase == Phase::Decode)
        .map(|(index, engine)| {
            let traffic_ms = cross_zone_ms(engine, prompt.request_kb + prompt.response_kb);
            // Prefill on the decode engine is interleaved with decode, so only part of it delays a
            // step.
            let busy_ms = step_ms(engine)
                + engine.pending_ms.min(20.0)
                + nearly_full_ms(engine)
                + gap_cost_ms(engine, prompt);
            (
                transfer_ms(prompt.tokens) + busy_ms + traffic_ms + engine.failure_cost_ms,
                index,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

fn decode_speed(engine: &EngineView) -> f64 {
    if engine.decode_speed > 0.0 {
        engine.decode_speed
    } else {
        1.0
    }
}

fn step_ms(engine: &EngineView) -> f64 {
    let nominal_ms = STEP_MS
        + STEP_MS_PER_STREAM * f64::from(engine.streams)
        + STEP_MS_FULL_MEMORY * engine.memory_use;
    nominal_ms / decode_speed(engine)
}

/// Part of the allowed gap that the generation of an event's tokens leaves; negative if the engine
/// exceeds the gap with each event.
fn gap_left_ms(engine: &EngineView, prompt: &Prompt) -> f64 {
    let slower_ms = prompt.event_ms * (1.0 / decode_speed(engine) - 1.0);
    prompt.max_gap_ms - slower_ms.max(0.0)
}

fn gap_cost_ms(engine: &EngineView, prompt: &Prompt) -> f64 {
    if prompt.max_gap_ms <= 0.0 {
        return 0.0;
    }
    (-gap_left_ms(engine, prompt)).max(0.0) * GAP_EXCESS_COST
}

/// Forecast wait for a slot or for memory. Streams beyond the engine's capacity wait until others
/// end.
fn queue_ms(engine: &EngineView) -> f64 {
    if engine.slots == 0 {
        return 0.0;
    }
    let slot_use = (f64::from(engine.streams) + 1.0) / f64::from(engine.slots);
    (slot_use.max(engine.memory_use) - 1.0).max(0.0) * GENERATION_MS
}

/// Addition to the score of a nearly full engine. It applies before the last slot is in use, because
/// the stream count is out of date.
fn nearly_full_ms(engine: &EngineView) -> f64 {
    if engine.slots == 0 {
        return 0.0;
    }
    let slot_use = (f64::from(engine.streams) + 1.0) / f64::from(engine.slots);
    let over = slot_use.max(engine.memory_use) - NEARLY_FULL;
    over.max(0.0) * GENERATION_MS
}

fn cross_zone_ms(engine: &EngineView, kilobytes: f64) -> f64 {
    if engine.is_remote {
        kilobytes * CROSS_ZONE_MS_PER_KB
    } else {
        0.0
    }
}
