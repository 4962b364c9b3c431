//! Command-line tool for operators: edits the catalogue with conditional writes and shows the state
//! of the fleet.
//!
//! ```no_run
//! use std::path::Path;
//!
//! use yucca_io::settings::Settings;
//! use yuccactl::apply::apply;
//! use yuccactl::session::Session;
//!
//! let settings = Settings::open(Path::new("fleet.ini"))?;
//! let session = Session::open(settings);
//! apply(&session, Path::new("catalogue.ini"))?;
//! # Ok::<(), yuccacove::error::Error>(())
//! ```

/// Prints a line to standard output. Errors are ignored: a closed pipe must not end a command
/// between two writes to the store.
macro_rules! print_line {
    ($($argument:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($argument)*);
    }};
}

pub mod apply;
pub mod backend;
pub mod command;
pub mod costs;
pub mod explain;
pub mod session;
pub mod view;
