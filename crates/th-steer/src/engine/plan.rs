//! What a bundle says of capacity, without the rest of it.

use std::collections::BTreeMap;

use th_protocol::{
    Backend, BackendId, Bundle, Connections, LinkId, Millis, RegionId, Slots, ZoneId,
};

use crate::limit::{CapId, CapTable, deal};

/// What a bundle says of one backend server's capacity.
#[derive(Debug, Clone)]
struct ServerCapacity {
    zone: ZoneId,
    slots: Slots,
    connections: Connections,
}

/// What a bundle says of capacity in one region.
#[derive(Debug, Clone, Default)]
pub(crate) struct CapacityPlan {
    pub(crate) region: Option<RegionId>,
    pub(crate) caps: CapTable,
    /// Shards of each data centre of the region.
    pub(crate) shards: BTreeMap<ZoneId, u32>,
    /// Links that start in the region, by where they lead.
    pub(crate) links: BTreeMap<RegionId, LinkId>,
    /// The longest deadline of any operation.
    pub(crate) max_deadline: Millis,
    servers: BTreeMap<BackendId, ServerCapacity>,
}

/// Shards of one data centre that a VM may spend.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) zone: ZoneId,
    pub(crate) shards: Vec<u32>,
}

impl CapacityPlan {
    /// Takes out of `bundle` what concerns the region of `home`.
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

    /// What the shards of `holdings` bring of a cap.
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

    /// What the shards of `holdings` bring of each backend server.
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

    /// The part that falls to the owner of `shards` out of `count`.
    ///
    /// Servers start at different shards, so that the units left over are spread.
    fn share(&self, id: &BackendId, shards: &[u32], count: u32) -> (Slots, Connections) {
        let first: u32 = id.as_str().bytes().map(u32::from).sum();
        let (mut slots, mut connections) = (0, 0);
        for shard in shards {
            if count <= *shard {
                continue;
            }
            let index = (shard + first) % count;
            slots += deal(u64::from(self.slots.0), count, index);
            connections += deal(u64::from(self.connections.0), count, index);
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
