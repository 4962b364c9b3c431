//! Conditional writes that recover from lost responses.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use yuccacove::store::Token;

use crate::store::{Store, StoreError};

/// Field in each written value that holds the write's unique token.
pub const TOKEN_FIELD: &str = "writer";
/// Maximum number of attempts of a write or read before the store counts as unavailable.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before the second attempt; it doubles for each further attempt.
const FIRST_BACKOFF_MS: u64 = 100;

/// Writes objects with a unique token in each value. If the response to a write is lost, reading
/// the object again shows by its token whether the write took effect.
#[derive(Debug, Clone)]
pub struct Writer {
    store: Store,
}

impl Writer {
    /// Creates a writer to `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Client of the store that this writer writes to.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Sets a new token in `value`, writes it if the object's version is still `expected_version`,
    /// and returns the new version. An `expected_version` of 0 means that the object must not
    /// exist.
    ///
    /// After an attempt without response or with `RateLimited`, the object is read. The write is
    /// repeated, with the same token, only while the object is unchanged or cannot be read.
    ///
    /// # Errors
    ///
    /// `Conflict` if another write came first, or overwrote this one before it could be read back.
    /// `NoAnswer` or `RateLimited` if all attempts failed, any other [`StoreError`] at once. After
    /// `NoAnswer` it is unknown whether the write took effect.
    pub fn put(
        &self,
        key: &str,
        expected_version: u64,
        value: &mut Value,
    ) -> Result<u64, StoreError> {
        let token = new_token();
        value[TOKEN_FIELD] = json!(token);
        let mut attempt = 1;
        loop {
            let error = match self.store.put(key, expected_version, value) {
                Ok(version) => return Ok(version),
                // An earlier attempt may have taken effect only after the read that followed it.
                Err(StoreError::Conflict(_)) if attempt > 1 => {
                    return self.find_written(key, token);
                }
                Err(error @ (StoreError::NoAnswer(_) | StoreError::RateLimited)) => error,
                Err(error) => return Err(error),
            };
            if attempt == MAX_ATTEMPTS {
                return Err(error);
            }
            back_off(attempt);
            attempt += 1;
            match self.store.get(key) {
                Ok(Some(object)) if has_token(&object.value, token) => return Ok(object.version),
                Ok(Some(object)) if object.version != expected_version => {
                    return Err(StoreError::Conflict(object.version));
                }
                Ok(None) if expected_version != 0 => return Err(StoreError::Conflict(0)),
                // The object is unchanged or could not be read: repeating the same conditional
                // write is safe.
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Returns the version of the object if it still holds the value written with `token`.
    fn find_written(&self, key: &str, token: Token) -> Result<u64, StoreError> {
        let found = with_retries(|| self.store.get(key))?;
        match found {
            Some(object) if has_token(&object.value, token) => Ok(object.version),
            Some(object) => Err(StoreError::Conflict(object.version)),
            None => Err(StoreError::Conflict(0)),
        }
    }
}

/// Runs `read`, and retries it with exponential backoff after `NoAnswer` and `RateLimited`.
///
/// # Errors
///
/// The error of the last attempt.
pub fn with_retries<T>(mut read: impl FnMut() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let mut attempt = 1;
    loop {
        match read() {
            Err(StoreError::NoAnswer(_) | StoreError::RateLimited) if attempt < MAX_ATTEMPTS => {
                back_off(attempt);
                attempt += 1;
            }
            result => return result,
        }
    }
}

/// Creates a token that no other write uses. `RandomState` is seeded randomly by the system and
/// differs in each call.
pub fn new_token() -> Token {
    Token(RandomState::new().build_hasher().finish())
}

fn has_token(value: &Value, token: Token) -> bool {
    value.get(TOKEN_FIELD) == Some(&json!(token))
}

fn back_off(attempt: u32) {
    thread::sleep(Duration::from_millis(FIRST_BACKOFF_MS << (attempt - 1)));
}
