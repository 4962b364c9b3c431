//! Explains where a request would go, without sending it and without changing what happens to others.
//!
//! The functions that serve requests are called with the state of the host at that moment. Random
//! numbers are those that the next request will draw. As before each request, what backends have said
//! of themselves since the last one is applied.

use std::cmp::Ordering;
use std::rc::Rc;

use http::Method;
use indexmap::IndexMap;
use yuccacove::code::Code;
use yuccacove::explanation::{
    Candidate, Choice, EngineInputs, EnginePhase, Excluded, Explanation, Forecast, MAX_LISTED,
    Outcome, Problem, ProblemKind, Question, RouteKind as ExplainedKind, Rule,
};
use yuccacove::fleet_rate;
use yuccacove::overload::{Ask, Decision, Preview};
use yuccacove::prompt_placement::Phase;

use crate::authentication::{admit, rank};
use crate::caller_body::CallerBody;
use crate::choose::{self, EngineChoice, ScoredEngine};
use crate::config::{Route, RouteKind, ServingConfig};
use crate::directory::{Backend, BackendKey, Directory};
use crate::hash::hash_of;
use crate::host::Host;
use crate::named_limits::{self, GRANT_WAIT_MS};
use crate::organisations::Organisation;
use crate::plain_admission;
use crate::ports::Backends;
use crate::request::{Prompt, PromptPart, Request};
use crate::serve::{RETRY_AFTER_MS, RequestContext};
use crate::stream;

/// Time for which a backend that has left is listed among the excluded ones.
const LISTED_AFTER_LEAVING_MS: u64 = 60_000;
/// Largest number of parts of a prompt that a question may have.
const MAX_PARTS: usize = 4_096;

/// Returns where a request would go now, and why.
///
/// # Errors
///
/// If the host has no configuration, or the question is malformed or names an unknown route or
/// organisation.
pub fn explain<B: Backends>(
    host: &Rc<Host<B>>,
    question: &Question,
) -> Result<Explanation, Problem> {
    let Some(config) = host.config() else {
        let message = format!("host {} has no configuration yet", host.deployment.name);
        return Err(Problem::new(ProblemKind::NoConfiguration, message));
    };
    let route = find_route(&config, question)?;
    let organisation = find_organisation(&config, question)?;
    let service = find_service(route, question);
    let request = request(&config, route, question)?;
    let admitted = admit(host, &config, route, || organisation);
    let organisation = admitted.ok().flatten();
    let route = Route {
        urgency: question.rank.unwrap_or_else(|| rank(route, organisation)),
        ..route.clone()
    };
    let request = Request {
        organisation: organisation.map(|o| o.name.clone()),
        ..request
    };
    let context =
        RequestContext::uncounted(host, request, &config, &route, service.unwrap_or_default());
    let mut explanation = describe(&context, &config);
    match (admitted, service) {
        (Err(code), _) => explanation.outcome = refused(code, retry_of(code)),
        (Ok(_), None) => explanation.outcome = refused(Code::NoBackend, Some(RETRY_AFTER_MS)),
        (Ok(_), Some(_)) => place(&context, &mut explanation),
    }
    Ok(explanation)
}

fn find_route<'a>(config: &'a ServingConfig, question: &Question) -> Result<&'a Route, Problem> {
    let unknown = |message| Problem::new(ProblemKind::UnknownRoute, message);
    match (&question.route, &question.host, &question.path) {
        (Some(name), None, None) => {
            let mut routes = config.routes.iter();
            let found = routes.find(|route| route.name == *name);
            found.ok_or_else(|| unknown(format!("no route has the name `{name}`")))
        }
        (None, Some(host), Some(path)) => {
            let path = path.split_once('?').map_or(path.as_str(), |(path, _)| path);
            let found = config.route(host, path);
            found
                .ok_or_else(|| unknown(format!("no route matches host `{host}` and path `{path}`")))
        }
        _ => Err(Problem::bad_question(
            "expected either the name of a route, or a host and a path",
        )),
    }
}

fn find_organisation<'a>(
    config: &'a ServingConfig,
    question: &Question,
) -> Result<Option<&'a Organisation>, Problem> {
    let Some(name) = question.organisation.as_deref() else {
        return Ok(None);
    };
    let mut organisations = config.organisations.iter();
    let found = organisations.find(|organisation| &*organisation.name == name);
    // The names of the others are not told.
    let message = || format!("no organisation has the name `{name}`");
    found
        .map(Some)
        .ok_or_else(|| Problem::new(ProblemKind::UnknownOrganisation, message()))
}

fn find_service<'a>(route: &'a Route, question: &Question) -> Option<&'a str> {
    match &question.request_id {
        Some(id) => route.service(hash_of(id)),
        None => {
            let weighted = route.services.iter().filter(|service| service.weight > 0);
            // Of equal weights the first one counts.
            let heaviest = weighted.rev().max_by_key(|service| service.weight);
            heaviest.map(|service| service.service.as_str())
        }
    }
}

/// Returns the request that a question is about.
fn request(config: &ServingConfig, route: &Route, question: &Question) -> Result<Request, Problem> {
    let body_bytes = question.body_bytes as usize;
    let max_body_bytes = config.limits.max_body_bytes;
    if body_bytes > max_body_bytes {
        let message = format!("a body of {body_bytes} bytes exceeds the limit of {max_body_bytes}");
        return Err(Problem::bad_question(message));
    }
    let parts = question.prompt_parts()?;
    if parts.len() > MAX_PARTS {
        let message = format!(
            "a prompt of {} parts exceeds the limit of {MAX_PARTS}",
            parts.len()
        );
        return Err(Problem::bad_question(message));
    }
    let tokens = question.prompt_tokens()?;
    let is_stream = matches!(route.kind, RouteKind::Stream { .. });
    if is_stream && tokens.is_none() {
        let message = format!(
            "route `{}` is for generations: the prompt is missing",
            route.name
        );
        return Err(Problem::bad_question(message));
    }
    if !is_stream && (tokens.is_some() || question.output_tokens > 0) {
        let message = format!(
            "route `{}` is for plain requests, which have no prompt",
            route.name
        );
        return Err(Problem::bad_question(message));
    }
    let parts = parts
        .into_iter()
        .map(|(id, tokens)| PromptPart { id, tokens });
    let prompt = tokens.map(|tokens| Prompt {
        model: String::new(),
        tokens,
        max_output_tokens: question.output_tokens,
        parts: parts.collect(),
    });
    let path = question.path.as_ref().unwrap_or(&route.path_prefix);
    Ok(Request {
        id: question.request_id.clone().unwrap_or_default(),
        method: Method::POST,
        host: route.host.clone(),
        path_and_query: path.clone(),
        body: CallerBody::zeroed(body_bytes),
        deadline_ms: question.deadline_ms,
        prompt,
        ..Request::default()
    })
}

fn describe<B: Backends>(context: &RequestContext<B>, config: &ServingConfig) -> Explanation {
    let host = &context.host;
    let route = &context.route;
    let weights = route.services.iter().map(|s| (s.service.clone(), s.weight));
    Explanation {
        answered_by: host.deployment.name.clone(),
        zone: host.deployment.zone.clone(),
        config_version: config.version,
        route: route.name.clone(),
        kind: match route.kind {
            RouteKind::Idempotent => ExplainedKind::Idempotent,
            RouteKind::AtMostOnce => ExplainedKind::AtMostOnce,
            RouteKind::Stream { .. } => ExplainedKind::Stream,
        },
        service: context.service.clone(),
        weights: weights.collect(),
        organisation: context.request.organisation.as_deref().map(str::to_owned),
        rank: route.urgency,
        left_ms: context.left_ms(),
        target_ms: route.target_ms,
        prompt_tokens: context.request.prompt.as_ref().map_or(0, |p| p.tokens),
        outcome: refused(Code::NoBackend, None),
        choice: None,
        candidate_count: 0,
        candidates: Vec::new(),
        excluded_by_rule: IndexMap::new(),
        excluded: Vec::new(),
    }
}

/// Adds the backends, the choice and the outcome to an explanation.
fn place<B: Backends>(context: &RequestContext<B>, explanation: &mut Explanation) {
    let host = &context.host;
    let decided = match context.route.kind {
        RouteKind::Stream { .. } => place_generation(context, explanation),
        RouteKind::Idempotent | RouteKind::AtMostOnce => place_plain(context, explanation),
    };
    explanation.outcome = if !host.shutdown().accepts(context.left_ms(), host.now_ms()) {
        refused(Code::HostStopping, Some(RETRY_AFTER_MS))
    } else if context.crashes_backends() {
        refused(Code::SuspectRefused, None)
    } else {
        decided.unwrap_or_else(|| refused(Code::NoBackend, Some(context.unplaced_retry_after_ms())))
    };
}

/// Adds the engines to an explanation. Returns the outcome; `None` if no engine can be chosen.
fn place_generation<B: Backends>(
    context: &RequestContext<B>,
    explanation: &mut Explanation,
) -> Option<Outcome> {
    let host = &context.host;
    let now_ms = host.now_ms();
    let draw = host.future_draw(0);
    let (scored, choice) = stream::with_drawn_input(context, draw, |directory, input, excluded| {
        let scored = choose::scored_engines(directory, input, excluded, now_ms);
        (scored, choose::engines(directory, input, excluded, now_ms))
    });
    let score = |engine: &ScoredEngine| engine.scores.best();
    let is_possible = |engine: &&ScoredEngine| score(engine).is_some();
    let mut possible: Vec<_> = scored.iter().filter(is_possible).collect();
    possible.sort_by(|a, b| compare(score(a), score(b)));
    let directory = host.directory.borrow();
    let candidates = possible.iter().map(|engine| {
        let inputs = engine_inputs(directory.get(engine.key), engine, now_ms);
        candidate(&directory, engine.key, score(engine), Some(inputs), now_ms)
    });
    explanation.candidate_count = possible.len();
    explanation.candidates = candidates.take(MAX_LISTED).collect();
    let keys: Vec<_> = possible.iter().map(|engine| engine.key).collect();
    list_excluded(context, &directory, &keys, explanation);
    drop(directory);
    let choice = choice?;
    let has_organisations = host.has_organisations();
    let overload = host.overloads.existing(&context.service, has_organisations);
    let ask = stream::ask(context, &overload, &choice, None);
    let preview = overload.preview(&ask, now_ms, host.future_draw(1));
    explanation.choice = Some(engine_choice(host, &choice, &ask));
    let limited = choice.prefill.unwrap_or(choice.decode);
    let max_hold_ms = overload.max_hold_ms(&ask.forecast);
    let max_grant_wait_ms = max_grant_wait_ms(host, limited);
    Some(outcome(&preview, max_hold_ms, max_grant_wait_ms))
}

/// Adds the backends of a plain service to an explanation. Returns the outcome; `None` if no backend
/// can be chosen.
fn place_plain<B: Backends>(
    context: &RequestContext<B>,
    explanation: &mut Explanation,
) -> Option<Outcome> {
    let host = &context.host;
    let now_ms = host.now_ms();
    let has_organisations = host.has_organisations();
    let overload = host
        .overloads
        .existing_plain(&context.service, has_organisations);
    // The decision takes two random numbers before the back end is chosen.
    let draw = if overload.is_some() { 2 } else { 0 };
    let costs = plain_costs(context, draw);
    let directory = host.directory.borrow();
    let candidates = costs
        .iter()
        .map(|(key, cost)| candidate(&directory, *key, Some(*cost), None, now_ms));
    explanation.candidate_count = costs.len();
    explanation.candidates = candidates.take(MAX_LISTED).collect();
    let keys: Vec<_> = costs.iter().map(|(key, _)| *key).collect();
    list_excluded(context, &directory, &keys, explanation);
    let (key, _) = *costs.first()?;
    explanation.choice = Some(Choice {
        backend: id(&directory, key),
        prefill: None,
        prefix_source: None,
        forecast: None,
    });
    drop(directory);
    let max_grant_wait_ms = max_grant_wait_ms(host, key);
    let Some(overload) = overload else {
        return Some(Outcome::Placed {
            max_grant_wait_ms,
            standing: None,
        });
    };
    let (asked, _) = *plain_costs(context, 0).first()?;
    let ask = plain_admission::ask(context, &overload, asked, None);
    let decisions = &overload.decisions;
    let preview = decisions.preview(&ask, now_ms, host.future_draw(1));
    let max_hold_ms = decisions.max_hold_ms(&ask.forecast);
    Some(outcome(&preview, max_hold_ms, max_grant_wait_ms))
}

/// Returns the backends of a plain service with their costs, the one with the least cost first.
fn plain_costs<B: Backends>(context: &RequestContext<B>, draw: u64) -> Vec<(BackendKey, f64)> {
    let host = &context.host;
    let mut costs = choose::plain_costs(
        &host.directory.borrow(),
        &context.service,
        &host.deployment.zone,
        &context.excluded_backends(),
        host.now_ms(),
        host.future_draw(draw),
    );
    costs.sort_by(|a, b| a.1.total_cmp(&b.1));
    costs
}

/// Adds the backends of the service that are not among `candidates`, each with the first rule that
/// excludes it.
fn list_excluded<B: Backends>(
    context: &RequestContext<B>,
    directory: &Directory,
    candidates: &[BackendKey],
    explanation: &mut Explanation,
) {
    let host = &context.host;
    let now_ms = host.now_ms();
    let since_ms = now_ms.saturating_sub(LISTED_AFTER_LEAVING_MS);
    let limited = named_limits::exhausted(host, &context.service, true);
    for key in directory.recent(&context.service, since_ms) {
        if candidates.contains(&key) {
            continue;
        }
        let backend = directory.get(key);
        let rule = exclusion(backend, limited.contains(&key), now_ms);
        *explanation.excluded_by_rule.entry(rule).or_default() += 1;
        if explanation.excluded.len() < MAX_LISTED {
            explanation.excluded.push(Excluded {
                backend: backend.target.id.to_string(),
                zone: backend.entry.zone.clone(),
                rule,
            });
        }
    }
}

/// Returns the first rule that excludes a backend which is not a candidate, in the order in which they
/// apply.
fn exclusion(backend: &Backend, is_limited: bool, now_ms: u64) -> Rule {
    if let Some(rule) = backend.exclusion(now_ms) {
        return rule;
    }
    if is_limited {
        Rule::RateLimit
    } else if backend.pause_left_ms(now_ms) > 0 {
        Rule::Paused
    } else if backend.health.is_avoided(now_ms) {
        Rule::Unreachable
    } else if backend.is_unavailable(now_ms) {
        Rule::Unavailable
    } else {
        Rule::Placement
    }
}

fn candidate(
    directory: &Directory,
    key: BackendKey,
    score: Option<f64>,
    engine: Option<EngineInputs>,
    now_ms: u64,
) -> Candidate {
    let backend = directory.get(key);
    Candidate {
        backend: id(directory, key),
        zone: backend.entry.zone.clone(),
        score: score.unwrap_or_default(),
        failure_rate: backend.health.failure_rate(),
        is_avoided: backend.health.is_avoided(now_ms) || backend.is_unavailable(now_ms),
        excluded_by: backend.exclusion(now_ms),
        own_requests: backend.load.requests + backend.load.streams,
        engine,
    }
}

fn engine_inputs(backend: &Backend, engine: &ScoredEngine, now_ms: u64) -> EngineInputs {
    let view = &engine.view;
    EngineInputs {
        phase: match view.phase {
            Phase::Prefill => EnginePhase::Prefill,
            Phase::Decode => EnginePhase::Decode,
        },
        one_stage_score: engine.scores.one_stage,
        two_stage_score: engine.scores.two_stage,
        streams: view.streams,
        slots: view.slots,
        load_age_ms: backend.load.announced_age_ms(now_ms),
        kv_use: view.memory_use,
        pending_ms: view.pending_ms,
        stall_ms: view.stall_ms,
        cached_tokens: view.cached_tokens,
        prefill_speed: view.speed,
        decode_speed: view.decode_speed,
    }
}

fn engine_choice<B>(host: &Host<B>, choice: &EngineChoice, ask: &Ask) -> Choice {
    let directory = host.directory.borrow();
    let id = |key: BackendKey| id(&directory, key);
    Choice {
        backend: id(choice.decode),
        prefill: choice.prefill.map(id),
        prefix_source: choice.prefix_source.map(id),
        forecast: Some(Forecast {
            first_token_ms: choice.first_token_ms,
            prefill_ms: choice.prefill_ms,
            prefill_queue_ms: ask.forecast.prefill_queue_ms,
            decode_utilisation: ask.forecast.decode_utilisation,
            urgent_target_ms: ask.forecast.urgent_target_ms,
            work_ms: ask.work_ms,
        }),
    }
}

fn outcome(preview: &Preview, max_hold_ms: u64, max_grant_wait_ms: u64) -> Outcome {
    let standing = preview.standing.map(|standing| standing.name().to_owned());
    match preview.decision {
        Decision::Admit => Outcome::Placed {
            max_grant_wait_ms,
            standing,
        },
        Decision::Hold { reason, .. } => Outcome::Held {
            reason: reason.name().to_owned(),
            standing,
            expected_wait_ms: preview.expected_wait_ms,
            max_wait_ms: max_hold_ms,
        },
        Decision::Refuse {
            retry_after_ms,
            reason,
        } => {
            let code = Code::DeadlineUnreachable;
            Outcome::Refused {
                code: code.number(),
                name: code.name().to_owned(),
                status: code.http_status(),
                reason: Some(reason.name().to_owned()),
                standing,
                retry_after_ms: Some(retry_after_ms),
            }
        }
    }
}

fn refused(code: Code, retry_after_ms: Option<u64>) -> Outcome {
    Outcome::Refused {
        code: code.number(),
        name: code.name().to_owned(),
        status: code.http_status(),
        reason: None,
        standing: None,
        retry_after_ms,
    }
}

/// Returns the time after which a caller may retry a request that failed the check of its API key.
fn retry_of(code: Code) -> Option<u64> {
    (code == Code::KeysUnproven).then_some(RETRY_AFTER_MS)
}

fn max_grant_wait_ms<B>(host: &Host<B>, key: BackendKey) -> u64 {
    match named_limits::permission(host, key) {
        fleet_rate::Permission::Granted => 0,
        _ => GRANT_WAIT_MS,
    }
}

fn id(directory: &Directory, key: BackendKey) -> String {
    directory.get(key).target.id.to_string()
}

/// Orders by score; those without one come last.
fn compare(a: Option<f64>, b: Option<f64>) -> Ordering {
    let last = f64::INFINITY;
    a.unwrap_or(last).total_cmp(&b.unwrap_or(last))
}
