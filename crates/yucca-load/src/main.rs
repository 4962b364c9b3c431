//! Replays a trace of requests against running entry hosts.

use std::fs::{self, File};
use std::io::{self, IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressDrawTarget};
use lexopt::prelude::*;
use tokio::runtime;
use yucca_io::catalogue_file;
use yucca_io::settings::Settings;
use yucca_load::replay::{Fleet, replay};
use yucca_load::trace::{self, Row};

const HELP: &str = "\
yucca-load: replays a trace of requests against running entry hosts

usage: yucca-load --settings FILE --trace FILE [--catalogue FILE] [--out FILE]

  --settings FILE   settings of the fleet (INI)
  --trace FILE      one JSON object per line: at_ms, entry, prompt_tokens, output_tokens,
                    optional prefix (name of a shared prefix) and key (idempotency key)
  --catalogue FILE  catalogue of the fleet (INI; catalogue.ini beside the settings)
  --out FILE        file for the JSON summary (standard output)
  -h, --help        print this text
  -V, --version     print the version
";

/// Parsed command line and the files that it names.
struct ReplayJob {
    fleet: Fleet,
    rows: Vec<Row>,
    out: Option<File>,
}

fn main() -> ExitCode {
    let job = match prepare() {
        Ok(Some(job)) => job,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-load: {error:#}");
            return ExitCode::from(2);
        }
    };
    match run(job) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn prepare() -> Result<Option<ReplayJob>> {
    let mut settings: Option<PathBuf> = None;
    let mut catalogue: Option<PathBuf> = None;
    let mut trace: Option<PathBuf> = None;
    let mut out: Option<PathBuf> = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(parser.value()?.into()),
            Long("catalogue") => catalogue = Some(parser.value()?.into()),
            Long("trace") => trace = Some(parser.value()?.into()),
            Long("out") => out = Some(parser.value()?.into()),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("yucca-load {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let settings = settings.context("--settings FILE is missing")?;
    let trace = trace.context("--trace FILE is missing")?;
    let catalogue = catalogue.unwrap_or_else(|| settings.with_file_name("catalogue.ini"));
    let hosts = Settings::open(&settings)?.hosts;
    let hosts = hosts.values().map(|host| host.callers).collect();
    let fleet = Fleet::new(hosts, catalogue_file::open(&catalogue)?);
    let name = trace.display().to_string();
    let text = fs::read_to_string(&trace).with_context(|| name.clone())?;
    let rows = trace::parse(&name, &text, &|entry| fleet.is_chat(entry))?;
    let out = match out {
        Some(path) => Some(File::create(&path).with_context(|| path.display().to_string())?),
        None => None,
    };
    Ok(Some(ReplayJob { fleet, rows, out }))
}

fn run(job: ReplayJob) -> Result<()> {
    let draw_target = if io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let progress = ProgressBar::with_draw_target(Some(job.rows.len() as u64), draw_target);
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    let summary = runtime.block_on(replay(&job.fleet, &job.rows, &progress))?;
    progress.finish_and_clear();
    let text = format!("{:#}\n", summary.to_json());
    match job.out {
        Some(mut file) => file.write_all(text.as_bytes())?,
        None => io::stdout().write_all(text.as_bytes())?,
    }
    Ok(())
}
