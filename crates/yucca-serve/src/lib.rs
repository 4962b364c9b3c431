//! Request serving of an entry host: routing, admission, retries, streaming, backend discovery and
//! configuration updates.
//!
//! The crate is independent of any wire format. A program implements two traits,
//! [`ObjectStore`](ports::ObjectStore) and [`Backends`](ports::Backends), and passes each request
//! to [`serve`](serve::serve).
//!
//! ```
//! use yucca_serve::config::{Route, RouteKind, ServingConfig};
//!
//! let route = |prefix: &str| Route {
//!     host: "desk.example".to_owned(),
//!     path_prefix: prefix.to_owned(),
//!     kind: RouteKind::AtMostOnce,
//!     ..Route::default()
//! };
//! let config = ServingConfig {
//!     routes: vec![route("/orders/"), route("/orders/status/")],
//!     ..ServingConfig::default()
//! };
//! let found = config.route("desk.example", "/orders/status/7").expect("a route");
//! assert_eq!(found.path_prefix, "/orders/status/");
//! ```

mod authentication;
mod backend_arena;
pub mod boot_clock;
pub mod choose;
pub mod config;
pub mod crashes;
pub mod demand;
mod departed;
pub mod directory;
mod engine_reports;
pub mod events;
pub mod explain;
pub mod follow;
pub mod hash;
pub mod held;
pub mod host;
pub mod listing;
pub mod loads;
pub mod metrics;
pub mod named_limits;
pub mod organisations;
pub mod peers;
pub mod plain;
pub mod plain_admission;
pub mod ports;
mod prefill;
pub mod proxies;
pub mod recency;
pub mod relay;
mod relay_batch;
pub mod relay_parts;
pub mod reply;
pub mod request;
pub mod revision;
pub mod roles;
pub mod scaling;
pub mod serve;
pub mod store_calls;
pub mod stream;
pub mod stream_journal;
pub mod stream_versions;
mod unusable_entries;
pub mod usage;
pub mod version_record;

pub use yucca_io::caller_connections as connections;
pub use yucca_io::{body_buffer, caller_body, memory, segment};
