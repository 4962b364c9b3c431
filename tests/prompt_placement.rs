//! Guards the choice of engines for a prompt, on the loads that it answers: bursts of long prompts
//! beside short urgent ones, and parts that several requests share.

use yuccacove::prompt_placement::{EngineView, Phase, Placement, Prompt, choose, prefill_ms};

const SHORT: u32 = 800;
const LONG: u32 = 12_000;

fn engine(phase: Phase) -> EngineView {
    EngineView {
        phase,
        slots: 64,
        speed: 1.0,
        ..EngineView::default()
    }
}

fn prompt(tokens: u32) -> Prompt {
    Prompt {
        tokens,
        request_kb: 1.0,
        response_kb: 3.0,
        max_gap_ms: 110.0,
    }
}

fn prefill_of(placement: Placement) -> Option<usize> {
    match placement {
        Placement::TwoStage { prefill, .. } => Some(prefill),
        Placement::OneStage { .. } => None,
    }
}

#[test]
fn choose_without_decode_engine() {
    assert_eq!(choose(&[engine(Phase::Prefill)], &prompt(SHORT)), None);
    assert_eq!(choose(&[], &prompt(SHORT)), None);
}

/// A long prompt read by a decode engine delays each of its streams beyond the allowed pause.
#[test]
fn choose_long_prompt_stays_off_decode_engines() {
    let busy = EngineView {
        pending_ms: 2_000.0,
        ..engine(Phase::Prefill)
    };
    let engines = [busy, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("engines");
    assert_eq!(prefill_of(choice.placement), Some(0));
}

#[test]
fn choose_long_prompt_without_prefill_engine() {
    let engines = [engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("an engine");
    assert_eq!(choice.placement, Placement::OneStage { decode: 0 });
}

#[test]
fn choose_short_prompt_avoids_queue() {
    let busy = EngineView {
        pending_ms: 300.0,
        ..engine(Phase::Prefill)
    };
    let engines = [busy, busy, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(SHORT)).expect("engines");
    assert_eq!(choice.placement, Placement::OneStage { decode: 2 });
}

/// A decode engine whose streams wait already gets no further prompt to read.
#[test]
fn choose_short_prompt_with_stalled_decode_engine() {
    let stalled = EngineView {
        stall_ms: 60.0,
        ..engine(Phase::Decode)
    };
    let engines = [engine(Phase::Prefill), stalled];
    let choice = choose(&engines, &prompt(SHORT)).expect("engines");
    assert_eq!(prefill_of(choice.placement), Some(0));
}

#[test]
fn choose_kept_part_decides_between_equal_engines() {
    let keeper = EngineView {
        cached_tokens: 5_000,
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let other = EngineView {
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let engines = [other, keeper, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("engines");
    assert_eq!(prefill_of(choice.placement), Some(1));
}

/// With a fetch the kept part need not be read again where the work is less.
#[test]
fn choose_fetches_kept_part_from_busy_engine() {
    let keeper = EngineView {
        cached_tokens: 5_000,
        reachable_tokens: 5_000,
        pending_ms: 400.0,
        ..engine(Phase::Prefill)
    };
    let other = EngineView {
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let engines = [other, keeper, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("engines");
    assert_eq!(prefill_of(choice.placement), Some(0));
    assert!(choice.prefill_ms < prefill_ms(LONG, 0, 1.0));
}

/// A full decode engine has its requests wait for a slot, or for memory.
#[test]
fn choose_decode_engine_with_room() {
    let full_slots = EngineView {
        streams: 64,
        ..engine(Phase::Decode)
    };
    let full_memory = EngineView {
        streams: 30,
        memory_use: 1.1,
        ..engine(Phase::Decode)
    };
    let roomy = EngineView {
        streams: 35,
        memory_use: 0.3,
        ..engine(Phase::Decode)
    };
    let engines = [engine(Phase::Prefill), full_slots, full_memory, roomy];
    for tokens in [SHORT, LONG] {
        let choice = choose(&engines, &prompt(tokens)).expect("engines");
        let decode = match choice.placement {
            Placement::TwoStage { decode, .. } | Placement::OneStage { decode } => decode,
        };
        assert_eq!(decode, 3, "{tokens} tokens");
    }
}

/// Plays a burst onto engines with the loads that the choices cause, and compares the worst wait
/// with that of taking the engines in turn.
#[test]
fn choose_burst_of_mixed_prompts() {
    let worst_ms = |is_in_turn: bool| {
        let mut pending = [0.0_f64; 6];
        let mut worst: f64 = 0.0;
        for n in 0..60 {
            let tokens = if n % 4 == 0 { LONG } else { SHORT };
            let mut engines: Vec<EngineView> = pending
                .iter()
                .map(|pending_ms| EngineView {
                    pending_ms: *pending_ms,
                    ..engine(Phase::Prefill)
                })
                .collect();
            engines.push(engine(Phase::Decode));
            let chosen = if is_in_turn {
                n % 6
            } else {
                let request = Prompt {
                    // Leaves the decode engine out of the comparison.
                    max_gap_ms: 1.0,
                    ..prompt(tokens)
                };
                let choice = choose(&engines, &request).expect("engines");
                prefill_of(choice.placement).expect("read apart")
            };
            pending[chosen] += prefill_ms(tokens, 0, 1.0);
            if tokens == SHORT {
                worst = worst.max(pending[chosen]);
            }
        }
        worst
    };
    assert!(worst_ms(false) * 1.3 < worst_ms(true));
}
