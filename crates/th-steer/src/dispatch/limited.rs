//! Backend servers that limit the requests that they accept from all entry VMs together.

use std::collections::BTreeSet;

use th_protocol::{BackendId, RegionId, RequestRate, ServiceId, Time};

use super::{
    backend::BackendRow,
    dispatcher::Dispatcher,
    pace::{Pace, rate_share},
    record::EntryRecord,
    table::RowId,
};
use crate::route::{hash_name, mix};

/// Number of requests that may exceed a limit, as seconds at its rate: half of the 4 s over which the users count.
const BURST_S: f64 = 2.0;
/// Least rate in requests a second at which all VMs together try whether a limit has ended.
const MIN_RATE: f64 = 0.1;

/// A server's limit, and this VM's part in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limited {
    pub(crate) rate: RequestRate,
    pub(crate) pace: Pace,
}

/// A VM's place in the order of those that share a server's limit, which all VMs compute alike.
fn order_key(entry: &EntryRecord, row: &BackendRow) -> u64 {
    mix(hash_name(entry.vm.as_str()) ^ row.hash)
}

impl Dispatcher {
    /// Applies the limit on requests that a backend server stated with an answer; `None` if it stated none. Returns
    /// whether that differs from its last answer.
    pub fn on_limit(&mut self, backend: &BackendId, limit: Option<RequestRate>, now: Time) -> bool {
        let Some(id) = self.backends.id(backend) else {
            return false;
        };
        let before = self.backends.get(id).and_then(|it| it.limited);
        if before.map(|it| it.rate) == limit {
            return false;
        }
        let limited = limit.map(|rate| {
            let share = self.limit_share(id, rate);
            let pace = match before {
                Some(mut it) => {
                    it.pace.set_share(share, now);
                    it.pace
                }
                None => Pace::new(share, self.limit_delay(id), now),
            };
            Limited { rate, pace }
        });
        if let Some(row) = self.backends.get_mut(id) {
            row.limited = limited;
        }
        true
    }

    /// Brings this VM's parts in servers' limits up to date with the VMs and servers that there are.
    pub(crate) fn update_limits(&mut self, now: Time) {
        for (backend, rate) in self.limited() {
            let Some(id) = self.backends.id(&backend) else {
                continue;
            };
            let share = self.limit_share(id, rate);
            if let Some(limited) = self.backends.get_mut(id).and_then(|it| it.limited.as_mut()) {
                limited.pace.set_share(share, now);
            }
        }
    }

    /// The backend servers that limit their requests, with their limits.
    pub fn limited(&self) -> Vec<(BackendId, RequestRate)> {
        let rows = self.backends.iter();
        rows.filter_map(|it| Some((it.record.id.clone(), it.limited?.rate))).collect()
    }

    /// Requests a second that this VM may send to a server with a limit. VMs of other regions send none while their
    /// regions have servers of the service.
    fn limit_share(&self, id: RowId, rate: RequestRate) -> f64 {
        let Some(row) = self.backends.get(id) else {
            return 0.0;
        };
        let region = self.region_of(&row.record.zone);
        let served = self.serving_regions(&row.record.service);
        let mut keys = Vec::new();
        for entry in self.entries.values() {
            let own = self.region_of(&entry.zone);
            if own == region || own.is_none_or(|it| !served.contains(it)) {
                keys.push((order_key(entry, row), &entry.vm));
            }
        }
        let Some((own, _)) = keys.iter().find(|it| *it.1 == self.vm) else {
            return 0.0;
        };
        let rank = keys.iter().filter(|it| it.0 < *own).count();
        let rate = rate.requests().max(MIN_RATE);
        rate_share(rate, BURST_S * rate, rank, keys.len())
    }

    /// The fraction of the time between two requests after which this VM may send the first to a server that has just
    /// stated a limit.
    fn limit_delay(&self, id: RowId) -> f64 {
        let hash = self.backends.get(id).map_or(0, |it| it.hash);
        mix(mix(hash_name(self.vm.as_str())) ^ hash) as f64 / u64::MAX as f64
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
}
