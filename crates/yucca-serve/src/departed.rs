//! Backends whose records were removed: what is needed to recognise a stale message about them.

use indexmap::IndexMap;

use crate::revision::era_of;

/// Maximum number of backends that are remembered. With 10,000 spot engines a day these are the last
/// eight hours at least; lists and messages are newer.
const MAX_DEPARTED: usize = 4_096;

/// What an entry of a backend without a record means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The backend is new, has restarted or has registered again.
    New,
    /// The entry is older than the removal of the record, or of an earlier incarnation.
    Stale,
    /// The entry is in the copy from which the store was restored.
    Copied,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Revision at which the entry was removed.
    revision: u64,
    started_ms: u64,
}

/// Backends that have left, by the hash of the id.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    by_hash: IndexMap<u64, Departure>,
}

impl Departed {
    /// Remembers a backend whose entry was removed at `revision`.
    pub(crate) fn record(&mut self, id_hash: u64, revision: u64, started_ms: u64) {
        if self.by_hash.len() >= MAX_DEPARTED {
            // Removes an eighth at once, because each removal shifts the remaining entries.
            self.by_hash.drain(..MAX_DEPARTED / 8);
        }
        let departure = Departure {
            revision,
            started_ms,
        };
        self.by_hash.shift_remove(&id_hash);
        self.by_hash.insert(id_hash, departure);
    }

    /// Returns what an entry of a backend without a record means. The backend is forgotten here if it
    /// gets a record again.
    pub(crate) fn arrive(&mut self, id_hash: u64, revision: u64, started_ms: u64) -> Arrival {
        let Some(departure) = self.by_hash.get(&id_hash).copied() else {
            return Arrival::New;
        };
        if revision <= departure.revision || started_ms < departure.started_ms {
            return Arrival::Stale;
        }
        self.by_hash.shift_remove(&id_hash);
        let is_later_era = era_of(revision) > era_of(departure.revision);
        if is_later_era && started_ms == departure.started_ms {
            Arrival::Copied
        } else {
            Arrival::New
        }
    }
}
