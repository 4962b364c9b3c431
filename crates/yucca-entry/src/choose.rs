//! Chooses a backend for a request and records the reasons.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Map, Value, json};
use yucca_io::log;
use yuccacove::catalogue::Admin;
use yuccacove::event::Event;

use crate::backends::Backend;
use crate::fleet::{ChosenEngine, RequestProfile};
use crate::host::Host;

/// The server chosen for a call.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    /// Name in the catalogue.
    pub name: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Counters of this host for the server.
    pub backend: Arc<Backend>,
}

impl ChosenServer {
    /// The server's catalogue key.
    pub fn key(&self) -> String {
        format!("server/{}", self.name)
    }
}

/// Chooses an engine and records the scores of the candidates; `None` when no engine can take the
/// request.
pub fn engine(host: &Host, profile: &RequestProfile<'_>) -> Option<ChosenEngine> {
    let chosen = host.fleet.choose(&host.catalogue.snapshot(), profile)?;
    let scores: Vec<String> = chosen
        .candidates
        .iter()
        .map(|(name, c)| {
            format!(
                "{name}:{:.1}={:.1}q+{:.1}p+{:.1}d+{:.1}l",
                c.score_ms, c.queue_ms, c.prefill_ms, c.decode_ms, c.latency_ms
            )
        })
        .collect();
    log::write(
        Event::Routed,
        &format!(
            "request={} backend={} cached_tokens={} scores_ms={}",
            profile.request_id,
            chosen.name,
            chosen.cached_tokens,
            scores.join(",")
        ),
    );
    let candidates: Vec<Value> = chosen
        .candidates
        .iter()
        .map(|(name, c)| {
            json!({
                "engine": name,
                "score_ms": c.score_ms,
                "queue_ms": c.queue_ms,
                "prefill_ms": c.prefill_ms,
                "decode_ms": c.decode_ms,
                "latency_ms": c.latency_ms,
                "cached_tokens": c.cached_tokens,
            })
        })
        .collect();
    host.decisions.record(
        profile.request_id,
        json!({ "event": Event::Routed.name(), "backend": chosen.name, "candidates": candidates }),
    );
    Some(chosen)
}

/// Chooses the server of the plain service `service` with the fewest requests in flight, without
/// ejected servers and those in `avoided`.
pub fn server(
    host: &Host,
    request_id: &str,
    service: &str,
    avoided: &[String],
) -> Option<ChosenServer> {
    let catalogue = host.catalogue.snapshot();
    let candidates: Vec<(f64, ChosenServer)> = catalogue
        .servers()
        .filter(|(name, server)| {
            server.service == service
                && server.admin == Admin::Active
                && !avoided.iter().any(|a| a == name)
        })
        .map(|(name, server)| {
            let key = format!("server/{name}");
            let share = host.fleet.traffic_share(&catalogue, &key);
            let candidate = ChosenServer {
                name: name.to_owned(),
                address: server.address,
                backend: host.backends.get(&key),
            };
            (share, candidate)
        })
        .filter(|(share, _)| *share > 0.0)
        .collect();
    let in_flight: Map<String, Value> = candidates
        .iter()
        .map(|(_, c)| (c.name.clone(), json!(c.backend.in_flight())))
        .collect();
    // A recently readmitted server takes only its share of the traffic, unless no other is left.
    let chosen = candidates
        .into_iter()
        .min_by_key(|(share, c)| {
            let hash = request_hash(request_id, &c.name);
            (hash.1 >= *share, c.backend.in_flight(), hash.0)
        })?
        .1;
    let counts: Vec<String> = in_flight.iter().map(|(n, s)| format!("{n}:{s}")).collect();
    log::write(
        Event::Routed,
        &format!(
            "request={request_id} backend={} in_flight={}",
            chosen.name,
            counts.join(",")
        ),
    );
    host.decisions.record(
        request_id,
        json!({ "event": Event::Routed.name(), "backend": chosen.name, "in_flight": in_flight }),
    );
    Some(chosen)
}

/// Hash that spreads requests over equally loaded candidates, as an integer and as a fraction
/// between 0 and 1.
fn request_hash(request_id: &str, name: &str) -> (u32, f64) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request_id.as_bytes());
    hasher.update(name.as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    let number = u32::from_le_bytes(bytes);
    (number, f64::from(number) / f64::from(u32::MAX))
}
