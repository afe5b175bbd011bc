//! Compression of large messages between entry VMs, whose links may be narrow.

use std::io::{self, Read, Write};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use th_protocol::Bytes;
use thiserror::Error;

/// The result of packing or unpacking a message.
pub(crate) type Result<T, E = PackingError> = std::result::Result<T, E>;

/// Name of the encoding in `accept-encoding` and `content-encoding`.
pub(crate) const ENCODING: &str = "deflate";
/// Size in bytes from which packing saves more time on a link than it takes.
pub(crate) const MIN_PACKED: usize = 32 << 10;

/// Reason why a message could not be packed or unpacked.
#[derive(Debug, Error)]
pub(crate) enum PackingError {
    /// It is not in the encoding.
    #[error("{0}")]
    Malformed(#[from] io::Error),
    /// It is too large.
    #[error("larger than the limit of {0}")]
    TooLarge(Bytes),
}

/// Packs a message.
pub(crate) fn pack(message: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(message)?;
    Ok(encoder.finish()?)
}

/// Unpacks a message of up to `limit` bytes.
pub(crate) fn unpack(packed: &[u8], limit: usize) -> Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(limit as u64 + 1);
    decoder.read_to_end(&mut message)?;
    if limit < message.len() {
        return Err(PackingError::TooLarge(Bytes(limit as u64)));
    }
    Ok(message)
}
