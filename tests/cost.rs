//! Usage accounting: charges add up to the fleet's time, and no charge is lost at an hour's end or
//! during a write.

use yuccacove::cost::{
    BusyTime, Charge, HOUR_MS, PoolTime, Statement, Usage, UsageLedger, WRITE_INTERVAL_MS,
};

const START_MS: u64 = 1_000 * HOUR_MS;

fn busy(prefill_s: f64, decode_s: f64) -> BusyTime {
    BusyTime {
        prefill_s,
        decode_s,
    }
}

fn pool(fleet_s: f64, changing_s: f64) -> PoolTime {
    PoolTime {
        pool: "truss-advisor".to_owned(),
        fleet_s,
        changing_s,
    }
}

fn usage(entries: &[(&str, f64)]) -> Usage {
    let mut ledger = UsageLedger::open(START_MS);
    for (entry, seconds) in entries {
        ledger.charge("truss-advisor", entry, busy(*seconds, 0.0), START_MS);
    }
    ledger.current().usage
}

/// Guards against idle time or role changes that are charged to no entry or twice.
#[test]
fn statement_adds_up() {
    let cases = [
        (
            "idle time by usage",
            pool(43_200.0, 60.0),
            vec![usage(&[
                ("quote-questions", 300.0),
                ("drawing-reviews", 100.0),
            ])],
        ),
        (
            "two hosts",
            pool(43_200.0, 0.0),
            vec![
                usage(&[("quote-questions", 5.0)]),
                usage(&[("quote-questions", 7.0), ("drawing-reviews", 1.0)]),
            ],
        ),
        ("nothing ran", pool(43_200.0, 12.0), vec![]),
        (
            "busy time exceeds the fleet's time",
            pool(100.0, 0.0),
            vec![usage(&[("quote-questions", 150.0)])],
        ),
    ];
    for (name, pool, usages) in cases {
        let fleet_s = pool.fleet_s;
        let entries = |_: &str| vec!["quote-questions", "drawing-reviews"];
        let statement = Statement::new(&[pool], &usages, entries);
        let total_s: f64 = statement.charges.iter().map(Charge::total_s).sum();
        assert!(
            (total_s - fleet_s).abs() < 1e-6,
            "{name}: {total_s} of {fleet_s}"
        );
        assert!(!statement.charges.is_empty(), "{name}");
    }
}

/// Guards against an entry that is charged for the usage of another.
#[test]
fn statement_charges_by_usage() {
    let usages = [usage(&[
        ("quote-questions", 300.0),
        ("drawing-reviews", 100.0),
    ])];
    let statement = Statement::new(&[pool(800.0, 40.0)], &usages, |_| Vec::new());
    let totals: Vec<f64> = statement.charges.iter().map(Charge::total_s).collect();
    assert_eq!(totals, [600.0, 200.0]);
}

/// Guards against totals that are lost when an hour ends, or that are written again without a
/// change.
#[test]
fn ledger_due() {
    let mut ledger = UsageLedger::open(START_MS);
    let hour = START_MS / HOUR_MS;
    assert!(
        ledger.due(START_MS + WRITE_INTERVAL_MS).is_none(),
        "nothing to write"
    );
    ledger.charge("truss-advisor", "quote-questions", busy(1.0, 2.0), START_MS);
    assert!(
        ledger.due(START_MS + WRITE_INTERVAL_MS - 1).is_none(),
        "too early"
    );
    let first = ledger.due(START_MS + WRITE_INTERVAL_MS).expect("due");
    // The write was not confirmed, so the same totals are due again.
    let again = ledger
        .due(START_MS + WRITE_INTERVAL_MS + 1)
        .expect("still due");
    assert_eq!(first, again);
    // A charge added during the write is still due after it.
    ledger.charge(
        "truss-advisor",
        "quote-questions",
        busy(1.0, 0.0),
        START_MS + 40_000,
    );
    ledger.written(&first, START_MS + 40_000);
    let closed = ledger
        .due(START_MS + HOUR_MS)
        .expect("completed hour is due");
    assert_eq!(closed.hour, hour);
    assert_eq!(
        closed.usage.pools["truss-advisor"]["quote-questions"],
        busy(2.0, 2.0)
    );
    ledger.written(&closed, START_MS + HOUR_MS);
    assert!(
        ledger.due(START_MS + HOUR_MS).is_none(),
        "written totals are not due again"
    );
}

/// Guards against a charge that is lost when its hour ends during a write of earlier totals.
#[test]
fn ledger_hour_ends_during_write() {
    let mut ledger = UsageLedger::open(START_MS).without_interval();
    let charge = |ledger: &mut UsageLedger, wall_ms| {
        ledger.charge("truss-advisor", "quote-questions", busy(1.0, 0.0), wall_ms);
    };
    charge(&mut ledger, START_MS);
    let first = ledger.due(START_MS).expect("due");
    charge(&mut ledger, START_MS + 1);
    charge(&mut ledger, START_MS + HOUR_MS);
    ledger.written(&first, START_MS + HOUR_MS);
    for (hour, seconds) in [(first.hour, 2.0), (first.hour + 1, 1.0)] {
        let due = ledger.due(START_MS + HOUR_MS).expect("due");
        let time = due.usage.pools["truss-advisor"]["quote-questions"];
        assert_eq!((due.hour, time.total_s()), (hour, seconds));
        ledger.written(&due, START_MS + HOUR_MS);
    }
    assert_eq!(ledger.due(START_MS + HOUR_MS), None);
}

/// Guards against an hour that is reopened after its totals were written because the wall clock
/// stepped back.
#[test]
fn ledger_clock_steps_back() {
    let mut ledger = UsageLedger::open(START_MS);
    ledger.charge(
        "truss-advisor",
        "quote-questions",
        busy(1.0, 0.0),
        START_MS - 10,
    );
    assert_eq!(ledger.current().hour, START_MS / HOUR_MS);
}
