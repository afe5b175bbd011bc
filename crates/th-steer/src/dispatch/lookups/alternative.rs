//! A second entry VM in look-up answers.
//!
//! Handles the death of an entry VM that is the only one that its callers were told of. Callers try only addresses that they
//! know, so until the answer expires they reach no VM at all, while others of the region have room.

use std::{collections::BTreeSet, net::SocketAddr};

/// Entry VMs that each answer names at least, if there are as many.
const MIN_VMS: usize = 2;

/// An entry VM that a look-up answer may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Alternative {
    /// Whether it is in another data centre than the caller.
    pub(crate) remote: bool,
    /// Position among its equals, which differs from look-up to look-up.
    pub(crate) turn: u64,
    pub(crate) address: SocketAddr,
}

/// Puts the first of `others` in the place of the last address if all are the same. That is the smallest share of
/// callers that an answer can direct elsewhere.
pub(crate) fn add_alternative(
    addresses: &mut [SocketAddr],
    others: impl FnOnce() -> Vec<Alternative>,
) {
    let named: BTreeSet<SocketAddr> = addresses.iter().copied().collect();
    if MIN_VMS <= named.len() || addresses.len() < MIN_VMS {
        return;
    }
    let others = others().into_iter().filter(|it| !named.contains(&it.address));
    if let (Some(last), Some(other)) = (addresses.last_mut(), others.min()) {
        *last = other.address;
    }
}
