//! Metrics of a host: counters and latency histograms.

use std::rc::Rc;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use yuccacove::code::Code;
use yuccacove::connection_budget::CloseReason;
use yuccacove::memory_budget::Purpose;
use yuccacove::overload::Reason;

use crate::connections::Connections;
use crate::memory::Memory;
use crate::store_calls::StoreCalls;

/// Upper bounds of the histogram buckets, close to the usual targets for latency and for gaps
/// between events.
const BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCode {
    code: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByReason {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByUrgency {
    urgency: u8,
}

/// Engines of one kind of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByEngineKind {
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Kind of the engines.
    pub kind: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByPurpose {
    purpose: &'static str,
}

type HistogramByUrgency = Family<ByUrgency, Histogram, fn() -> Histogram>;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BySpeed {
    phase: &'static str,
    statistic: &'static str,
}

/// Learned speeds of the engines, over all of them: a label for each would be too many.
#[derive(Debug, Default)]
pub struct EngineSpeeds {
    speed: Family<BySpeed, Gauge<f64, AtomicU64>>,
    latency_s: Gauge<f64, AtomicU64>,
}

impl EngineSpeeds {
    /// Sets the prefill speeds, relative to the published one, and the latency of remote prefills.
    pub fn set_prefill(&self, speeds: &mut [f64], latency_ms: f64) {
        self.set("prefill", speeds);
        self.latency_s.set(latency_ms / 1_000.0);
    }

    /// Sets the decode speeds, relative to the published one.
    pub fn set_decode(&self, speeds: &mut [f64]) {
        self.set("decode", speeds);
    }

    fn set(&self, phase: &'static str, speeds: &mut [f64]) {
        if speeds.is_empty() {
            return;
        }
        speeds.sort_by(f64::total_cmp);
        let statistics = [
            ("min", speeds[0]),
            ("decile", speeds[speeds.len() / 10]),
            ("median", speeds[speeds.len() / 2]),
        ];
        for (statistic, speed) in statistics {
            let label = BySpeed { phase, statistic };
            self.speed.get_or_create(&label).set(speed);
        }
    }
}

/// Counters and histograms that are updated for each request.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Retries, that is attempts after the first one of a request.
    pub retries: Counter,
    /// Calls to backends through other hosts.
    pub proxied_calls: Counter,
    /// Tunnels of other hosts through this one.
    pub taken_tunnels: Counter,
    /// Requests of this host under which a backend crashed.
    pub engine_crashes: Counter,
    /// Responses that are no answer to the request that was sent.
    pub invalid_responses: Counter,
    /// Requests and parts of prompts that are refused because they crashed backends.
    pub refused_parts: Gauge,
    /// Engines that serve, on the host that orders engines.
    pub serving_engines: Family<ByEngineKind, Gauge>,
    /// Number of engines that this host ordered last.
    pub ordered_engines: Family<ByEngineKind, Gauge>,
    /// Orders for engines that were refused.
    pub refused_engine_orders: Family<ByEngineKind, Counter>,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Connections of callers that were not accepted.
    pub refused_connections: Counter,
    /// Connections to the readiness and metrics ports that were closed to keep their limit.
    pub closed_operator_connections: Counter,
    /// Requests counted for usage reports.
    pub usage_counted: Counter,
    /// Counted requests whose time window is not known.
    pub usage_dropped: Counter,
    /// Time windows whose usage the control API has taken from this host.
    pub usage_reported: Counter,
    /// Those of them that were reported after they were due.
    pub usage_late: Counter,
    /// Reports of usage that this host, as the holder, has yet to get acknowledged.
    pub usage_pending: Gauge,
    /// Calls to the object store.
    pub store_calls: Rc<StoreCalls>,
    /// Entries in the store that name no backend, counted each time that the store returns one.
    pub unusable_entries: Counter,
    /// Organisations over their share of the service that was decided about last.
    pub organisations_over: Gauge,
    /// Questions of operators about placements that were answered.
    pub explanations: Counter,
    /// Those that were refused because there were too many.
    pub refused_explanations: Counter,
    held: Family<ByReason, Counter>,
    overload_refused: Family<ByReason, Counter>,
    closed_connections: Family<ByReason, Counter>,
    memory: Family<ByPurpose, Gauge>,
    unreserved_memory: Gauge,
    /// Learned speeds of the engines.
    pub engine_speeds: EngineSpeeds,
    refused: Family<ByCode, Counter>,
    failed: Family<ByCode, Counter>,
    response_s: HistogramByUrgency,
    first_event_s: HistogramByUrgency,
    max_gap_s: HistogramByUrgency,
}

impl Default for Metrics {
    fn default() -> Self {
        let histograms = || HistogramByUrgency::new_with_constructor(histogram);
        Self {
            requests: Counter::default(),
            retries: Counter::default(),
            proxied_calls: Counter::default(),
            taken_tunnels: Counter::default(),
            engine_crashes: Counter::default(),
            invalid_responses: Counter::default(),
            refused_parts: Gauge::default(),
            serving_engines: Family::default(),
            ordered_engines: Family::default(),
            refused_engine_orders: Family::default(),
            connections: Gauge::default(),
            refused_connections: Counter::default(),
            closed_operator_connections: Counter::default(),
            closed_connections: Family::default(),
            memory: Family::default(),
            unreserved_memory: Gauge::default(),
            usage_counted: Counter::default(),
            usage_dropped: Counter::default(),
            usage_reported: Counter::default(),
            usage_late: Counter::default(),
            usage_pending: Gauge::default(),
            store_calls: Rc::default(),
            unusable_entries: Counter::default(),
            organisations_over: Gauge::default(),
            explanations: Counter::default(),
            refused_explanations: Counter::default(),
            held: Family::default(),
            overload_refused: Family::default(),
            engine_speeds: EngineSpeeds::default(),
            refused: Family::default(),
            failed: Family::default(),
            response_s: histograms(),
            first_event_s: histograms(),
            max_gap_s: histograms(),
        }
    }
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

impl Metrics {
    /// Counts a request that was refused without being run by a backend.
    pub fn record_refusal(&self, code: Code) {
        let label = ByCode {
            code: code.number(),
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Counts a request that is held.
    pub fn record_hold(&self, reason: Reason) {
        let reason = reason.name();
        self.held.get_or_create(&ByReason { reason }).inc();
    }

    /// Counts a request that is refused for overload, in addition to [`Metrics::record_refusal`].
    pub fn record_overload(&self, reason: Reason) {
        let reason = reason.name();
        let refused = &self.overload_refused;
        refused.get_or_create(&ByReason { reason }).inc();
    }

    /// Records the open connections of callers, why others were closed, and the memory in use.
    pub fn record_connections(&self, connections: &Connections, memory: &Memory) {
        let as_gauge = |value| i64::try_from(value).unwrap_or(i64::MAX);
        self.connections.set(as_gauge(connections.count()));
        let closed = connections.closed();
        raise_to(&self.refused_connections, closed.refused());
        for reason in CloseReason::ALL {
            let label = ByReason {
                reason: reason.name(),
            };
            let counter = self.closed_connections.get_or_create(&label);
            raise_to(&counter, closed.count(reason));
        }
        for purpose in Purpose::ALL {
            let label = ByPurpose {
                purpose: purpose.name(),
            };
            let gauge = self.memory.get_or_create(&label);
            gauge.set(as_gauge(memory.used_for(purpose)));
        }
        let unreserved_bytes = memory.unreserved_bytes();
        self.unreserved_memory.set(as_gauge(unreserved_bytes));
    }

    /// Counts a request that may have run and got no complete response.
    pub fn record_failure(&self, code: Code) {
        let label = ByCode {
            code: code.number(),
        };
        self.failed.get_or_create(&label).inc();
    }

    /// Records the latency of a complete response of a plain service.
    pub fn record_response(&self, urgency: u8, elapsed_ms: u64) {
        observe(&self.response_s, urgency, elapsed_ms);
    }

    /// Records the time to the first event and the longest gap of a complete stream.
    pub fn record_stream(&self, urgency: u8, first_event_ms: u64, max_gap_ms: u64) {
        observe(&self.first_event_s, urgency, first_event_ms);
        observe(&self.max_gap_s, urgency, max_gap_ms);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("yucca");
        registry.register("requests", "Requests received", self.requests.clone());
        registry.register("retries", "Second sends to back ends", self.retries.clone());
        registry.register(
            "proxied_calls",
            "Calls to back ends through other hosts",
            self.proxied_calls.clone(),
        );
        registry.register(
            "taken_tunnels",
            "Connections of other hosts to back ends through this one",
            self.taken_tunnels.clone(),
        );
        registry.register(
            "engine_crashes",
            "Requests under which a back end crashed",
            self.engine_crashes.clone(),
        );
        registry.register(
            "invalid_responses",
            "Responses of back ends that are no answer to the request",
            self.invalid_responses.clone(),
        );
        registry.register(
            "refused_parts",
            "Requests and parts of prompts that are refused because they crashed back ends",
            self.refused_parts.clone(),
        );
        registry.register(
            "serving_engines",
            "Engines that serve, on the host that orders engines",
            self.serving_engines.clone(),
        );
        registry.register(
            "ordered_engines",
            "Number of engines that this host ordered last",
            self.ordered_engines.clone(),
        );
        registry.register(
            "refused_engine_orders",
            "Orders for engines that were refused",
            self.refused_engine_orders.clone(),
        );
        registry.register(
            "explanations",
            "Questions of operators about placements that were answered",
            self.explanations.clone(),
        );
        registry.register(
            "refused_explanations",
            "Questions of operators about placements that were refused, as too many",
            self.refused_explanations.clone(),
        );
        registry.register(
            "usage_counted",
            "Requests counted for usage reports",
            self.usage_counted.clone(),
        );
        registry.register(
            "usage_dropped",
            "Counted requests whose time window is not known",
            self.usage_dropped.clone(),
        );
        registry.register(
            "usage_reported",
            "Time windows reported by this host",
            self.usage_reported.clone(),
        );
        registry.register(
            "usage_late",
            "Time windows reported after they were due",
            self.usage_late.clone(),
        );
        registry.register(
            "usage_pending",
            "Reports of usage that are not acknowledged",
            self.usage_pending.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the object store",
            self.store_calls.total.clone(),
        );
        registry.register(
            "unusable_entries",
            "Entries read from the object store that name no back end",
            self.unusable_entries.clone(),
        );
        registry.register(
            "stalled_listings",
            "Listings of the object store that got no further, by kind of objects",
            self.store_calls.stalled_listings.clone(),
        );
        registry.register(
            "organisations_over_share",
            "Organisations that had more than their fair share admitted",
            self.organisations_over.clone(),
        );
        registry.register(
            "held",
            "Requests that waited in the host for engines, by reason",
            self.held.clone(),
        );
        registry.register(
            "overload_refused",
            "Requests that were refused for overload, by reason",
            self.overload_refused.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.connections.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections of callers that were not accepted",
            self.refused_connections.clone(),
        );
        registry.register(
            "closed_connections",
            "Connections of callers that were closed to keep the limits",
            self.closed_connections.clone(),
        );
        registry.register(
            "closed_operator_connections",
            "Connections to the readiness and metrics ports that were closed to keep their limit",
            self.closed_operator_connections.clone(),
        );
        registry.register_with_unit(
            "reserved_memory",
            "Memory reserved for bodies and connections",
            Unit::Bytes,
            self.memory.clone(),
        );
        registry.register_with_unit(
            "unreserved_memory",
            "Resident memory beyond the reserved memory",
            Unit::Bytes,
            self.unreserved_memory.clone(),
        );
        registry.register(
            "engine_speed",
            "Learned speeds of engines, relative to the published one",
            self.engine_speeds.speed.clone(),
        );
        registry.register_with_unit(
            "prefill_latency",
            "Latency of remote prefills that does not depend on their work",
            Unit::Seconds,
            self.engine_speeds.latency_s.clone(),
        );
        registry.register("refused", "Requests that did not run", self.refused.clone());
        registry.register(
            "failed",
            "Requests without a whole answer that may have run",
            self.failed.clone(),
        );
        let histograms = [
            (
                "answer",
                "Whole answers of plain services",
                &self.response_s,
            ),
            (
                "first_event",
                "First events of streams",
                &self.first_event_s,
            ),
            (
                "longest_pause",
                "Longest pauses of streams",
                &self.max_gap_s,
            ),
        ];
        for (name, help, histogram) in histograms {
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise_to(counter: &Counter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn observe(histograms: &HistogramByUrgency, urgency: u8, elapsed_ms: u64) {
    let label = ByUrgency { urgency };
    let seconds = elapsed_ms as f64 / 1_000.0;
    histograms.get_or_create(&label).observe(seconds);
}
