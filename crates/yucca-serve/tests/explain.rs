//! Tests that an explanation tells what the host then does, and changes nothing about it.

mod common;

use std::rc::Rc;

use common::{
    Chunk, FakeBackends, Step, entry, generation, request, route, run_virtual, serving_host,
    wait_ms,
};
use yucca_serve::config::{Route, RouteKind, ServingConfig, WeightedService};
use yucca_serve::directory::BackendKey;
use yucca_serve::explain::explain;
use yucca_serve::host::Host;
use yucca_serve::loads::Reservation;
use yucca_serve::named_limits;
use yucca_serve::organisations::{ApiKey, Organisation, Organisations};
use yucca_serve::request::Request;
use yucca_serve::serve::serve;
use yuccacove::crash_cause::{CrashId, Evidence, PartKey};
use yuccacove::explanation::{
    Explanation, MAX_LISTED, Outcome, ProblemKind, Question, QuestionLimit, Rule,
};
use yuccacove::prompt_placement::Phase;

const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };
/// Text of an API key, which no answer may contain.
const KEY: &str = "north-key-3f9a";

type TestHost = Rc<Host<FakeBackends>>;

fn question() -> Question {
    Question {
        route: Some("r".to_owned()),
        deadline_ms: Some(4_000),
        ..Question::default()
    }
}

/// The question about [`generation`].
fn generation_question() -> Question {
    Question {
        parts: Some("1:5000,2:3000".to_owned()),
        output_tokens: 100,
        ..question()
    }
}

/// Adds organisations to the configuration of a host.
fn add_organisations(host: &TestHost) {
    let before = host.config().expect("a configuration");
    let mut organisations = Organisations::default();
    for (name, urgency, key) in [("north", None, KEY), ("south", Some(2), "south-key")] {
        let organisation = Organisation {
            name: name.into(),
            urgency,
        };
        organisations
            .add(organisation, [ApiKey::new(key)])
            .expect("a key of its own");
    }
    host.set_config(ServingConfig {
        version: before.version + 1,
        organisations,
        ..ServingConfig::clone(&before)
    });
}

fn key(host: &TestHost, id: &str) -> BackendKey {
    host.directory.borrow().find(id).expect("a backend")
}

/// Adds generations to an engine.
fn add_streams(host: &TestHost, id: &str, count: u32, tokens: u32) {
    let key = key(host, id);
    let mut directory = host.directory.borrow_mut();
    for _ in 0..count {
        let load = &mut directory.get_mut(key).load;
        load.add(Reservation::Generation { tokens });
    }
}

/// Serves a request, and returns the ids of the backends that it was sent to, and its status.
async fn send(host: &TestHost, request: Request) -> (Vec<String>, u16) {
    for id in ["gen-1", "gen-2"] {
        let event = Step::Respond(200, vec![Chunk::Bytes(0, "id: 1\ndata: a\n\n")]);
        host.backends.script(id, [event]);
    }
    let before = host.backends.calls.borrow().len();
    let reply = serve(host, request).await;
    let status = reply.head.status.as_u16();
    wait_ms(50).await;
    let calls = host.backends.calls.borrow();
    let ids = calls.iter().skip(before).map(|call| call.id.clone());
    (ids.collect(), status)
}

/// Returns the ids of the backends that a request would be sent to.
fn chosen(explanation: &Explanation) -> Vec<String> {
    let choice = explanation.choice.as_ref().expect("a choice");
    let engines = choice.prefill.iter().chain([&choice.backend]);
    engines.cloned().collect()
}

fn rules(explanation: &Explanation) -> Vec<(&str, Rule)> {
    let excluded = explanation.excluded.iter();
    excluded
        .map(|one| (one.backend.as_str(), one.rule))
        .collect()
}

/// Guards against an explanation that names another engine than the one that the next request is sent
/// to, as the loads of the engines change.
#[test]
fn explain_names_engines_of_next_request() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        let mut seen = Vec::new();
        for round in 0..40u32 {
            let id = ["gen-1", "gen-2"][round as usize % 2];
            add_streams(&host, id, round % 5, 300);
            {
                let mut directory = host.directory.borrow_mut();
                let gen_1 = directory.find("gen-1").expect("an engine");
                directory
                    .get_mut(gen_1)
                    .health
                    .record_response(round % 3 != 0);
            }
            let explanation = explain(&host, &generation_question()).expect("an answer");
            assert!(
                matches!(explanation.outcome, Outcome::Placed { .. }),
                "{explanation:?}"
            );
            let named = chosen(&explanation);
            assert_eq!(
                send(&host, generation()).await,
                (named.clone(), 200),
                "round {round}"
            );
            seen.push(named);
        }
        seen.sort();
        seen.dedup();
        assert!(seen.len() > 1, "the loads must change the choice: {seen:?}");
    });
}

/// As above for plain services, whose choice depends on random numbers between equal backends.
#[test]
fn explain_names_backend_of_next_plain_request() {
    run_virtual(async {
        let host = serving_host(route(RouteKind::Idempotent, 2));
        let mut seen = Vec::new();
        for round in 0..40 {
            let explanation = explain(&host, &question()).expect("an answer");
            let named = chosen(&explanation);
            assert_eq!(explanation.candidates[0].backend, named[0]);
            assert_eq!(
                send(&host, request()).await,
                (named.clone(), 200),
                "round {round}"
            );
            seen.push(named);
        }
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), 2, "the random numbers must change the choice");
    });
}

/// Guards against explanations that change what happens to requests: the same requests are sent to the
/// same backends, with the same refusals, whether or not questions are asked between them.
#[test]
fn explain_changes_nothing() {
    let run = |questions: usize, kind: RouteKind| {
        run_virtual(async move {
            let host = serving_host(route(kind, 2));
            add_organisations(&host);
            add_streams(&host, "gen-1", 50, 6_000);
            add_streams(&host, "gen-2", 44, 6_000);
            let base = if kind == STREAM {
                generation_question()
            } else {
                question()
            };
            let service = if kind == STREAM { "model" } else { "desk" };
            // A full budget would hide what is added to it.
            while host.acquire_retry(service) {}
            let mut sent = Vec::new();
            for round in 0..60u64 {
                for at in 0..questions {
                    let organisation = ["north", "south"][at % 2];
                    let asked = Question {
                        organisation: Some(organisation.to_owned()),
                        deadline_ms: Some(5 + at as u64 * 900),
                        ..base.clone()
                    };
                    explain(&host, &asked).expect("an answer");
                    assert!(explain(&host, &Question::default()).is_err());
                }
                let mut sent_request = if kind == STREAM {
                    generation()
                } else {
                    request()
                };
                sent_request.id = format!("q{round}");
                let key = if round % 3 == 0 { "south-key" } else { KEY };
                sent_request.api_key = Some(ApiKey::new(key));
                // Some of them cannot be in time.
                sent_request.deadline_ms = Some(if round % 5 == 4 { 8 } else { 3_000 });
                if let Some(prompt) = &mut sent_request.prompt {
                    // Without a cached prefix, the prefill takes as long as at first.
                    prompt.parts[0].id = 100 + round;
                }
                sent.push(send(&host, sent_request).await);
            }
            let metrics = host.metrics.text();
            let mut metrics: Vec<_> = metrics.lines().map(str::to_owned).collect();
            // The order of the labels is random.
            metrics.sort();
            let overload = host.overloads.service("model", true);
            let state = (host.draw(), overload.served_share().to_bits());
            let retries = (0..1_000).take_while(|_| host.acquire_retry(service));
            (sent, metrics, state, retries.count())
        })
    };
    for kind in [STREAM, RouteKind::Idempotent] {
        let (without, with) = (run(0, kind), run(6, kind));
        assert_eq!(without.0, with.0);
        assert_eq!(without.1, with.1);
        assert_eq!((without.2, without.3), (with.2, with.3));
        assert!(without.3 > 0, "requests must add to the budget for retries");
        if kind == STREAM {
            assert!(
                without.0.iter().any(|(_, status)| *status == 503),
                "some are refused"
            );
            assert!(
                without.0.iter().any(|(_, status)| *status == 200),
                "some are served"
            );
        }
    }
}

/// Guards against a decision for overload that is not the one that the request then meets.
#[test]
fn explain_decision_of_next_request() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        add_organisations(&host);
        let north = Question {
            organisation: Some("north".to_owned()),
            ..generation_question()
        };
        let request = |deadline_ms| Request {
            api_key: Some(ApiKey::new(KEY)),
            deadline_ms: Some(deadline_ms),
            ..generation()
        };
        let hopeless = Question {
            deadline_ms: Some(100),
            ..north.clone()
        };
        // The time after which a caller may retry depends on random numbers.
        for _ in 0..8 {
            let explanation = explain(&host, &hopeless).expect("an answer");
            let Outcome::Refused {
                code,
                status,
                reason,
                retry_after_ms,
                ..
            } = explanation.outcome
            else {
                panic!("{:?}", explanation.outcome);
            };
            assert_eq!(
                (code, status, reason.as_deref()),
                (2005, 503, Some("unreachable"))
            );
            let reply = serve(&host, request(100)).await;
            assert_eq!(reply.head.status.as_u16(), 503);
            assert_eq!(reply.retry_after_ms, retry_after_ms);
        }
        // The last slots of engines are kept for more urgent requests than those of rank 2.
        add_streams(&host, "gen-1", 60, 300);
        add_streams(&host, "gen-2", 60, 300);
        let south = Question {
            organisation: Some("south".to_owned()),
            ..north
        };
        let explanation = explain(&host, &south).expect("an answer");
        let Outcome::Held {
            reason,
            max_wait_ms,
            ..
        } = explanation.outcome
        else {
            panic!("{:?}", explanation.outcome);
        };
        assert_eq!(reason, "reserved");
        assert_eq!(max_wait_ms, 2_000);
        let request = Request {
            api_key: Some(ApiKey::new("south-key")),
            ..request(4_000)
        };
        let (calls, status) = send(&host, request).await;
        assert_eq!(
            (calls.len(), status),
            (0, 503),
            "it is refused at the end of the wait"
        );
        let metrics = host.metrics.text();
        assert!(
            metrics.contains("held_total{reason=\"reserved\"} 1"),
            "{metrics}"
        );
    });
}

/// Guards against an excluded engine without its rule, or with a wrong one.
#[test]
fn explain_excluded_by_rule() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        wait_ms(100_000).await;
        let now_ms = host.now_ms();
        {
            let mut directory = host.directory.borrow_mut();
            let more = ["paused", "away", "full", "leaving", "gone", "removed"];
            for (number, id) in more.into_iter().enumerate() {
                let number = 20 + number as u8;
                directory.apply_entry(id, 2, entry("model", number, Phase::Decode), 0);
            }
            let find = |id: &str| directory.find(id).expect("an engine");
            let [paused, away, full, leaving] =
                [find("paused"), find("away"), find("full"), find("leaving")];
            directory.get_mut(paused).pause_requests(now_ms + 700);
            directory.get_mut(away).health.record_unreachable(now_ms);
            directory.get_mut(full).record_refusal(now_ms);
            directory.get_mut(leaving).announce_leaving(now_ms);
            directory.apply_removal("gone", 3, now_ms - 90_000);
            directory.apply_removal("removed", 3, now_ms - 1_000);
        }
        let explanation = explain(&host, &generation_question()).expect("an answer");
        let mut expected = vec![
            ("paused", Rule::Paused),
            ("away", Rule::Unreachable),
            ("full", Rule::Unavailable),
            ("leaving", Rule::Leaving),
            ("removed", Rule::Leaving),
        ];
        let mut found = rules(&explanation);
        expected.sort_by_key(|one| one.0);
        found.sort_by_key(|one| one.0);
        assert_eq!(found, expected);
        assert_eq!(explanation.excluded_by_rule.get(&Rule::Leaving), Some(&2));
        let mut candidates: Vec<_> = explanation.candidates.iter().map(|c| &*c.backend).collect();
        candidates.sort_unstable();
        assert_eq!(candidates, ["gen-1", "gen-2", "read-1"]);
        assert!(
            explanation
                .candidates
                .is_sorted_by(|a, b| a.score <= b.score)
        );
        // A back end that is avoided is a candidate for lack of others, and is marked.
        let mut directory = host.directory.borrow_mut();
        for id in ["gen-1", "gen-2", "read-1", "paused", "full"] {
            directory.apply_removal(id, 4, now_ms - 1_000);
        }
        drop(directory);
        let explanation = explain(&host, &generation_question()).expect("an answer");
        let candidates: Vec<_> = explanation.candidates.iter().collect();
        assert!(
            matches!(candidates[..], [away] if away.backend == "away" && away.is_avoided),
            "{candidates:?}"
        );
    });
}

/// Guards against an engine at its rate limit that is a candidate, or excluded without this rule.
#[test]
fn explain_rate_limit() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        let gen_1 = key(&host, "gen-1");
        for _ in 0..5 {
            named_limits::record_response(&host, gen_1, Some(1.0), host.now_ms());
            named_limits::record_request(&host, gen_1);
            named_limits::ask(&host, gen_1);
        }
        let exhausted = named_limits::exhausted(&host, "model", true);
        assert_eq!(exhausted, [gen_1], "the limit must be used up");
        let explanation = explain(&host, &generation_question()).expect("an answer");
        assert_eq!(rules(&explanation), [("gen-1", Rule::RateLimit)]);
        let named = chosen(&explanation);
        assert!(!named.contains(&"gen-1".to_owned()), "{named:?}");
        assert_eq!(send(&host, generation()).await, (named, 200));
    });
}

/// Guards against answers that tell API keys, other organisations, or the parts of other prompts, and
/// against names that are told with an error.
#[test]
fn explain_tells_nothing_of_others() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        add_organisations(&host);
        let mut secret = Request {
            api_key: Some(ApiKey::new("south-key")),
            ..generation()
        };
        let prompt = secret.prompt.as_mut().expect("a prompt");
        prompt.parts[0].id = 0x5ec7_e700_1234_5678;
        let (_, status) = send(&host, secret).await;
        assert_eq!(status, 200);
        let asked = Question {
            organisation: Some("north".to_owned()),
            ..generation_question()
        };
        let explanation = explain(&host, &asked).expect("an answer");
        assert_eq!(explanation.organisation.as_deref(), Some("north"));
        let unknown = Question {
            organisation: Some(KEY.to_owned()),
            ..generation_question()
        };
        let problem = explain(&host, &unknown).expect_err("a key is no name");
        assert_eq!(problem.error, ProblemKind::UnknownOrganisation);
        let text = serde_json::to_string(&explanation).expect("JSON");
        let id = 0x5ec7_e700_1234_5678_u64;
        for hidden in [KEY, "south", &format!("{id:x}"), &id.to_string()] {
            assert!(!text.contains(hidden), "{hidden} is in {text}");
        }
        assert!(!problem.message.contains("south") && !problem.message.contains("`north`"));
    });
}

/// Guards against explanations that skip a check: without an organisation a request is refused for its
/// missing key, and the organisation sets the rank unless the operator does.
#[test]
fn explain_authenticates() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        add_organisations(&host);
        let explanation = explain(&host, &generation_question()).expect("an answer");
        assert!(
            matches!(
                &explanation.outcome,
                Outcome::Refused {
                    code: 1009,
                    status: 401,
                    ..
                }
            ),
            "{:?}",
            explanation.outcome
        );
        for (rank, expected) in [(None, 2), (Some(1), 1)] {
            let asked = Question {
                organisation: Some("south".to_owned()),
                rank,
                ..generation_question()
            };
            assert_eq!(explain(&host, &asked).expect("an answer").rank, expected);
        }
    });
}

/// Guards against an explanation that sends a request to engines which it is kept away from, because
/// a part of its prompt crashes them.
#[test]
fn explain_refused_part() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        let part = PartKey {
            scope: yucca_serve::hash::hash_of("model"),
            id: 1,
        };
        for crash in 0..4 {
            wait_ms(5_000).await;
            let now_ms = host.now_ms();
            let mut causes = host.crash_causes.borrow_mut();
            causes.record(CrashId(crash), Evidence::Begun, &[part], 0, now_ms);
        }
        let (calls, status) = send(&host, generation()).await;
        assert_eq!((calls.len(), status), (0, 422));
        let explanation = explain(&host, &generation_question()).expect("an answer");
        let Outcome::Refused {
            code,
            retry_after_ms,
            ..
        } = explanation.outcome
        else {
            panic!("{:?}", explanation.outcome);
        };
        assert_eq!((code, retry_after_ms), (2010, None));
    });
}

/// Guards against an explanation that depends on the store: the state of the host is what counts.
#[test]
fn explain_without_store() {
    run_virtual(async {
        let host = serving_host(route(STREAM, 2));
        let now_ms = host.now_ms();
        host.directory.borrow_mut().record_store_failure(now_ms);
        wait_ms(60_000).await;
        let explanation = explain(&host, &generation_question()).expect("an answer");
        let named = chosen(&explanation);
        assert_eq!(send(&host, generation()).await, (named, 200));
    });
}

/// Guards against questions that are answered although they make no sense, and against errors that do
/// not tell which one it is.
#[test]
fn explain_bad_questions() {
    run_virtual(async {
        let with_prompt = generation_question();
        let by_path = |host: &str, path: &str| Question {
            route: None,
            host: Some(host.to_owned()),
            path: Some(path.to_owned()),
            ..with_prompt.clone()
        };
        let cases = [
            (
                Question {
                    route: Some("s".to_owned()),
                    ..with_prompt.clone()
                },
                ProblemKind::UnknownRoute,
            ),
            (by_path("other.example", "/x"), ProblemKind::UnknownRoute),
            (by_path("shop.example", "x"), ProblemKind::UnknownRoute),
            (
                Question {
                    route: None,
                    ..with_prompt.clone()
                },
                ProblemKind::BadQuestion,
            ),
            (
                Question {
                    host: Some("shop.example".to_owned()),
                    ..with_prompt.clone()
                },
                ProblemKind::BadQuestion,
            ),
            (question(), ProblemKind::BadQuestion),
            (
                Question {
                    tokens: Some(10),
                    ..with_prompt.clone()
                },
                ProblemKind::BadQuestion,
            ),
            (
                Question {
                    body_bytes: u32::MAX,
                    ..with_prompt.clone()
                },
                ProblemKind::BadQuestion,
            ),
            (
                Question {
                    parts: Some("1:1,".repeat(5_000) + "1:1"),
                    ..with_prompt.clone()
                },
                ProblemKind::BadQuestion,
            ),
            (
                Question {
                    organisation: Some("east".to_owned()),
                    ..with_prompt.clone()
                },
                ProblemKind::UnknownOrganisation,
            ),
        ];
        let host = serving_host(route(STREAM, 2));
        for (asked, expected) in cases {
            let problem = explain(&host, &asked).expect_err("an error");
            assert_eq!(problem.error, expected, "{asked:?}: {problem}");
        }
        assert!(explain(&host, &by_path("shop.example", "/x?y=1")).is_ok());
        let plain = serving_host(route(RouteKind::AtMostOnce, 1));
        let problem = explain(&plain, &with_prompt).expect_err("a plain request has no prompt");
        assert_eq!(problem.error, ProblemKind::BadQuestion);
        let empty = common::host();
        let problem = explain(&empty, &with_prompt).expect_err("no configuration");
        assert_eq!(problem.error, ProblemKind::NoConfiguration);
    });
}

/// Guards against answers whose size grows with the number of engines, and against a split of the
/// traffic that is explained for another service than the request gets.
#[test]
fn explain_many_engines_and_split() {
    run_virtual(async {
        let mut split: Route = route(STREAM, 2);
        split.services.push(WeightedService {
            service: "other".to_owned(),
            weight: 1,
        });
        let host = serving_host(split);
        {
            let mut directory = host.directory.borrow_mut();
            for number in 0..200u8 {
                let id = format!("more-{number}");
                directory.apply_entry(&id, 2, entry("model", number, Phase::Decode), 0);
            }
        }
        let explanation = explain(&host, &generation_question()).expect("an answer");
        assert_eq!(explanation.candidates.len(), MAX_LISTED);
        assert_eq!(explanation.candidate_count, 203);
        assert_eq!(explanation.service, "model");
        assert_eq!(explanation.weights.len(), 2);
        let mut services = Vec::new();
        for number in 0..20 {
            let id = format!("id-{number}");
            let asked = Question {
                request_id: Some(id.clone()),
                ..generation_question()
            };
            let service = explain(&host, &asked).expect("an answer").service;
            let (_, status) = send(&host, Request { id, ..generation() }).await;
            // The other service has no engines.
            assert_eq!(status, if service == "model" { 200 } else { 503 });
            services.push(service);
        }
        services.sort();
        services.dedup();
        assert_eq!(services, ["model", "other"]);
        assert!(
            !QuestionLimit::new(0).admit(0),
            "a limit of 0 answers nothing"
        );
    });
}
