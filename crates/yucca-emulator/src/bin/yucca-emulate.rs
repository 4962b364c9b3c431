//! Simulates a scenario with emulated engines and prints the results of each kind of requests.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use lexopt::{Arg, Parser, ValueExt};
use yucca_emulator::report;
use yucca_emulator::scenario::Scenario;
use yucca_emulator::simulation::{Policy, simulate};

const USAGE: &str = "\
yucca-emulate: simulates a scenario with emulated engines in virtual time

usage: yucca-emulate SCENARIO [--policy NAME]... [--seeds N] [--svg FILE]

  SCENARIO       scenario file (INI); see docs/emulator.md
  --policy NAME  hosts (default), hosts-by-forecast, least-in-flight, or least-in-flight:N with N prefill engines
  --seeds N      runs seeds 1 to N (default 1) and merges their results
  --svg FILE     plots the requests that met their targets over time, for the first policy and seed 1
  -h, --help     prints this text";

struct Arguments {
    scenario: PathBuf,
    policies: Vec<(String, Policy)>,
    seeds: u64,
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    match parse(Parser::from_env()) {
        Ok(None) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Some(arguments)) => match run(&arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error, 1),
        },
        Err(error) => fail(&error, 2),
    }
}

fn fail(error: &anyhow::Error, code: u8) -> ExitCode {
    eprintln!("yucca-emulate: {error:#}");
    ExitCode::from(code)
}

fn parse(mut parser: Parser) -> Result<Option<Arguments>> {
    let mut scenario = None;
    let mut policies = Vec::new();
    let (mut seeds, mut svg) = (1, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(path) if scenario.is_none() => scenario = Some(PathBuf::from(path)),
            Arg::Long("policy") => {
                let name = parser.value()?.string()?;
                let policy = parse_policy(&name)?;
                policies.push((name, policy));
            }
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("svg") => svg = Some(PathBuf::from(parser.value()?)),
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(scenario) = scenario else {
        bail!("SCENARIO is missing");
    };
    if policies.is_empty() {
        policies.push(("hosts".to_owned(), Policy::Hosts));
    }
    Ok(Some(Arguments {
        scenario,
        policies,
        seeds,
        svg,
    }))
}

fn parse_policy(name: &str) -> Result<Policy> {
    let (name, prefill_engines) = name.split_once(':').unwrap_or((name, "0"));
    match name {
        "hosts" => Ok(Policy::Hosts),
        "hosts-by-forecast" => Ok(Policy::HostsByForecast),
        "least-in-flight" => Ok(Policy::LeastInFlight {
            prefill_engines: prefill_engines
                .parse()
                .context("invalid number of prefill engines")?,
        }),
        _ => bail!("unknown policy {name:?}; expected hosts, hosts-by-forecast or least-in-flight"),
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    let path = &arguments.scenario;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let scenario = Scenario::parse(&path.display().to_string(), &text)?;
    for (index, (name, policy)) in arguments.policies.iter().enumerate() {
        let mut total = simulate(&scenario, 1, *policy)?;
        if let Some(svg) = arguments.svg.as_ref().filter(|_| index == 0) {
            report::draw(&scenario, &total, name, svg)?;
        }
        for seed in 2..=arguments.seeds {
            let result = simulate(&scenario, seed, *policy)?;
            total.merge(result);
        }
        let summaries = report::summarize(&scenario, &total);
        println!(
            "{name}: worth {:.3}, {}",
            report::worth(&scenario, &summaries),
            total.engine_summary()
        );
        println!("{}\n", report::table(&scenario, &summaries));
        if !scenario.organisations.is_empty() || scenario.kinds.iter().any(|k| k.large_share > 0.0)
        {
            println!("{}\n", report::fairness_table(&scenario, &total));
        }
    }
    Ok(())
}
