//! The rule by which a VM takes a bundle or leaves it.

use th_protocol::BundleHead;

/// What the head of a bundle means to a VM that holds another, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Meaning {
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
pub fn judge(held: Option<BundleHead>, seen: BundleHead) -> Meaning {
    let Some(held) = held else { return Meaning::Newer };
    if held == seen {
        return Meaning::Same;
    }
    if held.version == seen.version {
        return Meaning::Conflict;
    }
    if held.version < seen.version { Meaning::Newer } else { Meaning::Older }
}
