//! Record in the store of the services whose engines have had only one software version for as long as
//! any stream lasts.
//!
//! The holder of the lease on engine roles writes it, once when a version appears and once when it has
//! been the only one for long enough. A host that has just started, or was out of step, reads it once. It
//! also tells how long streams may live, which such a host cannot know: a configuration that it never saw
//! may have allowed more time.

use std::rc::Rc;

use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use crate::host::Host;
use crate::ports::{Freshness, Kind, Object, ObjectStore, StoreFault};
use crate::roles::RoleLease;
use crate::stream_versions::{
    is_lifetime_known, lifetime_ms, only_stored, own_evidence, stream_services,
};
use yuccacove::stream_version::{OnlyVersions, VersionId};

/// Name of the record's object.
pub const RECORD_NAME: &str = "only-versions";
/// Interval at which the holder compares the record with what it sees.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The record as this host knows it from the store.
#[derive(Debug, Default)]
struct Known {
    /// Revision of its object; `None` if there is none.
    revision: Option<u64>,
    stored: OnlyVersions,
    /// Time at which it was read or written, on the clock that also advances during suspension.
    at_ms: u64,
}

/// Keeps the record while this host holds the lease on engine roles, and reads it when a request needs
/// it, for as long as the process lives.
pub async fn keep<B, S: ObjectStore>(host: Rc<Host<B>>, store: Rc<S>, lease: Rc<RoleLease>) {
    let mut known: Option<Known> = None;
    let mut era = store.era();
    loop {
        let is_wanted = tokio::select! {
            () = host.streams.record_wanted.notified() => true,
            () = sleep(CHECK_INTERVAL) => false,
        };
        let is_restored = std::mem::replace(&mut era, store.era()) != store.era();
        let is_holder = lease.authority().is_some();
        if is_restored || !is_holder {
            // Another host may have written meanwhile.
            known = None;
        }
        if is_wanted || (is_holder && known.is_none()) {
            let read_ms = host.relay.now_ms();
            match read(&*store, read_ms).await {
                Ok(record) => {
                    let stored = record.stored.clone();
                    host.streams.set_stored(read_ms, stored, host.now_ms());
                    known = Some(record);
                }
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        let Some(record) = known.as_mut().filter(|_| is_holder) else {
            continue;
        };
        if host.config().is_none() {
            continue;
        }
        let stored = current(&host, record);
        if stored == record.stored && record.revision.is_some() {
            continue;
        }
        let at_ms = host.relay.now_ms();
        match write(&*store, record.revision, &stored).await {
            Ok(revision) => {
                *record = Known {
                    revision: Some(revision),
                    stored,
                    at_ms,
                };
            }
            Err(_) => {
                // The write may have taken effect, or another host has written.
                known = None;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the record as it should be. A host that has not watched for long enough confirms what is recorded.
fn current<B>(host: &Host<B>, record: &Known) -> OnlyVersions {
    let age_ms = host.relay.now_ms().saturating_sub(record.at_ms);
    let mut versions = IndexMap::new();
    for service in stream_services(host) {
        let mut evidence = own_evidence(host, &service);
        evidence.stored = only_stored(host, &record.stored, &service, age_ms);
        if let Some(version) = evidence.version() {
            versions.insert(service, version);
        }
    }
    OnlyVersions {
        by_service: versions,
        lifetime_ms: Some(current_lifetime(host, &record.stored, age_ms)),
    }
}

/// Returns the lifetime that the record should have. It falls only when no stream is left that ran when the record
/// was written, as far as this host can know.
fn current_lifetime<B>(host: &Host<B>, stored: &OnlyVersions, age_ms: u64) -> u64 {
    let lifetime_ms = lifetime_ms(host);
    let recorded_ms = stored.lifetime_ms.unwrap_or(0);
    let may_fall = age_ms > recorded_ms && is_lifetime_known(host);
    if may_fall {
        lifetime_ms
    } else {
        lifetime_ms.max(recorded_ms)
    }
}

async fn read<S: ObjectStore>(store: &S, at_ms: u64) -> Result<Known, StoreFault> {
    let object = store
        .read(Kind::Versions, RECORD_NAME, Freshness::Latest)
        .await?;
    Ok(Known {
        revision: object.as_ref().map(|object| object.revision),
        stored: object.as_ref().map(decode).unwrap_or_default(),
        at_ms,
    })
}

async fn write<S: ObjectStore>(
    store: &S,
    expected: Option<u64>,
    stored: &OnlyVersions,
) -> Result<u64, StoreFault> {
    let versions = stored.by_service.iter();
    let versions: IndexMap<&String, u64> = versions.map(|(name, id)| (name, id.0)).collect();
    // Builds before the lifetime was recorded read the versions alone, and drop it when they write.
    let value = json!({ "versions": versions, "lifetime_ms": stored.lifetime_ms });
    store
        .write(Kind::Versions, RECORD_NAME, expected, &value)
        .await
}

fn decode(object: &Object) -> OnlyVersions {
    let field = |name: &str| object.value.as_ref().and_then(|value| value.get(name));
    let versions = field("versions").and_then(Value::as_object);
    let versions = versions.into_iter().flatten();
    let versions = versions.filter_map(|(name, id)| Some((name.clone(), VersionId(id.as_u64()?))));
    OnlyVersions {
        by_service: versions.collect(),
        lifetime_ms: field("lifetime_ms").and_then(Value::as_u64),
    }
}
