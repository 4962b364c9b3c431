//! Hashes that are the same on all hosts.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a hash of `value` that is the same in all processes of one build. Another version of the
/// standard library may compute another hash.
pub fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
