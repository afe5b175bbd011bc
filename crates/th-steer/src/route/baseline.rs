//! Routing policies for comparison: two simple ones and the planner's look-up.

use super::{Fleet, LookupTables, RegionIx, RouteMap, ServiceIx, VmIx, lookup};
use std::net::Ipv4Addr;
use th_protocol::Time;

/// A policy that sends one request to an entry VM.
#[derive(Debug, Clone)]
pub enum Policy {
    /// Chooses the nearest region with a planned share and takes its entry VMs in turn. Ignores
    /// caps.
    Nearest {
        /// Requests sent so far.
        turn: u64,
    },
    /// Chooses the region with the lowest last measured load per slot and takes its entry VMs in
    /// turn. Ignores caps on shifts and pending effects.
    LeastLoaded {
        /// Requests sent so far.
        turn: u64,
        /// Last measured number of busy slots, per service and region.
        busy: Vec<f32>,
    },
    /// Answers as [`lookup`] does, from the planner's weights in force.
    Planned,
}

impl Policy {
    /// Chooses the region and the entry VM for a request; `None` if no entry VM is usable.
    pub fn pick(
        &mut self,
        tables: &LookupTables,
        service: ServiceIx,
        address: Ipv4Addr,
        now: Time,
    ) -> Option<(RegionIx, VmIx)> {
        let LookupTables { map, fleet, .. } = *tables;
        match self {
            Policy::Nearest { turn } => {
                let order = map.delay_order(map.find_block(address).class);
                let regions = order.iter().map(|&it| RegionIx(it.into()));
                let region = { regions }.find(|&it| is_usable(map, fleet, service, it))?;
                *turn += 1;
                pick_in_turn(map, fleet, region, *turn)
            }
            Policy::LeastLoaded { turn, busy } => {
                let regions = map.regions().len();
                let busy = &busy[service.row() * regions..][..regions];
                let mut best = None;
                let mut lowest_load = f32::INFINITY;
                for (row, &busy) in busy.iter().enumerate() {
                    let region = RegionIx(row as u16);
                    let load = busy / map.limit(service, region).max(f32::MIN_POSITIVE);
                    if load < lowest_load && is_usable(map, fleet, service, region) {
                        lowest_load = load;
                        best = Some(region);
                    }
                }
                *turn += 1;
                pick_in_turn(map, fleet, best?, *turn)
            }
            Policy::Planned => {
                let answer = lookup(tables, service, address, now);
                let vm = *answer.vms.as_slice().first()?;
                Some((map.region_of(fleet.zone(vm)), vm))
            }
        }
    }
}

fn is_usable(map: &RouteMap, fleet: &Fleet, service: ServiceIx, region: RegionIx) -> bool {
    0.0 < map.planned_share(service, region) && fleet.has_usable_vm(region)
}

fn pick_in_turn(
    map: &RouteMap,
    fleet: &Fleet,
    region: RegionIx,
    turn: u64,
) -> Option<(RegionIx, VmIx)> {
    let vms = fleet.in_region(map, region);
    let count = vms.clone().count() as u64;
    if count == 0 {
        return None;
    }
    let vm = { vms }.nth((turn % count) as usize)?;
    Some((region, vm))
}
