//! Prefix cache of the engine stand-in, whose events are delayed and partly lost.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::answer::BLOCK_TOKENS;

/// Number of past events that clients can still fetch.
const RETAINED_EVENTS: usize = 10_000;

/// Kind of change to the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The prefix is now cached.
    Added,
    /// The prefix is no longer cached.
    Evicted,
}

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Sequence number, from 1; a gap means that events were lost.
    pub seq: u64,
    /// Kind of change.
    pub kind: EventKind,
    /// Hash of the prefix.
    pub prefix: String,
}

#[derive(Debug)]
struct Block {
    parent: Option<String>,
    last_use: u64,
}

/// Cache of blocks with least-recently-used eviction. The key of a block is the hash of the prefix
/// that ends with it.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: HashMap<String, Block>,
    by_use: BTreeMap<u64, String>,
    use_counter: u64,
    seq: u64,
    events: VecDeque<(Instant, Event)>,
    lag: Duration,
    loss_percent: u64,
    random_state: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity_tokens`, rounded down to whole blocks. Its events become visible
    /// after `lag`, except for `loss_percent` of them, which are lost; `seed` determines which.
    pub fn new(capacity_tokens: usize, lag: Duration, loss_percent: u64, seed: u64) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            use_counter: 0,
            seq: 0,
            events: VecDeque::new(),
            lag,
            loss_percent,
            random_state: seed,
        }
    }

    /// Marks the longest cached prefix in `hashes` as used and returns its size in tokens.
    /// `hashes` are in order of increasing prefix length.
    pub fn touch(&mut self, hashes: &[String]) -> usize {
        let cached = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(*hash))
            .count();
        // From the longest prefix to the shortest, so that a prefix is evicted after its
        // extensions.
        for hash in hashes[..cached].iter().rev() {
            self.mark_used(hash);
        }
        cached * BLOCK_TOKENS
    }

    /// Adds prefixes, each of which extends the one before. While the cache is over capacity,
    /// evicts the least recently used ones.
    pub fn insert(&mut self, hashes: &[String], now: Instant) {
        for (index, hash) in hashes.iter().enumerate() {
            if self.blocks.contains_key(hash) {
                continue;
            }
            let parent = index.checked_sub(1).map(|parent| hashes[parent].clone());
            self.use_counter += 1;
            let last_use = self.use_counter;
            self.blocks.insert(hash.clone(), Block { parent, last_use });
            self.by_use.insert(last_use, hash.clone());
            self.emit(EventKind::Added, hash.clone(), now);
        }
        self.touch(hashes);
        while self.blocks.len() > self.capacity_blocks {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            self.blocks.remove(&hash);
            self.emit(EventKind::Evicted, hash, now);
        }
    }

    /// Evicts all blocks.
    pub fn clear(&mut self, now: Instant) {
        self.blocks.clear();
        while let Some((_, hash)) = self.by_use.pop_first() {
            self.emit(EventKind::Evicted, hash, now);
        }
    }

    /// Hashes of the prefixes up to and including `hash`, shortest first; `None` unless all of them
    /// are cached.
    pub fn chain(&self, hash: &str) -> Option<Vec<String>> {
        let mut chain = Vec::new();
        let mut next = Some(hash);
        while let Some(hash) = next {
            let block = self.blocks.get(hash)?;
            chain.push(hash.to_owned());
            next = block.parent.as_deref();
        }
        chain.reverse();
        Some(chain)
    }

    /// Events with a sequence number above `after` that are visible at `now`. All visible events if
    /// `after` is above the last sequence number.
    pub fn events_after(&self, after: u64, now: Instant) -> Vec<Event> {
        // A number above the last one dates from before a restart of the engine.
        let after = if after > self.seq { 0 } else { after };
        self.events
            .iter()
            .filter(|(at, event)| event.seq > after && *at + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Time at which the next event becomes visible; `None` if no event is pending.
    pub fn next_visible(&self, now: Instant) -> Option<Instant> {
        let visible_at = self.events.iter().map(|(at, _)| *at + self.lag);
        visible_at.filter(|at| *at > now).min()
    }

    fn mark_used(&mut self, hash: &str) {
        let Some(block) = self.blocks.get_mut(hash) else {
            return;
        };
        self.by_use.remove(&block.last_use);
        self.use_counter += 1;
        block.last_use = self.use_counter;
        self.by_use.insert(self.use_counter, hash.to_owned());
    }

    fn emit(&mut self, kind: EventKind, prefix: String, now: Instant) {
        self.seq += 1;
        if self.next_random() % 100 < self.loss_percent {
            return;
        }
        let seq = self.seq;
        self.events.push_back((now, Event { seq, kind, prefix }));
        if self.events.len() > RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// The splitmix64 generator.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
