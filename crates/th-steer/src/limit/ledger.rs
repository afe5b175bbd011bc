//! The value in the store that records the grants of one cap's leasable amount to data centres.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::ZoneId;

use crate::limit::Lease;

/// The grant of one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Amount that it may use.
    pub amount: u64,
    /// Amount that it would use if it were granted.
    pub want: u64,
    /// The lease under which the amount is granted, and with which it ends.
    pub lease: Lease,
}

/// All grants of one cap. It is changed only by compare-and-swap.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ledger {
    /// Grants by data centre.
    pub entries: BTreeMap<ZoneId, LedgerEntry>,
}

impl Ledger {
    /// Returns the sum of the grants to data centres other than `zone`.
    pub fn granted_to_others(&self, zone: &ZoneId) -> u64 {
        let mut sum = 0u64;
        for (other, entry) in &self.entries {
            if other != zone {
                sum = sum.saturating_add(entry.amount);
            }
        }
        sum
    }
}

/// Returns the max-min fair share of `total` for `zone`.
///
/// Requests below an equal share are met in full; the larger ones split the rest equally.
pub fn fair_share(total: u64, wants: &BTreeMap<ZoneId, u64>, zone: &ZoneId) -> u64 {
    let mut order = Vec::new();
    for (id, want) in wants {
        order.push((*want, id));
    }
    order.sort();
    let mut left = total;
    let mut count = order.len() as u64;
    for (want, id) in order {
        // The remainder of the division goes to later entries, so that no unit is left over.
        let share = want.min(left / count.max(1));
        if id == zone {
            return share;
        }
        left -= share;
        count -= 1;
    }
    0
}
