//! Choice of engines for a prompt, under the loads that it is designed for: bursts of long prompts
//! beside short urgent ones, and shared prefixes.

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
        ..Prompt::default()
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

/// Prefill of a long prompt on a decode engine would stall its streams beyond the allowed gap.
#[test]
fn choose_long_prompt_avoids_decode_engines() {
    let busy = EngineView {
        pending_ms: 2_000.0,
        ..engine(Phase::Prefill)
    };
    let engines = [busy, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("there is a decode engine");
    assert_eq!(prefill_of(choice.placement), Some(0));
}

#[test]
fn choose_long_prompt_without_prefill_engine() {
    let engines = [engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("there is a decode engine");
    assert_eq!(choice.placement, Placement::OneStage { decode: 0 });
}

#[test]
fn choose_short_prompt_avoids_queue() {
    let busy = EngineView {
        pending_ms: 300.0,
        ..engine(Phase::Prefill)
    };
    let engines = [busy, busy, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(SHORT)).expect("there is a decode engine");
    assert_eq!(choice.placement, Placement::OneStage { decode: 2 });
}

/// A decode engine whose streams are already stalled gets no further prefill.
#[test]
fn choose_short_prompt_with_stalled_decode_engine() {
    let stalled = EngineView {
        stall_ms: 60.0,
        ..engine(Phase::Decode)
    };
    let engines = [engine(Phase::Prefill), stalled];
    let choice = choose(&engines, &prompt(SHORT)).expect("there is a decode engine");
    assert_eq!(prefill_of(choice.placement), Some(0));
}

#[test]
fn choose_cached_prefix_decides_between_equal_engines() {
    let holder = EngineView {
        cached_tokens: 5_000,
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let other = EngineView {
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let engines = [other, holder, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("there is a decode engine");
    assert_eq!(prefill_of(choice.placement), Some(1));
}

/// An idle engine that fetches the cached prefix is preferred to the busy engine that holds it.
#[test]
fn choose_fetches_cached_prefix_from_busy_engine() {
    let holder = EngineView {
        cached_tokens: 5_000,
        reachable_tokens: 5_000,
        pending_ms: 400.0,
        ..engine(Phase::Prefill)
    };
    let other = EngineView {
        reachable_tokens: 5_000,
        ..engine(Phase::Prefill)
    };
    let engines = [other, holder, engine(Phase::Decode)];
    let choice = choose(&engines, &prompt(LONG)).expect("there is a decode engine");
    assert_eq!(prefill_of(choice.placement), Some(0));
    assert!(choice.prefill_ms < prefill_ms(LONG, 0, 1.0));
}

/// Requests on a full decode engine wait for a slot or for memory.
#[test]
fn choose_decode_engine_with_capacity() {
    let full_slots = EngineView {
        streams: 64,
        ..engine(Phase::Decode)
    };
    let full_memory = EngineView {
        streams: 30,
        memory_use: 1.1,
        ..engine(Phase::Decode)
    };
    let free = EngineView {
        streams: 35,
        memory_use: 0.3,
        ..engine(Phase::Decode)
    };
    let engines = [engine(Phase::Prefill), full_slots, full_memory, free];
    for tokens in [SHORT, LONG] {
        let choice = choose(&engines, &prompt(tokens)).expect("there is a decode engine");
        let decode = match choice.placement {
            Placement::TwoStage { decode, .. } | Placement::OneStage { decode } => decode,
        };
        assert_eq!(decode, 3, "{tokens} tokens");
    }
}

/// Simulates a burst with the loads that the choices cause, and compares the longest wait of a
/// short prompt with that under round-robin.
#[test]
fn choose_burst_of_mixed_prompts() {
    let worst_ms = |is_round_robin: bool| {
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
            let chosen = if is_round_robin {
                n % 6
            } else {
                let request = Prompt {
                    // Excludes the decode engine from the comparison.
                    max_gap_ms: 1.0,
                    ..prompt(tokens)
                };
                let choice = choose(&engines, &request).expect("there is a decode engine");
                prefill_of(choice.placement).expect("a prefill engine")
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
