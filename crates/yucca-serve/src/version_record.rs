//! Record in the store of the services whose engines have had only one software version for as long as
//! any stream lasts.
//!
//! The holder of the lease on engine roles writes it, once when a version appears and once when it has
//! been the only one for long enough. A host that has just started reads it once.

use std::rc::Rc;

use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::time::{Duration, sleep};

use crate::host::Host;
use crate::ports::{Freshness, Kind, Object, ObjectStore, StoreFault};
use crate::roles::RoleLease;
use crate::stream_versions::{OnlyVersions, own_evidence, stream_services};
use yuccacove::stream_version::VersionId;

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
    versions: OnlyVersions,
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
        if std::mem::replace(&mut era, store.era()) != store.era() {
            known = None;
        }
        let is_holder = lease.authority().is_some();
        if is_wanted || (is_holder && known.is_none()) {
            match read(&*store).await {
                Ok(record) => {
                    let read_ms = host.relay.now_ms();
                    host.streams.set_stored(read_ms, record.versions.clone());
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
        let versions = only_versions(&host, &record.versions);
        if versions == record.versions && record.revision.is_some() {
            continue;
        }
        match write(&*store, record.revision, &versions).await {
            Ok(revision) => {
                *record = Known {
                    revision: Some(revision),
                    versions,
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

/// Returns the only version of each service. A host that has not watched for long enough confirms what is
/// recorded.
fn only_versions<B>(host: &Host<B>, recorded: &OnlyVersions) -> OnlyVersions {
    let mut versions = OnlyVersions::new();
    for service in stream_services(host) {
        let mut evidence = own_evidence(host, &service);
        evidence.stored = recorded.get(&service).copied();
        if let Some(version) = evidence.version() {
            versions.insert(service, version);
        }
    }
    versions
}

async fn read<S: ObjectStore>(store: &S) -> Result<Known, StoreFault> {
    let object = store
        .read(Kind::Versions, RECORD_NAME, Freshness::Latest)
        .await?;
    Ok(object.as_ref().map(decode).unwrap_or_default())
}

async fn write<S: ObjectStore>(
    store: &S,
    expected: Option<u64>,
    versions: &OnlyVersions,
) -> Result<u64, StoreFault> {
    let versions = versions.iter();
    let versions: IndexMap<&String, u64> = versions.map(|(name, id)| (name, id.0)).collect();
    let value = json!({ "versions": versions });
    store
        .write(Kind::Versions, RECORD_NAME, expected, &value)
        .await
}

fn decode(object: &Object) -> Known {
    let value = object
        .value
        .as_ref()
        .and_then(|value| value.get("versions"));
    let versions = value.and_then(Value::as_object).into_iter().flatten();
    let versions = versions.filter_map(|(name, id)| Some((name.clone(), VersionId(id.as_u64()?))));
    Known {
        revision: Some(object.revision),
        versions: versions.collect(),
    }
}
