//! Entry host of yuccacove: accepts callers' requests, looks up their catalogue entries and
//! dispatches them to model engines and plain services.
//!
//! ```no_run
//! use yucca_entry::daemon::Daemon;
//! use yucca_entry::timing::Timing;
//! use yucca_io::settings::Settings;
//! use yucca_io::stop::StopFlag;
//!
//! # async fn start() -> anyhow::Result<()> {
//! let settings = Settings::open("fleet.ini".as_ref())?;
//! let daemon = Daemon::spawn(&settings, "entry-1", Timing::default(), StopFlag::register()?).await?;
//! daemon.run().await;
//! # Ok(())
//! # }
//! ```

pub mod admission;
pub mod backend_fault;
pub mod backends;
pub mod caller_response;
pub mod callers;
pub mod catalogue_watch;
pub mod chat;
pub mod chat_execution;
pub mod chat_fault;
pub mod chat_memory;
pub mod chat_request;
pub mod chat_response;
pub mod choose;
pub mod claim_store;
pub mod connectivity;
pub mod daemon;
pub mod decisions;
pub mod demand;
pub mod dispatch;
pub mod engine_stream;
pub mod fleet;
pub mod fleet_state;
pub mod head_memory;
pub mod host;
pub mod join;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod peer_calls;
pub mod peers;
pub mod plain;
pub mod probe;
pub mod problem;
pub mod quota;
pub mod quota_owner;
pub mod reads;
pub mod request;
pub mod request_end;
pub mod shared_catalogue;
pub mod sse;
pub mod status_poll;
pub mod suspect_tracker;
pub mod timing;
pub mod usage;
pub mod wire;
