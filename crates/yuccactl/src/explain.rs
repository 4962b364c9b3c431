//! Shows where a request would go, as a host explains it.

use serde_json::json;
use yucca_io::http_client::HttpClient;
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::explanation::{
    Candidate, Choice, EXPLAIN_PATH, EngineInputs, EnginePhase, Explanation, Outcome, Problem,
    ProblemKind, Rule,
};

use crate::command::PlacementQuestion;
use crate::view::{row, table_lines};

/// Asks a host where a request would go, and prints the answer. What would happen to the request does
/// not make a difference to the result.
///
/// # Errors
///
/// [`Code::HostUnreachable`] if the host does not answer as it should, [`Code::HostNotConfigured`],
/// [`Code::UnknownRoute`], [`Code::UnknownOrganisation`], [`Code::QuestionsLimited`], and
/// [`Code::BadUsage`] if the question does not suit the route.
pub fn explain(asked: &PlacementQuestion) -> Result<()> {
    let at = asked.at;
    let unreachable = |detail| Error::new(Code::HostUnreachable, format!("{at}: {detail}"));
    let response = HttpClient::default().post(at, EXPLAIN_PATH, &json!(asked.question));
    let (status, body) = response.map_err(|error| unreachable(error.to_string()))?;
    if status != 200 {
        let problem: Problem = serde_json::from_str(&body)
            .map_err(|_| unreachable(format!("responded with status {status} and no reason")))?;
        return Err(Error::new(code(problem.error), format!("{at}: {problem}")));
    }
    // Hosts of older versions respond to all paths, with an empty body.
    let explanation: Explanation = serde_json::from_str(&body)
        .map_err(|error| unreachable(format!("the response is no explanation: {error}")))?;
    if asked.is_json {
        print_line!("{}", body.trim_end());
    } else {
        for line in lines(&explanation) {
            print_line!("{line}");
        }
    }
    Ok(())
}

fn code(problem: ProblemKind) -> Code {
    match problem {
        ProblemKind::BadQuestion => Code::BadUsage,
        ProblemKind::UnknownRoute => Code::UnknownRoute,
        ProblemKind::UnknownOrganisation => Code::UnknownOrganisation,
        ProblemKind::NoConfiguration => Code::HostNotConfigured,
        ProblemKind::TooMany => Code::QuestionsLimited,
    }
}

/// Returns the lines of an explanation.
pub fn lines(explanation: &Explanation) -> Vec<String> {
    let mut lines = header(explanation);
    lines.push(outcome(&explanation.outcome));
    lines.extend(explanation.choice.as_ref().map(choice));
    lines.extend(explanation.choice.as_ref().and_then(forecast));
    lines.push(String::new());
    lines.extend(candidates(explanation));
    lines.push(String::new());
    lines.extend(excluded(explanation));
    lines
}

fn header(explanation: &Explanation) -> Vec<String> {
    let mut first = format!(
        "host {}, zone {}, configuration {}: route {}, service {}",
        explanation.answered_by,
        explanation.zone,
        explanation.config_version,
        explanation.route,
        explanation.service
    );
    if explanation.weights.len() > 1 {
        let weights = explanation.weights.iter();
        let weights: Vec<_> = weights
            .map(|(name, weight)| format!("{name} {weight}"))
            .collect();
        first += &format!(" (split: {})", weights.join(", "));
    }
    let mut second = format!(
        "rank {}, {} ms left, target {} ms",
        explanation.rank, explanation.left_ms, explanation.target_ms
    );
    if let Some(organisation) = &explanation.organisation {
        second += &format!(", organisation {organisation}");
    }
    if explanation.prompt_tokens > 0 {
        second += &format!(", prompt of {} tokens", explanation.prompt_tokens);
    }
    vec![first, second]
}

fn outcome(outcome: &Outcome) -> String {
    let with_standing = |text: String, standing: &Option<String>| match standing {
        Some(standing) => format!("{text}, standing {standing}"),
        None => text,
    };
    match outcome {
        Outcome::Placed {
            max_grant_wait_ms: 0,
            standing,
        } => with_standing("placed: sent at once".to_owned(), standing),
        Outcome::Placed {
            max_grant_wait_ms,
            standing,
        } => {
            let text = format!(
                "placed: sent after a grant, for which it waits {max_grant_wait_ms} ms at most"
            );
            with_standing(text, standing)
        }
        Outcome::Held {
            reason,
            standing,
            expected_wait_ms,
            max_wait_ms,
        } => {
            let expected = expected_wait_ms.map(|wait_ms| format!("about {wait_ms} ms, "));
            let expected = expected.unwrap_or_default();
            let text = format!("held: {reason}; waits {expected}{max_wait_ms} ms at most");
            with_standing(text, standing)
        }
        Outcome::Refused {
            code,
            name,
            status,
            reason,
            standing,
            retry_after_ms,
        } => {
            let reason = reason.as_ref().map(|reason| format!(", {reason}"));
            let retry = match retry_after_ms {
                Some(retry_after_ms) => format!("may retry after {retry_after_ms} ms"),
                None => "not to be retried".to_owned(),
            };
            let reason = reason.unwrap_or_default();
            with_standing(
                format!("refused: {code} {name}, status {status}{reason}; {retry}"),
                standing,
            )
        }
    }
}

fn choice(choice: &Choice) -> String {
    let mut text = match &choice.prefill {
        Some(prefill) => format!("prefill on {prefill}, decode on {}", choice.backend),
        None => format!("on {}", choice.backend),
    };
    if let Some(source) = &choice.prefix_source {
        text += &format!(", cached prefix from {source}");
    }
    text
}

fn forecast(choice: &Choice) -> Option<String> {
    let forecast = choice.forecast?;
    let urgent = forecast
        .urgent_target_ms
        .map_or("none".to_owned(), |ms| format!("{ms} ms"));
    Some(format!(
        "first token in {:.0} ms: {:.0} ms of prefill behind {:.0} ms of others; decode engine {:.2} used; \
         work {:.1} ms; target of more urgent requests: {urgent}",
        forecast.first_token_ms,
        forecast.prefill_ms,
        forecast.prefill_queue_ms,
        forecast.decode_utilisation,
        forecast.work_ms
    ))
}

fn candidates(explanation: &Explanation) -> Vec<String> {
    let listed = explanation.candidates.len();
    let mut lines = vec![match explanation.candidate_count {
        0 => "no candidates".to_owned(),
        count if count > listed => format!("{count} candidates, the best {listed}:"),
        count => format!("candidates, the best first ({count}):"),
    }];
    let is_model = explanation.candidates.iter().any(|c| c.engine.is_some());
    let mut rows = Vec::new();
    if is_model {
        rows.push(row([
            "BACK END", "ZONE", "SCORE", "PHASE", "ALONE", "PAIR", "STREAMS", "AGE", "KV",
            "PENDING", "STALL", "CACHED", "SPEEDS", "FAILED", "NOTE",
        ]));
    } else {
        rows.push(row([
            "BACK END", "ZONE", "SCORE", "REQUESTS", "FAILED", "NOTE",
        ]));
    }
    rows.extend(explanation.candidates.iter().map(candidate_row));
    if listed > 0 {
        lines.extend(table_lines(&rows).iter().map(|line| format!("  {line}")));
    }
    lines
}

fn candidate_row(candidate: &Candidate) -> Vec<String> {
    let mut cells = vec![
        candidate.backend.clone(),
        candidate.zone.clone(),
        format!("{:.1}", candidate.score),
    ];
    match &candidate.engine {
        Some(engine) => cells.extend(engine_cells(engine)),
        None => {
            // Scores of plain back ends differ by less than those of engines.
            cells[2] = format!("{:.3}", candidate.score);
            cells.push(candidate.own_requests.to_string());
        }
    }
    cells.push(format!("{:.2}", candidate.failure_rate));
    let avoided = candidate.is_avoided.then_some("avoided");
    let excluded_by = candidate.excluded_by.map(Rule::name);
    let notes: Vec<_> = avoided.into_iter().chain(excluded_by).collect();
    cells.push(if notes.is_empty() {
        "-".to_owned()
    } else {
        notes.join(",")
    });
    cells
}

fn engine_cells(engine: &EngineInputs) -> [String; 10] {
    let score = |score: Option<f64>| score.map_or("-".to_owned(), |score| format!("{score:.1}"));
    [
        match engine.phase {
            EnginePhase::Prefill => "prefill".to_owned(),
            EnginePhase::Decode => "decode".to_owned(),
        },
        score(engine.one_stage_score),
        score(engine.two_stage_score),
        format!("{}/{}", engine.streams, engine.slots),
        engine
            .load_age_ms
            .map_or("-".to_owned(), |age_ms| format!("{age_ms}ms")),
        format!("{:.2}", engine.kv_use),
        format!("{:.0}ms", engine.pending_ms),
        format!("{:.0}ms", engine.stall_ms),
        engine.cached_tokens.to_string(),
        format!("{:.2}/{:.2}", engine.prefill_speed, engine.decode_speed),
    ]
}

fn excluded(explanation: &Explanation) -> Vec<String> {
    if explanation.excluded_by_rule.is_empty() {
        return vec!["none excluded".to_owned()];
    }
    let by_rule = explanation.excluded_by_rule.iter();
    let by_rule: Vec<_> = by_rule
        .map(|(rule, count)| format!("{} {count}", rule.name()))
        .collect();
    let mut lines = vec![format!("excluded: {}", by_rule.join(", "))];
    let mut rows = vec![row(["BACK END", "ZONE", "RULE"])];
    let listed = explanation.excluded.iter();
    rows.extend(listed.map(|one| row([&one.backend, &one.zone, one.rule.name()])));
    lines.extend(table_lines(&rows).iter().map(|line| format!("  {line}")));
    lines
}
