//! The `costs` command: the cost statement for one hour.

use indexmap::IndexMap;
use serde::Deserialize;
use yucca_io::clock::wall_ms;
use yuccacove::catalogue::{Admin, Catalogue, Object};
use yuccacove::code::Code;
use yuccacove::cost::{Charge, HOUR_MS, PoolTime, Statement, Usage};
use yuccacove::error::{Error, Result};

use crate::session::Session;
use crate::view::{print_table, row};

const COLUMNS: [&str; 7] = [
    "pool",
    "entry",
    "owner",
    "busy_s",
    "changing_s",
    "idle_s",
    "total_s",
];

/// Value of the entry and owner columns for a pool without entries.
const NO_ENTRY: &str = "-";

/// Prints the cost of each catalogue entry for `hour` (hours since the Unix epoch; `None` for the
/// current hour so far), and their sum unless `csv` is set. The time of a pool counts all backends
/// that are not withdrawn now, as if they had been in the fleet for the whole period.
///
/// # Errors
///
/// [`Code::BadUsage`] for an hour in the future; [`Code::StoreUnavailable`];
/// [`Code::CatalogueRule`] if a stored object does not have the expected fields.
pub fn costs(session: &Session, hour: Option<u64>, csv: bool) -> Result<()> {
    let now_ms = wall_ms();
    let hour = hour.unwrap_or(now_ms / HOUR_MS);
    let elapsed_ms = now_ms.checked_sub(hour.saturating_mul(HOUR_MS));
    let elapsed_ms = elapsed_ms.ok_or_else(|| {
        let detail = format!(
            "hour {hour} has not started; the current hour is {}",
            now_ms / HOUR_MS
        );
        Error::new(Code::BadUsage, detail)
    })?;
    let seconds = elapsed_ms.min(HOUR_MS) as f64 / 1_000.0;
    let mut usages = Vec::new();
    for stored in session.list(&format!("usage/{hour}/"))? {
        let usage = Usage::deserialize(&stored.value)
            .map_err(|e| Error::new(Code::CatalogueRule, format!("{}: {e}", stored.key)))?;
        usages.push(usage);
    }
    let catalogue = session.read_catalogue()?.catalogue;
    let entries = entries_by_pool(&catalogue);
    let statement = Statement::new(&pool_times(&catalogue, seconds), &usages, |pool| {
        // The sum includes the time of pools without entries.
        entries.get(pool).cloned().unwrap_or_else(|| vec![NO_ENTRY])
    });
    print_statement(&statement, &catalogue, csv);
    Ok(())
}

fn pool_times(catalogue: &Catalogue, seconds: f64) -> Vec<PoolTime> {
    let mut backend_counts: IndexMap<&str, f64> = IndexMap::new();
    for (key, _, object) in catalogue.iter() {
        let (pool, count) = match object {
            Some(Object::Service(_)) => (key.strip_prefix("service/").unwrap_or(key), 0.0),
            Some(Object::Engine(e)) if e.admin != Admin::Withdrawn => (e.service.as_str(), 1.0),
            Some(Object::Server(s)) if s.admin != Admin::Withdrawn => (s.service.as_str(), 1.0),
            _ => continue,
        };
        *backend_counts.entry(pool).or_default() += count;
    }
    let pools = backend_counts.into_iter().map(|(pool, count)| PoolTime {
        pool: pool.to_owned(),
        fleet_s: count * seconds,
        // The store does not record how long orders took; that time counts as idle.
        changing_s: 0.0,
    });
    pools.collect()
}

fn entries_by_pool(catalogue: &Catalogue) -> IndexMap<&str, Vec<&str>> {
    let mut entries: IndexMap<&str, Vec<&str>> = IndexMap::new();
    for (key, _, object) in catalogue.iter() {
        if let Some(Object::Entry(entry)) = object
            && let Some(name) = key.strip_prefix("entry/")
        {
            entries.entry(&entry.service).or_default().push(name);
        }
    }
    entries
}

fn print_statement(statement: &Statement, catalogue: &Catalogue, csv: bool) {
    let mut rows = vec![row(COLUMNS)];
    rows.extend(statement.charges.iter().map(|charge| {
        let owner = catalogue
            .entry(&charge.entry)
            .map_or(NO_ENTRY, |e| &e.owner);
        charge_row(charge, owner)
    }));
    if csv {
        // Names contain no commas or quotes, so no cell needs quoting.
        for cells in rows {
            print_line!("{}", cells.join(","));
        }
        return;
    }
    let sum: f64 = statement.charges.iter().map(Charge::total_s).sum();
    rows.push(row(["sum", "", "", "", "", "", &format_seconds(sum)]));
    print_table(&rows);
}

fn charge_row(charge: &Charge, owner: &str) -> Vec<String> {
    row([
        &charge.pool,
        &charge.entry,
        owner,
        &format_seconds(charge.busy_s),
        &format_seconds(charge.changing_s),
        &format_seconds(charge.idle_s),
        &format_seconds(charge.total_s()),
    ])
}

fn format_seconds(value: f64) -> String {
    format!("{value:.3}")
}
