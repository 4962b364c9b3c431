//! Placement of orders: choice of the engine, drained engines, and the rate limit for weight loads.

use yuccacove::placement::{Candidate, Load, LoadBudget, choose, is_drained, max_unavailable};

/// Parses a candidate such as `a,3,dr`: name, work and flags (a: unavailable, s: needs no order,
/// d: draining, r: change of role only).
fn candidate(text: &str) -> Candidate {
    let fields: Vec<&str> = text.split(',').collect();
    let has = |flag| fields.get(2).is_some_and(|flags| flags.contains(flag));
    Candidate {
        name: fields[0].to_owned(),
        is_unavailable: has('a'),
        needs_order: !has('s'),
        loads_weights: !has('r'),
        is_draining: has('d'),
        work: fields[1].parse().expect("a number"),
    }
}

/// Guards against more than 10% of a pool, or more than one engine of a small pool, being
/// unavailable at the same time.
#[test]
fn max_unavailable_by_pool_size() {
    for (engines, limit) in [(0, 1), (1, 1), (12, 1), (19, 1), (20, 2), (233, 23)] {
        assert_eq!(max_unavailable(engines), limit, "{engines}");
    }
}

/// Guards against choosing an engine beyond the limit, or one with more work than another.
#[test]
fn choose_cases() {
    let of_twenty = |decisions: &str| format!("{}{decisions}", "not_needed ".repeat(18));
    let twenty = |rest: &str| format!("{}{rest}", "s,0,s ".repeat(18));
    let cases = [
        (
            "a,3 b,1".to_owned(),
            true,
            "later_in_order chosen".to_owned(),
        ),
        (
            "b,1 a,1".to_owned(),
            true,
            "later_in_order chosen".to_owned(),
        ),
        (
            "a,0 z,9,d".to_owned(),
            true,
            "later_in_order chosen".to_owned(),
        ),
        ("a,0 b,0,a".to_owned(), true, "away_limit away".to_owned()),
        ("a,0,s".to_owned(), true, "not_needed".to_owned()),
        ("a,0 b,5,r".to_owned(), false, "load_rate chosen".to_owned()),
        (twenty("x,0,a y,0"), true, of_twenty("away chosen")),
    ];
    for (candidates, may_load, expected) in cases {
        let candidates: Vec<Candidate> = candidates.split(' ').map(candidate).collect();
        let decisions: Vec<String> = choose(&candidates, may_load)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(decisions.join(" "), expected, "{candidates:?}");
    }
}

/// Guards against changing an engine to which entry hosts may still send work, and against relying
/// on a load that was measured while they could.
#[test]
fn is_drained_cases() {
    let load = |work, measured_ms| Some(Load { work, measured_ms });
    let cases = [
        (load(0, 4_000), true),
        (load(0, 3_999), false),
        (load(1, 9_000), false),
        (None, false),
    ];
    for (load, expected) in cases {
        assert_eq!(is_drained(1_000, 3_000, load), expected, "{load:?}");
    }
}

/// Guards against several pools, or a new lease holder, exceeding the fleet-wide rate limit.
#[test]
fn load_budget_spreads_rate_over_pools() {
    let mut starts = 0;
    for pool in 0..4 {
        let mut budget = LoadBudget::new(12, 4, pool * 100);
        for now_ms in 0..60_000 {
            if budget.may_load(now_ms) {
                budget.record_load(now_ms);
                starts += 1;
            }
        }
    }
    assert!(
        (8..=12).contains(&starts),
        "{starts} loads in the first minute"
    );
    assert!(!LoadBudget::new(0, 1, 0).may_load(u64::MAX - 1));
}
