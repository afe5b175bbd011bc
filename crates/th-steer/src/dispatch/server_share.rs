//! This VM's part of the requests a second that a backend server accepts from all entry VMs together.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, RegionId, ServiceId, Time, VmId, ZoneId};

use super::{
    dispatcher::Dispatcher,
    pace::{Pace, rate_share},
    record::EntryRecord,
    table::RowId,
};
use crate::route::{hash_name, mix};

/// Time for which a VM that is no longer registered counts among those that share a server: longer than VMs that still
/// send requests lose sight of each other.
const MEMBER_MEMORY: Millis = Millis(30_000);
/// Rate assumed for cold servers of a service that is not configured, in requests a second.
const DEFAULT_COLD_RATE: f64 = 1.0;

/// An entry VM that may send requests.
#[derive(Debug, Clone)]
struct Member {
    zone: ZoneId,
    hash: u64,
    /// When it was last seen to be registered.
    seen: Option<Time>,
}

/// The entry VMs that share the servers, with those that were registered lately.
#[derive(Debug, Default)]
pub(crate) struct Members(BTreeMap<VmId, Member>);

impl Members {
    pub(crate) fn add(&mut self, entry: &EntryRecord) {
        let hash = hash_name(entry.vm.as_str());
        let member = Member { zone: entry.zone.clone(), hash, seen: None };
        self.0.insert(entry.vm.clone(), member);
    }

    /// Forgets those that have not been registered for a while.
    pub(crate) fn update(&mut self, entries: &BTreeMap<VmId, EntryRecord>, now: Time) {
        for (vm, member) in &mut self.0 {
            if entries.contains_key(vm) || member.seen.is_none() {
                member.seen = Some(now);
            }
        }
        let start = now.before(MEMBER_MEMORY);
        self.0.retain(|_, member| member.seen.is_none_or(|it| start <= it));
    }
}

impl Dispatcher {
    /// Requests a second that this VM may send to a server that accepts `rate` from all VMs, of which `burst` may come
    /// at the same moment. VMs of other regions send none while their regions have servers of the service.
    pub(crate) fn server_share(&self, id: RowId, rate: f64, burst: f64) -> f64 {
        let (Some(row), Some(own)) = (self.backends.get(id), self.members.0.get(&self.vm)) else {
            return 0.0;
        };
        let region = self.region_of(&row.record.zone);
        let served = self.serving_regions(&row.record.service);
        let is_sharing = |zone: &ZoneId| {
            let own = self.region_of(zone);
            own == region || own.is_none_or(|it| !served.contains(it))
        };
        if !is_sharing(&own.zone) {
            return 0.0;
        }
        let key = |it: &Member| mix(it.hash ^ row.hash);
        let (mut rank, mut vms) = (0, 0);
        for member in self.members.0.values().filter(|it| is_sharing(&it.zone)) {
            vms += 1;
            rank += usize::from(key(member) < key(own));
        }
        rate_share(rate, burst, rank, vms)
    }

    /// The fraction of the time between two requests after which this VM may send the first to a server.
    pub(crate) fn server_delay(&self, id: RowId) -> f64 {
        let server = self.backends.get(id).map_or(0, |it| it.hash);
        mix(mix(hash_name(self.vm.as_str())) ^ server) as f64 / u64::MAX as f64
    }

    /// The regions with servers of a service that accept work.
    fn serving_regions(&self, service: &ServiceId) -> BTreeSet<&RegionId> {
        let mut regions = BTreeSet::new();
        for (zone, ids) in self.backends.of_service(service).into_iter().flatten() {
            let accepts = |id: &RowId| self.backends.get(*id).is_some_and(|it| it.accepts_work());
            if !self.evacuated.contains(zone) && ids.iter().any(accepts) {
                regions.extend(self.region_of(zone));
            }
        }
        regions
    }

    /// Requests a second that this VM may send to a cold server.
    fn cold_share(&self, id: RowId) -> f64 {
        let service = self.backends.get(id).map(|it| &it.record.service);
        let rate = service.and_then(|it| self.routes.as_ref()?.cold_rate(it));
        let rate = rate.unwrap_or(DEFAULT_COLD_RATE);
        let burst = (self.settings.cold_multiplier - 1.0) * rate + self.settings.cold_slack;
        self.server_share(id, rate, burst)
    }

    /// Spaces the requests to a server that has turned cold.
    pub(crate) fn start_cold_pace(&mut self, id: RowId, now: Time) {
        let pace = Pace::new(self.cold_share(id), self.server_delay(id), now);
        if let Some(row) = self.backends.get_mut(id) {
            row.cold_pace = Some(pace);
        }
    }

    /// Brings this VM's parts in the rates of cold servers up to date with the VMs and servers that there are.
    pub(crate) fn update_cold_paces(&mut self, now: Time) {
        for id in self.backends.row_ids() {
            if !self.backends.get(id).is_some_and(|it| it.is_cold(now)) {
                continue;
            }
            let share = self.cold_share(id);
            if let Some(pace) = self.backends.get_mut(id).and_then(|it| it.cold_pace.as_mut()) {
                pace.set_share(share, now);
            }
        }
    }
}
