//! Spread of catalogue object versions between peers, beside the store's watch.
//!
//! An exchange has up to four messages: [`Push`] and [`Reply`] carry hot items and bucket hashes;
//! when buckets differ, the reply lists versions, and [`Pull`] and [`Items`] fill the gaps. Each
//! `answer` and `take` method also returns the items that were news to this host.

use std::mem;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Buckets over which the hashes of all objects are spread.
pub const BUCKETS: usize = 16;
/// Bytes a second that a host may send in exchanges. Over 10 s, and with the burst, this stays
/// below 10 KB/s.
pub const BYTES_PER_S: i64 = 9_200;
/// Bytes that a host may save up.
pub const BURST_BYTES: i64 = 6_000;
/// Bytes of a message beside items and versions: bucket hashes, HTTP/2 frames, IP and TCP headers.
pub const MESSAGE_BYTES: usize = BUCKETS * 8 + 120;
/// Bytes that each push and reply may carry for other parts of the digest, such as membership.
pub const DIGEST_BYTES: usize = 512;
// Saved bytes that pushes leave for pulls. A pull moves only what the peer lacks, so pulls come
// first when many changes compete.
const RESERVE_BYTES: i64 = 3_000;
// Newest versions of a differing bucket in a reply, and others from a random place in it. What a
// host lacks is nearly always new; the others find what was missed long ago.
const LISTED_NEWEST: usize = 8;
const LISTED_OTHERS: usize = 4;
const LISTED_BYTES: usize = 16;
const ITEM_HEAD_BYTES: usize = 24;
// Pushes beyond the logarithm of the fleet's size; they make up for lost messages.
const EXTRA_PUSHES: u32 = 3;
// A peer that already has an item counts as this many pushes: most others then have it too.
const KNOWN_COST: u32 = 3;

/// An object at a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Object's key.
    pub key: String,
    /// Store version.
    pub version: u64,
    /// JSON text of the value; `None` when the object was deleted.
    pub value: Option<String>,
}

impl Item {
    /// Upper bound of the item's size in a message.
    pub fn bytes(&self) -> usize {
        ITEM_HEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, String::len)
    }
}

/// First message of an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Hot items.
    pub items: Vec<Item>,
    /// Hashes over keys and versions.
    pub bucket_hashes: [u64; BUCKETS],
}

/// Answer to a [`Push`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Hot items that the push did not hold.
    pub items: Vec<Item>,
    /// Positions of the pushed items that were no news.
    pub known: Vec<u8>,
    /// Hashes of keys and versions in one bucket that differs.
    pub listed: Vec<(u64, u64)>,
}

/// Asks for items that a [`Reply`] listed, and brings items that it listed at older versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Hashes of the keys that are asked for.
    pub wanted: Vec<u64>,
    /// Items that the peer lacks.
    pub items: Vec<Item>,
}

/// Answer to a [`Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Items {
    /// Items that were asked for, as far as the byte bound admits.
    pub items: Vec<Item>,
}

fn bytes_of(items: &[Item]) -> usize {
    items.iter().map(Item::bytes).sum()
}

impl Push {
    /// Upper bound of the message's size, with the rest of the digest.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + DIGEST_BYTES + bytes_of(&self.items)
    }
}

impl Reply {
    /// Upper bound of the message's size, with the rest of the digest.
    pub fn bytes(&self) -> usize {
        let listed = self.listed.len() * LISTED_BYTES;
        MESSAGE_BYTES + DIGEST_BYTES + bytes_of(&self.items) + self.known.len() + listed
    }
}

impl Pull {
    /// Upper bound of the message's size.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + bytes_of(&self.items) + self.wanted.len() * 8
    }
}

impl Items {
    /// Upper bound of the message's size.
    pub fn bytes(&self) -> usize {
        MESSAGE_BYTES + bytes_of(&self.items)
    }
}

#[derive(Debug, Clone)]
struct Held {
    item: Item,
    pushes_left: u32,
}

/// All items of one host and what it still pushes.
#[derive(Debug, Clone)]
pub struct GossipState {
    /// By hash of the key, so that lists of versions need no keys. Two keys with the same 64 bits
    /// are not expected in any catalogue.
    held: IndexMap<u64, Held>,
    hot: Vec<u64>,
    bucket_hashes: [u64; BUCKETS],
    pushes: u32,
    /// Bytes that may be sent now; negative after more exchanges than usual.
    saved_bytes: i64,
    refilled_ms: u64,
}

impl GossipState {
    /// Starts without items in a fleet of `members` hosts.
    pub fn new(members: usize, now_ms: u64) -> Self {
        Self {
            held: IndexMap::new(),
            hot: Vec::new(),
            bucket_hashes: [0; BUCKETS],
            pushes: push_count(members),
            saved_bytes: BURST_BYTES,
            refilled_ms: now_ms,
        }
    }

    /// Takes an item from the store or an announcement. Returns whether it is news, and then
    /// pushes it; older versions are ignored.
    pub fn apply(&mut self, item: Item) -> bool {
        let pushes = self.pushes;
        self.insert(item, pushes)
    }

    /// Takes an item of a whole list from the store, which every peer reads as well, so that it is
    /// not pushed.
    pub fn load(&mut self, item: Item) -> bool {
        self.insert(item, 0)
    }

    /// All items, for a host that joins.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.held.values().map(|held| &held.item)
    }

    /// Hashes over keys and versions.
    pub fn bucket_hashes(&self) -> [u64; BUCKETS] {
        self.bucket_hashes
    }

    /// Opens an exchange with a peer.
    pub fn push(&mut self, now_ms: u64) -> Push {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES + DIGEST_BYTES);
        Push {
            items: self.take_hot(&[]),
            bucket_hashes: self.bucket_hashes,
        }
    }

    /// Answers a peer's push.
    pub fn handle_push(&mut self, push: Push, seed: u64, now_ms: u64) -> (Reply, Vec<Item>) {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES + DIGEST_BYTES);
        let pushed: Vec<u64> = push.items.iter().map(|item| hash(&item.key)).collect();
        let mut known = Vec::new();
        let mut news = Vec::new();
        for (i, item) in push.items.into_iter().enumerate() {
            if self.apply(item.clone()) {
                news.push(item);
            } else if let Ok(position) = u8::try_from(i) {
                known.push(position);
                self.cool(pushed[i]);
            }
        }
        let items = self.take_hot(&pushed);
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
        (reply, news)
    }

    /// Takes the answer to `sent`. A pull follows when the reply shows a gap on either side.
    pub fn handle_reply(
        &mut self,
        sent: &Push,
        reply: Reply,
        now_ms: u64,
    ) -> (Option<Pull>, Vec<Item>) {
        self.refill(now_ms);
        for position in reply.known {
            if let Some(item) = sent.items.get(usize::from(position)) {
                self.cool(hash(&item.key));
            }
        }
        let news = self.take(reply.items);
        let mut pull = Pull {
            wanted: Vec::new(),
            items: Vec::new(),
        };
        for (key, version) in reply.listed {
            match self.held.get(&key).map(|held| held.item.version) {
                Some(own) if own == version => {}
                Some(own) if own > version => {
                    if let Some(item) = self.afford(key) {
                        pull.items.push(item);
                    }
                }
                _ => pull.wanted.push(key),
            }
        }
        if pull.wanted.is_empty() && pull.items.is_empty() {
            return (None, news);
        }
        self.charge(MESSAGE_BYTES + pull.wanted.len() * 8);
        (Some(pull), news)
    }

    /// Answers a peer's pull.
    pub fn handle_pull(&mut self, pull: Pull, now_ms: u64) -> (Items, Vec<Item>) {
        self.refill(now_ms);
        self.charge(MESSAGE_BYTES);
        let news = self.take(pull.items);
        let wanted = pull.wanted.into_iter();
        let items = wanted.filter_map(|key| self.afford(key)).collect();
        (Items { items }, news)
    }

    /// Takes the answer to a pull.
    pub fn handle_items(&mut self, items: Items) -> Vec<Item> {
        self.take(items.items)
    }

    fn take(&mut self, items: Vec<Item>) -> Vec<Item> {
        let apply = |item: &Item| self.apply(item.clone());
        items.into_iter().filter(apply).collect()
    }

    fn insert(&mut self, item: Item, pushes_left: u32) -> bool {
        let key = hash(&item.key);
        let bucket = (key % BUCKETS as u64) as usize;
        if let Some(held) = self.held.get(&key) {
            if held.item.version >= item.version {
                return false;
            }
            self.bucket_hashes[bucket] ^= item_hash(key, held.item.version);
        }
        self.bucket_hashes[bucket] ^= item_hash(key, item.version);
        if pushes_left > 0 && !self.hot.contains(&key) {
            self.hot.push(key);
        }
        self.held.insert(key, Held { item, pushes_left });
        true
    }

    /// Hot items that the byte bound admits, least pushed first, without those in `skip`.
    fn take_hot(&mut self, skip: &[u64]) -> Vec<Item> {
        let mut hot = mem::take(&mut self.hot);
        hot.retain(|key| self.pushes_left(*key) > 0);
        hot.sort_by_key(|key| std::cmp::Reverse(self.pushes_left(*key)));
        let items = hot
            .iter()
            .filter(|key| !skip.contains(key))
            .filter_map(|key| {
                if self.saved_bytes < RESERVE_BYTES {
                    return None;
                }
                let item = self.afford(*key)?;
                self.held[key].pushes_left -= 1;
                Some(item)
            })
            .collect();
        self.hot = hot;
        items
    }

    fn pushes_left(&self, key: u64) -> u32 {
        self.held.get(&key).map_or(0, |held| held.pushes_left)
    }

    fn cool(&mut self, key: u64) {
        if let Some(held) = self.held.get_mut(&key) {
            held.pushes_left = held.pushes_left.saturating_sub(KNOWN_COST);
        }
    }

    fn list(&mut self, bucket: usize, seed: u64) -> Vec<(u64, u64)> {
        let mut versions: Vec<(u64, u64)> = self
            .held
            .iter()
            .filter(|(key, _)| **key % BUCKETS as u64 == bucket as u64)
            .map(|(key, held)| (*key, held.item.version))
            .collect();
        versions.sort_by_key(|(_, version)| std::cmp::Reverse(*version));
        let others = versions.split_off(versions.len().min(LISTED_NEWEST));
        if !others.is_empty() {
            let start = (seed % others.len() as u64) as usize;
            let window = others.iter().cycle().skip(start);
            versions.extend(window.take(others.len().min(LISTED_OTHERS)));
        }
        let affordable = usize::try_from(self.saved_bytes).unwrap_or(0) / LISTED_BYTES;
        versions.truncate(affordable);
        self.charge(versions.len() * LISTED_BYTES);
        versions
    }

    /// The item, if it is held and its bytes may be sent now. An item above the burst is never
    /// sent; the store's watch carries it.
    fn afford(&mut self, key: u64) -> Option<Item> {
        let item = self.held.get(&key)?.item.clone();
        let bytes = i64::try_from(item.bytes()).ok()?;
        if bytes > self.saved_bytes {
            return None;
        }
        self.saved_bytes -= bytes;
        Some(item)
    }

    fn charge(&mut self, bytes: usize) {
        // Fixed parts and lists are a few kilobytes.
        self.saved_bytes -= bytes as i64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms).min(60_000) as i64;
        let refill = elapsed_ms * BYTES_PER_S / 1_000;
        self.saved_bytes = (self.saved_bytes + refill).min(BURST_BYTES);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}

/// Times that a host pushes a hot item in a fleet of `members` hosts.
pub fn push_count(members: usize) -> u32 {
    members.next_power_of_two().trailing_zeros() + EXTRA_PUSHES
}

fn hash(key: &str) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// Hash of one key and version; a bucket's hash is the exclusive or of its items' hashes.
fn item_hash(key: u64, version: u64) -> u64 {
    let mixed =
        (key ^ version.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}
