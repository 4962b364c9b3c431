//! The catalogue that all tasks of a host share, and its replication to peers by gossip.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use serde_json::Value;
use yucca_io::clock::boot_ms;
use yucca_io::log;
use yuccacove::catalogue::{Applied, Catalogue, KEY_PREFIXES, Object};
use yuccacove::event::Event;
use yuccacove::gossip::{GossipState, Item, Items, Pull, Push, Reply};

/// Whether a new version of an object is announced to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Propagation {
    /// The version comes from a full listing, which peers read as well, or from a peer, which
    /// announces it itself.
    Skip,
    /// The version comes from a watch or an announcement.
    Announce,
}

/// A catalogue that tasks read through snapshots.
pub struct SharedCatalogue {
    current: RwLock<Arc<Catalogue>>,
    gossip: Mutex<GossipState>,
}

impl SharedCatalogue {
    /// Creates an empty catalogue in a fleet of `hosts` hosts.
    pub fn new(hosts: usize) -> Self {
        Self {
            current: RwLock::default(),
            gossip: Mutex::new(GossipState::new(hosts, boot_ms())),
        }
    }

    /// The active catalogue.
    pub fn snapshot(&self) -> Arc<Catalogue> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies an object's value, or its deletion, unless `version` is stale. Keys outside the
    /// catalogue are ignored; invalid values are logged and ignored.
    pub fn apply(
        &self,
        key: &str,
        version: u64,
        value: Option<&Value>,
        propagation: Propagation,
    ) -> Applied {
        if !KEY_PREFIXES.iter().any(|prefix| key.starts_with(prefix)) {
            return Applied::Stale;
        }
        let object = match value.map(|value| Object::parse(key, value)) {
            None => None,
            Some(Ok(object)) => object,
            Some(Err(error)) => {
                log::write(
                    Event::CatalogueInvalid,
                    &format!("key={key} version={version} detail={:?}", error.detail()),
                );
                return Applied::Stale;
            }
        };
        {
            let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
            let active_version = current.version(key);
            if active_version >= version {
                if active_version > version {
                    log::write(
                        Event::CatalogueStale,
                        &format!("key={key} version={version} in_force={active_version}"),
                    );
                }
                return Applied::Stale;
            }
            Arc::make_mut(&mut current).apply(key, version, object);
        }
        log::write(
            Event::CatalogueChanged,
            &format!("key={key} version={version}"),
        );
        let item = Item {
            key: key.to_owned(),
            version,
            value: value.map(Value::to_string),
        };
        match propagation {
            Propagation::Skip => self.gossip().load(item),
            Propagation::Announce => self.gossip().apply(item),
        };
        Applied::Newer
    }

    /// Removes the objects below `prefix` that are missing from a full listing at `revision`.
    pub fn remove_absent(&self, prefix: &str, present: &HashSet<&str>, revision: u64) {
        let absent: Vec<String> = self
            .snapshot()
            .iter()
            .filter(|(key, version, object)| {
                key.starts_with(prefix)
                    && object.is_some()
                    && *version < revision
                    && !present.contains(key)
            })
            .map(|(key, ..)| key.to_owned())
            .collect();
        for key in absent {
            self.apply(&key, revision, None, Propagation::Skip);
        }
    }

    /// Returns the push that starts an exchange with a peer.
    pub fn push(&self) -> Push {
        self.gossip().push(boot_ms())
    }

    /// Handles a peer's push and returns the reply.
    pub fn handle_push(&self, push: Push, seed: u64) -> Reply {
        let (reply, updates) = self.gossip().handle_push(push, seed, boot_ms());
        self.apply_items(&updates);
        reply
    }

    /// Applies the reply to the push `sent`; returns the pull to send next, if any.
    pub fn handle_reply(&self, sent: &Push, reply: Reply) -> Option<Pull> {
        let (pull, updates) = self.gossip().handle_reply(sent, reply, boot_ms());
        self.apply_items(&updates);
        pull
    }

    /// Handles a peer's pull and returns the items.
    pub fn handle_pull(&self, pull: Pull) -> Items {
        let (items, updates) = self.gossip().handle_pull(pull, boot_ms());
        self.apply_items(&updates);
        items
    }

    /// Applies the items received for a pull.
    pub fn handle_items(&self, items: Items) {
        let updates = self.gossip().handle_items(items);
        self.apply_items(&updates);
    }

    /// All items, for a host that joins.
    pub fn all_items(&self) -> Vec<Item> {
        self.gossip().items().cloned().collect()
    }

    /// Applies all items of a peer's catalogue.
    pub fn receive_copy(&self, items: Vec<Item>) {
        self.apply_items(&items);
    }

    fn apply_items(&self, items: &[Item]) {
        for item in items {
            let value = item.value.as_deref().map(serde_json::from_str);
            match value.transpose() {
                Ok(value) => {
                    self.apply(&item.key, item.version, value.as_ref(), Propagation::Skip);
                }
                Err(e) => log::write(
                    Event::CatalogueInvalid,
                    &format!("key={} version={} detail={e}", item.key, item.version),
                ),
            }
        }
    }

    fn gossip(&self) -> MutexGuard<'_, GossipState> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
