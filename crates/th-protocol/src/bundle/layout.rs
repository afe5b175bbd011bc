//! Keys of a bundle in the platform's store, and limits on its sizes.

use crate::Digest;

/// The key of the signed manifest that is in force.
pub const HEAD: &str = "bundle/head";
/// The prefix of the keys of all parts.
pub const PART_PREFIX: &str = "part/";
/// Largest part, in bytes: the largest value that the platform's store accepts.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// Largest number of earlier manifests whose digests the head lists.
pub const MAX_EARLIER_HEADS: usize = 16;

/// Largest number of operator changes that the head holds.
pub const MAX_OPERATOR_CHANGES: usize = 16;

/// Returns the key of a part.
pub fn part_key(digest: &Digest) -> String {
    format!("{PART_PREFIX}{digest}")
}
