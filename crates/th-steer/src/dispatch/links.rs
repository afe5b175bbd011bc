//! What the network links of entry VMs carry of the callers.
//!
//! Pattern answered: data centres with many slots and entry VMs with small links. A link that is nearly full holds up
//! every answer that passes it, so callers beyond its part are named other VMs.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Bytes, Millis, Time, VmId, ZoneId};

use super::record::EntryRecord;

/// Part of a link that may be planned for: traffic moves in waves of half its mean, and the store's news come beside it.
const PLANNED_UTILISATION: f64 = 0.5;
/// Time constant of the averages; callers take some seconds to follow a changed share.
const AVERAGING_TIME: Millis = Millis(4_000);
/// Least share of the callers from which the whole traffic is taken.
const MIN_SHARE: f64 = 0.01;

/// This VM's traffic, and from it the traffic of all entry VMs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Traffic {
    transferred: Bytes,
    at: Option<Time>,
    /// Bytes a millisecond in one direction.
    rate: f64,
    /// Share of all callers that this VM is named to.
    share: f64,
}

impl Traffic {
    /// Takes note of bytes that passed this VM's link in one direction.
    pub(crate) fn add(&mut self, bytes: Bytes) {
        self.transferred += bytes;
    }

    /// Brings the averages up to date; `share` is the part of the callers that this VM is now named to.
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

    /// Bytes a millisecond of all entry VMs together; `None` while that cannot be told.
    fn total(&self) -> Option<f64> {
        (MIN_SHARE <= self.share && 0.0 < self.rate).then(|| self.rate / self.share)
    }

    /// The largest share of all callers that a VM's link is to carry.
    pub(crate) fn cap(&self, entry: &EntryRecord) -> f64 {
        let (Some(link), Some(total)) = (entry.link, self.total()) else {
            return 1.0;
        };
        (PLANNED_UTILISATION * link.bytes_per_ms() as f64 / total).min(1.0)
    }
}

/// Lowers what data centres carry to their caps, which are shares of the whole; the others carry the rest in proportion,
/// as far as their caps allow.
pub(crate) fn cap_shares(shares: &mut BTreeMap<ZoneId, f64>, caps: &BTreeMap<ZoneId, f64>) {
    let total: f64 = shares.values().sum();
    let cap = |zone: &ZoneId| total * caps.get(zone).copied().unwrap_or(0.0);
    let mut capped: BTreeSet<ZoneId> = BTreeSet::new();
    // Each round but the last bounds one data centre or more.
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

/// Divides a data centre's share of the callers among its VMs: evenly, and no more to a VM than its cap while others
/// are under theirs.
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
