//! Role changes in one pool: reads the demand measured by entry hosts and applies the roles policy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::resume_unwind;
use std::thread;

use serde::Deserialize;
use yucca_io::clock::boot_ms;
use yucca_io::http_client::HttpClient;
use yuccacove::catalogue::Role;
use yuccacove::event::Event;
use yuccacove::roles::{
    Demand, DemandEstimate, Plan, PlanInput, PoolEngine, RolesPolicy, candidates, plan,
    plan_by_threshold,
};

use crate::daemon::Config;
use crate::engine_monitor::EngineMonitor;
use crate::fleet_view::StoredEngine;

/// Contribution of each entry host to the interval between two readings of the demand. With up to
/// 360 hosts, the lease holder thus makes at most forty calls per second, of about 400 bytes each,
/// which is near the 10 KB/s that control traffic may use on a host.
const READ_MS_PER_HOST: u64 = 25;
/// Minimum and maximum interval between two readings. The maximum is less than 10 s, because the
/// planner ignores demand that is older.
const READ_RANGE_MS: (u64, u64) = (1_000, 9_000);
/// Maximum number of hosts read concurrently.
const MAX_CONCURRENT_READS: usize = 32;
/// Estimated time from an order until the engine reports its new role, without the drain. Engines
/// need a few seconds; the planner's margin of gain over cost covers deviations from this estimate.
const ROLE_CHANGE_MS: u64 = 3_000;

#[derive(Debug, Clone, Default, Deserialize)]
struct ServiceTotals {
    prefill_s: f64,
    decode_s: f64,
}

/// Response of an entry host to `GET /v1/demand`. Totals are counted since the start of its
/// process.
#[derive(Debug, Clone, Deserialize)]
struct HostTotals {
    incarnation: u64,
    services: HashMap<String, ServiceTotals>,
}

/// Totals of one host for the pool, and the time on this host's boot clock when they were read.
#[derive(Debug)]
struct Reading {
    incarnation: u64,
    totals: ServiceTotals,
    read_ms: u64,
}

/// Planner of role changes in one pool. It records the pool's demand from the time when this host
/// acquired the pool's lease.
#[derive(Debug)]
pub struct RolePlanner {
    holder_since_ms: u64,
    next_read_ms: u64,
    readings: HashMap<String, Reading>,
    estimate: DemandEstimate,
    /// Text of the last decision; empty if there is none.
    last_decision: String,
}

impl RolePlanner {
    /// Creates a planner for a host that acquired the lease at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            holder_since_ms: now_ms,
            next_read_ms: now_ms,
            readings: HashMap::new(),
            estimate: DemandEstimate::new(now_ms),
            last_decision: String::new(),
        }
    }

    /// Reads the totals of all hosts if a reading is due. Returns whether the estimate was updated.
    ///
    /// The estimate is updated only if the demand at more than half of the hosts is known. Callers
    /// of the other hosts retry through these hosts, so their demand is counted there.
    pub fn read_demand(
        &mut self,
        http: &HttpClient,
        hosts: &[(String, SocketAddr)],
        pool: &str,
    ) -> bool {
        let now_ms = boot_ms();
        if now_ms < self.next_read_ms {
            return false;
        }
        let (min_ms, max_ms) = READ_RANGE_MS;
        self.next_read_ms = now_ms + (hosts.len() as u64 * READ_MS_PER_HOST).clamp(min_ms, max_ms);
        let mut measured_hosts = 0;
        let mut demand = Demand::default();
        for batch in hosts.chunks(MAX_CONCURRENT_READS) {
            for (name, totals, read_ms) in fetch_totals(http, batch) {
                if let Some(host_demand) = self.record_reading(name, &totals, pool, read_ms) {
                    measured_hosts += 1;
                    demand.prefill += host_demand.prefill;
                    demand.decode += host_demand.decode;
                }
            }
        }
        let is_majority_known = measured_hosts * 2 > hosts.len();
        if is_majority_known {
            self.estimate.observe(demand, boot_ms());
        }
        is_majority_known
    }

    /// Records a reading of one host and returns the mean demand there since the previous reading.
    /// Returns `None` for the host's first reading and for the first one after a restart of its
    /// process.
    fn record_reading(
        &mut self,
        name: &str,
        host: &HostTotals,
        pool: &str,
        read_ms: u64,
    ) -> Option<Demand> {
        let reading = Reading {
            incarnation: host.incarnation,
            totals: host.services.get(pool).cloned().unwrap_or_default(),
            read_ms,
        };
        let (prefill_s, decode_s) = (reading.totals.prefill_s, reading.totals.decode_s);
        let last = self.readings.insert(name.to_owned(), reading)?;
        let elapsed_s = read_ms.saturating_sub(last.read_ms) as f64 / 1_000.0;
        if last.incarnation != host.incarnation || elapsed_s <= 0.0 {
            return None;
        }
        Some(Demand {
            prefill: (prefill_s - last.totals.prefill_s).max(0.0) / elapsed_s,
            decode: (decode_s - last.totals.decode_s).max(0.0) / elapsed_s,
        })
    }

    /// Returns the index in `engines` of the engine whose role is to change, and its new role, or
    /// `None` if no role is to change. `names` are the engines' names for the log line. A decision
    /// against any change is logged only if it differs from the previous decision.
    pub fn decide(
        &mut self,
        config: &Config,
        pool: &str,
        names: &[&str],
        engines: &[PoolEngine],
    ) -> Option<(usize, Role)> {
        let input = PlanInput {
            now_ms: boot_ms(),
            holder_since_ms: self.holder_since_ms,
            change_ms: config.drain_settle_ms + ROLE_CHANGE_MS,
        };
        let result = match config.roles {
            RolesPolicy::Planned => plan(engines, &self.estimate, input),
            RolesPolicy::Threshold => plan_by_threshold(engines, &self.estimate, input),
            RolesPolicy::Fixed => return None,
        };
        let (decision, change) = match result {
            Plan::Keep(reason, _) => (format!("keep reason={reason:?}"), None),
            Plan::Change(candidate) => {
                let (name, to) = (names[candidate.engine], candidate.to);
                let decision = format!("change engine={name} role={to:?}");
                (decision, Some((candidate.engine, to)))
            }
        };
        if change.is_some() || decision != self.last_decision {
            let scores: Vec<String> = candidates(engines, &self.estimate, input)
                .iter()
                .map(|c| {
                    let (name, from) = (names[c.engine], engines[c.engine].role);
                    let (to, gain_s, cost_s) = (c.to, c.gain_s, c.cost_s);
                    format!("{name}:{from:?}>{to:?},gain_s={gain_s:.2},cost_s={cost_s:.2}")
                })
                .collect();
            let mean = self.estimate.mean();
            let fields = format!(
                "pool={pool} policy={:?} verdict={decision} prefill={:.2} decode={:.2} stay_ms={} \
                 candidates=[{}]",
                config.roles,
                mean.prefill,
                mean.decode,
                self.estimate.expected_remaining_ms(input.now_ms),
                scores.join(" ")
            );
            yucca_io::log::write(Event::RolePlanned, &fields);
        }
        self.last_decision = decision;
        change
    }
}

/// Converts an engine to the planner's input. It counts as serving if it has no open intent and its
/// last report says that it is ready and in its desired role.
pub fn pool_engine(stored: &StoredEngine, monitor: Option<&EngineMonitor>) -> PoolEngine {
    let engine = &stored.engine;
    let report = monitor.and_then(|monitor| monitor.report.as_ref());
    let has_open_intent = engine.intent.as_ref().is_some_and(|i| !i.confirmed);
    PoolEngine {
        role: report.map_or(engine.role, |report| report.spec.role),
        is_serving: !has_open_intent
            && report.is_some_and(|r| r.ready && r.spec.role == engine.role),
        checks_fence: engine.checks_fence,
        busy_s: monitor.map_or(0.0, |monitor| monitor.busy_s),
    }
}

/// Reads the totals of `hosts` concurrently. Returns those of the hosts that respond, with the time
/// of each response.
fn fetch_totals<'a>(
    http: &HttpClient,
    hosts: &'a [(String, SocketAddr)],
) -> Vec<(&'a str, HostTotals, u64)> {
    let fetch = |address: SocketAddr| {
        let (status, body) = http.get(address, "/v1/demand").ok()?;
        let totals = (status == 200).then(|| serde_json::from_str(&body).ok())??;
        Some((totals, boot_ms()))
    };
    thread::scope(|scope| {
        let fetch = &fetch;
        let threads: Vec<_> = hosts
            .iter()
            .map(|(name, address)| (name, scope.spawn(move || fetch(*address))))
            .collect();
        threads
            .into_iter()
            .filter_map(|(name, thread)| {
                let response = thread.join().unwrap_or_else(|e| resume_unwind(e));
                response.map(|(totals, read_ms)| (name.as_str(), totals, read_ms))
            })
            .collect()
    })
}
