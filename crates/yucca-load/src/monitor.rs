//! What engines and services report during a replay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::connections::get_json;

/// Time between two polls at the engines.
const LOOK_INTERVAL_MS: u64 = 1_000;

/// Changes of engines that were seen.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct EngineChanges {
    /// Orders that an engine reported as its new last order.
    pub orders: u64,
    /// Orders after which the engine's role was another one.
    pub roles: u64,
    /// Orders by engine.
    pub by_engine: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct Seen {
    last_order: String,
    role: String,
}

#[derive(Debug, Default)]
struct State {
    engines: BTreeMap<String, Seen>,
    changes: EngineChanges,
    versions: Vec<(String, String)>,
    role_changes_at: Vec<Instant>,
}

/// Watches the status of engines.
#[derive(Debug)]
pub struct EngineMonitor {
    engines: IndexMap<String, SocketAddr>,
    state: Mutex<State>,
}

impl EngineMonitor {
    /// A watch of `engines` that knows `versions` as (model, version) from the start.
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

    /// Looks at all engines each second; ends only when it is dropped.
    pub async fn run(&self) {
        let mut ticks = interval(Duration::from_millis(LOOK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.poll().await;
        }
    }

    /// Looks at all engines once.
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

    /// Takes an engine's report. The empty last order of an engine that has started again is no
    /// change, nor is the same order reported after that.
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
        let Some(seen) = state.engines.get_mut(engine) else {
            let seen = Seen {
                last_order: last_order.to_owned(),
                role: role.to_owned(),
            };
            state.engines.insert(engine.to_owned(), seen);
            return;
        };
        if !last_order.is_empty() && last_order != seen.last_order {
            last_order.clone_into(&mut seen.last_order);
            state.changes.orders += 1;
            if role != seen.role {
                state.changes.roles += 1;
                state.role_changes_at.push(Instant::now());
            }
            *state
                .changes
                .by_engine
                .entry(engine.to_owned())
                .or_default() += 1;
        }
        role.clone_into(&mut seen.role);
    }

    /// Changes so far.
    pub fn changes(&self) -> EngineChanges {
        self.lock().changes.clone()
    }

    /// When engines were seen with another role so far.
    pub fn role_changes_at(&self) -> Vec<Instant> {
        self.lock().role_changes_at.clone()
    }

    /// Models and versions that engines held so far.
    pub fn versions(&self) -> Vec<(String, String)> {
        self.lock().versions.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs by idempotency key, summed over all `servers`; those that do not answer are named.
pub async fn runs_by_key(
    servers: &IndexMap<String, SocketAddr>,
) -> (BTreeMap<String, u64>, Vec<String>) {
    let mut runs = BTreeMap::new();
    let mut silent = Vec::new();
    for (name, address) in servers {
        let stats = get_json(*address, "/stats").await;
        let Some(counts) = stats.as_ref().and_then(|stats| stats["runs"].as_object()) else {
            silent.push(name.clone());
            continue;
        };
        for (key, count) in counts {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    (runs, silent)
}
