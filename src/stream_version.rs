//! At which software version a stream has to go on that its caller resumes.
//!
//! What engines of two versions write does not fit together, so that a stream may go on only at the
//! version that began it. Hosts remember the versions of the streams that began lately. What nobody
//! remembers can be inferred if engines had only one version for as long as any stream lasts.

use indexmap::IndexMap;

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 50_000;

/// Identifies a software version by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct VersionId(pub u64);

/// Identifies a stream by a hash of the id of the try that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamId(pub u64);

/// The versions that the engines of a service had, with the time at which each was last there.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct VersionHistory {
    last_ms: IndexMap<VersionId, u64>,
}

impl VersionHistory {
    /// Records that an engine of a version was there until `at_ms`.
    pub fn record(&mut self, version: VersionId, at_ms: u64) {
        let last_ms = self.last_ms.entry(version).or_default();
        *last_ms = at_ms.max(*last_ms);
    }

    /// Returns the versions that were there after `since_ms`.
    pub fn since(&self, since_ms: u64) -> impl Iterator<Item = VersionId> {
        let versions = self.last_ms.iter();
        versions
            .filter(move |(_, last_ms)| **last_ms > since_ms)
            .map(|(version, _)| *version)
    }
}

/// A stream that began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stream {
    version: VersionId,
    recorded_ms: u64,
}

/// The versions of the streams that began lately, in the order in which this host learnt of them.
#[derive(Debug, Default)]
pub struct StreamVersions {
    streams: IndexMap<StreamId, Stream>,
}

impl StreamVersions {
    /// Records the version of a stream, and forgets those that were recorded before `forgotten_ms`.
    pub fn record(&mut self, id: StreamId, version: VersionId, now_ms: u64, forgotten_ms: u64) {
        let stream = Stream {
            version,
            recorded_ms: now_ms,
        };
        self.streams.shift_remove(&id);
        self.streams.insert(id, stream);
        let is_old = |stream: &Stream| stream.recorded_ms < forgotten_ms;
        let old = self.streams.values().take_while(|stream| is_old(stream));
        let excess = self.streams.len().saturating_sub(MAX_STREAMS);
        let forgotten = old.count().max(excess);
        self.streams.drain(..forgotten);
    }

    /// Returns the version of a stream; `None` if it is not known.
    pub fn find(&self, id: StreamId) -> Option<VersionId> {
        self.streams.get(&id).map(|stream| stream.version)
    }

    /// Iterates over the streams with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (StreamId, VersionId)> {
        self.streams
            .iter()
            .map(|(id, stream)| (*id, stream.version))
    }
}

/// What a host knows of the version of a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Version that a host has recorded for the stream.
    pub recorded: Option<VersionId>,
    /// Versions of the service's engines within the lifetime of a stream, as far as this host has
    /// watched them.
    pub present: Vec<VersionId>,
    /// Whether this host has watched the engines for the lifetime of a stream.
    pub has_watched: bool,
    /// The only version within that time, as another host has watched it.
    pub vouched: Option<VersionId>,
    /// The only version within that time, as a host has written into the store.
    pub stored: Option<VersionId>,
}

impl Evidence {
    /// Returns the version at which the stream has to go on; `None` if that is not known.
    pub fn version(&self) -> Option<VersionId> {
        if self.recorded.is_some() {
            return self.recorded;
        }
        let [only] = self.present.as_slice() else {
            return None;
        };
        let is_proven = self.has_watched || [self.vouched, self.stored].contains(&Some(*only));
        is_proven.then_some(*only)
    }
}
