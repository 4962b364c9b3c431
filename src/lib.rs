//! Coordination logic for a request router in front of a fixed fleet of model engines and plain
//! HTTP services.
//!
//! The library does no I/O: callers pass in state, events and the current time, and it returns
//! decisions. Nothing here opens a socket, reads a clock or starts a thread.
//!
//! ```
//! use yuccacove::catalogue::{Applied, Catalogue, Object};
//!
//! let mut catalogue = Catalogue::default();
//! let value = serde_json::json!({ "organisation": "Hallgren" });
//! let owner = Object::parse("owner/foremen", &value)?;
//! assert_eq!(catalogue.apply("owner/foremen", 7, owner.clone()), Applied::Newer);
//! // A stale read never replaces an object by an older version.
//! assert_eq!(catalogue.apply("owner/foremen", 5, owner), Applied::Stale);
//! # Ok::<(), yuccacove::error::Error>(())
//! ```

pub mod admission;
pub mod attempt_limit;
pub mod catalogue;
pub mod claim;
pub mod code;
pub mod connection_budget;
pub mod continuity;
pub mod cost;
pub mod crash_cause;
pub mod engine_demand;
pub mod engine_scaling;
pub mod engine_speed;
pub mod error;
pub mod event;
pub mod explanation;
pub mod fair_shares;
pub mod fleet_clock;
pub mod fleet_rate;
pub mod forecast;
pub mod gossip;
pub mod health;
pub mod hold_queue;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod memory_budget;
pub mod order;
pub mod output_length;
pub mod overload;
pub mod passive_health;
pub mod phase_split;
pub mod placement;
pub mod plain_load;
pub mod prefix;
pub mod prompt_placement;
pub mod rank;
pub mod reachability;
pub mod recency;
pub mod response_check;
pub mod retry;
pub mod roles;
pub mod routing;
pub mod rules;
pub mod scale_orders;
pub mod shutdown;
mod signed_time;
pub mod slot_limit;
mod splitmix;
pub mod store;
pub mod stream_lifetime;
pub mod stream_version;
pub mod subset;
pub mod suspect;
pub mod transit_delay;
pub mod usage_copies;
pub mod usage_window;
pub mod watch_relay;
