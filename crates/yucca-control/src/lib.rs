//! Control of a fleet: hosts hold leases on pools of engines, and the holder of a pool's lease
//! sends orders that bring each engine to the model and version of its service and to its role.
//!
//! ```no_run
//! use yucca_control::daemon::{Config, Daemon};
//! use yucca_io::settings::Settings;
//!
//! let settings = Settings::open(std::path::Path::new("fleet.ini"))?;
//! let config = Config::new(&settings, "entry-1");
//! let daemon = Daemon::spawn(config)?;
//! daemon.stop();
//! # Ok::<(), anyhow::Error>(())
//! ```

pub mod daemon;
mod engine_monitor;
mod fleet_view;
mod lease_loop;
mod metrics;
mod order_loop;
mod role_planner;
mod store_watch;
