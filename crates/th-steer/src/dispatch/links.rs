//! Limits on the share of callers by the network links of entry VMs.
//!
//! Handles data centres that have many slots but entry VMs with small links. A nearly full link delays every answer
//! that passes it, so look-ups direct callers beyond a link's capacity to other VMs.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Bytes, Millis, Time, VmId, ZoneId};

use super::record::EntryRecord;

/// Fraction of a link that callers may be planned to use: traffic fluctuates by half its mean, and the store's updates
/// use the same link.
const PLANNED_UTILISATION: f64 = 0.5;
/// Time constant of the averages; callers take several seconds to follow a changed share.
const AVERAGING_TIME: Millis = Millis(4_000);
/// Minimum share of the callers from which the total traffic is extrapolated.
const MIN_SHARE: f64 = 0.01;

/// This VM's traffic, from which the traffic of all entry VMs is estimated.
#[derive(Debug, Clone, Default)]
pub(crate) struct Traffic {
    transferred: Bytes,
    at: Option<Time>,
    /// Bytes a millisecond in one direction.
    rate: f64,
    /// Share of all callers that look-ups direct to this VM.
    share: f64,
}

impl Traffic {
    /// Counts bytes that passed this VM's link in one direction.
    pub(crate) fn add(&mut self, bytes: Bytes) {
        self.transferred += bytes;
    }

    /// Updates the averages; `share` is the share of callers that look-ups now direct to this VM.
    pub(crate) fn tick(&mut self, share: f64, now: Time) {
        let Some(last) = self.at.replace(now) else {
            (self.transferred, self.share) = (Bytes::ZERO, share);
            return;
        };
        let span = now.since(last).0 as f64;
        if span <= 0.0 {
            return;
        }
        let weight = 1.0 - (-span / AVERAGING_TIME.0 as f64).exp();
        let transferred = std::mem::take(&mut self.transferred).0 as f64;
        self.rate += (transferred / span - self.rate) * weight;
        self.share += (share - self.share) * weight;
    }

    /// Estimated bytes a millisecond of all entry VMs together; `None` while there is too little data.
    fn total(&self) -> Option<f64> {
        (MIN_SHARE <= self.share && 0.0 < self.rate).then(|| self.rate / self.share)
    }

    /// The largest share of all callers that a VM's link can carry.
    pub(crate) fn cap(&self, entry: &EntryRecord) -> f64 {
        let (Some(link), Some(total)) = (entry.link, self.total()) else {
            return 1.0;
        };
        (PLANNED_UTILISATION * link.bytes_per_ms() as f64 / total).min(1.0)
    }
}

/// Lowers the shares of data centres to their caps, which are fractions of the total; the other data centres take over
/// the rest in proportion, as far as their own caps allow.
pub(crate) fn cap_shares(shares: &mut BTreeMap<ZoneId, f64>, caps: &BTreeMap<ZoneId, f64>) {
    let total: f64 = shares.values().sum();
    let cap = |zone: &ZoneId| total * caps.get(zone).copied().unwrap_or(0.0);
    let mut capped: BTreeSet<ZoneId> = BTreeSet::new();
    // Each round but the last caps at least one data centre.
    for _ in 0..=shares.len() {
        let mut open = 0.0;
        let mut left = total;
        for (zone, part) in shares.iter() {
            if capped.contains(zone) {
                left -= part;
            } else {
                open += part;
            }
        }
        if open <= 0.0 {
            return;
        }
        let before = capped.len();
        for (zone, part) in shares.iter_mut() {
            if capped.contains(zone) {
                continue;
            }
            *part *= left / open;
            if cap(zone) < *part {
                *part = cap(zone);
                capped.insert(zone.clone());
            }
        }
        if capped.len() == before {
            return;
        }
    }
}

/// Divides a data centre's share of the callers evenly among its VMs; no VM exceeds its cap while others are below
/// theirs. If the caps together are below the share, it is divided in proportion to them.
pub fn vm_shares(share: f64, caps: &BTreeMap<VmId, f64>) -> BTreeMap<VmId, f64> {
    let mut shares = BTreeMap::new();
    let mut order: Vec<(&VmId, f64)> = caps.iter().map(|(vm, cap)| (vm, *cap)).collect();
    order.sort_by(|a, b| a.1.total_cmp(&b.1));
    let total: f64 = caps.values().sum();
    if total <= share {
        for (vm, cap) in order {
            shares.insert(vm.clone(), share * cap / total.max(f64::MIN_POSITIVE));
        }
        return shares;
    }
    let mut left = share;
    let count = order.len();
    for (index, (vm, cap)) in order.into_iter().enumerate() {
        let part = cap.min(left / (count - index) as f64);
        left -= part;
        shares.insert(vm.clone(), part);
    }
    shares
}
