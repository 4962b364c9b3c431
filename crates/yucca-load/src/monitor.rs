//! Monitors engines during a replay and reads the run counters of plain services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::connections::get_json;

/// Interval at which the engines are polled.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Number of orders and role changes seen in the reports of engines.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct EngineChanges {
    /// Orders seen: changes of the `last_order` that an engine reports.
    pub orders: u64,
    /// Orders after which the engine reported a different role.
    pub roles: u64,
    /// Orders by name of the engine.
    pub by_engine: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct LastReport {
    last_order: String,
    role: String,
}

#[derive(Debug, Default)]
struct State {
    engines: BTreeMap<String, LastReport>,
    changes: EngineChanges,
    versions: Vec<(String, String)>,
    role_changes_at: Vec<Instant>,
}

/// Polls the status of engines and records their changes.
#[derive(Debug)]
pub struct EngineMonitor {
    engines: IndexMap<String, SocketAddr>,
    state: Mutex<State>,
}

impl EngineMonitor {
    /// Creates a monitor of `engines`, whose [`EngineMonitor::versions`] starts with `versions`.
    pub fn new(engines: IndexMap<String, SocketAddr>, versions: Vec<(String, String)>) -> Self {
        let state = State {
            versions,
            ..State::default()
        };
        Self {
            engines,
            state: Mutex::new(state),
        }
    }

    /// Polls all engines once per second and never returns.
    pub async fn run(&self) {
        let mut ticks = interval(Duration::from_millis(POLL_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.poll().await;
        }
    }

    /// Polls all engines once; an engine without a valid response is skipped.
    pub async fn poll(&self) {
        let polls: Vec<_> = self
            .engines
            .iter()
            .map(|(name, address)| (name, tokio::spawn(get_json(*address, "/v1/status"))))
            .collect();
        for (name, poll) in polls {
            if let Ok(Some(status)) = poll.await {
                let text = |field: &str| status[field].as_str().unwrap_or_default();
                let version = (text("model").to_owned(), text("version").to_owned());
                self.record_report(name, text("last_order"), text("role"), version);
            }
        }
    }

    /// Records a report of an engine. `version` is the pair of model and version that it runs.
    ///
    /// An engine that has restarted reports an empty last order; neither this nor the same order
    /// reported again counts as a change.
    pub fn record_report(
        &self,
        engine: &str,
        last_order: &str,
        role: &str,
        version: (String, String),
    ) {
        let mut state = self.lock();
        let state = &mut *state;
        if !state.versions.contains(&version) {
            state.versions.push(version);
        }
        let Some(last) = state.engines.get_mut(engine) else {
            let last = LastReport {
                last_order: last_order.to_owned(),
                role: role.to_owned(),
            };
            state.engines.insert(engine.to_owned(), last);
            return;
        };
        if !last_order.is_empty() && last_order != last.last_order {
            last_order.clone_into(&mut last.last_order);
            state.changes.orders += 1;
            if role != last.role {
                state.changes.roles += 1;
                state.role_changes_at.push(Instant::now());
            }
            *state
                .changes
                .by_engine
                .entry(engine.to_owned())
                .or_default() += 1;
        }
        role.clone_into(&mut last.role);
    }

    /// Orders and role changes seen so far.
    pub fn changes(&self) -> EngineChanges {
        self.lock().changes.clone()
    }

    /// Times at which an engine was first seen with a different role after an order.
    pub fn role_changes_at(&self) -> Vec<Instant> {
        self.lock().role_changes_at.clone()
    }

    /// Pairs of model and version: those given to [`EngineMonitor::new`] and all that engines have
    /// reported.
    pub fn versions(&self) -> Vec<(String, String)> {
        self.lock().versions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the number of runs by idempotency key, summed over all `servers`, and the names of the
/// servers that did not respond.
pub async fn runs_by_key(
    servers: &IndexMap<String, SocketAddr>,
) -> (BTreeMap<String, u64>, Vec<String>) {
    let mut runs = BTreeMap::new();
    let mut unresponsive = Vec::new();
    for (name, address) in servers {
        let stats = get_json(*address, "/stats").await;
        let Some(counts) = stats.as_ref().and_then(|stats| stats["runs"].as_object()) else {
            unresponsive.push(name.clone());
            continue;
        };
        for (key, count) in counts {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    (runs, unresponsive)
}
