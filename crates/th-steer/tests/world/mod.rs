//! Synthetic bundles and fleets of any size, for tests and benchmarks.

use std::net::{Ipv4Addr, SocketAddr};

use th_protocol::{
    Backend, Block, Bundle, Class, Connections, Millis, Region, Service, Slots, Target, Time, Zone,
};
use th_steer::route::{Demand, Fleet, MeasuredLoads, Planner, PlannerInputs, RouteMap, Settings};

/// The size of a synthetic bundle and its fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Size {
    /// Number of regions.
    pub(crate) regions: usize,
    /// Number of data centres.
    pub(crate) zones: usize,
    /// Number of sites. A site is one backend server of a service; a service has one in each data centre.
    pub(crate) sites: usize,
    /// Number of entry VMs.
    pub(crate) vms: usize,
    /// Number of blocks of callers.
    pub(crate) blocks: usize,
    /// Number of classes of blocks.
    pub(crate) classes: usize,
}

impl Default for Size {
    fn default() -> Size {
        Size { regions: 12, zones: 26, sites: 430, vms: 2_500, blocks: 130_000, classes: 2_000 }
    }
}

/// Slots of each backend server.
pub(crate) const SITE_SLOTS: u32 = 100;

/// The first address of a block. Blocks are every second /24 from 1.0.0.0 on.
pub(crate) fn address(block: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0100_0000 + (block as u32) * 0x200)
}

/// Builds a bundle of the given size in which all regions have the same planned weight.
pub(crate) fn bundle(size: &Size) -> Bundle {
    let mut bundle = Bundle::default();
    for i in 0..size.regions {
        let region = Region { cap: Slots(1_000_000), ..Region::default() };
        bundle.regions.insert(format!("r{i:02}").parse().unwrap(), region);
    }
    let regions: Vec<_> = bundle.regions.keys().cloned().collect();
    for i in 0..size.zones {
        let zone = Zone { region: regions[i % size.regions].clone(), shards: 1 };
        bundle.zones.insert(format!("z{i:02}").parse().unwrap(), zone);
    }
    let zones: Vec<_> = bundle.zones.keys().cloned().collect();
    for site in 0..size.sites {
        let id = format!("s{:02}", site / size.zones).parse().unwrap();
        let service: &mut Service = bundle.services.entry(id).or_default();
        for region in &regions {
            let target = Target { weight: 1, cap: Slots(100_000) };
            service.regions.insert(region.clone(), target);
        }
        let backend = Backend {
            zone: zones[site % size.zones].clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            slots: Slots(SITE_SLOTS),
            connections: Connections(300),
            leaving: false,
        };
        service.backends.insert(format!("b{site:03}").parse().unwrap(), backend);
    }
    for i in 0..size.classes {
        let mut class = Class::default();
        for (r, region) in regions.iter().enumerate() {
            let hops = (r + size.regions - i % size.regions) % size.regions;
            class.delays.insert(region.clone(), Millis((20 * hops + i % 7) as u64));
        }
        bundle.classes.insert(format!("c{i:04}").parse().unwrap(), class);
    }
    let classes: Vec<_> = bundle.classes.keys().cloned().collect();
    for i in 0..size.blocks {
        let block = Block::new(address(i), 24).unwrap();
        bundle.blocks.insert(block, classes[i % size.classes].clone());
    }
    bundle
}

/// The routing tables of an entry VM.
#[derive(Debug)]
pub(crate) struct World {
    /// The map of the bundle's regions, data centres and blocks.
    pub(crate) map: RouteMap,
    /// The entry VMs.
    pub(crate) fleet: Fleet,
    /// Counted demand.
    pub(crate) demand: Demand,
    /// Measured loads.
    pub(crate) loads: MeasuredLoads,
    /// The planner.
    pub(crate) planner: Planner,
    /// The routing settings.
    pub(crate) settings: Settings,
}

/// Builds a fleet of entry VMs spread evenly over the map's data centres.
pub(crate) fn fleet(map: &RouteMap, vms: usize, settings: &Settings) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..vms {
        let zone = th_steer::route::ZoneIx((i % map.zones().len()) as u16);
        let address = SocketAddr::from(([127, 0, 0, 1], 8080));
        fleet.insert(format!("vm{i:04}").parse().unwrap(), zone, address, Time(0));
    }
    fleet.refresh(map, settings, Time(0));
    fleet
}

/// Builds the routing tables for a bundle.
pub(crate) fn world(bundle: &Bundle, vms: usize, settings: Settings) -> World {
    let map = RouteMap::new(bundle, bundle.zones.keys().next());
    let fleet = fleet(&map, vms, &settings);
    let (services, regions) = (map.services().len(), map.regions().len());
    let demand = Demand::new(services, map.class_count(), Time(0));
    let loads = MeasuredLoads::new(services, regions);
    let inputs = PlannerInputs { map: &map, fleet: &fleet, demand: &demand, loads: &loads };
    let planner = Planner::new(&inputs, settings.clone(), Time(0));
    World { map, fleet, demand, loads, planner, settings }
}
