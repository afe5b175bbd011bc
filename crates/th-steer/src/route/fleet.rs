//! The entry VMs that look-ups choose from.

use std::net::SocketAddr;

use th_protocol::{Time, VmId};

use super::{
    RegionIx, RouteMap, Settings, VmIx, ZoneIx, hash::hash_name as name, slots::SlotTable, trust,
};

/// The last known state of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// It responds.
    Live,
    /// It did not respond and may be dead.
    Suspected,
    /// It carries out a planned stop.
    Leaving,
    /// It was declared dead.
    Dead,
}

#[derive(Debug)]
struct Vm {
    id: VmId,
    zone: ZoneIx,
    address: SocketAddr,
    salt: u64,
    state: VmState,
    at: Time,
}

/// The entry VMs of a data centre.
#[derive(Debug, Default)]
struct ZoneVms {
    members: Vec<VmIx>,
    /// The salts that `slots` was built from.
    salts: Vec<u64>,
    usable: Vec<bool>,
    slots: SlotTable,
}

/// The entry VMs, and for each data centre those that answers may list.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: Vec<Vm>,
    zone_vms: Vec<ZoneVms>,
    /// VMs that are listed only if no VM is usable.
    fallback: Vec<VmIx>,
    /// Whether a region has a usable VM.
    usable_regions: Vec<bool>,
}

impl Fleet {
    /// Creates an empty fleet that reuses the slot tables of an earlier one for the data centres
    /// whose VMs are the same.
    pub fn reusing_tables(earlier: Fleet) -> Fleet {
        Fleet { zone_vms: earlier.zone_vms, ..Fleet::default() }
    }

    /// Adds an entry VM as live. Call [`Fleet::refresh`] after the last one.
    pub fn insert(&mut self, id: VmId, zone: ZoneIx, address: SocketAddr, now: Time) -> VmIx {
        let salt = name(id.as_str());
        self.vms.push(Vm { id, zone, address, salt, state: VmState::Live, at: now });
        VmIx(self.vms.len() as u32 - 1)
    }

    /// Updates the state of a VM. Returns false if the update is older than the known state.
    pub fn observe(&mut self, vm: VmIx, state: VmState, at: Time) -> bool {
        let vm = &mut self.vms[vm.row()];
        if at < vm.at {
            return false;
        }
        vm.state = state;
        vm.at = at;
        true
    }

    /// Rebuilds the lists that look-ups read. To be called once a tick, and at once after a VM was
    /// lost.
    ///
    /// A suspicion whose trust has dropped to 0 is ignored. Only data centres whose usable VMs
    /// changed get a new slot table.
    pub fn refresh(&mut self, map: &RouteMap, settings: &Settings, now: Time) {
        let mut zone_vms = vec![(Vec::new(), Vec::new()); map.zones().len()];
        self.fallback.clear();
        for (i, vm) in self.vms.iter().enumerate() {
            let row = VmIx(i as u32);
            let is_trusted = 0.0 < trust(now.since(vm.at), settings);
            let usable = match vm.state {
                VmState::Live => true,
                VmState::Suspected => !is_trusted,
                VmState::Leaving | VmState::Dead => false,
            };
            if !usable && vm.state != VmState::Dead {
                self.fallback.push(row);
            }
            let (members, flags) = &mut zone_vms[vm.zone.row()];
            members.push(row);
            flags.push(usable);
        }
        let vms = &self.vms;
        self.fallback.sort_by_key(|it| vms[it.row()].state);
        self.usable_regions = vec![false; map.regions().len()];
        self.zone_vms.resize_with(zone_vms.len(), ZoneVms::default);
        for (zone, (members, usable)) in zone_vms.into_iter().enumerate() {
            let region = map.region_of(ZoneIx(zone as u16));
            if let Some(is_usable) = self.usable_regions.get_mut(region.row()) {
                *is_usable |= usable.contains(&true);
            }
            let group = &mut self.zone_vms[zone];
            let salts: Vec<u64> = members.iter().map(|it| vms[it.row()].salt).collect();
            group.members = members;
            if group.salts == salts && group.usable == usable {
                continue;
            }
            group.slots = SlotTable::new(&salts, &usable);
            (group.salts, group.usable) = (salts, usable);
        }
    }

    /// Whether the data centre has a usable VM.
    pub(crate) fn zone_has_usable_vm(&self, zone: usize) -> bool {
        self.zone_vms.get(zone).is_some_and(|it| it.usable.contains(&true))
    }

    /// Whether the region has a usable VM.
    pub fn has_usable_vm(&self, region: RegionIx) -> bool {
        self.usable_regions.get(region.row()).copied().unwrap_or(false)
    }

    /// The usable VMs of a region.
    pub(crate) fn in_region<'a>(
        &'a self,
        map: &'a RouteMap,
        region: RegionIx,
    ) -> impl Iterator<Item = VmIx> + Clone + 'a {
        let zone_vms = self.zone_vms.iter().enumerate();
        let zone_vms = zone_vms.filter(move |&(i, _)| map.region_of(ZoneIx(i as u16)) == region);
        let members = zone_vms.flat_map(|(_, it)| it.members.iter().zip(&it.usable));
        members.filter(|(_, usable)| **usable).map(|(vm, _)| *vm)
    }

    /// Chooses a usable VM of a data centre for a key, and a second one.
    pub(crate) fn choose_two(&self, zone: usize, key: u64) -> [Option<VmIx>; 2] {
        let Some(group) = self.zone_vms.get(zone) else { return [None; 2] };
        group.slots.choose(key).map(|it| it.map(|member| group.members[member]))
    }

    /// VMs that are suspected or leaving, suspected ones first.
    pub(crate) fn fallback(&self) -> &[VmIx] {
        &self.fallback
    }

    /// The id of a VM.
    pub fn id(&self, vm: VmIx) -> &VmId {
        &self.vms[vm.row()].id
    }

    /// The data centre of a VM.
    pub fn zone(&self, vm: VmIx) -> ZoneIx {
        self.vms[vm.row()].zone
    }

    /// The address where a VM listens for callers.
    pub fn address(&self, vm: VmIx) -> SocketAddr {
        self.vms[vm.row()].address
    }

    /// The number of VMs.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether the fleet has no VMs.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Memory that the table uses, in bytes, including the ids of the VMs.
    pub fn bytes(&self) -> usize {
        let names: usize = self.vms.iter().map(|it| it.id.as_str().len() + 16).sum();
        let mut lists = self.fallback.capacity() * size_of::<VmIx>();
        for group in &self.zone_vms {
            lists += group.members.capacity() * size_of::<VmIx>() + group.usable.capacity();
            lists += group.salts.capacity() * size_of::<u64>();
            lists += group.slots.bytes();
        }
        names + lists + self.vms.capacity() * size_of::<Vm>()
    }
}
