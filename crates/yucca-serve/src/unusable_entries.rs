//! Tells operators of entries in the store that name no backend, in a bounded number of log lines.

use yucca_io::log;
use yucca_io::log::field;
use yuccacove::event::Event;

use crate::metrics::Metrics;
use crate::ports::Object;

/// Maximum number of entries that are logged for each response of the store.
const MAX_LOGGED: usize = 8;

/// Counts the entries of a response of the store that name no backend, and logs the first of them.
/// `unreadable` is the number of objects whose names or revisions cannot be read.
pub fn report(metrics: &Metrics, entries: &[&Object], unreadable: usize) {
    let count = entries.len() + unreadable;
    if count == 0 {
        return;
    }
    metrics.unusable_entries.inc_by(count as u64);
    for entry in entries.iter().take(MAX_LOGGED) {
        let fields = format!("name={} revision={}", field(&entry.name), entry.revision);
        log::write(Event::CatalogueInvalid, &fields);
    }
    let others = entries.len().saturating_sub(MAX_LOGGED);
    if others + unreadable > 0 {
        let fields = format!("others={others} unreadable={unreadable}");
        log::write(Event::CatalogueInvalid, &fields);
    }
}
