//! Tests that streams hold events of one software version only when the limits change by which they may
//! live.

mod common;

use std::rc::Rc;

use common::version_fleet::{Begun, Fleet};
use common::{run_virtual, wait_ms};
use serde_json::{Value, json};
use yucca_serve::ports::{Freshness, Kind, ObjectStore};
use yucca_serve::version_record::RECORD_NAME;

/// Time limit of the route while the streams of a test begin, and time that their callers wait.
const LONG_MS: u64 = 10_000;
/// Time limit after that.
const SHORT_MS: u64 = 2_500;
/// Time after which hosts have watched the engines for longer than any stream lives.
const WATCHED_MS: u64 = 30_000;

fn limit(timeout_ms: u64) -> Value {
    json!({ "timeout_ms": timeout_ms })
}

/// Configuration without a route.
fn no_route() -> Value {
    json!({})
}

/// Starts a fleet with the long limit, all of whose hosts can tell that there is one version.
async fn spawn(hosts: usize, loss: f64) -> Rc<Fleet> {
    let fleet = Fleet::spawn(hosts, loss).await;
    fleet.put_config(&limit(LONG_MS));
    fleet.deadline_ms.set(Some(LONG_MS));
    wait_ms(WATCHED_MS).await;
    fleet
}

/// What happens to a fleet while streams run.
#[derive(Debug, Clone)]
enum Change {
    /// The operator writes a configuration.
    Config(Value),
    /// Engines of version 2 join.
    SecondVersion,
    /// Those of version 1 leave.
    FirstVersionLeaves,
    /// A host is killed and starts again at once.
    Restart(usize),
    /// All hosts are killed and start again.
    RestartAll,
    /// Other callers send requests for so long.
    Wait(u64),
}

use Change::{Config, FirstVersionLeaves, Restart, RestartAll, SecondVersion, Wait};

async fn play(fleet: &Fleet, changes: &[Change]) {
    for change in changes {
        match change {
            Config(content) => fleet.put_config(content),
            SecondVersion => fleet.add_second_version().await,
            FirstVersionLeaves => fleet.remove_first_version().await,
            Restart(at) => fleet.restart(*at),
            RestartAll => fleet.restart_all().await,
            Wait(ms) => fleet.send_others(*ms).await,
        }
    }
}

/// Resumes the streams, of version 1, and checks that they go on if engines of their version serve.
async fn resume(fleet: &Fleet, begun: &[Begun], has_first: bool, case: &str) {
    assert!(begun.iter().all(|stream| stream.version == "v1"), "{case}");
    // It checks that none goes on at another version.
    let resumed = fleet.resume_all(begun, case).await;
    let all = begun.len();
    if has_first {
        assert!(resumed * 10 >= all * 9, "{case}: {resumed} of {all} go on");
    }
}

/// Changes with a name, and whether version 1 is still there after them.
type Case<'a> = (&'a str, Vec<Change>, bool);

/// Begins streams in a fleet, plays the changes of each case, and resumes the streams.
fn play_cases(fleets: &[(usize, f64)], cases: &[Case]) {
    for (hosts, loss) in fleets {
        for (name, changes, has_first) in cases {
            run_virtual(async {
                let fleet = spawn(*hosts, *loss).await;
                let begun = fleet.begin_some(12).await;
                play(&fleet, changes).await;
                let case = format!("{name}, {hosts} hosts, loss {loss}");
                resume(&fleet, &begun, *has_first, &case).await;
            });
        }
    }
}

/// Guards against streams that go on at another version because the time limit under which they began was
/// lowered, so that it is forgotten that they did.
#[test]
fn resume_after_timeout_lowered() {
    let lowered = Config(limit(SHORT_MS));
    let cases: [Case; 8] = [
        (
            "before version 1 leaves",
            vec![
                SecondVersion,
                Wait(500),
                lowered.clone(),
                Wait(500),
                FirstVersionLeaves,
                Wait(4_000),
            ],
            false,
        ),
        (
            "before version 2 joins",
            vec![
                lowered.clone(),
                Wait(4_500),
                SecondVersion,
                FirstVersionLeaves,
                Wait(500),
            ],
            false,
        ),
        (
            "after version 1 has left",
            vec![
                SecondVersion,
                FirstVersionLeaves,
                lowered.clone(),
                Wait(5_000),
            ],
            false,
        ),
        (
            "both versions serve",
            vec![SecondVersion, lowered.clone(), Wait(7_000)],
            true,
        ),
        (
            "one version serves",
            vec![lowered.clone(), Wait(8_000)],
            true,
        ),
        (
            "in two steps",
            vec![
                Config(limit(6_000)),
                SecondVersion,
                lowered.clone(),
                FirstVersionLeaves,
                Wait(4_000),
            ],
            false,
        ),
        (
            "the route is removed for a moment",
            vec![
                SecondVersion,
                Config(no_route()),
                FirstVersionLeaves,
                Config(limit(SHORT_MS)),
                Wait(4_500),
            ],
            false,
        ),
        (
            "raised again",
            vec![
                lowered,
                SecondVersion,
                FirstVersionLeaves,
                Wait(4_500),
                Config(limit(LONG_MS)),
                Wait(1_000),
            ],
            false,
        ),
    ];
    play_cases(&[(1, 0.0), (7, 0.05)], &cases);
}

/// Guards against hosts that started after a time limit was lowered, and take the lower one for the lifetime of
/// the streams that began before.
#[test]
fn resume_after_timeout_lowered_unseen() {
    let lowered = Config(limit(1_000));
    let released = [SecondVersion, FirstVersionLeaves, Wait(4_000)];
    let one_by_one = (0..7).flat_map(|at| [Restart(at), Wait(200)]);
    let cases: [Case; 5] = [
        (
            "all start again after it",
            [
                vec![lowered.clone(), Wait(700), RestartAll],
                released.to_vec(),
            ]
            .concat(),
            false,
        ),
        (
            "all start again with it",
            [vec![lowered.clone(), RestartAll], released.to_vec()].concat(),
            false,
        ),
        (
            "all start again twice",
            [
                vec![lowered.clone(), RestartAll, RestartAll],
                released.to_vec(),
            ]
            .concat(),
            false,
        ),
        (
            "one starts after the other",
            [
                vec![lowered.clone()],
                one_by_one.collect(),
                released.to_vec(),
            ]
            .concat(),
            false,
        ),
        (
            "all start again, one version serves",
            vec![lowered, RestartAll, Wait(4_000)],
            true,
        ),
    ];
    play_cases(&[(7, 0.0), (7, 0.05)], &cases);
}

/// Returns the record in the store of the services with one version.
async fn stored_record(fleet: &Fleet) -> Value {
    let record = fleet
        .store
        .read(Kind::Versions, RECORD_NAME, Freshness::Latest);
    let record = record.await.expect("an answer").expect("a record");
    record.value.expect("a value")
}

/// Guards against a record that a build without lifetimes cannot read, and against streams that are refused
/// because such a build wrote the record.
#[test]
fn record_beside_earlier_build() {
    run_virtual(async {
        let fleet = spawn(7, 0.0).await;
        let record = stored_record(&fleet).await;
        let versions = record["versions"].as_object().expect("versions by service");
        assert!(versions["model"].is_u64(), "{record}");
        assert_eq!(record["lifetime_ms"], 15_000);
        // As 2d529b6 writes it.
        let earlier = json!({ "versions": versions });
        fleet.store.put(Kind::Versions, RECORD_NAME, Some(earlier));
        let begun = fleet.begin_some(12).await;
        play(&fleet, &[RestartAll]).await;
        resume(&fleet, &begun, true, "record of an earlier build").await;
        play(&fleet, &[Wait(15_000)]).await;
        assert_eq!(stored_record(&fleet).await, record);
    });
}

/// Guards against a record that keeps the lifetime of streams that are long over, or is written again and again.
#[test]
fn record_lifetime_falls() {
    run_virtual(async {
        let fleet = spawn(7, 0.0).await;
        let revision = async || {
            let record = fleet
                .store
                .read(Kind::Versions, RECORD_NAME, Freshness::Latest);
            record.await.expect("an answer").expect("a record").revision
        };
        fleet.deadline_ms.set(Some(SHORT_MS));
        play(&fleet, &[Config(limit(SHORT_MS)), Wait(10_000)]).await;
        assert_eq!(stored_record(&fleet).await["lifetime_ms"], 15_000);
        play(&fleet, &[Wait(30_000)]).await;
        assert_eq!(stored_record(&fleet).await["lifetime_ms"], 3_750);
        let before = revision().await;
        play(&fleet, &[Wait(30_000)]).await;
        assert_eq!(revision().await, before);
    });
}

/// Begins streams whose callers wait for longer than the limits allow, beside others, plays `changes` and
/// resumes them.
async fn play_many_tries(hosts: usize, loss: f64, changes: &[Change], has_first: bool, case: &str) {
    let fleet = Fleet::spawn(hosts, loss).await;
    fleet.put_config(&limit(1_000));
    fleet.deadline_ms.set(Some(1_000));
    wait_ms(WATCHED_MS).await;
    fleet.deadline_ms.set(Some(LONG_MS));
    let begun = fleet.begin_some(12).await;
    fleet.deadline_ms.set(Some(1_000));
    play(&fleet, &[Wait(700)]).await;
    play(&fleet, changes).await;
    resume(&fleet, &begun, has_first, &format!("{case}, {hosts} hosts")).await;
}

/// Guards against streams whose callers wait for several times the time limit of the route, and take them up again
/// after the host has ended each of their tries.
#[test]
fn resume_after_many_tries() {
    let released = vec![SecondVersion, FirstVersionLeaves, Wait(3_000)];
    let restarted = [vec![RestartAll], released.clone()].concat();
    let both = vec![SecondVersion, Wait(6_000)];
    run_virtual(play_many_tries(
        7,
        0.05,
        &released,
        false,
        "version 1 leaves",
    ));
    run_virtual(play_many_tries(
        60,
        0.0,
        &released,
        false,
        "version 1 leaves",
    ));
    run_virtual(play_many_tries(7, 0.05, &both, true, "both versions serve"));
    run_virtual(play_many_tries(60, 0.0, &both, true, "both versions serve"));
    run_virtual(play_many_tries(
        7,
        0.05,
        &restarted,
        false,
        "all start again",
    ));
}

/// Guards against the same after all hosts have started again, where none of the streams began at the lease holder.
#[test]
fn resume_after_many_tries_lost_hosts() {
    let changes = [RestartAll, SecondVersion, FirstVersionLeaves, Wait(3_000)];
    run_virtual(play_many_tries(60, 0.0, &changes, false, "all start again"));
}

/// Guards against hosts of a large fleet that forget a stream whose caller has taken it up again and again.
#[test]
fn resume_over_long_wait() {
    run_virtual(async {
        let fleet = spawn(60, 0.0).await;
        fleet.deadline_ms.set(Some(400_000));
        fleet.add_second_version().await;
        let begun = fleet.begin_some(24).await;
        let begun: Vec<Begun> = begun.into_iter().filter(|b| b.version == "v1").collect();
        fleet.deadline_ms.set(Some(LONG_MS));
        for waited_s in (50..=200).step_by(50) {
            play(&fleet, &[Wait(50_000)]).await;
            resume(&fleet, &begun, true, &format!("after {waited_s} s")).await;
        }
    });
}
