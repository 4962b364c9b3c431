//! Journal in the store of the versions of streams, for a loss of all hosts at once.
//!
//! It is written only while hosts tell each other the versions of their streams. One host of each group,
//! the fresh relay of the lowest rank, writes what the group's hosts have told, several times a second
//! and in one call. The objects of a group form a ring, of which each holds the streams of some seconds;
//! the oldest is replaced. Hosts read all objects when nobody answers for a stream.

use std::rc::Rc;

use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::time::{Duration, Instant, sleep};
use yuccacove::stream_version::{StreamId, VersionId};

use crate::host::Host;
use crate::ports::{Freshness, Kind, Object, ObjectStore, StoreFault};
use crate::stream_versions::{self, ListedVersions, lifetime_ms};

/// Interval between two writes. Streams that began within it before a loss of all hosts are lost, and many
/// streams that run at a moment began a few hundred milliseconds before.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The same while only one version has been there for [`QUIET_MS`].
const QUIET_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which few streams of the version before run.
const QUIET_MS: u64 = 5_000;
/// Shortest time between two reads of the journal.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Objects of a group. All but one cover the lifetime of a stream.
const SLOTS: u64 = 8;
/// Prefix of the names of the objects, before the group and the number of the slot.
const PREFIX: &str = "streams";

/// The slot that is being filled.
#[derive(Debug)]
struct OpenSlot {
    number: usize,
    since: Instant,
    streams: IndexMap<StreamId, VersionId>,
}

/// Writes the journal of this host's group.
#[derive(Debug)]
struct Writer {
    /// Revision of the object in each slot; `None` if there is none.
    revisions: [Option<u64>; SLOTS as usize],
    open: Option<OpenSlot>,
}

/// Writes the journal while that is this host's part, and reads it when a request needs it, for as long as
/// the process lives.
pub async fn keep<B, S: ObjectStore>(host: Rc<Host<B>>, store: Rc<S>) {
    let mut writer: Option<Writer> = None;
    let mut last_read: Option<Instant> = None;
    loop {
        let interval = if stream_versions::has_several_versions(&host, QUIET_MS) {
            WRITE_INTERVAL
        } else {
            QUIET_INTERVAL
        };
        let is_wanted = tokio::select! {
            () = host.streams.journal_wanted.notified() => true,
            () = sleep(interval) => false,
        };
        let result = if is_wanted {
            let is_due = last_read.is_none_or(|at| at.elapsed() >= MIN_READ_INTERVAL);
            let listed = list_versions(&host, &*store).await;
            let result = if is_due && listed.is_ok() {
                last_read = Some(Instant::now());
                read(&host, &*store).await.map(|_| ())
            } else {
                listed
            };
            host.streams.journal_read.notify_waiters();
            result
        } else if host.relay.is_lowest_relay() && host.streams.has_unwritten() {
            write(&host, &*store, &mut writer).await
        } else {
            Ok(())
        };
        if result.is_err() {
            // The write may have taken effect, or another host has written.
            writer = None;
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Lists the engines' versions, which confirms what this host knows of them.
async fn list_versions<B, S: ObjectStore>(host: &Host<B>, store: &S) -> Result<(), StoreFault> {
    let at_ms = host.now_ms();
    let listing = store.list(Kind::BackEnds, Freshness::Latest).await?;
    let mut versions = ListedVersions::new();
    let present = listing.objects.iter().filter(|object| !object.is_removed);
    for entry in present.filter_map(|object| store.backend(object)) {
        let version = stream_versions::version_id(&entry.software);
        versions.entry(entry.service).or_default().push(version);
    }
    host.streams.set_listed(at_ms, versions);
    Ok(())
}

/// Reads the journal of all groups, remembers its streams and returns its objects.
async fn read<B, S: ObjectStore>(host: &Host<B>, store: &S) -> Result<Vec<Object>, StoreFault> {
    let objects = store.list(Kind::Streams, Freshness::Latest).await?.objects;
    for object in &objects {
        for (stream, version) in decode(object) {
            stream_versions::remember_told(host, stream, version);
        }
    }
    Ok(objects)
}

async fn write<B, S: ObjectStore>(
    host: &Host<B>,
    store: &S,
    writer: &mut Option<Writer>,
) -> Result<(), StoreFault> {
    if writer.is_none() {
        let objects = read(host, store).await?;
        *writer = Some(Writer::new(host, &objects));
    }
    let Some(writer) = writer else {
        return Ok(());
    };
    let now_ms = host.now_ms();
    let lifetime_ms = lifetime_ms(host);
    let streams = host
        .streams
        .take_unwritten(now_ms.saturating_sub(lifetime_ms));
    if streams.is_empty() {
        return Ok(());
    }
    let span = Duration::from_millis(lifetime_ms / (SLOTS - 1));
    let open = writer.open_slot(span);
    open.streams.extend(streams);
    let (number, value) = (open.number, encode(&open.streams));
    let name = slot_name(host, number);
    let expected = writer.revisions[number];
    match store.write(Kind::Streams, &name, expected, &value).await {
        Ok(revision) => {
            writer.revisions[number] = Some(revision);
            Ok(())
        }
        Err(fault) => {
            let unwritten = writer.open.take().map(|open| open.streams);
            host.streams
                .add_unwritten(unwritten.unwrap_or_default(), now_ms);
            Err(fault)
        }
    }
}

impl Writer {
    /// Starts with the objects that the store has.
    fn new<B>(host: &Host<B>, objects: &[Object]) -> Self {
        let revisions = std::array::from_fn(|number| {
            let name = slot_name(host, number);
            let object = objects.iter().find(|object| object.name == name);
            object.map(|object| object.revision)
        });
        Self {
            revisions,
            open: None,
        }
    }

    /// Returns the slot to fill. After `span` it is the one that was written least recently.
    fn open_slot(&mut self, span: Duration) -> &mut OpenSlot {
        let is_full = |open: &OpenSlot| open.since.elapsed() >= span;
        if self.open.as_ref().is_some_and(is_full) {
            self.open = None;
        }
        let revisions = &self.revisions;
        self.open.get_or_insert_with(|| {
            let oldest = (0..revisions.len()).min_by_key(|number| revisions[*number]);
            OpenSlot {
                number: oldest.unwrap_or(0),
                since: Instant::now(),
                streams: IndexMap::new(),
            }
        })
    }
}

fn slot_name<B>(host: &Host<B>, number: usize) -> String {
    format!("{PREFIX}.{}.{number}", host.peers.group_name(host))
}

fn encode(streams: &IndexMap<StreamId, VersionId>) -> Value {
    let mut by_version: IndexMap<String, String> = IndexMap::new();
    for (stream, version) in streams {
        let ids = by_version.entry(format!("{:016x}", version.0)).or_default();
        ids.push_str(&format!("{:016x}", stream.0));
    }
    json!({ "streams": by_version })
}

fn decode(object: &Object) -> Vec<(StreamId, VersionId)> {
    let parse = |text: &str| u64::from_str_radix(text, 16).ok();
    let value = object.value.as_ref().and_then(|value| value.get("streams"));
    let by_version = value.and_then(Value::as_object).into_iter().flatten();
    let mut streams = Vec::new();
    for (version, ids) in by_version {
        let (Some(version), Some(ids)) = (parse(version), ids.as_str()) else {
            continue;
        };
        let ids = ids.as_bytes().chunks(16);
        let ids = ids.filter_map(|id| parse(str::from_utf8(id).ok()?));
        streams.extend(ids.map(|id| (StreamId(id), VersionId(version))));
    }
    streams
}
