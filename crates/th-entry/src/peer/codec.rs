//! Encodes and decodes messages.

use serde::{Serialize, de::DeserializeOwned};

/// The result of decoding a message.
pub(crate) type Result<T, E = rmp_serde::decode::Error> = std::result::Result<T, E>;

/// Largest accepted control message, in bytes. The largest part of a bundle fits.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Encodes a message. Fields are identified by their order, not by their names.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages are plain data")
}

/// Decodes a message.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes)
}
