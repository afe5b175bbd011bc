//! The bundle's contents as flat tables for look-ups.

use std::net::Ipv4Addr;

use th_protocol::{Bundle, ClassId, RegionId, ServiceId, Slots, ZoneId};

use super::{
    ClassIx, RegionIx, ServiceIx, ZoneIx,
    hash::{block_key, hash_name as name},
    ranges::{Ranges, UNKNOWN_CLASS},
};

/// Callers outside all blocks are grouped by these address bits, one group for each /24.
const UNKNOWN_BLOCK_MASK: u32 = 0xffff_ff00;
/// Delay to a region for which the bundle states none, so that it ranks last.
const UNKNOWN_DELAY_MS: u64 = 60_000;

/// The class of a caller's block, and the block's key for stable choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBlock {
    /// The block's class; the last row if the block is unknown.
    pub class: ClassIx,
    /// Hash of the block's lowest address.
    pub key: u64,
    /// Whether a block of the bundle contains the caller's address.
    pub known: bool,
}

/// The blocks, classes, regions and data centres of a bundle, and its services' slots and shares.
///
/// A caller from an unknown block is assumed to be near the entry VM that it queried: regions are
/// ordered by the delays of the links from the entry VM's region, or by id where no link exists.
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
    /// Regions by increasing delay, per class.
    delay_orders: Vec<u8>,
    /// Number of blocks per class.
    block_counts: Vec<u32>,
    /// Slots of the backend servers that are not leaving, per service and data centre.
    slots: Vec<f32>,
    /// Planned share of the traffic, per service and region.
    planned_shares: Vec<f32>,
    /// Cap in slots, per service and region.
    caps: Vec<f32>,
    /// Share of a cap that may be used, leaving the service's headroom free, per service.
    usable_shares: Vec<f32>,
}

impl RouteMap {
    /// Builds the tables. `own_zone` is the data centre of the entry VM that answers look-ups.
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

    /// Finds the block of a caller's address.
    pub fn find_block(&self, address: Ipv4Addr) -> CallerBlock {
        let address = u32::from(address);
        if let Some((class, base)) = self.ranges.find(address) {
            return CallerBlock { class: ClassIx(class), key: block_key(base), known: true };
        }
        let class = ClassIx(self.classes.len() as u16);
        CallerBlock { class, key: block_key(address & UNKNOWN_BLOCK_MASK), known: false }
    }

    /// Sets the slots of a service's backend servers in a data centre that are not leaving.
    pub fn set_slots(&mut self, service: ServiceIx, zone: ZoneIx, slots: Slots) {
        self.slots[service.row() * self.zones.len() + zone.row()] = slots.0 as f32;
    }

    /// Slots of a service, by data centre.
    pub(crate) fn zone_slots(&self, service: ServiceIx) -> &[f32] {
        &self.slots[service.row() * self.zones.len()..][..self.zones.len()]
    }

    /// Load of the service that the region may take, in slots, after deducting headroom.
    pub fn limit(&self, service: ServiceIx, region: RegionIx) -> f32 {
        let cell = service.row() * self.regions.len() + region.row();
        if self.planned_shares[cell] <= 0.0 {
            return 0.0;
        }
        let slots = self.zone_slots(service);
        let slots: f32 = self.zones_of(region.row()).iter().map(|it| slots[it.row()]).sum();
        self.caps[cell].min(slots) * self.usable_shares[service.row()]
    }

    /// Share of the service's traffic that the bundle plans for the region, from 0 to 1.
    pub fn planned_share(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.planned_shares[service.row() * self.regions.len() + region.row()]
    }

    /// The data centres of a region.
    pub(crate) fn zones_of(&self, region: usize) -> &[ZoneIx] {
        &self.region_zones[region]
    }

    /// Row numbers of the regions by increasing delay from the class.
    pub(crate) fn delay_order(&self, class: ClassIx) -> &[u8] {
        &self.delay_orders[class.row() * self.regions.len()..][..self.regions.len()]
    }

    /// The regions by increasing delay from the class.
    pub fn regions_by_delay(&self, class: ClassIx) -> Vec<RegionIx> {
        self.delay_order(class).iter().map(|&it| RegionIx(it.into())).collect()
    }

    /// The number of blocks of the class.
    pub(crate) fn block_count(&self, class: ClassIx) -> u32 {
        self.block_counts[class.row()]
    }

    /// The number of classes, including the one for unknown blocks.
    pub fn class_count(&self) -> usize {
        self.classes.len() + 1
    }

    /// The services, by row.
    pub fn services(&self) -> &[ServiceId] {
        &self.services
    }

    /// The classes, by row, excluding the one for unknown blocks.
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

    /// Finds the row of a service.
    pub fn service_ix(&self, id: &ServiceId) -> Option<ServiceIx> {
        self.services.binary_search(id).ok().map(|it| ServiceIx(it as u16))
    }

    /// Finds the row of a region.
    pub fn region_ix(&self, id: &RegionId) -> Option<RegionIx> {
        self.regions.binary_search(id).ok().map(|it| RegionIx(it as u16))
    }

    /// Finds the row of a data centre.
    pub fn zone_ix(&self, id: &ZoneId) -> Option<ZoneIx> {
        self.zones.binary_search(id).ok().map(|it| ZoneIx(it as u16))
    }

    /// Memory that the tables use, in bytes. Ids are shared with the bundle, so each one counts as
    /// a pointer.
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
