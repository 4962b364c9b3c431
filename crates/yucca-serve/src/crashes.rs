//! Requests that crash the backends that run them: which requests a crash blames, which responses
//! prove them or the parts of their prompts sound, and which requests are refused.
//!
//! [`yuccacove::crash_cause`] decides; this module tells it what the host sees.

use std::rc::Rc;

use tokio::task::spawn_local;
use yucca_io::log;
use yuccacove::crash_cause::{CrashId, Evidence, PartKey, trial_delay_ms};
use yuccacove::event::Event;

use crate::directory::BackendKey;
use crate::hash::hash_of;
use crate::host::Host;
use crate::ports::{Backends, CallFault};
use crate::proxies;
use crate::request::Request;
use crate::serve::{Progress, RequestContext, Stage};

/// Interval at which a request that waits for its trial checks for the verdict.
pub const TRIAL_POLL_MS: u64 = 10;

/// Returns what may make a request crash backends of `service`: each part of its prompt but the
/// last, which is its own, and at the end the request as a whole.
pub fn keys(service: &str, request: &Request) -> Vec<PartKey> {
    let parts = request.prompt.as_ref().map_or(&[][..], |p| &p.parts);
    let shared = &parts[..parts.len().saturating_sub(1)];
    let mut keys: Vec<PartKey> = shared
        .iter()
        .map(|part| PartKey {
            scope: hash_of(service),
            id: part.id,
        })
        .collect();
    let ids: Vec<u64> = parts.iter().map(|part| part.id).collect();
    keys.push(PartKey {
        scope: hash_of((service, "request")),
        id: content_hash(request, &ids),
    });
    keys
}

/// Returns a hash of what the repeats of a request have in common. Headers are left out, because
/// some of them differ between repeats.
fn content_hash(request: &Request, part_ids: &[u64]) -> u64 {
    hash_of((
        request.method.as_str(),
        &request.host,
        &request.path_and_query,
        part_ids,
        &request.body,
    ))
}

/// A request on trial that this host has sent to a backend; dropping it permits the next one.
#[derive(Debug)]
pub struct Trial<B> {
    host: Rc<Host<B>>,
    request: PartKey,
}

impl<B> Drop for Trial<B> {
    fn drop(&mut self) {
        self.host.trials.borrow_mut().swap_remove(&self.request);
    }
}

/// Whether a request that may crash backends is sent to one.
#[derive(Debug)]
pub enum Permission<B> {
    /// It may be sent at once.
    Granted,
    /// It is on trial and may be sent; the next one waits for its outcome.
    OnTrial(Trial<B>),
    /// It is on trial, and another one is to be tried before.
    Wait,
    /// It must not be sent.
    Denied,
}

/// Decides whether a request with `keys`, which has waited `waited_ms` for its trial, is sent to a
/// backend.
pub fn permission<B>(host: &Rc<Host<B>>, keys: &[PartKey], waited_ms: u64) -> Permission<B> {
    let now_ms = host.now_ms();
    let causes = host.crash_causes.borrow();
    if causes.is_refused(keys, now_ms) {
        return Permission::Denied;
    }
    let Some(request) = keys.last().filter(|key| causes.is_on_trial(**key, now_ms)) else {
        return Permission::Granted;
    };
    let own = hash_of(&host.deployment.name);
    let others = host.peers.ids().into_iter().map(|id| id.0);
    let is_due = waited_ms >= trial_delay_ms(*request, own, others);
    if !is_due || !host.trials.borrow_mut().insert(*request) {
        return Permission::Wait;
    }
    Permission::OnTrial(Trial {
        host: Rc::clone(host),
        request: *request,
    })
}

/// How closely a crash points to a request as a whole, and to the parts of its prompt.
#[derive(Debug, Clone, Copy)]
struct Blame {
    request: Evidence,
    /// `None` if the parts are not blamed.
    parts: Option<Evidence>,
}

impl Blame {
    /// Returns the blame for a crash that broke a call with this progress.
    fn of(request: &Request, stage: Stage, progress: Progress) -> Self {
        match (stage, progress) {
            // A part of a prompt crashes engines that write a response, which a prefill does not.
            (Stage::Read, _) => Self {
                request: Evidence::SameRequest,
                parts: None,
            },
            (Stage::Run, Progress::NoHead) if request.prompt.is_some() => Self {
                request: Evidence::SameRequest,
                parts: Some(Evidence::Waiting),
            },
            (Stage::Run, _) => Self {
                request: Evidence::Begun,
                parts: Some(Evidence::Begun),
            },
        }
    }
}

/// Handles the failure of a call of a request to the backend `key`, at any point of the call. If its
/// connection broke because the backend has crashed, that blames the request. Returns whether the
/// request may be sent to another backend.
pub async fn record_fault<B: Backends>(
    context: &RequestContext<B>,
    key: BackendKey,
    stage: Stage,
    progress: Progress,
    fault: &CallFault,
) -> bool {
    // An event proves the request sound, and only a broken connection may be due to a crash.
    if progress == Progress::Events || !matches!(fault, CallFault::Broken(_)) {
        return true;
    }
    let blame = Blame::of(&context.request, stage, progress);
    let host = Rc::clone(&context.host);
    let request_id = context.request.id.clone();
    let keys = context.crash_keys.clone();
    // The blame counts also if the caller leaves meanwhile, which drops the request.
    let recording = spawn_local(async move {
        let is_crash = proxies::is_ended(&host, key).await;
        !is_crash || record_crash(&host, &request_id, key, blame, &keys)
    });
    recording.await.unwrap_or(true)
}

/// Blames a request for a crash. Returns whether it may be sent to another backend: one that
/// nothing blamed before may, because backends mostly crash for other reasons.
fn record_crash<B>(
    host: &Host<B>,
    request_id: &str,
    key: BackendKey,
    blame: Blame,
    keys: &[PartKey],
) -> bool {
    let target = host.target(key);
    let now_ms = host.now_ms();
    let started_ms = host.directory.borrow().get(key).entry.started_ms;
    let crash = CrashId(hash_of((&*target.id, started_ms)));
    let may_retry = {
        let mut causes = host.crash_causes.borrow_mut();
        let was_suspect = causes.is_suspect(keys, now_ms);
        let (parts, request) = keys.split_at(keys.len().saturating_sub(1));
        causes.record(crash, blame.request, request, 0, now_ms);
        if let Some(evidence) = blame.parts {
            causes.record(crash, evidence, parts, 0, now_ms);
        }
        !was_suspect
    };
    let fields = format!(
        "request={request_id} back_end={} evidence={:?} may_retry={may_retry}",
        target.id, blame.request
    );
    log::write(Event::CrashObserved, &fields);
    host.metrics.engine_crashes.inc();
    report_identified(host);
    host.peer_updates.notify_one();
    may_retry
}

/// Records that a response to a request with `keys` has its first event, or is complete if it comes
/// from a plain server.
pub fn record_sound<B>(host: &Host<B>, keys: &[PartKey]) {
    let now_ms = host.now_ms();
    let is_refuting = host.crash_causes.borrow_mut().record_sound(keys, now_ms);
    if is_refuting {
        host.peer_updates.notify_one();
    }
}

/// Updates the metric of identified parts, and writes a log line for each one that was identified
/// since the last call.
pub fn report_identified<B>(host: &Host<B>) {
    let now_ms = host.now_ms();
    let mut causes = host.crash_causes.borrow_mut();
    let identified = causes.take_identified(now_ms);
    let count = i64::try_from(causes.identified_count(now_ms)).unwrap_or(i64::MAX);
    host.metrics.refused_parts.set(count);
    for (part, crashes) in identified {
        let fields = format!(
            "part={:x} scope={:x} crashes={crashes}",
            part.id, part.scope
        );
        log::write(Event::SuspectConvicted, &fields);
    }
}
