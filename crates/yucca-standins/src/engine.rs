//! Stand-in for a model engine with continuous batching.

use std::collections::VecDeque;
use std::process;
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use yuccacove::catalogue::EngineSpec;

use crate::answer::{self, Answer};
use crate::batch::{Counters, Progress, Request, SpecChange, State};
use crate::call::Call;
use crate::engine_config::EngineConfig;
use crate::fault::{Faults, Mode};
use crate::pending_response::PendingResponse;
use crate::prefix_cache::PrefixCache;
use crate::proxy::lock;
use crate::standin::{CRASH_EXIT_CODE, Standin};

/// Rank of a request without an `x-rank` header: the middle one of 0, 1 and 2.
const DEFAULT_RANK: u64 = 1;
/// Token limit of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: usize = 16;
/// Longest time that a request for cache events is held open.
const MAX_EVENT_WAIT_MS: u64 = 600_000;
/// Ratio of the KV cache import rate to the prefill rate, both in tokens per second.
const KV_TRANSFER_SPEEDUP: f64 = 8.0;
/// Timeout of the call to the engine that exports KV cache.
const KV_EXPORT_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_text: String,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    intent: String,
    fence: u64,
    #[serde(flatten)]
    spec: EngineSpec,
}

#[derive(Debug, Deserialize)]
struct ExportBody {
    prefix: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Export {
    model: String,
    version: String,
    prefix: String,
    tokens: usize,
    blocks: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct ImportBody {
    prefix: String,
    from: String,
}

/// The engine stand-in: HTTP handlers and a thread that runs the steps.
pub struct Engine {
    config: EngineConfig,
    incarnation: u64,
    faults: Faults,
    state: Mutex<State>,
    /// Wakes the step loop when a request or an order arrives.
    work: Condvar,
    /// Wakes the calls that wait for cache events.
    cache_changed: Condvar,
}

impl Engine {
    /// Creates an engine and starts the thread that runs its steps.
    pub fn spawn(config: EngineConfig) -> Arc<Self> {
        let event_lag = Duration::from_millis(config.event_lag_ms);
        let cache = PrefixCache::new(
            config.cache_tokens,
            event_lag,
            config.event_loss_percent,
            config.seed,
        );
        let state = State {
            spec: config.spec.clone(),
            change: None,
            fence: 0,
            last_order: String::new(),
            last_request_number: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            cache,
            samples: VecDeque::new(),
            counters: Counters::default(),
        };
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let engine = Arc::new(Self {
            incarnation: started.map_or(0, |since| since.as_millis() as u64),
            config,
            faults: Faults::default(),
            state: Mutex::new(state),
            work: Condvar::new(),
            cache_changed: Condvar::new(),
        });
        let step_engine = Arc::clone(&engine);
        thread::spawn(move || step_engine.run_steps());
        engine
    }

    fn report_lag(&self) -> Duration {
        Duration::from_millis(self.config.report_lag_ms)
    }

    fn run_steps(&self) {
        loop {
            self.faults.wait_while_frozen();
            let started = Instant::now();
            let (prefill, decode) = {
                let mut state = lock(&self.state);
                state.finish_change(started);
                if state.change.is_none() {
                    state.fill_batch(self.config.max_batch, started);
                }
                state.record_load(started, self.report_lag());
                if let Some(request) = state
                    .running
                    .iter()
                    .find(|request| self.crashes_on(request))
                {
                    eprintln!("request {} matches the crash_on fault; exiting", request.id);
                    process::exit(CRASH_EXIT_CODE);
                }
                if state.running.is_empty() {
                    let change_ends_at = state.change.as_ref().map(|change| change.ends_at);
                    self.wait_for_work(state, change_ends_at);
                    continue;
                }
                state.plan_step()
            };
            let prefill_tokens = prefill.iter().map(|(_, tokens)| tokens).sum();
            let duration = self.config.step_duration(prefill_tokens, decode.len());
            thread::sleep((started + duration).saturating_duration_since(Instant::now()));
            self.faults.wait_while_frozen();
            let now = Instant::now();
            let mut state = lock(&self.state);
            state.apply_step(&prefill, &decode, now);
            state.counters.busy_us += duration.as_micros() as u64;
            state.record_load(now, self.report_lag());
            drop(state);
            self.cache_changed.notify_all();
        }
    }

    fn crashes_on(&self, request: &Request) -> bool {
        self.faults.crashes_on(&request.prompt)
    }

    fn wait_for_work(&self, state: std::sync::MutexGuard<'_, State>, until: Option<Instant>) {
        if let Some(until) = until {
            let timeout = until.saturating_duration_since(Instant::now());
            drop(self.work.wait_timeout(state, timeout));
        } else {
            drop(self.work.wait(state));
        }
    }

    /// Cancels the matching requests, waiting or running, and returns their number.
    fn cancel(&self, matches: impl Fn(&Request) -> bool) -> usize {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let mut cancelled = 0;
        for requests in [&mut state.waiting, &mut state.running] {
            for request in requests.extract_if(.., |request| matches(request)) {
                cancelled += 1;
                request.send_progress(Progress::Cancelled);
            }
        }
        state.counters.cancelled += cancelled as u64;
        state.record_load(Instant::now(), self.report_lag());
        cancelled
    }

    fn chat(self: &Arc<Self>, mut call: Call) {
        let body: ChatBody = match call.body_json() {
            Ok(body) => body,
            Err(detail) => return call.respond_error(400, &detail),
        };
        // A request whose client has already disconnected is not scheduled.
        let Some(connection) = call.connection().map(Arc::clone) else {
            return;
        };
        let stream = body.stream;
        let pending = match self.submit(&call, body) {
            Ok(pending) => pending,
            Err((status, body)) => {
                return call.respond_with(status, &[("retry-after", "1")], &body);
            }
        };
        let engine = Arc::clone(self);
        let number = pending.number;
        connection.on_close(move || {
            engine.cancel(|request| request.number == number);
        });
        if stream {
            pending.respond_stream(call, &connection);
        } else {
            pending.respond_complete(call, &connection);
        }
        // Has no effect unless sending the response failed, in which case the request is still
        // scheduled.
        self.cancel(|request| request.number == number);
    }

    fn submit(&self, call: &Call, body: ChatBody) -> Result<PendingResponse, (u16, Value)> {
        let refuse =
            |status: u16, detail: &str| Err((status, json!({"status": status, "detail": detail})));
        let first_index = call.header_number("x-resume-from").unwrap_or(0) as usize;
        let end_index = body.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        if first_index >= end_index {
            return refuse(
                400,
                "max_tokens, which counts from token 0, leaves no token",
            );
        }
        if answer::count_tokens(&body.resume_text) != first_index {
            return refuse(400, "resume_text has not x-resume-from tokens");
        }
        let prompt = answer::prompt(body.messages.iter().map(|m| m.content.as_str()));
        let now = Instant::now();
        let (progress, receiver) = channel();
        let mut state = lock(&self.state);
        state.finish_change(now);
        if let Some(change) = &state.change {
            let response = json!({"status": 503, "state": "changing", "intent": change.intent});
            return Err((503, response));
        }
        let EngineSpec { model, version, .. } = state.spec.clone();
        let requested_version = call.header("x-model-version").unwrap_or(&version);
        if body.model != model || requested_version != version {
            return Err((
                409,
                json!({"status": 409, "model": model, "version": version}),
            ));
        }
        state.last_request_number += 1;
        let number = state.last_request_number;
        let id = match call.header("x-request-id") {
            Some(id) => id.to_owned(),
            None => format!("{}-{number}", self.config.name),
        };
        let prompt_tokens = answer::count_tokens(&prompt) + first_index;
        let deadline_ms = call.header_number("x-deadline-ms");
        let request = Request {
            number,
            id: id.clone(),
            rank: call.header_number("x-rank").unwrap_or(DEFAULT_RANK),
            deadline: deadline_ms.map(|ms| now + Duration::from_millis(ms)),
            hashes: answer::prefix_hashes(&prompt),
            prompt_tokens,
            prefill_left: prompt_tokens,
            next_index: first_index,
            end_index,
            answer: Answer::new(&model, &version, &prompt),
            prompt,
            progress,
        };
        let position = state
            .waiting
            .partition_point(|other| other.rank <= request.rank);
        state.waiting.insert(position, request);
        state.record_load(now, self.report_lag());
        drop(state);
        self.work.notify_all();
        Ok(PendingResponse {
            number,
            id,
            model,
            prompt_tokens,
            first_index,
            end_index,
            receiver,
        })
    }

    fn status(&self, call: Call) {
        let now = Instant::now();
        let body = {
            let mut state = lock(&self.state);
            state.finish_change(now);
            let load = state.reported_load(now, self.report_lag());
            json!({
                "engine": self.config.name,
                "model": state.spec.model,
                "version": state.spec.version,
                "role": state.spec.role,
                "state": if state.change.is_some() { "changing" } else { "ready" },
                "fence": state.fence,
                "last_order": state.last_order,
                "running": load.running,
                "waiting": load.waiting,
                "prefill_backlog_tokens": load.prefill_backlog_tokens,
                "decode_backlog_tokens": load.decode_backlog_tokens,
                "age_ms": self.config.report_lag_ms,
                "incarnation": self.incarnation,
            })
        };
        call.respond(200, &body);
    }

    fn cache_events(&self, call: Call) {
        let after = call.query_number("after", 0);
        let wait_ms = call.query_number("timeout_ms", 0).min(MAX_EVENT_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = lock(&self.state);
        let events = loop {
            let now = Instant::now();
            let events = state.cache.events_after(after, now);
            if !events.is_empty() || now >= deadline {
                break events;
            }
            let wake_at = state
                .cache
                .next_visible(now)
                .map_or(deadline, |visible| visible.min(deadline));
            (state, _) = self
                .cache_changed
                .wait_timeout(state, wake_at.saturating_duration_since(now))
                .unwrap_or_else(PoisonError::into_inner);
        };
        drop(state);
        let next_seq = events.last().map_or(after, |event| event.seq);
        call.respond(200, &json!({"next_seq": next_seq, "events": events}));
    }

    fn export(&self, mut call: Call) {
        let body: ExportBody = match call.body_json() {
            Ok(body) => body,
            Err(detail) => return call.respond_error(400, &detail),
        };
        let export = {
            let state = lock(&self.state);
            state.cache.chain(&body.prefix).map(|blocks| Export {
                model: state.spec.model.clone(),
                version: state.spec.version.clone(),
                prefix: body.prefix,
                tokens: blocks.len() * answer::BLOCK_TOKENS,
                blocks,
            })
        };
        match export {
            Some(export) => call.respond(200, &json!(export)),
            None => call.respond_error(404, "prefix not cached"),
        }
    }

    fn import(&self, mut call: Call) {
        let body: ImportBody = match call.body_json() {
            Ok(body) => body,
            Err(detail) => return call.respond_error(400, &detail),
        };
        let export = match fetch_export(&body) {
            Ok(export) => export,
            Err(error) => return call.respond_error(502, &error.to_string()),
        };
        let transfer_s =
            export.tokens as f64 / (self.config.prefill_tokens_per_s * KV_TRANSFER_SPEEDUP);
        thread::sleep(Duration::from_secs_f64(transfer_s));
        let mut state = lock(&self.state);
        if (&export.model, &export.version) != (&state.spec.model, &state.spec.version) {
            drop(state);
            return call.respond_error(409, "KV cache of another model or version");
        }
        state.cache.insert(&export.blocks, Instant::now());
        drop(state);
        self.cache_changed.notify_all();
        call.respond(
            200,
            &json!({"prefix": export.prefix, "tokens": export.tokens}),
        );
    }

    fn order(&self, mut call: Call) {
        let order: OrderBody = match call.body_json() {
            Ok(order) => order,
            Err(detail) => return call.respond_error(400, &detail),
        };
        let (status, body) = self.apply_order(order);
        self.work.notify_all();
        if status == 202 && self.faults.consume_lost_answer() {
            return call.abort();
        }
        call.respond(status, &body);
    }

    fn apply_order(&self, order: OrderBody) -> (u16, Value) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.finish_change(now);
        let record_order = |counters: &mut Counters, result: &str| {
            let record = json!({"intent": order.intent, "fence": order.fence, "result": result});
            counters.orders.push(record);
        };
        if self.config.checks_fence && order.fence < state.fence {
            state.counters.orders_fenced += 1;
            record_order(&mut state.counters, "fenced");
            return (409, json!({"fence": state.fence}));
        }
        state.fence = order.fence;
        let pending_intent = state.change.as_ref().map(|change| change.intent.as_str());
        if pending_intent.unwrap_or(&state.last_order) == order.intent {
            state.counters.orders_repeated += 1;
            record_order(&mut state.counters, "repeated");
            return (202, json!({"intent": order.intent}));
        }
        if let Some(busy) = pending_intent {
            let body = json!({"busy": busy});
            state.counters.overlapping_orders += 1;
            record_order(&mut state.counters, "busy");
            return (409, body);
        }
        state.counters.orders_taken += 1;
        record_order(&mut state.counters, "taken");
        let body = json!({"intent": order.intent});
        if order.spec == state.spec {
            state.last_order = order.intent;
            return (202, body);
        }
        for request in state.waiting.drain(..) {
            request.send_progress(Progress::NotRun);
        }
        for request in state.running.drain(..) {
            state.counters.cut_by_order += 1;
            request.send_progress(Progress::Interrupted);
        }
        state.change = Some(SpecChange {
            intent: order.intent,
            spec: order.spec,
            ends_at: now + Duration::from_millis(self.config.order_ms),
        });
        state.record_load(now, self.report_lag());
        (202, body)
    }
}

impl Standin for Engine {
    fn fault_modes(&self) -> &'static [Mode] {
        &[
            Mode::LoseAnswer,
            Mode::Freeze,
            Mode::Silent,
            Mode::Crash,
            Mode::CrashOn,
        ]
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn stats(&self) -> Value {
        let state = lock(&self.state);
        let mut stats = json!(state.counters);
        stats["running"] = json!(state.running.len());
        stats["waiting"] = json!(state.waiting.len());
        stats["incarnation"] = json!(self.incarnation);
        stats
    }

    fn handle(self: Arc<Self>, call: Call) {
        self.faults.wait_while_frozen();
        match (call.method(), call.path()) {
            ("POST", "/v1/chat/completions") => self.chat(call),
            ("GET", "/v1/status") => self.status(call),
            ("GET", "/v1/cache-events") => self.cache_events(call),
            ("POST", "/v1/kv/export") => self.export(call),
            ("POST", "/v1/kv/import") => self.import(call),
            ("POST", "/v1/orders") => self.order(call),
            ("DELETE", path) => match path.strip_prefix("/v1/requests/") {
                Some(id) if self.cancel(|request| request.id == id) > 0 => {
                    let body = json!({"cancelled": id});
                    call.respond(200, &body);
                }
                Some(_) => call.respond_error(404, "no such request"),
                None => call.respond_error(404, "no such path"),
            },
            _ => call.respond_error(404, "no such path"),
        }
    }
}

fn fetch_export(body: &ImportBody) -> Result<Export, ureq::Error> {
    ureq::post(format!("http://{}/v1/kv/export", body.from))
        .config()
        .timeout_global(Some(Duration::from_millis(KV_EXPORT_TIMEOUT_MS)))
        .build()
        .send_json(json!({"prefix": body.prefix}))?
        .body_mut()
        .read_json()
}
