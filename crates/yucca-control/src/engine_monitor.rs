//! State that the holder of a pool's lease keeps about one engine in addition to its object in the
//! store.

use yucca_io::http_client::{EngineReport, EngineState};
use yuccacove::catalogue::{Admin, EngineSpec, Intent};
use yuccacove::order::Report;
use yuccacove::placement::{Load, is_drained};
use yuccacove::roles::Demand;

/// Poll interval of an engine with an open intent.
const OPEN_INTENT_POLL_MS: u64 = 500;
/// Time until an engine that did not respond is polled again.
const FAILED_POLL_MS: u64 = 2_000;
/// Contribution of each engine of the pool to the poll interval while no intent is open. In a pool
/// of up to 300 engines, the lease holder thus makes at most ten such calls per second, of about
/// 600 bytes each, which is below the 10 KB/s that control traffic may use on a host.
const IDLE_POLL_MS_PER_ENGINE: u64 = 100;
/// Minimum and maximum poll interval while no intent is open.
const IDLE_POLL_RANGE_MS: (u64, u64) = (1_000, 30_000);

/// Report and order state of one engine since this host acquired the lease.
#[derive(Debug, Default)]
pub struct EngineMonitor {
    /// Last report; `None` if the last poll failed or there was none yet.
    pub report: Option<Report>,
    /// Load in the last report.
    pub load: Option<Load>,
    /// Backlog in the last report, in engine-seconds at the initial rates of routing; 0 before the
    /// first report.
    pub busy_s: f64,
    /// Time when this host last sent the engine an order.
    pub last_sent_ms: Option<u64>,
    /// Id of the open intent, and the time when this host first saw it.
    open_intent: Option<(String, u64)>,
    next_poll_ms: u64,
    /// Time when this host first saw that operators are draining the engine; `None` if they are
    /// not.
    drain_since_ms: Option<u64>,
    is_drain_finished: bool,
}

impl EngineMonitor {
    /// Updates the state from the intent in the engine's object. Returns the time when this host
    /// first saw the open intent, or `None` if no intent is open. A new open intent makes the next
    /// poll due at once.
    pub fn observe_intent(&mut self, intent: Option<&Intent>, now_ms: u64) -> Option<u64> {
        match intent.filter(|intent| !intent.confirmed) {
            None => self.open_intent = None,
            Some(intent)
                if self
                    .open_intent
                    .as_ref()
                    .is_some_and(|(id, _)| *id == intent.id) => {}
            Some(intent) => {
                self.open_intent = Some((intent.id.clone(), now_ms));
                self.next_poll_ms = now_ms;
            }
        }
        self.open_intent.as_ref().map(|(_, since_ms)| *since_ms)
    }

    /// Whether a drain by operators has left the engine without work. Returns true only once for
    /// each drain.
    pub fn check_drain_finished(&mut self, admin: Admin, settle_ms: u64, now_ms: u64) -> bool {
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

    /// Whether the engine's next poll is due.
    pub fn is_poll_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_poll_ms
    }

    /// Records the result of a poll that ended at `now_ms`; `report` is `None` if the poll failed.
    /// `engines` is the number of engines in the pool.
    pub fn record_poll(&mut self, report: Option<EngineReport>, now_ms: u64, engines: usize) {
        let Some(report) = report else {
            // The last report may no longer describe the engine's state.
            self.report = None;
            self.load = None;
            self.next_poll_ms = now_ms + FAILED_POLL_MS;
            return;
        };
        let (min_ms, max_ms) = IDLE_POLL_RANGE_MS;
        let engines = u64::try_from(engines).unwrap_or(u64::MAX);
        let idle_poll_ms = IDLE_POLL_MS_PER_ENGINE
            .saturating_mul(engines)
            .clamp(min_ms, max_ms);
        self.next_poll_ms = now_ms
            + if self.open_intent.is_some() {
                OPEN_INTENT_POLL_MS
            } else {
                idle_poll_ms
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
