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
pub fn compare_heads(held: Option<BundleHead>, seen: BundleHead) -> HeadOrder {
    let Some(held) = held else { return HeadOrder::Newer };
    if held == seen {
        return HeadOrder::Same;
    }
    if held.version == seen.version {
        return HeadOrder::Conflict;
    }
    if held.version < seen.version { HeadOrder::Newer } else { HeadOrder::Older }
}
