//! Hashes of prompt prefixes, and changes of an engine's prefix cache.

use std::fmt::{self, Display, Formatter};
use std::hash::Hasher;
use std::str::FromStr;

/// Number of words in a block of a prompt. Cached prefixes end at block boundaries.
pub const BLOCK_WORDS: usize = 64;

/// Hash of a prompt prefix of one or more whole blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Returns the hashes of the first 64, 128, ... words of a prompt, shortest prefix first. Words
    /// are joined by one space before hashing.
    pub fn of_prompt(prompt: &str) -> Vec<Self> {
        let mut hasher = blake3::Hasher::new();
        let mut hashes = Vec::new();
        for (index, word) in prompt.split_whitespace().enumerate() {
            if index > 0 {
                hasher.update(b" ");
            }
            hasher.update(word.as_bytes());
            if (index + 1) % BLOCK_WORDS == 0 {
                let mut first = [0; 8];
                first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
                hashes.push(Self(u64::from_be_bytes(first)));
            }
        }
        hashes
    }
}

impl Display for PrefixHash {
    /// Formats the hash as 16 hex digits, as in the cache events of engines.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PrefixHash {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Hasher that returns a prefix hash unchanged. Prefix hashes are uniform already, and a routing
/// decision looks up hundreds of them for a long prompt.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PrefixHasher(u64);

impl Hasher for PrefixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix was added to the cache.
    Added(PrefixHash),
    /// The prefix was evicted from the cache.
    Evicted(PrefixHash),
}

/// Whether a cache event directly follows the event before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// No event is missing.
    Complete,
    /// Events are missing, so the cache state before this event is unknown.
    Gap,
}
