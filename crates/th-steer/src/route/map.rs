//! What the bundle states, in flat tables for look-ups.

use std::net::Ipv4Addr;

use th_protocol::{Bundle, ClassId, RegionId, ServiceId, Slots, ZoneId};

use super::{
    ClassIx, RegionIx, ServiceIx, ZoneIx,
    hash::{block_key, hash_name as name},
    ranges::{Ranges, UNKNOWN_CLASS},
};

/// Prefix bits by which callers from unknown blocks are told apart.
const UNKNOWN_BLOCK_MASK: u32 = 0xffff_ff00;
/// Delay that stands for one that nothing states, in milliseconds.
const UNKNOWN_DELAY_MS: u64 = 60_000;

/// The class of a caller's block and the key of its stable choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBlock {
    /// The class; the last row for an unknown block.
    pub class: ClassIx,
    /// The block's hash.
    pub key: u64,
    /// Whether a block of the bundle holds the caller.
    pub known: bool,
}

/// Blocks, classes, regions, data centres and sites of a bundle.
///
/// A caller of an unknown block is taken to sit where the entry VM is that it asked: the nearest
/// regions by the links from the entry VM's own region, or the plan's order where it has none.
#[derive(Debug, Default)]
pub struct RouteMap {
    regions: Vec<RegionId>,
    zones: Vec<ZoneId>,
    services: Vec<ServiceId>,
    classes: Vec<ClassId>,
    zone_region: Vec<RegionIx>,
    region_zones: Vec<Vec<ZoneIx>>,
    pub(crate) region_salts: Vec<u64>,
    pub(crate) zone_salts: Vec<u64>,
    ranges: Ranges,
    /// Regions by rising delay, per class.
    delay_orders: Vec<u8>,
    /// Blocks per class.
    block_counts: Vec<u32>,
    /// Slots of backend servers that don't leave, per service and data centre.
    slots: Vec<f32>,
    /// Planned share and cap, per service and region.
    planned_shares: Vec<f32>,
    caps: Vec<f32>,
    /// The share of a cap that may be planned for, per service.
    usable_shares: Vec<f32>,
}

impl RouteMap {
    /// Builds the tables; `home` is the data centre of the entry VM that answers.
    pub fn new(bundle: &Bundle, own_zone: Option<&ZoneId>) -> RouteMap {
        let mut map = RouteMap {
            regions: bundle.regions.keys().cloned().collect(),
            zones: bundle.zones.keys().cloned().collect(),
            services: bundle.services.keys().cloned().collect(),
            classes: bundle.classes.keys().cloned().collect(),
            ..RouteMap::default()
        };
        map.region_salts = map.regions.iter().map(|it| name(it.as_str())).collect();
        map.zone_salts = map.zones.iter().map(|it| name(it.as_str())).collect();
        map.region_zones = vec![Vec::new(); map.regions.len()];
        for (i, zone) in bundle.zones.values().enumerate() {
            let region = map.region_ix(&zone.region).unwrap_or(RegionIx(u16::MAX));
            map.zone_region.push(region);
            if let Some(zones) = map.region_zones.get_mut(region.row()) {
                zones.push(ZoneIx(i as u16));
            }
        }
        map.add_blocks(bundle);
        map.add_delay_orders(bundle, own_zone);
        map.add_services(bundle);
        map
    }

    fn add_blocks(&mut self, bundle: &Bundle) {
        let mut block_counts = vec![0; self.class_count()];
        let classes = &self.classes;
        let rows = bundle.blocks.iter().map(|(&block, class)| {
            let row = classes.binary_search(class).map_or(UNKNOWN_CLASS, |it| it as u16);
            if row != UNKNOWN_CLASS {
                block_counts[usize::from(row)] += 1;
            }
            (block, row)
        });
        self.ranges = Ranges::new(rows);
        self.block_counts = block_counts;
    }

    fn add_delay_orders(&mut self, bundle: &Bundle, own_zone: Option<&ZoneId>) {
        let own_region = own_zone.and_then(|it| bundle.zones.get(it)).map(|it| &it.region);
        let mut delays = vec![0; self.regions.len()];
        for class in bundle.classes.values() {
            for (delay, region) in delays.iter_mut().zip(&self.regions) {
                *delay = class.delays.get(region).map_or(UNKNOWN_DELAY_MS, |it| it.0);
            }
            push_delay_order(&mut self.delay_orders, &delays);
        }
        for (delay, region) in delays.iter_mut().zip(&self.regions) {
            *delay = if Some(region) == own_region { 0 } else { UNKNOWN_DELAY_MS };
            for link in bundle.links.values() {
                if Some(&link.from) == own_region && link.to == *region {
                    *delay = link.delay.0;
                }
            }
        }
        push_delay_order(&mut self.delay_orders, &delays);
    }

    fn add_services(&mut self, bundle: &Bundle) {
        self.slots = vec![0.0; self.services.len() * self.zones.len()];
        for (row, service) in bundle.services.values().enumerate() {
            for backend in service.backends.values() {
                let Some(zone) = self.zone_ix(&backend.zone) else { continue };
                if !backend.leaving {
                    self.slots[row * self.zones.len() + zone.row()] += backend.slots.0 as f32;
                }
            }
            self.usable_shares.push(1.0 - service.slo.headroom.0.min(1000) as f32 / 1000.0);
            let sum: f32 = service.regions.values().map(|it| it.weight as f32).sum();
            for (id, region) in &bundle.regions {
                let target = service.regions.get(id).cloned().unwrap_or_default();
                let targets = bundle.services.values().filter_map(|it| it.regions.get(id));
                let total_cap: f32 = targets.map(|it| it.cap.0 as f32).sum();
                let region_cap = region.cap.0 as f32;
                let scale = if region_cap < total_cap { region_cap / total_cap } else { 1.0 };
                self.planned_shares.push(target.weight as f32 / sum.max(1.0));
                self.caps.push(target.cap.0 as f32 * scale);
            }
        }
    }

    /// The place of a caller.
    pub fn find_block(&self, address: Ipv4Addr) -> CallerBlock {
        let address = u32::from(address);
        if let Some((class, base)) = self.ranges.find(address) {
            return CallerBlock { class: ClassIx(class), key: block_key(base), known: true };
        }
        let class = ClassIx(self.classes.len() as u16);
        CallerBlock { class, key: block_key(address & UNKNOWN_BLOCK_MASK), known: false }
    }

    /// Sets the slots of a service's backend servers in a data centre that don't leave.
    pub fn set_slots(&mut self, service: ServiceIx, zone: ZoneIx, slots: Slots) {
        self.slots[service.row() * self.zones.len() + zone.row()] = slots.0 as f32;
    }

    /// Slots per data centre of one service.
    pub(crate) fn zone_slots(&self, service: ServiceIx) -> &[f32] {
        &self.slots[service.row() * self.zones.len()..][..self.zones.len()]
    }

    /// What the region may run of the service, in slots, less the headroom to keep free.
    pub fn limit(&self, service: ServiceIx, region: RegionIx) -> f32 {
        let cell = service.row() * self.regions.len() + region.row();
        if self.planned_shares[cell] <= 0.0 {
            return 0.0;
        }
        let slots = self.zone_slots(service);
        let slots: f32 = self.zones_of(region.row()).iter().map(|it| slots[it.row()]).sum();
        self.caps[cell].min(slots) * self.usable_shares[service.row()]
    }

    /// The share of the service's traffic that the bundle plans for the region, from 0 to 1.
    pub fn planned_share(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.planned_shares[service.row() * self.regions.len() + region.row()]
    }

    /// The data centres of a region.
    pub(crate) fn zones_of(&self, region: usize) -> &[ZoneIx] {
        &self.region_zones[region]
    }

    /// Regions by rising delay from the class.
    pub(crate) fn delay_order(&self, class: ClassIx) -> &[u8] {
        &self.delay_orders[class.row() * self.regions.len()..][..self.regions.len()]
    }

    /// Regions by rising delay from the class.
    pub fn regions_by_delay(&self, class: ClassIx) -> Vec<RegionIx> {
        self.delay_order(class).iter().map(|&it| RegionIx(it.into())).collect()
    }

    /// Blocks of the class.
    pub(crate) fn block_count(&self, class: ClassIx) -> u32 {
        self.block_counts[class.row()]
    }

    /// The number of classes, with the one for unknown blocks.
    pub fn class_count(&self) -> usize {
        self.classes.len() + 1
    }

    /// The services, by row.
    pub fn services(&self) -> &[ServiceId] {
        &self.services
    }

    /// The classes, by row, without the one for unknown blocks.
    pub fn classes(&self) -> &[ClassId] {
        &self.classes
    }

    /// The regions, by row.
    pub fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// The data centres, by row.
    pub fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// The region of a data centre.
    pub fn region_of(&self, zone: ZoneIx) -> RegionIx {
        self.zone_region[zone.row()]
    }

    /// The row of a service.
    pub fn service_ix(&self, id: &ServiceId) -> Option<ServiceIx> {
        self.services.binary_search(id).ok().map(|it| ServiceIx(it as u16))
    }

    /// The row of a region.
    pub fn region_ix(&self, id: &RegionId) -> Option<RegionIx> {
        self.regions.binary_search(id).ok().map(|it| RegionIx(it as u16))
    }

    /// The row of a data centre.
    pub fn zone_ix(&self, id: &ZoneId) -> Option<ZoneIx> {
        self.zones.binary_search(id).ok().map(|it| ZoneIx(it as u16))
    }

    /// Bytes of the flat tables; names, which the bundle shares, are counted as pointers.
    pub fn bytes(&self) -> usize {
        let names = self.regions.len() + self.zones.len() + self.services.len();
        let names = (names + self.classes.len()) * size_of::<ClassId>();
        let floats = self.slots.capacity() + self.planned_shares.capacity() + self.caps.capacity();
        names
            + self.ranges.bytes()
            + self.delay_orders.capacity()
            + (floats + self.block_counts.len()) * 4
    }
}

fn push_delay_order(order: &mut Vec<u8>, delays: &[u64]) {
    let mut rows: Vec<u8> = (0..delays.len()).map(|it| it as u8).collect();
    rows.sort_by_key(|&it| delays[usize::from(it)]);
    order.extend(rows);
}
