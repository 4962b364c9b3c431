//! Admission of plain requests where organisations share the back ends of a plain service.
//!
//! The decision is that of generations, [`yuccacove::overload`]; its forecast is that of
//! [`yuccacove::plain_load`]. Without organisations back ends alone refuse requests, as before.

use std::pin::pin;
use std::rc::Rc;

use tokio::time::{Duration, Instant, sleep_until};
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::fair_shares::Asker;
use yuccacove::overload::{Ask, Decision, Reason};
use yuccacove::plain_load::{Completion, InProgress, PlainRequest};

use crate::choose;
use crate::config::EngineSpec;
use crate::directory::BackendKey;
use crate::hash::hash_of;
use crate::held::{Held, PlainOverload};
use crate::ports::{Backends, CallFault};
use crate::reply::Reply;
use crate::serve::RequestContext;

/// Status with which a full back end refuses a request.
const FULL_STATUS: u16 = 503;
/// Interval at which a measurement checks whether the process was paused.
const PAUSE_CHECK: Duration = Duration::from_millis(50);
/// Delay of a check from which the process counts as paused. Shorter delays change a measured
/// duration little.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Work that is assumed for a request of unknown service time, so that its organisation's requests count.
const MIN_WORK_MS: f64 = 1.0;

/// A plain request for which the decision for overload was made.
#[derive(Debug)]
pub struct Admission {
    state: Rc<PlainOverload>,
    ask: Ask,
}

/// Measures the calls of a request, for the decision for overload and for the demand.
#[derive(Debug)]
pub struct Measurement {
    state: Rc<PlainOverload>,
    kind: u64,
}

/// A call whose duration is measured.
#[derive(Debug, Clone, Copy)]
pub struct MeasuredCall {
    backend: u64,
    in_progress: InProgress,
}

/// Waits until the decision for overload admits the request; `None` where there is no decision. The
/// error is the final reply.
pub async fn admit<B: Backends>(
    context: &RequestContext<B>,
) -> Result<Option<Admission>, Box<Reply>> {
    let host = &context.host;
    let has_organisations = host.has_organisations();
    let Some(state) = host.overloads.plain(&context.service, has_organisations) else {
        return Ok(None);
    };
    let mut held: Option<Held> = None;
    loop {
        // `plain::serve` refuses such a request.
        if context.crashes_backends() {
            return Ok(None);
        }
        let Some(key) = choose_backend(context) else {
            return Ok(None);
        };
        let ask = ask(context, &state, key, held.as_ref());
        match state.decisions.decide(&ask, host.now_ms(), host.draw()) {
            Decision::Admit => return Ok(Some(Admission { state, ask })),
            Decision::Hold { precedence, reason } => {
                let held = held.get_or_insert_with(|| {
                    host.metrics.record_hold(reason);
                    let fields = inputs(&state, &ask, reason);
                    let (id, route) = (&context.request.id, &context.route.name);
                    log::write(Event::Held, &format!("request={id} route={route} {fields}"));
                    Held::enter(&state.decisions, precedence)
                });
                let max_hold_ms = state.decisions.max_hold_ms(&ask.forecast);
                let left_ms = max_hold_ms.saturating_sub(ask.forecast.elapsed_ms);
                held.wait(Duration::from_millis(left_ms)).await;
            }
            Decision::Refuse {
                retry_after_ms,
                reason,
            } => {
                host.metrics.record_overload(reason);
                let cause = format!(" {}", inputs(&state, &ask, reason));
                let reply = context.refuse_overloaded(retry_after_ms, &cause);
                return Err(Box::new(reply));
            }
        }
    }
}

impl Admission {
    /// Records that the request found all back ends full, so that it counts as refused. Returns the time
    /// after which its caller may retry.
    pub fn retract<B: Backends>(&self, context: &RequestContext<B>) -> u64 {
        let host = &context.host;
        let mut ask = self.ask;
        ask.forecast.left_ms = context.left_ms();
        let decisions = &self.state.decisions;
        decisions.retract(&ask, host.now_ms(), host.draw())
    }
}

impl Measurement {
    /// Begins the measurement of a request's calls, and counts it towards the demand; `None` where
    /// neither is of use.
    pub fn begin<B: Backends>(context: &RequestContext<B>) -> Option<Self> {
        let host = &context.host;
        let overloads = &host.overloads;
        let is_scaled = context.is_scaled && context.engine == EngineSpec::default();
        let decides = overloads.plain(&context.service, host.has_organisations());
        if !is_scaled && decides.is_none() {
            return None;
        }
        let state = overloads.plain_state(&context.service);
        let kind = hash_of(&context.route.name);
        if is_scaled {
            let service_ms = state.load.borrow().service_ms(kind, host.now_ms());
            context.count_demand(service_ms.unwrap_or(0.0));
        }
        Some(Self { state, kind })
    }

    /// Returns what the measurement of a call to a back end needs from before the call.
    pub fn begin_call<B>(&self, context: &RequestContext<B>, key: BackendKey) -> MeasuredCall {
        MeasuredCall {
            backend: context.host.directory.borrow().get(key).id_hash(),
            in_progress: in_progress(context, key),
        }
    }

    /// Records that a back end completed a call after `took_ms`.
    pub fn record_completion<B>(
        &self,
        context: &RequestContext<B>,
        call: &MeasuredCall,
        took_ms: f64,
    ) {
        let completion = Completion {
            kind: self.kind,
            backend: call.backend,
            in_progress: call.in_progress,
            took_ms,
        };
        let mut load = self.state.load.borrow_mut();
        load.record_completion(&completion, context.host.now_ms());
    }

    /// Records a failed call. Returns whether the back end refused it because it was full.
    pub fn record_fault<B>(
        &self,
        context: &RequestContext<B>,
        call: &MeasuredCall,
        fault: &CallFault,
    ) -> bool {
        let is_full = *fault
            == (CallFault::NotRun {
                status: FULL_STATUS,
            });
        if is_full {
            let mut load = self.state.load.borrow_mut();
            let in_progress = call.in_progress.service;
            load.record_refusal(call.backend, in_progress, context.host.now_ms());
        }
        is_full
    }
}

/// Runs a call and measures its duration in milliseconds; `None` if the process was paused meanwhile.
pub async fn measure<T>(call: impl Future<Output = T>) -> (T, Option<f64>) {
    let mut call = pin!(call);
    let started = Instant::now();
    let mut checked = started;
    let mut is_paused = false;
    loop {
        let due = checked + PAUSE_CHECK;
        let output = tokio::select! {
            biased;
            output = &mut call => Some(output),
            () = sleep_until(due) => None,
        };
        let now = Instant::now();
        is_paused |= now >= due + MIN_PAUSE;
        checked = now;
        if let Some(output) = output {
            let took_ms = (now - started).as_secs_f64() * 1_000.0;
            return (output, (!is_paused).then_some(took_ms));
        }
    }
}

fn choose_backend<B: Backends>(context: &RequestContext<B>) -> Option<BackendKey> {
    let host = &context.host;
    let excluded = context.excluded_backends();
    let directory = host.directory.borrow();
    let zone = &host.deployment.zone;
    let (now_ms, draw) = (host.now_ms(), host.draw());
    choose::plain_backend(&directory, &context.service, zone, &excluded, now_ms, draw)
}

fn in_progress<B>(context: &RequestContext<B>, key: BackendKey) -> InProgress {
    let host = &context.host;
    let directory = host.directory.borrow();
    let usable = directory.usable(&context.service, host.now_ms());
    let requests = |key: BackendKey| directory.get(key).load.requests;
    InProgress {
        backend: requests(key),
        service: usable.into_iter().map(requests).sum(),
    }
}

/// Returns the input of the decision about a request that would be sent to the back end `key`.
pub(crate) fn ask<B: Backends>(
    context: &RequestContext<B>,
    overload: &PlainOverload,
    key: BackendKey,
    held: Option<&Held>,
) -> Ask {
    let host = &context.host;
    let backend = host.directory.borrow().get(key).id_hash();
    let kind = hash_of(&context.route.name);
    let in_progress = in_progress(context, key);
    let load = overload.load.borrow();
    let forecast = load.forecast(kind, backend, in_progress, host.now_ms());
    let request = PlainRequest {
        elapsed_ms: context.elapsed_ms(),
        left_ms: context.left_ms(),
        target_ms: context.route.target_ms,
        urgency: context.route.urgency,
        urgent_target_ms: context.urgent_target_ms,
    };
    Ask {
        asker: Asker {
            organisation: context.request.organisation.as_deref().map(hash_of),
            kind,
            urgency: context.route.urgency,
            tokens: 0,
        },
        forecast: forecast.for_request(&request),
        work_ms: forecast.service_ms.max(MIN_WORK_MS),
        ticket: held.map(|held| held.ticket),
    }
}

/// Returns the log fields with the inputs to the decision about a request.
fn inputs(overload: &PlainOverload, ask: &Ask, reason: Reason) -> String {
    let forecast = &ask.forecast;
    format!(
        "reason={} in_use={:.2} queue_ms={:.0} response_ms={:.0} target_ms={} urgency={} \
         elapsed_ms={} left_ms={} served_share={:.2}",
        reason.name(),
        forecast.decode_utilisation,
        forecast.prefill_queue_ms,
        forecast.first_token_ms,
        forecast.target_ms,
        forecast.urgency,
        forecast.elapsed_ms,
        forecast.left_ms,
        overload.decisions.served_share()
    )
}
