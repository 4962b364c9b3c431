//! Changes that fit into no datagram, such as a configuration with many organisations.
//!
//! Hosts read such changes from the store themselves. A host that the store turns away requests them
//! from one relay, part by part: sent unasked to all hosts of a group, they would fill the relays' links.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::relay_batch::{Batch, MAX_BATCH_BYTES, RelayedObject};

/// Maximum size of a change that is kept for others, encoded. A larger one is read from the store only.
const MAX_CHANGE_BYTES: usize = 256 * 1_024;
/// Maximum number of parts of a change.
const MAX_PARTS: u16 = MAX_CHANGE_BYTES.div_ceil(MAX_BATCH_BYTES) as u16;
/// Maximum number of parts in the answer to one request. On a link of 10 Mbit/s they take 16 ms.
const MAX_ANSWERED_PARTS: usize = 16;

/// Number of requests without an answer after which the change is requested from another relay.
const MAX_UNANSWERED: u32 = 3;

/// Request for parts of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Hash of the sender's name.
    pub sender: u64,
    /// Index of the kind of objects.
    pub kind: usize,
    /// Revision up to which the sender has all changes.
    pub since: u64,
    /// Revision of the change that the missing parts belong to; 0 if none is known.
    pub to: u64,
    /// Indices of the parts that the sender lacks; all if it is empty.
    pub missing: Vec<u16>,
}

/// A part of an encoded change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the sender's name.
    pub sender: u64,
    /// Index of the kind of objects.
    pub kind: usize,
    /// Revision up to which the change reaches.
    pub to: u64,
    /// Index of the part.
    pub index: u16,
    /// Number of parts of the change.
    pub count: u16,
    /// Content of the part.
    pub bytes: Vec<u8>,
}

/// The changes of a kind that a relay keeps in one piece, once one of them fitted into no datagram.
#[derive(Debug, Default)]
pub struct KeptChange {
    /// Latest state of each object that has changed since the first change that is kept.
    merged: Option<Batch>,
}

impl KeptChange {
    /// Whether changes are kept, to which later ones are to be added whatever their size.
    pub fn is_kept(&self) -> bool {
        self.merged.is_some()
    }

    /// Adds the change `next`, which continues from the one before. If all together are too large, only
    /// this one is kept.
    pub fn record(&mut self, next: Batch) {
        let merged = self.merged.take().map(|kept| merge(kept, &next));
        let fits = |batch: &Batch| size(batch) <= MAX_CHANGE_BYTES;
        self.merged = merged.filter(fits).or_else(|| Some(next).filter(fits));
    }

    /// Returns the parts that answer a request, sent by the host `sender`; none if the change does not
    /// lead on from what the requesting host has.
    pub fn parts(&self, request: &PartRequest, sender: u64) -> Vec<Part> {
        let Some(batch) = &self.merged else {
            return Vec::new();
        };
        if batch.from > request.since || batch.to <= request.since {
            return Vec::new();
        }
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(batch, config).unwrap_or_default();
        let chunks: Vec<&[u8]> = bytes.chunks(MAX_BATCH_BYTES).collect();
        let Some(count) = u16::try_from(chunks.len()).ok().filter(|n| *n <= MAX_PARTS) else {
            return Vec::new();
        };
        let is_wanted = |index: &u16| {
            let is_other = request.to != batch.to || request.missing.is_empty();
            is_other || request.missing.contains(index)
        };
        let wanted = (0..count).filter(is_wanted).take(MAX_ANSWERED_PARTS);
        let part = |index: u16| Part {
            sender,
            kind: batch.kind,
            to: batch.to,
            index,
            count,
            bytes: chunks[usize::from(index)].to_vec(),
        };
        wanted.map(part).collect()
    }
}

/// Returns the change that leads from before `kept` to after `next`.
fn merge(kept: Batch, next: &Batch) -> Batch {
    let mut objects: BTreeMap<String, RelayedObject> = BTreeMap::new();
    for object in kept.objects.into_iter().chain(next.objects.iter().cloned()) {
        objects.insert(object.name.clone(), object);
    }
    Batch {
        kind: kept.kind,
        from: kept.from,
        to: next.to,
        objects: objects.into_values().collect(),
    }
}

fn size(batch: &Batch) -> usize {
    batch.objects.iter().map(RelayedObject::size).sum()
}

/// The parts of a change that a host has received so far, all from one relay.
#[derive(Debug)]
pub struct Assembly {
    /// Hash of the name of the relay.
    pub sender: u64,
    /// Revision up to which the change reaches.
    pub to: u64,
    count: u16,
    parts: BTreeMap<u16, Vec<u8>>,
    /// Requests since the latest part.
    unanswered: u32,
}

impl Assembly {
    /// Starts with the part that arrived first; `None` if no relay sends such a part.
    pub fn begin(part: Part) -> Option<Self> {
        if part.count > MAX_PARTS {
            return None;
        }
        let mut assembly = Self {
            sender: part.sender,
            to: part.to,
            count: part.count,
            parts: BTreeMap::new(),
            unanswered: 0,
        };
        assembly.add(part);
        Some(assembly)
    }

    /// Whether a part belongs to this change.
    pub fn accepts(&self, part: &Part) -> bool {
        (self.sender, self.to, self.count) == (part.sender, part.to, part.count)
    }

    /// Adds a part that belongs to this change.
    pub fn add(&mut self, part: Part) {
        if part.index < self.count {
            self.parts.insert(part.index, part.bytes);
            self.unanswered = 0;
        }
    }

    /// Whether the relay has left several requests without an answer.
    pub fn is_stalled(&self) -> bool {
        self.unanswered >= MAX_UNANSWERED
    }

    /// Returns the indices of the parts to request now; none if all are there.
    pub fn next_request(&mut self) -> Vec<u16> {
        self.unanswered += 1;
        let missing = (0..self.count).filter(|index| !self.parts.contains_key(index));
        missing.take(MAX_ANSWERED_PARTS).collect()
    }

    /// Returns the change once all of its parts are there; `None` also if they cannot be decoded.
    pub fn change(&self) -> Option<Batch> {
        if self.parts.len() < usize::from(self.count) {
            return None;
        }
        let bytes: Vec<u8> = self.parts.values().flatten().copied().collect();
        let config = bincode::config::standard().with_limit::<MAX_CHANGE_BYTES>();
        let decoded = bincode::serde::decode_from_slice(&bytes, config);
        decoded.ok().map(|(batch, _)| batch)
    }
}
