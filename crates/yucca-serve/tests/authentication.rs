//! Tests that requests run only with an API key of an organisation, and that back ends learn the name of
//! the organisation and never the key.

mod common;

use std::rc::Rc;

use common::{FakeBackends, generation, request, route, run_virtual, serving_host};
use http::HeaderValue;
use http::header::AUTHORIZATION;
use yucca_serve::config::{Route, RouteKind, ServingConfig};
use yucca_serve::host::Host;
use yucca_serve::organisations::{ApiKey, Organisation, Organisations, SharedKey};
use yucca_serve::request::Request;
use yucca_serve::serve::serve;

const STREAM: RouteKind = RouteKind::Stream { is_resumable: true };

fn organisation(name: &str, urgency: Option<u8>) -> Organisation {
    Organisation {
        name: name.into(),
        urgency,
    }
}

fn organisations() -> Organisations {
    let mut organisations = Organisations::default();
    let keys = ["north-key", "north-spare"].map(ApiKey::new);
    organisations
        .add(organisation("north", None), keys)
        .expect("keys of its own");
    organisations
        .add(organisation("south", Some(3)), [ApiKey::new("south-key")])
        .expect("a key of its own");
    organisations
}

/// A host whose configuration has organisations.
fn host_with_keys(route: Route) -> Rc<Host<FakeBackends>> {
    let host = serving_host(route);
    let before = host.config().expect("a configuration");
    host.set_config(ServingConfig {
        version: before.version + 1,
        organisations: organisations(),
        ..ServingConfig::clone(&before)
    });
    host
}

fn with_key(request: Request, key: Option<&str>) -> Request {
    let mut request = Request {
        api_key: key.map(ApiKey::new),
        ..request
    };
    if let Some(key) = key {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).expect("a header");
        request.headers.insert(AUTHORIZATION, value);
    }
    request
}

/// Guards against requests that run under a wrong organisation or without one, and against keys that
/// reach a back end, on all kinds of routes.
#[test]
fn authenticate_keys() {
    let cases = [
        (Some("north-key"), 200, Some("north")),
        (Some("north-spare"), 200, Some("north")),
        (Some("south-key"), 200, Some("south")),
        (Some("South-key"), 401, None),
        (Some(""), 401, None),
        (None, 401, None),
    ];
    for kind in [RouteKind::Idempotent, RouteKind::AtMostOnce, STREAM] {
        for (key, status, name) in cases {
            run_virtual(async {
                let host = host_with_keys(route(kind, 2));
                let sent = match kind {
                    RouteKind::Stream { .. } => generation(),
                    _ => request(),
                };
                let reply = serve(&host, with_key(sent, key)).await;
                assert_eq!(reply.head.status, status, "{kind:?} {key:?}");
                let received = host.backends.requests.borrow();
                assert_eq!(received.is_empty(), name.is_none(), "{kind:?} {key:?}");
                for received in &*received {
                    assert_eq!(received.organisation.as_deref(), name);
                    assert!(!received.headers.contains_key(AUTHORIZATION));
                    assert_eq!(received.api_key, None);
                }
            });
        }
    }
}

/// A public route needs no key and ignores one; without organisations nothing is checked or removed.
#[test]
fn authenticate_not_needed() {
    run_virtual(async {
        let public = Route {
            is_public: true,
            ..route(RouteKind::Idempotent, 2)
        };
        let host = host_with_keys(public);
        for key in [None, Some("unknown"), Some("north-key")] {
            let reply = serve(&host, with_key(request(), key)).await;
            assert_eq!(reply.head.status, 200, "{key:?}");
        }
        for received in &*host.backends.requests.borrow() {
            assert_eq!(received.organisation, None);
            assert!(!received.headers.contains_key(AUTHORIZATION));
        }
        let host = serving_host(route(RouteKind::Idempotent, 2));
        let reply = serve(&host, with_key(request(), Some("other system's"))).await;
        assert_eq!(reply.head.status, 200);
        let requests = host.backends.requests.borrow();
        assert!(requests[0].headers.contains_key(AUTHORIZATION));
    });
}

/// Without a configuration a host knows no keys: 401 would be final for the caller.
#[test]
fn authenticate_without_config() {
    run_virtual(async {
        let host = common::host();
        let reply = serve(&host, with_key(request(), Some("north-key"))).await;
        assert_eq!(reply.head.status, 503);
    });
}

/// The rank of the organisation replaces that of the route.
#[test]
fn authenticate_urgency() {
    for (key, urgency) in [("north-key", 0), ("south-key", 3)] {
        run_virtual(async {
            let host = host_with_keys(route(STREAM, 2));
            let reply = serve(&host, with_key(generation(), Some(key))).await;
            assert_eq!(reply.head.status, 200);
            let prefill_urgency = host.backends.calls.borrow()[0].urgency;
            assert_eq!(prefill_urgency, urgency);
        });
    }
}

/// Two organisations with one key could not be told apart.
#[test]
fn organisations_shared_key() {
    let mut organisations = organisations();
    let shared = organisations.add(organisation("west", None), [ApiKey::new("north-spare")]);
    assert_eq!(
        shared,
        Err(SharedKey {
            organisations: ["north".into(), "west".into()]
        })
    );
}

/// Keys must not appear in logs, which print requests and configurations in debug format.
#[test]
fn api_key_debug() {
    let request = with_key(request(), Some("north-key"));
    assert!(!format!("{:?}", request.api_key).contains("north-key"));
    assert!(!format!("{:?}", organisations()).contains("north-key"));
}
