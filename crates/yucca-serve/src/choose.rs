//! Selection of a backend for a request by load, health and availability zone.
//!
//! For generations this module collects what is known of the engines and passes it to
//! [`yuccacove::prompt_placement`], which makes the choice.

use yuccacove::engine_speed::ServiceSpeed;
use yuccacove::prompt_placement::{
    self, Choice, Delays, EngineScores, EngineView, Phase, Placement,
};
use yuccacove::stream_version::VersionId;

use crate::directory::{Backend, BackendKey, Directory};
use crate::hash::hash_of;
use crate::request::{Prompt, Request};

/// Cost of a plain call to another availability zone, in requests in flight.
const CROSS_ZONE_REQUESTS: f64 = 0.15;
/// Exponent by which a low success rate raises the cost of a backend. It is high because a failure
/// loses a request that may not be retried.
const FAILURE_POWER: i32 = 3;
/// Cost of a failure that is certain, in milliseconds of delay.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Failure rate up to which an engine counts as healthy.
const TOLERATED_FAILURE_RATE: f64 = 0.05;
/// Time to decode one token. The decode time of an event is subtracted from the allowed gap.
pub const TOKEN_MS: f64 = 4.5;
/// Pending work that is assumed for an engine of another availability zone when load is announced
/// within zones only.
const UNKNOWN_PENDING_MS: f64 = 120.0;
/// Largest random addition to the cost of a prefill engine. Hosts that choose at the same time do not
/// know of each other's choice for about this time, and would all choose the same engine.
const SPREAD_MS: f64 = 10.0;
/// Average size of a stream event in kilobytes.
const EVENT_KB: f64 = 0.1;

/// The engines that were chosen for a generation, with the forecast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineChoice {
    /// Engine for a remote prefill; `None` if the decode engine runs the prefill itself.
    pub prefill: Option<BackendKey>,
    /// Engine that decodes.
    pub decode: BackendKey,
    /// Forecast time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Forecast prefill time in milliseconds.
    pub prefill_ms: f64,
    /// Work of the prefill in nominal milliseconds.
    pub prefill_work_ms: f64,
    /// Learned prefill speed of the engine that runs the prefill, relative to the published one.
    pub prefill_speed: f64,
    /// Fixed latency of the prefill, in milliseconds.
    pub prefill_latency_ms: f64,
    /// Forecast time of the prefills that are ahead of this one on its engine, in milliseconds.
    pub pending_ms: f64,
    /// Utilisation of the decode engine's slots or KV cache, whichever is higher; 1 is full.
    pub decode_utilisation: f64,
    /// Engine with a longer cached prefix than the prefill engine has; `None` if there is none.
    pub prefix_source: Option<BackendKey>,
}

impl EngineChoice {
    /// Returns the prefill time that a prefill engine would need, in milliseconds.
    pub fn prefill_engine_ms(&self) -> f64 {
        match self.prefill {
            Some(_) => self.prefill_ms,
            None => self.prefill_ms * prompt_placement::DECODE_PREFILL_SHARE,
        }
    }
}

/// Returns the hash and the length in tokens of each prefix of a prompt, the shortest first. A
/// prefix consists of one or more leading parts.
pub fn prefixes(prompt: &Prompt) -> Vec<(u64, u32)> {
    let mut hash = 0u64;
    let mut tokens = 0;
    let prefixes = prompt.parts.iter().map(|part| {
        hash = hash_of((hash, part.id));
        tokens += part.tokens;
        (hash, tokens)
    });
    prefixes.collect()
}

/// Returns the backend of a plain service with the least cost, except those in `excluded`. `draw`
/// is a random number that decides between backends with equal cost.
pub fn plain_backend(
    directory: &Directory,
    service: &str,
    zone: &str,
    excluded: &[BackendKey],
    now_ms: u64,
    draw: u64,
) -> Option<BackendKey> {
    plain_costs(directory, service, zone, excluded, now_ms, draw)
        .into_iter()
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(key, _)| key)
}

/// Returns the backends of a plain service that may be chosen, with their costs.
pub fn plain_costs(
    directory: &Directory,
    service: &str,
    zone: &str,
    excluded: &[BackendKey],
    now_ms: u64,
    draw: u64,
) -> Vec<(BackendKey, f64)> {
    let cost = |key: BackendKey| {
        let backend = directory.get(key);
        let success_rate = 1.0 - backend.health.failure_rate();
        let zone_cost = if backend.entry.zone == zone {
            0.0
        } else {
            CROSS_ZONE_REQUESTS
        };
        let requests = f64::from(backend.load.requests);
        // Each host breaks ties differently, so that they do not all choose the same backend.
        let tie_break = (rendezvous(directory, key, draw) % 1_000) as f64 / 10_000.0;
        (requests + 1.0 + zone_cost + tie_break) / success_rate.max(0.1).powi(FAILURE_POWER)
    };
    let keys = eligible(directory, service, excluded, now_ms);
    keys.into_iter().map(|key| (key, cost(key))).collect()
}

/// An engine that may be chosen, with the inputs to the choice and its scores.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScoredEngine {
    /// The engine.
    pub key: BackendKey,
    /// Inputs to the choice.
    pub view: EngineView,
    /// Scores of the placements that use it.
    pub scores: EngineScores,
}

/// Returns all engines among which [`engines`] chooses.
pub fn scored_engines(
    directory: &Directory,
    input: &PlacementInput<'_>,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Vec<ScoredEngine> {
    let candidates = Candidates::of(directory, input, excluded, now_ms);
    let scores = prompt_placement::scores(&candidates.views, &candidates.prompt);
    let engines = candidates
        .keys
        .into_iter()
        .zip(candidates.views)
        .zip(scores);
    engines
        .map(|((key, view), scores)| ScoredEngine { key, view, scores })
        .collect()
}

/// Inputs to the choice of engines other than the directory.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// Whether the request may still have a remote prefill.
    pub allow_remote_prefill: bool,
    /// Request to place.
    pub request: &'a Request,
    /// Name of the service.
    pub service: &'a str,
    /// Availability zone of the host.
    pub zone: &'a str,
    /// Target for the longest gap between events, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// Maximum number of tokens in one event.
    pub tokens_per_event: u32,
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_tokens: u64,
    /// Software version at which the stream must go on; `None` if it may begin at any.
    pub version: Option<VersionId>,
    /// Random number that spreads the choices of the hosts.
    pub draw: u64,
}

/// Returns the engines for a generation, except those in `excluded`; `None` if no decode engine is
/// usable.
pub fn engines(
    directory: &Directory,
    input: &PlacementInput<'_>,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Option<EngineChoice> {
    let candidates = Candidates::of(directory, input, excluded, now_ms);
    let choice = prompt_placement::choose(&candidates.views, &candidates.prompt)?;
    let mut chosen = with_keys(&choice, &candidates.keys);
    chosen.decode_utilisation = candidates.utilisation(chosen.decode);
    let prefill_engine = chosen.prefill.unwrap_or(chosen.decode);
    let load = &directory.get(prefill_engine).load;
    chosen.pending_ms = load.pending_ms(now_ms);
    chosen.prefill_speed = load.prefill_speed;
    chosen.prefill_work_ms = chosen.prefill_ms * load.prefill_speed;
    chosen.prefill_latency_ms = load.latency_ms;
    let cached = |key: BackendKey| {
        let load = &directory.get(key).load;
        load.cached_tokens(&candidates.prefixes, now_ms)
    };
    chosen.prefix_source = candidates
        .prefix_source
        .filter(|key| *key != prefill_engine && cached(*key) > cached(prefill_engine));
    Some(chosen)
}

/// Returns the decode engine for a prompt whose remote prefill has ended, except those in
/// `excluded`.
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

/// Engines that a request may use, in the form that [`prompt_placement`] takes.
struct Candidates {
    keys: Vec<BackendKey>,
    views: Vec<EngineView>,
    prompt: prompt_placement::Prompt,
    prefixes: Vec<(u64, u32)>,
    /// Engine with the longest cached prefix of the prompt.
    prefix_source: Option<BackendKey>,
}

impl Candidates {
    /// Returns the utilisation of an engine's slots or KV cache, whichever is higher.
    fn utilisation(&self, key: BackendKey) -> f64 {
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
        let mut keys = eligible_engines(directory, input, excluded, now_ms);
        let empty = Prompt::default();
        let prompt = input.request.prompt.as_ref().unwrap_or(&empty);
        let prefixes = prefixes(prompt);
        let cached_on = |key: BackendKey| directory.get(key).load.cached_tokens(&prefixes, now_ms);
        let prefix_source = keys.iter().copied().max_by_key(|key| cached_on(*key));
        let reachable_tokens = prefix_source.map_or(0, cached_on);
        if !input.allow_remote_prefill {
            keys.retain(|key| directory.get(*key).entry.phase == Phase::Decode);
        }
        let is_within_zone = directory.shares_load_within_zone(input.zone);
        let view = |key: &BackendKey| {
            let backend = directory.get(*key);
            let is_remote = backend.entry.zone != input.zone;
            let assumed_ms = if is_within_zone && is_remote {
                UNKNOWN_PENDING_MS
            } else {
                0.0
            };
            let excess_rate = (backend.health.failure_rate() - TOLERATED_FAILURE_RATE).max(0.0);
            let kv_tokens = input.kv_tokens.max(1) as f64;
            EngineView {
                phase: backend.entry.phase,
                pending_ms: backend.load.pending_ms(now_ms) + assumed_ms,
                stall_ms: backend.load.stall_ms(now_ms),
                streams: backend.load.all_streams(now_ms),
                slots: input.slots,
                memory_use: backend.load.all_tokens(now_ms) as f64 / kv_tokens,
                cached_tokens: cached_on(*key),
                reachable_tokens,
                is_remote,
                speed: backend.load.prefill_speed,
                decode_speed: backend.load.decode_speed,
                failure_cost_ms: excess_rate * FAILURE_COST_MS + spread_ms(backend, input.draw),
            }
        };
        let views = keys.iter().map(view).collect();
        let decode_ms = f64::from(input.tokens_per_event) * TOKEN_MS;
        let prompt = prompt_placement::Prompt {
            tokens: prompt.tokens,
            request_kb: input.request.size_kb(),
            response_kb: f64::from(prompt.max_output_tokens) * EVENT_KB,
            max_gap_ms: (input.gap_ms as f64 - decode_ms).max(0.0),
            event_ms: decode_ms,
            delays: directory
                .service_speed(input.service)
                .map_or(Delays::default(), delays),
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

fn spread_ms(backend: &Backend, draw: u64) -> f64 {
    match backend.entry.phase {
        Phase::Prefill => SPREAD_MS * ((backend.id_hash() ^ draw) % 1_000) as f64 / 1_000.0,
        // The costs of decode engines differ by less than that.
        Phase::Decode => 0.0,
    }
}

fn delays(speed: &ServiceSpeed) -> Delays {
    Delays {
        prefill_ms: speed.latency_ms(),
        decode_ms: speed.decode_delay.value_ms(),
        one_stage_ms: speed.one_stage_delay.value_ms(),
    }
}

/// Converts a choice of engines by index into one by key. The caller sets the other fields.
fn with_keys(choice: &Choice, keys: &[BackendKey]) -> EngineChoice {
    let (prefill, decode) = match choice.placement {
        Placement::TwoStage { prefill, decode } => (Some(keys[prefill]), keys[decode]),
        Placement::OneStage { decode } => (None, keys[decode]),
    };
    EngineChoice {
        prefill,
        decode,
        first_token_ms: choice.first_token_ms,
        prefill_ms: choice.prefill_ms,
        prefill_work_ms: 0.0,
        prefill_speed: 1.0,
        prefill_latency_ms: 0.0,
        pending_ms: 0.0,
        decode_utilisation: 0.0,
        prefix_source: None,
    }
}

/// Returns the usable backends that are neither excluded nor avoided because of failures, refusals
/// or a change of phase; falls back to the avoided ones if there are no others.
fn eligible(
    directory: &Directory,
    service: &str,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Vec<BackendKey> {
    eligible_among(directory, service, excluded, now_ms, |_| true)
}

/// As [`eligible`], for a generation: if it must go on at a software version, only decode engines of
/// that version. Any prefill engine will do, as the KV cache depends on the weights.
fn eligible_engines(
    directory: &Directory,
    input: &PlacementInput<'_>,
    excluded: &[BackendKey],
    now_ms: u64,
) -> Vec<BackendKey> {
    let among = |is_meant: &dyn Fn(&Backend) -> bool| {
        eligible_among(directory, input.service, excluded, now_ms, is_meant)
    };
    let Some(version) = input.version else {
        return among(&|_| true);
    };
    let mut keys = among(&|b| b.entry.phase == Phase::Decode && b.version() == version);
    keys.extend(among(&|b| b.entry.phase == Phase::Prefill));
    keys
}

/// As [`eligible`], among the backends for which `is_meant` is true.
fn eligible_among(
    directory: &Directory,
    service: &str,
    excluded: &[BackendKey],
    now_ms: u64,
    is_meant: impl Fn(&Backend) -> bool,
) -> Vec<BackendKey> {
    let mut usable = directory.usable_among(service, now_ms, is_meant);
    usable.retain(|key| !excluded.contains(key));
    let is_avoided = |key: &BackendKey| {
        let backend = directory.get(*key);
        backend.health.is_avoided(now_ms) || backend.is_unavailable(now_ms)
    };
    let healthy: Vec<_> = usable.iter().copied().filter(|k| !is_avoided(k)).collect();
    if healthy.is_empty() { usable } else { healthy }
}

/// Returns a rank of a backend by rendezvous hashing.
fn rendezvous(directory: &Directory, key: BackendKey, hash: u64) -> u64 {
    hash_of((hash, &*directory.get(key).target.id))
}
