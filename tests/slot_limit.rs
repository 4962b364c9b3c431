//! Concurrency limit of a pool of engines under simulated load, in virtual time.

use std::collections::VecDeque;

use yuccacove::admission::{Decision, Offer, Queue, RequestKey};
use yuccacove::catalogue::Class;
use yuccacove::rank::Rank;
use yuccacove::slot_limit::{PoolLoad, START_ENGINE_SLOTS, TokenGaps, engine_slots, host_slots};

const TARGET_MS: u64 = 61;
/// Age of the engines' reports when the host uses them.
const REPORT_AGE_MS: u64 = 700;

/// Load of streams that arrive at one host in front of a pool.
struct Load {
    engines: usize,
    every_ms: u64,
    tokens: u64,
    /// Duration of a decode step with the given batch size.
    step_ms: fn(usize) -> u64,
}

#[derive(Debug, Default)]
struct Summary {
    refused: usize,
    largest_batch: usize,
}

fn simulate(load: &Load, seconds: u64) -> Summary {
    let mut queue = Queue::new([40, 20, 10], 0);
    let mut gaps = TokenGaps::new(0);
    let mut running: Vec<(RequestKey, u64, u64)> = Vec::new();
    let mut reports = VecDeque::from([(0, 0)]);
    let mut summary = Summary::default();
    for now_ms in 0..seconds * 1_000 {
        let batch = running.len().div_ceil(load.engines);
        let step_ms = (load.step_ms)(batch);
        for (key, left, next_ms) in &mut running {
            if *next_ms <= now_ms {
                *left -= 1;
                *next_ms = now_ms + step_ms;
                gaps.record(step_ms, now_ms);
                if *left == 0 {
                    queue.finished(*key, now_ms);
                }
            }
        }
        running.retain(|(_, left, _)| *left > 0);
        reports.push_back((now_ms, running.len()));
        while reports
            .front()
            .is_some_and(|(at_ms, _)| at_ms + REPORT_AGE_MS < now_ms)
        {
            reports.pop_front();
        }
        if now_ms % load.every_ms != 0 {
            continue;
        }
        let pool = PoolLoad {
            engines: load.engines,
            hosts: 1,
            running: reports.front().map_or(0, |(_, running)| *running),
            running_here: running.len(),
        };
        let per_engine = engine_slots(&pool, gaps.p99_ms(now_ms), TARGET_MS);
        queue.set_slots(host_slots(&pool, per_engine));
        let offer = Offer {
            rank: Rank::Urgent,
            class: Class::Chat,
            work_ms: load.tokens * step_ms,
            start_by_ms: now_ms,
        };
        match queue.offer(&offer, now_ms) {
            Decision::Run(key) => running.push((key, load.tokens, now_ms + step_ms)),
            _ => summary.refused += 1,
        }
        summary.largest_batch = summary
            .largest_batch
            .max(running.len().div_ceil(load.engines));
    }
    summary
}

/// Guards against a fixed limit, which would refuse streams while the inter-token gap is far below
/// its target.
#[test]
fn streams_are_not_refused_below_capacity() {
    let load = Load {
        engines: 8,
        every_ms: 20,
        tokens: 200,
        step_ms: |_| 20,
    };
    assert_eq!(simulate(&load, 30).refused, 0);
}

/// A limit that grows while steps are short must stop growing before the gap exceeds its target.
#[test]
fn overload_keeps_inter_token_gap() {
    // Cost model of the engine stand-in: 22.9 ms a step plus 0.714 ms a request, and 16 ms of
    // prefill.
    let step_ms = |batch: usize| (38.9 + 0.714 * batch as f64) as u64;
    let load = Load {
        engines: 4,
        every_ms: 5,
        tokens: 200,
        step_ms,
    };
    let summary = simulate(&load, 30);
    assert!(summary.refused > 0, "{summary:?}");
    assert!(step_ms(summary.largest_batch) <= TARGET_MS, "{summary:?}");
    assert!(summary.largest_batch >= START_ENGINE_SLOTS, "{summary:?}");
}

/// Hosts that see the same unused slots must not exceed them together.
#[test]
fn hosts_share_unused_slots() {
    let cases = [
        // (engines, slots of each engine, requests by host)
        (4, 16, vec![60, 1, 0, 0]),
        (4, 16, vec![0, 0, 0, 0]),
        (10, 17, vec![20, 30, 10, 25, 3, 40, 2]),
        (1, 16, vec![16, 0, 0, 0, 0, 0, 0]),
    ];
    for (engines, per_engine, mut running) in cases {
        let total = engines * per_engine;
        for _ in 0..40 {
            let slots: Vec<usize> = running
                .iter()
                .map(|running_here| {
                    let load = PoolLoad {
                        engines,
                        hosts: running.len(),
                        running: running.iter().sum(),
                        running_here: *running_here,
                    };
                    host_slots(&load, per_engine)
                })
                .collect();
            let even = total.div_ceil(running.len());
            assert!(slots.iter().all(|slots| *slots >= even), "{slots:?}");
            // Only the busiest host uses its whole limit.
            running[0] = running[0].max(slots[0]);
            let others: usize = running[1..].iter().sum();
            assert!(running[0] <= even.max(total - others), "{running:?}");
        }
        let others: usize = running[1..].iter().sum();
        assert!(running[0] + others + running.len() > total, "{running:?}");
    }
}

/// Recorded gaps must expire after an idle period, but must not all expire at once.
#[test]
fn gaps_expire_after_two_windows() {
    let mut gaps = TokenGaps::new(0);
    assert_eq!(gaps.p99_ms(0), None);
    gaps.record(50, 1_000);
    assert_eq!(gaps.p99_ms(6_000), Some(50));
    gaps.record(20, 7_000);
    assert_eq!(gaps.p99_ms(9_000), Some(50));
    assert_eq!(gaps.p99_ms(11_000), Some(20));
    assert_eq!(gaps.p99_ms(40_000), None);
}
