//! Load: callers spread evenly over the data centres, and slots that are not. What a region cannot carry goes to others.

use std::collections::BTreeMap;

use rstest::rstest;
use th_protocol::ZoneId;
use th_steer::dispatch::{Topology, lookup_shares};

type Shares = BTreeMap<ZoneId, BTreeMap<ZoneId, f64>>;

const REGIONS: [&str; 3] = ["east", "north", "south"];

fn zone(region: usize, index: usize) -> ZoneId {
    format!("z{index}-{}", REGIONS[region]).parse().unwrap()
}

fn topology() -> Topology {
    let mut zones = BTreeMap::new();
    for (region, name) in REGIONS.iter().enumerate() {
        for index in 0..2 {
            zones.insert(zone(region, index), name.parse().unwrap());
        }
    }
    Topology { zones }
}

/// The slots of each region, half in each of its two data centres.
fn capacity(slots: [f64; 3]) -> BTreeMap<ZoneId, f64> {
    let mut capacity = BTreeMap::new();
    for (region, slots) in slots.into_iter().enumerate() {
        for index in 0..2 {
            capacity.insert(zone(region, index), slots / 2.0);
        }
    }
    capacity
}

fn all_shares(capacity: &BTreeMap<ZoneId, f64>) -> Shares {
    let topology = topology();
    let mut all = Shares::new();
    for it in topology.zones.keys() {
        all.insert(it.clone(), lookup_shares(it, &topology, capacity));
    }
    all
}

/// What each data centre is sent, as a share of all callers.
fn load(shares: &Shares) -> BTreeMap<ZoneId, f64> {
    let mut load = BTreeMap::new();
    for targets in shares.values() {
        for (zone, share) in targets {
            *load.entry(zone.clone()).or_default() += share / shares.len() as f64;
        }
    }
    load
}

#[rstest]
#[case::one_poor_region([5.0, 45.0, 50.0])]
#[case::two_poor_regions([10.0, 20.0, 70.0])]
#[case::none_in_one_region([0.0, 40.0, 60.0])]
#[case::even([1.0, 1.0, 1.0])]
fn each_data_centre_gets_what_its_slots_carry(#[case] slots: [f64; 3]) {
    let capacity = capacity(slots);
    let total: f64 = capacity.values().sum();
    let load = load(&all_shares(&capacity));
    for (zone, slots) in &capacity {
        let got = load.get(zone).copied().unwrap_or(0.0);
        assert!((got - slots / total).abs() < 1e-9, "{zone}: {got} of {}", slots / total);
    }
}

/// Guards against callers spread so widely that each of their objects is cold at most places where it is asked for.
#[rstest]
#[case::one_poor_region([5.0, 45.0, 50.0])]
#[case::none_in_one_region([0.0, 40.0, 60.0])]
fn callers_of_a_poor_region_use_few_others(#[case] slots: [f64; 3]) {
    let shares = all_shares(&capacity(slots));
    let far = |from: usize| {
        let targets = shares[&zone(0, from)].keys();
        targets.filter(|it| !it.as_str().ends_with(REGIONS[0])).count()
    };
    // Together they need all four, and one of them may be shared.
    assert!(far(0) <= 3 && far(1) <= 3 && far(0) + far(1) <= 5, "{shares:?}");
}

/// Guards against callers of whole data centres that change their regions because a few slots come or go.
#[test]
fn a_small_change_of_slots_moves_few_callers() {
    let slots = [5.0, 45.0, 50.0];
    let before = all_shares(&capacity(slots));
    for (region, change) in [(0, 0.5), (1, -2.0), (1, 2.0), (2, -2.0), (2, 2.0)] {
        let mut changed = slots;
        changed[region] += change;
        let after = all_shares(&capacity(changed));
        for (from, targets) in &before {
            let mut moved = 0.0;
            for (to, share) in targets {
                moved += (share - after[from].get(to).copied().unwrap_or(0.0)).max(0.0);
            }
            assert!(moved < 0.1, "{from}: {moved} of the callers move for {change} in {region}");
        }
    }
}
