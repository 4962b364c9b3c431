//! Sends one request to each catalogue entry through an entry host and prints the responses.
//!
//! Exit code: 0 if every response was complete, 1 if a call failed, 2 if the arguments or the
//! catalogue are invalid.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, bail, ensure};
use lexopt::{Arg, Parser, ValueExt};
use serde_json::{Value, json};
use ureq::Agent;
use ureq::http::Response;
use yucca_io::catalogue_file;
use yuccacove::catalogue::{Class, Entry, Object};

const HELP: &str = "yucca-call: sends one request to each catalogue entry through an entry host

usage: yucca-call --catalogue FILE --address ADDRESS

  --catalogue FILE   catalogue of the fleet (INI)
  --address ADDRESS  address of an entry host for callers
  -h, --help         print this text
  -V, --version      print the version";

/// Number of tokens that each chat call requests.
const OUTPUT_TOKENS: usize = 12;

struct Options {
    catalogue: PathBuf,
    address: SocketAddr,
}

fn main() -> ExitCode {
    let options = match parse_options(Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-call: {error:#}");
            return ExitCode::from(2);
        }
    };
    match call_all(&options) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("yucca-call: {failed} calls failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("yucca-call: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn parse_options(mut parser: Parser) -> Result<Option<Options>> {
    let mut catalogue = None;
    let mut address = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("catalogue") => catalogue = Some(PathBuf::from(parser.value()?)),
            Arg::Long("address") => address = Some(parser.value()?.parse()?),
            Arg::Short('h') | Arg::Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Arg::Short('V') | Arg::Long("version") => {
                println!("yucca-call {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(Options {
        catalogue: catalogue.context("--catalogue FILE is missing")?,
        address: address.context("--address ADDRESS is missing")?,
    }))
}

/// Calls each entry once and returns the number of calls that failed.
fn call_all(options: &Options) -> Result<usize> {
    let objects = catalogue_file::open(&options.catalogue)?;
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent();
    let mut failed = 0;
    for (key, object) in &objects {
        let (Some(name), Object::Entry(entry)) = (key.strip_prefix("entry/"), object) else {
            continue;
        };
        let result = match entry.class {
            Class::Chat => call_chat(&agent, options.address, name),
            Class::Read | Class::Order => call_plain(&agent, options.address, entry),
        };
        match result {
            Ok(line) => println!("{name:<20} {line}"),
            Err(error) => {
                failed += 1;
                println!("{name:<20} FAILED: {error:#}");
            }
        }
    }
    Ok(failed)
}

fn call_chat(agent: &Agent, address: SocketAddr, entry: &str) -> Result<String> {
    let content = format!("A call of {entry}: does a span of 9 m carry the load?");
    let body = json!({
        "model": entry,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": OUTPUT_TOKENS,
        "stream": true,
    });
    let mut response = agent
        .post(format!("http://{address}/v1/chat/completions"))
        .send_json(&body)?;
    let served_by = check_headers(&mut response)?;
    let body = response.body_mut().read_to_string()?;
    let events: Vec<&str> = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    ensure!(
        events.last() == Some(&"[DONE]"),
        "the stream ended without [DONE]"
    );
    let mut text = String::new();
    for event in &events[..events.len() - 1] {
        let chunk: Value = serde_json::from_str(event)?;
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    let tokens = text.split_whitespace().count();
    ensure!(
        tokens == OUTPUT_TOKENS,
        "expected {OUTPUT_TOKENS} tokens, got {tokens}"
    );
    Ok(format!("200 by {served_by}: {text}"))
}

fn call_plain(agent: &Agent, address: SocketAddr, entry: &Entry) -> Result<String> {
    let url = format!("http://{address}{}/beam-24", entry.path_prefix);
    let mut response = match entry.class {
        Class::Order => agent
            .post(format!("http://{address}{}", entry.path_prefix))
            .header("Idempotency-Key", unique_key())
            .send_json(json!({ "item": "beam-24", "pieces": 2 }))?,
        _ => agent.get(url).call()?,
    };
    let served_by = check_headers(&mut response)?;
    let body = response.body_mut().read_to_string()?;
    serde_json::from_str::<Value>(&body).context("the response is not JSON")?;
    Ok(format!("200 by {served_by}: {body}"))
}

/// Checks that the status is 200 and returns the name of the backend that sent the response.
fn check_headers(response: &mut Response<ureq::Body>) -> Result<String> {
    if response.status().as_u16() != 200 {
        let status = response.status();
        let detail = response.body_mut().read_to_string()?;
        bail!("status {status}: {detail}");
    }
    let served_by = response
        .headers()
        .get("x-served-by")
        .context("x-served-by is missing")?;
    Ok(served_by.to_str()?.to_owned())
}

/// Generates a unique idempotency key from the random seed of the standard hasher.
fn unique_key() -> String {
    format!("call-{:016x}", RandomState::new().build_hasher().finish())
}
