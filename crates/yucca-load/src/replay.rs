//! Replays a trace against the entry hosts of a fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use indexmap::IndexMap;
use indicatif::ProgressBar;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use yuccacove::catalogue::{Class, Entry, Object, ServiceKind};

use crate::check::{ChatStream, Outcome, OutcomeKind};
use crate::connections::Connections;
use crate::monitor::{EngineMonitor, runs_by_key};
use crate::request::{LoadRequest, Received};
use crate::summary::{KeyedRuns, Summary};
use crate::timeline::ScheduledRequest;
use crate::trace::Row;

/// Addresses and catalogue data of the fleet that a replay uses.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Addresses of the entry hosts for callers.
    pub hosts: Vec<SocketAddr>,
    /// Catalogue entries by name.
    pub entries: BTreeMap<String, Entry>,
    /// Addresses of the engines by name.
    pub engines: IndexMap<String, SocketAddr>,
    /// Addresses of the servers of plain services by name.
    pub servers: IndexMap<String, SocketAddr>,
    /// Pairs of model and version in the catalogue.
    pub versions: Vec<(String, String)>,
}

impl Fleet {
    /// Creates a fleet of the given entry hosts and catalogue objects.
    pub fn new(hosts: Vec<SocketAddr>, objects: Vec<(String, Object)>) -> Self {
        let mut fleet = Self {
            hosts,
            ..Self::default()
        };
        for (key, object) in objects {
            let name = key.split_once('/').map_or("", |(_, name)| name).to_owned();
            match object {
                Object::Entry(entry) => {
                    fleet.entries.insert(name, entry);
                }
                Object::Engine(engine) => {
                    fleet.engines.insert(name, engine.address);
                }
                Object::Server(server) => {
                    fleet.servers.insert(name, server.address);
                }
                Object::Service(service) if service.kind == ServiceKind::Model => {
                    fleet.versions.push((service.model, service.version));
                }
                Object::Service(_) | Object::Owner(_) => {}
            }
        }
        fleet
    }

    /// Whether the entry called `name` has class chat.
    ///
    /// # Errors
    ///
    /// If there is no such entry.
    pub fn is_chat(&self, name: &str) -> Result<bool, String> {
        match self.entries.get(name) {
            Some(entry) => Ok(entry.class == Class::Chat),
            None => {
                let known: Vec<_> = self.entries.keys().map(String::as_str).collect();
                let known = known.join(", ");
                Err(format!("unknown entry {name:?}; the catalogue has {known}"))
            }
        }
    }
}

/// Outcome of a request, and how it was sent.
struct FinishedRequest {
    entry: String,
    rank: &'static str,
    scheduled: ScheduledRequest,
    outcome: Outcome,
    /// Stream that did not match the request. It is checked again at the end of the replay, when
    /// all versions that engines have run are known.
    unconfirmed: Option<(LoadRequest, ChatStream)>,
    send_lag: Duration,
    passed_over: usize,
}

impl FinishedRequest {
    fn add_to(self, summary: &mut Summary, versions: &[(String, String)]) {
        let outcome = match self.unconfirmed {
            Some((request, stream)) => request.check(&stream, versions),
            None => self.outcome,
        };
        summary.add(&self.entry, self.rank, &outcome);
        summary.timeline.add(self.rank, self.scheduled, &outcome);
        summary.send_lag.record(self.send_lag);
        summary.hosts_passed_over += self.passed_over as u64;
    }
}

/// Sends a request immediately and checks its response; `due` is the time at which it should have
/// been sent.
async fn run_request(
    request: LoadRequest,
    scheduled: ScheduledRequest,
    connections: &Connections,
    hosts: &[SocketAddr],
    monitor: &EngineMonitor,
    due: Instant,
) -> FinishedRequest {
    let send_lag = due.elapsed();
    let (received, passed_over) = request.send(connections, hosts).await;
    let entry = request.entry_name().to_owned();
    let rank = request.rank();
    let (outcome, unconfirmed) = match received {
        Received::Outcome(outcome) => (outcome, None),
        Received::Stream(stream) => {
            let outcome = request.check(&stream, &monitor.versions());
            let is_unconfirmed = outcome.kind == OutcomeKind::Wrong;
            (outcome, is_unconfirmed.then_some((request, stream)))
        }
    };
    FinishedRequest {
        entry,
        rank,
        scheduled,
        outcome,
        unconfirmed,
        send_lag,
        passed_over,
    }
}

/// Sends each row at its due time and waits for all responses.
///
/// # Errors
///
/// If a row names an unknown entry or cannot be turned into a valid request.
pub async fn replay(fleet: &Fleet, rows: &[Row], progress: &ProgressBar) -> Result<Summary> {
    let keys = order_keys(fleet, rows);
    let monitor = Arc::new(EngineMonitor::new(
        fleet.engines.clone(),
        fleet.versions.clone(),
    ));
    monitor.poll().await;
    let polling = Arc::clone(&monitor);
    let polling = tokio::spawn(async move { polling.run().await });
    let (runs_before, _) = runs_by_key(&fleet.servers).await;

    let connections = Arc::new(Connections::default());
    let mut summary = Summary::default();
    let mut unconfirmed = Vec::new();
    let mut record = |finished: FinishedRequest| {
        progress.inc(1);
        match finished.unconfirmed {
            Some(_) => unconfirmed.push(finished),
            None => finished.add_to(&mut summary, &[]),
        }
    };
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    for (index, (row, key)) in rows.iter().zip(&keys).enumerate() {
        let entry = fleet.entries.get(&row.entry);
        let entry = entry.with_context(|| format!("unknown entry {:?}", row.entry))?;
        let request = LoadRequest::new(row, index, entry, key.as_deref())?;
        let mut hosts = fleet.hosts.clone();
        hosts.rotate_left(index % fleet.hosts.len().max(1));
        let scheduled = ScheduledRequest {
            at_ms: row.at_ms,
            prompt_tokens: row.prompt_tokens,
            output_tokens: row.output_tokens,
        };
        let connections = Arc::clone(&connections);
        let monitor = Arc::clone(&monitor);
        let due = started + Duration::from_millis(row.at_ms);
        sleep_until(due).await;
        tasks.spawn(async move {
            run_request(request, scheduled, &connections, &hosts, &monitor, due).await
        });
        while let Some(finished) = tasks.try_join_next() {
            record(finished?);
        }
    }
    while let Some(finished) = tasks.join_next().await {
        record(finished?);
    }
    summary.duration = started.elapsed();
    monitor.poll().await;
    polling.abort();
    let versions = monitor.versions();
    for finished in unconfirmed {
        finished.add_to(&mut summary, &versions);
    }
    summary.engine_changes = monitor.changes();
    summary.timeline.role_changes_at_ms = monitor
        .role_changes_at()
        .iter()
        .map(|at| at.saturating_duration_since(started).as_millis() as u64)
        .collect();
    let (runs_after, without_response) = runs_by_key(&fleet.servers).await;
    let keys: BTreeSet<_> = keys.iter().flatten().map(String::as_str).collect();
    summary.keyed = KeyedRuns::between(keys, &runs_before, &runs_after, without_response);
    Ok(summary)
}

/// Idempotency keys of the rows. An order without a key in the trace gets a generated one that
/// contains the current time, so that it differs from the keys of other replays.
fn order_keys(fleet: &Fleet, rows: &[Row]) -> Vec<Option<String>> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix_ms = now.map_or(0, |now| now.as_millis());
    let is_order = |row: &Row| {
        let entry = fleet.entries.get(&row.entry);
        entry.is_some_and(|entry| entry.class == Class::Order)
    };
    let key = |(index, row): (usize, &Row)| match (&row.key, is_order(row)) {
        (Some(key), _) => Some(key.clone()),
        (None, true) => Some(format!("t{unix_ms}-{index}")),
        (None, false) => None,
    };
    rows.iter().enumerate().map(key).collect()
}
