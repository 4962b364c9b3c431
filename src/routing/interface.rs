//! What routing takes and gives: policies, engines, requests, decisions and work in flight.

use std::str::FromStr;

use crate::catalogue::{Admin, Role};
use crate::cost::BusyTime;
use crate::prefix::PrefixHash;

use super::rate::Rate;

/// How an engine is chosen for a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Expected wait from in-flight work, aged reports, cached prefixes and zone latency.
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

/// Index of an engine in a [`Router`]; it never denotes a later engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EngineKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}

/// What the catalogue and an engine's own report say of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Service that the engine belongs to.
    pub service: String,
    /// Model that it holds.
    pub model: String,
    /// Version of the model that it holds.
    pub version: String,
    /// Role that it plays.
    pub role: Role,
    /// Operators' state.
    pub admin: Admin,
    /// Whether the engine is in the middle of a change.
    pub changing: bool,
    /// Availability zone.
    pub zone: String,
}

impl EngineState {
    /// An active engine of the mixed role.
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
    /// Number that changes when the engine restarts.
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
    /// Request id, which spreads equal requests over equally good engines.
    pub request_id: &'a str,
    /// Words of the prompt.
    pub prompt_tokens: u32,
    /// Expected output tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [PrefixHash],
    /// Engines that must not be chosen: those that already failed the request or run a suspect.
    pub exclude: &'a [EngineKey],
}

/// Score of an engine with its parts; all times are estimates in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineKey,
    /// Sum by which engines are compared.
    pub score_ms: f64,
    /// Work ahead of the request, own and others'.
    pub queue_ms: f64,
    /// Prefill after the cached prefix.
    pub prefill_ms: f64,
    /// Own decode work, weighted as in the queue.
    pub decode_ms: f64,
    /// Round trip to the engine's zone.
    pub latency_ms: f64,
    /// Prompt tokens that are credited as cached.
    pub cached_tokens: u32,
}

/// The choice of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The chosen engine.
    pub engine: EngineKey,
    /// Expected wait for the first token.
    pub first_token_ms: f64,
    /// Prompt tokens that are credited as cached on the chosen engine.
    pub cached_tokens: u32,
    /// The chosen engine and the best others, at most [`MAX_CANDIDATES`], for the log line.
    pub candidates: Vec<Candidate>,
}

/// Work of this host in flight on an engine. It must be given back by [`Router::finished`].
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
    /// Full prefill, and the engine's rates at the time of the dispatch, by which it is charged.
    pub(super) prefill_at_start: f64,
    pub(super) prefill: Rate,
    pub(super) decode: Rate,
}

impl Dispatch {
    /// The engine that runs the work.
    pub fn engine(&self) -> EngineKey {
        self.engine
    }

    /// Time of the dispatch.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Engine-seconds of the part that has run. Without a first token, the prefill has taken at most
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

/// Costs of a transfer of KV cache between two engines.
#[derive(Debug, Clone, Copy)]
pub struct TransferCost {
    /// Size of the KV cache of a token.
    pub bytes_per_token: f64,
    /// Transfer rate between two engines.
    pub bytes_per_s: f64,
    /// Time that a transfer takes in addition.
    pub overhead_ms: f64,
}

/// An import of a prefix's KV cache that pays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Import {
    /// Engine that exports.
    pub from: EngineKey,
    /// Prefix to be exported and imported.
    pub prefix: PrefixHash,
    /// Tokens in the prefix.
    pub tokens: u32,
    /// Expected duration of the transfer.
    pub transfer_ms: f64,
    /// Expected prefill time that the import replaces.
    pub saved_ms: f64,
}
