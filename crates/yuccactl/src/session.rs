//! Access to the store and the hosts for one command.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;
use serde_json::{Value, json};
use yucca_io::http_client::HttpClient;
use yucca_io::settings::Settings;
use yucca_io::store::{Store, StoreError, StoredObject};
use yucca_io::writer::{Writer, with_retries};
use yuccacove::catalogue::{Catalogue, KEY_PREFIXES, Object};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};

/// Number of entry hosts that each accepted change is announced to, so that it still spreads by
/// gossip if the store fails and two of these hosts stop right afterwards.
const ANNOUNCE_HOSTS: usize = 3;

/// Settings and clients of one command.
#[derive(Debug)]
pub struct Session {
    /// Settings of the fleet.
    pub settings: Settings,
    /// Client for engines and for the operators' and control ports of hosts.
    pub http: HttpClient,
    writer: Writer,
    announce_targets: Mutex<IndexMap<String, SocketAddr>>,
}

/// All catalogue objects, read from the store.
#[derive(Debug, Default)]
pub struct StoredCatalogue {
    /// Stored objects with version and raw value, by key.
    pub objects: IndexMap<String, StoredObject>,
    /// The same objects, parsed.
    pub catalogue: Catalogue,
}

impl Session {
    /// Creates the clients; they connect on first use.
    pub fn open(settings: Settings) -> Self {
        let hosts = settings.hosts.iter();
        let announce_targets = hosts.map(|(name, host)| (name.clone(), host.operators));
        Self {
            http: HttpClient::default(),
            writer: Writer::new(Store::new(settings.store)),
            announce_targets: Mutex::new(announce_targets.collect()),
            settings,
        }
    }

    /// Reads the object with `key`.
    ///
    /// # Errors
    ///
    /// [`Code::StoreUnavailable`].
    pub fn get(&self, key: &str) -> Result<Option<StoredObject>> {
        with_retries(|| self.writer.store().get(key)).map_err(|e| store_error(key, &e))
    }

    /// Reads all objects whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// [`Code::StoreUnavailable`].
    pub fn list(&self, prefix: &str) -> Result<Vec<StoredObject>> {
        let changes = with_retries(|| self.writer.store().list(prefix));
        changes
            .map(|changes| changes.objects)
            .map_err(|e| store_error(prefix, &e))
    }

    /// Reads the whole catalogue.
    ///
    /// # Errors
    ///
    /// [`Code::StoreUnavailable`], and [`Code::CatalogueRule`] if an object does not have the
    /// fields of its kind.
    pub fn read_catalogue(&self) -> Result<StoredCatalogue> {
        let mut result = StoredCatalogue::default();
        for prefix in KEY_PREFIXES {
            for stored in self.list(prefix)? {
                let object = Object::parse(&stored.key, &stored.value)?;
                result.catalogue.apply(&stored.key, stored.version, object);
                result.objects.insert(stored.key.clone(), stored);
            }
        }
        Ok(result)
    }

    /// Writes an object if its version is still `expected_version` (0 if it must not exist yet),
    /// announces it to entry hosts and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Code::CatalogueConflict`] if another write came first; [`Code::StoreUnavailable`] if the
    /// store refused the write or all attempts failed. After an attempt without a response, the
    /// write may still have taken effect.
    pub fn put(&self, key: &str, expected_version: u64, mut value: Value) -> Result<u64> {
        let version = self
            .writer
            .put(key, expected_version, &mut value)
            .map_err(|e| store_error(key, &e))?;
        self.announce(key, version, &value);
        Ok(version)
    }

    /// Announces an accepted change to entry hosts. A host that fails is reported on standard error
    /// and not used again, and the next host takes its place. Failures are not returned as errors,
    /// because the watch on the store remains the main path by which hosts receive the change.
    fn announce(&self, key: &str, version: u64, value: &Value) {
        let body = json!({ "key": key, "version": version, "value": value });
        let mut hosts = self
            .announce_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut announced = 0;
        while announced < ANNOUNCE_HOSTS {
            let Some((name, address)) = hosts.get_index(announced) else {
                break;
            };
            let detail = match self.http.post(*address, "/v1/announce", &body) {
                Ok((200..=299, _)) => {
                    announced += 1;
                    continue;
                }
                Ok((status, _)) => format!("status {status}"),
                Err(error) => error.to_string(),
            };
            eprintln!("yuccactl: announcing {key} to {name} failed: {detail}");
            hosts.shift_remove_index(announced);
        }
    }
}

fn store_error(key: &str, error: &StoreError) -> Error {
    match error {
        StoreError::Conflict(0) => Error::new(
            Code::CatalogueConflict,
            format!("{key}: was deleted in the meantime; nothing was written"),
        ),
        StoreError::Conflict(version) => Error::new(
            Code::CatalogueConflict,
            format!("{key}: was changed to version {version} in the meantime; read it again"),
        ),
        StoreError::Expired
        | StoreError::RateLimited
        | StoreError::Refused(_)
        | StoreError::NoAnswer(_) => Error::new(Code::StoreUnavailable, format!("{key}: {error}")),
    }
}
