//! Shares of a data centre's callers that are directed to each data centre, according to where requests can run.
//!
//! Handles slots that are not where the callers are. Each data centre serves as many of its callers as its slots can
//! carry; the excess goes first to the other data centres of the region, then to other regions, in proportion to their
//! spare slots.

use std::collections::BTreeMap;

use th_protocol::{RegionId, ZoneId};

/// Slots that a pool keeps spare for random variation of demand, in units of the square root of its slots, so small
/// pools run at lower utilisation.
const STAFFING_FACTOR: f64 = 1.0;

/// The number of slots of a pool that may be planned for, by the square-root staffing rule.
pub(crate) fn usable_slots(slots: f64) -> f64 {
    (slots - STAFFING_FACTOR * slots.sqrt()).max(0.0)
}

/// The data centres and their regions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// The region of each data centre.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

/// Returns the share of the callers of `zone` that is sent to each data centre; the shares add up to one. `capacity`
/// holds the share of all slots that each data centre with a live entry VM has. Callers are assumed to be spread evenly
/// over the data centres.
pub fn lookup_shares(
    zone: &ZoneId,
    topology: &Topology,
    capacity: &BTreeMap<ZoneId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let total: f64 = capacity.values().sum();
    let mut shares = BTreeMap::new();
    if total <= 0.0 || topology.zones.is_empty() {
        let even = 1.0 / capacity.len().max(1) as f64;
        return capacity.keys().map(|it| (it.clone(), even)).collect();
    }
    let demand = 1.0 / topology.zones.len() as f64;
    let mut excess: BTreeMap<&ZoneId, f64> = BTreeMap::new();
    let mut spare: BTreeMap<&ZoneId, f64> = BTreeMap::new();
    for it in topology.zones.keys() {
        let share = capacity.get(it).copied().unwrap_or(0.0) / total;
        excess.insert(it, (demand - share).max(0.0));
        spare.insert(it, (share - demand).max(0.0));
    }
    let retained = demand - excess.get(zone).copied().unwrap_or(demand);
    if 0.0 < retained {
        shares.insert(zone.clone(), retained / demand);
    }
    let region = topology.zones.get(zone);
    let mut left = 1.0 - retained / demand;
    let near: f64 = sum(&spare, |it| topology.zones.get(it) == region);
    let near_excess: f64 = sum(&excess, |it| topology.zones.get(it) == region);
    if 0.0 < near && 0.0 < left {
        let moved = left * (near / near_excess.max(f64::MIN_POSITIVE)).min(1.0);
        for (it, free) in &spare {
            if 0.0 < *free && topology.zones.get(*it) == region {
                *shares.entry((*it).clone()).or_default() += moved * free / near;
            }
        }
        left -= moved;
    }
    let far: f64 = sum(&spare, |it| topology.zones.get(it) != region);
    if 0.0 < far && 1e-9 < left {
        for (it, free) in &spare {
            if 0.0 < *free && topology.zones.get(*it) != region {
                *shares.entry((*it).clone()).or_default() += left * free / far;
            }
        }
        left = 0.0;
    }
    if 1e-9 < left {
        for (it, part) in capacity {
            if 0.0 < *part {
                *shares.entry(it.clone()).or_default() += left * part / total;
            }
        }
    }
    shares
}

fn sum(parts: &BTreeMap<&ZoneId, f64>, include: impl Fn(&ZoneId) -> bool) -> f64 {
    parts.iter().filter(|(zone, _)| include(zone)).map(|(_, part)| part).sum()
}
