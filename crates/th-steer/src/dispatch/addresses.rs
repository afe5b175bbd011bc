//! Which entry VMs a look-up names.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use th_protocol::{RegionId, ServiceId, ZoneId};

use super::{
    dispatcher::Dispatcher,
    links::{cap_shares, vm_shares},
    lookup::{lookup_shares, usable_slots},
    record::EntryRecord,
};

/// Addresses that a look-up names, repeated by their share; the most that callers take.
const LOOKUP_ADDRESSES: usize = 24;
/// The golden ratio's fraction: multiples of it spread evenly over the unit interval.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// Requests of a host from which the share of those with homes is taken.
const MIN_HOST_SAMPLE: f64 = 50.0;
/// With this share of requests on routes with homes, look-ups of the host keep to the homes: half of the part that may
/// go elsewhere.
const MIN_HOME_SHARE: f64 = 0.025;
/// What is left of the counts after each tick; a share from the last minute.
pub(crate) const HOST_COUNT_DECAY: f64 = 0.98;

/// Requests of a host, and those on routes with homes; both fade.
#[derive(Debug, Default)]
pub(crate) struct HostCounts {
    pub(crate) total: f64,
    pub(crate) with_homes: f64,
}

/// Systematic sampling: `count` picks from parts that add up to one. Each part is picked as often as is due to it, rounded
/// up or down by the offset between 0 and 1.
fn sample(parts: &[f64], count: usize, offset: f64) -> Vec<usize> {
    let mut picks = Vec::with_capacity(count);
    let mut reached = 0.0;
    for (index, part) in parts.iter().enumerate() {
        reached += part * count as f64;
        while picks.len() < count && picks.len() as f64 + offset < reached {
            picks.push(index);
        }
    }
    picks
}

impl Dispatcher {
    /// The entry VMs that a caller of a data centre is named, each as often as its share of the callers.
    pub fn lookup(&mut self, host: &str, zone: &ZoneId) -> Vec<SocketAddr> {
        self.lookups = self.lookups.wrapping_add(1);
        let shares = self.address_shares(Some(host), zone);
        let total: f64 = shares.iter().map(|it| it.1).sum();
        if total <= 0.0 {
            return shares.into_iter().map(|it| it.0).collect();
        }
        let parts: Vec<f64> = shares.iter().map(|it| it.1 / total).collect();
        let offset = (f64::from(self.lookups) * GOLDEN_FRACTION).fract();
        let picks = sample(&parts, LOOKUP_ADDRESSES, offset);
        picks.into_iter().map(|index| shares[index].0).collect()
    }

    /// The entry VMs that callers of a data centre and a host, or of any, may be named, with their shares.
    fn address_shares(&self, host: Option<&str>, zone: &ZoneId) -> Vec<(SocketAddr, f64)> {
        let allowed = host.and_then(|it| self.allowed_regions(it, zone));
        let mut by_zone: BTreeMap<ZoneId, Vec<&EntryRecord>> = BTreeMap::new();
        for entry in self.entries.values() {
            let region = self.topology.zones.get(&entry.zone);
            let allowed = allowed.as_ref().is_none_or(|it| region.is_some_and(|r| it.contains(r)));
            if allowed {
                by_zone.entry(entry.zone.clone()).or_default().push(entry);
            }
        }
        let zones: Vec<&ZoneId> = by_zone.keys().collect();
        let capacity = self.capacity_shares(&zones);
        let shares = lookup_shares(zone, &self.topology, &capacity);
        let mut weighted = Vec::new();
        for (zone, share) in shares {
            let Some(entries) = by_zone.get(&zone) else {
                continue;
            };
            let mut caps = BTreeMap::new();
            for entry in entries {
                caps.insert(entry.vm.clone(), self.traffic.cap(entry));
            }
            let parts = vm_shares(share, &caps);
            for entry in entries {
                weighted.push((entry.callers, parts.get(&entry.vm).copied().unwrap_or(0.0)));
            }
        }
        weighted
    }

    /// The share of all callers that this VM is named to.
    pub(crate) fn own_share(&self) -> f64 {
        let Some(own) = self.entries.get(&self.vm).map(|it| it.callers) else {
            return 0.0;
        };
        let mut share = 0.0;
        for zone in self.topology.zones.keys() {
            let shares = self.address_shares(None, zone);
            share += shares.iter().filter(|it| it.0 == own).map(|it| it.1).sum::<f64>();
        }
        share / self.topology.zones.len().max(1) as f64
    }

    /// The share of the work that each data centre can carry: the mean of its shares of the services that routes use,
    /// by their slots. An entry may name a service that no route knows.
    fn capacity_shares(&self, zones: &[&ZoneId]) -> BTreeMap<ZoneId, f64> {
        let mut capacity: BTreeMap<ZoneId, f64> =
            zones.iter().map(|it| ((*it).clone(), 0.0)).collect();
        let Some(routes) = &self.routes else {
            return capacity;
        };
        let mut slots: BTreeMap<&ServiceId, BTreeMap<&ZoneId, f64>> = BTreeMap::new();
        for row in self.backends.iter() {
            let (zone, service) = (&row.record.zone, &row.record.service);
            let known = capacity.contains_key(zone) && routes.cold_rate(service).is_some();
            if row.accepts_work() && known && !self.evacuated.contains(zone) {
                let pool = slots.entry(service).or_default().entry(zone).or_default();
                *pool += f64::from(row.record.slots.0);
            }
        }
        for pools in slots.values() {
            let all: f64 = pools.values().sum();
            let total: f64 = pools.values().map(|it| usable_slots(*it)).sum();
            for (zone, pool) in pools {
                if let Some(share) = capacity.get_mut(*zone)
                    && 0.0 < total
                {
                    *share += all * usable_slots(*pool) / total;
                }
            }
        }
        self.cap_by_links(&mut capacity);
        capacity
    }

    /// Lowers what data centres carry to what the links of their VMs do.
    fn cap_by_links(&self, capacity: &mut BTreeMap<ZoneId, f64>) {
        let mut caps: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for entry in self.entries.values() {
            *caps.entry(entry.zone.clone()).or_default() += self.traffic.cap(entry);
        }
        cap_shares(capacity, &caps);
    }

    /// The regions that callers of a host may be sent to; `None` for all. The caller's own is always among them.
    ///
    /// A look-up does not tell the path. The homes of its routes count once requests come on such routes, or, before
    /// any came, where most of the host's routes have homes.
    fn allowed_regions(&self, host: &str, zone: &ZoneId) -> Option<BTreeSet<RegionId>> {
        let routes = self.routes.as_ref()?.of_host(host);
        let with_homes = routes.iter().filter(|it| !it.home_regions.is_empty());
        let count = with_homes.clone().count();
        let is_bound = match self.host_counts.get(host) {
            Some(seen) if MIN_HOST_SAMPLE <= seen.total => {
                MIN_HOME_SHARE * seen.total <= seen.with_homes
            }
            _ => routes.len() < 2 * count,
        };
        if !is_bound {
            return None;
        }
        let mut allowed: Option<BTreeSet<RegionId>> = None;
        for route in with_homes {
            allowed = Some(match allowed {
                None => route.home_regions.clone(),
                Some(it) => it.intersection(&route.home_regions).cloned().collect(),
            });
        }
        let mut allowed = allowed?;
        allowed.extend(self.topology.zones.get(zone).cloned());
        Some(allowed)
    }
}
