//! A digest that tells two requests under one key apart.

use sha2::{Digest, Sha256};

/// Digest of a request: its operation, its path and its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The digest of the parts in their order; each part's length counts.
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
