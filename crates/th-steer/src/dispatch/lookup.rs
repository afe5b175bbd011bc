//! Which entry VMs callers of a data centre are named: those where the work will run.
//!
//! Pattern answered: slots that do not lie where the callers are. Each data centre keeps what its slots carry of the
//! callers; what is over goes first to the region's other data centres, then to other regions, by what is free there.

use std::collections::BTreeMap;

use th_protocol::{RegionId, ZoneId};

/// Spare slots that a pool needs for the chance of demand, in square roots of its slots: small pools run less full.
const STAFFING_FACTOR: f64 = 1.0;

/// What a pool of slots carries, by the square-root staffing rule.
pub(crate) fn usable_slots(slots: f64) -> f64 {
    (slots - STAFFING_FACTOR * slots.sqrt()).max(0.0)
}

/// The data centres and the regions that they lie in.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// The region of each data centre.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

/// The part of the callers of `zone` that is sent to each data centre; the parts add up to one. `room` holds the share
/// of all slots that each data centre with a live entry VM has. Callers are taken to be even over the data centres.
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
