//! Which back end gets a request: the known loads and zones, put before the pure choice.

use yuccacove::prompt_placement::{self, Choice, EngineView, Phase, Placement};

use crate::directory::{BackEndKey, Directory};
use crate::hash::hash_of;
use crate::request::{Prompt, Request};

/// Delay of a plain call to another availability zone, in requests in flight.
const REMOTE_REQUESTS: f64 = 0.15;
/// Power by which failures make a back end costly. A call that may not be repeated is lost with a
/// failure.
const FAILURE_POWER: i32 = 3;
/// Cost of a certain failure of an engine, in milliseconds of delay.
const FAULT_MS: f64 = 1_500.0;
/// Failure rate up to which an engine counts as sound.
const TOLERATED_RATE: f64 = 0.05;
/// Time to generate a token, for the pause that a stream may still make.
const TOKEN_MS: f64 = 4.5;
/// Work that an engine is taken to have when hosts of its own availability zone alone know its load.
const UNSEEN_MS: f64 = 120.0;
/// Average length of an event of a stream in kilobytes.
const EVENT_KB: f64 = 0.1;

/// Engines of a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineChoice {
    /// Engine that reads the prompt for the other; `None` when the other reads it itself.
    pub prefill: Option<BackEndKey>,
    /// Engine that generates the answer.
    pub decode: BackEndKey,
    /// Forecast time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Forecast time of reading the prompt in milliseconds.
    pub read_ms: f64,
    /// Work before the prompt on the engine that reads it, in milliseconds.
    pub reading_ms: f64,
    /// Part of its room that the engine that generates has in use.
    pub decode_use: f64,
    /// Engine that keeps more of the prompt than the one that reads it.
    pub keeper: Option<BackEndKey>,
}

/// Hash and tokens of each leading run of a prompt's parts.
pub fn chain(prompt: &Prompt) -> Vec<(u64, u32)> {
    let mut hash = 0u64;
    let mut tokens = 0;
    let runs = prompt.parts.iter().map(|part| {
        hash = hash_of((hash, part.id));
        tokens += part.tokens;
        (hash, tokens)
    });
    runs.collect()
}

/// The plain back end with the least cost, except those in `tried`.
pub fn plain(
    directory: &Directory,
    service: &str,
    zone: &str,
    tried: &[BackEndKey],
    now_ms: u64,
    draw: u64,
) -> Option<BackEndKey> {
    let cost = |key: BackEndKey| {
        let back_end = directory.get(key);
        let success = 1.0 - back_end.fitness.failure_rate();
        let remote = if back_end.entry.zone == zone {
            0.0
        } else {
            REMOTE_REQUESTS
        };
        let requests = f64::from(back_end.load.requests);
        // The spread breaks ties differently on each host.
        let spread = (rendezvous(directory, key, draw) % 1_000) as f64 / 10_000.0;
        (requests + 1.0 + remote + spread) / success.max(0.1).powi(FAILURE_POWER)
    };
    fit(directory, service, tried, now_ms)
        .into_iter()
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// What the choice of engines depends on beside the directory.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Whether another engine may still read the prompt for the one that generates.
    pub may_read_apart: bool,
    /// The request.
    pub request: &'a Request,
    /// Service.
    pub service: &'a str,
    /// Availability zone of the host.
    pub zone: &'a str,
    /// Longest pause between events for which the answer is in time; 0 for none.
    pub gap_ms: u64,
    /// Most tokens in one event.
    pub tokens_per_event: u32,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Memory of an engine in tokens.
    pub memory_tokens: u64,
}

/// The engines for a generation, except those in `tried`.
pub fn engines(
    directory: &Directory,
    need: &Need<'_>,
    tried: &[BackEndKey],
    now_ms: u64,
) -> Option<EngineChoice> {
    let candidates = Candidates::of(directory, need, tried, now_ms);
    let choice = prompt_placement::choose(&candidates.views, &candidates.prompt)?;
    let mut chosen = with_keys(&choice, &candidates.keys);
    chosen.decode_use = candidates.room_use(chosen.decode);
    let reader = chosen.prefill.unwrap_or(chosen.decode);
    chosen.reading_ms = directory.get(reader).load.pending_ms(now_ms);
    let kept = |key: BackEndKey| {
        let load = &directory.get(key).load;
        load.kept_tokens(&candidates.chain, now_ms)
    };
    chosen.keeper = candidates
        .keeper
        .filter(|key| *key != reader && kept(*key) > kept(reader));
    Some(chosen)
}

/// The engine that generates the answer to a prompt that another engine has read meanwhile.
pub fn decode_engine(
    directory: &Directory,
    need: &Need<'_>,
    tried: &[BackEndKey],
    now_ms: u64,
) -> Option<BackEndKey> {
    let candidates = Candidates::of(directory, need, tried, now_ms);
    let at = prompt_placement::choose_decode(&candidates.views, &candidates.prompt)?;
    Some(candidates.keys[at])
}

/// Engines that a request may use, as the pure choice sees them.
struct Candidates {
    keys: Vec<BackEndKey>,
    views: Vec<EngineView>,
    prompt: prompt_placement::Prompt,
    chain: Vec<(u64, u32)>,
    /// Engine that keeps most of the prompt.
    keeper: Option<BackEndKey>,
}

impl Candidates {
    /// Part of its slots or memory that an engine has in use, whichever is more.
    fn room_use(&self, key: BackEndKey) -> f64 {
        let at = self.keys.iter().position(|candidate| *candidate == key);
        at.map_or(0.0, |at| {
            let view = &self.views[at];
            let slots = f64::from(view.slots.max(1));
            (f64::from(view.streams) / slots).max(view.memory_use)
        })
    }

    fn of(directory: &Directory, need: &Need<'_>, tried: &[BackEndKey], now_ms: u64) -> Self {
        let mut keys = fit(directory, need.service, tried, now_ms);
        let empty = Prompt::default();
        let prompt = need.request.prompt.as_ref().unwrap_or(&empty);
        let chain = chain(prompt);
        let kept_by = |key: BackEndKey| directory.get(key).load.kept_tokens(&chain, now_ms);
        let keeper = keys.iter().copied().max_by_key(|key| kept_by(*key));
        let reachable_tokens = keeper.map_or(0, kept_by);
        if !need.may_read_apart {
            keys.retain(|key| directory.get(*key).entry.phase == Phase::Decode);
        }
        let is_local = directory.is_local(need.zone);
        let view = |key: &BackEndKey| {
            let back_end = directory.get(*key);
            let is_remote = back_end.entry.zone != need.zone;
            let unseen_ms = if is_local && is_remote {
                UNSEEN_MS
            } else {
                0.0
            };
            let excess_rate = (back_end.fitness.failure_rate() - TOLERATED_RATE).max(0.0);
            let memory_tokens = need.memory_tokens.max(1) as f64;
            EngineView {
                phase: back_end.entry.phase,
                pending_ms: back_end.load.pending_ms(now_ms) + unseen_ms,
                stall_ms: back_end.load.stall_ms(now_ms),
                streams: back_end.load.all_streams(now_ms),
                slots: need.slots,
                memory_use: back_end.load.all_tokens(now_ms) as f64 / memory_tokens,
                cached_tokens: kept_by(*key),
                reachable_tokens,
                is_remote,
                speed: 1.0,
                failure_cost_ms: excess_rate * FAULT_MS,
            }
        };
        let views = keys.iter().map(view).collect();
        let generating_ms = f64::from(need.tokens_per_event) * TOKEN_MS;
        let prompt = prompt_placement::Prompt {
            tokens: prompt.tokens,
            request_kb: need.request.size_kb(),
            response_kb: f64::from(prompt.max_output_tokens) * EVENT_KB,
            max_gap_ms: (need.gap_ms as f64 - generating_ms).max(0.0),
        };
        Self {
            keys,
            views,
            prompt,
            chain,
            keeper,
        }
    }
}

fn with_keys(choice: &Choice, keys: &[BackEndKey]) -> EngineChoice {
    let (prefill, decode) = match choice.placement {
        Placement::TwoStage { prefill, decode } => (Some(keys[prefill]), keys[decode]),
        Placement::OneStage { decode } => (None, keys[decode]),
    };
    EngineChoice {
        prefill,
        decode,
        first_token_ms: choice.first_token_ms,
        read_ms: choice.prefill_ms,
        reading_ms: 0.0,
        decode_use: 0.0,
        keeper: None,
    }
}

/// Usable back ends that are neither tried nor avoided; avoided ones when there are no others.
fn fit(directory: &Directory, service: &str, tried: &[BackEndKey], now_ms: u64) -> Vec<BackEndKey> {
    let mut usable = directory.usable(service, now_ms);
    usable.retain(|key| !tried.contains(key));
    let is_avoided = |key: &BackEndKey| {
        let back_end = directory.get(*key);
        back_end.fitness.is_avoided(now_ms) || back_end.is_away(now_ms)
    };
    let sound: Vec<_> = usable.iter().copied().filter(|k| !is_avoided(k)).collect();
    if sound.is_empty() { usable } else { sound }
}

/// Order of a back end in a draw.
fn rendezvous(directory: &Directory, key: BackEndKey, hash: u64) -> u64 {
    hash_of((hash, &*directory.get(key).target.id))
}
