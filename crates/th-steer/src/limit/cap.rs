//! The caps that a bundle configures, and the floor that each data centre may always use.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use th_protocol::{Bundle, LinkId, Millis, Permille, RegionId, ServiceId, ZoneId};

/// Window over which the bytes on a link are limited.
pub const LINK_WINDOW: Millis = Millis(100);

/// Identifies a cap.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CapId {
    /// Slots of all services in a region, together.
    Region(RegionId),
    /// Slots of one service in a region.
    Service(ServiceId, RegionId),
    /// Bytes sent in one direction over a link in each [`LINK_WINDOW`].
    Link(LinkId),
}

impl fmt::Display for CapId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CapId::Region(region) => write!(f, "region/{region}"),
            CapId::Service(service, region) => write!(f, "service/{service}/{region}"),
            CapId::Link(link) => write!(f, "link/{link}"),
        }
    }
}

/// One cap and its allocation to data centres. The floors and `leasable` sum up to `total`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cap {
    /// Slots, or bytes in each [`LINK_WINDOW`].
    pub total: u64,
    /// Amount that each data centre may always use, without a lease.
    pub floors: BTreeMap<ZoneId, u64>,
    /// Amount that is granted to data centres through leases.
    pub leasable: u64,
}

impl Cap {
    /// Allocates `total` to the configured floors in their order, the rest as `leasable`.
    ///
    /// Without configured floors, `total` is split evenly among `zones`.
    pub fn new(total: u64, stated: &BTreeMap<ZoneId, Permille>, zones: &[&ZoneId]) -> Cap {
        let mut floors = BTreeMap::new();
        let mut left = total;
        for (zone, share) in stated {
            let floor = share.of(total).min(left);
            left -= floor;
            floors.insert(zone.clone(), floor);
        }
        if !stated.is_empty() {
            return Cap { total, floors, leasable: left };
        }
        let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        for (i, zone) in (0..).zip(zones) {
            let floor = split_evenly(total, count, i);
            left -= floor;
            floors.insert((*zone).clone(), floor);
        }
        Cap { total, floors, leasable: left }
    }

    /// Returns the part of the floor of `zone` for the owner of shard `shard` out of `shards`.
    pub fn floor(&self, zone: &ZoneId, shards: u32, shard: u32) -> u64 {
        let floor = self.floors.get(zone).copied().unwrap_or(0);
        split_evenly(floor, shards, shard)
    }
}

/// Returns part `index` of `total` split into `count` parts that differ by at most one.
///
/// The parts sum up to `total` exactly.
pub const fn split_evenly(total: u64, count: u32, index: u32) -> u64 {
    if count <= index {
        return 0;
    }
    let (count, index) = (count as u64, index as u64);
    let extra = if index < total % count { 1 } else { 0 };
    total / count + extra
}

/// All caps of a bundle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CapTable {
    caps: BTreeMap<CapId, Cap>,
}

impl CapTable {
    /// Builds the table of the caps in `bundle`.
    pub fn new(bundle: &Bundle) -> CapTable {
        let mut caps = BTreeMap::new();
        for (id, region) in &bundle.regions {
            let zones = zones_in(bundle, &[id]);
            let cap = Cap::new(u64::from(region.cap.0), &region.floors, &zones);
            caps.insert(CapId::Region(id.clone()), cap);
        }
        for (id, service) in &bundle.services {
            for (place, target) in &service.regions {
                let Some(region) = bundle.regions.get(place) else { continue };
                let zones = zones_in(bundle, &[place]);
                let cap = Cap::new(u64::from(target.cap.0), &region.floors, &zones);
                caps.insert(CapId::Service(id.clone(), place.clone()), cap);
            }
        }
        for (id, link) in &bundle.links {
            let zones = zones_in(bundle, &[&link.from]);
            let total = link.cap.bytes_per_ms().saturating_mul(LINK_WINDOW.0);
            caps.insert(CapId::Link(id.clone()), Cap::new(total, &link.floors, &zones));
        }
        CapTable { caps }
    }

    /// Returns the cap with this id.
    pub fn get(&self, id: &CapId) -> Option<&Cap> {
        self.caps.get(id)
    }

    /// Iterates over all caps, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&CapId, &Cap)> {
        self.caps.iter()
    }
}

fn zones_in<'a>(bundle: &'a Bundle, regions: &[&RegionId]) -> Vec<&'a ZoneId> {
    let mut zones = Vec::new();
    for (id, zone) in &bundle.zones {
        if regions.contains(&&zone.region) {
            zones.push(id);
        }
    }
    zones
}
