//! Where a request goes: which backend servers may run it, which of them is cheapest, and whether it would be late.

use std::collections::BTreeMap;

use th_protocol::{RegionId, Time, ZoneId};

use super::{
    backend::Attempt,
    dispatcher::Dispatcher,
    job::{Job, Placement, Rejection},
    place::{Candidate, Heading, Pool, Scene, cheapest, millis},
    table::RowId,
};

/// Part of the expected work for which there must be time when a request that has waited is sent; work varies.
const LEAST_WORK: f64 = 0.8;

/// The backend servers that may run a request, by data centre.
pub(crate) type Usable = BTreeMap<ZoneId, Vec<RowId>>;

impl Dispatcher {
    /// The backend servers that may run a request, by data centre.
    fn usable(&self, job: &Job) -> Usable {
        let mut usable = BTreeMap::new();
        let home_regions = &job.route.home_regions;
        for (zone, ids) in self.backends.of_service(&job.service).into_iter().flatten() {
            let is_home = home_regions.is_empty()
                || self.region_of(zone).is_some_and(|it| home_regions.contains(it));
            if !is_home || self.evacuated.contains(zone) {
                continue;
            }
            let mut rows = Vec::with_capacity(ids.len());
            for id in ids {
                let row = self.backends.get(*id);
                let may =
                    row.is_some_and(|it| it.takes_work() && !job.tried.contains(&it.record.id));
                if may {
                    rows.push(*id);
                }
            }
            if !rows.is_empty() {
                usable.insert(zone.clone(), rows);
            }
        }
        usable
    }

    /// Leaves out the backend servers that failed lately, unless that leaves none.
    fn admitted(&self, usable: Usable, now: Time) -> Usable {
        let is_admitted = |id: &RowId| self.backends.get(*id).is_some_and(|it| it.is_admitted(now));
        if !usable.values().flatten().any(is_admitted) {
            return usable;
        }
        let mut admitted = usable;
        for ids in admitted.values_mut() {
            ids.retain(is_admitted);
        }
        admitted.retain(|_, ids| !ids.is_empty());
        admitted
    }

    pub(crate) fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.topology.zones.get(zone)
    }

    /// This VM's own pool first: its data centre, or its region where the data centre cannot keep all objects warm.
    /// Then the other data centres of the region, and those of other regions.
    fn pools(&self, mut usable: Usable, objects: usize) -> Vec<Pool> {
        let settings = &self.settings;
        let region = self.region_of(&self.zone);
        let is_near = |zone: &ZoneId| self.region_of(zone) == region;
        let mut own = Pool::default();
        if let Some(local) = usable.get(&self.zone)
            && objects <= settings.warm_objects * local.len()
        {
            own.backends = usable.remove(&self.zone).unwrap_or_default();
        } else {
            for (zone, ids) in &usable {
                if is_near(zone) {
                    own.backends.extend(ids.iter().copied());
                }
            }
            usable.retain(|zone, _| !is_near(zone));
        }
        let mut pools = vec![own];
        for (zone, backends) in usable {
            let remote = !is_near(&zone);
            let distance = if remote { settings.region_cost } else { settings.zone_cost };
            pools.push(Pool { backends, distance, remote, foreign: true });
        }
        pools
    }

    /// This VM's part of what a cold backend server takes in a second.
    fn cold_rate(&self, job: &Job) -> f64 {
        let rate = self.routes.as_ref().and_then(|it| it.cold_rate(&job.service)).unwrap_or(1.0);
        rate / self.entries.len().max(1) as f64
    }

    pub(crate) fn decide(&mut self, job: &Job, heading: &mut Heading, now: Time) -> Placement {
        if job.deadline <= now {
            return Placement::Reject(Rejection::Expired, self.settings.backoff_min);
        }
        let usable = self.usable(job);
        if usable.is_empty() {
            return Placement::Reject(Rejection::NoBackend, self.settings.backoff_max);
        }
        let usable = self.admitted(usable, now);
        let Some(best) = self.choose(job, usable, heading, now) else {
            return Placement::Wait;
        };
        let left = job.deadline.since(now).0 as f64;
        // Work that starts late is broken off at the limit, and then counts as run.
        let queued = 0.0 < best.wait || job.arrived < now;
        let needed = if queued { best.wait + best.work * LEAST_WORK } else { 0.0 };
        if left < needed {
            let back = millis(needed - left);
            let back = back.clamp(self.settings.backoff_min, self.settings.backoff_max);
            return Placement::Reject(Rejection::TooLate, back);
        }
        if !best.free {
            heading.add(best.row, job.route.rank);
            return Placement::Wait;
        }
        self.send(job, &best, now)
    }

    /// The cheapest backend server of the first pool that has one; other pools are for when this VM's has none.
    fn choose(
        &mut self,
        job: &Job,
        usable: Usable,
        heading: &Heading,
        now: Time,
    ) -> Option<Candidate> {
        let objects = self.objects.get(&job.service).map_or(0, BTreeMap::len);
        let local = usable.get(&self.zone).map_or(0, Vec::len);
        let is_local = 0 < local && objects <= self.settings.warm_objects * local;
        let pools = self.pools(usable.clone(), objects);
        let near = pools.iter().any(|it| !it.remote && !it.backends.is_empty());
        let settings = &self.settings;
        let away = !near || self.away.is_open(settings.spill_share, settings.spill_window, now);
        let rate = self.cold_rate(job);
        let scene = Scene { settings: &self.settings, work: &self.work, objects, rate, now };
        for pool in &pools {
            if pool.remote && !away {
                continue;
            }
            let found = cheapest(job, pool, &mut self.backends, heading, &scene);
            let Some(found) = found else {
                continue;
            };
            if is_local && !pool.foreign && !found.warm {
                let lender = self.lend(job, &usable, heading, now);
                if let Some(lender) = lender {
                    self.on_lent(job);
                    return Some(lender);
                }
            }
            return Some(found);
        }
        None
    }

    fn send(&mut self, job: &Job, best: &Candidate, now: Time) -> Placement {
        let Some(row) = self.backends.get_mut(best.row) else {
            return Placement::Wait;
        };
        self.attempts += 1;
        let attempt = Attempt {
            backend: row.record.id.clone(),
            number: self.attempts,
            sent: now,
            warm: best.warm,
            expected: millis(best.work),
        };
        row.start(&attempt);
        if row.is_cold(now) {
            row.cold_limiter.take_token();
        }
        if let Some(object) = job.object {
            row.warm.touch(object, self.settings.warm_objects);
        }
        self.away.add(best.remote, self.settings.spill_window, now);
        Placement::Send { attempt, address: row.record.address }
    }
}
