//! Tests that hosts together stop sending requests whose prompts crash engines, and keep serving
//! the others, in virtual time.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::site::{ENGINES, Site, engine_id};
use common::{run_virtual, wait_ms};
use tokio::task::spawn_local;
use tokio::time::{Duration, Instant};

/// Time within which a host that can reach the others has all that they know.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Number of crashes after which a part must be known.
const CRASHES: usize = 5;
/// Number of crashes after which a whole request must be known.
const REQUEST_CRASHES: usize = 3;
/// Requests that may reach engines later than [`CONTACT`] after that.
const MAX_LATE_CALLS: usize = 3;
const DEADLY_PART: u64 = 100;

/// Sends requests with the deadly part, no two alike, until the test ends.
async fn send_deadly(site: Rc<Site>, interval_ms: u64) {
    for own in 1_000_000.. {
        wait_ms(interval_ms).await;
        let site = Rc::clone(&site);
        spawn_local(async move {
            site.call(vec![1, DEADLY_PART, 200 + own % 3, own]).await;
        });
    }
}

/// Number of requests with the deadly part that were sent later than [`CONTACT`] after the
/// crash number [`CRASHES`].
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

/// Guards against a part of prompts that crashes engine after engine because no host remembers it.
#[test]
fn serve_deadly_part_reaches_few_engines() {
    run_deadly_part(&|_| ());
}

/// As above, for engines that crash before they send a byte of a response, while sound requests wait
/// for theirs.
#[test]
fn serve_deadly_part_before_head_reaches_few_engines() {
    run_deadly_part(&|site| {
        site.fleet.head_ms.set(40);
        site.fleet.crashes_before_head.set(true);
    });
}

fn run_deadly_part(prepare: &dyn Fn(&Site)) {
    let cases = [
        ("one a second", 7, 1_000, 0.0, Trouble::None),
        ("five a second", 7, 200, 0.0, Trouble::None),
        ("a third of the datagrams lost", 7, 500, 0.33, Trouble::None),
        ("hosts restarted", 7, 500, 0.05, Trouble::Restarts),
        ("hosts cut off", 7, 500, 0.05, Trouble::Cuts),
        ("sixty hosts", 60, 300, 0.05, Trouble::Restarts),
    ];
    for (name, hosts, interval_ms, loss, trouble) in cases {
        run_virtual(async {
            let site = Site::spawn(hosts, loss);
            prepare(&site);
            site.fleet.deadly_part.set(Some(DEADLY_PART));
            spawn_local(Rc::clone(&site).send_sound(40));
            wait_ms(2_000).await;
            spawn_local(send_deadly(Rc::clone(&site), interval_ms));
            for round in 0..11 {
                wait_ms(2_000).await;
                let at = round % hosts;
                match trouble {
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
            assert!(crashes > 0, "{name}: no engine crashed");
            assert!(
                late_calls <= MAX_LATE_CALLS,
                "{name}: {late_calls} late calls, {crashes} crashes"
            );
            let now = Instant::now();
            let share = site.served_share(now - Duration::from_secs(12));
            assert!(share > 0.9, "{name}: {share:.2} of sound requests served");
        });
    }
}

/// How a deadly request crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crash {
    AfterHead,
    BeforeHead,
    Prefill,
}

/// Sends the same generation, which crashes engines, until the test ends.
async fn send_deadly_request(site: Rc<Site>, interval_ms: u64) {
    const BODY: Bytes = Bytes::from_static(b"deadly");
    *site.fleet.deadly_body.borrow_mut() = Some(BODY);
    loop {
        wait_ms(interval_ms).await;
        let site = Rc::clone(&site);
        spawn_local(async move { site.call_with_body(vec![1, 50, 51], BODY).await });
    }
}

/// Guards against a generation that crashes engine after engine, because its crashes are noticed only
/// at some point of the call.
#[test]
fn serve_deadly_generation_reaches_few_engines() {
    for crash in [Crash::AfterHead, Crash::BeforeHead, Crash::Prefill] {
        for (is_resumable, interval_ms) in [(true, 1_000), (false, 1_000), (true, 200)] {
            let name = format!("{crash:?}, resumable {is_resumable}, each {interval_ms} ms");
            run_virtual(async {
                let site = if is_resumable {
                    Site::spawn(7, 0.05)
                } else {
                    Site::spawn_at_most_once(7, 0.05)
                };
                site.fleet.head_ms.set(8);
                site.fleet
                    .crashes_before_head
                    .set(crash == Crash::BeforeHead);
                if crash == Crash::Prefill {
                    site.fleet.crashes_prefill.set(true);
                    site.list_prefill_engines(4);
                }
                spawn_local(Rc::clone(&site).send_sound(40));
                wait_ms(2_000).await;
                spawn_local(send_deadly_request(Rc::clone(&site), interval_ms));
                wait_ms(22_000).await;
                let crashes = site.fleet.crashes.borrow().clone();
                assert!(crashes.len() >= 2, "{name}: {} crashes", crashes.len());
                let late_calls = crashes.get(REQUEST_CRASHES - 1).map_or(0, |third| {
                    let calls = site.fleet.deadly_calls.borrow();
                    calls
                        .iter()
                        .filter(|call| **call > *third + CONTACT)
                        .count()
                });
                let crashes = crashes.len();
                assert!(
                    late_calls <= MAX_LATE_CALLS,
                    "{name}: {late_calls} late calls, {crashes} crashes"
                );
                let now = Instant::now();
                let share = site.served_share(now - Duration::from_secs(12));
                assert!(share > 0.99, "{name}: {share:.2} of sound requests served");
            });
        }
    }
}

/// Guards against refusing sound requests that wait for their responses on engines that crash for
/// another reason, one after the other or several at once, with prompts that few others share.
#[test]
fn serve_engines_crash_for_another_reason_refuses_no_sound_request() {
    /// How many engines crash in each round, and the pause between rounds in milliseconds.
    const CASES: [(&str, u8, u64); 5] = [
        ("one after the other", 1, 3_500),
        ("in quick succession", 1, 300),
        ("two at a time, in quick succession", 2, 600),
        ("half at a time", ENGINES / 2, 3_500),
        ("all at a time", ENGINES, 4_000),
    ];
    for (name, at_a_time, pause_ms) in CASES {
        for (subjects, head_ms) in [(8, 100), (400, 400)] {
            run_virtual(async {
                let site = Site::spawn(7, 0.05);
                site.subjects.set(subjects);
                site.fleet.head_ms.set(head_ms);
                spawn_local(Rc::clone(&site).send_sound(10));
                wait_ms(1_000).await;
                for round in 0..10u8 {
                    wait_ms(pause_ms).await;
                    for engine in 0..at_a_time {
                        site.fleet
                            .crash(&engine_id((at_a_time * round + engine) % ENGINES));
                    }
                }
                wait_ms(3_000).await;
                let refused = site.refused_as_cause.get();
                assert_eq!(refused, 0, "{name}, {subjects} subjects, {head_ms} ms");
            });
        }
    }
}

/// Guards against refusing sound requests because engines that ran them crashed for another reason.
#[test]
fn serve_engines_lost_together_refuses_no_sound_request() {
    run_virtual(async {
        let site = Site::spawn(7, 0.05);
        spawn_local(Rc::clone(&site).send_sound(5));
        for round in 0..6u8 {
            wait_ms(3_500).await;
            for engine in 0..4 {
                site.fleet.crash(&engine_id((3 * round + engine) % ENGINES));
            }
        }
        wait_ms(1_500).await;
        let before = Instant::now();
        wait_ms(2_000).await;
        let share = site.served_share(before);
        assert!(share > 0.99, "{share:.3} of sound requests served");
    });
}
