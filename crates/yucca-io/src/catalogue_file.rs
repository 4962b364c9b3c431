//! Parser for the catalogue file, an INI file that operators edit and apply.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;
use yuccacove::catalogue::{
    Admin, Class, Engine, Entry, Object, Owner, Server, Service, ServiceKind,
};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::rank::Rank;

use crate::ini_file::{IniFile, Section};

// Descriptions of expected values, for error messages.
const NAME: &str = "a name of letters, digits, '-', '_' and '.'";
const ADDRESS: &str = "an IP address with a port";
const MILLISECONDS: &str = "a whole number of milliseconds";
const PER_SECOND: &str = "a whole number per second";
const COUNT: &str = "a whole number";
const PERCENT: &str = "a whole-number percentage from 0 to 100";
const PATH: &str = "a path that starts with '/'";
const METHODS: &str = "upper-case HTTP methods separated by commas";
/// Keys of the floors in a service section, indexed by [`Rank::index`].
const FLOOR_KEYS: [&str; 3] = [
    "floor_percent_urgent",
    "floor_percent_standard",
    "floor_percent_background",
];

/// Reads the catalogue file at `path` and returns its objects with their keys.
///
/// # Errors
///
/// The errors of [`parse`], and [`Code::SettingsUnreadable`] if the file cannot be read.
pub fn open(path: &Path) -> Result<Vec<(String, Object)>> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|e| Error::new(Code::SettingsUnreadable, format!("{name}: {e}")))?;
    parse(&name, &text)
}

/// Parses the text of a catalogue file and returns its objects with their keys, in file order.
///
/// A section that occurs twice is returned twice, so that rule R6 can report the duplicate. Rules
/// between objects are not checked here, see [`yuccacove::rules`]. `name` is the file name in error
/// messages.
///
/// # Errors
///
/// An error with a code from 4001 to 4004 that names the file, section, key and expected value.
pub fn parse(name: &str, text: &str) -> Result<Vec<(String, Object)>> {
    let file = IniFile::parse(name, text)?;
    file.sections().map(read_section).collect()
}

fn read_section(section: Section<'_>) -> Result<(String, Object)> {
    let (kind, name) = section.kind_and_name();
    let object = match kind {
        "owner" => Object::Owner(read_owner(section)?),
        "entry" => Object::Entry(read_entry(section)?),
        "service" => Object::Service(read_service(section)?),
        "engine" => Object::Engine(read_engine(section)?),
        "server" => Object::Server(read_server(section)?),
        _ => {
            let expected = "expected [owner NAME], [entry NAME], [service NAME], [engine NAME] or \
                            [server NAME]";
            return Err(section.error(Code::SettingsUnknownKey, "", &expected));
        }
    };
    if !is_name(name) {
        let detail = format!("expected {NAME}, found {name:?}");
        return Err(section.error(Code::SettingsBadValue, "", &detail));
    }
    Ok((format!("{kind}/{name}"), object))
}

/// Whether `text` is a valid name of a catalogue object. Names are used in keys and in URL paths.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(is_allowed)
}

fn read_owner(section: Section<'_>) -> Result<Owner> {
    section.expect_keys(&["organisation"])?;
    Ok(Owner {
        organisation: section.required("organisation", NAME)?,
    })
}

fn read_entry(section: Section<'_>) -> Result<Entry> {
    section.expect_keys(&[
        "owner",
        "service",
        "class",
        "rank",
        "first_token_ms",
        "between_tokens_ms",
        "deadline_ms",
        "requests_per_s",
        "concurrent",
        "tokens_per_s",
        "path_prefix",
        "methods",
    ])?;
    let class = required_choice(section, "class", "chat, read or order")?;
    let (path_prefix, methods) = match class {
        Class::Chat => reject_path(section)?,
        Class::Read | Class::Order => (read_path(section)?, read_methods(section)?),
    };
    Ok(Entry {
        owner: section.required("owner", NAME)?,
        service: section.required("service", NAME)?,
        class,
        rank: required_choice(section, "rank", "urgent, standard or background")?,
        first_token_ms: section.required("first_token_ms", MILLISECONDS)?,
        between_tokens_ms: section.required("between_tokens_ms", MILLISECONDS)?,
        deadline_ms: section.required("deadline_ms", MILLISECONDS)?,
        requests_per_s: section.required("requests_per_s", PER_SECOND)?,
        concurrent: section.required("concurrent", COUNT)?,
        tokens_per_s: section.required("tokens_per_s", PER_SECOND)?,
        path_prefix,
        methods,
    })
}

/// Rejects a path prefix and methods in a chat entry: chat entries are selected by model name, so
/// neither would have any effect.
fn reject_path(section: Section<'_>) -> Result<(String, Vec<String>)> {
    for key in ["path_prefix", "methods"] {
        if section.optional::<String>(key, "no value")?.is_some() {
            let detail = "expected only in entries of class read or order";
            return Err(section.error(Code::SettingsUnknownKey, key, &detail));
        }
    }
    Ok((String::new(), Vec::new()))
}

fn read_path(section: Section<'_>) -> Result<String> {
    let path: String = section.required("path_prefix", PATH)?;
    if path.starts_with('/') {
        return Ok(path);
    }
    let detail = format!("expected {PATH}, found {path:?}");
    Err(section.error(Code::SettingsBadValue, "path_prefix", &detail))
}

fn read_methods(section: Section<'_>) -> Result<Vec<String>> {
    let text: String = section.required("methods", METHODS)?;
    let methods: Vec<String> = text.split(',').map(|m| m.trim().to_owned()).collect();
    let is_method = |m: &String| !m.is_empty() && m.chars().all(|c| c.is_ascii_uppercase());
    if methods.iter().all(is_method) {
        return Ok(methods);
    }
    let detail = format!("expected {METHODS}, found {text:?}");
    Err(section.error(Code::SettingsBadValue, "methods", &detail))
}

fn read_service(section: Section<'_>) -> Result<Service> {
    let mut expected = vec!["kind", "model", "version"];
    expected.extend(FLOOR_KEYS);
    section.expect_keys(&expected)?;
    let kind = required_choice(section, "kind", "model or plain")?;
    let (model, version) = match kind {
        ServiceKind::Model => (
            section.required("model", NAME)?,
            section.required("version", NAME)?,
        ),
        ServiceKind::Plain => (String::new(), String::new()),
    };
    let mut floors_percent = [0; Rank::ALL.len()];
    for (floor, key) in floors_percent.iter_mut().zip(FLOOR_KEYS) {
        *floor = section.optional(key, PERCENT)?.unwrap_or(0);
    }
    Ok(Service {
        kind,
        model,
        version,
        floors_percent,
    })
}

fn read_engine(section: Section<'_>) -> Result<Engine> {
    section.expect_keys(&["service", "address", "zone", "role", "checks_fence"])?;
    let checks_fence: String = section.required("checks_fence", "yes or no")?;
    let checks_fence = match checks_fence.as_str() {
        "yes" => true,
        "no" => false,
        other => {
            let detail = format!("expected yes or no, found {other:?}");
            return Err(section.error(Code::SettingsBadValue, "checks_fence", &detail));
        }
    };
    Ok(Engine {
        service: section.required("service", NAME)?,
        address: section.required::<SocketAddr>("address", ADDRESS)?,
        zone: section.required("zone", NAME)?,
        role: optional_choice(section, "role", "mixed, prefill or decode")?.unwrap_or_default(),
        checks_fence,
        admin: Admin::Active,
        intent: None,
    })
}

fn read_server(section: Section<'_>) -> Result<Server> {
    section.expect_keys(&["service", "address", "zone"])?;
    Ok(Server {
        service: section.required("service", NAME)?,
        address: section.required::<SocketAddr>("address", ADDRESS)?,
        zone: section.required("zone", NAME)?,
        admin: Admin::Active,
    })
}

fn required_choice<T: DeserializeOwned>(
    section: Section<'_>,
    key: &str,
    expected: &str,
) -> Result<T> {
    match optional_choice(section, key, expected)? {
        Some(value) => Ok(value),
        None => {
            let detail = format!("expected {expected}");
            Err(section.error(Code::SettingsMissing, key, &detail))
        }
    }
}

/// Parses the value of `key` as an enum variant, by its name in the catalogue's JSON. Returns
/// `None` if the key is absent.
fn optional_choice<T: DeserializeOwned>(
    section: Section<'_>,
    key: &str,
    expected: &str,
) -> Result<Option<T>> {
    let Some(text) = section.optional::<String>(key, expected)? else {
        return Ok(None);
    };
    match serde_json::from_value(Value::String(text.clone())) {
        Ok(value) => Ok(Some(value)),
        Err(_) => {
            let detail = format!("expected {expected}, found {text:?}");
            Err(section.error(Code::SettingsBadValue, key, &detail))
        }
    }
}
