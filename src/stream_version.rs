//! At which software version a stream has to go on that its caller resumes.
//!
//! What engines of two versions write does not fit together, so that a stream may go on only at the
//! version that began it. Hosts remember the versions of the streams that began lately. What nobody
//! remembers can be inferred if engines had only one version for as long as any stream lasts.

use std::collections::BTreeSet;

use indexmap::IndexMap;

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 50_000;

/// Identifies a software version by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct VersionId(pub u64);

/// Identifies a stream by a hash of the id of the try that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
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

    /// Forgets the versions that were last there before `before_ms`.
    pub fn forget(&mut self, before_ms: u64) {
        self.last_ms.retain(|_, last_ms| *last_ms >= before_ms);
    }

    /// Whether no version is known.
    pub fn is_empty(&self) -> bool {
        self.last_ms.is_empty()
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
    /// Time until which it may be resumed.
    until_ms: u64,
}

/// The versions of the streams that may be resumed.
#[derive(Debug, Default)]
pub struct StreamVersions {
    streams: IndexMap<StreamId, Stream>,
    /// The streams by the time until which they may be resumed. A stream keeps the time that it was given,
    /// however short those are that begin later.
    by_end: BTreeSet<(u64, StreamId)>,
}

impl StreamVersions {
    /// Records the version of a stream that may be resumed until `until_ms`, and forgets those that may not any
    /// more.
    pub fn record(&mut self, id: StreamId, version: VersionId, until_ms: u64, now_ms: u64) {
        let mut until_ms = until_ms;
        if let Some(known) = self.streams.get(&id) {
            self.by_end.remove(&(known.until_ms, id));
            until_ms = until_ms.max(known.until_ms);
        }
        self.streams.insert(id, Stream { version, until_ms });
        self.by_end.insert((until_ms, id));
        while let Some((until_ms, id)) = self.by_end.first().copied()
            && (until_ms < now_ms || self.by_end.len() > MAX_RECORDS)
        {
            self.by_end.pop_first();
            self.streams.swap_remove(&id);
        }
    }

    /// Returns the version of a stream; `None` if it is not known.
    pub fn find(&self, id: StreamId) -> Option<VersionId> {
        self.streams.get(&id).map(|stream| stream.version)
    }

    /// Iterates over the streams with their versions, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (StreamId, VersionId)> {
        self.streams
            .iter()
            .map(|(id, stream)| (*id, stream.version))
    }
}

/// What tells the version of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// A host recorded it when the stream began.
    Recorded,
    /// This host has watched the engines, and there was no other.
    Watched,
    /// Another host has.
    ObservedByPeer,
    /// The record in the store says that there was no other.
    Stored,
}

impl Basis {
    /// Returns the name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Watched => "watched",
            Self::ObservedByPeer => "peer",
            Self::Stored => "store",
        }
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
    pub observed_by_peer: Option<VersionId>,
    /// The only version within that time, as a host has written into the store.
    pub stored: Option<VersionId>,
    /// Versions of the service's engines as the store listed them after the stream was resumed; `None` if it
    /// could not be asked.
    pub listed: Option<Vec<VersionId>>,
    /// Whether this host had all changes of the engines a moment ago.
    pub is_current: bool,
    /// Whether this host knows of no other one.
    pub is_alone: bool,
}

impl Evidence {
    /// Returns the version at which the stream has to go on; `None` if that is not known.
    pub fn version(&self) -> Option<VersionId> {
        self.version_with_basis().map(|(version, _)| version)
    }

    /// As [`Evidence::version`], with what tells it.
    pub fn version_with_basis(&self) -> Option<(VersionId, Basis)> {
        if let Some(recorded) = self.recorded {
            return Some((recorded, Basis::Recorded));
        }
        let [only] = self.present.as_slice() else {
            return None;
        };
        let basis = if self.has_watched {
            Basis::Watched
        } else if self.observed_by_peer == Some(*only) {
            Basis::ObservedByPeer
        } else if self.stored == Some(*only) {
            Basis::Stored
        } else {
            return None;
        };
        Some((*only, basis))
    }

    /// As [`Evidence::version`], for a stream that is resumed now. What this host has seen may be out of date without
    /// its knowing, as when it stood still or was cut off while engines of another version joined: the
    /// store, or another host, has to confirm it.
    pub fn confirmed_version(&self) -> Option<VersionId> {
        let version = self.version()?;
        let is_confirmed = match &self.listed {
            _ if self.recorded.is_some() => true,
            Some(listed) => listed.iter().all(|listed| *listed == version),
            None => {
                let is_vouched = self.is_alone || self.observed_by_peer == Some(version);
                self.has_watched && self.is_current && is_vouched
            }
        };
        is_confirmed.then_some(version)
    }
}

/// The services whose engines had one version only for as long as any stream lasts, as a host has written it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OnlyVersions {
    /// That version, by the name of the service.
    pub by_service: IndexMap<String, VersionId>,
    /// Longest lifetime of a stream that ran when this was written; `None` if an earlier build wrote it, which
    /// takes the limits in force for those of all streams, or if nobody did.
    pub lifetime_ms: Option<u64>,
}

impl OnlyVersions {
    /// Returns the only version of a service, if that reaches back far enough. The host read or wrote this `age_ms`
    /// ago and has watched the engines since, a stream that runs may have begun `span_ms` ago, and the limits in
    /// force let one live for `in_force_ms`.
    pub fn find(
        &self,
        service: &str,
        age_ms: u64,
        span_ms: u64,
        in_force_ms: u64,
    ) -> Option<VersionId> {
        let lifetime_ms = self.lifetime_ms.unwrap_or(in_force_ms);
        let is_covered = span_ms <= lifetime_ms.saturating_add(age_ms);
        self.by_service.get(service).copied().filter(|_| is_covered)
    }
}
