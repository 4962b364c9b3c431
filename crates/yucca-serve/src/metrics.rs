//! Metrics of a host: counters and latency histograms.

use std::rc::Rc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use yuccacove::code::Code;

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
struct ByUrgency {
    urgency: u8,
}

type HistogramByUrgency = Family<ByUrgency, Histogram, fn() -> Histogram>;

/// Counters and histograms that are updated for each request.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Retries, that is attempts after the first one of a request.
    pub retries: Counter,
    /// Requests of this host under which a backend crashed.
    pub engine_crashes: Counter,
    /// Responses that are no answer to the request that was sent.
    pub invalid_responses: Counter,
    /// Requests and parts of prompts that are refused because they crashed backends.
    pub refused_parts: Gauge,
    /// Requests counted for usage reports.
    pub usage_counted: Counter,
    /// Time windows whose usage the control API has taken from this host.
    pub usage_reported: Counter,
    /// Those of them that were reported after they were due.
    pub usage_late: Counter,
    /// Reports of usage that this host, as the holder, has yet to get acknowledged.
    pub usage_pending: Gauge,
    /// Calls to the object store.
    pub store_calls: Rc<StoreCalls>,
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
            engine_crashes: Counter::default(),
            invalid_responses: Counter::default(),
            refused_parts: Gauge::default(),
            usage_counted: Counter::default(),
            usage_reported: Counter::default(),
            usage_late: Counter::default(),
            usage_pending: Gauge::default(),
            store_calls: Rc::default(),
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
            "usage_counted",
            "Requests counted for usage reports",
            self.usage_counted.clone(),
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

fn observe(histograms: &HistogramByUrgency, urgency: u8, elapsed_ms: u64) {
    let label = ByUrgency { urgency };
    let seconds = elapsed_ms as f64 / 1_000.0;
    histograms.get_or_create(&label).observe(seconds);
}
