//! Which entry VMs a look-up names.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use th_protocol::{RegionId, ServiceId, ZoneId};

use super::{
    dispatcher::Dispatcher,
    lookup::{lookup_shares, usable_slots},
    record::EntryRecord,
};

/// Addresses that a look-up names, repeated by their share; the most that callers take.
const LOOKUP_ADDRESSES: usize = 24;
/// Requests of a host from which the share of those with homes is taken.
const HOMED_SAMPLE: f64 = 50.0;
/// With this share of requests on routes with homes, look-ups of the host keep to the homes: half of the part that may
/// go elsewhere.
const HOMED_SHARE: f64 = 0.025;
/// What is left of the counts after each tick; a share from the last minute.
pub(crate) const HOMED_DECAY: f64 = 0.98;

/// Requests of a host, and those on routes with homes; both fade.
#[derive(Debug, Default)]
pub(crate) struct Homed {
    pub(crate) all: f64,
    pub(crate) homed: f64,
}

impl Dispatcher {
    /// The entry VMs that a caller of a data centre is named, each as often as its share of the callers.
    pub fn lookup(&self, host: &str, zone: &ZoneId) -> Vec<SocketAddr> {
        let allowed = self.allowed_regions(host, zone);
        let mut by_zone: BTreeMap<ZoneId, Vec<&EntryRecord>> = BTreeMap::new();
        for entry in self.entries.values() {
            let region = self.topology.zones.get(&entry.zone);
            let allowed = allowed.as_ref().is_none_or(|it| region.is_some_and(|r| it.contains(r)));
            if allowed {
                by_zone.entry(entry.zone.clone()).or_default().push(entry);
            }
        }
        let zones: Vec<&ZoneId> = by_zone.keys().collect();
        let room = self.room(&zones);
        let shares = lookup_shares(zone, &self.topology, &room);
        let mut addresses = Vec::new();
        for (zone, share) in shares {
            let Some(entries) = by_zone.get(&zone) else {
                continue;
            };
            let count = (share * LOOKUP_ADDRESSES as f64).round() as usize;
            for index in 0..count {
                addresses.push(entries[index % entries.len()].callers);
            }
        }
        if addresses.is_empty() {
            addresses = by_zone.values().flatten().map(|it| it.callers).collect();
        }
        addresses
    }

    /// The share of the work that each data centre can carry: the mean of its shares of the services that routes use,
    /// by their slots. An entry may name a service that no route knows.
    fn room(&self, zones: &[&ZoneId]) -> BTreeMap<ZoneId, f64> {
        let mut room: BTreeMap<ZoneId, f64> = zones.iter().map(|it| ((*it).clone(), 0.0)).collect();
        let Some(routes) = &self.routes else {
            return room;
        };
        let mut slots: BTreeMap<&ServiceId, BTreeMap<&ZoneId, f64>> = BTreeMap::new();
        for row in self.backends.values() {
            let (zone, service) = (&row.record.zone, &row.record.service);
            let known = room.contains_key(zone) && routes.cold_rate(service).is_some();
            if row.takes_work() && known && !self.evacuated.contains(zone) {
                let pool = slots.entry(service).or_default().entry(zone).or_default();
                *pool += f64::from(row.record.slots.0);
            }
        }
        for pools in slots.values() {
            let all: f64 = pools.values().sum();
            let total: f64 = pools.values().map(|it| usable_slots(*it)).sum();
            for (zone, pool) in pools {
                if let Some(share) = room.get_mut(*zone)
                    && 0.0 < total
                {
                    *share += all * usable_slots(*pool) / total;
                }
            }
        }
        room
    }

    /// The regions that callers of a host may be sent to; `None` for all. The caller's own is always among them.
    ///
    /// A look-up does not tell the path. The homes of its routes count once requests come on such routes, or, before
    /// any came, where most of the host's routes have homes.
    fn allowed_regions(&self, host: &str, zone: &ZoneId) -> Option<BTreeSet<RegionId>> {
        let routes = self.routes.as_ref()?.of_host(host);
        let homed = routes.iter().filter(|it| !it.homes.is_empty());
        let count = homed.clone().count();
        let bound = match self.homed.get(host) {
            Some(seen) if HOMED_SAMPLE <= seen.all => HOMED_SHARE * seen.all <= seen.homed,
            _ => routes.len() < 2 * count,
        };
        if !bound {
            return None;
        }
        let mut allowed: Option<BTreeSet<RegionId>> = None;
        for route in homed {
            allowed = Some(match allowed {
                None => route.homes.clone(),
                Some(it) => it.intersection(&route.homes).cloned().collect(),
            });
        }
        let mut allowed = allowed?;
        allowed.extend(self.topology.zones.get(zone).cloned());
        Some(allowed)
    }
}
