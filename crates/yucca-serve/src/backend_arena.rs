//! Records of backends, whose keys stay safe to use after the record was removed.

use std::net::{Ipv4Addr, SocketAddr};

use yuccacove::prompt_placement::Phase;

use crate::directory::{Backend, BackendEntry};

/// Id of the record that stands for removed ones.
const REMOVED_ID: &str = "removed";

/// Key of a backend in the directory. Keys of removed records are not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot {
    /// Number of records that were removed from this slot.
    generation: u32,
    backend: Option<Backend>,
}

/// Records of backends.
#[derive(Debug)]
pub(crate) struct BackendArena {
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// Stands for the removed records. A key may outlive its record for as long as a request waits
    /// without being sent; a call to this address fails before it is sent.
    removed: Backend,
}

impl Default for BackendArena {
    fn default() -> Self {
        let entry = BackendEntry {
            service: String::new(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            zone: String::new(),
            is_draining: true,
            phase: Phase::Decode,
            is_spot: false,
            leaves_ms: None,
            software: "".into(),
            started_ms: 0,
        };
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            removed: Backend::new(REMOVED_ID, 0, entry),
        }
    }
}

impl BackendArena {
    pub(crate) fn get(&self, key: BackendKey) -> &Backend {
        self.find(key).unwrap_or(&self.removed)
    }

    pub(crate) fn get_mut(&mut self, key: BackendKey) -> &mut Backend {
        let slot = self.slots.get_mut(key.index as usize);
        let slot = slot.filter(|slot| slot.generation == key.generation);
        let backend = slot.and_then(|slot| slot.backend.as_mut());
        backend.unwrap_or(&mut self.removed)
    }

    fn find(&self, key: BackendKey) -> Option<&Backend> {
        let slot = self.slots.get(key.index as usize)?;
        let backend = slot.backend.as_ref();
        backend.filter(|_| slot.generation == key.generation)
    }

    pub(crate) fn insert(&mut self, backend: Backend) -> BackendKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                backend: None,
            });
            u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
        });
        let slot = &mut self.slots[index as usize];
        slot.backend = Some(backend);
        BackendKey {
            index,
            generation: slot.generation,
        }
    }

    pub(crate) fn remove(&mut self, key: BackendKey) -> Option<Backend> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let removed = slot.backend.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(removed)
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        let slots = self.slots.iter_mut();
        slots.filter_map(|slot| slot.backend.as_mut())
    }

    /// Returns the keys of all records.
    pub(crate) fn keys(&self) -> Vec<BackendKey> {
        let slots = self.slots.iter().zip(0..);
        let used = slots.filter(|(slot, _)| slot.backend.is_some());
        let keys = used.map(|(slot, index)| BackendKey {
            index,
            generation: slot.generation,
        });
        keys.collect()
    }
}
