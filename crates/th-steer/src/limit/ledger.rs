//! The value in the store that records who holds how much of one cap's leased remainder.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use th_protocol::ZoneId;

use crate::limit::Lease;

/// What one data centre holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// What it may spend.
    pub amount: u64,
    /// What it would spend if it could.
    pub want: u64,
    /// The lease that the amount ends with.
    pub lease: Lease,
}

/// All grants of one cap. It is only ever changed by compare-and-swap.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ledger {
    /// The holders.
    pub entries: BTreeMap<ZoneId, LedgerEntry>,
}

impl Ledger {
    /// The sum of what data centres other than `zone` hold.
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

/// Max-min fair_share share of `total` for `zone`: small wants are met, the rest is split equally.
pub fn fair_share(total: u64, wants: &BTreeMap<ZoneId, u64>, zone: &ZoneId) -> u64 {
    let mut order = Vec::new();
    for (id, want) in wants {
        order.push((*want, id));
    }
    order.sort();
    let mut left = total;
    let mut count = order.len() as u64;
    for (want, id) in order {
        // Rounded up for the later ones, so that no unit stays unclaimed.
        let share = want.min(left / count.max(1));
        if id == zone {
            return share;
        }
        left -= share;
        count -= 1;
    }
    0
}
