//! Where a bundle lies in the platform's service, and the sizes that it must keep.

use crate::Digest;

/// The key of the signed manifest that is in force.
pub const HEAD: &str = "bundle/head";
/// What the keys of all parts start with.
pub const PART_PREFIX: &str = "part/";
/// Largest part, in bytes: the largest value that the platform's service holds.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// Earlier manifests whose digests the head names.
pub const MAX_EARLIER_HEADS: usize = 16;

/// Changes of operators that the head carries.
pub const MAX_OPERATOR_CHANGES: usize = 16;

/// The key of a part.
pub fn part_key(digest: &Digest) -> String {
    format!("{PART_PREFIX}{digest}")
}
