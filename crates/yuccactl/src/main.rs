//! Entry point of `yuccactl`; see `yuccactl --help` for its usage.

use std::process::ExitCode;

use yucca_io::settings::Settings;
use yuccacove::error::Result;
use yuccactl::command::{Command, Invocation, Request, exit_code, parse};
use yuccactl::session::Session;
use yuccactl::{apply, backend, costs, explain, view};

fn main() -> ExitCode {
    let result = match parse(lexopt::Parser::from_env()) {
        Ok(Request::Print(text)) => {
            print!("{text}");
            Ok(())
        }
        Ok(Request::Run(invocation)) => run(invocation),
        Ok(Request::ExplainPlacement(question)) => explain::explain(&question),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccactl: {error}");
            ExitCode::from(exit_code(error.code()))
        }
    }
}

fn run(invocation: Invocation) -> Result<()> {
    let settings = Settings::open(&invocation.settings)?;
    let session = Session::open(settings);
    match invocation.command {
        Command::Check { file } => apply::check(&file),
        Command::Apply { file } => apply::apply(&session, &file),
        Command::Diff { file } => apply::diff(&session, &file),
        Command::Get { key } => view::get(&session, &key),
        Command::Drain { name } => backend::drain(&session, &name),
        Command::Undrain { name } => backend::undrain(&session, &name),
        Command::Replace(replacement) => backend::replace(&session, &replacement),
        Command::Withdraw { name, force } => backend::withdraw(&session, &name, force),
        Command::Status => view::status(&session),
        Command::Costs { hour, csv } => costs::costs(&session, hour, csv),
        Command::Explain { request } => view::explain(&session, &request),
    }
}
