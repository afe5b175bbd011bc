//! The rule by which a VM takes a bundle or leaves it.

use th_protocol::BundleHead;

/// What the head of a bundle means to a VM that holds another, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadOrder {
    /// A higher version: to be fetched, checked and applied.
    Newer,
    /// The one that is held.
    Same,
    /// A lower version, which is never applied.
    Older,
    /// The version that is held, with other content: refused and reported.
    Conflict,
}

/// Compares a head with the one that is held.
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
