//! The prefill of a prompt: on another engine than the one that runs the generation, which then
//! fetches the KV cache, or as a part of the generation.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::{Duration, timeout};
use yucca_io::log;
use yuccacove::code::Code;
use yuccacove::event::Event;

use crate::choose::{self, EngineChoice};
use crate::crashes;
use crate::directory::BackendKey;
use crate::host::{Host, InFlight};
use crate::loads::{PrefillSource, Reservation};
use crate::named_limits;
use crate::peers::{self, PrefillEnd};
use crate::ports::{Backends, CallFault, KvCacheHandle};
use crate::proxies;
use crate::reply::Reply;
use crate::serve::{Progress, RequestContext, Stage};

/// Multiple of its forecast that a prefill may take.
const PREFILL_TIMEOUT_FACTOR: f64 = 3.0;
/// Time that a prefill may take beyond [`PREFILL_TIMEOUT_FACTOR`] times its forecast before its
/// engine counts as unresponsive.
const PREFILL_TIMEOUT_SLACK_MS: u64 = 800;

/// Releases the KV cache of a remote prefill on drop, unless an engine has fetched it.
pub struct KvCacheGuard<B: Backends> {
    host: Rc<Host<B>>,
    /// The KV cache; `None` if there is none, or an engine has fetched it.
    pub handle: Option<KvCacheHandle>,
}

impl<B: Backends> Drop for KvCacheGuard<B> {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let host = Rc::clone(&self.host);
        tokio::task::spawn_local(async move {
            if let Err(fault) = host.backends.release_kv_cache(&handle).await {
                let fields = format!("back_end={} free_prompt={fault:?}", handle.holder.id);
                log::write(Event::BackendFailed, &fields);
            }
        });
    }
}

/// Runs a remote prefill if the choice contains one. Returns `None` if the engines must be chosen
/// again; the error is the final reply.
pub async fn prefill_if_remote<B: Backends>(
    context: &Rc<RequestContext<B>>,
    choice: &EngineChoice,
) -> Result<Option<KvCacheGuard<B>>, Box<Reply>> {
    let mut kv_cache = KvCacheGuard {
        host: Rc::clone(&context.host),
        handle: None,
    };
    let Some(prefill) = choice.prefill else {
        return Ok(Some(kv_cache));
    };
    if !context.begin_prefill() {
        return Err(Box::new(context.refuse(Code::NoBackend)));
    }
    match run_prefill(context, prefill, choice).await {
        Ok(handle) => {
            kv_cache.handle = Some(handle);
            Ok(Some(kv_cache))
        }
        Err(fault) => {
            let state_before = context.run_state();
            let (stage, progress) = (Stage::Read, Progress::NoHead);
            context.record_failure(prefill, stage, progress, &fault, state_before);
            let is_safe = crashes::record_fault(context, prefill, stage, progress, &fault).await;
            if !is_safe || context.attempts().attempt_cost().is_none() {
                return Err(Box::new(context.refuse(Code::NoBackend)));
            }
            Ok(None)
        }
    }
}

/// Returns the address of the engine from which a cached prefix is fetched, if any.
pub fn prefix_source_address<B: Backends>(
    context: &RequestContext<B>,
    choice: &EngineChoice,
) -> Option<SocketAddr> {
    choice
        .prefix_source
        .map(|key| context.host.target(key).address)
}

/// Runs a remote prefill on the engine `key`, with a timeout that depends on the forecast.
async fn run_prefill<B: Backends>(
    context: &Rc<RequestContext<B>>,
    key: BackendKey,
    choice: &EngineChoice,
) -> Result<KvCacheHandle, CallFault> {
    let host = &context.host;
    let _in_flight = InFlight::start(host, key, Reservation::Request);
    named_limits::record_request(host, key);
    let target = host.target(key);
    let started_ms = host.now_ms();
    let prefill = PrefillGuard::begin(context, key, choice);
    let pending_ms = prefill.pending_ms;
    log::write(
        Event::Routed,
        &format!(
            "request={} route={} config={} stage=read back_end={} pending_ms={pending_ms:.0} read_ms={:.0} \
             speed={:.2} latency_ms={:.0} first_token_ms={:.0} left_ms={}",
            context.request.id,
            context.route.name,
            context.config_version,
            target.id,
            choice.prefill_ms,
            choice.prefill_speed,
            choice.prefill_latency_ms,
            choice.first_token_ms,
            context.left_ms()
        ),
    );
    let forecast_ms = pending_ms + choice.prefill_ms + choice.prefill_latency_ms;
    let limit_ms = (forecast_ms * PREFILL_TIMEOUT_FACTOR) as u64 + PREFILL_TIMEOUT_SLACK_MS;
    let mut call = context.call();
    call.is_repeatable = true;
    call.prefix_source = prefix_source_address(context, choice);
    let response = proxies::call(host, key, call, async |to, call| {
        host.backends.prefill(&to, &context.request, call).await
    });
    let outcome = match timeout(Duration::from_millis(limit_ms), response).await {
        Ok(outcome) => outcome,
        Err(_) => {
            host.backends.close_idle(&target);
            let mut directory = host.directory.borrow_mut();
            directory
                .get_mut(key)
                .health
                .record_unreachable(host.now_ms());
            Err(CallFault::TimedOut)
        }
    };
    let is_refused = matches!(
        outcome,
        Err(CallFault::NotRun { .. } | CallFault::NotSent(_))
    );
    if !matches!(outcome, Err(CallFault::NotSent(_))) {
        context.prefill_ended(is_refused);
    }
    if let Ok(prefilled) = &outcome {
        named_limits::record_response(host, key, prefilled.limit_per_s, started_ms);
    }
    if outcome.is_ok() {
        prefill.complete(choice.prefix_source.is_some());
        let mut directory = host.directory.borrow_mut();
        directory.get_mut(key).health.record_response(true);
    }
    outcome.map(|prefilled| prefilled.kv_cache)
}

/// Whether an engine is known to have the shared prefix of a prompt in its KV cache; true for a
/// prompt without one.
fn is_shared_prefix_cached<B>(host: &Host<B>, prefixes: &[(u64, u32)]) -> bool {
    // The last part of a prompt is its own; the parts before it form the shared prefix.
    let Some(shared) = prefixes.len().checked_sub(2).map(|at| &prefixes[..=at]) else {
        return true;
    };
    let (_, tokens) = shared[shared.len() - 1];
    let now_ms = host.now_ms();
    let mut directory = host.directory.borrow_mut();
    directory
        .iter_mut()
        .any(|backend| backend.load.cached_tokens(shared, now_ms) == tokens)
}

/// A prefill that an engine was given. Dropping it removes it from the engine's load and announces
/// that it has ended.
pub struct PrefillGuard<B> {
    host: Rc<Host<B>>,
    key: BackendKey,
    source: PrefillSource,
    /// Work as it was announced, in nominal milliseconds.
    work_ms: f64,
    /// Work ahead of it, in nominal milliseconds.
    ahead_ms: f64,
    /// Forecast time of the prefills ahead of it, in milliseconds.
    pub pending_ms: f64,
    started_ms: u64,
    /// Time that a completed remote prefill took.
    took_ms: Option<f64>,
    is_completed: bool,
}

impl<B: Backends> PrefillGuard<B> {
    /// Adds the prefill of the prompt to the engine's load and announces it to the other hosts.
    pub fn begin(context: &RequestContext<B>, key: BackendKey, choice: &EngineChoice) -> Self {
        let host = &context.host;
        let now_ms = host.now_ms();
        let prefixes = context.request.prompt.as_ref().map(choose::prefixes);
        let prefixes = prefixes.unwrap_or_default();
        let announcement =
            peers::prefill_announcement(host, key, choice.prefill_work_ms, &prefixes);
        let work_ms = announcement.work_ms();
        if !is_shared_prefix_cached(host, &prefixes) {
            host.peers.announce_shared_prefix(announcement);
        }
        host.announce_prefill(announcement);
        let source = PrefillSource::Own(host.peers.next_prefill());
        let mut directory = host.directory.borrow_mut();
        let load = &mut directory.get_mut(key).load;
        host.demand
            .borrow_mut()
            .add_prefill(work_ms / load.prefill_speed);
        let pending_ms = load.pending_ms(now_ms);
        let ahead_ms = pending_ms * load.prefill_speed;
        load.add_prefill(source, work_ms, now_ms);
        load.record_cached(&prefixes, now_ms);
        Self {
            host: Rc::clone(host),
            key,
            source,
            work_ms,
            ahead_ms,
            pending_ms,
            started_ms: now_ms,
            took_ms: None,
            is_completed: false,
        }
    }

    /// Records that a remote prefill has ended now, from which the engine's speed is learned unless it
    /// fetched a prefix: that takes the time of other engines and of the network.
    pub fn complete(mut self, has_fetched: bool) {
        self.is_completed = true;
        if has_fetched {
            return;
        }
        self.took_ms = Some((self.host.now_ms() - self.started_ms) as f64);
    }

    /// Records that a prefill has ended now as a part of a generation.
    pub fn complete_in_generation(mut self) {
        self.is_completed = true;
    }
}

impl<B> Drop for PrefillGuard<B> {
    fn drop(&mut self) {
        let now_ms = self.host.now_ms();
        let mut directory = self.host.directory.borrow_mut();
        let backend = directory.get_mut(self.key);
        let load = &mut backend.load;
        let late_ahead_ms = load.end_prefill(self.source, self.work_ms, self.is_completed, now_ms);
        let end = PrefillEnd::new(
            backend.id_hash(),
            self.work_ms,
            self.ahead_ms + late_ahead_ms,
            self.took_ms,
            self.is_completed,
        );
        if let Some(sample) = end.sample(peers::is_queue_known(&self.host, &directory, self.key)) {
            directory.record_prefill(self.key, &sample, now_ms);
        }
        drop(directory);
        self.host.announce_prefill_end(end);
    }
}
