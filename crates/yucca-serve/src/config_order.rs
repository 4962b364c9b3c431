//! Order of configurations when the store is restored from a copy.
//!
//! Versions rise, but after a restore the operator may write the next configuration with any
//! version, and the one in the copy is older than the active one.

use indexmap::IndexSet;

use crate::revision::era_of;

/// Maximum number of configurations that are remembered.
const MAX_KNOWN: usize = 64;

/// Decides which configurations are newer than the active one.
#[derive(Debug, Default)]
pub struct ConfigOrder {
    /// Revision of the latest configuration that the operator wrote, as far as it is known.
    written_revision: u64,
    /// Revision up to which the host has all changes.
    known_revision: u64,
    /// Hashes of the contents of the configurations that were active.
    known_contents: IndexSet<u64>,
}

impl ConfigOrder {
    /// Whether the configuration `version`, whose object has the revision `revision` and a content
    /// with the hash `content`, is newer than the active one with the version `active`.
    pub fn is_newer(
        &mut self,
        version: u64,
        revision: u64,
        content: u64,
        active: Option<u64>,
    ) -> bool {
        if revision < self.written_revision {
            return false;
        }
        let is_higher = active.is_none_or(|active| version > active);
        // The first configuration that the host sees after a restore is the one of the copy, unless
        // its version is higher. Any later one was written after the restore, but the operator may
        // write those again that the store has lost, one after the other.
        let is_after_copy = era_of(self.known_revision) == era_of(revision)
            && era_of(self.written_revision) < era_of(revision)
            && revision > self.known_revision;
        let is_known = self.known_contents.contains(&content);
        let is_newer = is_higher || (is_after_copy && !is_known);
        if is_newer {
            self.written_revision = revision;
            self.known_contents.insert(content);
            let excess = self.known_contents.len().saturating_sub(MAX_KNOWN);
            self.known_contents.drain(..excess);
        }
        is_newer
    }

    /// Records that the host has all changes up to `revision`.
    pub fn record(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }
}
