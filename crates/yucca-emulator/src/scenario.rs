//! Scenarios for simulations: the fleet, the kinds of requests and their bursts, read from an INI
//! file.
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

/// Parameters of a simulation, except for seed and policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of backends, and their parameters.
    pub size: FleetSize,
    /// Capacity of each engine.
    pub capacity: Capacity,
    /// Duration of the traffic, in seconds.
    pub seconds: f64,
    /// Kinds of requests, in the order of the file.
    pub kinds: Vec<RequestKind>,
    /// Periods with a higher request rate.
    pub bursts: Vec<Burst>,
    /// Organisations that send the requests; without any, requests have no API key.
    pub organisations: Vec<Organisation>,
}

/// An organisation that sends requests of all kinds.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, as in the head of its section.
    pub name: String,
    /// Its part of the requests outside of bursts, relative to those of the others.
    pub weight: f64,
}

/// Serving class of a kind of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A stream of generated tokens.
    Stream,
    /// A call to a plain server that may run more than once.
    Read,
    /// A call to a plain server that must not run more than once.
    Order,
}

/// A kind of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestKind {
    /// Name, as in the head of its section.
    pub name: String,
    /// How its requests are served.
    pub class: Class,
    /// Requests per second to the entire fleet, outside of bursts.
    pub per_s: f64,
    /// Length of the shared prefix, in prompt tokens.
    pub shared_tokens: u32,
    /// Number of different shared prefixes.
    pub shared_parts: u64,
    /// Prompt tokens after the shared prefix.
    pub own_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
    /// Tokens by which the length hint of a request exceeds its output.
    pub hint_excess_tokens: u32,
    /// Share of the requests whose own part is longer.
    pub large_share: f64,
    /// Factor by which the own part of those is longer.
    pub large_factor: f64,
    /// Target time until the first token or the complete response, in milliseconds.
    pub target_ms: u64,
    /// Maximum gap between events in milliseconds; 0 for no limit.
    pub gap_ms: u64,
    /// Time for which a caller waits, including retries, in milliseconds.
    pub deadline_ms: u64,
    /// Value of a response that meets its targets.
    pub worth: f64,
    /// Value of a complete response that misses a target.
    pub late_worth: f64,
    /// Urgency rank, 0 being the most urgent.
    pub urgency: u8,
    /// Maximum number of retries after refusals.
    pub retries: u32,
}

/// A period with a higher request rate of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Index of the kind in [`Scenario::kinds`].
    pub kind: usize,
    /// Index of the organisation in [`Scenario::organisations`]; `None` for all of them.
    pub organisation: Option<usize>,
    /// Start, in seconds since the start of the traffic.
    pub from_s: f64,
    /// End, in seconds since the start of the traffic.
    pub to_s: f64,
    /// Factor by which the usual rate is multiplied.
    pub factor: f64,
}

impl Scenario {
    /// Parses a scenario. Error messages quote `name` as the name of the file.
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
        let mut organisations = Vec::new();
        for section in file.sections() {
            match section.kind_and_name() {
                ("fleet", "") | ("burst", _) => {}
                ("kind", kind) if !kind.is_empty() => kinds.push(parse_kind(&section, kind)?),
                ("organisation", organisation) if !organisation.is_empty() => {
                    section.expect_keys(&["weight"])?;
                    organisations.push(Organisation {
                        name: organisation.to_owned(),
                        weight: optional_or(&section, "weight", 1.0)?,
                    });
                }
                _ => {
                    let detail = "expected fleet, kind NAME, organisation NAME or burst NUMBER";
                    return Err(section.error(Code::SettingsUnknownKey, "section", &detail));
                }
            }
        }
        if kinds.is_empty() {
            return Err(missing("[kind NAME]"));
        }
        let bursts = file.sections().filter(|s| s.kind_and_name().0 == "burst");
        let bursts: Result<Vec<Burst>> = bursts
            .map(|s| parse_burst(&s, &kinds, &organisations))
            .collect();
        let scenario = parse_fleet(&fleet, kinds, bursts?)?;
        Ok(Self {
            organisations,
            ..scenario
        })
    }
}

fn optional_or<T: std::str::FromStr>(section: &Section<'_>, key: &str, default: T) -> Result<T> {
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
        "slow_share",
        "slow_speed",
        "prefill_tokens_per_ms",
        "prefill_latency_ms",
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
            slow_share: optional_or(section, "slow_share", 0.0)?,
            slow_speed: optional_or(section, "slow_speed", 1.0)?,
            zones: optional_or(section, "zones", 1)?,
            servers: optional_or(section, "servers", 0)?,
            server_slots: optional_or(section, "server_slots", 6)?,
            server_work_ms: optional_or(section, "server_work_ms", 60)?,
            tokens_per_event: optional_or(section, "tokens_per_event", 9)?,
        },
        capacity: Capacity {
            slots: optional_or(section, "slots", default.slots)?,
            kv_tokens: optional_or(section, "kv_tokens", default.kv_tokens)?,
            link_gbit_per_s: optional_or(section, "link_gbit_per_s", default.link_gbit_per_s)?,
            prefill_tokens_per_ms: optional_or(
                section,
                "prefill_tokens_per_ms",
                default.prefill_tokens_per_ms,
            )?,
            prefill_latency_ms: optional_or(
                section,
                "prefill_latency_ms",
                default.prefill_latency_ms,
            )?,
            ..default
        },
        seconds: optional_or(section, "seconds", 30.0)?,
        kinds,
        bursts,
        organisations: Vec::new(),
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
        "hint_excess_tokens",
        "large_share",
        "large_factor",
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
        shared_tokens: optional_or(section, "shared_tokens", 0)?,
        shared_parts: optional_or(section, "shared_parts", 8)?,
        own_tokens: optional_or(section, "own_tokens", 0)?,
        output_tokens: optional_or(section, "output_tokens", 1)?,
        hint_excess_tokens: optional_or(section, "hint_excess_tokens", 0)?,
        large_share: optional_or(section, "large_share", 0.0)?,
        large_factor: optional_or(section, "large_factor", 1.0)?,
        target_ms: section.required("target_ms", "milliseconds")?,
        gap_ms: optional_or(section, "gap_ms", 0)?,
        deadline_ms: section.required("deadline_ms", "milliseconds")?,
        worth: optional_or(section, "worth", 1.0)?,
        late_worth: optional_or(section, "late_worth", 0.0)?,
        urgency: optional_or(section, "urgency", 0)?,
        retries: optional_or(section, "retries", 1)?,
    })
}

fn parse_burst(
    section: &Section<'_>,
    kinds: &[RequestKind],
    organisations: &[Organisation],
) -> Result<Burst> {
    section.expect_keys(&["kind", "organisation", "from_s", "to_s", "factor"])?;
    let name: String = section.required("kind", "the name of a kind")?;
    let kind = kinds.iter().position(|kind| kind.name == name);
    let Some(kind) = kind else {
        return Err(section.error(
            Code::SettingsBadValue,
            "kind",
            &"expected the name of a kind",
        ));
    };
    let sender: Option<String> = section.optional("organisation", "the name of an organisation")?;
    let organisation = sender.as_ref().map(|sender| {
        let found = organisations.iter().position(|o| o.name == *sender);
        found.ok_or_else(|| {
            let detail = "expected the name of an organisation";
            section.error(Code::SettingsBadValue, "organisation", &detail)
        })
    });
    Ok(Burst {
        kind,
        organisation: organisation.transpose()?,
        from_s: section.required("from_s", "seconds")?,
        to_s: section.required("to_s", "seconds")?,
        factor: section.required("factor", "a number")?,
    })
}
