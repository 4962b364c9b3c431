//! Which back end gets a request: the known loads and zones, put before the pure choice.

use yuccacove::prompt_placement::{self, Choice, EngineView, Phase, Placement};

use crate::directory::{BackendKey, Directory};
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
    pub prefill: Option<BackendKey>,
    /// Engine that generates the answer.
    pub decode: BackendKey,
    /// Forecast time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Forecast time of reading the prompt in milliseconds.
    pub prefill_ms: f64,
    /// Work before the prompt on the engine that reads it, in milliseconds.
    pub pending_ms: f64,
    /// Part of its room that the engine that generates has in use.
    pub decode_utilisation: f64,
    /// Engine that keeps more of the prompt than the one that reads it.
    pub prefix_source: Option<BackendKey>,
}

/// Hash and tokens of each leading run of a prompt's parts.
pub fn prefixes(prompt: &Prompt) -> Vec<(u64, u32)> {
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
pub fn plain_backend(
    directory: &Directory,
    service: &str,
    zone: &str,
    excluded: &[BackendKey],
    now_ms: u64,
    draw: u64,
) -> Option<BackendKey> {
    let cost = |key: BackendKey| {
        let backend = directory.get(key);
        let success = 1.0 - backend.fitness.failure_rate();
        let remote = if backend.entry.zone == zone {
            0.0
        } else {
            REMOTE_REQUESTS
        };
        let requests = f64::from(backend.load.requests);
        // The spread breaks ties differently on each host.
        let spread = (rendezvous(directory, key, draw) % 1_000) as f64 / 10_000.0;
        (requests + 1.0 + remote + spread) / success.max(0.1).powi(FAILURE_POWER)
    };
    fit(directory, service, excluded, now_ms)
        .into_iter()
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// What the choice of engines depends on beside the directory.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// Whether another engine may still read the prompt for the one that generates.
    pub allow_remote_prefill: bool,
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
    input: &PlacementInput<'_>,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Option<EngineChoice> {
    let candidates = Candidates::of(directory, input, excluded, now_ms);
    let choice = prompt_placement::choose(&candidates.views, &candidates.prompt)?;
    let mut chosen = with_keys(&choice, &candidates.keys);
    chosen.decode_utilisation = candidates.room_use(chosen.decode);
    let reader = chosen.prefill.unwrap_or(chosen.decode);
    chosen.pending_ms = directory.get(reader).load.pending_ms(now_ms);
    let kept = |key: BackendKey| {
        let load = &directory.get(key).load;
        load.cached_tokens(&candidates.prefixes, now_ms)
    };
    chosen.prefix_source = candidates
        .prefix_source
        .filter(|key| *key != reader && kept(*key) > kept(reader));
    Some(chosen)
}

/// The engine that generates the answer to a prompt that another engine has read meanwhile.
pub fn decode_engine(
    directory: &Directory,
    input: &PlacementInput<'_>,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Option<BackendKey> {
    let candidates = Candidates::of(directory, input, excluded, now_ms);
    let at = prompt_placement::choose_decode(&candidates.views, &candidates.prompt)?;
    Some(candidates.keys[at])
}

/// Engines that a request may use, as the pure choice sees them.
struct Candidates {
    keys: Vec<BackendKey>,
    views: Vec<EngineView>,
    prompt: prompt_placement::Prompt,
    prefixes: Vec<(u64, u32)>,
    /// Engine that keeps most of the prompt.
    prefix_source: Option<BackendKey>,
}

impl Candidates {
    /// Part of its slots or memory that an engine has in use, whichever is more.
    fn room_use(&self, key: BackendKey) -> f64 {
        let at = self.keys.iter().position(|candidate| *candidate == key);
        at.map_or(0.0, |at| {
            let view = &self.views[at];
            let slots = f64::from(view.slots.max(1));
            (f64::from(view.streams) / slots).max(view.memory_use)
        })
    }

    fn of(
        directory: &Directory,
        input: &PlacementInput<'_>,
        excluded: &[BackendKey],
        now_ms: u64,
    ) -> Self {
        let mut keys = fit(directory, input.service, excluded, now_ms);
        let empty = Prompt::default();
        let prompt = input.request.prompt.as_ref().unwrap_or(&empty);
        let prefixes = prefixes(prompt);
        let kept_by = |key: BackendKey| directory.get(key).load.cached_tokens(&prefixes, now_ms);
        let prefix_source = keys.iter().copied().max_by_key(|key| kept_by(*key));
        let reachable_tokens = prefix_source.map_or(0, kept_by);
        if !input.allow_remote_prefill {
            keys.retain(|key| directory.get(*key).entry.phase == Phase::Decode);
        }
        let is_local = directory.is_local(input.zone);
        let view = |key: &BackendKey| {
            let backend = directory.get(*key);
            let is_remote = backend.entry.zone != input.zone;
            let unseen_ms = if is_local && is_remote {
                UNSEEN_MS
            } else {
                0.0
            };
            let excess_rate = (backend.fitness.failure_rate() - TOLERATED_RATE).max(0.0);
            let memory_tokens = input.memory_tokens.max(1) as f64;
            EngineView {
                phase: backend.entry.phase,
                pending_ms: backend.load.pending_ms(now_ms) + unseen_ms,
                stall_ms: backend.load.stall_ms(now_ms),
                streams: backend.load.all_streams(now_ms),
                slots: input.slots,
                memory_use: backend.load.all_tokens(now_ms) as f64 / memory_tokens,
                kept_tokens: kept_by(*key),
                reachable_tokens,
                is_remote,
                speed: 1.0,
                fault_ms: excess_rate * FAULT_MS,
            }
        };
        let views = keys.iter().map(view).collect();
        let generating_ms = f64::from(input.tokens_per_event) * TOKEN_MS;
        let prompt = prompt_placement::Prompt {
            tokens: prompt.tokens,
            request_kb: input.request.size_kb(),
            answer_kb: f64::from(prompt.max_output_tokens) * EVENT_KB,
            pause_ms: (input.gap_ms as f64 - generating_ms).max(0.0),
        };
        Self {
            keys,
            views,
            prompt,
            prefixes,
            prefix_source,
        }
    }
}

fn with_keys(choice: &Choice, keys: &[BackendKey]) -> EngineChoice {
    let (prefill, decode) = match choice.placement {
        Placement::TwoStage { prefill, decode } => (Some(keys[prefill]), keys[decode]),
        Placement::OneStage { decode } => (None, keys[decode]),
    };
    EngineChoice {
        prefill,
        decode,
        first_token_ms: choice.first_token_ms,
        prefill_ms: choice.read_ms,
        pending_ms: 0.0,
        decode_utilisation: 0.0,
        prefix_source: None,
    }
}

/// Usable back ends that are neither tried nor avoided; avoided ones when there are no others.
fn fit(
    directory: &Directory,
    service: &str,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Vec<BackendKey> {
    let mut usable = directory.usable(service, now_ms);
    usable.retain(|key| !excluded.contains(key));
    let is_avoided = |key: &BackendKey| {
        let backend = directory.get(*key);
        backend.fitness.is_avoided(now_ms) || backend.is_unavailable(now_ms)
    };
    let sound: Vec<_> = usable.iter().copied().filter(|k| !is_avoided(k)).collect();
    if sound.is_empty() { usable } else { sound }
}

/// Order of a back end in a draw.
fn rendezvous(directory: &Directory, key: BackendKey, hash: u64) -> u64 {
    hash_of((hash, &*directory.get(key).target.id))
}
