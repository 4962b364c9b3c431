//! Tests that streams hold events of one software version only when the limits change by which they may
//! live.

mod common;

use std::rc::Rc;

use common::version_fleet::{Begun, Fleet};
use common::{run_virtual, wait_ms};
use serde_json::{Value, json};

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
    /// Other callers send requests for so long.
    Wait(u64),
}

use Change::{Config, FirstVersionLeaves, SecondVersion, Wait};

async fn play(fleet: &Fleet, changes: &[Change]) {
    for change in changes {
        match change {
            Config(content) => fleet.put_config(content),
            SecondVersion => fleet.add_second_version().await,
            FirstVersionLeaves => fleet.remove_first_version().await,
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

/// Guards against streams that go on at another version because the time limit under which they began was
/// lowered, so that it is forgotten that they did.
#[test]
fn resume_after_timeout_lowered() {
    let lowered = Config(limit(SHORT_MS));
    // Changes after the streams have begun, and whether version 1 is still there.
    let cases: [(&str, Vec<Change>, bool); 8] = [
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
    for (hosts, loss) in [(1, 0.0), (7, 0.05)] {
        for (name, changes, has_first) in &cases {
            run_virtual(async {
                let fleet = spawn(hosts, loss).await;
                let begun = fleet.begin_some(12).await;
                play(&fleet, changes).await;
                resume(
                    &fleet,
                    &begun,
                    *has_first,
                    &format!("{name}, {hosts} hosts"),
                )
                .await;
            });
        }
    }
}
