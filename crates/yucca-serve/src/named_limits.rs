//! Rate limits that backends in need name in their responses, which hold for all hosts together.
//!
//! [`yuccacove::fleet_rate`] decides; this module tells it what the host sees and sends.

use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::fleet_rate::{BackendId, Permission};

use crate::directory::{Backend, BackendKey};
use crate::hash::hash_of;
use crate::host::Host;

/// Longest time that a request waits for grants. It covers a few questions to owners and their
/// answers, and is short beside the shortest targets.
pub const GRANT_WAIT_MS: u64 = 100;
/// Longest time after which a caller is asked to come again. Callers with short deadlines cannot
/// wait longer.
const MAX_RETRY_AFTER_MS: f64 = 1_000.0;

/// Records the limit that a response of the backend `key` names; `None` if it names none. The
/// request was sent at `sent_ms`.
pub fn record_response<B>(host: &Host<B>, key: BackendKey, limit_per_s: Option<f64>, sent_ms: u64) {
    let mut rates = host.rates.borrow_mut();
    if limit_per_s.is_none() && rates.is_empty() {
        return;
    }
    let directory = host.directory.borrow();
    let backend = directory.get(key);
    let now_ms = host.now_ms();
    if rates.record_response(id(backend), limit_per_s, sent_ms, now_ms) {
        let fields = format!(
            "back_end={} limit_per_s={limit_per_s:?} source=response",
            backend.target.id
        );
        log::write(Event::BackendLimited, &fields);
        host.peer_updates.notify_one();
    }
}

/// Counts a request, a retry or a prefill that is about to be sent to the backend `key`.
pub fn record_request<B>(host: &Host<B>, key: BackendKey) {
    let mut rates = host.rates.borrow_mut();
    if !rates.is_empty() {
        rates.record_request(id(host.directory.borrow().get(key)));
    }
}

/// Returns whether this host may send a request to the backend `key` now.
pub fn permission<B>(host: &Host<B>, key: BackendKey) -> Permission {
    let rates = host.rates.borrow();
    if rates.is_empty() {
        return Permission::Granted;
    }
    let backend = id(host.directory.borrow().get(key));
    rates.permission(backend, host.now_ms())
}

/// Asks for a grant for the backend `key`.
pub fn ask<B>(host: &Host<B>, key: BackendKey) {
    let backend = id(host.directory.borrow().get(key));
    let mut rates = host.rates.borrow_mut();
    rates.ask(backend, &host.peers.ids(), host.now_ms());
    host.peer_updates.notify_one();
}

/// Returns the backends of a service to which no request may be sent now, because they are at their
/// limits. Those for which this host may ask for a grant are among them only if `may_ask` is false.
pub fn exhausted<B>(host: &Host<B>, service: &str, may_ask: bool) -> Vec<BackendKey> {
    let rates = host.rates.borrow();
    if rates.is_empty() {
        return Vec::new();
    }
    let now_ms = host.now_ms();
    let directory = host.directory.borrow();
    let mut keys = directory.usable(service, now_ms);
    keys.retain(
        |key| match rates.permission(id(directory.get(*key)), now_ms) {
            Permission::Granted => false,
            Permission::Askable => !may_ask,
            Permission::Asking | Permission::Withheld => true,
        },
    );
    keys
}

/// Returns the time after which a caller may retry if all backends of a service are at their
/// limits: that in which they accept one more request together.
pub fn retry_after_ms<B>(host: &Host<B>, service: &str) -> u64 {
    let rates = host.rates.borrow();
    let directory = host.directory.borrow();
    let keys = directory.usable(service, host.now_ms());
    let limits = keys
        .iter()
        .filter_map(|key| rates.limit_per_s(id(directory.get(*key))));
    let total_per_s: f64 = limits.sum();
    let wait_ms = 1_000.0 / total_per_s;
    wait_ms.clamp(GRANT_WAIT_MS as f64, MAX_RETRY_AFTER_MS) as u64
}

/// Returns the id of the present incarnation of a backend, which is the same on all hosts.
fn id(backend: &Backend) -> BackendId {
    BackendId(hash_of((&*backend.target.id, backend.entry.started_ms)))
}
