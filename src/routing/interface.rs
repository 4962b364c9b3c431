//! Input and output types of routing: policies, engines, requests, decisions and dispatches.

use std::str::FromStr;

use crate::catalogue::{Admin, Role};
use crate::cost::BusyTime;
use crate::prefix::PrefixHash;

use super::rate::Rate;

/// Policy that chooses an engine for a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Lowest expected wait, estimated from work in flight, load reports weighted by age, cached
    /// prefixes and zone latency.
    #[default]
    Scored,
    /// Fewest requests in flight from this host.
    LeastInFlight,
    /// Each engine in turn.
    RoundRobin,
}

impl FromStr for RoutingPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "scored" => Ok(Self::Scored),
            "least_in_flight" => Ok(Self::LeastInFlight),
            "round_robin" => Ok(Self::RoundRobin),
            _ => Err(()),
        }
    }
}

/// Key of an engine in a [`Router`](super::Router). The key of a removed engine is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EngineKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}

/// State of an engine, from the catalogue and the engine's own report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Service that the engine belongs to.
    pub service: String,
    /// Loaded model.
    pub model: String,
    /// Version of the loaded model.
    pub version: String,
    /// Current role.
    pub role: Role,
    /// Administrative state that the operators set.
    pub admin: Admin,
    /// Whether a change of the engine is in progress.
    pub changing: bool,
    /// Availability zone.
    pub zone: String,
}

impl EngineState {
    /// Creates the state of an active engine with the mixed role.
    pub fn new(service: &str, model: &str, version: &str, zone: &str) -> Self {
        Self {
            service: service.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
            role: Role::Mixed,
            admin: Admin::Active,
            changing: false,
            zone: zone.to_owned(),
        }
    }
}

/// An engine's load as it reports it, of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Age of the figures when they were received.
    pub age_ms: u64,
    /// Requests in the batch and waiting.
    pub requests: u32,
    /// Prompt tokens still to be processed.
    pub prefill_backlog_tokens: u64,
    /// Output tokens still to be generated.
    pub decode_backlog_tokens: u64,
    /// Number that changes each time the engine restarts.
    pub incarnation: u64,
}

/// A chat request that needs an engine.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service of the request's entry.
    pub service: &'a str,
    /// Required model.
    pub model: &'a str,
    /// Required version.
    pub version: &'a str,
    /// Request id; spreads equal requests over equally good engines.
    pub request_id: &'a str,
    /// Number of prompt tokens, counted in words.
    pub prompt_tokens: u32,
    /// Expected output tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Engines that must not be chosen, because they already failed the request or run a suspect.
    pub exclude: &'a [EngineKey],
}

/// Score of an engine with its components; all times are estimates in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineKey,
    /// Total score; lower is better.
    pub score_ms: f64,
    /// Work ahead of the request, from this host and others.
    pub queue_ms: f64,
    /// Prefill of the request's tokens after the cached prefix.
    pub prefill_ms: f64,
    /// Decode of the request, weighted as in the queue.
    pub decode_ms: f64,
    /// Round-trip time to the engine's zone.
    pub latency_ms: f64,
    /// Prompt tokens that are expected to be cached.
    pub cached_tokens: u32,
}

/// Chosen engine, with the best candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Chosen engine.
    pub engine: EngineKey,
    /// Expected time to the first token in ms.
    pub first_token_ms: f64,
    /// Prompt tokens that are expected to be cached on the chosen engine.
    pub cached_tokens: u32,
    /// The chosen engine and the best of the others, at most
    /// [`MAX_CANDIDATES`](super::MAX_CANDIDATES), for the log line.
    pub candidates: Vec<Candidate>,
}

/// Request of this host in flight on an engine. It must be passed to
/// [`Router::finished`](super::Router::finished) when it ends.
#[derive(Debug)]
#[must_use]
pub struct Dispatch {
    pub(super) engine: EngineKey,
    pub(super) sent_ms: u64,
    pub(super) first_token_ms: Option<u64>,
    pub(super) prefill_tokens: f64,
    pub(super) decode_tokens: f64,
    pub(super) generated: u32,
    pub(super) requests_at_start: f64,
    /// Total prefill tokens. They are accounted at the engine's rates at the time of the dispatch.
    pub(super) prefill_at_start: f64,
    pub(super) prefill: Rate,
    pub(super) decode: Rate,
}

impl Dispatch {
    /// Returns the engine that runs the request.
    pub fn engine(&self) -> EngineKey {
        self.engine
    }

    /// Returns the time of the dispatch in ms.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Returns the engine-seconds used so far. Before the first token, prefill counts for at most
    /// the time since the dispatch.
    pub fn busy(&self, now_ms: u64) -> BusyTime {
        let mut prefill_ms = self.prefill_at_start * self.prefill.ms_per_token;
        if self.first_token_ms.is_none() {
            prefill_ms = prefill_ms.min(now_ms.saturating_sub(self.sent_ms) as f64);
        }
        BusyTime {
            prefill_s: prefill_ms / 1_000.0,
            decode_s: f64::from(self.generated) * self.decode.ms_per_token / 1_000.0,
        }
    }
}

/// Cost model of a KV cache transfer between two engines.
#[derive(Debug, Clone, Copy)]
pub struct TransferCost {
    /// Size of the KV cache of one token in bytes.
    pub bytes_per_token: f64,
    /// Transfer rate between two engines in bytes per second.
    pub bytes_per_s: f64,
    /// Fixed overhead of a transfer in ms.
    pub overhead_ms: f64,
}

/// Import of the KV cache of a prefix that is worth its cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Import {
    /// Engine that exports the KV cache.
    pub from: EngineKey,
    /// Prefix to be exported and imported.
    pub prefix: PrefixHash,
    /// Number of tokens in the prefix.
    pub tokens: u32,
    /// Expected duration of the transfer in ms.
    pub transfer_ms: f64,
    /// Expected prefill time in ms that the import saves.
    pub saved_ms: f64,
}
