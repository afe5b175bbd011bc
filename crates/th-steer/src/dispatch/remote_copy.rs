//! Requests served by a warm copy of an object in another data centre of the region.
//!
//! Handles objects that are requested rarely in each data centre but often in the region as a whole. Warming a copy in
//! each data centre at the first request would make most requests cold for a while. Instead, each object has one
//! preferred server in the region, which all VMs compute alike, and a data centre warms its own copy only once its
//! requests have paid as much in distance as the copy costs. This is the ski-rental rule, whose cost is at most twice
//! the optimum.

use th_protocol::Time;

use super::{
    decide::Usable,
    dispatcher::Dispatcher,
    job::Job,
    place::{Candidate, WaitCounts},
    table::RowId,
};
use crate::route::mix;

impl Dispatcher {
    /// Returns another data centre's server for an object that is cold in this one, as long as a local copy does not
    /// pay off.
    pub(crate) fn find_remote_copy(
        &mut self,
        job: &Job,
        usable: &Usable,
        wait_counts: &WaitCounts,
        now: Time,
    ) -> Option<Candidate> {
        let object = job.object.filter(|_| job.route.sticky)?;
        let route = &job.route;
        let cold = self.work.expected(&route.name, false, route.objective);
        let warm = self.work.expected(&route.name, true, route.objective);
        let vms = self.entries.values().filter(|it| it.zone == self.zone).count().max(1);
        let remote_uses =
            self.objects.get(&job.service)?.get(object).map_or(0, |it| it.remote_uses);
        let distance = self.settings.zone_cost.0 as f64;
        if cold - warm <= distance * f64::from(remote_uses) * vms as f64 {
            return None;
        }
        let id = self.preferred_in_region(object, usable)?;
        let row = self.backends.get_mut(id)?;
        let slot = row.estimate_slot(wait_counts.ahead(id, route.rank), warm, &self.settings, now);
        if row.is_cold(now) || row.is_unresponsive(now) || !slot.free {
            return None;
        }
        let is_warm = row.warm.contains(object);
        let work = if is_warm { warm } else { cold } * row.slowdown(now);
        let cost = slot.wait + work + distance;
        Some(Candidate {
            row: id,
            cost,
            wait: slot.wait,
            work,
            warm: is_warm,
            free: true,
            cross_region: false,
        })
    }

    /// The preferred server of an object in this region, if it is in another data centre.
    fn preferred_in_region(&self, object: u64, usable: &Usable) -> Option<RowId> {
        let region = self.region_of(&self.zone)?;
        let mut first: Option<(u64, RowId, bool)> = None;
        for (zone, ids) in usable {
            if self.region_of(zone) != Some(region) {
                continue;
            }
            for id in ids {
                let Some(row) = self.backends.get(*id) else {
                    continue;
                };
                let weight = mix(row.hash ^ object);
                if first.is_none_or(|it| it.0 < weight) {
                    first = Some((weight, *id, *zone == self.zone));
                }
            }
        }
        first.filter(|it| !it.2).map(|it| it.1)
    }

    /// Counts a request for an object that another data centre of the region serves.
    pub(crate) fn count_remote_use(&mut self, job: &Job) {
        let Some(objects) = self.objects.get_mut(&job.service) else {
            return;
        };
        if let Some(usage) = job.object.and_then(|it| objects.get_mut(it)) {
            usage.remote_uses += 1;
        }
    }
}
