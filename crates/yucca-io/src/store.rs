//! Blocking client for the platform's object API. Every call has a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use ureq::Agent;
use ureq::http::Response;

use crate::uri::encode_key;

/// Timeout of a read or write.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Time added to the period for which the store holds a watch open, to get the timeout of the call.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 2_000;

/// Client for the object API; clones share its connections.
#[derive(Debug, Clone)]
pub struct Store {
    agent: Agent,
    base_url: String,
}

/// An object in the store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredObject {
    /// Key of the object.
    pub key: String,
    /// Store-wide revision of the last write to the object.
    pub version: u64,
    /// JSON value.
    pub value: Value,
}

/// A deleted object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Deletion {
    /// Key of the object.
    pub key: String,
    /// Store-wide revision of the deletion.
    pub version: u64,
}

/// Response to a list or watch: all objects with a key prefix, or the changes since a revision.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Changes {
    /// Store revision that this response is current up to.
    pub revision: u64,
    /// Listed objects, or objects written since the given revision.
    pub objects: Vec<StoredObject>,
    /// Objects deleted since the given revision; empty for a list.
    #[serde(default)]
    pub deleted: Vec<Deletion>,
}

/// Error of a call to the object API.
#[derive(Debug)]
pub enum StoreError {
    /// The object does not have the expected version; its current version is given.
    Conflict(u64),
    /// The revision given to a watch is too old; the objects must be listed again.
    Expired,
    /// The store refused the call because of rate limiting, without any effect.
    RateLimited,
    /// The store refused the call with this HTTP status, without any effect.
    Refused(u16),
    /// No usable response arrived. The store may not have received the call, or the call took
    /// effect and its response was lost.
    NoAnswer(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict(version) => write!(f, "conflict with version {version}"),
            Self::Expired => write!(f, "watch revision too old"),
            Self::RateLimited => write!(f, "rate limited"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::NoAnswer(detail) => write!(f, "no answer: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

impl Store {
    /// Creates a client for the object API at `address`. It connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self {
            agent,
            base_url: format!("http://{address}/v1"),
        }
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except `Conflict` and `Expired`.
    pub fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let url = self.object_url(key);
        let response = self.read(&url, CALL_TIMEOUT_MS)?;
        match response.status().as_u16() {
            404 => Ok(None),
            200 => read_json(response).map(Some),
            status => Err(status_error(status)),
        }
    }

    /// Writes an object if its version is still `expected_version`, and returns its new version. An
    /// `expected_version` of 0 means that the object must not exist.
    ///
    /// # Errors
    ///
    /// `Conflict` if the version differs. After `NoAnswer` the write may have taken effect; to find
    /// out, read the object again and compare the unique writer token in its value.
    pub fn put(&self, key: &str, expected_version: u64, value: &Value) -> Result<u64, StoreError> {
        let response = self
            .agent
            .put(self.object_url(key))
            .config()
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build()
            .header("If-Match", expected_version.to_string())
            .send_json(value)
            .map_err(no_answer)?;
        Self::read_version(response)
    }

    /// Deletes an object if its version is still `expected_version`, and returns the version of the
    /// deletion.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::put`].
    pub fn delete(&self, key: &str, expected_version: u64) -> Result<u64, StoreError> {
        let response = self
            .agent
            .delete(self.object_url(key))
            .config()
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build()
            .header("If-Match", expected_version.to_string())
            .call()
            .map_err(no_answer)?;
        Self::read_version(response)
    }

    /// Reads all objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::get`].
    pub fn list(&self, prefix: &str) -> Result<Changes, StoreError> {
        let url = format!("{}/objects?prefix={}", self.base_url, encode_key(prefix));
        let response = self.read(&url, CALL_TIMEOUT_MS)?;
        match response.status().as_u16() {
            200 => read_json(response),
            status => Err(status_error(status)),
        }
    }

    /// Waits up to `timeout_ms` for changes after `revision` to objects whose keys start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// The errors of [`Store::get`], and `Expired` if the store no longer has the changes since
    /// `revision`.
    pub fn watch(
        &self,
        prefix: &str,
        revision: u64,
        timeout_ms: u64,
    ) -> Result<Changes, StoreError> {
        let url = format!(
            "{}/watch?prefix={}&after={revision}&timeout_ms={timeout_ms}",
            self.base_url,
            encode_key(prefix)
        );
        let response = self.read(&url, timeout_ms + WATCH_TIMEOUT_MARGIN_MS)?;
        match response.status().as_u16() {
            200 => read_json(response),
            410 => Err(StoreError::Expired),
            status => Err(status_error(status)),
        }
    }

    fn object_url(&self, key: &str) -> String {
        format!("{}/objects/{}", self.base_url, encode_key(key))
    }

    fn read(&self, url: &str, timeout_ms: u64) -> Result<Response<ureq::Body>, StoreError> {
        self.agent
            .get(url)
            .config()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .build()
            .call()
            .map_err(no_answer)
    }

    fn read_version(response: Response<ureq::Body>) -> Result<u64, StoreError> {
        match response.status().as_u16() {
            200 => read_json::<VersionBody>(response).map(|body| body.version),
            409 => Err(StoreError::Conflict(
                read_json::<VersionBody>(response)?.version,
            )),
            status => Err(status_error(status)),
        }
    }
}

fn status_error(status: u16) -> StoreError {
    match status {
        429 => StoreError::RateLimited,
        // With a 5xx status, a write may or may not have taken effect.
        500.. => StoreError::NoAnswer(format!("status {status}")),
        _ => StoreError::Refused(status),
    }
}

fn read_json<T: for<'de> Deserialize<'de>>(
    mut response: Response<ureq::Body>,
) -> Result<T, StoreError> {
    response
        .body_mut()
        .with_config()
        .limit(64 * 1_024 * 1_024)
        .read_json()
        .map_err(no_answer)
}

fn no_answer(error: ureq::Error) -> StoreError {
    StoreError::NoAnswer(error.to_string())
}
