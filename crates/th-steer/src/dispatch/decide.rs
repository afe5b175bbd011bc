//! Placement decision for a request: which backend servers may run it, which of them is cheapest, and whether it would
//! finish before its deadline.

use std::{collections::BTreeMap, sync::Arc};

use th_protocol::{BackendId, Millis, RegionId, Time, Version, ZoneId};

use super::{
    admission::comeback_time,
    backend::{Attempt, drag_time},
    dispatcher::Dispatcher,
    job::{Job, Placement, Rejection},
    objects::ObjectsInUse,
    place::{Candidate, CostInputs, Pool, WaitCounts, cheapest, millis},
    route::Route,
    table::RowId,
};

/// Fraction of the expected work that must fit before the deadline when a request that has waited is sent; below 1
/// because actual work varies.
const MIN_WORK: f64 = 0.8;

/// The backend servers that may run a request, by data centre.
pub(crate) type Usable = BTreeMap<ZoneId, Vec<RowId>>;

impl Dispatcher {
    /// Returns the servers of the request's service that accept new requests and to which it has not been sent, in its
    /// home regions and outside evacuated data centres.
    fn usable(&self, job: &Job, now: Time) -> Usable {
        let mut usable = BTreeMap::new();
        for (zone, ids) in self.backends.of_service(&job.service).into_iter().flatten() {
            if !job.allows(self.region_of(zone)) || self.evacuated.contains(zone) {
                continue;
            }
            let mut rows = Vec::with_capacity(ids.len());
            for id in ids {
                let row = self.backends.get(*id);
                let is_usable = row.is_some_and(|it| {
                    it.accepts_work() && !it.is_resting(now) && !job.tried.contains(&it.record.id)
                });
                if is_usable {
                    rows.push(*id);
                }
            }
            if !rows.is_empty() {
                usable.insert(zone.clone(), rows);
            }
        }
        usable
    }

    /// Removes ejected backend servers, unless that would leave none, and dragging ones, unless they are more than half
    /// of their data centre's: the others could not take over their load.
    fn eligible(&self, usable: Usable, now: Time) -> Usable {
        let is_eligible = |id: &RowId| self.backends.get(*id).is_some_and(|it| it.is_eligible(now));
        if !usable.values().flatten().any(is_eligible) {
            return usable;
        }
        let mut eligible = usable;
        for ids in eligible.values_mut() {
            ids.retain(is_eligible);
        }
        eligible.retain(|_, ids| !ids.is_empty());
        let is_fast = |id: &RowId| self.backends.get(*id).is_some_and(|it| !it.is_dragging(now));
        for ids in eligible.values_mut() {
            let fast: Vec<RowId> = ids.iter().copied().filter(is_fast).collect();
            if ids.len() <= 2 * fast.len() {
                *ids = fast;
            }
        }
        eligible
    }

    pub(crate) fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.topology.zones.get(zone)
    }

    /// Gives a request that was routed by a configuration of that version the home regions that its route has now.
    pub fn renew_homes(&self, job: &mut Job, version: Version) {
        let Some(routes) = self.routes.as_ref().filter(|it| it.version() != version) else {
            return;
        };
        let route = &job.route;
        let mut named = routes.of_host(&route.host).iter();
        let current = named.find(|it| it.name == route.name && it.prefix == route.prefix);
        if let Some(current) = current.filter(|it| it.home_regions != route.home_regions) {
            let home_regions = current.home_regions.clone();
            job.route = Arc::new(Route { home_regions, ..(**route).clone() });
        }
    }

    /// Whether a request may run at a backend server, by the server's region.
    pub fn may_run_at(&self, job: &Job, backend: &BackendId) -> bool {
        self.backend(backend).is_some_and(|it| job.allows(self.region_of(&it.zone)))
    }

    /// Returns the pools, this VM's own one first: its data centre, or its whole region if the data centre cannot keep
    /// all objects warm. Each remaining data centre is a pool of its own; these follow in the order of their ids.
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
            let cross_region = !is_near(&zone);
            let distance = if cross_region { settings.region_cost } else { settings.zone_cost };
            pools.push(Pool { backends, distance, cross_region, foreign: true });
        }
        pools
    }

    /// Decides where a request goes. Reserves a slot if it can be sent now, and counts it in `wait_counts` if it waits
    /// for a particular backend server.
    pub(crate) fn decide(
        &mut self,
        job: &Job,
        wait_counts: &mut WaitCounts,
        now: Time,
    ) -> Placement {
        if job.deadline <= now {
            return Placement::Reject(Rejection::Expired, self.settings.backoff_min);
        }
        if self.closes.is_some_and(|it| it <= now) {
            return Placement::Reject(Rejection::Stopping, self.settings.backoff_min);
        }
        if self.is_isolated() {
            return Placement::Reject(Rejection::Isolated, self.settings.backoff_min);
        }
        let usable = self.usable(job, now);
        if usable.is_empty() {
            let back = self.rest_left(job, now).unwrap_or(self.settings.backoff_max);
            let back = back.clamp(self.settings.backoff_min, self.settings.max_rest);
            return Placement::Reject(Rejection::NoBackend, back);
        }
        let usable = self.eligible(usable, now);
        let Some(best) = self.choose(job, usable, wait_counts, now) else {
            return self.wait_for(job, 0.0, now);
        };
        let remaining = job.deadline.since(now).0 as f64;
        // Work that starts too late is aborted at the deadline, and then counts as executed.
        let queued = 0.0 < best.wait || job.arrived < now;
        let least = best.wait + best.work * MIN_WORK;
        if self.closes.is_some_and(|it| (it.since(now).0 as f64) < least) {
            return Placement::Reject(Rejection::Stopping, self.settings.backoff_min);
        }
        let needed = if queued { least } else { 0.0 };
        if remaining < needed {
            let backoff = millis(needed - remaining);
            let backoff = backoff.clamp(self.settings.backoff_min, self.settings.backoff_max);
            return Placement::Reject(Rejection::TooLate, backoff);
        }
        if !best.free {
            let placement = self.wait_for(job, best.wait, now);
            if placement == Placement::Wait {
                wait_counts.add(best.row, job.rank());
            }
            return placement;
        }
        self.start_attempt(job, &best, now)
    }

    /// Lets a request wait for a slot that is expected to be free in `wait` milliseconds, if that is in time.
    fn wait_for(&self, job: &Job, wait: f64, now: Time) -> Placement {
        let Some(time_left) = job.start_by.map(|it| it.since(now).0 as f64) else {
            return Placement::Wait;
        };
        if 0.0 < time_left && wait <= time_left {
            return Placement::Wait;
        }
        let settings = &self.settings;
        let back = millis(wait - time_left).clamp(settings.backoff_min, settings.backoff_max);
        Placement::Reject(Rejection::LongWait, back)
    }

    /// Returns the time after which the caller of a request that servers turned away may come back.
    pub fn comeback(&self, job: &Job, now: Time) -> Millis {
        let settings = &self.settings;
        let route = &job.route;
        let work = self.work.expected(&route.name, true, route.objective);
        let mut usable = self.eligible(self.usable(job, now), now);
        let region = self.region_of(&self.zone);
        if usable.keys().any(|it| self.region_of(it) == region) {
            // Slots of other regions are no reason to come back here.
            usable.retain(|it, _| self.region_of(it) == region);
        }
        let rows = usable.values().flatten().filter_map(|it| self.backends.get(*it));
        let waits = rows.map(|it| it.estimate_slot(0, work, settings, now).wait);
        comeback_time(waits, settings.backoff_max).unwrap_or(settings.backoff_min)
    }

    /// Chooses the cheapest backend server of the first pool that has a usable one; other pools serve only as a
    /// fallback for this VM's own.
    fn choose(
        &mut self,
        job: &Job,
        usable: Usable,
        wait_counts: &WaitCounts,
        now: Time,
    ) -> Option<Candidate> {
        let objects = self.objects.get(&job.service).map_or(0, ObjectsInUse::estimate);
        let local = usable.get(&self.zone).map_or(0, Vec::len);
        let is_local = 0 < local && objects <= self.settings.warm_objects * local;
        let pools = self.pools(usable.clone(), objects);
        let has_local_pool = pools.iter().any(|it| !it.cross_region && !it.backends.is_empty());
        let settings = &self.settings;
        let may_spill = !has_local_pool
            || self.spill.has_budget(settings.spill_share, settings.spill_window, now);
        let inputs = CostInputs { settings: &self.settings, work: &self.work, objects, now };
        for pool in &pools {
            if pool.cross_region && !may_spill {
                continue;
            }
            let found = cheapest(job, pool, &mut self.backends, wait_counts, &inputs);
            let Some(found) = found else {
                continue;
            };
            if is_local && !pool.foreign && !found.warm {
                let copy = self.find_remote_copy(job, &usable, wait_counts, now);
                if let Some(copy) = copy {
                    self.count_remote_use(job);
                    return Some(copy);
                }
            }
            return Some(found);
        }
        None
    }

    /// Reserves a slot of the chosen backend server, and returns the attempt that the caller is to send.
    fn start_attempt(&mut self, job: &Job, best: &Candidate, now: Time) -> Placement {
        let usual = self.work.expected(&job.route.name, best.warm, job.route.objective);
        let Some(row) = self.backends.get_mut(best.row) else {
            return Placement::Wait;
        };
        self.last_attempt += 1;
        let attempt = Attempt {
            backend: row.record.id.clone(),
            number: self.last_attempt,
            sent: now,
            warm: best.warm,
            expected: millis(best.work),
            drag: drag_time(millis(usual), job.route.objective),
        };
        row.start(&attempt);
        if row.is_cold(now)
            && let Some(pace) = &mut row.cold_pace
        {
            pace.take(now);
        }
        if let Some(object) = job.object {
            row.warm.touch(object, self.settings.warm_objects);
        }
        if let Some(organisation) = &job.organisation {
            self.fair_shares.on_start(&job.service, organisation, attempt.expected);
        }
        self.spill.add(best.cross_region, self.settings.spill_window, now);
        Placement::Send { attempt, address: row.record.address }
    }
}
