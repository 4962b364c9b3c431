//! Prints the time per routing decision for fleets of several sizes:
//! `cargo run --release --example routing_cost`.

use std::hint::black_box;
use std::time::Instant;

use yuccacove::routing::{
    CacheChange, EngineKey, EngineState, LoadReport, PrefixHash, Request, Router, RoutingPolicy,
};

const FLEET_SIZES: [usize; 4] = [30, 100, 300, 930];
const ENTRY_HOSTS: usize = 350;
const DECISIONS: u64 = 2_000;
/// Number of short rounds per fleet size, because other load on a shared machine disturbs some of
/// them.
const ROUNDS: usize = 41;
const PROMPT_WORDS: usize = 4_096;
/// Every engine caches the first half of the prompt; one engine in this many caches all of it.
const FULL_PROMPT_EVERY: usize = 8;

fn main() {
    let words: Vec<String> = (0..PROMPT_WORDS).map(|i| format!("word{i}")).collect();
    let prefixes = PrefixHash::of_prompt(&words.join(" "));
    println!("engines,prompt_blocks,best_us,median_us,worst_us");
    for engines in FLEET_SIZES {
        for prefixes in [&prefixes[..0], &prefixes] {
            let mut rounds_us: Vec<f64> = (0..ROUNDS)
                .map(|round| decision_us(engines, prefixes, round))
                .collect();
            rounds_us.sort_by(f64::total_cmp);
            println!(
                "{engines},{},{:.2},{:.2},{:.2}",
                prefixes.len(),
                rounds_us[0],
                rounds_us[ROUNDS / 2],
                rounds_us[ROUNDS - 1]
            );
        }
    }
}

/// Mean time of a decision in microseconds, with requests in flight on all engines.
fn decision_us(engines: usize, prefixes: &[PrefixHash], round: usize) -> f64 {
    let mut router = Router::new(RoutingPolicy::Scored, "entry-1", "zone-0");
    router.set_hosts(ENTRY_HOSTS);
    let keys: Vec<EngineKey> = (0..engines)
        .map(|i| add_engine(&mut router, i, prefixes))
        .collect();
    let ids: Vec<String> = (0..DECISIONS).map(|i| format!("{round}-{i}")).collect();
    let requests = ids.iter().map(|id| request(id, prefixes));
    let mut in_flight = Vec::new();
    for (key, request) in keys.iter().zip(requests.clone()) {
        in_flight.push(router.dispatched(*key, &request, 0, 0));
    }
    let start = Instant::now();
    for (i, request) in (0..).zip(requests) {
        black_box(router.choose(1_000 + i, &request));
    }
    let elapsed_us = start.elapsed().as_secs_f64() * 1e6;
    for dispatch in in_flight {
        router.finished(dispatch, 2_000);
    }
    elapsed_us / DECISIONS as f64
}

fn add_engine(router: &mut Router, index: usize, prefixes: &[PrefixHash]) -> EngineKey {
    let zone = format!("zone-{}", index % 5);
    let key = router.add(&EngineState::new("model", "model", "v1", &zone));
    let report = LoadReport {
        age_ms: index as u64 % 3_000,
        requests: 8,
        prefill_backlog_tokens: (index as u64 * 7_919) % 20_000,
        decode_backlog_tokens: (index as u64 * 104_729) % 8_000,
        incarnation: 1,
    };
    router.reported(key, &report, 1_000);
    let cached = if index.is_multiple_of(FULL_PROMPT_EVERY) {
        prefixes.len()
    } else {
        prefixes.len() / 2
    };
    for (seq, prefix) in (1..).zip(&prefixes[..cached]) {
        router.cache_event(key, seq, CacheChange::Added(*prefix));
    }
    key
}

fn request<'a>(request_id: &'a str, prefixes: &'a [PrefixHash]) -> Request<'a> {
    Request {
        service: "model",
        model: "model",
        version: "v1",
        request_id,
        prompt_tokens: 4_096,
        output_tokens: 200,
        prefixes,
        exclude: &[],
    }
}
