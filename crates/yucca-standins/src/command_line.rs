//! Command-line handling common to the stand-ins.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

/// Runs a stand-in. `start` parses the command line and returns the bound address, or `None` if the
/// process has nothing more to do. An error is printed as one line on stderr, with exit code 2.
pub fn run(name: &str, start: impl FnOnce() -> anyhow::Result<Option<SocketAddr>>) -> ExitCode {
    match start() {
        Ok(None) => ExitCode::SUCCESS,
        Ok(Some(address)) => {
            println!("{name} listening on {address}");
            // The parent process may be waiting for this line through a pipe.
            let _ = io::stdout().flush();
            loop {
                thread::park();
            }
        }
        Err(error) => {
            eprintln!("{name}: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Prints `name` and the version of this crate.
pub fn print_version(name: &str) {
    println!("{name} {}", env!("CARGO_PKG_VERSION"));
}
