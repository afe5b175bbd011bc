//! The rule by which a VM accepts or rejects a bundle.

use th_protocol::BundleHead;

/// How the head of a bundle compares to the bundle in force, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadOrder {
    /// A higher version, which is to be fetched, checked and applied.
    Newer,
    /// The bundle in force.
    Same,
    /// A lower version, which is never applied.
    Older,
    /// The version in force with different content, which is rejected and reported.
    Conflict,
}

/// Compares a head with the one in force.
pub fn compare_heads(in_force: Option<BundleHead>, seen: BundleHead) -> HeadOrder {
    let Some(in_force) = in_force else { return HeadOrder::Newer };
    if in_force == seen {
        return HeadOrder::Same;
    }
    if in_force.version == seen.version {
        return HeadOrder::Conflict;
    }
    if in_force.version < seen.version { HeadOrder::Newer } else { HeadOrder::Older }
}
