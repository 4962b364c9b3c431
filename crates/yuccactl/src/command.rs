//! Parsing of the command line, help texts and exit codes.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::explanation::Question;

/// A subcommand with its arguments.
#[derive(Debug)]
pub enum Command {
    /// Checks a catalogue file without reading the store.
    Check {
        /// Catalogue file.
        file: PathBuf,
    },
    /// Writes a catalogue file to the store.
    Apply {
        /// Catalogue file.
        file: PathBuf,
    },
    /// Prints objects of the store.
    Get {
        /// Key or key prefix; empty for the whole catalogue.
        key: String,
    },
    /// Compares a catalogue file with the store.
    Diff {
        /// Catalogue file.
        file: PathBuf,
    },
    /// Stops new work to a backend; running work finishes.
    Drain {
        /// Name of the backend.
        name: String,
    },
    /// Cancels a drain.
    Undrain {
        /// Name of the backend.
        name: String,
    },
    /// Creates a backend and drains the one that it replaces.
    Replace(Replacement),
    /// Removes a backend from the fleet permanently.
    Withdraw {
        /// Name of the backend.
        name: String,
        /// Whether to withdraw the backend even if it has running work.
        force: bool,
    },
    /// Prints the state of backends and hosts.
    Status,
    /// Prints the cost of each catalogue entry for one hour.
    Costs {
        /// Hours since the Unix epoch; the current hour if `None`.
        hour: Option<u64>,
        /// Whether to print CSV instead of a table.
        csv: bool,
    },
    /// Prints the decisions of the entry hosts about a request.
    Explain {
        /// ID of the request.
        request: String,
    },
}

/// Arguments of the `replace` command.
#[derive(Debug)]
pub struct Replacement {
    /// Name of the backend to drain.
    pub old: String,
    /// Name of the new backend.
    pub new: String,
    /// Address of the new backend.
    pub address: SocketAddr,
    /// Availability zone of the new backend; that of the old one if `None`.
    pub zone: Option<String>,
}

/// A question to a host about where a request would go.
#[derive(Debug)]
pub struct PlacementQuestion {
    /// Operators' port of the host.
    pub at: SocketAddr,
    /// The question.
    pub question: Question,
    /// Whether to print the answer as JSON.
    pub is_json: bool,
}

/// A command and the settings file that it uses.
#[derive(Debug)]
pub struct Invocation {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Command to run.
    pub command: Command,
}

/// Result of parsing the command line.
#[derive(Debug)]
pub enum Request {
    /// Print the text for `--help` or `--version`.
    Print(String),
    /// Run a command.
    Run(Invocation),
    /// Ask a host, for which no settings are needed.
    ExplainPlacement(PlacementQuestion),
}

/// Name of the two commands that explain.
const EXPLAIN: &str = "explain";
/// Arguments of the one that explains a request which is not sent.
const EXPLAIN_ARGUMENTS: &str = "--at ADDRESS (--route NAME | --host NAME --path PATH) \
                                 [--organisation NAME] [--tokens N] [--parts ID:N,...] \
                                 [--output-tokens N] [--body-bytes N] [--rank N] [--deadline-ms N] \
                                 [--request-id ID] [--json]";

struct Subcommand {
    name: &'static str,
    arguments: &'static str,
    about: &'static str,
}

const SUBCOMMANDS: [Subcommand; 12] = [
    Subcommand {
        name: "check",
        arguments: "FILE",
        about: "check a catalogue file without using the object API",
    },
    Subcommand {
        name: "apply",
        arguments: "FILE",
        about: "write a catalogue file; objects that are not in the file are left unchanged",
    },
    Subcommand {
        name: "diff",
        arguments: "FILE",
        about: "show what apply would change",
    },
    Subcommand {
        name: "get",
        arguments: "[KEY|PREFIX]",
        about: "print objects, one JSON value per line",
    },
    Subcommand {
        name: "drain",
        arguments: "NAME",
        about: "send no new work to a backend; running work finishes",
    },
    Subcommand {
        name: "undrain",
        arguments: "NAME",
        about: "send work to a drained backend again",
    },
    Subcommand {
        name: "replace",
        arguments: "OLD NEW --address ADDRESS [--zone ZONE]",
        about: "create backend NEW like OLD, then drain OLD",
    },
    Subcommand {
        name: "withdraw",
        arguments: "NAME [--force]",
        about: "drain a backend and remove it from the fleet; refused while work is running unless \
                --force",
    },
    Subcommand {
        name: "status",
        arguments: "",
        about: "print the state of backends and hosts",
    },
    Subcommand {
        name: "costs",
        arguments: "[--hour H] [--csv]",
        about: "print the cost of each entry for hour H since 1970, or for the current hour so far",
    },
    Subcommand {
        name: "explain",
        arguments: "REQUEST_ID",
        about: "print the decisions of all entry hosts about a request",
    },
    Subcommand {
        name: EXPLAIN,
        arguments: EXPLAIN_ARGUMENTS,
        about: "print where a request would go now and why, without sending it; ADDRESS is the \
                operators' port of a yucca-platform host, and --settings is not needed",
    },
];

/// Exit code for an error: 2 for invalid usage or settings, 3 for a conflicting write, 4 for a
/// violated catalogue rule, 5 for a host that does not answer, 6 for one without a configuration, 7
/// for an unknown route, 8 for an unknown organisation, 9 for a host that answers no more questions
/// for a moment, 1 for any other failure.
pub fn exit_code(code: Code) -> u8 {
    match code {
        Code::BadUsage
        | Code::SettingsUnreadable
        | Code::SettingsUnknownKey
        | Code::SettingsBadValue
        | Code::SettingsMissing
        | Code::SettingsOverlap => yucca_io::cli::EXIT_USAGE,
        Code::CatalogueConflict => 3,
        Code::CatalogueRule => 4,
        Code::HostUnreachable => 5,
        Code::HostNotConfigured => 6,
        Code::UnknownRoute => 7,
        Code::UnknownOrganisation => 8,
        Code::QuestionsLimited => 9,
        _ => 1,
    }
}

#[derive(Default)]
struct Arguments {
    settings: Option<PathBuf>,
    address: Option<SocketAddr>,
    zone: Option<String>,
    force: bool,
    hour: Option<u64>,
    csv: bool,
    explain: ExplainOptions,
    positional: Vec<String>,
}

/// Options of the command that explains a request which is not sent.
#[derive(Default)]
struct ExplainOptions {
    at: Option<SocketAddr>,
    question: Question,
    is_json: bool,
    /// The first option that was given, for error messages.
    first: Option<String>,
}

impl ExplainOptions {
    /// Reads the option `name`. Returns whether there is one of this name.
    fn read(&mut self, name: &str, parser: &mut Parser) -> Result<bool> {
        let question = &mut self.question;
        match name {
            "at" => self.at = Some(parsed_value(name, parser)?),
            "json" => self.is_json = true,
            "route" => question.route = Some(string_value(parser)?),
            "host" => question.host = Some(string_value(parser)?),
            "path" => question.path = Some(string_value(parser)?),
            "organisation" => question.organisation = Some(string_value(parser)?),
            "request-id" => question.request_id = Some(string_value(parser)?),
            "tokens" => question.tokens = Some(parsed_value(name, parser)?),
            "parts" => question.parts = Some(string_value(parser)?),
            "output-tokens" => question.output_tokens = parsed_value(name, parser)?,
            "body-bytes" => question.body_bytes = parsed_value(name, parser)?,
            "rank" => question.rank = Some(parsed_value(name, parser)?),
            "deadline-ms" => question.deadline_ms = Some(parsed_value(name, parser)?),
            _ => return Ok(false),
        }
        self.first.get_or_insert_with(|| format!("--{name}"));
        Ok(true)
    }
}

/// Parses the value of the option `name`.
fn parsed_value<T: FromStr<Err: Display>>(name: &str, parser: &mut Parser) -> Result<T> {
    let text = string_value(parser)?;
    let value = text.parse();
    value.map_err(|error| bad_usage(&format!("--{name} {text}: {error}")))
}

/// Returns the question to a host; `None` if another command is given.
fn placement_question(arguments: &mut Arguments) -> Result<Option<PlacementQuestion>> {
    let name = arguments.positional.first().map(String::as_str);
    let Some(first) = &arguments.explain.first else {
        return Ok(None);
    };
    let synopsis = || format!("usage: yuccactl {EXPLAIN} {EXPLAIN_ARGUMENTS}");
    if name != Some(EXPLAIN) {
        return Err(bad_usage(&format!(
            "{first} is an option of {EXPLAIN}; {}",
            synopsis()
        )));
    }
    let has_other_options = arguments.address.is_some()
        || arguments.zone.is_some()
        || arguments.force
        || arguments.hour.is_some()
        || arguments.csv;
    if has_other_options || arguments.positional.len() > 1 {
        return Err(bad_usage(&synopsis()));
    }
    let options = std::mem::take(&mut arguments.explain);
    let at = options
        .at
        .ok_or_else(|| bad_usage(&format!("--at is missing; {}", synopsis())))?;
    let question = options.question;
    let has_route = matches!(
        (&question.route, &question.host, &question.path),
        (Some(_), None, None) | (None, Some(_), Some(_))
    );
    if !has_route {
        let detail = format!("either --route, or --host and --path; {}", synopsis());
        return Err(bad_usage(&detail));
    }
    question
        .prompt_tokens()
        .map_err(|problem| bad_usage(&problem.message))?;
    Ok(Some(PlacementQuestion {
        at,
        question,
        is_json: options.is_json,
    }))
}

/// Parses the command line.
///
/// # Errors
///
/// [`Code::BadUsage`] with the parse error or the synopsis of the command.
pub fn parse(mut parser: Parser) -> Result<Request> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next().map_err(parse_error)? {
        match argument {
            Arg::Long("settings") => {
                arguments.settings = Some(parser.value().map_err(parse_error)?.into());
            }
            Arg::Long("address") => {
                let value = parser.value().map_err(parse_error)?;
                arguments.address = Some(value.parse().map_err(parse_error)?);
            }
            Arg::Long("zone") => arguments.zone = Some(string_value(&mut parser)?),
            Arg::Long("hour") => {
                let value = parser.value().map_err(parse_error)?;
                arguments.hour = Some(value.parse().map_err(parse_error)?);
            }
            Arg::Long("csv") => arguments.csv = true,
            Arg::Long("force") => arguments.force = true,
            Arg::Short('h') | Arg::Long("help") => {
                let name = arguments.positional.first().map(String::as_str);
                return Ok(Request::Print(help(name)));
            }
            Arg::Short('V') | Arg::Long("version") => {
                let version = format!("yuccactl {}\n", env!("CARGO_PKG_VERSION"));
                return Ok(Request::Print(version));
            }
            Arg::Value(value) => arguments
                .positional
                .push(value.string().map_err(parse_error)?),
            Arg::Long(name) => {
                let name = name.to_owned();
                if !arguments.explain.read(&name, &mut parser)? {
                    return Err(parse_error(lexopt::Error::UnexpectedOption(format!(
                        "--{name}"
                    ))));
                }
            }
            other @ Arg::Short(_) => return Err(parse_error(other.unexpected())),
        }
    }
    if let Some(question) = placement_question(&mut arguments)? {
        return Ok(Request::ExplainPlacement(question));
    }
    let command = parse_command(&arguments)?;
    let settings = arguments.settings;
    let settings = settings.ok_or_else(|| bad_usage("--settings FILE is missing"))?;
    Ok(Request::Run(Invocation { settings, command }))
}

fn parse_command(arguments: &Arguments) -> Result<Command> {
    let Some((name, operands)) = arguments.positional.split_first() else {
        return Err(bad_usage("no command given; see --help"));
    };
    let Some(subcommand) = SUBCOMMANDS.iter().find(|s| s.name == name) else {
        return Err(bad_usage(&format!("unknown command {name}; see --help")));
    };
    let has_replace_options = arguments.address.is_some() || arguments.zone.is_some();
    let has_cost_options = arguments.hour.is_some() || arguments.csv;
    let has_misplaced_option = (has_replace_options && name != "replace")
        || (arguments.force && name != "withdraw")
        || (has_cost_options && name != "costs");
    if has_misplaced_option {
        return Err(synopsis_error(subcommand));
    }
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    let command = match (subcommand.name, operands.as_slice()) {
        ("check", [file]) => Command::Check { file: file.into() },
        ("apply", [file]) => Command::Apply { file: file.into() },
        ("diff", [file]) => Command::Diff { file: file.into() },
        ("get", []) => Command::Get { key: String::new() },
        ("get", [key]) => Command::Get {
            key: (*key).to_owned(),
        },
        ("drain", [name]) => Command::Drain {
            name: (*name).to_owned(),
        },
        ("undrain", [name]) => Command::Undrain {
            name: (*name).to_owned(),
        },
        ("replace", [old, new]) => Command::Replace(Replacement {
            old: (*old).to_owned(),
            new: (*new).to_owned(),
            address: arguments
                .address
                .ok_or_else(|| synopsis_error(subcommand))?,
            zone: arguments.zone.clone(),
        }),
        ("withdraw", [name]) => Command::Withdraw {
            name: (*name).to_owned(),
            force: arguments.force,
        },
        ("status", []) => Command::Status,
        ("costs", []) => Command::Costs {
            hour: arguments.hour,
            csv: arguments.csv,
        },
        (EXPLAIN, [request]) => Command::Explain {
            request: (*request).to_owned(),
        },
        _ => return Err(synopsis_error(subcommand)),
    };
    Ok(command)
}

fn help(name: Option<&str>) -> String {
    // Two commands have the name `explain`.
    let named = SUBCOMMANDS.iter().filter(|s| Some(s.name) == name);
    let texts: Vec<String> = named
        .map(|subcommand| format!("{}\n\n{}\n", synopsis(subcommand), subcommand.about))
        .collect();
    if !texts.is_empty() {
        return texts.join("\n");
    }
    let mut text = String::from(
        "yuccactl: edits the catalogue and shows the fleet\n\n\
         usage: yuccactl --settings FILE COMMAND\n\n",
    );
    for Subcommand {
        name,
        arguments,
        about,
    } in &SUBCOMMANDS
    {
        text += &format!("  {:<50} {about}\n", format!("{name} {arguments}"));
    }
    text += "\n\
             \x20 --settings FILE  settings of the fleet (INI)\n\
             \x20 -h, --help       print this help, or the help of the command given before it\n\
             \x20 -V, --version    print the version\n\n\
             exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 conflict, 4 rule violated, 5 host\n\
             does not answer, 6 host without a configuration, 7 unknown route, 8 unknown organisation,\n\
             9 too many questions to a host\n";
    text
}

fn synopsis(subcommand: &Subcommand) -> String {
    let Subcommand {
        name, arguments, ..
    } = subcommand;
    if *arguments == EXPLAIN_ARGUMENTS {
        return format!("usage: yuccactl {name} {arguments}");
    }
    format!("usage: yuccactl --settings FILE {name} {arguments}")
}

fn string_value(parser: &mut Parser) -> Result<String> {
    parser
        .value()
        .and_then(ValueExt::string)
        .map_err(parse_error)
}

fn synopsis_error(subcommand: &Subcommand) -> Error {
    bad_usage(&synopsis(subcommand))
}

fn bad_usage(detail: &str) -> Error {
    Error::new(Code::BadUsage, detail)
}

fn parse_error(error: lexopt::Error) -> Error {
    bad_usage(&error.to_string())
}
