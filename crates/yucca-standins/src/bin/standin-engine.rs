//! Stand-in for a model engine.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::{Context, bail, ensure};
use lexopt::prelude::*;
use yucca_standins::command_line;
use yucca_standins::engine::Engine;
use yucca_standins::engine_config::EngineConfig;
use yucca_standins::standin::spawn_standin;
use yuccacove::catalogue::{EngineSpec, Role};

const NAME: &str = "standin-engine";
const HELP: &str = "\
Usage: standin-engine --listen ADDR --name N --model M --version V [options]

  --listen ADDR              address to listen on; port 0 picks a free one
  --name N                   engine name in the status report
  --model M, --version V     model and version at start
  --role R                   mixed, prefill or decode (mixed)
  --checks-fence yes|no      refuse orders with an old fencing number (yes)
  --prefill-tokens-per-s N   prefill rate while no request decodes (8000)
  --decode-tokens-per-s N    total decode rate of a full batch (700)
  --max-batch N              maximum number of requests in the batch (32)
  --cache-tokens N           capacity of the prefix cache (100000)
  --report-lag-ms N          age of the reported load (200)
  --event-lag-ms N           delay until a cache event is visible (200)
  --event-loss-percent N     percentage of cache events that are lost (0)
  --order-ms N               duration of a model, version or role change (3000)
  --seed N                   seed that selects the lost cache events (1)
  --help
  --version                  without a value: version of this program
";

fn main() -> ExitCode {
    command_line::run(NAME, start)
}

fn start() -> anyhow::Result<Option<SocketAddr>> {
    let spec = EngineSpec {
        model: String::new(),
        version: String::new(),
        role: Role::Mixed,
    };
    let mut config = EngineConfig::new("", spec);
    let mut listen: Option<SocketAddr> = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("name") => config.name = parser.value()?.parse()?,
            Long("model") => config.spec.model = parser.value()?.parse()?,
            Long("version") => match parser.values() {
                Ok(mut values) => {
                    config.spec.version = values.next().unwrap_or_default().parse()?;
                }
                Err(_) => {
                    command_line::print_version(NAME);
                    return Ok(None);
                }
            },
            Long("role") => config.spec.role = parser.value()?.parse_with(parse_role)?,
            Long("checks-fence") => config.checks_fence = parser.value()?.parse_with(parse_bool)?,
            Long("prefill-tokens-per-s") => {
                config.prefill_tokens_per_s = parser.value()?.parse()?;
            }
            Long("decode-tokens-per-s") => config.decode_tokens_per_s = parser.value()?.parse()?,
            Long("max-batch") => config.max_batch = parser.value()?.parse()?,
            Long("cache-tokens") => config.cache_tokens = parser.value()?.parse()?,
            Long("report-lag-ms") => config.report_lag_ms = parser.value()?.parse()?,
            Long("event-lag-ms") => config.event_lag_ms = parser.value()?.parse()?,
            Long("event-loss-percent") => config.event_loss_percent = parser.value()?.parse()?,
            Long("order-ms") => config.order_ms = parser.value()?.parse()?,
            Long("seed") => config.seed = parser.value()?.parse()?,
            Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let listen = listen.context("--listen ADDR is missing")?;
    ensure!(!config.name.is_empty(), "--name N is missing");
    ensure!(!config.spec.model.is_empty(), "--model M is missing");
    ensure!(!config.spec.version.is_empty(), "--version V is missing");
    ensure!(config.max_batch > 0, "--max-batch: expected at least 1");
    for (option, rate) in [
        ("--prefill-tokens-per-s", config.prefill_tokens_per_s),
        ("--decode-tokens-per-s", config.decode_tokens_per_s),
    ] {
        ensure!(rate >= 1.0, "{option}: expected at least 1");
    }
    Ok(Some(spawn_standin(listen, Engine::spawn(config))?))
}

fn parse_role(text: &str) -> anyhow::Result<Role> {
    Ok(match text {
        "mixed" => Role::Mixed,
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        _ => bail!("expected mixed, prefill or decode"),
    })
}

fn parse_bool(text: &str) -> anyhow::Result<bool> {
    Ok(match text {
        "yes" => true,
        "no" => false,
        _ => bail!("expected yes or no"),
    })
}
