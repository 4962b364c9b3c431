//! Time limits and intervals of a host, adjustable so that tests need not wait for the production
//! values.

use std::time::Duration;

use yuccacove::cost::WRITE_INTERVAL_MS;

/// Time limits and intervals, all in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time limit for opening a connection to a backend.
    pub connect_ms: u64,
    /// Time beyond the first-token target that a backend has for the first byte of a response.
    pub header_slack_ms: u64,
    /// Longest time between two chunks of a response.
    pub chunk_ms: u64,
    /// Time limit for a status probe on a fresh connection, and for a cancel call.
    pub probe_ms: u64,
    /// Idle time after which a connection to a backend is closed.
    pub idle_connection_ms: u64,
    /// Interval of the engines' status polls.
    pub status_poll_ms: u64,
    /// How long the store holds a watch open.
    pub watch_ms: u64,
    /// Shortest time between two calls of one watch.
    pub watch_rearm_ms: u64,
    /// Pause before the store is called again after a failure.
    pub store_retry_ms: u64,
    /// Time over which hosts that start together spread their first listing.
    pub start_spread_ms: u64,
    /// How long new work is accepted without a response from the store or a peer.
    pub isolation_ms: u64,
    /// Interval of the exchanges with peers.
    pub exchange_ms: u64,
    /// Interval of the writes of usage totals.
    pub usage_write_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect_ms: 1_000,
            header_slack_ms: 2_000,
            chunk_ms: 5_000,
            probe_ms: 1_000,
            idle_connection_ms: 30_000,
            status_poll_ms: 500,
            watch_ms: 20_000,
            watch_rearm_ms: 500,
            store_retry_ms: 500,
            start_spread_ms: 2_000,
            isolation_ms: 3_000,
            exchange_ms: 500,
            usage_write_ms: WRITE_INTERVAL_MS,
        }
    }
}

impl Timing {
    /// Time limit for the first byte of a response with the given target.
    pub fn first_byte(&self, first_token_ms: u64) -> Duration {
        Duration::from_millis(first_token_ms + self.header_slack_ms)
    }
}
