//! The catalogue that all tasks of a host share, and its spread to peers.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use serde_json::Value;
use yucca_io::clock::boot_ms;
use yucca_io::log;
use yuccacove::catalogue::{Applied, Catalogue, KEY_PREFIXES, Object};
use yuccacove::event::Event;
use yuccacove::rumour::{Item, Items, Pull, Push, Reply, Rumours};

/// Where a version came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Propagation {
    /// A whole list, which peers read as well, or a peer, which spreads it itself.
    Skip,
    /// A watch or an announcement; peers are told.
    Announce,
}

/// A catalogue of which readers take snapshots.
pub struct SharedCatalogue {
    current: RwLock<Arc<Catalogue>>,
    rumours: Mutex<Rumours>,
}

impl SharedCatalogue {
    /// An empty catalogue in a fleet of `hosts`.
    pub fn new(hosts: usize) -> Self {
        Self {
            current: RwLock::default(),
            rumours: Mutex::new(Rumours::new(hosts, boot_ms())),
        }
    }

    /// The catalogue in force now.
    pub fn snapshot(&self) -> Arc<Catalogue> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Offers an object's value, or its deletion, at `version`. Keys outside the catalogue are
    /// ignored.
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
            let in_force = current.version(key);
            if in_force >= version {
                if in_force > version {
                    log::write(
                        Event::CatalogueStale,
                        &format!("key={key} version={version} in_force={in_force}"),
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
            Propagation::Skip => self.rumours().load(item),
            Propagation::Announce => self.rumours().learn(item),
        };
        Applied::Newer
    }

    /// Removes the objects below `prefix` that a list at `revision` no longer holds.
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

    /// Opens an exchange with a peer.
    pub fn push(&self) -> Push {
        self.rumours().push(boot_ms())
    }

    /// Answers a peer's push.
    pub fn handle_push(&self, push: Push, seed: u64) -> Reply {
        let (reply, news) = self.rumours().answer(push, seed, boot_ms());
        self.apply_items(&news);
        reply
    }

    /// Takes the answer to a push; a pull may follow.
    pub fn receive_reply(&self, sent: &Push, reply: Reply) -> Option<Pull> {
        let (pull, news) = self.rumours().take_reply(sent, reply, boot_ms());
        self.apply_items(&news);
        pull
    }

    /// Answers a peer's pull.
    pub fn handle_pull(&self, pull: Pull) -> Items {
        let (items, news) = self.rumours().answer_pull(pull, boot_ms());
        self.apply_items(&news);
        items
    }

    /// Takes the answer to a pull.
    pub fn receive_items(&self, items: Items) {
        let news = self.rumours().take_items(items);
        self.apply_items(&news);
    }

    /// All items, for a host that joins.
    pub fn all_items(&self) -> Vec<Item> {
        self.rumours().items().cloned().collect()
    }

    /// Takes a peer's copies.
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

    fn rumours(&self) -> MutexGuard<'_, Rumours> {
        self.rumours.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
