//! Role changes of one pool: the demand that entry hosts count, and the decision by the policy.

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
use crate::engine_watch::EngineWatch;
use crate::fleet_view::KnownEngine;

/// Share of each host in the time between two readings of the demand: forty calls of about 400
/// bytes a second keep the holder near the 10 KB/s that control may cost a host.
const READ_MS_PER_HOST: u64 = 25;
/// Bounds of the time between two readings; nothing is planned on demand older than 10 s.
const READ_RANGE_MS: (u64, u64) = (1_000, 9_000);
/// Hosts that are asked at the same time.
const MAX_READS: usize = 32;
/// Time from the order to the engine's report of the new role, without the drain. Engines need a
/// few seconds; the planner's margin of gain over cost covers the difference.
const ORDER_MS: u64 = 3_000;

#[derive(Debug, Clone, Default, Deserialize)]
struct ServiceTotals {
    prefill_s: f64,
    decode_s: f64,
}

/// Answer of `GET /v1/demand`.
#[derive(Debug, Clone, Deserialize)]
struct HostTotals {
    incarnation: u64,
    services: HashMap<String, ServiceTotals>,
}

#[derive(Debug)]
struct Reading {
    incarnation: u64,
    totals: ServiceTotals,
    read_ms: u64,
}

/// What the holder of a pool's lease knows of the pool's demand.
#[derive(Debug)]
pub struct RolePlanner {
    since_ms: u64,
    next_read_ms: u64,
    readings: HashMap<String, Reading>,
    estimate: DemandEstimate,
    last_verdict: String,
}

impl RolePlanner {
    /// A planner of a holder that took the lease now.
    pub fn open(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            next_read_ms: now_ms,
            readings: HashMap::new(),
            estimate: DemandEstimate::new(now_ms),
            last_verdict: String::new(),
        }
    }

    /// Asks all hosts for their totals when it is time to; whether the estimate was updated. The
    /// demand is unknown unless more than half of the hosts answer; callers of the others repeat
    /// through those that do.
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
        let mut known = 0;
        let mut demand = Demand::default();
        for hosts in hosts.chunks(MAX_READS) {
            for (name, totals, read_ms) in ask(http, hosts) {
                if let Some(part) = self.take(name, &totals, pool, read_ms) {
                    known += 1;
                    demand.prefill += part.prefill;
                    demand.decode += part.decode;
                }
            }
        }
        let is_known = known * 2 > hosts.len();
        if is_known {
            self.estimate.observe(demand, boot_ms());
        }
        is_known
    }

    /// Demand at one host since its last reading; `None` for a first reading after a start.
    fn take(&mut self, name: &str, host: &HostTotals, pool: &str, read_ms: u64) -> Option<Demand> {
        let reading = Reading {
            incarnation: host.incarnation,
            totals: host.services.get(pool).cloned().unwrap_or_default(),
            read_ms,
        };
        let (prefill_s, decode_s) = (reading.totals.prefill_s, reading.totals.decode_s);
        let last = self.readings.insert(name.to_owned(), reading)?;
        let passed_s = read_ms.saturating_sub(last.read_ms) as f64 / 1_000.0;
        if last.incarnation != host.incarnation || passed_s <= 0.0 {
            return None;
        }
        Some(Demand {
            prefill: (prefill_s - last.totals.prefill_s).max(0.0) / passed_s,
            decode: (decode_s - last.totals.decode_s).max(0.0) / passed_s,
        })
    }

    /// The engine to change, as position in `engines`, and its new role. `names` are the engines'
    /// names for the log line, which is left out while the verdict stays the same.
    pub fn decide(
        &mut self,
        config: &Config,
        pool: &str,
        names: &[&str],
        engines: &[PoolEngine],
    ) -> Option<(usize, Role)> {
        let input = PlanInput {
            now_ms: boot_ms(),
            holder_since_ms: self.since_ms,
            change_ms: config.drain_settle_ms + ORDER_MS,
        };
        let result = match config.roles {
            RolesPolicy::Planned => plan(engines, &self.estimate, input),
            RolesPolicy::Threshold => plan_by_threshold(engines, &self.estimate, input),
            RolesPolicy::Fixed => return None,
        };
        let (verdict, change) = match result {
            Plan::Keep(reason, _) => (format!("keep reason={reason:?}"), None),
            Plan::Change(candidate) => {
                let (name, to) = (names[candidate.engine], candidate.to);
                let verdict = format!("change engine={name} role={to:?}");
                (verdict, Some((candidate.engine, to)))
            }
        };
        if change.is_some() || verdict != self.last_verdict {
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
                "pool={pool} policy={:?} verdict={verdict} prefill={:.2} decode={:.2} stay_ms={} \
                 candidates=[{}]",
                config.roles,
                mean.prefill,
                mean.decode,
                self.estimate.expected_stay_ms(input.now_ms),
                scores.join(" ")
            );
            yucca_io::log::write(Event::RolePlanned, &fields);
        }
        self.last_verdict = verdict;
        change
    }
}

/// An engine as the planner sees it. It serves unless it is away, or is about to be.
pub fn pool_engine(known: &KnownEngine, watch: Option<&EngineWatch>) -> PoolEngine {
    let engine = &known.engine;
    let report = watch.and_then(|watch| watch.report.as_ref());
    let is_open = engine.intent.as_ref().is_some_and(|i| !i.confirmed);
    PoolEngine {
        role: report.map_or(engine.role, |report| report.spec.role),
        is_serving: !is_open && report.is_some_and(|r| r.ready && r.spec.role == engine.role),
        checks_fence: engine.checks_fence,
        busy_s: watch.map_or(0.0, |watch| watch.busy_s),
    }
}

/// Totals of the hosts that answer, with the time of each answer.
fn ask<'a>(
    http: &HttpClient,
    hosts: &'a [(String, SocketAddr)],
) -> Vec<(&'a str, HostTotals, u64)> {
    let ask = |address: SocketAddr| {
        let (status, body) = http.get(address, "/v1/demand").ok()?;
        let totals = (status == 200).then(|| serde_json::from_str(&body).ok())??;
        Some((totals, boot_ms()))
    };
    thread::scope(|scope| {
        let ask = &ask;
        let threads: Vec<_> = hosts
            .iter()
            .map(|(name, address)| (name, scope.spawn(move || ask(*address))))
            .collect();
        threads
            .into_iter()
            .filter_map(|(name, thread)| {
                let answer = thread.join().unwrap_or_else(|e| resume_unwind(e));
                answer.map(|(totals, read_ms)| (name.as_str(), totals, read_ms))
            })
            .collect()
    })
}
