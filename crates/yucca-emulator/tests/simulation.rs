//! Plays loads in virtual time and checks what callers get.

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
    let played = simulate(scenario, seed, policy).expect("played");
    worth(scenario, &summarize(scenario, &played))
}

/// The hosts must serve bursts of each kind by turns, which a split that does not follow them and
/// engines that read for themselves do not.
#[test]
fn play_hosts_serve_bursts() {
    let scenario = scenario();
    let hosts = worth_of(&scenario, 1, Policy::Hosts);
    let mixed = worth_of(&scenario, 1, Policy::LeastInFlight { prefill_engines: 0 });
    let split = worth_of(&scenario, 1, Policy::LeastInFlight { prefill_engines: 4 });
    assert!(hosts > 0.97, "{hosts}");
    assert!(hosts > mixed + 0.2, "{hosts} and {mixed}");
    assert!(hosts > split + 0.1, "{hosts} and {split}");
}

/// What is less urgent must suffer first: an urgent kind must not be refused more often than a less
/// urgent one is late or refused. Long prompts with a distant target filled the queues of reading, so
/// that all of them were in time and 69% of the urgent were refused.
#[test]
fn play_overload_serves_urgent_first() {
    let text = include_str!("../scenarios/overload.ini");
    let scenario = Scenario::parse("overload.ini", text).expect("a scenario");
    let played = simulate(&scenario, 1, Policy::Hosts).expect("played");
    let summaries = summarize(&scenario, &played);
    let [review, question] = [summaries[0], summaries[1]];
    let refused = question.refused as f64 / question.requests as f64;
    let put_back = (review.late + review.refused) as f64 / review.requests as f64;
    assert!(refused <= put_back, "{summaries:?}");
}

/// Each request must have one outcome, whatever the load; a fleet that is far too small must refuse
/// rather than answer late.
#[test]
fn play_overload_is_refused() {
    let mut scenario = scenario();
    for kind in &mut scenario.kinds {
        kind.per_s *= 4.0;
    }
    let asked = arrivals(&scenario, 2).len();
    let played = simulate(&scenario, 2, Policy::Hosts).expect("played");
    let summaries = summarize(&scenario, &played);
    let sum = |count: fn(&yucca_emulator::report::KindSummary) -> usize| -> usize {
        summaries.iter().map(count).sum()
    };
    assert_eq!(played.results.len(), asked);
    let ended = sum(|s| s.in_target + s.late + s.refused + s.failed);
    assert_eq!(ended, asked);
    assert!(sum(|s| s.refused) > asked / 20, "{summaries:?}");
    assert!(sum(|s| s.failed) < asked / 50, "{summaries:?}");
}

/// The same seed must give the same load, and another seed another one.
#[test]
fn arrivals_follow_seed() {
    let scenario = scenario();
    assert_eq!(arrivals(&scenario, 3), arrivals(&scenario, 3));
    assert_ne!(arrivals(&scenario, 3), arrivals(&scenario, 4));
    let count = arrivals(&scenario, 3).len() as f64;
    let expected = 12.0 * 40.0 + 30.0 * 60.0 + 26.0 * 54.0 + 17.0 * 30.0;
    assert!((count / expected - 1.0).abs() < 0.1, "{count}");
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
