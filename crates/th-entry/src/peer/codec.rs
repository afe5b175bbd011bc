//! Messages as bytes.

use serde::{Serialize, de::DeserializeOwned};

/// The result of reading a message.
pub(crate) type Result<T, E = rmp_serde::decode::Error> = std::result::Result<T, E>;

/// Largest control message that is read, in bytes; a bundle's part fits.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// The message as bytes; fields go by their order, not by their names.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages are plain data")
}

/// Reads a message.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes)
}
