//! Digests of a bundle's parts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use serde_bytes::ByteArray;
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// The result of reading a digest.
pub(crate) type Result<T, E = DigestError> = std::result::Result<T, E>;

/// The text is not a SHA-256 digest in hex.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("a digest is 64 hex digits: {0}")]
pub struct DigestError(#[from] hex::FromHexError);

/// A SHA-256 digest, shown in hex. In binary messages it is its 32 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// The digest with these bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> Digest {
        Digest(bytes)
    }

    /// The raw bytes.
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
