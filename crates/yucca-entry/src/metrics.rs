//! Metrics of a host.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use yuccacove::connection_budget::CloseReason;
use yuccacove::memory_budget::Purpose;
use yuccacove::rank::Rank;

use crate::host::Host;

/// Upper bounds of the histogram buckets, with the targets of 61 ms and 1.5 s among them.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.04, 0.061, 0.1, 0.2, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0, 60.0,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EntryCode {
    entry: String,
    /// Number of the result code, 0 for complete responses, or `cancelled`.
    code: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByRank {
    rank: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByServiceAndRank {
    service: String,
    rank: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByBackend {
    backend: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: String,
}

/// Counters and histograms that requests update.
#[derive(Debug)]
pub struct Metrics {
    requests: Family<EntryCode, Counter>,
    first_token_s: HistogramByRank,
    between_tokens_s: HistogramByRank,
    faults: Family<ByKind, Counter>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByReason {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByPurpose {
    purpose: &'static str,
}

type HistogramByRank = Family<ByRank, Histogram, fn() -> Histogram>;

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

fn label(rank: Rank) -> ByRank {
    ByRank { rank: rank.name() }
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            first_token_s: Family::new_with_constructor(histogram),
            between_tokens_s: Family::new_with_constructor(histogram),
            faults: Family::default(),
        }
    }
}

impl Metrics {
    /// Counts the end of a request of `entry` with the number of its result code, 0 for a complete
    /// response, or `cancelled`.
    pub fn record_request_end(&self, entry: &str, code: &str) {
        let labels = EntryCode {
            entry: entry.to_owned(),
            code: code.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a fault of a backend.
    pub fn record_fault(&self, kind: &str) {
        let labels = ByKind {
            kind: kind.to_owned(),
        };
        self.faults.get_or_create(&labels).inc();
    }

    /// Records the time to a request's first token.
    pub fn record_first_token(&self, rank: Rank, seconds: f64) {
        self.first_token_s
            .get_or_create(&label(rank))
            .observe(seconds);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, rank: Rank, seconds: f64) {
        self.between_tokens_s
            .get_or_create(&label(rank))
            .observe(seconds);
    }
}

/// All metrics of `host` in the `OpenMetrics` text format.
pub fn render(host: &Arc<Host>) -> String {
    let mut registry = Registry::with_prefix("yucca_entry");
    let metrics = &host.metrics;
    registry.register(
        "requests",
        "Ended requests by entry and result code, 0 for whole answers",
        metrics.requests.clone(),
    );
    registry.register(
        "backend_faults",
        "Failed attempts by kind of fault",
        metrics.faults.clone(),
    );
    registry.register_with_unit(
        "first_token",
        "Time to the first token by rank",
        Unit::Seconds,
        metrics.first_token_s.clone(),
    );
    registry.register_with_unit(
        "between_tokens",
        "Time between two tokens by rank",
        Unit::Seconds,
        metrics.between_tokens_s.clone(),
    );
    let in_flight = Family::<ByBackend, Gauge>::default();
    for (backend, count) in host.backends.in_flight() {
        in_flight
            .get_or_create(&ByBackend { backend })
            .set(as_gauge(count as u64));
    }
    registry.register("in_flight", "Requests of this host by back end", in_flight);
    let gauge = |value: u64| {
        let gauge: Gauge = Gauge::default();
        gauge.set(as_gauge(value));
        gauge
    };
    registry.register(
        "store_up",
        "1 while the object API answers",
        gauge(u64::from(!host.connectivity.is_store_unavailable())),
    );
    let catalogue = host.catalogue.snapshot();
    let objects = catalogue.iter().filter(|(_, _, o)| o.is_some()).count();
    let version = catalogue.iter().map(|(_, v, _)| v).max().unwrap_or(0);
    registry.register(
        "catalogue_objects",
        "Catalogue objects in force",
        gauge(objects as u64),
    );
    registry.register(
        "catalogue_version",
        "Highest version of a catalogue object in force",
        gauge(version),
    );
    registry.register(
        "members_live",
        "Live entry hosts, this one included",
        gauge(host.peers.live().len() as u64),
    );
    registry.register(
        "takes_work",
        "1 while the object API or a peer answers",
        gauge(u64::from(host.connectivity.state().takes_work())),
    );
    let queued = Family::<ByServiceAndRank, Gauge>::default();
    for (service, waiting, _) in host.admission.load() {
        for (rank, count) in Rank::ALL.into_iter().zip(waiting) {
            let service = service.clone();
            let rank = rank.name();
            queued
                .get_or_create(&ByServiceAndRank { service, rank })
                .set(as_gauge(count as u64));
        }
    }
    registry.register("queue", "Requests that wait for a slot", queued);
    registry.register(
        "claims_open",
        "Non-repeatable calls that have not ended",
        gauge(host.attempts.len() as u64),
    );
    register_connections(&mut registry, host);
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => text,
        Err(e) => format!("# {e}\n"),
    }
}

/// Registers the open connections of callers, what was closed and refused, and the memory in use.
fn register_connections(registry: &mut Registry, host: &Host) {
    let gauge = |value: usize| {
        let gauge: Gauge = Gauge::default();
        gauge.set(as_gauge(value as u64));
        gauge
    };
    let counter = |value: u64| {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        counter
    };
    let reserved = Family::<ByPurpose, Gauge>::default();
    for purpose in Purpose::ALL {
        let label = ByPurpose {
            purpose: purpose.name(),
        };
        let bytes = host.memory.used_for(purpose);
        reserved.get_or_create(&label).set(as_gauge(bytes as u64));
    }
    registry.register_with_unit(
        "reserved_memory",
        "Memory reserved for bodies and connections",
        Unit::Bytes,
        reserved,
    );
    registry.register_with_unit(
        "memory_limit",
        "Memory that the process may use",
        Unit::Bytes,
        gauge(host.limits.memory_bytes),
    );
    let closed = host.connections.closed();
    let by_reason = Family::<ByReason, Counter>::default();
    for reason in CloseReason::ALL {
        let label = ByReason {
            reason: reason.name(),
        };
        by_reason.get_or_create(&label).inc_by(closed.count(reason));
    }
    registry.register(
        "closed_connections",
        "Connections of callers closed by this host, by reason",
        by_reason,
    );
    registry.register(
        "caller_connections",
        "Open connections of callers",
        gauge(host.connections.count()),
    );
    registry.register(
        "refused_connections",
        "Connections of callers that were not accepted",
        counter(closed.refused()),
    );
    registry.register(
        "refused_bodies",
        "Requests refused for their body or for lack of memory",
        counter(closed.refused_bodies()),
    );
}

fn as_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
