//! Stand-in for a backend server of a plain service.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use lexopt::prelude::*;
use yucca_standins::command_line;
use yucca_standins::service::Service;
use yucca_standins::standin::spawn_standin;

const NAME: &str = "standin-service";
const HELP: &str = "\
Usage: standin-service --listen ADDR --name N [options]

  --listen ADDR        address to listen on; port 0 picks a free one
  --name N             server name in the responses
  --delay-ms N         delay before each response (5)
  --help, --version
";
const DEFAULT_DELAY_MS: u64 = 5;

fn main() -> ExitCode {
    command_line::run(NAME, start)
}

fn start() -> anyhow::Result<Option<SocketAddr>> {
    let mut listen: Option<SocketAddr> = None;
    let mut name: Option<String> = None;
    let mut delay_ms = DEFAULT_DELAY_MS;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("name") => name = Some(parser.value()?.parse()?),
            Long("delay-ms") => delay_ms = parser.value()?.parse()?,
            Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") => {
                command_line::print_version(NAME);
                return Ok(None);
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let listen = listen.context("--listen ADDR is missing")?;
    let name = name.context("--name N is missing")?;
    let service = Service::new(&name, Duration::from_millis(delay_ms));
    Ok(Some(spawn_standin(listen, service)?))
}
