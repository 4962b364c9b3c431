//! Metrics of this process.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters, shared by all threads.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Number of reads, lists and watches of the store.
    pub store_reads: Counter,
    /// Number of writes to the store.
    pub store_writes: Counter,
    /// Number of status reports requested from engines.
    pub engine_polls: Counter,
    /// Number of intents recorded in the store.
    pub intents: Counter,
    /// Number of role changes written to the catalogue.
    pub role_changes: Counter,
    /// Number of orders sent, including repeats.
    pub orders_sent: Counter,
    /// Number of orders refused by an engine.
    pub orders_refused: Counter,
    /// Number of intents closed after the engine reported the ordered state.
    pub orders_confirmed: Counter,
}

impl Metrics {
    /// Encodes all counters as `OpenMetrics` text.
    pub fn text(&self) -> String {
        let mut registry = Registry::with_prefix("yucca_control");
        let counters = [
            ("store_reads", "Reads, lists and watches", &self.store_reads),
            ("store_writes", "Writes", &self.store_writes),
            (
                "engine_polls",
                "Status reports asked for",
                &self.engine_polls,
            ),
            ("intents", "Intents recorded", &self.intents),
            ("role_changes", "Role changes ordered", &self.role_changes),
            ("orders_sent", "Orders sent", &self.orders_sent),
            ("orders_refused", "Orders refused", &self.orders_refused),
            ("orders_confirmed", "Intents closed", &self.orders_confirmed),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
