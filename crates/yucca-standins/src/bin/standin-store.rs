//! Stand-in for the platform's object API.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use lexopt::prelude::*;
use yucca_standins::command_line;
use yucca_standins::standin::spawn_standin;
use yucca_standins::store::{Config, Store};

const NAME: &str = "standin-store";
const HELP: &str = "\
Usage: standin-store --listen ADDR [options]

  --listen ADDR        address to listen on; port 0 picks a free one
  --writes-per-s N     accepted writes per second (400)
  --reads-per-s N      accepted reads per second; a watch counts as one (2000)
  --history N          recent changes kept for watches (10000)
  --load FILE.json     JSON object of keys and values to store at start
  --help, --version
";

fn main() -> ExitCode {
    command_line::run(NAME, start)
}

fn start() -> anyhow::Result<Option<SocketAddr>> {
    let mut config = Config::default();
    let mut listen: Option<SocketAddr> = None;
    let mut load: Option<PathBuf> = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("writes-per-s") => config.writes_per_s = parser.value()?.parse()?,
            Long("reads-per-s") => config.reads_per_s = parser.value()?.parse()?,
            Long("history") => config.history_changes = parser.value()?.parse()?,
            Long("load") => load = Some(parser.value()?.into()),
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
    let store = Store::new(config);
    if let Some(path) = load {
        let file = path.display();
        let text = fs::read_to_string(&path).with_context(|| format!("{file}"))?;
        store.load(&text).with_context(|| format!("{file}"))?;
    }
    Ok(Some(spawn_standin(listen, store)?))
}
