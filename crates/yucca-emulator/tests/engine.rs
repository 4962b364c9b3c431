//! Checks that the engine model reproduces the behaviour of real engines.

use yucca_emulator::engine::{Capacity, Engine, Work, WorkId};
use yuccacove::prompt_placement::Phase;

const SHARED: (u64, u32) = (5, 5_382);
const OWN: (u64, u32) = (9, 6_610);

/// Runs steps until no work is left. Returns the work in the order in which it ended, each with the
/// time of its last token or of the end of its remote prefill.
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

fn end_ms(engine: &mut Engine, work: Work) -> f64 {
    engine.submit(work, 0.0);
    run(engine, 0.0)[0].1
}

/// Prefill times must agree with the published ones, which leave out attention, and with those measured
/// on idle engines of the users' test bench, which include it. From 200 ms on, the latter are 1.1 times
/// as long as those of the model, because they also include transfers and calls.
#[test]
fn engine_prefill_times() {
    let full = Capacity::default();
    let published = Capacity {
        attention_ms_per_megapair: 0.0,
        ..full
    };
    let cases = [
        ("a prefill engine", published, Phase::Prefill, false, 187.0),
        (
            "with the shared prefix cached",
            published,
            Phase::Prefill,
            true,
            103.0,
        ),
        ("a decode engine", published, Phase::Decode, false, 374.0),
        (
            "a decode engine with the prefix",
            published,
            Phase::Decode,
            true,
            206.0,
        ),
        ("with attention", full, Phase::Prefill, false, 234.0),
        (
            "with attention and the prefix",
            full,
            Phase::Prefill,
            true,
            140.0,
        ),
    ];
    for (name, capacity, phase, is_cached, expected_ms) in cases {
        let mut engine = Engine::new(capacity, phase);
        if is_cached {
            let other = (77, 1);
            end_ms(&mut engine, Work::generate(1, &[SHARED, other], 1, 0, 0));
        }
        let work = match phase {
            Phase::Prefill => Work::prefill(2, &[SHARED, OWN]),
            Phase::Decode => Work::generate(2, &[SHARED, OWN], 1, 0, 0),
        };
        let took_ms = end_ms(&mut engine, work);
        assert!((took_ms - expected_ms).abs() < 2.5, "{name}: {took_ms} ms");
    }
}

/// Each request in a batch must slow the others, and a fetched prompt must not be prefilled again for
/// the first token.
#[test]
fn engine_batch_times() {
    let capacity = Capacity::default();
    let alone = end_ms(
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

/// If memory runs out, only the newest of the least urgent requests must be preempted.
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

/// If memory is needed, the most recently used prefixes must stay in the cache.
#[test]
fn engine_evicts_least_recently_used_first() {
    let capacity = Capacity {
        kv_tokens: 12_000,
        ..Capacity::default()
    };
    let mut engine = Engine::new(capacity, Phase::Decode);
    for id in [1, 2, 1, 3] {
        end_ms(&mut engine, Work::generate(id, &[(id, 5_000)], 1, 0, 0));
    }
    assert_eq!(engine.cached_tokens(&[(1, 5_000)]), 5_000);
    assert_eq!(engine.cached_tokens(&[(2, 5_000)]), 0);
    assert_eq!(engine.cached_tokens(&[(3, 5_000)]), 5_000);
}

/// A phase change must let the running work complete, return the ids of the queued work, and take the
/// configured time.
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
