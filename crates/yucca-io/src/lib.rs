//! Input and output shared by yuccacove's processes: settings and catalogue files, clocks, logging,
//! HTTP connections, the object store client and the operators' port.
//!
//! ```
//! use yucca_io::settings::Settings;
//!
//! let settings = Settings::parse("fleet.ini", "
//! [fleet]
//! customer = hallgren
//! region = nordvik
//! [store]
//! address = 127.0.0.1:18900
//! [host entry-1]
//! zone = nordvik-a
//! callers = 127.0.0.1:18001
//! operators = 127.0.0.1:18101
//! peers = 127.0.0.1:18201
//! control = 127.0.0.1:18301
//! ").expect("complete settings");
//! assert_eq!(settings.host("entry-1").expect("listed host").zone, "nordvik-a");
//! ```

pub mod body_buffer;
pub mod caller_body;
pub mod caller_connections;
pub mod caller_stream;
pub mod catalogue_file;
pub mod cli;
pub mod clock;
pub mod connections;
pub mod http_client;
pub mod ini_file;
pub mod limited_reads;
pub mod log;
pub mod memory;
pub mod operators;
pub mod resident_memory;
pub mod segment;
pub mod segmented_body;
pub mod settings;
pub mod stop;
pub mod store;
pub mod tunnel;
pub mod uri;
pub mod writer;
