//! The catalogue: versioned objects that describe owners, entries, services and backends.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::error::{Error, Result};
use crate::rank::Rank;

/// Prefixes of the catalogue's object keys.
pub const KEY_PREFIXES: [&str; 5] = ["owner/", "entry/", "service/", "engine/", "server/"];

/// Class of the requests that an entry admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Chat completions on model engines; safe to retry.
    Chat,
    /// Idempotent calls to a plain service.
    Read,
    /// Calls to a plain service that must not run twice.
    Order,
}

/// A customer's team that pays for the entries it owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// Organisation that the owner belongs to.
    pub organisation: String,
}

/// A class of work with its owner, latency targets and fleet-wide limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the owner that is charged.
    pub owner: String,
    /// Name of the service that runs the work.
    pub service: String,
    /// Class of the admitted requests.
    pub class: Class,
    /// Urgency of the requests relative to other entries.
    pub rank: Rank,
    /// Target time to the first token, or to the complete response of a plain call.
    pub first_token_ms: u64,
    /// Target time between two tokens.
    pub between_tokens_ms: u64,
    /// Longest time that a caller may wait for the complete response.
    pub deadline_ms: u64,
    /// Maximum number of admitted requests per second in the whole fleet.
    pub requests_per_s: u32,
    /// Maximum number of concurrent requests in the whole fleet.
    pub concurrent: u32,
    /// Maximum number of prompt and output tokens per second in the whole fleet; 0 for plain
    /// services.
    pub tokens_per_s: u32,
    /// Path prefix that selects the entry; empty for chat.
    #[serde(default)]
    pub path_prefix: String,
    /// HTTP methods that the entry admits, in upper case; empty for chat.
    #[serde(default)]
    pub methods: Vec<String>,
}

/// Whether a service generates text on model engines or handles plain HTTP calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// A pool of interchangeable backends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Kind of the pool's backends.
    pub kind: ServiceKind,
    /// Model that the engines serve; empty for plain services.
    #[serde(default)]
    pub model: String,
    /// Version of the model; empty for plain services.
    #[serde(default)]
    pub version: String,
    /// Guaranteed share (floor) of each rank, in percent of the pool's engine-seconds, indexed by
    /// [`Rank::index`].
    #[serde(default)]
    pub floors_percent: [u8; 3],
}

/// Administrative state of a backend, set by the operators.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Admin {
    /// Accepts work.
    #[default]
    Active,
    /// Accepts no new work; running work finishes.
    Draining,
    /// Removed from the fleet; its name is never reused.
    Withdrawn,
}

/// Which phases of a generation an engine runs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

impl Role {
    /// All roles.
    pub const ALL: [Self; 3] = [Self::Mixed, Self::Prefill, Self::Decode];
}

/// Model, version and role that an engine has or is ordered to have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Phases that the engine runs.
    pub role: Role,
}

/// An order to an engine, recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Unique id, which the engine reports as `last_order` once it has received the order.
    pub id: String,
    /// Epoch of the lease under which the intent was last written.
    pub epoch: u64,
    /// Number of intents recorded for the engine so far, including this one.
    #[serde(default)]
    pub sequence: u64,
    /// Ordered state.
    pub spec: EngineSpec,
    /// Whether the engine has reported that the change is complete; the intent is open until then.
    pub confirmed: bool,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Name of its service.
    pub service: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Role set by the operators or by the role planner.
    #[serde(default)]
    pub role: Role,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fence: bool,
    /// Administrative state.
    #[serde(default)]
    pub admin: Admin,
    /// Last recorded order, which is open until it is confirmed; `None` before the first.
    #[serde(default)]
    pub intent: Option<Intent>,
}

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name of its service.
    pub service: String,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Administrative state.
    #[serde(default)]
    pub admin: Admin,
}

/// Value of a catalogue object. The prefix of its key determines the variant.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Object {
    /// `owner/<name>`
    Owner(Owner),
    /// `entry/<name>`
    Entry(Entry),
    /// `service/<name>`
    Service(Service),
    /// `engine/<name>`
    Engine(Engine),
    /// `server/<name>`
    Server(Server),
}

impl Object {
    /// Parses the value of the object with `key`. Returns `None` if the key has no catalogue
    /// prefix.
    ///
    /// # Errors
    ///
    /// [`Code::CatalogueRule`] if the value does not match the schema of its kind.
    pub fn parse(key: &str, value: &serde_json::Value) -> Result<Option<Self>> {
        fn deserialize<T: for<'de> Deserialize<'de>>(
            key: &str,
            value: &serde_json::Value,
        ) -> Result<T> {
            T::deserialize(value)
                .map_err(|e| Error::new(Code::CatalogueRule, format!("{key}: {e}")))
        }
        let Some((kind, _)) = key.split_once('/') else {
            return Ok(None);
        };
        Ok(Some(match kind {
            "owner" => Self::Owner(deserialize(key, value)?),
            "entry" => Self::Entry(deserialize(key, value)?),
            "service" => Self::Service(deserialize(key, value)?),
            "engine" => Self::Engine(deserialize(key, value)?),
            "server" => Self::Server(deserialize(key, value)?),
            _ => return Ok(None),
        }))
    }
}

/// Result of [`Catalogue::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The version was newer and has been applied.
    Newer,
    /// The catalogue already has this version or a newer one.
    Stale,
}

#[derive(Debug, Clone)]
struct Versioned {
    version: u64,
    /// `None` if the object was deleted. The version is kept, so that a stale read cannot restore
    /// it.
    object: Option<Object>,
}

/// All catalogue objects known to a process, each at the highest version seen.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    objects: IndexMap<String, Versioned>,
}

impl Catalogue {
    /// Applies an object's value at `version`, or its deletion if `object` is `None`. Older
    /// versions are ignored.
    pub fn apply(&mut self, key: &str, version: u64, object: Option<Object>) -> Applied {
        if self.version(key) >= version {
            return Applied::Stale;
        }
        self.objects
            .insert(key.to_owned(), Versioned { version, object });
        Applied::Newer
    }

    /// The applied version of the object with `key`; 0 if it was never seen.
    pub fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |v| v.version)
    }

    /// Keys, versions and values of all objects; the value is `None` for deleted objects.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64, Option<&Object>)> {
        self.objects
            .iter()
            .map(|(key, v)| (key.as_str(), v.version, v.object.as_ref()))
    }

    /// The object with `key`; `None` if it is unknown or deleted.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)?.object.as_ref()
    }

    /// The entry called `name`; `None` if it is unknown or deleted.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        match self.get(&format!("entry/{name}"))? {
            Object::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    /// The service called `name`; `None` if it is unknown or deleted.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.get(&format!("service/{name}"))? {
            Object::Service(service) => Some(service),
            _ => None,
        }
    }

    /// All engines with their names, including withdrawn ones.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        self.iter().filter_map(|(key, _, object)| match object {
            Some(Object::Engine(engine)) => Some((key.strip_prefix("engine/")?, engine)),
            _ => None,
        })
    }

    /// All servers of plain services with their names, including withdrawn ones.
    pub fn servers(&self) -> impl Iterator<Item = (&str, &Server)> {
        self.iter().filter_map(|(key, _, object)| match object {
            Some(Object::Server(server)) => Some((key.strip_prefix("server/")?, server)),
            _ => None,
        })
    }

    /// All entries with their names.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        self.iter().filter_map(|(key, _, object)| match object {
            Some(Object::Entry(entry)) => Some((key.strip_prefix("entry/")?, entry)),
            _ => None,
        })
    }

    /// The entry of a plain service that admits `method` on `path`, with its name. If several
    /// match, the one with the longest path prefix is returned.
    pub fn entry_for_path(&self, method: &str, path: &str) -> Option<(&str, &Entry)> {
        self.entries()
            .filter(|(_, entry)| entry.class != Class::Chat)
            .filter(|(_, entry)| entry.methods.iter().any(|m| m == method))
            .filter(|(_, entry)| path_matches(&entry.path_prefix, path))
            .max_by_key(|(_, entry)| entry.path_prefix.len())
    }
}

fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
