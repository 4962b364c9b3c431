//! Role planner on scripted demand: it must follow lasting changes of the mix and ignore short
//! ones.

use yuccacove::catalogue::Role;
use yuccacove::roles::{
    Demand, DemandEstimate, KeepReason, MAX_REPORT_AGE_MS, Plan, PlanInput, PoolEngine,
    UNFENCED_WAIT_MS, plan, plan_by_threshold,
};

const STEP_MS: u64 = 1_000;
const CHANGE_MS: u64 = 8_000;

/// Demand as a function of the time in ms.
type Script = Box<dyn Fn(u64) -> Demand>;

fn pool(prefill: usize, decode: usize, checks_fence: bool) -> Vec<PoolEngine> {
    let engine = |role| PoolEngine {
        role,
        is_serving: true,
        checks_fence,
        busy_s: 0.5,
    };
    let mut engines = vec![engine(Role::Prefill); prefill];
    engines.extend(vec![engine(Role::Decode); decode]);
    engines
}

/// Returns the number of role changes and the unserved engine-seconds over `seconds` of scripted
/// demand. Each change makes its engine unavailable for `CHANGE_MS`.
fn run(engines: &mut [PoolEngine], seconds: u64, demand: impl Fn(u64) -> Demand) -> (u32, f64) {
    let mut estimate = DemandEstimate::new(0);
    let mut changing: Option<(usize, Role, u64)> = None;
    let mut changes = 0;
    let mut unserved_s = 0.0;
    for now_ms in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        if let Some((engine, role, done_ms)) = changing
            && now_ms >= done_ms
        {
            engines[engine].role = role;
            engines[engine].is_serving = true;
            changing = None;
        }
        let wanted = demand(now_ms);
        let serving = |role| {
            let has_role = |e: &&PoolEngine| e.is_serving && e.role == role;
            engines.iter().filter(has_role).count() as f64
        };
        unserved_s += (wanted.prefill - serving(Role::Prefill)).max(0.0);
        unserved_s += (wanted.decode - serving(Role::Decode)).max(0.0);
        estimate.observe(wanted, now_ms);
        let input = PlanInput {
            now_ms,
            holder_since_ms: 0,
            change_ms: CHANGE_MS,
        };
        if let Plan::Change(candidate) = plan(engines, &estimate, input) {
            engines[candidate.engine].is_serving = false;
            changing = Some((candidate.engine, candidate.to, now_ms + CHANGE_MS));
            changes += 1;
        }
    }
    (changes, unserved_s)
}

fn demand(prefill: f64, decode: f64) -> Demand {
    Demand { prefill, decode }
}

/// Alternates between a mix with long prompts and one with long answers every `half_ms` ms.
fn swing(half_ms: u64) -> impl Fn(u64) -> Demand {
    move |now_ms| {
        if (now_ms / half_ms).is_multiple_of(2) {
            demand(2.0, 8.0)
        } else {
            demand(6.0, 4.0)
        }
    }
}

/// Adds the noise of a small fleet: the demand in a second differs from its mean by up to half.
fn noisy(script: impl Fn(u64) -> Demand + 'static) -> Script {
    Box::new(move |now_ms| {
        // Multiplicative hash of the time; the upper bits are uniform.
        let unit = |salt: u64| {
            let mixed = (now_ms / STEP_MS + salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            (mixed >> 40) as f64 / (1_u64 << 24) as f64
        };
        let mean = script(now_ms);
        demand(
            mean.prefill * (0.5 + unit(1)),
            mean.decode * (0.5 + unit(1_000)),
        )
    })
}

/// Guards against changes that cost more than they gain, and against a pool that does not follow a
/// lasting change of the mix.
#[test]
fn plan_changes() {
    let shift = |now_ms| {
        if now_ms < 100_000 {
            demand(2.5, 7.5)
        } else {
            demand(6.0, 4.0)
        }
    };
    let cases: [(&str, u64, Script, u32, u32); 8] = [
        (
            "steady and served",
            600,
            Box::new(|_| demand(2.5, 7.5)),
            0,
            0,
        ),
        (
            "swing of 6 s, below a change's 8 s",
            600,
            Box::new(swing(6_000)),
            0,
            0,
        ),
        ("swing of 12 s", 600, Box::new(swing(12_000)), 0, 0),
        ("swing of 5 min", 1_200, Box::new(swing(300_000)), 3, 30),
        ("one lasting shift", 900, Box::new(shift), 3, 5),
        ("lasting shift under noise", 900, noisy(shift), 3, 5),
        ("steady under noise", 600, noisy(|_| demand(2.5, 7.5)), 0, 0),
        ("swing of 12 s under noise", 600, noisy(swing(12_000)), 0, 0),
    ];
    for (name, seconds, demand, least, most) in cases {
        let mut engines = pool(3, 9, true);
        let (changes, unserved_s) = run(&mut engines, seconds, &demand);
        let (_, fixed_s) = run_fixed(seconds, &demand);
        println!("{name}: {changes} changes, {unserved_s:.0} unserved, fixed {fixed_s:.0}");
        assert!(
            (least..=most).contains(&changes),
            "{name}: {changes} changes"
        );
        assert!(
            unserved_s <= fixed_s,
            "{name}: {unserved_s} against {fixed_s} without changes"
        );
    }
}

fn run_fixed(seconds: u64, demand: impl Fn(u64) -> Demand) -> (u32, f64) {
    let engines = pool(3, 9, true);
    let serving = |role| engines.iter().filter(|e| e.role == role).count() as f64;
    let unserved_s = (0..seconds)
        .map(|second| demand(second * 1_000))
        .map(|wanted| {
            (wanted.prefill - serving(Role::Prefill)).max(0.0)
                + (wanted.decode - serving(Role::Decode)).max(0.0)
        })
        .sum();
    (0, unserved_s)
}

/// Guards against changes on stale reports, while another engine is unavailable, or on an engine
/// that may still receive a delayed order of a previous lease holder.
#[test]
fn plan_keeps() {
    let now_ms = 200_000;
    let lasting = |checks_fence| (pool(3, 9, checks_fence), demand(7.0, 3.0));
    let cases = [
        ("worth its cost", true, 0, 0, 0, None),
        (
            "stale reports",
            true,
            MAX_REPORT_AGE_MS + 1,
            0,
            0,
            Some(KeepReason::ReportsTooOld),
        ),
        (
            "engine unavailable",
            true,
            0,
            1,
            0,
            Some(KeepReason::EnginesAway),
        ),
        ("new holder, fencing", true, 0, 0, now_ms - 1, None),
        (
            "new holder, no fencing",
            false,
            0,
            0,
            now_ms - 1,
            Some(KeepReason::NoGain),
        ),
        (
            "old holder, no fencing",
            false,
            0,
            0,
            now_ms - UNFENCED_WAIT_MS,
            None,
        ),
    ];
    for (name, checks_fence, report_age_ms, unavailable, holder_since_ms, expected) in cases {
        let (mut engines, demand) = lasting(checks_fence);
        for engine in engines.iter_mut().take(unavailable) {
            engine.is_serving = false;
        }
        let mut estimate = DemandEstimate::new(0);
        for at_ms in (0..=now_ms - report_age_ms)
            .rev()
            .step_by(1_000)
            .collect::<Vec<_>>()
            .iter()
            .rev()
        {
            estimate.observe(demand, *at_ms);
        }
        let input = PlanInput {
            now_ms,
            holder_since_ms,
            change_ms: CHANGE_MS,
        };
        match (plan(&engines, &estimate, input), expected) {
            (Plan::Change(_), None) => {}
            (Plan::Keep(reason, _), Some(expected)) if reason == expected => {}
            (got, _) => panic!("{name}: {got:?}, expected {expected:?}"),
        }
    }
}

/// Guards against a baseline that is weaker than documented: it must change a role as soon as the
/// shares differ by more than 10 percentage points in either direction, and keep an engine for both
/// prefill and decode.
#[test]
fn plan_by_threshold_follows_share() {
    let cases = [
        ("within 10 points", 3, 9, demand(3.4, 6.6), None),
        ("more prefill", 3, 9, demand(3.6, 6.4), Some(Role::Prefill)),
        ("more decode", 3, 9, demand(1.4, 8.6), Some(Role::Decode)),
        ("last engine of decode", 3, 1, demand(10.0, 0.0), None),
        ("no demand", 3, 9, demand(0.0, 0.0), None),
    ];
    for (name, prefill, decode, demand, expected) in cases {
        let mut estimate = DemandEstimate::new(0);
        estimate.observe(demand, 0);
        let input = PlanInput {
            now_ms: 0,
            holder_since_ms: 0,
            change_ms: CHANGE_MS,
        };
        let to = match plan_by_threshold(&pool(prefill, decode, true), &estimate, input) {
            Plan::Change(candidate) => Some(candidate.to),
            Plan::Keep(..) => None,
        };
        assert_eq!(to, expected, "{name}");
    }
}
