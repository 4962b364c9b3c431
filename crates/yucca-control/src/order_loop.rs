//! Loop that brings the engines of one pool to their desired state while this host holds the pool's
//! lease.

use std::collections::HashMap;
use std::panic::resume_unwind;
use std::sync::Arc;
use std::thread;

use serde_json::json;
use yucca_io::clock::boot_ms;
use yucca_io::http_client::{EngineReport, HttpClient, OrderReply};
use yucca_io::store::{Store, StoredObject};
use yucca_io::writer::{TOKEN_FIELD, new_token};
use yuccacove::catalogue::{Admin, Engine, EngineSpec};
use yuccacove::event::Event;
use yuccacove::lease::Authority;
use yuccacove::order::{self, Next, Order, View};
use yuccacove::placement::{Candidate, Decision, LoadBudget, choose, is_drained};
use yuccacove::roles::{PoolEngine, RolesPolicy};
use yuccacove::store::Write;

use crate::daemon::Shared;
use crate::engine_monitor::EngineMonitor;
use crate::fleet_view::{PoolView, StoredEngine};
use crate::lease_loop::PoolLease;
use crate::role_planner::{RolePlanner, pool_engine};

/// Maximum pause between two rounds of the loop.
const MAX_PAUSE_MS: u64 = 200;
/// Maximum number of engines polled concurrently.
const MAX_CONCURRENT_POLLS: usize = 32;

/// The order loop of one pool.
pub struct OrderLoop {
    shared: Arc<Shared>,
    lease: Arc<PoolLease>,
    store: Store,
    http: HttpClient,
}

/// State that a lease holder keeps from when it acquires the lease until it loses it.
struct HolderState {
    authority: Authority,
    engines: HashMap<String, EngineMonitor>,
    budget: LoadBudget,
    /// Store revision at which this host read the engines after it acquired the lease.
    read_revision: u64,
    /// Placement decision that was logged last; empty if there is none.
    last_decision: String,
    planner: RolePlanner,
}

impl OrderLoop {
    /// Creates the loop for the pool of `lease`.
    pub fn new(shared: &Arc<Shared>, lease: &Arc<PoolLease>) -> Self {
        Self {
            shared: Arc::clone(shared),
            lease: Arc::clone(lease),
            store: Store::new(shared.config.store),
            http: HttpClient::default(),
        }
    }

    /// Runs the loop until the process stops.
    pub fn run(&self) {
        let mut holder = None;
        while !self.shared.is_stopping() {
            let seen = self.shared.view.generation();
            match self.lease.authority() {
                None => holder = None,
                Some(authority) => {
                    if let Some(pool) = self.shared.view.pool(self.lease.pool()) {
                        let holder = self.holder_state(&mut holder, authority, &pool);
                        self.run_round(holder, &pool);
                    }
                }
            }
            self.shared.view.wait(seen, MAX_PAUSE_MS);
        }
    }

    fn holder_state<'a>(
        &self,
        holder: &'a mut Option<HolderState>,
        authority: Authority,
        pool: &PoolView,
    ) -> &'a mut HolderState {
        // State from an earlier epoch is discarded: another host may have held the lease since then
        // and sent orders.
        if holder.as_ref().is_some_and(|h| h.authority != authority) {
            *holder = None;
        }
        holder.get_or_insert_with(|| HolderState {
            authority,
            engines: HashMap::new(),
            budget: LoadBudget::new(
                self.shared.config.weight_loads_per_min,
                pool.model_pools,
                boot_ms(),
            ),
            read_revision: 0,
            last_decision: String::new(),
            planner: RolePlanner::new(boot_ms()),
        })
    }

    fn run_round(&self, holder: &mut HolderState, pool: &PoolView) {
        self.poll(holder, pool);
        let mut intent_writes = Vec::new();
        for stored in &pool.engines {
            let now_ms = boot_ms();
            let monitor = holder.engines.entry(stored.name.clone()).or_default();
            let open_since_ms = monitor.observe_intent(stored.engine.intent.as_ref(), now_ms);
            if monitor.check_drain_finished(
                stored.engine.admin,
                self.shared.config.drain_settle_ms,
                now_ms,
            ) {
                let fields = format!("backend={}", stored.name);
                yucca_io::log::write(Event::DrainFinished, &fields);
            }
            let desired = order::desired(&stored.engine, &pool.service);
            let view = View {
                engine: &stored.engine,
                version: stored.version,
                revision: pool.revision.max(holder.read_revision),
                desired: &desired,
                report: monitor.report.as_ref(),
                last_sent_ms: monitor.last_sent_ms,
            };
            let timing = &self.shared.config.order_timing;
            match order::next(view, holder.authority, timing, now_ms, new_token()) {
                Next::Write(write) if is_confirmed(&write) => self.confirm(stored, write),
                Next::Write(write) => intent_writes.push((stored, write)),
                Next::Send(order) => {
                    let settle_ms = self.shared.config.drain_settle_ms;
                    let since_ms = open_since_ms.unwrap_or(now_ms);
                    if is_drained(since_ms, settle_ms, monitor.load) {
                        self.send(stored, &order, monitor);
                    }
                }
                Next::Read => return self.read_engines(holder),
                Next::Superseded => {
                    let fields = format!("engine={} reason=superseded", stored.name);
                    yucca_io::log::write(Event::OrderRefused, &fields);
                    return self.read_engines(holder);
                }
                Next::Wait { .. } | Next::Settled => {}
            }
        }
        let may_plan_roles = intent_writes.is_empty();
        self.record_intent(holder, pool, intent_writes);
        // A plan starts from the engines' current roles, which intents that are yet to be recorded
        // may change.
        if may_plan_roles {
            self.plan_roles(holder, pool);
        }
    }

    /// Changes the role in one engine's object if the roles policy decides so. The next rounds
    /// order the change.
    fn plan_roles(&self, holder: &mut HolderState, pool: &PoolView) {
        let config = &self.shared.config;
        if config.roles == RolesPolicy::Fixed
            || !holder
                .planner
                .read_demand(&self.http, &config.entry_hosts, self.lease.pool())
        {
            return;
        }
        let engines: Vec<&StoredEngine> = pool
            .engines
            .iter()
            .filter(|stored| stored.engine.admin == Admin::Active)
            .collect();
        let pool_engines: Vec<PoolEngine> = engines
            .iter()
            .map(|stored| pool_engine(stored, holder.engines.get(&stored.name)))
            .collect();
        let names: Vec<&str> = engines.iter().map(|stored| stored.name.as_str()).collect();
        let change = holder
            .planner
            .decide(config, self.lease.pool(), &names, &pool_engines);
        let Some((index, role)) = change else {
            return;
        };
        let stored = engines[index];
        let write = Write {
            expected: stored.version,
            value: Engine {
                role,
                ..stored.engine.clone()
            },
        };
        if self.put(stored, &write) {
            self.shared.metrics.role_changes.inc();
        }
    }

    /// Requests status reports from the engines whose poll is due, but from at most
    /// [`MAX_CONCURRENT_POLLS`] engines in one round.
    fn poll(&self, holder: &mut HolderState, pool: &PoolView) {
        let now_ms = boot_ms();
        let is_due = |stored: &&StoredEngine| {
            let monitor = holder.engines.get(&stored.name);
            stored.engine.admin != Admin::Withdrawn && monitor.is_none_or(|m| m.is_poll_due(now_ms))
        };
        let due: Vec<&StoredEngine> = pool
            .engines
            .iter()
            .filter(is_due)
            .take(MAX_CONCURRENT_POLLS)
            .collect();
        let fetch = |stored: &StoredEngine| self.http.engine_report(stored.engine.address).ok();
        let reports: Vec<Option<EngineReport>> = thread::scope(|scope| {
            let fetch = &fetch;
            let threads: Vec<_> = due
                .iter()
                .map(|stored| scope.spawn(move || fetch(stored)))
                .collect();
            let results = threads.into_iter().map(thread::ScopedJoinHandle::join);
            results
                .map(|r| r.unwrap_or_else(|e| resume_unwind(e)))
                .collect()
        });
        for (stored, report) in due.iter().zip(reports) {
            self.shared.metrics.engine_polls.inc();
            let monitor = holder.engines.entry(stored.name.clone()).or_default();
            monitor.record_poll(report, boot_ms(), pool.engines.len());
        }
    }

    /// Selects at most one of `intent_writes` by the placement rules and records its intent in the
    /// store.
    fn record_intent(
        &self,
        holder: &mut HolderState,
        pool: &PoolView,
        mut intent_writes: Vec<(&StoredEngine, Write<Engine>)>,
    ) {
        if intent_writes.is_empty() {
            holder.last_decision.clear();
            return;
        }
        let candidates: Vec<Candidate> = pool
            .engines
            .iter()
            .filter(|stored| stored.engine.admin != Admin::Withdrawn)
            .map(|stored| candidate(stored, &intent_writes, holder))
            .collect();
        let decisions = choose(&candidates, holder.budget.may_load(boot_ms()));
        self.log_decision(holder, pool, &candidates, &decisions);
        let Some(chosen) = decisions.iter().position(|d| *d == Decision::Chosen) else {
            return;
        };
        let chosen = &candidates[chosen];
        let Some(index) = intent_writes
            .iter()
            .position(|(s, _)| s.name == chosen.name)
        else {
            return;
        };
        let (stored, write) = intent_writes.swap_remove(index);
        if self.put(stored, &write) {
            self.shared.metrics.intents.inc();
            let fields = format!("engine={} {}", stored.name, intent_fields(&write.value));
            yucca_io::log::write(Event::OrderIntent, &fields);
            if chosen.loads_weights {
                holder.budget.record_load(boot_ms());
            }
        }
    }

    /// Logs a placement decision with its candidates, unless it equals the last one.
    fn log_decision(
        &self,
        holder: &mut HolderState,
        pool: &PoolView,
        candidates: &[Candidate],
        decisions: &[Decision],
    ) {
        let scores: Vec<String> = candidates
            .iter()
            .zip(decisions)
            .map(|(c, decision)| {
                let drain = if c.is_draining { ",draining" } else { "" };
                format!("{}:{decision},work={}{drain}", c.name, c.work)
            })
            .collect();
        let service = &pool.service;
        let decisions: Vec<String> = decisions.iter().map(Decision::to_string).collect();
        let decision = decisions.join(" ");
        if decision == holder.last_decision {
            return;
        }
        holder.last_decision = decision;
        let fields = format!(
            "pool={} model={} version={} epoch={} candidates=[{}]",
            self.lease.pool(),
            service.model,
            service.version,
            holder.authority.epoch,
            scores.join(" ")
        );
        yucca_io::log::write(Event::OrderPlaced, &fields);
    }

    fn confirm(&self, stored: &StoredEngine, write: Write<Engine>) {
        if self.put(stored, &write) {
            self.shared.metrics.orders_confirmed.inc();
            let fields = format!("engine={} {}", stored.name, intent_fields(&write.value));
            yucca_io::log::write(Event::OrderConfirmed, &fields);
        }
    }

    /// Writes an engine's object if this host still holds the lease. Returns whether the write took
    /// effect. After any failed write, such as a conflict or a lost response, the object is read
    /// and the next round decides again.
    fn put(&self, stored: &StoredEngine, write: &Write<Engine>) -> bool {
        if self.lease.authority().is_none() {
            return false;
        }
        let key = format!("engine/{}", stored.name);
        let mut value = json!(write.value);
        value[TOKEN_FIELD] = json!(new_token());
        self.shared.metrics.store_writes.inc();
        match self.store.put(&key, write.expected, &value) {
            Ok(version) => {
                self.shared.view.apply_object(&StoredObject {
                    key,
                    version,
                    value,
                });
                true
            }
            Err(_) => {
                self.shared.metrics.store_reads.inc();
                let Ok(Some(object)) = self.store.get(&key) else {
                    return false;
                };
                let is_own = object.value.get(TOKEN_FIELD) == value.get(TOKEN_FIELD);
                self.shared.view.apply_object(&object);
                is_own
            }
        }
    }

    fn send(&self, stored: &StoredEngine, order: &Order, monitor: &mut EngineMonitor) {
        if self.lease.authority().is_none() {
            return;
        }
        // If the response is lost, the engine may have accepted the order, so the time of sending
        // is set before the call.
        monitor.last_sent_ms = Some(boot_ms());
        self.shared.metrics.orders_sent.inc();
        let address = stored.engine.address;
        let reply = self
            .http
            .order(address, &order.intent, order.fence, &order.spec);
        let fields = format!(
            "engine={} intent={} fence={}",
            stored.name, order.intent, order.fence
        );
        match reply {
            Ok(OrderReply::Taken) => yucca_io::log::write(Event::OrderSent, &fields),
            Ok(reply) => {
                self.shared.metrics.orders_refused.inc();
                yucca_io::log::write(Event::OrderRefused, &format!("{fields} reply={reply:?}"));
            }
            Err(error) => {
                yucca_io::log::write(Event::OrderSent, &format!("{fields} error={error:?}"));
            }
        }
    }

    /// Reads all engines at a revision that is not older than the write that acquired the lease.
    fn read_engines(&self, holder: &mut HolderState) {
        self.shared.metrics.store_reads.inc();
        if let Ok(list) = self.store.list("engine/") {
            holder.read_revision = list.revision;
            self.shared.view.apply_list("engine/", &list);
        }
    }
}

fn is_confirmed(write: &Write<Engine>) -> bool {
    write.value.intent.as_ref().is_some_and(|i| i.confirmed)
}

fn candidate(
    stored: &StoredEngine,
    intent_writes: &[(&StoredEngine, Write<Engine>)],
    holder: &HolderState,
) -> Candidate {
    let engine = &stored.engine;
    let monitor = holder.engines.get(&stored.name);
    let report = monitor.and_then(|monitor| monitor.report.as_ref());
    let intent_write = intent_writes.iter().find(|(s, _)| s.name == stored.name);
    let ordered = intent_write.and_then(|(_, write)| write.value.intent.as_ref());
    let loads_weights = |current: &EngineSpec, target: &EngineSpec| {
        (&current.model, &current.version) != (&target.model, &target.version)
    };
    Candidate {
        name: stored.name.clone(),
        is_unavailable: engine.intent.as_ref().is_some_and(|i| !i.confirmed)
            || report.is_some_and(|report| !report.ready),
        needs_order: intent_write.is_some(),
        loads_weights: report
            .zip(ordered)
            .is_some_and(|(report, intent)| loads_weights(&report.spec, &intent.spec)),
        is_draining: engine.admin == Admin::Draining,
        work: monitor.and_then(|m| m.load).map_or(0, |load| load.work),
    }
}

fn intent_fields(engine: &Engine) -> String {
    match &engine.intent {
        Some(intent) => format!(
            "intent={} epoch={} model={} version={} role={}",
            intent.id,
            intent.epoch,
            intent.spec.model,
            intent.spec.version,
            json!(intent.spec.role).as_str().unwrap_or_default()
        ),
        None => "intent=none".to_owned(),
    }
}
