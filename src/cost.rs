//! Usage accounting: charges the fleet's time to catalogue entries.
//!
//! Each entry host sums up the engine-seconds of each entry in the current hour and writes the
//! cumulative totals, so that a repeated write has no effect. A [`Statement`] then distributes the
//! total time of each pool over the entries that used it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Interval at which an entry host writes its totals. A crash loses at most the usage of one
/// interval.
pub const WRITE_INTERVAL_MS: u64 = 30_000;
/// Length of the accounting period of a [`UsageLedger`].
pub const HOUR_MS: u64 = 3_600_000;

/// Busy time of an entry on the backends of a pool.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BusyTime {
    /// Engine-seconds of prefill; server-seconds for plain services.
    pub prefill_s: f64,
    /// Engine-seconds of decode.
    pub decode_s: f64,
}

impl BusyTime {
    /// Sum of prefill and decode time.
    pub fn total_s(self) -> f64 {
        self.prefill_s + self.decode_s
    }
}

/// Cumulative busy time recorded by one incarnation of an entry host in one hour. It is the value
/// of the object `usage/<hour>/<host>-<incarnation>`.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Busy time by pool and entry.
    pub pools: IndexMap<String, IndexMap<String, BusyTime>>,
}

/// Running totals of an entry host, by hour.
#[derive(Debug)]
pub struct UsageLedger {
    hour: u64,
    usage: Usage,
    /// Totals of completed hours that have not been written.
    closed: Vec<DueUsage>,
    /// Number of charges so far, over all hours. A change means that totals are to be written.
    charges: u64,
    /// Value of `charges` in the totals that were last written.
    written_charges: u64,
    written_ms: u64,
    write_interval_ms: u64,
}

/// Totals of one hour that are to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct DueUsage {
    /// Hours since the Unix epoch.
    pub hour: u64,
    /// Cumulative totals of the hour.
    pub usage: Usage,
    /// Number of charges that the totals contain, as counted by the ledger.
    charges: u64,
}

impl UsageLedger {
    /// Starts with empty totals. `wall_ms` is the time in milliseconds since the Unix epoch.
    pub fn open(wall_ms: u64) -> Self {
        Self {
            hour: wall_ms / HOUR_MS,
            usage: Usage::default(),
            closed: Vec::new(),
            charges: 0,
            written_charges: 0,
            written_ms: wall_ms,
            write_interval_ms: WRITE_INTERVAL_MS,
        }
    }

    /// Makes changed totals due at once, for a caller that controls the write interval itself.
    #[must_use]
    pub fn without_interval(mut self) -> Self {
        self.write_interval_ms = 0;
        self
    }

    /// Adds the busy time of a request, or of the part that it has run since the last charge.
    pub fn charge(&mut self, pool: &str, entry: &str, busy: BusyTime, wall_ms: u64) {
        self.advance_hour(wall_ms);
        let entries = self.usage.pools.entry(pool.to_owned()).or_default();
        let total = entries.entry(entry.to_owned()).or_default();
        total.prefill_s += busy.prefill_s;
        total.decode_s += busy.decode_s;
        self.charges += 1;
    }

    /// Returns totals that are due to be written, completed hours first. They stay due until
    /// [`UsageLedger::written`] confirms the write.
    pub fn due(&mut self, wall_ms: u64) -> Option<DueUsage> {
        self.advance_hour(wall_ms);
        if let Some(closed) = self.closed.first() {
            return Some(closed.clone());
        }
        let waited_ms = wall_ms.saturating_sub(self.written_ms);
        (self.is_changed() && waited_ms >= self.write_interval_ms).then(|| self.current())
    }

    /// Totals of the current hour, which are to be written before a planned stop.
    pub fn current(&self) -> DueUsage {
        DueUsage {
            hour: self.hour,
            usage: self.usage.clone(),
            charges: self.charges,
        }
    }

    /// Confirms that `due` was written. Charges added during the write stay due.
    pub fn written(&mut self, due: &DueUsage, wall_ms: u64) {
        // The hour may have ended during the write, with charges that `due` does not contain.
        self.closed
            .retain(|closed| closed.hour != due.hour || closed.charges != due.charges);
        if due.hour == self.hour {
            self.written_charges = due.charges;
            self.written_ms = wall_ms;
        }
    }

    fn is_changed(&self) -> bool {
        self.charges != self.written_charges
    }

    fn advance_hour(&mut self, wall_ms: u64) {
        let hour = wall_ms / HOUR_MS;
        // If the wall clock steps back, an hour whose totals were written must not be reopened.
        if hour <= self.hour {
            return;
        }
        if self.is_changed() {
            self.closed.push(self.current());
        }
        self.usage = Usage::default();
        self.hour = hour;
        self.written_charges = self.charges;
    }
}

/// Total time of a pool in one hour.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolTime {
    /// Service name.
    pub pool: String,
    /// Sum over all backends of the seconds that each was in the fleet, including role changes and
    /// idle time.
    pub fleet_s: f64,
    /// Part of `fleet_s` that was spent on role changes and model loads.
    pub changing_s: f64,
}

/// One row of a [`Statement`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Charge {
    /// Service name.
    pub pool: String,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Measured busy time.
    pub busy_s: f64,
    /// Share of the pool's time for role changes and model loads.
    pub changing_s: f64,
    /// Share of the pool's idle time. It is negative if the busy time of batched requests adds up
    /// to more than the pool's time, because engine-seconds are estimated for each request.
    pub idle_s: f64,
}

impl Charge {
    /// Total charge of the entry.
    pub fn total_s(&self) -> f64 {
        self.busy_s + self.changing_s + self.idle_s
    }
}

/// Charges of one hour. For each pool they add up to the pool's total time.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// One charge for each pool and entry.
    pub charges: Vec<Charge>,
}

impl Statement {
    /// Distributes the time of `pools` over the entries. `usages` are the values of all
    /// `usage/<hour>/` objects. `entries` returns the entries of a pool; they share its time
    /// equally if none of them used it.
    pub fn new<'a>(
        pools: &[PoolTime],
        usages: &[Usage],
        entries: impl Fn(&str) -> Vec<&'a str>,
    ) -> Self {
        let mut charges = Vec::new();
        for pool in pools {
            charges.extend(split_pool_time(
                pool,
                &sum_busy_s(&pool.pool, usages),
                &entries(&pool.pool),
            ));
        }
        Self { charges }
    }
}

fn sum_busy_s(pool: &str, usages: &[Usage]) -> IndexMap<String, f64> {
    let mut busy = IndexMap::new();
    for entries in usages.iter().filter_map(|usage| usage.pools.get(pool)) {
        for (entry, time) in entries {
            *busy.entry(entry.clone()).or_insert(0.0) += time.total_s();
        }
    }
    busy
}

fn split_pool_time(pool: &PoolTime, busy: &IndexMap<String, f64>, entries: &[&str]) -> Vec<Charge> {
    let busy_s: f64 = busy.values().sum();
    let idle_s = pool.fleet_s - pool.changing_s - busy_s;
    let charge = |entry: &str, own_s: f64, share: f64| Charge {
        pool: pool.pool.clone(),
        entry: entry.to_owned(),
        busy_s: own_s,
        changing_s: pool.changing_s * share,
        idle_s: idle_s * share,
    };
    if busy_s > 0.0 {
        busy.iter()
            .map(|(entry, own_s)| charge(entry, *own_s, own_s / busy_s))
            .collect()
    } else {
        let share = 1.0 / entries.len().max(1) as f64;
        entries
            .iter()
            .map(|entry| charge(entry, 0.0, share))
            .collect()
    }
}
