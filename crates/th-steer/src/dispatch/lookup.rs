//! Shares of a data centre's callers that are directed to each data centre, according to where requests can run.
//!
//! Handles slots that are not where the callers are. Each data centre serves as many of its callers as its slots can
//! carry; the excess goes first to the other data centres of the region, in proportion to their spare slots, then to few data
//! centres of other regions.

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
    if 1e-9 < left {
        let far = far_shares(zone, topology, &excess, &spare);
        for (it, part) in &far {
            *shares.entry(it.clone()).or_default() += left * part;
        }
        if !far.is_empty() {
            left = 0.0;
        }
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

/// The shares, of what a data centre's region cannot carry itself, that go to data centres of other regions; they add up to
/// one, unless there is no room anywhere.
///
/// Data centres with excess and those with spare slots are laid side by side in the order of their regions, and each excess
/// goes to the spare slots beside it. So each data centre's callers use few others, where their objects then stay warm.
fn far_shares(
    zone: &ZoneId,
    topology: &Topology,
    excess: &BTreeMap<&ZoneId, f64>,
    spare: &BTreeMap<&ZoneId, f64>,
) -> BTreeMap<ZoneId, f64> {
    let mut order: Vec<(&RegionId, &ZoneId)> = Vec::with_capacity(topology.zones.len());
    for (it, region) in &topology.zones {
        order.push((region, it));
    }
    order.sort_unstable();
    let (excess, spare) = (left_over(&order, excess, spare), left_over(&order, spare, excess));
    let (all_excess, all_spare) = (excess.iter().sum::<f64>(), spare.iter().sum::<f64>());
    let mut shares = BTreeMap::new();
    if all_excess <= 0.0 || all_spare <= 0.0 {
        return shares;
    }
    let (mut start, mut end) = (0.0, 0.0);
    for ((_, it), part) in order.iter().zip(&excess) {
        (start, end) = (end, end + part / all_excess);
        if *it == zone {
            break;
        }
    }
    let mut reached = 0.0;
    for ((_, it), part) in order.iter().zip(&spare) {
        let next = reached + part / all_spare;
        let common = next.min(end) - reached.max(start);
        if 0.0 < common && start < end {
            shares.insert((*it).clone(), common / (end - start));
        }
        reached = next;
    }
    shares
}

/// What is left of each data centre's part once the other parts of its region are set off against it.
fn left_over(
    order: &[(&RegionId, &ZoneId)],
    parts: &BTreeMap<&ZoneId, f64>,
    others: &BTreeMap<&ZoneId, f64>,
) -> Vec<f64> {
    let of_region = |region: &RegionId, parts: &BTreeMap<&ZoneId, f64>| -> f64 {
        let zones = order.iter().filter(|(it, _)| *it == region);
        zones.filter_map(|(_, it)| parts.get(it)).sum()
    };
    let mut left = Vec::with_capacity(order.len());
    for (region, it) in order {
        let (own, other) = (of_region(region, parts), of_region(region, others));
        let share = if own <= other { 0.0 } else { 1.0 - other / own };
        left.push(parts.get(it).copied().unwrap_or(0.0) * share);
    }
    left
}

fn sum(parts: &BTreeMap<&ZoneId, f64>, include: impl Fn(&ZoneId) -> bool) -> f64 {
    parts.iter().filter(|(zone, _)| include(zone)).map(|(_, part)| part).sum()
}
