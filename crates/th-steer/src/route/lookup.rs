//! Answers a look-up from the tables.

use std::net::Ipv4Addr;

use th_protocol::{Millis, Time};

use super::{
    Fleet, RegionIx, RouteMap, ServiceIx, Settings, VmList, Weights, ZoneIx,
    choice::choose_two,
    hash::{mix, unit},
    map::CallerBlock,
};

/// Number of entry VMs taken first from the chosen data centre. The others come from other data
/// centres, if those have usable VMs.
const VMS_FROM_CHOSEN_ZONE: usize = 2;

/// The answer to a look-up, as row numbers of the tables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Entry VMs, best first. Empty if no region of the service has a usable entry VM and no entry
    /// VM is suspected or leaving.
    pub vms: VmList,
    /// How long the caller may cache the answer.
    pub ttl: Millis,
    /// The region that the weights in force choose for the block.
    pub region: Option<RegionIx>,
    /// The data centre of the first entry VM, if a usable one exists.
    pub zone: Option<ZoneIx>,
    /// Whether the chosen region has no usable entry VM, so that this answer moves the block to
    /// another region. Such an answer must be allowed by the cap on shifts, or the look-up is
    /// rejected.
    pub diverted: bool,
    /// The caller's block.
    pub block: CallerBlock,
}

/// Tables that a look-up reads.
#[derive(Debug, Clone, Copy)]
pub struct LookupTables<'a> {
    /// Map of the bundle's blocks, regions and data centres.
    pub map: &'a RouteMap,
    /// The entry VMs.
    pub fleet: &'a Fleet,
    /// The weights in force.
    pub weights: &'a Weights,
    /// The routing settings.
    pub settings: &'a Settings,
}

/// Answers a look-up. Does not allocate.
///
/// Entry VMs come from the chosen data centre, then from another one of its region, then from the
/// second-choice region. Free places in the answer are filled with second VMs in the same order.
pub fn lookup(tables: &LookupTables, service: ServiceIx, address: Ipv4Addr, now: Time) -> Answer {
    let map = tables.map;
    let block = map.find_block(address);
    let row = tables.weights.row(service, block.class);
    let is_usable = |it: usize| tables.fleet.has_usable_vm(RegionIx(it as u16));
    let regions = row.iter().zip(&map.region_salts).enumerate();
    let regions = regions.map(|(i, (&weight, &salt))| (i, weight, salt));
    let [chosen, next] = choose_two(block.key, regions, is_usable);
    let next = next.or_else(|| nearest_other(tables, service, block, chosen));
    let [first, second] = choose_zones(tables, service, chosen, block.key);
    let [other, _] = choose_zones(tables, service, next, block.key);
    let zones = [first, second, other];
    let mut vms = VmList::default();
    push_vms(tables.fleet, &zones, block.key, &mut vms);
    if vms.is_empty() {
        push_fallback(tables.fleet, &mut vms);
    }
    let first = zones.iter().flatten().next();
    Answer {
        vms,
        ttl: jittered_ttl(tables, service, block.key, now),
        region: chosen.map(|it| RegionIx(it as u16)),
        zone: first.map(|&it| ZoneIx(it as u16)),
        diverted: zones[0].is_none() && zones[2].is_some(),
        block,
    }
}

/// Chooses two data centres of `region` with usable entry VMs, by rendezvous hashing weighted by
/// their slots.
fn choose_zones(
    tables: &LookupTables,
    service: ServiceIx,
    region: Option<usize>,
    key: u64,
) -> [Option<usize>; 2] {
    let Some(region) = region else { return [None; 2] };
    let map = tables.map;
    let slots = map.zone_slots(service);
    let usable = map.zones_of(region).iter().filter(|it| tables.fleet.zone_has_usable_vm(it.row()));
    let zones = usable.map(|it| (it.row(), slots[it.row()], map.zone_salts[it.row()]));
    choose_two(key, zones, |_| true)
}

/// Finds the nearest usable region for the service other than the chosen one.
fn nearest_other(
    tables: &LookupTables,
    service: ServiceIx,
    block: CallerBlock,
    chosen: Option<usize>,
) -> Option<usize> {
    for &region in tables.map.delay_order(block.class) {
        let row = RegionIx(region.into());
        let planned = tables.map.planned_share(service, row);
        if Some(row.row()) != chosen && 0.0 < planned && tables.fleet.has_usable_vm(row) {
            return Some(row.row());
        }
    }
    None
}

fn push_vms(fleet: &Fleet, zones: &[Option<usize>; 3], key: u64, vms: &mut VmList) {
    let best = zones.map(|it| it.map_or([None; 2], |zone| fleet.choose_two(zone, key)));
    for vm in best[0].iter().take(VMS_FROM_CHOSEN_ZONE).flatten() {
        vms.push(*vm);
    }
    for pair in &best[1..] {
        if let Some(vm) = pair[0] {
            vms.push(vm);
        }
    }
    for vm in best[1..].iter().filter_map(|it| it[1]) {
        vms.push(vm);
    }
}

fn push_fallback(fleet: &Fleet, vms: &mut VmList) {
    for &vm in fleet.fallback() {
        if vms.is_full() {
            return;
        }
        vms.push(vm);
    }
}

/// The TTL, shortened by a share of up to `jitter`, so that cached answers expire at different
/// times. The share is pseudo-random, from the block's key and the time.
fn jittered_ttl(tables: &LookupTables, service: ServiceIx, key: u64, now: Time) -> Millis {
    let settings = tables.settings;
    let moving = tables.weights.is_moving(service);
    let longest = if moving { settings.shift_ttl } else { settings.ttl };
    let jitter = settings.jitter.of(longest.0) as f64 * unit(mix(key ^ mix(now.0)));
    longest.minus(Millis(jitter as u64))
}
