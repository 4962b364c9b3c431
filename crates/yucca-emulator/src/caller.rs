//! A caller: makes a request, comes again after a refusal, and notes what it got.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tokio::time::{Duration, Instant, sleep, timeout};
use yucca_serve::reply::{Reply, ReplyBody};
use yucca_serve::request::{Prompt, PromptPart, Request};

use crate::load::Arrival;
use crate::pool::OUTPUT_TOKENS;
use crate::scenario::{Class, RequestKind};

/// Size of a request's body.
const BODY_BYTES: usize = 400;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with all its times in the target.
    InTarget,
    /// A whole answer that came later.
    Late,
    /// Refused as not run.
    Refused,
    /// Anything else.
    Failed,
}

/// A request in the end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestResult {
    /// Place of its kind.
    pub kind: usize,
    /// When the caller first made it, in milliseconds since the beginning.
    pub at_ms: f64,
    /// What became of it.
    pub outcome: Outcome,
    /// Time until the first event or the answer, from the first try.
    pub first_ms: f64,
    /// Times that the caller came.
    pub tries: u32,
}

/// Whoever serves a request.
pub type RequestHandler = Rc<dyn Fn(usize, Request) -> Pin<Box<dyn Future<Output = Reply>>>>;

/// Makes a request and waits for its end.
pub async fn call(
    kind: &RequestKind,
    arrival: &Arrival,
    number: usize,
    service: &RequestHandler,
) -> RequestResult {
    let began = Instant::now();
    let result = |outcome, first_ms, tries| RequestResult {
        kind: arrival.kind,
        at_ms: arrival.at_ms,
        outcome,
        first_ms,
        tries,
    };
    let mut tries = 0;
    loop {
        tries += 1;
        let elapsed_ms = millis(began.elapsed());
        let left_ms = (kind.deadline_ms as f64 - elapsed_ms).max(0.0);
        let request = request(kind, arrival, format!("{number}-{tries}"), left_ms as u64);
        // A caller that comes again reaches another host.
        let served = service(arrival.host + tries as usize, request);
        let Ok(reply) = timeout(Duration::from_secs_f64(left_ms / 1e3), served).await else {
            return result(Outcome::Failed, millis(began.elapsed()), tries);
        };
        let status = reply.head.status.as_u16();
        if status == 503 || status == 429 {
            let pause = Duration::from_millis(reply.retry_after_ms.unwrap_or(1_000));
            let ends_ms = millis(began.elapsed() + pause);
            if tries > kind.retries || ends_ms >= kind.deadline_ms as f64 {
                return result(Outcome::Refused, millis(began.elapsed()), tries);
            }
            sleep(pause).await;
            continue;
        }
        if status != 200 {
            return result(Outcome::Failed, millis(began.elapsed()), tries);
        }
        let (outcome, first_ms) = receive(kind, reply, began).await;
        return result(outcome, first_ms, tries);
    }
}

/// Takes the body and judges its times.
async fn receive(kind: &RequestKind, reply: Reply, began: Instant) -> (Outcome, f64) {
    let elapsed_ms = || millis(began.elapsed());
    let mut chunks = match reply.body {
        ReplyBody::Complete(_) => return (judge(kind, elapsed_ms(), 0.0), elapsed_ms()),
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
        Some(first_ms) => (judge(kind, first_ms, gap_ms), first_ms),
        None => (Outcome::Failed, elapsed_ms()),
    }
}

fn judge(kind: &RequestKind, first_ms: f64, gap_ms: f64) -> Outcome {
    let is_paced = kind.gap_ms == 0 || gap_ms <= kind.gap_ms as f64;
    if first_ms <= kind.target_ms as f64 && is_paced {
        Outcome::InTarget
    } else {
        Outcome::Late
    }
}

fn request(kind: &RequestKind, arrival: &Arrival, id: String, left_ms: u64) -> Request {
    let parts = [
        (arrival.shared_prefix, kind.shared_tokens),
        (arrival.own_suffix, kind.own_tokens),
    ];
    let parts = parts.into_iter().filter(|(_, tokens)| *tokens > 0);
    let prompt = Prompt {
        model: "model".to_owned(),
        tokens: kind.shared_tokens + kind.own_tokens,
        max_output_tokens: kind.output_tokens,
        parts: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
    };
    let mut headers = HeaderMap::new();
    headers.insert(OUTPUT_TOKENS, HeaderValue::from(kind.output_tokens));
    Request {
        id,
        method: Method::POST,
        host: "play.example".to_owned(),
        path_and_query: format!("/{}/1", kind.name),
        headers,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        deadline_ms: Some(left_ms),
        prompt: (kind.class == Class::Stream).then_some(prompt),
        resume_after: None,
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
