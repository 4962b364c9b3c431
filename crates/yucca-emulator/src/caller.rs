//! An emulated caller, which sends a request, retries after a refusal and records the outcome.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tokio::time::{Duration, Instant, sleep, timeout};
use yucca_serve::organisations::ApiKey;
use yucca_serve::reply::{Reply, ReplyBody};
use yucca_serve::request::{Prompt, PromptPart, Request};

use crate::load::Arrival;
use crate::pool::OUTPUT_TOKENS_HEADER;
use crate::scenario::{Class, RequestKind};

/// Size of a request body.
const BODY_BYTES: usize = 400;

/// Final outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that met the target time and the maximum gap between events.
    InTarget,
    /// A complete response that missed the target time or the maximum gap.
    Late,
    /// Refused without having run, with no retry or no time left.
    Refused,
    /// Any other end, such as a broken stream or an exceeded deadline.
    Failed,
}

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestResult {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Index of its organisation in the scenario; `None` if it has none.
    pub organisation: Option<usize>,
    /// Length of its prompt in tokens.
    pub prompt_tokens: u32,
    /// Arrival time, in milliseconds since the start of the traffic.
    pub at_ms: f64,
    /// Final outcome.
    pub outcome: Outcome,
    /// Time from the first try until the first event or the complete response, in milliseconds. If
    /// there was neither, the time until the request ended.
    pub first_ms: f64,
    /// Number of tries, including the first.
    pub tries: u32,
}

/// Function that serves a request. Its first argument is the index of the host, which is taken modulo
/// the number of hosts.
pub type RequestHandler = Rc<dyn Fn(usize, Request) -> Pin<Box<dyn Future<Output = Reply>>>>;

/// Sends a request, with retries after refusals, and returns its result. The ids of its tries begin
/// with `number`, which must be unique in the simulation.
pub async fn call(
    kind: &RequestKind,
    arrival: &Arrival,
    number: usize,
    handler: &RequestHandler,
) -> RequestResult {
    let started = Instant::now();
    let result = |outcome, first_ms, tries| RequestResult {
        kind: arrival.kind,
        organisation: arrival.organisation,
        prompt_tokens: kind.shared_tokens + arrival.own_tokens,
        at_ms: arrival.at_ms,
        outcome,
        first_ms,
        tries,
    };
    let mut tries = 0;
    loop {
        tries += 1;
        let elapsed_ms = millis(started.elapsed());
        let left_ms = (kind.deadline_ms as f64 - elapsed_ms).max(0.0);
        let request = request(kind, arrival, format!("{number}-{tries}"), left_ms as u64);
        // Each try goes to another host.
        let served = handler(arrival.host + tries as usize, request);
        let Ok(reply) = timeout(Duration::from_secs_f64(left_ms / 1e3), served).await else {
            return result(Outcome::Failed, millis(started.elapsed()), tries);
        };
        let status = reply.head.status.as_u16();
        if status == 503 || status == 429 {
            let pause = Duration::from_millis(reply.retry_after_ms.unwrap_or(1_000));
            let ends_ms = millis(started.elapsed() + pause);
            if tries > kind.retries || ends_ms >= kind.deadline_ms as f64 {
                return result(Outcome::Refused, millis(started.elapsed()), tries);
            }
            sleep(pause).await;
            continue;
        }
        if status != 200 {
            return result(Outcome::Failed, millis(started.elapsed()), tries);
        }
        let (outcome, first_ms) = receive(kind, reply, started).await;
        return result(outcome, first_ms, tries);
    }
}

/// Reads the body and returns the outcome with the time until the first event or the complete
/// response.
async fn receive(kind: &RequestKind, reply: Reply, started: Instant) -> (Outcome, f64) {
    let elapsed_ms = || millis(started.elapsed());
    let mut chunks = match reply.body {
        ReplyBody::Complete(_) => return (classify(kind, elapsed_ms(), 0.0), elapsed_ms()),
        ReplyBody::Streamed(chunks) => chunks,
    };
    let mut first_ms = None;
    let (mut last_ms, mut gap_ms) = (0.0, 0.0_f64);
    while let Some(chunk) = chunks.recv().await {
        let now_ms = elapsed_ms();
        if chunk.is_err() || now_ms > kind.deadline_ms as f64 {
            return (Outcome::Failed, first_ms.unwrap_or(now_ms));
        }
        if first_ms.is_some() {
            gap_ms = gap_ms.max(now_ms - last_ms);
        } else {
            first_ms = Some(now_ms);
        }
        last_ms = now_ms;
    }
    match first_ms {
        Some(first_ms) => (classify(kind, first_ms, gap_ms), first_ms),
        None => (Outcome::Failed, elapsed_ms()),
    }
}

fn classify(kind: &RequestKind, first_ms: f64, gap_ms: f64) -> Outcome {
    let is_gap_met = kind.gap_ms == 0 || gap_ms <= kind.gap_ms as f64;
    if first_ms <= kind.target_ms as f64 && is_gap_met {
        Outcome::InTarget
    } else {
        Outcome::Late
    }
}

fn request(kind: &RequestKind, arrival: &Arrival, id: String, left_ms: u64) -> Request {
    let parts = [
        (arrival.shared_prefix, kind.shared_tokens),
        (arrival.own_suffix, arrival.own_tokens),
    ];
    let parts = parts.into_iter().filter(|(_, tokens)| *tokens > 0);
    let prompt = Prompt {
        model: "model".to_owned(),
        tokens: kind.shared_tokens + arrival.own_tokens,
        max_output_tokens: kind.output_tokens + kind.hint_excess_tokens,
        parts: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
    };
    let mut headers = HeaderMap::new();
    headers.insert(OUTPUT_TOKENS_HEADER, HeaderValue::from(kind.output_tokens));
    Request {
        id,
        method: Method::POST,
        host: "play.example".to_owned(),
        path_and_query: format!("/{}/1", kind.name),
        headers,
        body: Bytes::from(vec![b'x'; BODY_BYTES]).into(),
        deadline_ms: Some(left_ms),
        prompt: (kind.class == Class::Stream).then_some(prompt),
        resume_after: None,
        api_key: arrival.organisation.map(api_key),
        ..Request::default()
    }
}

/// Returns the API key of the organisation with an index in the scenario.
pub fn api_key(organisation: usize) -> ApiKey {
    ApiKey::new(format!("key-{organisation}"))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
