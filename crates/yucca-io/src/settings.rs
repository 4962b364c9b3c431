//! Settings of the fleet, read from one INI file that is the same on all hosts.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use indexmap::IndexMap;
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::roles::RolesPolicy;
use yuccacove::routing::RoutingPolicy;

use crate::ini_file::{IniFile, Section};

// Descriptions of expected values, for error messages.
const ADDRESS: &str = "an address such as 127.0.0.1:8080";
const NAME: &str = "a name";
const COUNT: &str = "a whole number without a unit";
const MILLISECONDS: &str = "a whole number of milliseconds without a unit";
const BYTES: &str = "a whole number of bytes without a unit";
const MEGABYTES: &str = "a whole number of megabytes without a unit";

const MEGABYTE: usize = 1_000_000;
/// Memory of the process for each byte of the largest body. A chat request takes up to five times its
/// size while it is decoded and sent, and request bodies may use seven sixteenths of the memory.
const MEMORY_PER_BODY_BYTE: usize = 12;
/// Memory of the process for each connection. A connection with a request in progress reserves 56 KiB,
/// and connections may use three eighths of the memory.
const MEMORY_PER_CONNECTION_BYTES: usize = 153_000;

/// All settings of a fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the customer that the fleet serves.
    pub customer: String,
    /// Name of the fleet's region.
    pub region: String,
    /// Address of the store's object API.
    pub store: SocketAddr,
    /// Entry hosts by name.
    pub hosts: IndexMap<String, Host>,
    /// Limits of the callers' port.
    pub limits: Limits,
    /// Selected policies and their parameters.
    pub policy: Policy,
}

/// Availability zone and listening addresses of an entry host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Availability zone.
    pub zone: String,
    /// Callers' port of `yucca-entry`.
    pub callers: SocketAddr,
    /// Operators' port of `yucca-entry`.
    pub operators: SocketAddr,
    /// Peers' port of `yucca-entry`.
    pub peers: SocketAddr,
    /// Operators' port of `yucca-control`.
    pub control: SocketAddr,
}

/// Limits of the callers' port. They apply to each host separately.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Memory that the process may use.
    pub memory_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum total size of a request's headers.
    pub max_header_bytes: usize,
    /// Maximum time to receive a request's headers.
    pub header_timeout_ms: u64,
    /// Maximum time without progress while a request body is received or a response is sent.
    pub progress_timeout_ms: u64,
}

impl Limits {
    /// Returns the least memory of a process that serves a body of the largest size.
    fn min_memory_bytes(max_body_bytes: usize) -> usize {
        max_body_bytes.saturating_mul(MEMORY_PER_BODY_BYTE)
    }

    /// Returns the memory of a process whose settings name none: no number of connections up to the
    /// limit exhausts it with ordinary requests.
    fn default_memory_bytes(max_connections: usize, max_body_bytes: usize) -> usize {
        let for_connections = max_connections.saturating_mul(MEMORY_PER_CONNECTION_BYTES);
        Self::min_memory_bytes(max_body_bytes).saturating_add(for_connections)
    }
}

impl Default for Limits {
    fn default() -> Self {
        let max_connections = 4_096;
        let max_body_bytes = 4 * 1_024 * 1_024;
        Self {
            max_connections,
            memory_bytes: Self::default_memory_bytes(max_connections, max_body_bytes),
            max_body_bytes,
            max_header_bytes: 16 * 1_024,
            header_timeout_ms: 10_000,
            progress_timeout_ms: 30_000,
        }
    }
}

/// Selected policies and their parameters.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Policy that selects the engine for a request.
    pub routing: RoutingPolicy,
    /// Time for which a stopping host still accepts requests, so that the load balancer can notice
    /// the stop.
    pub balancer_lag_ms: u64,
    /// Time for which entry hosts may still send work to a backend after its drain was recorded.
    pub drain_settle_ms: u64,
    /// Maximum number of model weight loads that may start per minute in the whole fleet.
    pub weight_loads_per_min: u32,
    /// Policy that decides the roles of engines.
    pub roles: RolesPolicy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::default(),
            balancer_lag_ms: 5_000,
            drain_settle_ms: 3_000,
            weight_loads_per_min: 12,
            roles: RolesPolicy::default(),
        }
    }
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// The errors of [`Settings::parse`], and [`Code::SettingsUnreadable`] if the file cannot be
    /// read.
    pub fn open(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|e| Error::new(Code::SettingsUnreadable, format!("{name}: {e}")))?;
        Self::parse(&name, &text)
    }

    /// Parses and validates settings given as text; `name` is the file name in error messages.
    ///
    /// # Errors
    ///
    /// An error with a code from 4001 to 4005 that names the file, section, key and expected value.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let file = IniFile::parse(name, text)?;
        let mut fleet = None;
        let mut store = None;
        let mut hosts = IndexMap::new();
        let mut limits = Limits::default();
        let mut policy = Policy::default();
        for section in file.sections() {
            match section.kind_and_name() {
                ("fleet", "") => fleet = Some(read_fleet(section)?),
                ("store", "") => store = Some(read_store(section)?),
                ("host", host) if !host.is_empty() => {
                    if hosts.insert(host.to_owned(), read_host(section)?).is_some() {
                        return Err(section.error(
                            Code::SettingsOverlap,
                            "",
                            &"section occurs twice",
                        ));
                    }
                }
                ("limits", "") => limits = read_limits(section)?,
                ("policy", "") => policy = read_policy(section)?,
                _ => {
                    let expected = "expected [fleet], [store], [host NAME], [limits] or [policy]";
                    return Err(section.error(Code::SettingsUnknownKey, "", &expected));
                }
            }
        }
        let missing = |what: &str| Error::new(Code::SettingsMissing, format!("{name}: {what}"));
        let (customer, region) =
            fleet.ok_or_else(|| missing("[fleet] customer: missing section"))?;
        let store = store.ok_or_else(|| missing("[store] address: missing section"))?;
        if hosts.is_empty() {
            return Err(missing("[host NAME] zone: expected at least one host"));
        }
        check_overlaps(name, store, &hosts)?;
        Ok(Self {
            customer,
            region,
            store,
            hosts,
            limits,
            policy,
        })
    }

    /// Returns the settings of the host `name`.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsMissing`] if there is no such host.
    pub fn host(&self, name: &str) -> Result<&Host> {
        self.hosts.get(name).ok_or_else(|| {
            Error::new(
                Code::SettingsMissing,
                format!("[host {name}]: no such section"),
            )
        })
    }
}

fn read_fleet(section: Section<'_>) -> Result<(String, String)> {
    section.expect_keys(&["customer", "region"])?;
    Ok((
        section.required("customer", NAME)?,
        section.required("region", NAME)?,
    ))
}

fn read_store(section: Section<'_>) -> Result<SocketAddr> {
    section.expect_keys(&["address"])?;
    section.required("address", ADDRESS)
}

fn read_host(section: Section<'_>) -> Result<Host> {
    section.expect_keys(&["zone", "callers", "operators", "peers", "control"])?;
    Ok(Host {
        zone: section.required("zone", NAME)?,
        callers: section.required("callers", ADDRESS)?,
        operators: section.required("operators", ADDRESS)?,
        peers: section.required("peers", ADDRESS)?,
        control: section.required("control", ADDRESS)?,
    })
}

fn read_limits(section: Section<'_>) -> Result<Limits> {
    section.expect_keys(&[
        "max_connections",
        "memory_mb",
        "max_body_bytes",
        "max_header_bytes",
        "header_timeout_ms",
        "progress_timeout_ms",
    ])?;
    let default = Limits::default();
    let max_connections = section
        .optional("max_connections", COUNT)?
        .unwrap_or(default.max_connections);
    let max_body_bytes = section
        .optional("max_body_bytes", BYTES)?
        .unwrap_or(default.max_body_bytes);
    Ok(Limits {
        max_connections,
        memory_bytes: read_memory(section, max_body_bytes)?
            .unwrap_or_else(|| Limits::default_memory_bytes(max_connections, max_body_bytes)),
        max_body_bytes,
        max_header_bytes: section
            .optional("max_header_bytes", BYTES)?
            .unwrap_or(default.max_header_bytes),
        header_timeout_ms: section
            .optional("header_timeout_ms", MILLISECONDS)?
            .unwrap_or(default.header_timeout_ms),
        progress_timeout_ms: section
            .optional("progress_timeout_ms", MILLISECONDS)?
            .unwrap_or(default.progress_timeout_ms),
    })
}

fn read_memory(section: Section<'_>, max_body_bytes: usize) -> Result<Option<usize>> {
    let Some(megabytes) = section.optional::<usize>("memory_mb", MEGABYTES)? else {
        return Ok(None);
    };
    let bytes = megabytes.saturating_mul(MEGABYTE);
    let min_bytes = Limits::min_memory_bytes(max_body_bytes);
    if bytes < min_bytes {
        let min_mb = min_bytes.div_ceil(MEGABYTE);
        let detail = format!("expected at least {min_mb} for bodies of {max_body_bytes} bytes");
        return Err(section.error(Code::SettingsBadValue, "memory_mb", &detail));
    }
    Ok(Some(bytes))
}

fn read_policy(section: Section<'_>) -> Result<Policy> {
    section.expect_keys(&[
        "routing",
        "balancer_lag_ms",
        "drain_settle_ms",
        "weight_loads_per_min",
        "roles",
    ])?;
    let default = Policy::default();
    Ok(Policy {
        routing: section
            .optional("routing", "scored, least_in_flight or round_robin")?
            .unwrap_or(default.routing),
        balancer_lag_ms: section
            .optional("balancer_lag_ms", MILLISECONDS)?
            .unwrap_or(default.balancer_lag_ms),
        drain_settle_ms: section
            .optional("drain_settle_ms", MILLISECONDS)?
            .unwrap_or(default.drain_settle_ms),
        weight_loads_per_min: section
            .optional("weight_loads_per_min", COUNT)?
            .unwrap_or(default.weight_loads_per_min),
        roles: section
            .optional("roles", "planned, threshold or fixed")?
            .unwrap_or(default.roles),
    })
}

fn check_overlaps(file: &str, store: SocketAddr, hosts: &IndexMap<String, Host>) -> Result<()> {
    let mut users = IndexMap::from([(store, "[store] address".to_owned())]);
    for (name, host) in hosts {
        let ports = [
            ("callers", host.callers),
            ("operators", host.operators),
            ("peers", host.peers),
            ("control", host.control),
        ];
        for (key, address) in ports {
            let user = format!("[host {name}] {key}");
            if let Some(other) = users.insert(address, user.clone()) {
                let detail = format!("{file}: {user}: {address} is also used by {other}");
                return Err(Error::new(Code::SettingsOverlap, detail));
            }
        }
    }
    Ok(())
}
