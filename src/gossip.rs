//! Gossip protocol that spreads catalogue object versions between peers, in addition to the store's
//! watch.
//!
//! An exchange has up to four messages. [`Push`] and [`Reply`] carry hot items, which changed
//! recently and are still being pushed, and bucket hashes. If the hashes differ, the reply lists
//! versions of one bucket, and [`Pull`] and [`Items`] transfer the missing items. Each `handle_`
//! method also returns the items that updated this host's state.

use std::mem;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of buckets over which the hashes of all objects are spread.
pub const BUCKETS: usize = 16;
/// Bytes per second that a host may send in exchanges. Over 10 s, including the burst, this stays
/// below 10 KB/s.
pub const BYTES_PER_S: i64 = 9_200;
/// Maximum number of bytes in a burst.
pub const BURST_BYTES: i64 = 6_000;
/// Bytes of a message without items and versions: bucket hashes, HTTP/2 frames, IP and TCP headers.
pub const MESSAGE_BYTES: usize = BUCKETS * 8 + 120;
/// Maximum bytes of the other parts of the digest in each push and reply, such as membership.
pub const DIGEST_BYTES: usize = 512;
// Bytes of the burst that are reserved for pulls. A pull transfers only items that the peer lacks,
// so pulls take precedence when many items have changed.
const PULL_RESERVE_BYTES: i64 = 3_000;
// Number of newest versions of a differing bucket in a reply, and of others from a random position
// in it. Missing versions are nearly always new; the others detect old ones.
const LISTED_NEWEST: usize = 8;
const LISTED_OTHERS: usize = 4;
// Bytes of a listed version: key hash and version.
const LISTED_BYTES: usize = 16;
// Upper bound of an item's bytes besides its key and value.
const ITEM_HEAD_BYTES: usize = 24;
// Pushes in addition to the logarithm of the fleet's size, to compensate for lost messages.
const EXTRA_PUSHES: u32 = 3;
// Number of pushes that a peer which already has the item counts for, because most other peers then
// have it too.
const KNOWN_ITEM_PUSHES: u32 = 3;

/// Catalogue object at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the object.
    pub key: String,
    /// Version in the store.
    pub version: u64,
    /// JSON text of the value; `None` if the object was deleted.
    pub value: Option<String>,
}

impl Item {
    /// Returns an upper bound of the item's size in a message, in bytes.
    pub fn bytes(&self) -> usize {
        ITEM_HEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, String::len)
    }
}

/// First message of an exchange, sent by the host that starts it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Hot items of the sender.
    pub items: Vec<Item>,
    /// Hashes of the keys and versions in each bucket of the sender.
    pub bucket_hashes: [u64; BUCKETS],
}

/// Reply to a [`Push`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Hot items of the replying host that the push did not contain.
    pub items: Vec<Item>,
    /// Indices of the pushed items that the replying host already had.
    pub known: Vec<u8>,
    /// Key hashes and versions of objects in one bucket that differs.
    pub listed: Vec<(u64, u64)>,
}

/// Requests the newer items that a [`Reply`] listed, and carries the items that it listed at older
/// versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Key hashes of the requested items.
    pub wanted: Vec<u64>,
    /// Items that are newer than those of the peer.
    pub items: Vec<Item>,
}

/// Reply to a [`Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Items {
    /// Requested items, as far as the byte limit allows.
    pub items: Vec<Item>,
}

fn bytes_of(items: &[Item]) -> usize {
    items.iter().map(Item::bytes).sum()
}

impl Push {
    /// Returns an upper bound of the message's size in bytes, including the other parts of the
    /// digest.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + DIGEST_BYTES + bytes_of(&self.items)
    }
}

impl Reply {
    /// Returns an upper bound of the message's size in bytes, including the other parts of the
    /// digest.
    pub fn bytes(&self) -> usize {
        let listed = self.listed.len() * LISTED_BYTES;
        MESSAGE_BYTES + DIGEST_BYTES + bytes_of(&self.items) + self.known.len() + listed
    }
}

impl Pull {
    /// Returns an upper bound of the message's size in bytes.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + bytes_of(&self.items) + self.wanted.len() * 8
    }
}

impl Items {
    /// Returns an upper bound of the message's size in bytes.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + bytes_of(&self.items)
    }
}

#[derive(Debug, Clone)]
struct StoredItem {
    item: Item,
    pushes_left: u32,
}

/// Items of one host, with the state of their spread to peers.
#[derive(Debug, Clone)]
pub struct GossipState {
    /// Items by the hash of their key, so that lists of versions need no keys. Collisions of the
    /// 64-bit hash are not expected in any catalogue.
    stored: IndexMap<u64, StoredItem>,
    hot: Vec<u64>,
    bucket_hashes: [u64; BUCKETS],
    pushes: u32,
    /// Bytes that may be sent now; negative after more exchanges than the rate allows.
    available_bytes: i64,
    refilled_ms: u64,
}

impl GossipState {
    /// Creates an empty state for a fleet of `members` hosts.
    pub fn new(members: usize, now_ms: u64) -> Self {
        Self {
            stored: IndexMap::new(),
            hot: Vec::new(),
            bucket_hashes: [0; BUCKETS],
            pushes: push_count(members),
            available_bytes: BURST_BYTES,
            refilled_ms: now_ms,
        }
    }

    /// Adds an item from the store's watch or an announcement, and schedules it to be pushed.
    /// Returns `false` and ignores the item if this host already has the version or a newer one.
    pub fn apply(&mut self, item: Item) -> bool {
        let pushes = self.pushes;
        self.insert(item, pushes)
    }

    /// Adds an item from a full listing of the store without pushing it, because every peer reads
    /// the listing too. Returns `false` and ignores the item if this host already has the version
    /// or a newer one.
    pub fn load(&mut self, item: Item) -> bool {
        self.insert(item, 0)
    }

    /// Returns all items, to initialise a host that joins.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.stored.values().map(|stored| &stored.item)
    }

    /// Returns the hashes of the keys and versions in each bucket.
    pub fn bucket_hashes(&self) -> [u64; BUCKETS] {
        self.bucket_hashes
    }

    /// Starts an exchange with a peer.
    pub fn push(&mut self, now_ms: u64) -> Push {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES + DIGEST_BYTES);
        Push {
            items: self.select_hot(&[]),
            bucket_hashes: self.bucket_hashes,
        }
    }

    /// Handles a peer's push. Returns the reply and the items that updated this host's state.
    /// `seed` selects the bucket and the versions that the reply lists.
    pub fn handle_push(&mut self, push: Push, seed: u64, now_ms: u64) -> (Reply, Vec<Item>) {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES + DIGEST_BYTES);
        let pushed: Vec<u64> = push.items.iter().map(|item| hash(&item.key)).collect();
        let mut known = Vec::new();
        let mut updates = Vec::new();
        for (i, item) in push.items.into_iter().enumerate() {
            if self.apply(item.clone()) {
                updates.push(item);
            } else if let Ok(index) = u8::try_from(i) {
                known.push(index);
                self.reduce_pushes(pushed[i]);
            }
        }
        let items = self.select_hot(&pushed);
        let differing: Vec<usize> = (0..BUCKETS)
            .filter(|&b| self.bucket_hashes[b] != push.bucket_hashes[b])
            .collect();
        let listed = match differing.len() as u64 {
            0 => Vec::new(),
            count => self.list(differing[(seed % count) as usize], seed / count),
        };
        let reply = Reply {
            items,
            known,
            listed,
        };
        (reply, updates)
    }

    /// Handles the reply to `sent`. Returns a pull if either side lacks items that the reply
    /// listed, and the items that updated this host's state.
    pub fn handle_reply(
        &mut self,
        sent: &Push,
        reply: Reply,
        now_ms: u64,
    ) -> (Option<Pull>, Vec<Item>) {
        self.refill(now_ms);
        for position in reply.known {
            if let Some(item) = sent.items.get(usize::from(position)) {
                self.reduce_pushes(hash(&item.key));
            }
        }
        let updates = self.apply_all(reply.items);
        let mut pull = Pull {
            wanted: Vec::new(),
            items: Vec::new(),
        };
        for (key, version) in reply.listed {
            match self.stored.get(&key).map(|stored| stored.item.version) {
                Some(own) if own == version => {}
                Some(own) if own > version => {
                    if let Some(item) = self.charge_item(key) {
                        pull.items.push(item);
                    }
                }
                _ => pull.wanted.push(key),
            }
        }
        if pull.wanted.is_empty() && pull.items.is_empty() {
            return (None, updates);
        }
        self.charge(MESSAGE_BYTES + pull.wanted.len() * 8);
        (Some(pull), updates)
    }

    /// Handles a peer's pull. Returns the requested items and the items that updated this host's
    /// state.
    pub fn handle_pull(&mut self, pull: Pull, now_ms: u64) -> (Items, Vec<Item>) {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES);
        let updates = self.apply_all(pull.items);
        let wanted = pull.wanted.into_iter();
        let items = wanted.filter_map(|key| self.charge_item(key)).collect();
        (Items { items }, updates)
    }

    /// Handles the reply to a pull. Returns the items that updated this host's state.
    pub fn handle_items(&mut self, items: Items) -> Vec<Item> {
        self.apply_all(items.items)
    }

    fn apply_all(&mut self, items: Vec<Item>) -> Vec<Item> {
        let is_update = |item: &Item| self.apply(item.clone());
        items.into_iter().filter(is_update).collect()
    }

    fn insert(&mut self, item: Item, pushes_left: u32) -> bool {
        let key = hash(&item.key);
        let bucket = (key % BUCKETS as u64) as usize;
        if let Some(stored) = self.stored.get(&key) {
            if stored.item.version >= item.version {
                return false;
            }
            self.bucket_hashes[bucket] ^= item_hash(key, stored.item.version);
        }
        self.bucket_hashes[bucket] ^= item_hash(key, item.version);
        if pushes_left > 0 && !self.hot.contains(&key) {
            self.hot.push(key);
        }
        self.stored.insert(key, StoredItem { item, pushes_left });
        true
    }

    /// Returns the hot items that the byte limit allows, least pushed first, except those in
    /// `skip`.
    fn select_hot(&mut self, skip: &[u64]) -> Vec<Item> {
        let mut hot = mem::take(&mut self.hot);
        hot.retain(|key| self.pushes_left(*key) > 0);
        hot.sort_by_key(|key| std::cmp::Reverse(self.pushes_left(*key)));
        let items = hot
            .iter()
            .filter(|key| !skip.contains(key))
            .filter_map(|key| {
                if self.available_bytes < PULL_RESERVE_BYTES {
                    return None;
                }
                let item = self.charge_item(*key)?;
                self.stored[key].pushes_left -= 1;
                Some(item)
            })
            .collect();
        self.hot = hot;
        items
    }

    fn pushes_left(&self, key: u64) -> u32 {
        self.stored.get(&key).map_or(0, |stored| stored.pushes_left)
    }

    fn reduce_pushes(&mut self, key: u64) {
        if let Some(stored) = self.stored.get_mut(&key) {
            stored.pushes_left = stored.pushes_left.saturating_sub(KNOWN_ITEM_PUSHES);
        }
    }

    fn list(&mut self, bucket: usize, seed: u64) -> Vec<(u64, u64)> {
        let mut versions: Vec<(u64, u64)> = self
            .stored
            .iter()
            .filter(|(key, _)| **key % BUCKETS as u64 == bucket as u64)
            .map(|(key, stored)| (*key, stored.item.version))
            .collect();
        versions.sort_by_key(|(_, version)| std::cmp::Reverse(*version));
        let others = versions.split_off(versions.len().min(LISTED_NEWEST));
        if !others.is_empty() {
            let start = (seed % others.len() as u64) as usize;
            let window = others.iter().cycle().skip(start);
            versions.extend(window.take(others.len().min(LISTED_OTHERS)));
        }
        let max_listed = usize::try_from(self.available_bytes).unwrap_or(0) / LISTED_BYTES;
        versions.truncate(max_listed);
        self.charge(versions.len() * LISTED_BYTES);
        versions
    }

    /// Returns the item and charges its bytes, if it is present and the byte limit allows it now.
    /// An item larger than the burst is never sent; peers receive it from the store's watch.
    fn charge_item(&mut self, key: u64) -> Option<Item> {
        let item = self.stored.get(&key)?.item.clone();
        let bytes = i64::try_from(item.bytes()).ok()?;
        if bytes > self.available_bytes {
            return None;
        }
        self.available_bytes -= bytes;
        Some(item)
    }

    fn charge(&mut self, bytes: usize) {
        // The cast cannot wrap: fixed parts and lists are a few kilobytes.
        self.available_bytes -= bytes as i64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms).min(60_000) as i64;
        let refill = elapsed_ms * BYTES_PER_S / 1_000;
        self.available_bytes = (self.available_bytes + refill).min(BURST_BYTES);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}

/// Returns how often a host pushes each hot item in a fleet of `members` hosts.
pub fn push_count(members: usize) -> u32 {
    members.next_power_of_two().trailing_zeros() + EXTRA_PUSHES
}

fn hash(key: &str) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// Returns the hash of one key and version. The hash of a bucket is the XOR of its items' hashes.
fn item_hash(key: u64, version: u64) -> u64 {
    let mixed =
        (key ^ version.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}
