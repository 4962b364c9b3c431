//! Command line shared by the daemons.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use crate::settings::{Host, Settings};

/// Exit code for invalid settings or an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Name and description of a daemon, for its `--help` and `--version` output.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
}

/// Settings and options that a daemon was started with.
#[derive(Debug)]
pub struct StartOptions {
    /// Validated settings of the fleet.
    pub settings: Settings,
    /// Name of this host.
    pub host_name: String,
    /// Settings of this host.
    pub host: Host,
    /// Log level, such as `info` or `debug`.
    pub log_level: String,
}

#[derive(Default)]
struct Flags {
    settings: Option<PathBuf>,
    host: Option<String>,
    log_level: Option<String>,
    check: bool,
}

/// Reads the command line and the settings file.
///
/// # Errors
///
/// The code with which the process should exit without running: 0 after `--help`, `--version` or a
/// successful `--check`, and [`EXIT_USAGE`] if the command line or the settings are invalid, which
/// is reported in one line on standard error.
pub fn read_start_options(program: Program) -> Result<StartOptions, ExitCode> {
    let flags = parse(program, Parser::from_env())?;
    let path = flags
        .settings
        .ok_or_else(|| usage_error(program, "--settings FILE is missing"))?;
    let settings = Settings::open(&path).map_err(|e| usage_error(program, &e.to_string()))?;
    if flags.check && flags.host.is_none() {
        println!("{}: settings are valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    let host_name = flags
        .host
        .ok_or_else(|| usage_error(program, "--host NAME is missing"))?;
    let host = settings
        .host(&host_name)
        .map_err(|e| usage_error(program, &e.to_string()))?
        .clone();
    if flags.check {
        println!("{}: settings are valid", path.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(StartOptions {
        settings,
        host_name,
        host,
        log_level: flags.log_level.unwrap_or_else(|| "info".to_owned()),
    })
}

fn parse(program: Program, mut parser: Parser) -> Result<Flags, ExitCode> {
    let mut flags = Flags::default();
    let invalid = |e: lexopt::Error| usage_error(program, &e.to_string());
    while let Some(argument) = parser.next().map_err(invalid)? {
        match argument {
            Arg::Long("settings") => flags.settings = Some(parser.value().map_err(invalid)?.into()),
            Arg::Long("host") => flags.host = Some(string_value(program, &mut parser)?),
            Arg::Long("log") => flags.log_level = Some(string_value(program, &mut parser)?),
            Arg::Long("check") => flags.check = true,
            Arg::Short('h') | Arg::Long("help") => {
                print_help(program);
                return Err(ExitCode::SUCCESS);
            }
            Arg::Short('V') | Arg::Long("version") => {
                println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
                return Err(ExitCode::SUCCESS);
            }
            other => return Err(invalid(other.unexpected())),
        }
    }
    Ok(flags)
}

fn string_value(program: Program, parser: &mut Parser) -> Result<String, ExitCode> {
    parser
        .value()
        .and_then(ValueExt::string)
        .map_err(|e| usage_error(program, &e.to_string()))
}

fn print_help(program: Program) {
    let Program { name, about } = program;
    println!("{name}: {about}");
    println!();
    println!("usage: {name} --settings FILE --host NAME [--log LEVEL] [--check]");
    println!();
    println!("  --settings FILE  settings of the fleet (INI)");
    println!("  --host NAME      section of this host in the settings");
    println!("  --log LEVEL      error, warn, info (default), debug or trace");
    println!("  --check          check the settings and exit");
    println!("  -h, --help       print this text");
    println!("  -V, --version    print the version");
}

fn usage_error(program: Program, detail: &str) -> ExitCode {
    eprintln!("{}: {detail}", program.name);
    ExitCode::from(EXIT_USAGE)
}
