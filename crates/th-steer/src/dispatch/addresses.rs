//! The entry VM addresses that a look-up returns.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use th_protocol::{RegionId, ServiceId, ZoneId};

use super::{
    dispatcher::Dispatcher,
    links::{cap_shares, vm_shares},
    lookup::{lookup_shares, usable_slots},
    lookups::{Alternative, add_alternative},
    record::EntryRecord,
};
use crate::route::{hash_name, mix};

/// Number of addresses in a look-up answer, where an address is repeated in proportion to its share; callers use no
/// more than this many.
const LOOKUP_ADDRESSES: usize = 24;
/// Fractional part of the golden ratio; the fractions of its multiples are spread evenly over the unit interval.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// Minimum number of requests of a host from which the share on routes with home regions is computed.
const MIN_HOST_SAMPLE: f64 = 50.0;
/// From this share of requests on routes with home regions, look-ups of the host return VMs in the home regions only.
/// It is half of the share that may run elsewhere.
const MIN_HOME_SHARE: f64 = 0.025;
/// Factor applied to the counts at each tick, so that the share reflects about the last minute.
pub(crate) const HOST_COUNT_DECAY: f64 = 0.98;

/// Requests of a host, in total and on routes with home regions; both counts decay.
#[derive(Debug, Default)]
pub(crate) struct HostCounts {
    pub(crate) total: f64,
    pub(crate) with_homes: f64,
}

/// Systematic sampling: picks `count` times from parts that add up to one. Each part is picked in proportion to its
/// size, rounded up or down depending on the offset between 0 and 1.
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
    /// Returns the entry VM addresses for a caller of a data centre, each repeated in proportion to its share of the
    /// callers.
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
        let mut addresses: Vec<SocketAddr> =
            picks.into_iter().map(|index| shares[index].0).collect();
        add_alternative(&mut addresses, || self.alternatives(zone));
        addresses
    }

    /// The entry VMs of a caller's region, to which callers of all hosts may be sent.
    fn alternatives(&self, zone: &ZoneId) -> Vec<Alternative> {
        let region = self.region_of(zone);
        let mut alternatives = Vec::new();
        for entry in self.responsive_entries() {
            if self.region_of(&entry.zone) != region {
                continue;
            }
            let turn = mix(hash_name(entry.vm.as_str()) ^ u64::from(self.lookups));
            let remote = entry.zone != *zone;
            alternatives.push(Alternative { remote, turn, address: entry.callers });
        }
        alternatives
    }

    /// The entry VM addresses that may be returned to callers of a data centre, with their shares; `host` restricts
    /// them to the regions allowed for it.
    fn address_shares(&self, host: Option<&str>, zone: &ZoneId) -> Vec<(SocketAddr, f64)> {
        let allowed = host.and_then(|it| self.allowed_regions(it, zone));
        let mut by_zone = self.entries_by_zone(allowed.as_ref());
        if by_zone.is_empty() {
            // Callers without any VM would not be served at all; requests run in their homes wherever they arrive.
            by_zone = self.entries_by_zone(None);
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

    /// The entry VMs of the allowed regions, or of all, by data centre.
    fn entries_by_zone(
        &self,
        allowed: Option<&BTreeSet<RegionId>>,
    ) -> BTreeMap<ZoneId, Vec<&EntryRecord>> {
        let mut by_zone: BTreeMap<ZoneId, Vec<&EntryRecord>> = BTreeMap::new();
        for entry in self.responsive_entries() {
            let region = self.topology.zones.get(&entry.zone);
            if allowed.is_none_or(|it| region.is_some_and(|region| it.contains(region))) {
                by_zone.entry(entry.zone.clone()).or_default().push(entry);
            }
        }
        by_zone
    }

    /// The share of all callers that look-ups direct to this VM.
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

    /// The share of the work that each data centre can carry: the mean of its shares of the configured services,
    /// weighted by their slots. Services that the configuration does not have are ignored, as a backend server may
    /// register any name.
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
                *pool += f64::from(row.slots.0);
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

    /// Caps the shares of data centres by the links of their entry VMs.
    fn cap_by_links(&self, capacity: &mut BTreeMap<ZoneId, f64>) {
        let mut caps: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for entry in self.responsive_entries() {
            *caps.entry(entry.zone.clone()).or_default() += self.traffic.cap(entry);
        }
        cap_shares(capacity, &caps);
    }

    /// The regions to which callers of a host may be sent; `None` for all. The caller's own region is always included.
    ///
    /// A look-up does not include the request path. The home regions of the host's routes therefore apply once a caller that
    /// makes look-ups uses such routes. A caller may make its look-ups elsewhere, so they also apply once a part of all
    /// requests is on such routes or, while too few requests have been counted, if more than half of the host's routes have
    /// home regions.
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
        if !is_bound && !self.uses_homes(host) {
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
