//! The active configuration: routes, services and limits for callers.

use indexmap::IndexMap;

use crate::organisations::Organisations;

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServingConfig {
    /// Version; a host never replaces its configuration by one with a lower version.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    /// Organisations that may send requests; without any, requests need no API key.
    pub organisations: Organisations,
}

impl ServingConfig {
    /// Returns the route of a request: of the routes for `host`, the one with the longest path
    /// prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the lowest urgency rank among the routes of a service that are streams, or among those
    /// that are not; `None` if it has none.
    pub fn most_urgent(&self, service: &str, is_stream: bool) -> Option<u8> {
        let routes = self.routes_of(service, is_stream);
        routes.map(|route| route.urgency).min()
    }

    /// Returns the shortest latency target among the routes of a service, of the given kind as in
    /// [`ServingConfig::most_urgent`], that are more urgent than `urgency`, or `None` if there is none
    /// with a target.
    pub fn urgent_target_ms(&self, service: &str, is_stream: bool, urgency: u8) -> Option<u64> {
        let routes = self.routes_of(service, is_stream);
        routes
            .filter(|route| route.urgency < urgency)
            .map(|route| route.target_ms)
            .filter(|target_ms| *target_ms > 0)
            .min()
    }

    fn routes_of(&self, service: &str, is_stream: bool) -> impl Iterator<Item = &Route> {
        self.routes
            .iter()
            .filter(move |route| matches!(route.kind, RouteKind::Stream { .. }) == is_stream)
            .filter(move |route| route.services.iter().any(|s| s.service == service))
    }
}

/// Kind of a route's requests. It determines whether a request may run more than once.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent; may run more than once.
    Idempotent,
    /// Runs at most once.
    #[default]
    AtMostOnce,
    /// Generates a stream of events.
    Stream {
        /// Whether another attempt may resume the stream after an event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request can be retried after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }
}

/// Maps the requests for a host and a path prefix to services.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name, for log lines.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Longest time from receipt of a request to the end of its reply.
    pub timeout_ms: u64,
    /// Target latency of a response, or of the first event of a stream; 0 for none.
    pub target_ms: u64,
    /// Target for the longest gap between two events of a stream; 0 for none.
    pub target_gap_ms: u64,
    /// Rank, 0 being the most urgent.
    pub urgency: u8,
    /// Services with their weights in the traffic split.
    pub services: Vec<WeightedService>,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// A service of a route with its weight in the traffic split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the other services of the route.
    pub weight: u32,
}

impl Route {
    /// Picks the service for a request by weight; `draw` is a number that is uniformly distributed
    /// over the requests. Returns `None` if the weights add up to 0.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = draw % total.max(1);
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if remaining < weight {
                return Some(&candidate.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// A group of interchangeable backends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Connections that one backend accepts from all hosts together.
    pub max_connections: u32,
    /// Specification of the engines if this is a model service; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// How many engines the host may order; `None` if their number is not the system's to choose.
    pub scaling: Option<ScalingSpec>,
}

/// Limits and prices for the number of engines of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of engines of an availability zone, of both kinds together.
    pub min_engines: u32,
    /// Maximum number of engines of an availability zone, of both kinds together.
    pub max_engines: u32,
    /// Time from an order until the new engines serve.
    pub boot_ms: u64,
    /// Price of a spot engine as a fraction of that of an ordinary one.
    pub spot_price: f64,
    /// Price of an ordinary engine for a second, by availability zone.
    pub zone_prices: IndexMap<String, f64>,
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_kv_bytes: u64,
    /// Time for which an engine keeps the KV cache of a remote prefill.
    pub handle_ttl_ms: u64,
    /// Time for which an engine is unavailable while it changes its phase.
    pub switch_ms: u64,
}

/// Limits on what a caller may send, and on the time it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection may be closed.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
