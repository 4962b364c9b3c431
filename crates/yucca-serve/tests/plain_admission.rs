//! Plain requests at back ends that are full, with and without organisations.

mod common;

use std::rc::Rc;

use common::{Chunk, FakeBackends, Step, request, route, run_virtual, serving_host, wait_ms};
use http::StatusCode;
use tokio::task::spawn_local;
use yucca_serve::config::{RouteKind, ServingConfig};
use yucca_serve::explain::explain;
use yucca_serve::host::Host;
use yucca_serve::organisations::{ApiKey, Organisation, Organisations};
use yucca_serve::plain_admission::measure;
use yucca_serve::ports::CallFault;
use yucca_serve::reply::Reply;
use yucca_serve::request::Request;
use yucca_serve::serve::serve;
use yuccacove::explanation::{Outcome, Question};

const SERVERS: [&str; 2] = ["desk-1", "desk-2"];

/// A host whose plain requests are of the organisations "hule" and "recibo", or of none.
fn host(has_organisations: bool) -> Rc<Host<FakeBackends>> {
    let host = serving_host(route(RouteKind::Idempotent, 2));
    if has_organisations {
        let mut organisations = Organisations::default();
        for name in ["hule", "recibo"] {
            let organisation = Organisation {
                name: name.into(),
                urgency: None,
            };
            let keys = [ApiKey::new(format!("key-{name}"))];
            organisations
                .add(organisation, keys)
                .expect("different keys");
        }
        let known = host.config().expect("a configuration");
        host.set_config(ServingConfig {
            version: known.version + 1,
            organisations,
            ..(*known).clone()
        });
    }
    host
}

fn request_of(organisation: &str) -> Request {
    Request {
        api_key: Some(ApiKey::new(format!("key-{organisation}"))),
        ..request()
    }
}

fn script(host: &Host<FakeBackends>, step: &Step, count: usize) {
    for server in SERVERS {
        host.backends
            .script(server, std::iter::repeat_n(step.clone(), count));
    }
}

fn full() -> Step {
    Step::Fault(CallFault::NotRun { status: 503 })
}

/// Scripts back ends that have room for a quarter of what reaches them.
fn script_quarter(host: &Host<FakeBackends>) {
    let served = Step::Respond(200, vec![Chunk::Bytes(40, "ok")]);
    for _ in 0..500 {
        script(host, &served, 1);
        script(host, &full(), 3);
    }
}

async fn send(host: &Rc<Host<FakeBackends>>, organisation: &str) -> Reply {
    serve(host, request_of(organisation)).await
}

/// Guards against callers that all return at the same time, or too late for another try, after full back
/// ends have refused their requests.
#[test]
fn serve_full_backends_retry_after() {
    run_virtual(async {
        let host = host(true);
        script(&host, &full(), 20);
        let mut retries_ms = Vec::new();
        for _ in 0..10 {
            let reply = send(&host, "hule").await;
            assert_eq!(reply.head.status, StatusCode::SERVICE_UNAVAILABLE);
            retries_ms.push(reply.retry_after_ms.expect("a refusal"));
            wait_ms(400).await;
        }
        assert!(
            retries_ms.iter().all(|ms| ms * 3 <= 4_000),
            "{retries_ms:?}"
        );
        retries_ms.sort_unstable();
        retries_ms.dedup();
        assert!(retries_ms.len() >= 8, "{retries_ms:?}");
    });
}

/// Guards against a decision in deployments without organisations, whose requests go to back ends as
/// before, however many were refused.
#[test]
fn serve_full_backends_without_organisations() {
    run_virtual(async {
        let host = host(false);
        script(&host, &full(), 60);
        for _ in 0..30 {
            let reply = serve(&host, request()).await;
            assert_eq!(reply.retry_after_ms, Some(250));
        }
        assert_eq!(host.backends.calls.borrow().len(), 60);
    });
}

/// Guards against an organisation that keeps back ends full: its requests are refused before they are
/// sent, while those of another one are still sent.
#[test]
fn serve_flood_refused_unsent() {
    run_virtual(async {
        let host = host(true);
        script_quarter(&host);
        let mut unsent = [0; 2];
        for at in 0..400 {
            let is_flood = at % 10 > 0;
            let before = host.backends.calls.borrow().len();
            let organisation = if is_flood { "hule" } else { "recibo" };
            let task_host = Rc::clone(&host);
            let task = spawn_local(async move { send(&task_host, organisation).await });
            wait_ms(15).await;
            let is_unsent = host.backends.calls.borrow().len() == before;
            unsent[usize::from(is_flood)] += u32::from(is_unsent);
            drop(task);
        }
        assert!(unsent[1] >= 200, "{unsent:?}");
        assert!(unsent[0] <= 10, "{unsent:?}");
    });
}

/// Guards against an explanation that says that a request is sent although the decision refuses it.
#[test]
fn explain_flood_refused_unsent() {
    run_virtual(async {
        let host = host(true);
        script_quarter(&host);
        let question = Question {
            route: Some("r".to_owned()),
            organisation: Some("hule".to_owned()),
            deadline_ms: Some(4_000),
            ..Question::default()
        };
        let mut refused = 0;
        for _ in 0..400 {
            let explanation = explain(&host, &question).expect("an explanation");
            let before = host.backends.calls.borrow().len();
            let task_host = Rc::clone(&host);
            let task = spawn_local(async move { send(&task_host, "hule").await });
            wait_ms(15).await;
            let is_unsent = host.backends.calls.borrow().len() == before;
            match explanation.outcome {
                Outcome::Placed { .. } => assert!(!is_unsent, "{:?}", explanation.choice),
                Outcome::Held { .. } | Outcome::Refused { .. } => {
                    assert!(is_unsent, "{:?}", explanation.outcome);
                    refused += 1;
                }
            }
            drop(task);
        }
        assert!(refused >= 100, "{refused}");
    });
}

/// A duration that includes a pause of the process must not count as a service time.
#[test]
fn measure_pause() {
    run_virtual(async {
        let (_, took_ms) = measure(wait_ms(180)).await;
        assert!(took_ms.is_some_and(|ms| (179.0..185.0).contains(&ms)));
        let paused = async {
            wait_ms(20).await;
            // As after a pause, the clock has advanced when the task runs again.
            tokio::time::advance(std::time::Duration::from_millis(400)).await;
            wait_ms(20).await;
        };
        assert_eq!(measure(paused).await.1, None);
    });
}
