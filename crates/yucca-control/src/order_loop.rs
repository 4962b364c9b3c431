//! Brings the engines of one pool to their desired state while this host holds the pool's lease.

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
use crate::engine_watch::EngineWatch;
use crate::fleet_view::{KnownEngine, PoolView};
use crate::lease_loop::PoolLease;
use crate::role_planner::{RolePlanner, pool_engine};

/// Longest pause between two rounds.
const ROUND_MS: u64 = 200;
/// Reports that are asked for at the same time.
const MAX_POLLS: usize = 32;

/// The order loop of one pool.
pub struct OrderLoop {
    shared: Arc<Shared>,
    lease: Arc<PoolLease>,
    store: Store,
    http: HttpClient,
}

/// What the holder knows since it took the lease.
struct Tenure {
    authority: Authority,
    engines: HashMap<String, EngineWatch>,
    budget: LoadBudget,
    /// Store revision at which this host read the engines after it took the lease.
    read_revision: u64,
    last_decision: String,
    planner: RolePlanner,
}

impl OrderLoop {
    /// A loop under `lease`.
    pub fn new(shared: &Arc<Shared>, lease: &Arc<PoolLease>) -> Self {
        Self {
            shared: Arc::clone(shared),
            lease: Arc::clone(lease),
            store: Store::open(shared.config.store),
            http: HttpClient::default(),
        }
    }

    /// Runs until the process stops.
    pub fn run(&self) {
        let mut tenure = None;
        while !self.shared.is_stopping() {
            let seen = self.shared.view.changes();
            match self.lease.authority() {
                None => tenure = None,
                Some(authority) => {
                    if let Some(pool) = self.shared.view.pool(self.lease.pool()) {
                        let tenure = self.continue_tenure(&mut tenure, authority, &pool);
                        self.run_round(tenure, &pool);
                    }
                }
            }
            self.shared.view.wait(seen, ROUND_MS);
        }
    }

    fn continue_tenure<'a>(
        &self,
        tenure: &'a mut Option<Tenure>,
        authority: Authority,
        pool: &PoolView,
    ) -> &'a mut Tenure {
        // Reports and times from an earlier epoch say nothing about orders of the holder between.
        if tenure.as_ref().is_some_and(|t| t.authority != authority) {
            *tenure = None;
        }
        tenure.get_or_insert_with(|| Tenure {
            authority,
            engines: HashMap::new(),
            budget: LoadBudget::new(
                self.shared.config.weight_loads_per_min,
                pool.model_pools,
                boot_ms(),
            ),
            read_revision: 0,
            last_decision: String::new(),
            planner: RolePlanner::open(boot_ms()),
        })
    }

    fn run_round(&self, tenure: &mut Tenure, pool: &PoolView) {
        self.poll(tenure, pool);
        let mut records = Vec::new();
        for known in &pool.engines {
            let now_ms = boot_ms();
            let watch = tenure.engines.entry(known.name.clone()).or_default();
            let open_since_ms = watch.note_intent(known.engine.intent.as_ref(), now_ms);
            if watch.ends_drain(
                known.engine.admin,
                self.shared.config.drain_settle_ms,
                now_ms,
            ) {
                let fields = format!("backend={}", known.name);
                yucca_io::log::write(Event::DrainFinished, &fields);
            }
            let desired = order::desired(&known.engine, &pool.service);
            let view = View {
                engine: &known.engine,
                version: known.version,
                revision: pool.revision.max(tenure.read_revision),
                desired: &desired,
                report: watch.report.as_ref(),
                last_sent_ms: watch.last_sent_ms,
            };
            let rules = &self.shared.config.order_rules;
            match order::next(view, tenure.authority, rules, now_ms, new_token()) {
                Next::Write(write) if is_confirmed(&write) => self.confirm(known, write),
                Next::Write(write) => records.push((known, write)),
                Next::Send(order) => {
                    let settle_ms = self.shared.config.drain_settle_ms;
                    let since_ms = open_since_ms.unwrap_or(now_ms);
                    if is_drained(since_ms, settle_ms, watch.load) {
                        self.send(known, &order, watch);
                    }
                }
                Next::Read => return self.read_engines(tenure),
                Next::Superseded => {
                    let fields = format!("engine={} reason=superseded", known.name);
                    yucca_io::log::write(Event::OrderRefused, &fields);
                    return self.read_engines(tenure);
                }
                Next::Wait { .. } | Next::Settled => {}
            }
        }
        let is_settled = records.is_empty();
        self.place(tenure, pool, records);
        // An order that waits for its turn may change the roles that a plan starts from.
        if is_settled {
            self.plan_roles(tenure, pool);
        }
    }

    /// Writes the role that the policy wants for one engine; the next rounds order the change.
    fn plan_roles(&self, tenure: &mut Tenure, pool: &PoolView) {
        let config = &self.shared.config;
        if config.roles == RolesPolicy::Fixed
            || !tenure
                .planner
                .read_demand(&self.http, &config.entry_hosts, self.lease.pool())
        {
            return;
        }
        let engines: Vec<&KnownEngine> = pool
            .engines
            .iter()
            .filter(|known| known.engine.admin == Admin::Active)
            .collect();
        let seen: Vec<PoolEngine> = engines
            .iter()
            .map(|known| pool_engine(known, tenure.engines.get(&known.name)))
            .collect();
        let names: Vec<&str> = engines.iter().map(|known| known.name.as_str()).collect();
        let change = tenure
            .planner
            .decide(config, self.lease.pool(), &names, &seen);
        let Some((index, role)) = change else {
            return;
        };
        let known = engines[index];
        let write = Write {
            expected: known.version,
            value: Engine {
                role,
                ..known.engine.clone()
            },
        };
        if self.put(known, &write) {
            self.shared.metrics.role_changes.inc();
        }
    }

    /// Asks the engines that are due for their reports, a bounded number at a time.
    fn poll(&self, tenure: &mut Tenure, pool: &PoolView) {
        let now_ms = boot_ms();
        let is_due = |known: &&KnownEngine| {
            let watch = tenure.engines.get(&known.name);
            known.engine.admin != Admin::Withdrawn && watch.is_none_or(|w| w.is_poll_due(now_ms))
        };
        let due: Vec<&KnownEngine> = pool.engines.iter().filter(is_due).take(MAX_POLLS).collect();
        let ask = |known: &KnownEngine| self.http.engine_report(known.engine.address).ok();
        let reports: Vec<Option<EngineReport>> = thread::scope(|scope| {
            let ask = &ask;
            let threads: Vec<_> = due
                .iter()
                .map(|known| scope.spawn(move || ask(known)))
                .collect();
            let results = threads.into_iter().map(thread::ScopedJoinHandle::join);
            results
                .map(|r| r.unwrap_or_else(|e| resume_unwind(e)))
                .collect()
        });
        for (known, report) in due.iter().zip(reports) {
            self.shared.metrics.engine_polls.inc();
            let watch = tenure.engines.entry(known.name.clone()).or_default();
            watch.take_report(report, boot_ms(), pool.engines.len());
        }
    }

    /// Records one of the intents in `records`, chosen among all engines of the pool.
    fn place(
        &self,
        tenure: &mut Tenure,
        pool: &PoolView,
        mut records: Vec<(&KnownEngine, Write<Engine>)>,
    ) {
        if records.is_empty() {
            tenure.last_decision.clear();
            return;
        }
        let candidates: Vec<Candidate> = pool
            .engines
            .iter()
            .filter(|known| known.engine.admin != Admin::Withdrawn)
            .map(|known| candidate(known, &records, tenure))
            .collect();
        let verdicts = choose(&candidates, tenure.budget.may_load(boot_ms()));
        self.log_decision(tenure, pool, &candidates, &verdicts);
        let Some(chosen) = verdicts.iter().position(|v| *v == Decision::Chosen) else {
            return;
        };
        let chosen = &candidates[chosen];
        let Some(index) = records.iter().position(|(k, _)| k.name == chosen.name) else {
            return;
        };
        let (known, write) = records.swap_remove(index);
        if self.put(known, &write) {
            self.shared.metrics.intents.inc();
            let fields = format!("engine={} {}", known.name, intent_fields(&write.value));
            yucca_io::log::write(Event::OrderIntent, &fields);
            if chosen.loads_weights {
                tenure.budget.note_load(boot_ms());
            }
        }
    }

    /// Logs a placement decision with its candidates, unless it repeats the last one.
    fn log_decision(
        &self,
        tenure: &mut Tenure,
        pool: &PoolView,
        candidates: &[Candidate],
        verdicts: &[Decision],
    ) {
        let scores: Vec<String> = candidates
            .iter()
            .zip(verdicts)
            .map(|(c, verdict)| {
                let drain = if c.is_draining { ",draining" } else { "" };
                format!("{}:{verdict},work={}{drain}", c.name, c.work)
            })
            .collect();
        let service = &pool.service;
        let verdicts: Vec<String> = verdicts.iter().map(Decision::to_string).collect();
        let decision = verdicts.join(" ");
        if decision == tenure.last_decision {
            return;
        }
        tenure.last_decision = decision;
        let fields = format!(
            "pool={} model={} version={} epoch={} candidates=[{}]",
            self.lease.pool(),
            service.model,
            service.version,
            tenure.authority.epoch,
            scores.join(" ")
        );
        yucca_io::log::write(Event::OrderPlaced, &fields);
    }

    fn confirm(&self, known: &KnownEngine, write: Write<Engine>) {
        if self.put(known, &write) {
            self.shared.metrics.orders_confirmed.inc();
            let fields = format!("engine={} {}", known.name, intent_fields(&write.value));
            yucca_io::log::write(Event::OrderConfirmed, &fields);
        }
    }

    /// Writes an engine's object if this host still holds the lease; whether it took effect. After a
    /// lost answer or a conflict the object is read, and the next round decides anew.
    fn put(&self, known: &KnownEngine, write: &Write<Engine>) -> bool {
        if self.lease.authority().is_none() {
            return false;
        }
        let key = format!("engine/{}", known.name);
        let mut value = json!(write.value);
        value[TOKEN_FIELD] = json!(new_token());
        self.shared.metrics.store_writes.inc();
        match self.store.put(&key, write.expected, &value) {
            Ok(version) => {
                self.shared.view.take_object(&StoredObject {
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
                self.shared.view.take_object(&object);
                is_own
            }
        }
    }

    fn send(&self, known: &KnownEngine, order: &Order, watch: &mut EngineWatch) {
        if self.lease.authority().is_none() {
            return;
        }
        // A lost answer may hide an order that was taken, so the time counts from before the call.
        watch.last_sent_ms = Some(boot_ms());
        self.shared.metrics.orders_sent.inc();
        let address = known.engine.address;
        let reply = self
            .http
            .order(address, &order.intent, order.fence, &order.spec);
        let fields = format!(
            "engine={} intent={} fence={}",
            known.name, order.intent, order.fence
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

    /// Reads all engines at a revision that is not older than the write that took the lease.
    fn read_engines(&self, tenure: &mut Tenure) {
        self.shared.metrics.store_reads.inc();
        if let Ok(list) = self.store.list("engine/") {
            tenure.read_revision = list.revision;
            self.shared.view.take_list("engine/", &list);
        }
    }
}

fn is_confirmed(write: &Write<Engine>) -> bool {
    write.value.intent.as_ref().is_some_and(|i| i.confirmed)
}

fn candidate(
    known: &KnownEngine,
    records: &[(&KnownEngine, Write<Engine>)],
    tenure: &Tenure,
) -> Candidate {
    let engine = &known.engine;
    let watch = tenure.engines.get(&known.name);
    let report = watch.and_then(|watch| watch.report.as_ref());
    let record = records.iter().find(|(k, _)| k.name == known.name);
    let ordered = record.and_then(|(_, write)| write.value.intent.as_ref());
    let differs = |held: &EngineSpec, wanted: &EngineSpec| {
        (&held.model, &held.version) != (&wanted.model, &wanted.version)
    };
    Candidate {
        name: known.name.clone(),
        is_unavailable: engine.intent.as_ref().is_some_and(|i| !i.confirmed)
            || report.is_some_and(|report| !report.ready),
        needs_order: record.is_some(),
        loads_weights: report
            .zip(ordered)
            .is_some_and(|(report, intent)| differs(&report.spec, &intent.spec)),
        is_draining: engine.admin == Admin::Draining,
        work: watch.and_then(|w| w.load).map_or(0, |load| load.work),
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
