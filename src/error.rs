//! The library's error type.

use std::error;
use std::fmt::{self, Display, Formatter};

use crate::code::Code;

/// Result type with this library's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error with a numbered [`Code`] and a human-readable detail.
#[derive(Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    code: Code,
    detail: String,
}

impl Error {
    /// Creates an error. `detail` should name the offending value.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            inner: Box::new(Inner {
                code,
                detail: detail.into(),
            }),
        }
    }

    /// The numbered code.
    pub fn code(&self) -> Code {
        self.inner.code
    }

    /// The human-readable detail.
    pub fn detail(&self) -> &str {
        &self.inner.detail
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}: {}",
            self.code().number(),
            self.code().name(),
            self.detail()
        )
    }
}

impl error::Error for Error {}
