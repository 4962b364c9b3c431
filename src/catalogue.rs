//! The catalogue: owners, entries, services and back ends, each an object with a version.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::error::{Error, Result};
use crate::rank::Rank;

/// Prefixes of the catalogue's object keys.
pub const KEY_PREFIXES: [&str; 5] = ["owner/", "entry/", "service/", "engine/", "server/"];

/// What calls an entry admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Chat completions on model engines; repeatable.
    Chat,
    /// Idempotent calls of a plain service.
    Read,
    /// Calls of a plain service that may not be repeated.
    Order,
}

/// A customer's team that pays for the entries it owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Owner {
    /// Organisation that the owner belongs to.
    pub organisation: String,
}

/// A kind of work with its owner, targets and fleet-wide limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the owner that is charged.
    pub owner: String,
    /// Name of the service that runs the work.
    pub service: String,
    /// What calls are admitted.
    pub class: Class,
    /// Urgency.
    pub rank: Rank,
    /// Target for the first token, or for the whole answer of a plain call.
    pub first_token_ms: u64,
    /// Target for the time between two tokens.
    pub between_tokens_ms: u64,
    /// Longest time that a caller may wait for the whole answer.
    pub deadline_ms: u64,
    /// Admitted requests a second in the whole fleet.
    pub requests_per_s: u32,
    /// Concurrent requests in the whole fleet.
    pub concurrent: u32,
    /// Prompt and output tokens a second in the whole fleet; 0 for plain services.
    pub tokens_per_s: u32,
    /// Path prefix that selects the entry; empty for chat.
    #[serde(default)]
    pub path_prefix: String,
    /// Upper-case HTTP methods that the entry admits; empty for chat.
    #[serde(default)]
    pub methods: Vec<String>,
}

/// Whether a service generates text or answers plain calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Plain HTTP servers.
    Plain,
}

/// A pool of like back ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Kind of the pool's back ends.
    pub kind: ServiceKind,
    /// Model that the engines serve; empty for plain services.
    #[serde(default)]
    pub model: String,
    /// Version of the model; empty for plain services.
    #[serde(default)]
    pub version: String,
    /// Floor of each rank, in percent of the pool's engine-seconds, by [`Rank::index`].
    #[serde(default)]
    pub floors_percent: [u8; 3],
}

/// Operators' state of a back end.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Admin {
    /// Takes work.
    #[default]
    Active,
    /// Takes no new work; running work finishes.
    Draining,
    /// Left the fleet; its name is not used again.
    Withdrawn,
}

/// Part of an answer's work that an engine does.
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

/// Model, version and role that an engine holds or shall hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Role.
    pub role: Role,
}

/// An order to an engine, recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Unique id, which the engine reports back as `last_order`.
    pub id: String,
    /// Epoch of the lease under which the intent was last written.
    pub epoch: u64,
    /// Number of intents that were recorded for the engine, this one included.
    #[serde(default)]
    pub sequence: u64,
    /// Ordered state.
    pub spec: EngineSpec,
    /// Whether the engine has reported the end of the change; the intent is open until then.
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
    /// Role that the operators or the role planner want.
    #[serde(default)]
    pub role: Role,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Operators' state.
    #[serde(default)]
    pub admin: Admin,
    /// Last recorded order, open until confirmed.
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
    /// Operators' state.
    #[serde(default)]
    pub admin: Admin,
}

/// A catalogue object's value; its key's prefix gives the variant.
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
    /// Reads the value of the object with `key`, or `None` when the key is not of the catalogue.
    ///
    /// # Errors
    ///
    /// [`Code::CatalogueRule`] when the value has not the shape of its kind.
    pub fn parse(key: &str, value: &serde_json::Value) -> Result<Option<Self>> {
        fn read<T: for<'de> Deserialize<'de>>(key: &str, value: &serde_json::Value) -> Result<T> {
            T::deserialize(value)
                .map_err(|e| Error::new(Code::CatalogueRule, format!("{key}: {e}")))
        }
        let Some((kind, _)) = key.split_once('/') else {
            return Ok(None);
        };
        Ok(Some(match kind {
            "owner" => Self::Owner(read(key, value)?),
            "entry" => Self::Entry(read(key, value)?),
            "service" => Self::Service(read(key, value)?),
            "engine" => Self::Engine(read(key, value)?),
            "server" => Self::Server(read(key, value)?),
            _ => return Ok(None),
        }))
    }
}

/// What became of an object offered to a [`Catalogue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The version is newer and now in force.
    Newer,
    /// The version in force is as new or newer.
    Stale,
}

#[derive(Debug, Clone)]
struct Versioned {
    version: u64,
    /// `None` once the object was deleted; the version stays, so that it never goes back.
    object: Option<Object>,
}

/// All catalogue objects that a process knows, each at the highest version that it has seen.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    objects: IndexMap<String, Versioned>,
}

impl Catalogue {
    /// Takes an object's value, or its deletion, at `version`; older versions are ignored.
    pub fn apply(&mut self, key: &str, version: u64, object: Option<Object>) -> Applied {
        if self.version(key) >= version {
            return Applied::Stale;
        }
        self.objects
            .insert(key.to_owned(), Versioned { version, object });
        Applied::Newer
    }

    /// The version in force of the object with `key`; 0 when it was never seen.
    pub fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |v| v.version)
    }

    /// Keys, versions and values of all objects; deleted ones have no value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64, Option<&Object>)> {
        self.objects
            .iter()
            .map(|(key, v)| (key.as_str(), v.version, v.object.as_ref()))
    }

    /// The object with `key`, unless it is absent or deleted.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)?.object.as_ref()
    }

    /// The entry called `name`.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        match self.get(&format!("entry/{name}"))? {
            Object::Entry(entry) => Some(entry),
            _ => None,
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.get(&format!("service/{name}"))? {
            Object::Service(service) => Some(service),
            _ => None,
        }
    }

    /// All engines with their names, withdrawn ones included.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        self.iter().filter_map(|(key, _, object)| match object {
            Some(Object::Engine(engine)) => Some((key.strip_prefix("engine/")?, engine)),
            _ => None,
        })
    }

    /// All servers of plain services with their names, withdrawn ones included.
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

    /// The plain entry with the longest path prefix that admits `method` on `path`.
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
