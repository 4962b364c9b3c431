//! What is played: the fleet, the kinds of requests and their bursts, read from an INI file.
//!
//! ```
//! use yucca_emulator::scenario::Scenario;
//!
//! let text = "
//! [fleet]
//! engines = 12
//! hosts = 7
//! [kind question]
//! class = stream
//! per_s = 20
//! shared_tokens = 200
//! own_tokens = 600
//! output_tokens = 26
//! target_ms = 250
//! gap_ms = 200
//! deadline_ms = 8000
//! worth = 2.7
//! late_worth = 0.3
//! urgency = 0
//! ";
//! let scenario = Scenario::parse("small.ini", text)?;
//! assert_eq!(scenario.kinds[0].name, "question");
//! # Ok::<(), yuccacove::error::Error>(())
//! ```

use yucca_io::ini_file::{IniFile, Section};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};

use crate::engine::Capacity;
use crate::pool::FleetSize;

/// Everything that a play needs but its seed and policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Entry hosts.
    pub hosts: usize,
    /// Back ends.
    pub size: FleetSize,
    /// Engines' capacity.
    pub capacity: Capacity,
    /// Time of traffic, in seconds.
    pub seconds: f64,
    /// Kinds of requests, in the order of the file.
    pub kinds: Vec<RequestKind>,
    /// Times with more requests.
    pub bursts: Vec<Burst>,
}

/// How a kind of requests is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A generation.
    Stream,
    /// A plain call that may run more than once.
    Read,
    /// A plain call that may not.
    Order,
}

/// A kind of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestKind {
    /// Name.
    pub name: String,
    /// How it is served.
    pub class: Class,
    /// Requests a second of the whole fleet.
    pub per_s: f64,
    /// Prompt tokens that it shares with others of its kind.
    pub shared_tokens: u32,
    /// Number of different shared parts.
    pub shared_parts: u64,
    /// Further prompt tokens.
    pub own_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Time until the first token, or the answer, that is worth most.
    pub target_ms: u64,
    /// Longest pause between events.
    pub gap_ms: u64,
    /// Time for which a caller waits.
    pub deadline_ms: u64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of a late one.
    pub late_worth: f64,
    /// Rank, 0 being the most urgent.
    pub urgency: u8,
    /// How often a caller comes again after a refusal.
    pub retries: u32,
}

/// A time with more requests of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Place of the kind.
    pub kind: usize,
    /// Beginning and end, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub to_s: f64,
    /// Multiple of the usual rate.
    pub factor: f64,
}

impl Scenario {
    /// Parses a scenario; `name` stands in error lines.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsUnreadable`], [`Code::SettingsUnknownKey`], [`Code::SettingsMissing`] or
    /// [`Code::SettingsBadValue`].
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let file = IniFile::parse(name, text)?;
        let missing = |what: &str| Error::new(Code::SettingsMissing, format!("{name}: {what}"));
        let fleet = file.sections().find(|s| s.name() == "fleet");
        let fleet = fleet.ok_or_else(|| missing("[fleet]"))?;
        let mut kinds = Vec::new();
        for section in file.sections() {
            match section.kind_and_name() {
                ("fleet", "") | ("burst", _) => {}
                ("kind", kind) if !kind.is_empty() => kinds.push(parse_kind(&section, kind)?),
                _ => {
                    let detail = "expected fleet, kind NAME or burst NUMBER";
                    return Err(section.error(Code::SettingsUnknownKey, "section", &detail));
                }
            }
        }
        if kinds.is_empty() {
            return Err(missing("[kind NAME]"));
        }
        let bursts = file.sections().filter(|s| s.kind_and_name().0 == "burst");
        let bursts: Result<Vec<Burst>> = bursts.map(|s| parse_burst(&s, &kinds)).collect();
        parse_fleet(&fleet, kinds, bursts?)
    }
}

fn or<T: std::str::FromStr>(section: &Section<'_>, key: &str, default: T) -> Result<T> {
    Ok(section.optional(key, "a number")?.unwrap_or(default))
}

fn parse_fleet(
    section: &Section<'_>,
    kinds: Vec<RequestKind>,
    bursts: Vec<Burst>,
) -> Result<Scenario> {
    section.expect_keys(&[
        "engines",
        "hosts",
        "zones",
        "seconds",
        "slots",
        "kv_tokens",
        "link_gbit_per_s",
        "servers",
        "server_slots",
        "server_work_ms",
        "tokens_per_event",
    ])?;
    let default = Capacity::default();
    Ok(Scenario {
        hosts: section.required("hosts", "a number")?,
        size: FleetSize {
            engines: section.required("engines", "a number")?,
            zones: or(section, "zones", 1)?,
            servers: or(section, "servers", 0)?,
            server_slots: or(section, "server_slots", 6)?,
            server_work_ms: or(section, "server_work_ms", 60)?,
            tokens_per_event: or(section, "tokens_per_event", 9)?,
        },
        capacity: Capacity {
            slots: or(section, "slots", default.slots)?,
            kv_tokens: or(section, "kv_tokens", default.kv_tokens)?,
            link_gbit_per_s: or(section, "link_gbit_per_s", default.link_gbit_per_s)?,
            ..default
        },
        seconds: or(section, "seconds", 30.0)?,
        kinds,
        bursts,
    })
}

fn parse_kind(section: &Section<'_>, name: &str) -> Result<RequestKind> {
    section.expect_keys(&[
        "class",
        "per_s",
        "shared_tokens",
        "shared_parts",
        "own_tokens",
        "output_tokens",
        "target_ms",
        "gap_ms",
        "deadline_ms",
        "worth",
        "late_worth",
        "urgency",
        "retries",
    ])?;
    let class: String = section.required("class", "stream, read or order")?;
    let class = match class.as_str() {
        "stream" => Class::Stream,
        "read" => Class::Read,
        "order" => Class::Order,
        _ => {
            let detail = "expected stream, read or order";
            return Err(section.error(Code::SettingsBadValue, "class", &detail));
        }
    };
    Ok(RequestKind {
        name: name.to_owned(),
        class,
        per_s: section.required("per_s", "a number")?,
        shared_tokens: or(section, "shared_tokens", 0)?,
        shared_parts: or(section, "shared_parts", 8)?,
        own_tokens: or(section, "own_tokens", 0)?,
        output_tokens: or(section, "output_tokens", 1)?,
        target_ms: section.required("target_ms", "milliseconds")?,
        gap_ms: or(section, "gap_ms", 0)?,
        deadline_ms: section.required("deadline_ms", "milliseconds")?,
        worth: or(section, "worth", 1.0)?,
        late_worth: or(section, "late_worth", 0.0)?,
        urgency: or(section, "urgency", 0)?,
        retries: or(section, "retries", 1)?,
    })
}

fn parse_burst(section: &Section<'_>, kinds: &[RequestKind]) -> Result<Burst> {
    section.expect_keys(&["kind", "from_s", "to_s", "factor"])?;
    let name: String = section.required("kind", "the name of a kind")?;
    let kind = kinds.iter().position(|kind| kind.name == name);
    let Some(kind) = kind else {
        return Err(section.error(
            Code::SettingsBadValue,
            "kind",
            &"expected the name of a kind",
        ));
    };
    Ok(Burst {
        kind,
        from_s: section.required("from_s", "seconds")?,
        to_s: section.required("to_s", "seconds")?,
        factor: section.required("factor", "a number")?,
    })
}
