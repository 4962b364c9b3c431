//! Tests that hosts which have lost their own paths to the backends serve their callers through other hosts.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use common::site::{ENGINES, Member, SERVERS, Site, engine_id};
use common::{Chunk, Step, generation, request, run_virtual, wait_ms};
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::task::spawn_local;
use tokio::time::Instant;
use yucca_io::tunnel::Gate;
use yucca_serve::config::RouteKind;
use yucca_serve::ports::{Notice, NoticeContent};
use yucca_serve::proxies::TunnelGate;
use yucca_serve::request::Request;
use yucca_serve::serve::serve;

const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };
const ONE_RUN: RouteKind = RouteKind::Stream {
    is_resumable: false,
};
/// Time after the beginning of a partition from which on its callers must be served.
const CONTACT_MS: u64 = 3_000;
/// Time from the end of a partition after which the paths are used again.
const RETURN_MS: u64 = 1_000;
/// Interval between two requests to a host.
const REQUEST_INTERVAL_MS: u64 = 60;

/// The first tries of callers at one host, and whether they were served.
#[derive(Debug, Default)]
struct Tries(RefCell<Vec<(Instant, u16, bool)>>);

impl Tries {
    /// Share of the tries since `from` that were served.
    fn served_share(&self, from: Instant) -> f64 {
        let tries = self.0.borrow();
        let since: Vec<_> = tries.iter().filter(|(begun, ..)| *begun >= from).collect();
        assert!(since.len() >= 10, "{} requests", since.len());
        since.iter().filter(|(_, _, is_served)| *is_served).count() as f64 / since.len() as f64
    }

    /// Numbers of tries since `from` by status and completeness.
    fn statuses(&self, from: Instant) -> BTreeMap<(u16, bool), usize> {
        let mut statuses = BTreeMap::new();
        let tries = self.0.borrow();
        for (_, status, is_served) in tries.iter().filter(|(begun, ..)| *begun >= from) {
            *statuses.entry((*status, *is_served)).or_default() += 1;
        }
        statuses
    }

    fn has_status(&self, status: u16) -> bool {
        self.0.borrow().iter().any(|(_, found, _)| *found == status)
    }
}

fn spawn(hosts: usize, kind: RouteKind) -> (Rc<Site>, u8) {
    match kind {
        RouteKind::Stream { is_resumable: true } => (Site::spawn(hosts, 0.0), ENGINES),
        RouteKind::Stream { .. } => (Site::spawn_at_most_once(hosts, 0.0), ENGINES),
        RouteKind::Idempotent | RouteKind::AtMostOnce => {
            (Site::spawn_plain(hosts, 0.0, kind), SERVERS)
        }
    }
}

/// Sends requests to one host for as long as the test runs.
async fn send(
    site: Rc<Site>,
    member: Rc<Member>,
    kind: RouteKind,
    interval_ms: u64,
    tries: Rc<Tries>,
) {
    for number in 0.. {
        wait_ms(interval_ms).await;
        let id = format!("{}-{number}", member.number);
        let request = match kind {
            RouteKind::Stream { .. } => {
                let mut generation = Request { id, ..generation() };
                let prompt = generation.prompt.as_mut().expect("a prompt");
                prompt.tokens = 300;
                for part in &mut prompt.parts {
                    part.id = site.draw(u64::MAX >> 34);
                    part.tokens = 150;
                }
                generation
            }
            RouteKind::Idempotent | RouteKind::AtMostOnce => Request { id, ..request() },
        };
        let (member, tries) = (Rc::clone(&member), Rc::clone(&tries));
        spawn_local(async move {
            let begun = Instant::now();
            let chunks = vec![
                Chunk::Bytes(3, "id: 1\ndata: a\n\n"),
                Chunk::Bytes(50, "id: 2\ndata: b\n\n"),
            ];
            let ids: Vec<String> = (0..ENGINES).map(engine_id).collect();
            let backends = &member.host.backends;
            backends.script_only(&ids, &Step::Respond(200, chunks));
            let reply = serve(&member.host, request).await;
            let status = reply.head.status.as_u16();
            let is_complete = reply.body.collect().await.is_ok();
            let tried = (begun, status, status == 200 && is_complete);
            tries.0.borrow_mut().push(tried);
        });
    }
}

/// Sends requests to all hosts. Returns the tries at each.
fn send_to_all(site: &Rc<Site>, kind: RouteKind) -> Vec<Rc<Tries>> {
    send_to_all_each(site, kind, REQUEST_INTERVAL_MS)
}

/// As [`send_to_all`], with another interval between two requests to a host.
fn send_to_all_each(site: &Rc<Site>, kind: RouteKind, interval_ms: u64) -> Vec<Rc<Tries>> {
    let members = site.members.borrow().clone();
    let tries = members.into_iter().map(|member| {
        let tries = Rc::new(Tries::default());
        let sent = send(
            Rc::clone(site),
            member,
            kind,
            interval_ms,
            Rc::clone(&tries),
        );
        spawn_local(sent);
        tries
    });
    tries.collect()
}

/// Cuts hosts off from the first `backends` backends for a while. Checks that all hosts serve from [`CONTACT_MS`] on,
/// blame no request for a crash, and call directly again after the end.
async fn serve_beside_partition(
    site: &Site,
    cut: &[Rc<Member>],
    backends: u8,
    hangs: bool,
    tries: &[Rc<Tries>],
    case: &str,
) {
    for member in cut {
        member.host.backends.cut_off_hangs.set(hangs);
        member.cut_off_from(backends, true);
    }
    wait_ms(CONTACT_MS).await;
    let from = Instant::now();
    wait_ms(6_000).await;
    for (at, tries) in tries.iter().enumerate() {
        let share = tries.served_share(from);
        let statuses = tries.statuses(from);
        assert!(
            share >= 0.9,
            "{case}: host {at} served {share}, {statuses:?}"
        );
        assert!(!tries.has_status(422), "{case}: blamed for a crash");
    }
    for member in cut {
        assert!(member.host.metrics.proxied_calls.get() > 0, "{case}");
        member.cut_off_from(backends, false);
    }
    wait_ms(RETURN_MS).await;
    let proxied = |member: &Rc<Member>| member.host.metrics.proxied_calls.get();
    let members = site.members.borrow().clone();
    let before: Vec<u64> = members.iter().map(proxied).collect();
    wait_ms(2_000).await;
    let after: Vec<u64> = members.iter().map(proxied).collect();
    assert_eq!(before, after, "{case}: still through others");
}

/// Guards against hosts that turn their callers away because their own paths to all backends are lost, although the
/// other hosts have room: 17 of 456 first tries were served.
#[test]
fn partition_hosts_serve_through_others() {
    for kind in [
        RouteKind::AtMostOnce,
        RouteKind::Idempotent,
        RESUMABLE,
        ONE_RUN,
    ] {
        for (cut, hangs) in [(4, true), (4, false), (1, true), (6, false)] {
            run_virtual(async {
                let case = format!("{kind:?}, {cut} of 7 hosts, hangs {hangs}");
                let (site, backends) = spawn(7, kind);
                wait_ms(1_000).await;
                let tries = send_to_all(&site, kind);
                wait_ms(2_000).await;
                let members = site.members.borrow().clone();
                serve_beside_partition(&site, &members[..cut], backends, hangs, &tries, &case)
                    .await;
            });
        }
    }
}

/// Guards against calls that end among the hosts of the same availability zone, which are preferred as proxies and are
/// all partitioned too.
#[test]
fn partition_of_zone_serves_through_others() {
    for (interval_ms, hangs) in [(60, true), (400, false)] {
        run_virtual(async {
            let case = format!("a request each {interval_ms} ms, hangs {hangs}");
            let site = Site::spawn_zones(30, 3, RouteKind::AtMostOnce);
            wait_ms(1_000).await;
            let tries = send_to_all_each(&site, RouteKind::AtMostOnce, interval_ms);
            wait_ms(2_000).await;
            let members = site.members.borrow().clone();
            let zone: Vec<_> = members.into_iter().step_by(3).collect();
            serve_beside_partition(&site, &zone, SERVERS, hangs, &tries, &case).await;
        });
    }
}

/// Guards against hosts that cannot tell a partition from a crash where a service has a single backend, and turn away
/// all of its callers.
#[test]
fn partition_noticed_with_one_server() {
    for (kind, hangs) in [
        (RouteKind::Idempotent, true),
        (RouteKind::Idempotent, false),
        (RouteKind::AtMostOnce, true),
        (RouteKind::AtMostOnce, false),
    ] {
        run_virtual(async {
            let case = format!("{kind:?}, hangs {hangs}");
            let site = Site::spawn_lone_server(7, kind);
            wait_ms(1_000).await;
            let tries = send_to_all(&site, kind);
            wait_ms(2_000).await;
            let members = site.members.borrow().clone();
            serve_beside_partition(&site, &members[..4], ENGINES, hangs, &tries, &case).await;
        });
    }
}

/// Guards against calls through other hosts when the only server of a service has crashed while the engines of another
/// one serve.
#[test]
fn partition_not_suspected_after_crash_of_one_server() {
    run_virtual(async {
        let site = Site::spawn_lone_server(7, RouteKind::Idempotent);
        wait_ms(1_000).await;
        let _tries = send_to_all(&site, RouteKind::Idempotent);
        wait_ms(1_000).await;
        site.fleet.crash(&engine_id(0));
        let members = site.members.borrow().clone();
        for _ in 0..25 {
            wait_ms(100).await;
            for member in &members {
                let host = &member.host;
                assert!(!host.paths.is_partitioned("desk", host.now_ms()));
                assert_eq!(host.metrics.taken_tunnels.get(), 0);
                assert_eq!(host.metrics.proxied_calls.get(), 0);
            }
        }
    });
}

/// Guards against hosts that take an outage of the backends for their own partition, and against a partition of all
/// hosts that lasts after its end.
#[test]
fn partition_of_all_hosts_ends() {
    for hangs in [false, true] {
        run_virtual(async {
            let (site, backends) = spawn(7, RouteKind::Idempotent);
            wait_ms(1_000).await;
            let tries = send_to_all(&site, RouteKind::Idempotent);
            wait_ms(1_000).await;
            let members = site.members.borrow().clone();
            for member in &members {
                member.host.backends.cut_off_hangs.set(hangs);
                member.cut_off_from(backends, true);
            }
            wait_ms(6_000).await;
            for member in &members {
                member.cut_off_from(backends, false);
            }
            wait_ms(RETURN_MS).await;
            let from = Instant::now();
            wait_ms(2_000).await;
            for (at, tries) in tries.iter().enumerate() {
                let share = tries.served_share(from);
                assert!(share >= 0.9, "hangs {hangs}: host {at} served {share}");
                assert!(!tries.has_status(422), "blamed for a crash");
            }
        });
    }
}

/// Guards against calls through other hosts when some backends have crashed: each costs those hosts work.
#[test]
fn partition_not_suspected_after_crashes() {
    run_virtual(async {
        let (site, _) = spawn(7, RESUMABLE);
        wait_ms(1_000).await;
        let _tries = send_to_all(&site, RESUMABLE);
        wait_ms(1_000).await;
        for engine in 0..4 {
            site.fleet.crash(&engine_id(engine));
        }
        wait_ms(2_500).await;
        let members = site.members.borrow().clone();
        let proxied: u64 = members
            .iter()
            .map(|member| member.host.metrics.proxied_calls.get())
            .sum();
        let sent = members.len() as u64 * 2_500 / REQUEST_INTERVAL_MS;
        assert!(proxied * 50 <= sent, "{proxied} of {sent} calls");
    });
}

/// Guards against tunnels to anything but a backend that the host would use itself, and against tunnels that outsiders
/// open.
#[test]
fn tunnel_gate_refuses() {
    run_virtual(async {
        let (site, backends) = spawn(3, RouteKind::Idempotent);
        wait_ms(1_000).await;
        let member = Rc::clone(&site.members.borrow()[0]);
        let host = &member.host;
        let gate = TunnelGate(Rc::clone(host));
        let peer = "10.9.0.2".parse().expect("an address");
        assert!(gate.admits(peer));
        assert!(!gate.admits("10.200.1.7".parse().expect("an address")));
        let address_of = |backend: u8| {
            let key = host.directory.borrow().find(&engine_id(backend));
            host.target(key.expect("a backend")).address
        };
        let status = |backend: u8| gate.permit(address_of(backend)).err();
        assert_eq!(status(0), None);
        let unknown = "10.200.1.7:80".parse().expect("an address");
        let refused = gate.permit(unknown).err();
        assert_eq!(refused, Some(StatusCode::FORBIDDEN), "no backend");
        let leaving = Notice {
            from: engine_id(0).into(),
            via: None,
            received: Instant::now(),
            content: NoticeContent::Leaving,
        };
        let paused = Notice {
            from: engine_id(1).into(),
            content: NoticeContent::RetryAfter { wait_ms: 2_000 },
            ..leaving.clone()
        };
        host.backends.notices.borrow_mut().extend([leaving, paused]);
        assert_eq!(status(0), Some(StatusCode::FORBIDDEN), "a leaving backend");
        let unavailable = Some(StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(status(1), unavailable, "it wants no requests");
        assert_eq!(status(2), None);
        member.cut_off_from(backends, true);
        for _ in 0..4 {
            serve(host, request()).await;
        }
        assert_eq!(status(2), unavailable, "a partitioned host");
        member.cut_off_from(backends, false);
        wait_ms(RETURN_MS).await;
        assert_eq!(status(2), None);
        host.stop();
        assert_eq!(status(2), unavailable, "a stopping host");
    });
}
