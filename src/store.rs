//! Conditional writes to the store's object API, as plain values for decision logic without I/O.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Unique id of one write, stored in the written value as `writer`. If the response to the write is
/// lost, it shows whether the value in the store comes from that write. Serialised as 16 hex
/// digits.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Token(pub u64);

impl Serialize for Token {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:016x}", self.0))
    }
}

impl<'de> Deserialize<'de> for Token {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map(Self)
            .map_err(de::Error::custom)
    }
}

/// Object as returned by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Stored<T> {
    /// Version of the object's last write; 0 if the object does not exist.
    pub version: u64,
    /// Value of the object; `None` if the object does not exist.
    pub value: Option<T>,
}

/// Write that takes effect only if the object still has the expected version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Write<T> {
    /// Version that the object must have; 0 if it must not exist.
    pub expected: u64,
    /// Value to write.
    pub value: T,
}

/// Result of a [`Write`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteResult<T> {
    /// The write took effect; the object now has this version.
    Written(u64),
    /// The object had another version; this is the current object.
    Conflict(Stored<T>),
    /// No response was received; the write may have taken effect, or may still do so.
    Lost,
}
