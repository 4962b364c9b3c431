//! The daemon `yucca-entry`.

use std::process::ExitCode;

use anyhow::Result;
use yucca_entry::daemon::Daemon;
use yucca_entry::timing::Timing;
use yucca_io::cli::{self, Program, StartOptions};
use yucca_io::log;
use yucca_io::stop::StopFlag;

const PROGRAM: Program = Program {
    name: "yucca-entry",
    about: "accepts callers' requests and runs them on engines and plain services",
};

fn main() -> ExitCode {
    let start = match cli::read_start_options(PROGRAM) {
        Ok(start) => start,
        Err(code) => return code,
    };
    match run(&start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e:#}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

fn run(start: &StartOptions) -> Result<()> {
    let _log = log::open(&start.log_level)?;
    let stop = StopFlag::register()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let daemon =
            Daemon::spawn(&start.settings, &start.host_name, Timing::default(), stop).await?;
        daemon.run().await;
        Ok(())
    })
}
