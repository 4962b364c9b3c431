//! Simulates loads in virtual time and checks the results of the requests.

use yucca_emulator::load::arrivals;
use yucca_emulator::report::{summarize, worth};
use yucca_emulator::scenario::Scenario;
use yucca_emulator::simulation::{Policy, simulate};
use yuccacove::code::Code;

const BURSTS: &str = include_str!("../scenarios/bursts.ini");

fn scenario() -> Scenario {
    Scenario::parse("bursts.ini", BURSTS).expect("a scenario")
}

fn worth_of(scenario: &Scenario, seed: u64, policy: Policy) -> f64 {
    let result = simulate(scenario, seed, policy).expect("a result");
    worth(scenario, &summarize(scenario, &result))
}

/// Hosts must serve bursts of each kind in turn better than a fixed number of prefill engines, which
/// does not follow the bursts, and than decode engines that prefill their own prompts.
#[test]
fn hosts_serve_bursts() {
    let scenario = scenario();
    let hosts = worth_of(&scenario, 1, Policy::Hosts);
    let mixed = worth_of(&scenario, 1, Policy::LeastInFlight { prefill_engines: 0 });
    let split = worth_of(&scenario, 1, Policy::LeastInFlight { prefill_engines: 4 });
    assert!(hosts > 0.97, "{hosts}");
    assert!(hosts > mixed + 0.2, "{hosts} and {mixed}");
    assert!(hosts > split + 0.1, "{hosts} and {split}");
}

/// An urgent kind must not be refused more often than a less urgent one is late or refused. Guards
/// against long prompts with a distant target that fill the prefill queues: all of them met their
/// targets while 69% of the urgent requests were refused.
#[test]
fn overload_serves_urgent_first() {
    let text = include_str!("../scenarios/overload.ini");
    let scenario = Scenario::parse("overload.ini", text).expect("a scenario");
    let result = simulate(&scenario, 1, Policy::Hosts).expect("a result");
    let summaries = summarize(&scenario, &result);
    let [review, question] = [summaries[0], summaries[1]];
    let urgent_refused = question.refused as f64 / question.requests as f64;
    let less_urgent_deferred = (review.late + review.refused) as f64 / review.requests as f64;
    assert!(urgent_refused <= less_urgent_deferred, "{summaries:?}");
}

/// Urgent requests must meet their target although a third of the engines run at 0.4 of the nominal
/// speed, and although remote prefills have a latency and are faster than nominal. Guards against
/// forecasts at the nominal speed, with which many urgent requests waited behind the queues of slow
/// engines that seemed empty.
#[test]
fn hosts_learn_engine_speeds() {
    const MIN_IN_TARGET: f64 = 0.95;
    let cases = [
        include_str!("../scenarios/slow-engines.ini"),
        include_str!("../scenarios/prefill-latency.ini"),
    ];
    for text in cases {
        let scenario = Scenario::parse("s.ini", text).expect("a scenario");
        let result = simulate(&scenario, 1, Policy::Hosts).expect("a result");
        let summaries = summarize(&scenario, &result);
        for summary in &summaries {
            let share = summary.in_target as f64 / summary.requests as f64;
            assert!(share > MIN_IN_TARGET, "{share} {summaries:?}");
        }
    }
}

/// Each request must have exactly one outcome at any load, and an overloaded fleet must refuse
/// requests rather than let them exceed their deadlines.
#[test]
fn overload_is_refused() {
    let mut scenario = scenario();
    for kind in &mut scenario.kinds {
        kind.per_s *= 4.0;
    }
    let requests = arrivals(&scenario, 2).len();
    let result = simulate(&scenario, 2, Policy::Hosts).expect("a result");
    let summaries = summarize(&scenario, &result);
    let sum = |count: fn(&yucca_emulator::report::KindSummary) -> usize| -> usize {
        summaries.iter().map(count).sum()
    };
    assert_eq!(result.results.len(), requests);
    let ended = sum(|s| s.in_target + s.late + s.refused + s.failed);
    assert_eq!(ended, requests);
    assert!(sum(|s| s.refused) > requests / 20, "{summaries:?}");
    assert!(sum(|s| s.failed) < requests / 50, "{summaries:?}");
}

/// The same seed must give the same load, and another seed a different one.
#[test]
fn arrivals_follow_seed() {
    let scenario = scenario();
    assert_eq!(arrivals(&scenario, 3), arrivals(&scenario, 3));
    assert_ne!(arrivals(&scenario, 3), arrivals(&scenario, 4));
    let count = arrivals(&scenario, 3).len() as f64;
    // Requests per second of each kind, times the duration with the burst multiplied by its factor.
    let expected = 12.0 * 40.0 + 30.0 * 60.0 + 26.0 * 54.0 + 17.0 * 30.0;
    assert!((count / expected - 1.0).abs() < 0.1, "{count}");
}

/// Guards against hosts whose random numbers or order of work differ between runs with one seed.
#[test]
fn simulate_same_seed_same_results() {
    for text in [BURSTS, include_str!("../scenarios/overload.ini")] {
        let scenario = Scenario::parse("s.ini", text).expect("a scenario");
        let first = simulate(&scenario, 3, Policy::Hosts).expect("a result");
        let second = simulate(&scenario, 3, Policy::Hosts).expect("a result");
        let differing = first.results.iter().zip(&second.results);
        let differing = differing.filter(|(first, second)| first != second).count();
        assert_eq!(differing, 0, "of {} requests", first.results.len());
    }
}

#[test]
fn scenario_errors() {
    let cases = [
        ("", Code::SettingsMissing),
        ("[fleet]\nengines = 1\nhosts = 1\n", Code::SettingsMissing),
        (
            "[fleet]\nengines = x\nhosts = 1\n[kind a]\nclass = read\nper_s = 1\ntarget_ms = 1\n\
          deadline_ms = 1\n",
            Code::SettingsBadValue,
        ),
        (
            "[fleet]\nengines = 1\nhosts = 1\n[kind a]\nclass = other\n",
            Code::SettingsBadValue,
        ),
        (
            "[fleet]\nengines = 1\nhosts = 1\n[kind a]\nclass = read\nspeed = 3\n",
            Code::SettingsUnknownKey,
        ),
        (
            "[fleet]\nengines = 1\nhosts = 1\n[other]\nx = 1\n",
            Code::SettingsUnknownKey,
        ),
        (
            "[fleet]\nengines = 1\nhosts = 1\n[kind a]\nclass = read\nper_s = 1\ntarget_ms = 1\n\
          deadline_ms = 1\n[burst 1]\nkind = b\n",
            Code::SettingsBadValue,
        ),
    ];
    for (text, code) in cases {
        let error = Scenario::parse("s.ini", text).expect_err(text);
        assert_eq!(error.code(), code, "{text}");
    }
}
