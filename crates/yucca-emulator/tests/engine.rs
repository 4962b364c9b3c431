//! Guards the emulated engine against drifting from what real ones were seen to do.

use yucca_emulator::engine::{Capacity, Engine, Work, WorkId};
use yuccacove::prompt_placement::Phase;

const SHARED: (u64, u32) = (5, 5_382);
const OWN: (u64, u32) = (9, 6_610);

/// Works until nothing is left; times of the last token or of the read prompt, by work.
fn run(engine: &mut Engine, from_ms: f64) -> Vec<(WorkId, f64)> {
    let mut now_ms = from_ms;
    let mut ended = Vec::new();
    while let Some(step) = engine.next_step(now_ms) {
        now_ms += step.duration_ms;
        let outcome = engine.apply(&step, now_ms);
        ended.extend(outcome.prefilled.into_iter().map(|id| (id, now_ms)));
        let last = outcome
            .tokens
            .into_iter()
            .filter(|(_, _, is_last)| *is_last);
        ended.extend(last.map(|(id, _, _)| (id, now_ms)));
    }
    ended
}

fn time_ms(engine: &mut Engine, work: Work) -> f64 {
    engine.submit(work, 0.0);
    run(engine, 0.0)[0].1
}

/// Times of the users' sheet, and those with attention, as reading on idle engines of their bench takes
/// (1.1 times as much at 200 ms and more, moves and calls included).
#[test]
fn engine_reading_times() {
    let full = Capacity::default();
    let sheet = Capacity {
        attention_ms_per_megapair: 0.0,
        ..full
    };
    let cases = [
        ("a prefill engine", sheet, Phase::Prefill, false, 187.0),
        (
            "with the shared part kept",
            sheet,
            Phase::Prefill,
            true,
            103.0,
        ),
        ("a decode engine", sheet, Phase::Decode, false, 374.0),
        (
            "a decode engine with the part",
            sheet,
            Phase::Decode,
            true,
            206.0,
        ),
        ("with attention", full, Phase::Prefill, false, 234.0),
        (
            "with attention and the part",
            full,
            Phase::Prefill,
            true,
            140.0,
        ),
    ];
    for (name, capacity, phase, is_kept, expected_ms) in cases {
        let mut engine = Engine::new(capacity, phase);
        if is_kept {
            let other = (77, 1);
            time_ms(&mut engine, Work::generate(1, &[SHARED, other], 1, 0, 0));
        }
        let work = match phase {
            Phase::Prefill => Work::prefill(2, &[SHARED, OWN]),
            Phase::Decode => Work::generate(2, &[SHARED, OWN], 1, 0, 0),
        };
        let took_ms = time_ms(&mut engine, work);
        assert!((took_ms - expected_ms).abs() < 2.5, "{name}: {took_ms} ms");
    }
}

/// Each generation of a batch slows the others, and the first token needs no prompt twice.
#[test]
fn engine_batch_times() {
    let capacity = Capacity::default();
    let alone = time_ms(
        &mut Engine::new(capacity, Phase::Decode),
        Work::generate(1, &[(1, 100)], 50, 100, 0),
    );
    let mut engine = Engine::new(capacity, Phase::Decode);
    for id in 1..=32 {
        engine.submit(Work::generate(id, &[(id, 100)], 50, 100, 0), 0.0);
    }
    let together = run(&mut engine, 0.0);
    assert_eq!(together.len(), 32);
    assert!((49.0 * 4.23..60.0 * 4.3).contains(&alone), "{alone} ms");
    assert!(together[31].1 > 1.01 * alone, "{} ms", together[31].1);
}

/// Memory that runs out must cost the newest of the least urgent its place, and nothing of the rest.
#[test]
fn engine_preempts_for_memory() {
    let capacity = Capacity {
        kv_tokens: 10_000,
        ..Capacity::default()
    };
    let mut engine = Engine::new(capacity, Phase::Decode);
    engine.submit(Work::generate(1, &[(1, 4_000)], 40, 0, 5), 0.0);
    engine.submit(Work::generate(2, &[(2, 4_000)], 40, 0, 5), 1.0);
    let step = engine.next_step(1.0).expect("work");
    engine.apply(&step, 1.0 + step.duration_ms);
    engine.submit(Work::generate(3, &[(3, 4_000)], 40, 0, 0), 2.0);
    let ended: Vec<WorkId> = run(&mut engine, 2.0)
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    assert_eq!(engine.counters().preempted, 1);
    assert_eq!(ended, [1, 3, 2]);
}

/// Parts that were used last must stay when the memory is needed.
#[test]
fn engine_keeps_least_recently_used_last() {
    let capacity = Capacity {
        kv_tokens: 12_000,
        ..Capacity::default()
    };
    let mut engine = Engine::new(capacity, Phase::Decode);
    for id in [1, 2, 1, 3] {
        time_ms(&mut engine, Work::generate(id, &[(id, 5_000)], 1, 0, 0));
    }
    assert_eq!(engine.cached_tokens(&[(1, 5_000)]), 5_000);
    assert_eq!(engine.cached_tokens(&[(2, 5_000)]), 0);
    assert_eq!(engine.cached_tokens(&[(3, 5_000)]), 5_000);
}

/// A change of phase lets the running work end, gives back what waits, and takes its time.
#[test]
fn engine_changes_phase() {
    let capacity = Capacity {
        slots: 1,
        ..Capacity::default()
    };
    let mut engine = Engine::new(capacity, Phase::Decode);
    engine.submit(Work::generate(1, &[(1, 100)], 10, 0, 0), 0.0);
    engine.submit(Work::generate(2, &[(2, 100)], 10, 0, 0), 0.0);
    let step = engine.next_step(0.0).expect("work");
    assert_eq!(engine.order(Phase::Prefill), [2]);
    assert!(engine.is_changing());
    engine.apply(&step, step.duration_ms);
    let ended = run(&mut engine, step.duration_ms);
    assert_eq!(ended.len(), 1);
    let change_ends_ms = engine.change_ends_ms().expect("a time");
    assert!((change_ends_ms - ended[0].1 - capacity.switch_ms).abs() < 1.0);
    assert_eq!(engine.next_step(change_ends_ms), None);
    assert_eq!(engine.phase(), Phase::Prefill);
}
