//! Messages between entry hosts, encoded with `bincode`.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use yuccacove::gossip::{Item, Push, Reply};
use yuccacove::membership::Record;
use yuccacove::store::Token;
use yuccacove::suspect::{Fingerprint, SuspectReport};

/// Largest message; a copy of a catalogue of the target size takes about 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1_024 * 1_024;
/// Largest number of suspects in one digest.
pub const MAX_SUSPECTS: usize = 8;

/// Path of an exchange: [`ExchangeRequest`] → [`ExchangeResponse`].
pub const EXCHANGE: &str = "/exchange";
/// Path of the second half of an exchange: `Pull` → `Items`.
pub const PULL: &str = "/pull";
/// Path on which a joining host fetches a peer's catalogue: `()` → [`CatalogueCopy`].
pub const COPIES: &str = "/copies";
/// Path on which the host of a repeated order asks about a claim: [`ClaimQuery`] → `ClaimReply`.
pub const CLAIM_RESULT: &str = "/claim-result";

/// Path on which a host asks for a larger share of an entry's limits: [`QuotaRequest`] →
/// [`QuotaGrant`].
pub const QUOTA: &str = "/quota";

/// Asks the owner of an entry's limits for shares of them and renews the slots in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Name of the entry.
    pub entry: String,
    /// Name of the requesting host.
    pub host: String,
    /// Requests wanted; 0 leaves the host's balance as it is.
    pub requests: u32,
    /// Tokens wanted; 0 leaves the host's balance as it is.
    pub tokens: u32,
    /// Slots that running requests of the host use.
    pub slots_in_use: u32,
    /// Slots wanted in addition.
    pub slots: u32,
}

/// Shares of an entry's limits, each valid for `valid_ms`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAmounts {
    /// Requests that may be admitted.
    pub requests: u32,
    /// Tokens of requests that may be admitted.
    pub tokens: u32,
    /// Slots, those in use included.
    pub slots: u32,
    /// Milliseconds from the receipt until the amounts expire.
    pub valid_ms: u64,
}

/// Response to a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaGrant {
    /// The amounts that may be used.
    Granted(QuotaAmounts),
    /// The host has just become the owner and starts to grant after this time in milliseconds.
    NotBefore(u64),
    /// The host is not the owner.
    NotOwner,
}

/// A suspected request on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectOnEngine {
    /// Name of the engine.
    pub engine: String,
    /// Fingerprint of the request's content.
    pub fingerprint: [u8; 16],
    /// Whether it was sent to the engine; until then its host yields to other hosts.
    pub is_sent: bool,
}

/// State of the sender, part of each message of an exchange.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the sender.
    pub sender: String,
    /// Suspects that the sender runs, or is about to run.
    pub running_suspects: Vec<SuspectOnEngine>,
    /// Heartbeats, the sender's own first.
    pub records: Vec<Record>,
    /// Milliseconds since the object API last responded to the sender; `None` before its first
    /// response.
    pub store_seen_ms_ago: Option<u64>,
    /// Suspected requests: fingerprint of the content, lost engines and milliseconds until the
    /// suspicion expires.
    pub suspects: Vec<([u8; 16], u32, u64)>,
}

/// First message of an exchange.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// State of the sender.
    pub digest: Digest,
    /// Catalogue items.
    pub push: Push,
}

/// Response to an [`ExchangeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// State of the sender.
    pub digest: Digest,
    /// Catalogue items.
    pub reply: Reply,
}

/// All catalogue items of a host; `None` while the host itself has not joined.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CatalogueCopy(pub Option<Vec<Item>>);

/// Query about a claim, sent to the host that made it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// Token of the claim.
    pub token: Token,
}

/// Converts a suspect to its form in a digest.
pub fn encode_suspect(report: &SuspectReport) -> ([u8; 16], u32, u64) {
    (
        report.fingerprint.0,
        report.lost_engines,
        report.expires_in_ms,
    )
}

/// Converts a suspect from its form in a digest.
pub fn decode_suspect(
    (fingerprint, lost_engines, expires_in_ms): ([u8; 16], u32, u64),
) -> SuspectReport {
    SuspectReport {
        fingerprint: Fingerprint(fingerprint),
        lost_engines,
        expires_in_ms,
    }
}

/// Encodes a message.
///
/// # Errors
///
/// A human-readable message; not expected for the messages of this module.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, String> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map(Bytes::from)
        .map_err(|e| e.to_string())
}

/// Decodes a message, which must take up all bytes.
///
/// # Errors
///
/// A human-readable message when the bytes are not a message of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, length) =
        bincode::serde::decode_from_slice(bytes, config).map_err(|e| e.to_string())?;
    if length == bytes.len() {
        Ok(message)
    } else {
        Err("trailing bytes".to_owned())
    }
}
