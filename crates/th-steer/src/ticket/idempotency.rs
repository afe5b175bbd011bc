//! The idempotency key, by which a caller identifies an operation.

use std::{fmt, str::FromStr, sync::Arc};

use th_protocol::Reason;
use thiserror::Error;

/// Result of parsing an idempotency key.
pub(crate) type Result<T, E = KeyError> = std::result::Result<T, E>;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is empty.
    #[error("an idempotency key must not be empty")]
    Empty,
    /// The text is longer than [`MAX_KEY_BYTES`].
    #[error("an idempotency key has at most {MAX_KEY_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The text has a character other than printable ASCII without spaces.
    #[error("an idempotency key has only printable ASCII characters without spaces, got {0:?}")]
    InvalidCharacter(char),
}

impl KeyError {
    /// Returns the reason code to send to the caller; the request was not run.
    pub fn reason(self) -> Reason {
        match self {
            KeyError::Empty => Reason::NoKey,
            KeyError::TooLong(_) | KeyError::InvalidCharacter(_) => Reason::BadRequest,
        }
    }
}

/// Identifies one operation among those under the same ticket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<IdempotencyKey> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if MAX_KEY_BYTES < text.len() {
            return Err(KeyError::TooLong(text.len()));
        }
        if let Some(c) = text.chars().find(|c| !c.is_ascii_graphic()) {
            return Err(KeyError::InvalidCharacter(c));
        }
        Ok(IdempotencyKey(Arc::from(text)))
    }
}
