//! Changes of objects as relays send them to other hosts.

use serde::{Deserialize, Serialize};

use crate::ports::{Object, Objects};

/// Maximum size of the objects in one datagram, which with its other fields stays below the smallest
/// common packet size. Entries of backends have about 250 bytes.
pub const MAX_BATCH_BYTES: usize = 1_280;
/// Size of an object's fields besides its name and value, at most.
const OBJECT_OVERHEAD_BYTES: usize = 24;
/// Maximum number of datagrams for the changes of one watch. If there are more changes, none is
/// relayed and the hosts read them from the store.
pub const MAX_BATCHES: usize = 16;

/// All changes of one kind with revisions after `from` up to and including `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Index of the kind of objects.
    pub kind: usize,
    /// Revision after which the changes begin.
    pub from: u64,
    /// Revision up to which all changes are there.
    pub to: u64,
    /// Latest state of each object that changed.
    pub objects: Vec<RelayedObject>,
}

/// An object as it is relayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedObject {
    /// Its name.
    pub name: String,
    /// Revision of its latest change.
    pub revision: u64,
    /// Whether it was removed.
    pub is_removed: bool,
    /// Content as JSON text; `None` if it cannot be decoded.
    pub value: Option<String>,
}

impl RelayedObject {
    /// Size in a datagram in bytes, at most.
    pub fn size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, String::len);
        self.name.len() + value + OBJECT_OVERHEAD_BYTES
    }
}

impl From<Batch> for Objects {
    fn from(batch: Batch) -> Self {
        let objects = batch.objects.into_iter().map(|relayed| Object {
            name: relayed.name,
            revision: relayed.revision,
            // Text that is not JSON counts as content that cannot be decoded.
            value: relayed
                .value
                .and_then(|text| serde_json::from_str(&text).ok()),
            is_removed: relayed.is_removed,
        });
        Self {
            objects: objects.collect(),
            revision: batch.to,
            unreadable: 0,
        }
    }
}

/// Splits the changes that a watch since `from` returned into datagrams; returns none if there are
/// too many changes or some are too large. Objects with the same revision stay together: a host
/// that has received one of them counts as having all changes up to that revision.
pub fn batches(kind: usize, from: u64, changes: &Objects) -> Vec<Batch> {
    let mut objects: Vec<RelayedObject> = changes.objects.iter().map(relayed_object).collect();
    objects.sort_by_key(|object| object.revision);
    let mut batches: Vec<Batch> = Vec::new();
    let mut bytes = 0;
    for group in objects.chunk_by(|a, b| a.revision == b.revision) {
        let group_bytes: usize = group.iter().map(RelayedObject::size).sum();
        if group_bytes > MAX_BATCH_BYTES {
            return Vec::new();
        }
        let to = group[0].revision;
        bytes += group_bytes;
        match batches.last_mut() {
            Some(batch) if bytes <= MAX_BATCH_BYTES => {
                batch.objects.extend_from_slice(group);
                batch.to = to;
            }
            last => {
                let from = last.map_or(from, |batch| batch.to);
                let objects = group.to_vec();
                batches.push(Batch {
                    kind,
                    from,
                    to,
                    objects,
                });
                bytes = group_bytes;
            }
        }
    }
    if batches.len() > MAX_BATCHES {
        return Vec::new();
    }
    batches
}

/// Returns an object in the form in which it is relayed.
pub fn relayed_object(object: &Object) -> RelayedObject {
    RelayedObject {
        name: object.name.clone(),
        revision: object.revision,
        is_removed: object.is_removed,
        value: object.value.as_ref().map(ToString::to_string),
    }
}
