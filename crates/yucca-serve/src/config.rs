//! The configuration in force: routes, services and limits of callers.

use indexmap::IndexMap;

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServingConfig {
    /// Version; a host never goes back to a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

impl ServingConfig {
    /// The route of a request: of those with its host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Shortest target of the generations of a service that are more urgent than `urgency`.
    pub fn urgent_target_ms(&self, service: &str, urgency: u8) -> Option<u64> {
        let more_urgent = self.routes.iter().filter(|route| route.urgency < urgency);
        more_urgent
            .filter(|route| matches!(route.kind, RouteKind::Stream { .. }))
            .filter(|route| route.services.iter().any(|s| s.service == service))
            .map(|route| route.target_ms)
            .filter(|target_ms| *target_ms > 0)
            .min()
    }
}

/// What a route's requests are, which says how often one may run.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent; may run more than once.
    Idempotent,
    /// Runs at most once.
    #[default]
    AtMostOnce,
    /// Generates a stream of events.
    Stream {
        /// Whether another run may continue after an event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }
}

/// A route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most.
    pub target_ms: u64,
    /// Longest pause between two events of a stream.
    pub target_gap_ms: u64,
    /// Rank, 0 being the most urgent.
    pub urgency: u8,
    /// Services with their shares of the requests.
    pub services: Vec<WeightedService>,
    /// Most back ends to which one request is sent.
    pub max_attempts: u32,
}

/// A service of a route with its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the other services of the route.
    pub weight: u32,
}

impl Route {
    /// The service of a request; `draw` spreads the requests and may be any number.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut place = draw % total.max(1);
        for share in &self.services {
            let weight = u64::from(share.weight);
            if place < weight {
                return Some(&share.service);
            }
            place -= weight;
        }
        None
    }
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Connections that one back end accepts from all hosts together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Memory in tokens.
    pub kv_tokens: u64,
    /// KV cache of one token, in bytes.
    pub token_kv_bytes: u64,
    /// Time for which an engine keeps a prompt that it read for another engine.
    pub handle_ttl_ms: u64,
    /// Time for which a change of phase takes an engine away.
    pub switch_ms: u64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
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
