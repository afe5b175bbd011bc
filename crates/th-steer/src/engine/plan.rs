//! The part of a bundle that concerns the capacity of one region.

use std::collections::BTreeMap;

use th_protocol::{
    Backend, BackendId, Bundle, Connections, LinkId, Millis, RegionId, Slots, ZoneId,
};

use crate::limit::{CapId, CapTable, split_evenly};

/// The capacity of one backend server according to the bundle.
#[derive(Debug, Clone)]
struct ServerCapacity {
    zone: ZoneId,
    slots: Slots,
    connections: Connections,
}

/// The capacity of one region according to the bundle.
#[derive(Debug, Clone, Default)]
pub(crate) struct CapacityPlan {
    pub(crate) region: Option<RegionId>,
    pub(crate) caps: CapTable,
    /// Shards of each data centre of the region.
    pub(crate) shards: BTreeMap<ZoneId, u32>,
    /// Links that start in the region, by destination region.
    pub(crate) links: BTreeMap<RegionId, LinkId>,
    /// The longest deadline of any operation.
    pub(crate) max_deadline: Millis,
    servers: BTreeMap<BackendId, ServerCapacity>,
}

/// Shards of one data centre whose share a VM may use.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) zone: ZoneId,
    pub(crate) shards: Vec<u32>,
}

impl CapacityPlan {
    /// Extracts the capacity of the region of `home` from `bundle`.
    pub(crate) fn new(bundle: &Bundle, home: &ZoneId) -> CapacityPlan {
        let region = bundle.zones.get(home).map(|it| it.region.clone());
        let mut plan = CapacityPlan {
            caps: CapTable::new(bundle),
            max_deadline: max_deadline(bundle),
            ..CapacityPlan::default()
        };
        for (id, zone) in &bundle.zones {
            if Some(&zone.region) == region.as_ref() {
                plan.shards.insert(id.clone(), zone.shards);
            }
        }
        for (id, link) in &bundle.links {
            if Some(&link.from) == region.as_ref() {
                plan.links.insert(link.to.clone(), id.clone());
            }
        }
        for service in bundle.services.values() {
            for (id, backend) in &service.backends {
                if plan.shards.contains_key(&backend.zone) {
                    plan.servers.insert(id.clone(), ServerCapacity::new(backend));
                }
            }
        }
        CapacityPlan { region, ..plan }
    }

    /// The part of a cap's floor that belongs to the shards of `holdings`, or `None` if there is no such
    /// cap.
    pub(crate) fn floor(&self, id: &CapId, holdings: &[Holding]) -> Option<u64> {
        let cap = self.caps.get(id)?;
        let mut floor = 0;
        for holding in holdings {
            let count = self.shards.get(&holding.zone).copied().unwrap_or(0);
            for shard in &holding.shards {
                floor += cap.floor(&holding.zone, count, *shard);
            }
        }
        Some(floor)
    }

    /// The slots and connections of each backend server that are allocated to the shards of
    /// `holdings`.
    pub(crate) fn allowances(
        &self,
        holdings: &[Holding],
    ) -> BTreeMap<BackendId, (Slots, Connections)> {
        let mut allowances = BTreeMap::new();
        for (id, server) in &self.servers {
            let Some(holding) = holdings.iter().find(|it| it.zone == server.zone) else {
                continue;
            };
            let count = self.shards.get(&server.zone).copied().unwrap_or(0);
            allowances.insert(id.clone(), server.share(id, &holding.shards, count));
        }
        allowances
    }
}

impl ServerCapacity {
    fn new(backend: &Backend) -> ServerCapacity {
        ServerCapacity {
            zone: backend.zone.clone(),
            slots: backend.slots,
            connections: backend.connections,
        }
    }

    /// The slots and connections allocated to the owner of `shards` out of `count`.
    ///
    /// The allocation starts at a different shard for each server, so that remainders are spread over
    /// the shards.
    fn share(&self, id: &BackendId, shards: &[u32], count: u32) -> (Slots, Connections) {
        let first: u32 = id.as_str().bytes().map(u32::from).sum();
        let (mut slots, mut connections) = (0, 0);
        for shard in shards {
            if count <= *shard {
                continue;
            }
            let index = (shard + first) % count;
            slots += split_evenly(u64::from(self.slots.0), count, index);
            connections += split_evenly(u64::from(self.connections.0), count, index);
        }
        (Slots(slots as u32), Connections(connections as u32))
    }
}

fn max_deadline(bundle: &Bundle) -> Millis {
    let mut max = Millis::ZERO;
    for service in bundle.services.values() {
        for operation in service.operations.values() {
            max = max.max(operation.deadline);
        }
    }
    max
}
