//! Faults of requests to a backend.

use std::fmt::{self, Display, Formatter};

use yuccacove::retry::Failure;

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No connection was opened; nothing was sent.
    NotConnected(String),
    /// The engine serves another model version and ran nothing.
    WrongVersion,
    /// The backend responded with this error status.
    Status(u16),
    /// No progress within the time limit on an open connection.
    Silent,
    /// The connection closed or carried invalid data before the response was complete.
    Broken(String),
    /// This host has no memory for the response.
    NoMemory,
    /// The response belongs to another request.
    Crossed(String),
}

impl Fault {
    /// Returns the fault of a request that broke on a kept connection with `cause`, and for which no other
    /// connection could be opened because of `error`. The backend may have run it, and may even have ended
    /// because of it.
    pub fn broken_and_not_connected(cause: &str, error: &str) -> Self {
        Self::Broken(format!("{cause}; then not connected: {error}"))
    }

    /// Whether a part of the request may have been executed.
    pub fn reached_backend(&self) -> bool {
        !matches!(self, Self::NotConnected(_) | Self::WrongVersion)
    }

    /// Class of the fault in the retry rules.
    pub fn failure(&self) -> Failure {
        match self {
            Self::NotConnected(_) => Failure::Unreachable,
            Self::WrongVersion => Failure::Refused,
            Self::Status(_) => Failure::Failed,
            Self::Silent => Failure::Silent,
            Self::Broken(_) | Self::NoMemory => Failure::Broken,
            Self::Crossed(_) => Failure::Crossed,
        }
    }

    /// Kind of the fault, used as a metrics label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotConnected(_) => "not_connected",
            Self::WrongVersion => "wrong_version",
            Self::Status(_) => "status",
            Self::Silent => "silent",
            Self::Broken(_) => "broken",
            Self::NoMemory => "no_memory",
            Self::Crossed(_) => "crossed",
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(detail) => write!(f, "not connected: {detail}"),
            Self::WrongVersion => write!(f, "another model version"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Silent => write!(f, "no progress"),
            Self::Broken(detail) => write!(f, "broken: {detail}"),
            Self::NoMemory => write!(f, "this host's memory for responses is in use"),
            Self::Crossed(detail) => write!(f, "crossed: {detail}"),
        }
    }
}
