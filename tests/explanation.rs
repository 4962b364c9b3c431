//! Tests of the pure parts of explanations: scores, decisions that are not recorded, questions, and the
//! limit of questions.

use yuccacove::explanation::{Question, QuestionLimit};
use yuccacove::fair_shares::Asker;
use yuccacove::forecast::Forecast;
use yuccacove::overload::{Ask, Decision, Overload, Preview};
use yuccacove::prompt_placement::{
    EngineScores, EngineView, Phase, Placement, Prompt, choose, scores,
};

/// Multiplier of Knuth's linear congruential generator modulo 2^64.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// Pseudo-random numbers with a fixed seed.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(MULTIPLIER).wrapping_add(1);
        self.0 >> 33
    }
}

fn engine(random: &mut Numbers) -> EngineView {
    let mut below = |limit: u64| (random.next() % limit) as f64;
    EngineView {
        phase: if below(3) < 1.0 {
            Phase::Prefill
        } else {
            Phase::Decode
        },
        pending_ms: below(300),
        stall_ms: below(60),
        streams: below(70) as u32,
        slots: 64,
        memory_use: below(120) / 100.0,
        cached_tokens: below(500) as u32,
        reachable_tokens: 500,
        is_remote: below(2) < 1.0,
        speed: 0.5 + below(100) / 100.0,
        decode_speed: 0.5 + below(100) / 100.0,
        failure_cost_ms: below(50),
    }
}

/// Guards against an explanation that orders the engines in another way than the choice does: the
/// engines with the lowest score must be the chosen ones, and all engines of a placement share it.
#[test]
fn scores_name_chosen_engines() {
    let mut random = Numbers(11);
    for case in 0..500 {
        let engines: Vec<_> = (0..12).map(|_| engine(&mut random)).collect();
        let prompt = Prompt {
            tokens: 200 + (random.next() % 12_000) as u32,
            request_kb: 4.0,
            response_kb: 10.0,
            max_gap_ms: 110.0,
            event_ms: 40.0,
            ..Prompt::default()
        };
        let scores = scores(&engines, &prompt);
        let Some(choice) = choose(&engines, &prompt) else {
            assert!(scores.iter().all(|s| s.best().is_none()), "case {case}");
            continue;
        };
        let lowest = scores
            .iter()
            .filter_map(EngineScores::best)
            .fold(f64::INFINITY, f64::min);
        let chosen = match choice.placement {
            Placement::TwoStage { prefill, decode } => vec![prefill, decode],
            Placement::OneStage { decode } => vec![decode],
        };
        for at in chosen {
            let score = scores[at].best().expect("a score");
            assert!(
                (score - lowest).abs() < 1e-6,
                "case {case}: {score} {lowest}"
            );
        }
    }
}

fn ask(at: u64) -> Ask {
    let urgency = (at % 3) as u8;
    Ask {
        asker: Asker {
            organisation: Some(at % 5),
            kind: at % 3,
            urgency,
            tokens: 100 + (at * 37 % 900) as u32,
        },
        forecast: Forecast {
            first_token_ms: (at * 53 % 900) as f64,
            elapsed_ms: 0,
            left_ms: 2_000,
            target_ms: 250,
            urgency,
            decode_utilisation: 0.9,
            prefill_queue_ms: (at * 31 % 400) as f64,
            urgent_target_ms: Some(250),
        },
        work_ms: 20.0,
        ticket: None,
    }
}

/// Guards against explanations that change later decisions, or that tell another one than is made.
#[test]
fn preview_records_nothing() {
    let (mut with, mut without) = (Overload::default(), Overload::default());
    let mut held = 0;
    for at in 0..2_000 {
        for other in 0..3 {
            with.preview(&ask(at + other * 7), at * 10, other);
        }
        let Preview { decision, .. } = with.preview(&ask(at), at * 10, at);
        assert_eq!(with.decide(&ask(at), at * 10, at), decision, "request {at}");
        assert_eq!(
            without.decide(&ask(at), at * 10, at),
            decision,
            "request {at}"
        );
        if let Decision::Hold { precedence, .. } = decision {
            held += 1;
            if held % 2 == 0 {
                with.queue.insert(precedence);
                without.queue.insert(precedence);
            }
        }
    }
    assert!(
        held > 0,
        "the load must be one under which requests are held"
    );
}

/// Guards against questions that are answered for another prompt than the operator meant.
#[test]
fn question_parts() {
    let question = |parts: &str, tokens| Question {
        parts: Some(parts.to_owned()),
        tokens,
        ..Question::default()
    };
    let valid = question("5c1e07a2:60, 91bd3f06:40", None);
    assert_eq!(
        valid.prompt_parts(),
        Ok(vec![(0x5c1e_07a2, 60), (0x91bd_3f06, 40)])
    );
    assert_eq!(valid.prompt_tokens(), Ok(Some(100)));
    assert_eq!(question("5c:60", Some(90)).prompt_tokens(), Ok(Some(90)));
    assert_eq!(question("", None).prompt_tokens(), Ok(None));
    for (parts, tokens) in [
        ("5c1e07a2", None),
        ("xyz:60", None),
        ("5c:-1", None),
        ("5c:60,", None),
        ("5c:60", Some(59)),
        ("5c:4294967295,5d:1", None),
    ] {
        assert!(question(parts, tokens).prompt_tokens().is_err(), "{parts}");
    }
}

/// Guards against more answers than the limit in any second, and against a limit that never lifts.
#[test]
fn question_limit() {
    let mut limit = QuestionLimit::new(4);
    let mut admitted_ms = Vec::new();
    for now_ms in (0..5_000).step_by(50) {
        if limit.admit(now_ms) {
            admitted_ms.push(now_ms);
        }
    }
    assert_eq!(admitted_ms.len(), 20);
    for window in admitted_ms.windows(5) {
        assert!(window[4] - window[0] >= 1_000, "{window:?}");
    }
}
