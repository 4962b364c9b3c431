//! What the holder of a pool's lease knows about one engine beyond its object.

use yucca_io::http_client::{EngineReport, EngineState};
use yuccacove::catalogue::{Admin, EngineSpec, Intent};
use yuccacove::order::Report;
use yuccacove::placement::{Load, is_drained};
use yuccacove::roles::Demand;

/// Time between two reports of an engine with an open order.
const OPEN_POLL_MS: u64 = 500;
/// Time before an engine that did not answer is asked again.
const FAILED_POLL_MS: u64 = 2_000;
/// Share of each engine in the time between two reports at rest: ten calls of about 600 bytes a
/// second stay below the 10 KB/s that control may cost a host.
const REST_POLL_MS: u64 = 100;
/// Bounds of the time between two reports at rest.
const REST_POLL_RANGE_MS: (u64, u64) = (1_000, 30_000);

/// Report and order state of one engine since this host took the lease.
#[derive(Debug, Default)]
pub struct EngineWatch {
    /// The last report in the form that decisions take.
    pub report: Option<Report>,
    /// The load in the last report.
    pub load: Option<Load>,
    /// Work in the last report, in engine-seconds at the start rates of routing.
    pub busy_s: f64,
    /// When this host last sent the engine an order.
    pub last_sent_ms: Option<u64>,
    /// Intent that is open, and since when this host knows it.
    open: Option<(String, u64)>,
    next_poll_ms: u64,
    /// Since when this host knows that operators drain the engine.
    drain_since_ms: Option<u64>,
    is_drain_finished: bool,
}

impl EngineWatch {
    /// Notes the intent in the engine's object and returns since when it is known to be open.
    pub fn note_intent(&mut self, intent: Option<&Intent>, now_ms: u64) -> Option<u64> {
        match intent.filter(|intent| !intent.confirmed) {
            None => self.open = None,
            Some(intent) if self.open.as_ref().is_some_and(|(id, _)| *id == intent.id) => {}
            Some(intent) => {
                self.open = Some((intent.id.clone(), now_ms));
                self.next_poll_ms = now_ms;
            }
        }
        self.open.as_ref().map(|(_, since_ms)| *since_ms)
    }

    /// Whether the engine's drain has just left it without work; true once for each drain.
    pub fn ends_drain(&mut self, admin: Admin, settle_ms: u64, now_ms: u64) -> bool {
        if admin != Admin::Draining {
            self.drain_since_ms = None;
            self.is_drain_finished = false;
            return false;
        }
        let since_ms = *self.drain_since_ms.get_or_insert(now_ms);
        if self.is_drain_finished || !is_drained(since_ms, settle_ms, self.load) {
            return false;
        }
        self.is_drain_finished = true;
        true
    }

    /// Whether the engine is to be asked for a report.
    pub fn is_poll_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_poll_ms
    }

    /// Takes a report that arrived at `now_ms`, or its absence. `engines` is the size of the pool.
    pub fn take_report(&mut self, report: Option<EngineReport>, now_ms: u64, engines: usize) {
        let Some(report) = report else {
            // The last report no longer tells what the engine does.
            self.report = None;
            self.load = None;
            self.next_poll_ms = now_ms + FAILED_POLL_MS;
            return;
        };
        let (min_ms, max_ms) = REST_POLL_RANGE_MS;
        let engines = u64::try_from(engines).unwrap_or(u64::MAX);
        let rest_ms = REST_POLL_MS.saturating_mul(engines).clamp(min_ms, max_ms);
        self.next_poll_ms = now_ms
            + if self.open.is_some() {
                OPEN_POLL_MS
            } else {
                rest_ms
            };
        self.load = Some(Load {
            work: report.running + report.waiting,
            measured_ms: now_ms.saturating_sub(report.age_ms),
        });
        let prefill_tokens = report.prefill_backlog_tokens as f64;
        let work = Demand::of_tokens(prefill_tokens, report.decode_backlog_tokens as f64);
        self.busy_s = work.prefill + work.decode;
        self.report = Some(Report {
            spec: EngineSpec {
                model: report.model,
                version: report.version,
                role: report.role,
            },
            ready: report.state == EngineState::Ready,
            fence: report.fence,
            last_order: report.last_order.unwrap_or_default(),
        });
    }
}
