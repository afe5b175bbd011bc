//! Keys by which callers identify their organisations.

use std::{fmt, str::FromStr};

use sha2::{Digest, Sha256};
use thiserror::Error;

/// The result of parsing a digest.
pub(crate) type Result<T, E = KeyDigestError> = std::result::Result<T, E>;

/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The text is not a digest of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct KeyDigestError;

/// SHA-256 digest of a key. The key itself is kept nowhere.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Returns the bucket of the digest in a table of `count` buckets.
    pub(crate) fn bucket(&self, count: usize) -> usize {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        (u64::from_le_bytes(prefix) % count.max(1) as u64) as usize
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).map_err(|_| KeyDigestError)?;
        Ok(KeyDigest(digest))
    }
}
