//! The specification of a small deployment on loopback.

use std::{collections::BTreeMap, net::SocketAddr};

use th_protocol::{
    Backend, BackendId, Bundle, Bytes, Connections, Link, Mbit, Millis, Operation, Permille,
    Service, Shift, Slo, Slots, Version, Zone, ZoneId,
};

/// One data centre of a deployment.
#[derive(Debug, Clone)]
pub struct ZoneSpec {
    /// Its name, the prefix of the names of its VMs.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Number of entry VMs in it.
    pub entries: u32,
    /// Number of backend servers of the service in it.
    pub backends: u32,
}

/// A deployment with one service, `roster`, that has the operations `check` (idempotent) and `book` (not idempotent).
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// The data centres.
    pub zones: Vec<ZoneSpec>,
    /// Number of slots of each backend server.
    pub slots: Slots,
    /// Service time of a request at a backend server.
    pub service_time: Millis,
    /// The deadline of both operations.
    pub deadline: Millis,
    /// How long a stopping entry VM still accepts requests after look-up answers no longer contain it.
    pub linger: Millis,
    /// How long callers may cache a look-up answer.
    pub ttl: Millis,
}

impl Default for DeploymentSpec {
    fn default() -> DeploymentSpec {
        DeploymentSpec {
            zones: vec![
                ZoneSpec { name: "north-a", region: "north", entries: 2, backends: 4 },
                ZoneSpec { name: "north-b", region: "north", entries: 1, backends: 4 },
                ZoneSpec { name: "south-a", region: "south", entries: 1, backends: 4 },
            ],
            slots: Slots(4),
            service_time: Millis(5),
            deadline: Millis(2_000),
            linger: Millis(500),
            ttl: Millis(1_000),
        }
    }
}

/// The capacity of a link between two regions.
const LINK_CAP: Mbit = Mbit(1_000);

impl DeploymentSpec {
    /// Builds the bundle of the deployment. `addresses` has the data centre and address of each backend server.
    pub fn bundle(&self, addresses: &BTreeMap<BackendId, (ZoneId, SocketAddr)>) -> Bundle {
        let mut bundle = Bundle { version: Version(1), ..Bundle::default() };
        let mut service = self.service_spec();
        for (id, (zone, address)) in addresses {
            let backend = Backend {
                zone: zone.clone(),
                address: *address,
                slots: self.slots,
                connections: Connections(330),
                leaving: false,
            };
            service.backends.insert(id.clone(), backend);
        }
        for zone in &self.zones {
            let region = zone.region.parse().expect("names in a spec are valid ids");
            let slots = zone.backends * self.slots.0;
            let cap = &mut bundle.regions.entry(region).or_default().cap;
            *cap += Slots(slots);
            let region = zone.region.parse().expect("names in a spec are valid ids");
            let target = service.regions.entry(region).or_default();
            target.cap += Slots(slots);
            target.weight += zone.backends;
            let region = zone.region.parse().expect("names in a spec are valid ids");
            let id = zone.name.parse().expect("names in a spec are valid ids");
            bundle.zones.insert(id, Zone { region, shards: zone.entries.max(1) });
        }
        add_links(&mut bundle);
        bundle.services.insert("roster".parse().expect("\"roster\" is a valid id"), service);
        bundle
    }

    fn service_spec(&self) -> Service {
        let operation =
            |idempotent| Operation { idempotent, deadline: self.deadline, size: Bytes(1_000) };
        let mut service = Service {
            shift: Shift { cap: Permille(500), window: Millis(2_000) },
            slo: Slo { headroom: Permille(100), ..Slo::default() },
            ..Service::default()
        };
        service
            .operations
            .insert("check".parse().expect("\"check\" is a valid id"), operation(true));
        service
            .operations
            .insert("book".parse().expect("\"book\" is a valid id"), operation(false));
        service
    }
}

/// Adds a link in each direction between any two regions.
fn add_links(bundle: &mut Bundle) {
    let regions: Vec<_> = bundle.regions.keys().cloned().collect();
    for from in &regions {
        for to in &regions {
            if from == to {
                continue;
            }
            let id =
                format!("{from}-{to}").parse().expect("two ids joined by a dash are a valid id");
            let link = Link {
                from: from.clone(),
                to: to.clone(),
                cap: LINK_CAP,
                delay: Millis(20),
                floors: BTreeMap::new(),
            };
            bundle.links.insert(id, link);
        }
    }
}
