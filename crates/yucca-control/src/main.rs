//! The `yucca-control` daemon; see `yucca-control --help` for its options.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use yucca_control::daemon::{Config, Daemon};
use yucca_io::cli::{Program, StartOptions, read_start_options};
use yucca_io::operators::OperatorsPort;
use yucca_io::stop::StopFlag;
use yuccacove::event::Event;

const PROGRAM: Program = Program {
    name: "yucca-control",
    about: "leases on pools, and orders that bring engines to their model, version and role",
};
/// Interval at which the stop flag is checked.
const STOP_POLL_MS: u64 = 50;

fn main() -> ExitCode {
    let options = match read_start_options(PROGRAM) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-control: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &StartOptions) -> Result<()> {
    let _log = yucca_io::log::open(&options.log_level)?;
    let stop = StopFlag::register()?;
    let daemon = Daemon::spawn(Config::new(&options.settings, &options.host_name))?;
    let port = OperatorsPort::bind(options.host.control, daemon.operators_handler(stop.clone()))?;
    let fields = format!(
        "host={} control={}",
        options.host_name, options.host.control
    );
    yucca_io::log::write(Event::Started, &fields);
    while !stop.is_requested() {
        thread::sleep(Duration::from_millis(STOP_POLL_MS));
    }
    yucca_io::log::write(Event::StopRequested, &fields);
    daemon.stop();
    drop(port);
    yucca_io::log::write(Event::Stopped, &fields);
    Ok(())
}
