//! A digest that distinguishes requests with the same idempotency key.

use sha2::{Digest, Sha256};

/// Digest of a request: its operation, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the digest of the parts in their order.
    ///
    /// Each part's length is hashed too, so that moving bytes between parts changes the digest.
    pub fn of(parts: &[&[u8]]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut short = [0; 16];
        short.copy_from_slice(&hash.finalize()[..16]);
        Fingerprint(short)
    }
}
