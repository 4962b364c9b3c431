//! Questions about where a request would go, and their answers, as operators exchange them with hosts.
//!
//! ```
//! use yuccacove::explanation::Question;
//!
//! let question: Question = serde_json::from_str(r#"{ "route": "chat", "parts": "5c1e:60,91bd:40" }"#)?;
//! assert_eq!(question.prompt_tokens()?, Some(100));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Path on the operators' ports of hosts to which questions are sent with `POST`.
pub const EXPLAIN_PATH: &str = "/v1/explain";
/// Maximum size of a question. A prompt of 1,000 parts takes up about 25 KB.
pub const MAX_QUESTION_BYTES: usize = 64 * 1_024;
/// Maximum number of candidates in an answer, and of excluded backends. With all of 930 engines, an
/// answer would take up a large part of a small host's bandwidth.
pub const MAX_LISTED: usize = 40;

/// A request that is not sent.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Question {
    /// Name of the route; alternatively `host` and `path` select it, as those of a request do.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Name of the host that the request is addressed to, without a port.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path with the query.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Name of the organisation; `None` for a request without an API key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Id of the request, which selects the service if the traffic of the route is split. Without it,
    /// the service with the highest weight is explained.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Length of the prompt in tokens; that of all its parts if it is not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u32>,
    /// Parts of the prompt in order, as in the header of a request: `id:tokens` with a hexadecimal id,
    /// separated by commas.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parts: Option<String>,
    /// Maximum number of tokens to generate.
    #[serde(skip_serializing_if = "is_zero")]
    pub output_tokens: u32,
    /// Size of the request's body, which counts for engines of other availability zones.
    #[serde(skip_serializing_if = "is_zero")]
    pub body_bytes: u32,
    /// Rank, 0 being the most urgent; that of the organisation or the route if it is not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Time for which the caller waits; only the route limits it if it is not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

// The signature is that of `skip_serializing_if`.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Id and length in tokens of a part of a prompt.
pub type Part = (u64, u32);

impl Question {
    /// Returns the parts of the prompt.
    ///
    /// # Errors
    ///
    /// [`ProblemKind::BadQuestion`] if a part does not have the form `id:tokens`, or if the parts are
    /// longer than `u32` can hold.
    pub fn prompt_parts(&self) -> Result<Vec<Part>, Problem> {
        let parts = self.parts.as_deref().unwrap_or_default();
        if parts.trim().is_empty() {
            return Ok(Vec::new());
        }
        let parse = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
        };
        let parts = parts.split(',').map(|text| {
            parse(text).ok_or_else(|| {
                let expected =
                    "expected a hexadecimal id and a number of tokens, such as 5c1e07a2:60";
                Problem::bad_question(format!("part `{}`: {expected}", text.trim()))
            })
        });
        parts.collect()
    }

    /// Returns the length of the prompt; `None` if the question has no prompt.
    ///
    /// # Errors
    ///
    /// As [`Question::prompt_parts`], and [`ProblemKind::BadQuestion`] if the parts are longer than
    /// the prompt.
    pub fn prompt_tokens(&self) -> Result<Option<u32>, Problem> {
        let parts = self.prompt_parts()?;
        let in_parts: u64 = parts.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        let in_parts = u32::try_from(in_parts)
            .map_err(|_| Problem::bad_question(format!("the parts have {in_parts} tokens")))?;
        match self.tokens {
            Some(tokens) if tokens < in_parts => Err(Problem::bad_question(format!(
                "the parts have {in_parts} tokens, more than the {tokens} of the prompt"
            ))),
            Some(tokens) => Ok(Some(tokens)),
            None => Ok((!parts.is_empty()).then_some(in_parts)),
        }
    }
}

/// Where a request would go, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the host that answers.
    pub answered_by: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Version of the host's configuration.
    pub config_version: u64,
    /// Name of the route.
    pub route: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Name of the service.
    pub service: String,
    /// Weights of the services of the route in the traffic split, by name.
    pub weights: IndexMap<String, u32>,
    /// Name of the organisation, as in the question; `None` if the route needs no API key.
    pub organisation: Option<String>,
    /// Rank of the request.
    pub rank: u8,
    /// Time for which the request may run.
    pub left_ms: u64,
    /// Target latency of a response, or of the first event of a stream; 0 for none.
    pub target_ms: u64,
    /// Length of the prompt in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// What would happen to the request.
    pub outcome: Outcome,
    /// Backends that would run the request; `None` if none can be chosen.
    pub choice: Option<Choice>,
    /// Number of backends that may be chosen.
    pub candidate_count: usize,
    /// The best of them, at most [`MAX_LISTED`], the best first.
    pub candidates: Vec<Candidate>,
    /// Number of backends of the service that may not be chosen, by rule.
    pub excluded_by_rule: IndexMap<Rule, usize>,
    /// Backends that may not be chosen, at most [`MAX_LISTED`].
    pub excluded: Vec<Excluded>,
}

/// Kind of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A plain service, whose requests may run more than once.
    Idempotent,
    /// A plain service, whose requests run at most once.
    AtMostOnce,
    /// A model service.
    Stream,
}

/// What would happen to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It would be sent to the chosen backend.
    Placed {
        /// Longest time for which it may wait before for a grant, because the backend names a rate limit
        /// for all hosts together; 0 if it need not wait.
        max_grant_wait_ms: u64,
        /// Standing of the request; `None` where the forecast alone decides.
        standing: Option<String>,
    },
    /// It would wait in the host.
    Held {
        /// Why it would wait.
        reason: String,
        /// Standing of the request; `None` where the forecast alone decides.
        standing: Option<String>,
        /// Expected wait; `None` if it is not known.
        expected_wait_ms: Option<u64>,
        /// Longest wait, after which it is decided about for the last time.
        max_wait_ms: u64,
    },
    /// It would be refused, without having run.
    Refused {
        /// Number of the result code.
        code: u16,
        /// Name of the result code.
        name: String,
        /// HTTP status.
        status: u16,
        /// Reason of the decision for overload; `None` if another rule refuses it.
        reason: Option<String>,
        /// Standing of the request; `None` where the forecast alone decides.
        standing: Option<String>,
        /// Time after which the caller may retry; `None` if it is not to retry.
        retry_after_ms: Option<u64>,
    },
}

/// Backends that would run a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Backend that runs the request; the decode engine of a generation.
    pub backend: String,
    /// Engine of a remote prefill; `None` if there is none.
    pub prefill: Option<String>,
    /// Engine from which a cached prefix would be fetched; `None` if there is none.
    pub prefix_source: Option<String>,
    /// Forecast for a generation; `None` for a plain service.
    pub forecast: Option<Forecast>,
}

/// Forecast for a generation, as input to the decision for overload.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Forecast {
    /// Time to the first token.
    pub first_token_ms: f64,
    /// Time of the prefill itself.
    pub prefill_ms: f64,
    /// Prefills that are ahead on the engine.
    pub prefill_queue_ms: f64,
    /// Utilisation of the decode engine's slots or KV cache, whichever is higher; 1 is full.
    pub decode_utilisation: f64,
    /// Shortest target of the more urgent requests of the service; `None` if there are none.
    pub urgent_target_ms: Option<u64>,
    /// Time of an engine that the generation needs.
    pub work_ms: f64,
}

/// A backend that may be chosen, with the inputs to the choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Id of the backend.
    pub backend: String,
    /// Availability zone.
    pub zone: String,
    /// Score; the backend with the lowest one is chosen. For engines it is in milliseconds, for plain
    /// backends in requests in flight.
    pub score: f64,
    /// Moving average of the share of failed requests.
    pub failure_rate: f64,
    /// Whether it failed a connection or a request a moment ago, and is used for lack of others.
    pub is_avoided: bool,
    /// Rule that excludes it as long as others serve; `None` if it serves.
    pub excluded_by: Option<Rule>,
    /// Requests of this host in flight.
    pub own_requests: u32,
    /// Inputs for an engine; `None` for a plain backend.
    pub engine: Option<EngineInputs>,
}

/// Inputs to the choice of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineInputs {
    /// Phase that it runs.
    pub phase: EnginePhase,
    /// Score if it runs both phases; `None` if it may not.
    pub one_stage_score: Option<f64>,
    /// Score if another engine runs the other phase; `None` if there is no such placement.
    pub two_stage_score: Option<f64>,
    /// Generations in flight, over all hosts that announce theirs.
    pub streams: u32,
    /// Generations that it can run at the same time.
    pub slots: u32,
    /// Age of the oldest announcement of other hosts that counts; `None` without announcements.
    pub load_age_ms: Option<u64>,
    /// KV cache in use, as a fraction.
    pub kv_use: f64,
    /// Prefill work ahead of a new prompt.
    pub pending_ms: f64,
    /// Prefill work that stalls its streams.
    pub stall_ms: f64,
    /// Leading tokens of the prompt that are expected in its KV cache.
    pub cached_tokens: u32,
    /// Learned prefill speed, relative to the published one.
    pub prefill_speed: f64,
    /// Learned decode speed, relative to the published one.
    pub decode_speed: f64,
}

/// Phase that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePhase {
    /// Prefill for other engines.
    Prefill,
    /// Decode, and prefill for its own streams if needed.
    Decode,
}

/// A backend that may not be chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Excluded {
    /// Id of the backend.
    pub backend: String,
    /// Availability zone.
    pub zone: String,
    /// The first rule that excludes it.
    pub rule: Rule,
}

/// Rule that excludes a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// It is draining, said that it leaves, or was removed a moment ago.
    Leaving,
    /// Its entry expired: it has not registered again since the store recovered.
    EntryExpired,
    /// It had left before the store was restored from a copy that lists it.
    EntryCopied,
    /// It is at the rate limit that it names for all hosts together.
    RateLimit,
    /// It turned this host away for some time.
    Paused,
    /// It did not accept or keep a connection a moment ago.
    Unreachable,
    /// It refused a request a moment ago, or changes its phase.
    Unavailable,
    /// No placement may use the engine.
    Placement,
}

impl Rule {
    /// Returns the rule's name, as in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::EntryExpired => "entry_expired",
            Self::EntryCopied => "entry_copied",
            Self::RateLimit => "rate_limit",
            Self::Paused => "paused",
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
            Self::Placement => "placement",
        }
    }
}

/// Why a question is not answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of problem.
    pub error: ProblemKind,
    /// Text for the operator.
    pub message: String,
}

/// Kind of a [`Problem`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The question is malformed.
    BadQuestion,
    /// No route has the name, or matches the host and the path.
    UnknownRoute,
    /// No organisation has the name.
    UnknownOrganisation,
    /// The host has no configuration yet.
    NoConfiguration,
    /// The host answers no more questions for a moment.
    TooMany,
}

impl ProblemKind {
    /// Returns the HTTP status of responses with the problem.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadQuestion => 400,
            Self::UnknownRoute | Self::UnknownOrganisation => 404,
            Self::NoConfiguration => 503,
            Self::TooMany => 429,
        }
    }
}

impl Problem {
    /// Creates a problem.
    pub fn new(error: ProblemKind, message: impl Into<String>) -> Self {
        Self {
            error,
            message: message.into(),
        }
    }

    /// Creates a problem of the kind [`ProblemKind::BadQuestion`].
    pub fn bad_question(message: impl Into<String>) -> Self {
        Self::new(ProblemKind::BadQuestion, message)
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

/// Limits how many questions a host answers in any second.
#[derive(Debug, Clone)]
pub struct QuestionLimit {
    per_s: usize,
    answered_ms: VecDeque<u64>,
}

impl QuestionLimit {
    /// Creates a limit of `per_s` questions a second.
    pub fn new(per_s: usize) -> Self {
        Self {
            per_s,
            answered_ms: VecDeque::new(),
        }
    }

    /// Returns whether a question that arrives at `now_ms` is answered, and counts it if so.
    pub fn admit(&mut self, now_ms: u64) -> bool {
        /// Window in which questions are counted.
        const WINDOW_MS: u64 = 1_000;
        while self
            .answered_ms
            .front()
            .is_some_and(|at_ms| now_ms >= at_ms + WINDOW_MS)
        {
            self.answered_ms.pop_front();
        }
        let is_admitted = self.answered_ms.len() < self.per_s;
        if is_admitted {
            self.answered_ms.push_back(now_ms);
        }
        is_admitted
    }
}
