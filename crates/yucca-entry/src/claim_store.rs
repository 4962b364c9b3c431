//! Reads and writes of claim slots through the object API.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Deserialize;
use tokio::time::sleep;
use yucca_io::store::StoreError;
use yuccacove::claim::{Attempt, ClaimReply, Input, Slot};
use yuccacove::store::{Stored, Token, Write, WriteResult};

use crate::host::Host;

/// Attempts of a write that the object API refuses because of a rate limit.
const RATE_LIMITED_ATTEMPTS: u32 = 3;
/// Pause before such a write is retried.
const RATE_LIMITED_PAUSE_MS: u64 = 100;

/// Attempts that run on this host, looked up when peers ask about their claims.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    by_token: Mutex<HashMap<Token, Arc<Mutex<Attempt>>>>,
}

impl RunningAttempts {
    /// Registers an attempt until the guard is dropped.
    pub fn register(self: &Arc<Self>, attempt: Attempt) -> RegisteredAttempt {
        let token = attempt.token();
        let attempt = Arc::new(Mutex::new(attempt));
        self.lock().insert(token, Arc::clone(&attempt));
        RegisteredAttempt {
            running: Arc::clone(self),
            token,
            attempt,
        }
    }

    /// Reply of this host about the claim with `token`.
    pub fn claim_reply(&self, token: Token) -> ClaimReply {
        let attempt = self.lock().get(&token).map(Arc::clone);
        attempt.map_or(ClaimReply::Unknown, |attempt| {
            attempt
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .claim_reply()
        })
    }

    /// Number of attempts that have not ended.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether all attempts have ended.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Token, Arc<Mutex<Attempt>>>> {
        self.by_token.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt that peers can ask about.
pub struct RegisteredAttempt {
    running: Arc<RunningAttempts>,
    token: Token,
    attempt: Arc<Mutex<Attempt>>,
}

impl RegisteredAttempt {
    /// Locks the attempt; the guard must be held only briefly.
    pub fn lock(&self) -> std::sync::MutexGuard<'_, Attempt> {
        self.attempt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RegisteredAttempt {
    fn drop(&mut self) {
        self.running.lock().remove(&self.token);
    }
}

/// Reads the slot object with `key`; a missing object is read as version 0 without a value.
pub async fn read(host: &Host, key: &str) -> Input {
    match blocking_read(host, key).await {
        Some(stored) => Input::Read(stored),
        None => Input::Unreadable,
    }
}

/// Writes the slot object with `key`. A write that is refused because of a conflict, or repeatedly
/// because of a rate limit, returns the object as read back.
pub async fn write(host: &Host, key: &str, write: &Write<Slot>) -> WriteResult<Slot> {
    let Ok(value) = serde_json::to_value(&write.value) else {
        return WriteResult::Lost;
    };
    for _ in 0..RATE_LIMITED_ATTEMPTS {
        let (store, key, value) = (host.store.clone(), key.to_owned(), value.clone());
        let expected = write.expected;
        let written = tokio::task::spawn_blocking(move || store.put(&key, expected, &value));
        match written.await {
            Ok(Ok(version)) => return WriteResult::Written(version),
            Ok(Err(StoreError::Conflict(_))) => break,
            Ok(Err(StoreError::RateLimited)) => {
                sleep(Duration::from_millis(RATE_LIMITED_PAUSE_MS)).await;
            }
            Ok(Err(_)) | Err(_) => return WriteResult::Lost,
        }
    }
    match blocking_read(host, key).await {
        Some(stored) => WriteResult::Conflict(stored),
        None => WriteResult::Lost,
    }
}

async fn blocking_read(host: &Host, key: &str) -> Option<Stored<Slot>> {
    let (store, key) = (host.store.clone(), key.to_owned());
    let read = tokio::task::spawn_blocking(move || store.get(&key)).await;
    match read.ok()?.ok()? {
        None => Some(Stored {
            version: 0,
            value: None,
        }),
        Some(object) => Some(Stored {
            version: object.version,
            value: Some(Slot::deserialize(&object.value).ok()?),
        }),
    }
}
