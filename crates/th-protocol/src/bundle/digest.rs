//! SHA-256 digests of manifests and parts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use serde_bytes::ByteArray;
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// The result of parsing a digest.
pub(crate) type Result<T, E = DigestError> = std::result::Result<T, E>;

/// An error from parsing a digest: the text is not a SHA-256 digest in hex.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("expected a digest of 64 hex digits: {0}")]
pub struct DigestError(#[from] hex::FromHexError);

/// A SHA-256 digest. Written in hex as text, and as 32 raw bytes in binary messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// Creates the digest that consists of these bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Digest {
        Digest(bytes)
    }

    /// Returns the raw bytes.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Digest> {
        let mut raw = [0; 32];
        hex::decode_to_slice(text, &mut raw)?;
        Ok(Digest(raw))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        let bytes = ByteArray::<32>::deserialize(deserializer)?;
        Ok(Digest(bytes.into_array()))
    }
}
