//! Entry VMs, as far as look-ups need them.

use std::net::SocketAddr;

use th_protocol::{Time, VmId};

use super::{
    Map, RegionIx, Settings, VmIx, ZoneIx,
    hash::{mix, name},
    trust,
};

/// What was last heard of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// It answers.
    Live,
    /// It may have died.
    Suspected,
    /// It stops gracefully.
    Leaving,
    /// It is gone.
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

/// Entry VMs and, per data centre, those that answers may name.
#[derive(Debug, Default)]
pub struct Fleet {
    vms: Vec<Vm>,
    /// Usable VMs, grouped by data centre: group `z` is `starts[z]..starts[z + 1]`.
    starts: Vec<u32>,
    usable: Vec<VmIx>,
    salts: Vec<u64>,
    /// Named only where no VM is usable.
    reserve: Vec<VmIx>,
    /// Whether a region has a usable VM.
    serves: Vec<bool>,
}

impl Fleet {
    /// Adds an entry VM that is taken to be live; call [`Fleet::refresh`] after the last one.
    pub fn insert(&mut self, id: VmId, zone: ZoneIx, address: SocketAddr, now: Time) -> VmIx {
        let salt = name(id.as_str());
        self.vms.push(Vm { id, zone, address, salt, state: VmState::Live, at: now });
        VmIx(self.vms.len() as u32 - 1)
    }

    /// Takes in news of a VM; false where it is older than what is known.
    pub fn observe(&mut self, vm: VmIx, state: VmState, at: Time) -> bool {
        let vm = &mut self.vms[vm.row()];
        if at < vm.at {
            return false;
        }
        vm.state = state;
        vm.at = at;
        true
    }

    /// Rebuilds the lists that look-ups read; once a tick, or at once after bad news.
    ///
    /// A suspicion that is too old to be trusted is dropped.
    pub fn refresh(&mut self, map: &Map, settings: &Settings, now: Time) {
        let mut rows: Vec<VmIx> = Vec::with_capacity(self.vms.len());
        self.reserve.clear();
        for (i, vm) in self.vms.iter().enumerate() {
            let believed = 0.0 < trust(now.since(vm.at), settings);
            match vm.state {
                VmState::Live => rows.push(VmIx(i as u32)),
                VmState::Suspected if !believed => rows.push(VmIx(i as u32)),
                VmState::Suspected | VmState::Leaving => self.reserve.push(VmIx(i as u32)),
                VmState::Dead => {}
            }
        }
        let vms = &self.vms;
        rows.sort_by_key(|it| vms[it.row()].zone);
        self.reserve.sort_by_key(|it| vms[it.row()].state);
        self.salts = rows.iter().map(|it| vms[it.row()].salt).collect();
        self.starts.clear();
        self.serves = vec![false; map.regions().len()];
        for zone in 0..=map.zones().len() {
            let start = rows.partition_point(|it| vms[it.row()].zone.row() < zone);
            self.starts.push(start as u32);
        }
        for row in &rows {
            let region = map.region_of(vms[row.row()].zone);
            if let Some(serves) = self.serves.get_mut(region.row()) {
                *serves = true;
            }
        }
        self.usable = rows;
    }

    fn group(&self, zone: usize) -> std::ops::Range<usize> {
        let Some(&end) = self.starts.get(zone + 1) else { return 0..0 };
        self.starts[zone] as usize..end as usize
    }

    /// Whether the data centre has a usable VM.
    pub(crate) fn has(&self, zone: usize) -> bool {
        !self.group(zone).is_empty()
    }

    /// Whether the region has a usable VM.
    pub fn serves(&self, region: RegionIx) -> bool {
        self.serves.get(region.row()).copied().unwrap_or(false)
    }

    /// The usable VMs of a region.
    pub(crate) fn in_region<'a>(
        &'a self,
        map: &'a Map,
        region: RegionIx,
    ) -> impl Iterator<Item = VmIx> + Clone + 'a {
        let usable = self.usable.iter().copied();
        usable.filter(move |&it| map.region_of(self.zone(it)) == region)
    }

    /// The best two VMs of a data centre for a key, by rendezvous hash.
    pub(crate) fn best_two(&self, zone: usize, key: u64) -> [Option<VmIx>; 2] {
        let group = self.group(zone);
        let (mut first, mut second) = ((0, None), (0, None));
        for (&salt, &vm) in self.salts[group.clone()].iter().zip(&self.usable[group]) {
            let score = mix(key ^ salt) | 1;
            if first.0 < score {
                second = first;
                first = (score, Some(vm));
            } else if second.0 < score {
                second = (score, Some(vm));
            }
        }
        [first.1, second.1]
    }

    /// VMs that leave or are suspected, suspected ones first.
    pub(crate) fn reserve(&self) -> &[VmIx] {
        &self.reserve
    }

    /// The id of a VM.
    pub fn id(&self, vm: VmIx) -> &VmId {
        &self.vms[vm.row()].id
    }

    /// The data centre of a VM.
    pub fn zone(&self, vm: VmIx) -> ZoneIx {
        self.vms[vm.row()].zone
    }

    /// Where a VM listens for callers.
    pub fn address(&self, vm: VmIx) -> SocketAddr {
        self.vms[vm.row()].address
    }

    /// The number of VMs.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Bytes of memory held, names included.
    pub fn bytes(&self) -> usize {
        let names: usize = self.vms.iter().map(|it| it.id.as_str().len() + 16).sum();
        let lists = (self.usable.capacity() + self.reserve.capacity() + self.starts.capacity()) * 4;
        names + lists + self.vms.capacity() * size_of::<Vm>() + self.salts.capacity() * 8
    }
}
