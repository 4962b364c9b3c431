//! Urgency ranks of requests.

use serde::{Deserialize, Serialize};

/// Urgency of a catalogue entry's requests, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// A person is waiting for the answer.
    Urgent,
    /// The answer is expected within the session.
    Standard,
    /// Nobody is waiting; the request may run when load is low.
    Background,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Background];

    /// Returns the position in [`Rank::ALL`]; 0 is the most urgent. Engines receive it as the
    /// request's priority.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name that is used in the catalogue and as a metrics label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Background => "background",
        }
    }
}
