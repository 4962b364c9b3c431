//! Stand-ins for the platform: the object API, model engines and plain services.
//!
//! Each stand-in serves, over HTTP, the published protocol of the service that it replaces, and
//! accepts commands that inject faults. The functions that generate an engine's answer are public,
//! so that a client can verify it:
//!
//! ```
//! use yucca_standins::answer;
//!
//! let text = answer::text("truss-advisor", "v1", "how wide may the span be", 0..3);
//! assert_eq!(text.split(' ').count(), 3);
//! assert!(text.starts_with(&answer::token("truss-advisor", "v1", "how wide may the span be", 0)));
//! ```

pub mod answer;
mod batch;
pub mod call;
pub mod command_line;
pub mod engine;
pub mod engine_config;
pub mod fault;
mod pending_response;
pub mod prefix_cache;
pub mod proxy;
pub mod service;
pub mod standin;
pub mod store;
