//! Request handlers of the operators' port.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Map, Value, json};
use yucca_io::log;
use yucca_io::operators::{OperatorsRequest, Reply};
use yuccacove::catalogue::Applied;
use yuccacove::event::Event;

use crate::host::Host;
use crate::metrics;
use crate::shared_catalogue::Propagation;

#[derive(Deserialize)]
struct Announcement {
    key: String,
    version: u64,
    value: Value,
}

/// Handles one request on the operators' port.
pub fn handle(host: &Arc<Host>, request: &OperatorsRequest) -> Reply {
    match (request.is_post, request.path.as_str()) {
        (false, "/metrics") => Reply::metrics(metrics::render(host)),
        (false, "/healthz") => Reply::text(200, "ok\n"),
        (false, "/readyz") => readiness(host),
        (false, "/v1/explain") => explain(host, request),
        (false, "/v1/demand") => Reply::json(200, &host.demand.to_json(host)),
        (false, "/v1/state") => Reply::json(200, &state(host)),
        (true, "/v1/announce") => announce(host, request),
        (true, "/v1/stop") => {
            host.stop.request();
            Reply::json(202, &json!({ "stopping": true }))
        }
        _ => Reply::text(404, "not found\n"),
    }
}

fn readiness(host: &Host) -> Reply {
    match host.not_ready() {
        None => Reply::text(200, "ready\n"),
        Some(reason) => Reply::text(503, format!("{reason}\n")),
    }
}

fn explain(host: &Host, request: &OperatorsRequest) -> Reply {
    let Some(id) = request.parameter("request") else {
        return Reply::text(400, "expected ?request=ID\n");
    };
    let decisions = host.decisions.explain(&id);
    if decisions.is_empty() {
        return Reply::text(404, "no decision about this request is kept\n");
    }
    Reply::json(200, &json!({ "request": id, "decisions": decisions }))
}

fn state(host: &Host) -> Value {
    let catalogue = host.catalogue.snapshot();
    let versions: Map<String, Value> = catalogue
        .iter()
        .map(|(key, version, _)| (key.to_owned(), json!(version)))
        .collect();
    // An engine and a server may have the same name; their counts are then added.
    let mut in_flight = Map::new();
    for (key, count) in host.backends.in_flight() {
        let name = key.split_once('/').map_or(key.as_str(), |(_, name)| name);
        let sum = count as u64 + in_flight.get(name).and_then(Value::as_u64).unwrap_or(0);
        in_flight.insert(name.to_owned(), json!(sum));
    }
    json!({
        "host": host.name,
        "incarnation": host.incarnation,
        "ready": host.not_ready().is_none(),
        "stopping": host.stop.is_requested(),
        "members": host.peers.live(),
        "takes_work": host.connectivity.state().takes_work(),
        "store_lost": host.connectivity.is_store_unavailable(),
        "store_seen_ms_ago": host.connectivity.store_seen_ms_ago(),
        "versions": versions,
        "in_flight": in_flight,
        "open_claims": host.attempts.len(),
    })
}

fn announce(host: &Host, request: &OperatorsRequest) -> Reply {
    let announcement: Announcement = match serde_json::from_str(&request.body) {
        Ok(announcement) => announcement,
        Err(e) => return Reply::json(400, &json!({ "detail": e.to_string() })),
    };
    let Announcement {
        key,
        version,
        value,
    } = announcement;
    let applied = host
        .catalogue
        .apply(&key, version, Some(&value), Propagation::Announce);
    if applied == Applied::Newer {
        log::write(
            Event::AnnounceAccepted,
            &format!("key={key} version={version}"),
        );
    }
    let active_version = host.catalogue.snapshot().version(&key);
    Reply::json(200, &json!({ "version": active_version }))
}
