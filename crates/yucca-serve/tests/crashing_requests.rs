//! Tests that hosts together stop sending requests that crash plain servers, and keep serving the
//! others, in virtual time.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use common::site::{SERVERS, Site, engine_id};
use common::{run_virtual, wait_ms};
use tokio::task::spawn_local;
use tokio::time::Duration;
use yucca_serve::config::RouteKind;

/// Time within which a host that can reach the others has all that they know.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Number of crashes after which the request must be known.
const CRASHES: usize = 3;
/// Calls with the request that may reach servers later than [`CONTACT`] after that.
const MAX_LATE_CALLS: usize = 3;
const DEADLY: &str = "deadly";

/// Sends the deadly request, `at_once` of them at a time through different hosts, until the test
/// ends.
async fn send_deadly(site: Rc<Site>, interval_ms: u64, at_once: u32, repeats: u32) {
    *site.fleet.deadly_body.borrow_mut() = Some(Bytes::from_static(DEADLY.as_bytes()));
    loop {
        wait_ms(interval_ms).await;
        for _ in 0..at_once {
            let site = Rc::clone(&site);
            spawn_local(async move { site.call_plain(DEADLY.to_owned(), repeats).await });
        }
    }
}

/// Counts of the sound requests.
#[derive(Debug, Default)]
struct Sound {
    sent: Cell<u32>,
    served: Cell<u32>,
    refused_as_cause: Cell<u32>,
}

/// Sends sound requests until the test ends. Their contents come again, `contents` of them.
async fn send_sound(site: Rc<Site>, counts: Rc<Sound>, interval_ms: u64, contents: u64) {
    loop {
        wait_ms(interval_ms).await;
        let (site, counts) = (Rc::clone(&site), Rc::clone(&counts));
        spawn_local(async move {
            let content = site.draw(contents);
            let status = site.call_plain(format!("sound {content}"), 2).await;
            let add = |cell: &Cell<u32>, is_one: bool| cell.set(cell.get() + u32::from(is_one));
            add(&counts.sent, true);
            add(&counts.served, status == 200);
            add(&counts.refused_as_cause, status == 422);
        });
    }
}

fn late_calls(site: &Site) -> usize {
    let crashes = site.fleet.crashes.borrow();
    let Some(last) = crashes.get(CRASHES - 1) else {
        return 0;
    };
    let calls = site.fleet.deadly_calls.borrow();
    calls.iter().filter(|call| **call > *last + CONTACT).count()
}

/// What happens to the hosts meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Each host is restarted in turn.
    Restarts,
    /// One host is cut off from the others for two seconds at a time.
    Cuts,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    kind: RouteKind,
    hosts: usize,
    interval_ms: u64,
    at_once: u32,
    loss: f64,
    trouble: Trouble,
}

const CASE: Case = Case {
    name: "one a second",
    kind: RouteKind::AtMostOnce,
    hosts: 7,
    interval_ms: 1_000,
    at_once: 1,
    loss: 0.0,
    trouble: Trouble::None,
};

/// Guards against a request that crashes server after server because no host remembers it.
#[test]
fn serve_deadly_request_reaches_few_servers() {
    let idempotent = RouteKind::Idempotent;
    #[rustfmt::skip]
    let cases = [
        CASE,
        Case { name: "idempotent", kind: idempotent, ..CASE },
        Case { name: "ten a second", interval_ms: 100, ..CASE },
        Case { name: "idempotent, ten a second", kind: idempotent, interval_ms: 100, ..CASE },
        Case { name: "a third of the datagrams lost", interval_ms: 500, loss: 0.33, ..CASE },
        Case { name: "hosts restarted", interval_ms: 500, loss: 0.05, trouble: Trouble::Restarts, ..CASE },
        Case { name: "hosts cut off", interval_ms: 500, loss: 0.05, trouble: Trouble::Cuts, ..CASE },
        Case { name: "sixty hosts", kind: idempotent, hosts: 60, interval_ms: 300, loss: 0.05, trouble: Trouble::Restarts, ..CASE },
    ];
    for case in cases {
        run_virtual(run_case(case));
    }
}

/// Guards against a request that crashes several servers at the same moment, again and again, because
/// crashes at the same moment count as one.
#[test]
fn serve_deadly_request_at_several_hosts_reaches_few_servers() {
    for (name, kind, at_once) in [
        ("three at once", RouteKind::AtMostOnce, 3),
        ("three at once, idempotent", RouteKind::Idempotent, 3),
        ("six at once", RouteKind::AtMostOnce, 6),
    ] {
        run_virtual(run_case(Case {
            name,
            kind,
            at_once,
            ..CASE
        }));
    }
}

async fn run_case(case: Case) {
    let site = Site::spawn_plain(case.hosts, case.loss, case.kind);
    let sound = Rc::new(Sound::default());
    spawn_local(send_sound(Rc::clone(&site), Rc::clone(&sound), 20, 1_000));
    wait_ms(2_000).await;
    let repeats = if case.kind == RouteKind::Idempotent {
        2
    } else {
        0
    };
    spawn_local(send_deadly(
        Rc::clone(&site),
        case.interval_ms,
        case.at_once,
        repeats,
    ));
    for round in 0..11 {
        wait_ms(2_000).await;
        let at = round % case.hosts;
        match case.trouble {
            Trouble::None => {}
            Trouble::Restarts => site.restart(at),
            Trouble::Cuts => {
                for member in site.members.borrow().iter() {
                    member.is_isolated.set(member.number == at);
                }
            }
        }
    }
    let crashes = site.fleet.crashes.borrow().len();
    let late_calls = late_calls(&site);
    let name = case.name;
    assert!(crashes > 0, "{name}: no server crashed");
    assert!(
        late_calls <= MAX_LATE_CALLS,
        "{name}: {late_calls} late calls, {crashes} crashes"
    );
    assert_eq!(sound.refused_as_cause.get(), 0, "{name}: {sound:?}");
    sound.sent.set(0);
    sound.served.set(0);
    wait_ms(2_000).await;
    let share = f64::from(sound.served.get()) / f64::from(sound.sent.get());
    assert!(share > 0.95, "{name}: {share:.2} of sound requests served");
}

/// Guards against refusing sound requests because servers that ran them crashed for another
/// reason, while callers repeat them.
#[test]
fn serve_servers_crash_for_another_reason_refuses_no_sound_request() {
    /// Which servers crash in each round, and the pause between rounds in milliseconds.
    const CASES: [(&str, u8, u64); 4] = [
        ("one after the other", 1, 3_500),
        ("in quick succession", 1, 300),
        ("two at a time", 2, 3_500),
        ("all at a time", SERVERS, 4_000),
    ];
    for (name, at_a_time, pause_ms) in CASES {
        for contents in [3, 40] {
            run_virtual(async {
                let site = Site::spawn_plain(7, 0.05, RouteKind::Idempotent);
                let sound = Rc::new(Sound::default());
                spawn_local(send_sound(
                    Rc::clone(&site),
                    Rc::clone(&sound),
                    10,
                    contents,
                ));
                for round in 0..8u8 {
                    wait_ms(pause_ms).await;
                    for server in 0..at_a_time {
                        site.fleet
                            .crash(&engine_id((at_a_time * round + server) % SERVERS));
                    }
                }
                wait_ms(5_000).await;
                assert_eq!(
                    sound.refused_as_cause.get(),
                    0,
                    "{name}, {contents}: {sound:?}"
                );
            });
        }
    }
}

/// Guards against refusing sound requests of a host whose path to the servers is cut, which looks
/// like a crash of each of them to this host.
#[test]
fn serve_path_to_servers_cut_refuses_no_sound_request() {
    run_virtual(async {
        let site = Site::spawn_plain(7, 0.05, RouteKind::Idempotent);
        let sound = Rc::new(Sound::default());
        spawn_local(send_sound(Rc::clone(&site), Rc::clone(&sound), 10, 3));
        for round in 0..12u8 {
            wait_ms(700).await;
            let members = site.members.borrow();
            let backends = &members[0].host.backends;
            backends.cut_off.borrow_mut().clear();
            let server = engine_id(round % SERVERS);
            backends.cut_off.borrow_mut().insert(server);
        }
        wait_ms(2_000).await;
        assert_eq!(sound.refused_as_cause.get(), 0, "{sound:?}");
    });
}
