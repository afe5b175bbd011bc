//! One look-up.

use std::net::Ipv4Addr;

use th_protocol::{Millis, Time};

use super::{
    Fleet, Map, Picks, RegionIx, ServiceIx, Settings, Weights, ZoneIx, choose,
    hash::{mix, unit},
    map::Place,
};

/// Entry VMs named from the chosen data centre where other zones can fill the rest.
const FROM_CHOSEN: usize = 2;

/// The answer to a look-up, in rows of the tables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Entry VMs, best first; empty where the service has nowhere to go.
    pub picks: Picks,
    /// How long the caller may keep the answer.
    pub ttl: Millis,
    /// The region that the weights in force choose for the block.
    pub region: Option<RegionIx>,
    /// The data centre that the first entry VM is in, where one is usable.
    pub zone: Option<ZoneIx>,
    /// The chosen region has no usable entry VM, so that this answer moves the block to another
    /// region: it must pass the cap on shifts or be refused.
    pub diverted: bool,
    /// The caller's place.
    pub place: Place,
}

/// The tables that a look-up reads.
#[derive(Debug, Clone, Copy)]
pub struct Tables<'a> {
    /// The bundle's map.
    pub map: &'a Map,
    /// Entry VMs.
    pub fleet: &'a Fleet,
    /// The weights in force.
    pub weights: &'a Weights,
    /// Settings.
    pub settings: &'a Settings,
}

/// Answers a look-up. Does not allocate.
///
/// Entry VMs come from the chosen data centre, then from another one of its region, then from the
/// region of the next choice; what is left is filled up in the same order.
pub fn lookup(tables: &Tables, service: ServiceIx, address: Ipv4Addr, now: Time) -> Answer {
    let map = tables.map;
    let place = map.place(address);
    let row = tables.weights.row(service, place.class);
    let chosen = choose(place.key, row, &map.region_salts, |_| false);
    let mut zones = [None; 3];
    if let Some(region) = chosen {
        zones[0] = zone(tables, service, region, place.key, None);
        zones[1] = zone(tables, service, region, place.key, zones[0]);
    }
    zones[2] = next_region(tables, service, place, row, chosen)
        .and_then(|region| zone(tables, service, region, place.key, None));
    let mut picks = Picks::default();
    fill(tables.fleet, &zones, place.key, &mut picks);
    if picks.is_empty() {
        fill_reserve(tables.fleet, &mut picks);
    }
    let first = zones.iter().flatten().next();
    Answer {
        picks,
        ttl: ttl(tables, service, place.key, now),
        region: chosen.map(|it| RegionIx(it as u16)),
        zone: first.map(|&it| ZoneIx(it as u16)),
        diverted: zones[0].is_none() && zones[2].is_some(),
        place,
    }
}

/// A data centre of `region` with usable entry VMs, by weighted rendezvous over its slots.
fn zone(
    tables: &Tables,
    service: ServiceIx,
    region: usize,
    key: u64,
    taken: Option<usize>,
) -> Option<usize> {
    let map = tables.map;
    choose(key, map.zone_slots(service), &map.zone_salts, |it| {
        map.zone_region[it].row() != region || Some(it) == taken || !tables.fleet.has(it)
    })
}

/// The next choice by weight, or else the nearest region that may serve.
fn next_region(
    tables: &Tables,
    service: ServiceIx,
    place: Place,
    row: &[f32],
    chosen: Option<usize>,
) -> Option<usize> {
    let map = tables.map;
    let unusable = |it: usize| Some(it) == chosen || !tables.fleet.serves(RegionIx(it as u16));
    let next = choose(place.key, row, &map.region_salts, unusable);
    if next.is_some() {
        return next;
    }
    for &region in map.order(place.class) {
        let planned = map.planned(service, RegionIx(region.into()));
        if 0.0 < planned && !unusable(region.into()) {
            return Some(region.into());
        }
    }
    None
}

fn fill(fleet: &Fleet, zones: &[Option<usize>; 3], key: u64, picks: &mut Picks) {
    let best = zones.map(|it| it.map_or([None; 2], |zone| fleet.best_two(zone, key)));
    for vm in best[0].iter().take(FROM_CHOSEN).flatten() {
        picks.push(*vm);
    }
    for vms in &best[1..] {
        if let Some(vm) = vms[0] {
            picks.push(vm);
        }
    }
    for vm in best[1..].iter().filter_map(|it| it[1]) {
        picks.push(vm);
    }
}

fn fill_reserve(fleet: &Fleet, picks: &mut Picks) {
    for &vm in fleet.reserve() {
        if picks.is_full() {
            return;
        }
        picks.push(vm);
    }
}

/// The TTL, shortened by a share that differs from answer to answer.
fn ttl(tables: &Tables, service: ServiceIx, key: u64, now: Time) -> Millis {
    let settings = tables.settings;
    let moving = tables.weights.is_moving(service);
    let longest = if moving { settings.shift_ttl } else { settings.ttl };
    let jitter = settings.jitter.of(longest.0) as f64 * unit(mix(key ^ mix(now.0)));
    longest.minus(Millis(jitter as u64))
}
