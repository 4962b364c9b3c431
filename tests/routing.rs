//! Choice of an engine: spread over hosts, eligibility, cached prefixes and estimated rates.

use yuccacove::catalogue::{Admin, Role};
use yuccacove::routing::{
    CacheChange, Continuity, EngineKey, EngineState, LoadReport, PrefixHash, Request, Router,
    RoutingPolicy, TransferCost,
};

const POLICIES: [RoutingPolicy; 3] = [
    RoutingPolicy::Scored,
    RoutingPolicy::LeastInFlight,
    RoutingPolicy::RoundRobin,
];

fn state() -> EngineState {
    EngineState::new("advisor", "advisor", "v1", "a")
}

fn request<'a>(request_id: &'a str, prefixes: &'a [PrefixHash]) -> Request<'a> {
    Request {
        service: "advisor",
        model: "advisor",
        version: "v1",
        request_id,
        prompt_tokens: 1_280,
        output_tokens: 200,
        prefixes,
        exclude: &[],
    }
}

fn report(prefill_backlog_tokens: u64, age_ms: u64) -> LoadReport {
    LoadReport {
        age_ms,
        requests: 1,
        prefill_backlog_tokens,
        decode_backlog_tokens: 0,
        incarnation: 1,
    }
}

fn router(policy: RoutingPolicy, host: &str, engines: usize) -> (Router, Vec<EngineKey>) {
    let mut router = Router::new(policy, host, "a");
    let keys = (0..engines).map(|_| router.add(&state())).collect();
    (router, keys)
}

/// Returns the hashes of the 20 prefixes of a prompt of 1,280 words.
fn prefixes() -> Vec<PrefixHash> {
    let words: Vec<String> = (0..1_280).map(|i| format!("w{i}")).collect();
    PrefixHash::of_prompt(&words.join(" "))
}

/// Returns how often each engine is chosen for 1,000 requests that all see the same loads.
fn choices(router: &mut Router, keys: &[EngineKey], now_ms: u64) -> Vec<usize> {
    let mut counts = vec![0; keys.len()];
    for i in 0..1_000 {
        let id = format!("r{i}");
        let decision = router.choose(now_ms, &request(&id, &[]));
        let engine = decision.expect("an engine is eligible").engine;
        counts[keys.iter().position(|k| *k == engine).expect("known key")] += 1;
    }
    counts
}

/// Guards against all hosts choosing the same engine because a stale report shows it as idle.
#[test]
fn choose_same_stale_report() {
    // (hosts, engines, report age in ms, maximum number of hosts that choose the same engine)
    let cases = [
        (7, 12, 500, 4),
        (7, 12, 3_000, 4),
        (7, 18, 3_000, 4),
        (350, 930, 500, 18),
        (350, 930, 3_000, 18),
        (350, 12, 3_000, 70),
    ];
    for (hosts, engines, age_ms, bound) in cases {
        let mut counts = vec![0; engines];
        for host in 0..hosts {
            let (mut router, keys) =
                router(RoutingPolicy::Scored, &format!("entry-{host}"), engines);
            router.set_hosts(hosts);
            for (i, key) in keys.iter().enumerate() {
                let backlog = if i == 5 { 0 } else { 6_000 + i as u64 };
                router.reported(*key, &report(backlog, age_ms), 10_000);
            }
            // The request id is the same on all hosts, so only the host name spreads the choice.
            let decision = router
                .choose(10_000, &request("r", &[]))
                .expect("an engine is eligible");
            counts[keys
                .iter()
                .position(|k| *k == decision.engine)
                .expect("known key")] += 1;
        }
        let largest = counts.iter().max().copied().unwrap_or(0);
        assert!(
            largest <= bound,
            "{hosts} hosts, {engines} engines, {age_ms} ms: {largest} chose one engine"
        );
    }
}

/// Guards against choosing an engine that is draining, changing, ejected, excluded or serves
/// another model or version.
#[test]
fn choose_only_eligible() {
    type Change = fn(&mut Router, EngineKey, &mut EngineState);
    let cases: [(&str, Change); 7] = [
        ("draining", |_, _, s| s.admin = Admin::Draining),
        ("withdrawn", |_, _, s| s.admin = Admin::Withdrawn),
        ("changing", |_, _, s| s.changing = true),
        ("version", |_, _, s| s.version = "v2".to_owned()),
        ("model", |_, _, s| s.model = "other".to_owned()),
        ("service", |_, _, s| s.service = "other".to_owned()),
        ("ejected", |r, k, _| r.set_traffic_share(k, 0.0)),
    ];
    for policy in POLICIES {
        for (name, change) in cases {
            let (mut router, keys) = router(policy, "entry-1", 2);
            let mut changed = state();
            change(&mut router, keys[0], &mut changed);
            router.change(keys[0], &changed);
            // The ineligible engine has a much better score.
            router.reported(keys[0], &report(0, 0), 0);
            router.reported(keys[1], &report(80_000, 0), 0);
            assert_eq!(
                choices(&mut router, &keys, 0),
                [0, 1_000],
                "{policy:?} {name}"
            );
        }
        let (mut router, keys) = router(policy, "entry-1", 1);
        let excluded = Request {
            exclude: &keys,
            ..request("r", &[])
        };
        assert!(router.choose(0, &excluded).is_none(), "{policy:?} excluded");
        router.remove(keys[0]);
        assert!(router.choose(0, &request("r", &[])).is_none(), "{policy:?}");
    }
}

/// Guards against sending a recovering engine more than its traffic share.
#[test]
fn choose_recovering_engine_gets_its_share() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 2);
    router.set_traffic_share(keys[0], 0.1);
    router.reported(keys[0], &report(0, 0), 0);
    router.reported(keys[1], &report(80_000, 0), 0);
    let counts = choices(&mut router, &keys, 0);
    assert!((50..=150).contains(&counts[0]), "{counts:?}");
}

/// Guards against trusting cached prefixes after lost events or a restart of the engine.
#[test]
fn cache_event_credit() {
    let prefixes = prefixes();
    let added = |blocks: usize| CacheChange::Added(prefixes[blocks - 1]);
    let evicted = |blocks: usize| CacheChange::Evicted(prefixes[blocks - 1]);
    let full = (8..=20).map(added).collect::<Vec<_>>();
    // (name, events with sequence numbers, whether this host sent the prefix before, incarnation,
    // cached tokens, continuity of the last event)
    #[rustfmt::skip] // one case on each line
    let cases = [
        ("known", vec![(1, added(10)), (2, added(20))], false, 1, 1_280, Continuity::Complete),
        ("repeated", vec![(1, added(20)), (1, evicted(20))], false, 1, 1_280, Continuity::Complete),
        ("evicted", vec![(1, added(10)), (2, added(20)), (3, evicted(20))], false, 1, 640, Continuity::Complete),
        ("gap", vec![(1, added(20)), (3, added(4))], false, 1, 256, Continuity::Gap),
        ("gap, own", vec![(1, added(20)), (3, added(4))], true, 1, 640, Continuity::Gap),
        ("own, unconfirmed", vec![], true, 1, 640, Continuity::Complete),
        ("own, evicted", vec![(1, evicted(20))], true, 1, 608, Continuity::Complete),
        ("restart", vec![(1, added(20))], true, 2, 0, Continuity::Complete),
        ("many", (5..).zip(full).collect(), false, 1, 1_280, Continuity::Complete),
    ];
    for (name, events, sent, incarnation, cached_tokens, continuity) in cases {
        let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 1);
        router.reported(keys[0], &report(0, 0), 0);
        let request = request("r", &prefixes);
        if sent {
            let dispatch = router.dispatched(keys[0], &request, 0, 0);
            router.finished(dispatch, 0);
        }
        let last = events
            .into_iter()
            .map(|(seq, change)| router.cache_event(keys[0], seq, change))
            .last();
        let again = LoadReport {
            incarnation,
            ..report(0, 0)
        };
        router.reported(keys[0], &again, 1);
        let decision = router.choose(1, &request).expect("an engine is eligible");
        assert_eq!(decision.cached_tokens, cached_tokens, "{name}");
        assert_eq!(last.unwrap_or(Continuity::Complete), continuity, "{name}");
    }
}

/// Guards against ignoring a cached prefix, and against preferring it despite a long queue.
#[test]
fn choose_cached_until_queue_outweighs() {
    let prefixes = prefixes();
    // The cached prefix saves 160 ms of prefill at the initial rate of 8 tokens/ms.
    for (backlog_tokens, expect_cached) in [(0, 1_000), (600, 1_000), (2_000, 0), (8_000, 0)] {
        let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 3);
        for key in &keys {
            router.reported(*key, &report(0, 0), 0);
        }
        router.reported(keys[1], &report(backlog_tokens, 0), 0);
        router.cache_event(keys[1], 1, CacheChange::Added(prefixes[19]));
        let chosen = (0..1_000).filter(|i| {
            let id = format!("r{i}");
            let decision = router.choose(0, &request(&id, &prefixes));
            decision.is_some_and(|d| d.engine == keys[1])
        });
        assert_eq!(chosen.count(), expect_cached, "backlog {backlog_tokens}");
    }
}

/// Guards against treating engines without a report as idle.
#[test]
fn choose_unknown_load_counts_as_mean() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 3);
    router.reported(keys[0], &report(2_000, 0), 0);
    router.reported(keys[1], &report(40_000, 0), 0);
    assert_eq!(choices(&mut router, &keys, 0), [1_000, 0, 0]);
}

/// Guards against counting a host's own work twice when a report contains it.
#[test]
fn reported_subtracts_own_work() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 1);
    let request = request("r", &[]);
    let queue_ms = |router: &mut Router, now_ms| {
        router
            .choose(now_ms, &request)
            .expect("an engine is eligible")
            .candidates[0]
            .queue_ms
    };
    let mut dispatch = router.dispatched(keys[0], &request, 0, 0);
    let own_ms = queue_ms(&mut router, 0);
    let mut full = report(1_280, 0);
    full.decode_backlog_tokens = 200;
    router.reported(keys[0], &report(0, 0), 100);
    // Measured at 150 ms: the snapshot of 100 ms contains the host's own work.
    full.age_ms = 50;
    router.reported(keys[0], &full, 200);
    assert!((queue_ms(&mut router, 200) - own_ms).abs() < 1e-6);
    router.first_token(&mut dispatch, 300);
    router.generated(&mut dispatch, 200);
    router.finished(dispatch, 400);
    assert!(queue_ms(&mut router, 400) < 1e-6);
    assert_eq!(router.own_requests(keys[0]), 0);
}

/// Guards against sending a slower engine as much work as a faster one.
#[test]
fn first_token_learns_rates() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 2);
    let mut now_ms = 0;
    for i in 0..200 {
        for (key, speed) in keys.iter().zip([1, 4]) {
            let id = format!("r{i}");
            let mut dispatch = router.dispatched(*key, &request(&id, &[]), 0, now_ms);
            router.first_token(&mut dispatch, now_ms + 800 / speed);
            router.generated(&mut dispatch, 200);
            router.finished(dispatch, now_ms + 4_800 / speed);
            now_ms += 10_000;
        }
    }
    assert_eq!(choices(&mut router, &keys, now_ms), [0, 1_000]);
}

/// Guards against measuring the decode rate from the last token instead of the first. The engine
/// would seem hundreds of times faster than it is and attract all work. The host reports every
/// token as a possible first one.
#[test]
fn first_token_counts_once() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 1);
    let decode_ms = |router: &mut Router| {
        let decision = router.choose(100_000, &request("r", &[]));
        decision.expect("an engine is eligible").candidates[0].decode_ms
    };
    let before_ms = decode_ms(&mut router);
    let mut dispatch = router.dispatched(keys[0], &request("r0", &[]), 0, 0);
    let mut now_ms = 200;
    for _ in 0..200 {
        router.first_token(&mut dispatch, now_ms);
        router.generated(&mut dispatch, 1);
        now_ms += 50;
    }
    router.finished(dispatch, now_ms);
    // 20 tokens per second are below the initial rate, so the engine must not seem faster.
    let after_ms = decode_ms(&mut router);
    assert!(after_ms >= before_ms, "{after_ms} after {before_ms}");
}

/// Guards against an engine that seems faster the more work is queued on it: an urgent request
/// overtakes queued prefill, so its time must not count as a sample of that prefill's rate.
#[test]
fn first_token_ignores_queued_work() {
    let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 1);
    let prefill_ms = |router: &mut Router| {
        let decision = router.choose(100_000, &request("r", &[]));
        decision.expect("an engine is eligible").candidates[0].prefill_ms
    };
    let before_ms = prefill_ms(&mut router);
    let waiting: Vec<_> = (0..10)
        .map(|i| router.dispatched(keys[0], &request(&format!("w{i}"), &[]), 0, 0))
        .collect();
    for i in 0..20 {
        let id = format!("u{i}");
        let mut dispatch = router.dispatched(keys[0], &request(&id, &[]), 0, 1_000);
        router.first_token(&mut dispatch, 1_000 + before_ms as u64);
        router.finished(dispatch, 2_000);
    }
    let after_ms = prefill_ms(&mut router);
    assert!(
        (after_ms / before_ms - 1.0).abs() < 0.05,
        "{after_ms} after {before_ms}"
    );
    for dispatch in waiting {
        router.finished(dispatch, 3_000);
    }
}

/// Guards against sending long prompts to decode engines and long outputs to prefill engines.
#[test]
fn choose_role_fit() {
    // (prompt tokens, output tokens, expected engine of [mixed, prefill, decode], mixed backlog)
    let cases = [
        (1_280, 200, 0, 0),
        (8_000, 10, 1, 80_000),
        (64, 2_000, 2, 80_000),
    ];
    for (prompt_tokens, output_tokens, expected, backlog) in cases {
        let mut router = Router::new(RoutingPolicy::Scored, "entry-1", "a");
        let keys = [Role::Mixed, Role::Prefill, Role::Decode].map(|role| {
            let key = router.add(&EngineState { role, ..state() });
            router.reported(key, &report(0, 0), 0);
            key
        });
        router.reported(keys[0], &report(backlog, 0), 0);
        let request = Request {
            prompt_tokens,
            output_tokens,
            ..request("r", &[])
        };
        let decision = router.choose(0, &request).expect("an engine is eligible");
        assert_eq!(
            decision.engine, keys[expected],
            "{prompt_tokens}/{output_tokens}"
        );
    }
}

/// Guards against a key of a removed engine that refers to an engine added later at the same index.
#[test]
fn remove_then_add() {
    let (mut router, keys) = router(RoutingPolicy::LeastInFlight, "entry-1", 1);
    let dispatch = router.dispatched(keys[0], &request("r", &[]), 0, 0);
    router.remove(keys[0]);
    let key = router.add(&state());
    assert_ne!(key, keys[0]);
    router.finished(dispatch, 10);
    router.set_traffic_share(keys[0], 0.0);
    assert_eq!(
        router.choose(0, &request("r", &[])).map(|d| d.engine),
        Some(key)
    );
}

/// Guards against baselines that do not spread work, which would make the scored policy look better
/// than it is.
#[test]
fn choose_baselines() {
    for policy in [RoutingPolicy::LeastInFlight, RoutingPolicy::RoundRobin] {
        let (mut router, keys) = router(policy, "entry-1", 4);
        assert_eq!(choices(&mut router, &keys, 0), [250; 4], "{policy:?}");
    }
    let (mut router, keys) = router(RoutingPolicy::LeastInFlight, "entry-1", 2);
    let dispatch = router.dispatched(keys[0], &request("r", &[]), 0, 0);
    assert_eq!(choices(&mut router, &keys, 0), [0, 1_000]);
    router.finished(dispatch, 1);
}

/// Guards against transfers that take longer than the prefill that they save.
#[test]
fn import_for_worthwhile_transfer() {
    let prefixes = prefixes();
    // (bytes per second, tokens cached by the target, whether the source reported the prefix,
    // version of the source, whether to import)
    let cases = [
        (10e9, 0, true, "v1", true),
        (10e9, 1_280, true, "v1", false),
        (1e9, 0, true, "v1", false),
        (10e9, 0, false, "v1", false),
        (10e9, 0, true, "v2", false),
    ];
    for (bytes_per_s, cached_tokens, reported, version, expected) in cases {
        let (mut router, keys) = router(RoutingPolicy::Scored, "entry-1", 2);
        router.change(
            keys[1],
            &EngineState {
                version: version.to_owned(),
                ..state()
            },
        );
        if reported {
            router.cache_event(keys[1], 1, CacheChange::Added(prefixes[19]));
        }
        let cost = TransferCost {
            bytes_per_token: 160_000.0,
            bytes_per_s,
            overhead_ms: 5.0,
        };
        let import = router.import_for(keys[0], &request("r", &prefixes), cached_tokens, &cost);
        assert_eq!(
            import.map(|i| (i.from, i.tokens)),
            expected.then_some((keys[1], 1_280))
        );
    }
}

/// Guards against hashes that differ from those in the cache events of engines.
#[test]
fn prefix_hash_of_prompt() {
    let hashes = prefixes();
    assert_eq!(hashes.len(), 20);
    let words: Vec<String> = (0..64).map(|i| format!("w{i}")).collect();
    let expected = blake3::hash(words.join(" ").as_bytes()).to_hex()[..16].to_owned();
    assert_eq!(hashes[0].to_string(), expected);
    assert_eq!(expected.parse(), Ok(hashes[0]));
    assert!(PrefixHash::of_prompt("too short").is_empty());
}
