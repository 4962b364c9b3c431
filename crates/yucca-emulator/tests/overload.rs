//! Plays loads beyond the capacity with the decision for overload and with the forecast alone, and
//! checks what callers get by kind, organisation and size. A failed check prints both tables.

use yucca_emulator::caller::RequestResult;
use yucca_emulator::report::{fairness_table, served_share, summarize, table, worth};
use yucca_emulator::scenario::Scenario;
use yucca_emulator::simulation::{Policy, SimulationResult, simulate};

/// Served share of an organisation relative to that of all, at least.
const ORGANISATION_FLOOR: f64 = 0.25;
/// Served share of a kind's large requests relative to that of the kind, at least.
const SIZE_FLOOR: f64 = 0.5;
/// Served share by which a kind may exceed a more urgent one, at most.
const MAX_INVERSION: f64 = 0.05;
/// Worth of a late answer relative to one in time, at the ends of the range on typical routes.
const LATE_WORTHS: [f64; 2] = [0.3, 0.8];

struct Play {
    scenario: Scenario,
    before: SimulationResult,
    after: SimulationResult,
}

impl Play {
    fn of(text: &str) -> Self {
        let scenario = Scenario::parse("play.ini", text).expect("a scenario");
        let run = |policy| simulate(&scenario, 1, policy).expect("a result");
        Self {
            before: run(Policy::HostsByForecast),
            after: run(Policy::Hosts),
            scenario,
        }
    }

    fn tables(&self) -> String {
        let of = |result: &SimulationResult| {
            let kinds = table(&self.scenario, &summarize(&self.scenario, result));
            format!("{kinds}\n{}\n", fairness_table(&self.scenario, result))
        };
        format!("before\n{}after\n{}", of(&self.before), of(&self.after))
    }

    /// Returns the worth of all answers if a late one is worth this part of one in time.
    fn worth(&self, result: &SimulationResult, late_worth: f64) -> f64 {
        let mut scenario = self.scenario.clone();
        for kind in &mut scenario.kinds {
            kind.late_worth = kind.worth * late_worth;
        }
        worth(&scenario, &summarize(&scenario, result))
    }

    fn check_worth(&self) {
        for late_worth in LATE_WORTHS {
            let before = self.worth(&self.before, late_worth);
            let after = self.worth(&self.after, late_worth);
            assert!(
                after >= before - 0.005,
                "{before} {after}\n{}",
                self.tables()
            );
        }
    }

    fn check_kinds(&self) {
        let kind_share =
            |kind: usize| served_share(self.after.results.iter().filter(|r| r.kind == kind));
        for (index, kind) in self.scenario.kinds.iter().enumerate() {
            for (other, less_urgent) in self.scenario.kinds.iter().enumerate() {
                let is_less_urgent = less_urgent.urgency > kind.urgency;
                let excess = kind_share(other) - kind_share(index);
                let is_inverted = is_less_urgent && excess > MAX_INVERSION;
                assert!(!is_inverted, "{}: {excess}\n{}", kind.name, self.tables());
            }
        }
    }

    fn check_organisations(&self) {
        let all = served_share(self.after.results.iter());
        for organisation in 0..self.scenario.organisations.len() {
            let own = |r: &&RequestResult| r.organisation == Some(organisation);
            let share = served_share(self.after.results.iter().filter(own));
            assert!(share >= ORGANISATION_FLOOR * all, "{}", self.tables());
        }
    }

    fn check_sizes(&self) {
        for kind in 0..self.scenario.kinds.len() {
            let own = self.after.results.iter().filter(|r| r.kind == kind);
            let mut results: Vec<_> = own.collect();
            results.sort_by_key(|r| std::cmp::Reverse(r.prompt_tokens));
            let whole = served_share(results.iter().copied());
            let (tenth, third) = (results.len() / 10, results.len() * 3 / 10);
            for large in [&results[..tenth], &results[tenth..third]] {
                let share = served_share(large.iter().copied());
                assert!(share >= SIZE_FLOOR * whole, "{share}\n{}", self.tables());
            }
        }
    }
}

macro_rules! play {
    ($name:literal) => {
        Play::of(include_str!(concat!("../scenarios/", $name, ".ini")))
    };
}

/// Guards against a change of what callers get where there is room for all.
#[test]
fn calm_is_unchanged() {
    let play = play!("calm");
    let before = summarize(&play.scenario, &play.before);
    let after = summarize(&play.scenario, &play.after);
    for (before, after) in before.iter().zip(&after) {
        let served =
            |s: &yucca_emulator::report::KindSummary| s.in_target as f64 / s.requests as f64;
        assert!(served(after) >= served(before) - 0.003, "{}", play.tables());
    }
}

/// Guards against a flood of any kind that makes other kinds, large prompts or an organisation go
/// without, and against answers that are worth less than with the forecast alone.
#[test]
fn flood_keeps_floors() {
    let plays = [
        play!("flood-least-urgent"),
        play!("flood-two-kinds"),
        play!("engines-lost"),
    ];
    for play in plays {
        play.check_kinds();
        play.check_organisations();
        play.check_sizes();
        play.check_worth();
    }
}

/// Guards against a flood of the most urgent kind, and one of prompts that are longer than their
/// target allows even on idle engines.
#[test]
fn flood_of_urgent_and_of_giants_keeps_floors() {
    let most_urgent = play!("flood-most-urgent");
    most_urgent.check_kinds();
    most_urgent.check_organisations();
    most_urgent.check_worth();
    let giants = play!("giant-prompts");
    giants.check_kinds();
    giants.check_organisations();
    giants.check_sizes();
}

/// Guards against an organisation's flood that the other organisations pay for.
#[test]
fn organisation_flood_is_paid_by_it() {
    let play = play!("flood-organisation");
    play.check_organisations();
    play.check_worth();
    let share = |name: &str| {
        let organisations = &play.scenario.organisations;
        let index = organisations.iter().position(|o| o.name == name);
        served_share(
            play.after
                .results
                .iter()
                .filter(|r| r.organisation == index),
        )
    };
    for other in ["medium", "large"] {
        assert!(share(other) > 0.9, "{}", play.tables());
        assert!(share(other) > share("small") + 0.2, "{}", play.tables());
    }
}
