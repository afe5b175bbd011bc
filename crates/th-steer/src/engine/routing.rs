//! Routing tables of one bundle: look-ups and the plan of traffic between regions.

use std::{collections::BTreeMap, net::Ipv4Addr};

use th_protocol::{
    Bundle, HeadroomDigest, Incarnation, MemberState, Millis, PeerRecord, Permille, RegionId,
    ServiceId, Time, ZoneId,
};

use crate::{
    limit::{Millionths, Rejection, ShiftCause, ShiftLimiter, Weights as Shares},
    route::{
        Answer, Demand, Fleet, LoadSample, LookupTables, MeasuredLoads, PendingEffects, Planner,
        PlannerInputs, RegionIx, RouteMap, RowRemap, ServiceIx, Settings, VmState, lookup,
    },
};

/// Lowest number of requests assumed in a window, so that one request in an idle window does not count
/// as the whole traffic of its service.
const MIN_WINDOW_REQUESTS: u64 = 20;

/// Number of requests over which the moving average of slot hold times is taken.
const HOLD_AVERAGE_REQUESTS: f32 = 16.0;

/// Request counts of one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceCount {
    /// Requests in the present period.
    present: u64,
    /// Requests in the last period.
    last: u64,
    /// Average time that a request holds its slot, in milliseconds.
    hold: f32,
}

/// The tables that answer look-ups, and the planner that updates their weights.
#[derive(Debug)]
pub(crate) struct Routing {
    settings: Settings,
    map: RouteMap,
    fleet: Fleet,
    demand: Demand,
    loads: MeasuredLoads,
    effects: PendingEffects,
    planner: Planner,
    /// The limiter of traffic shifts of each service.
    limiters: BTreeMap<ServiceId, ShiftLimiter>,
    /// Request counts of each service.
    counts: BTreeMap<ServiceId, ServiceCount>,
    last_plan: Time,
    last_refresh: Time,
}

impl Routing {
    /// Builds the tables for the first bundle.
    pub(crate) fn new(
        bundle: &Bundle,
        home: &ZoneId,
        settings: Settings,
        records: &[PeerRecord],
        now: Time,
    ) -> Routing {
        Routing::with_fleet(Fleet::default(), bundle, home, settings, records, now)
    }

    /// Builds the tables, reusing the slot tables of an earlier fleet where its VMs are the same.
    fn with_fleet(
        earlier: Fleet,
        bundle: &Bundle,
        home: &ZoneId,
        settings: Settings,
        records: &[PeerRecord],
        now: Time,
    ) -> Routing {
        let map = RouteMap::new(bundle, Some(home));
        let fleet = fleet(earlier, &map, records, &settings, now);
        let (services, regions) = (map.services().len(), map.regions().len());
        let demand = Demand::new(services, map.class_count(), now);
        let loads = MeasuredLoads::new(services, regions);
        let effects = PendingEffects::new(services, regions, settings.ttl);
        let inputs = PlannerInputs { map: &map, fleet: &fleet, demand: &demand, loads: &loads };
        let planner = Planner::new(&inputs, settings.clone(), now);
        let mut routing = Routing {
            settings,
            map,
            fleet,
            demand,
            loads,
            effects,
            planner,
            limiters: BTreeMap::new(),
            counts: bundle
                .services
                .keys()
                .map(|id| (id.clone(), ServiceCount::default()))
                .collect(),
            last_plan: now,
            last_refresh: now,
        };
        routing.set_limiters(bundle, now);
        routing
    }

    /// Builds the tables for a later bundle. The weights in force stay until the cap on shifts lets them
    /// change.
    pub(crate) fn on_bundle(
        mut self,
        bundle: &Bundle,
        home: &ZoneId,
        records: &[PeerRecord],
        now: Time,
    ) -> Routing {
        let fleet = std::mem::take(&mut self.fleet);
        let settings = self.settings.clone();
        let mut next = Routing::with_fleet(fleet, bundle, home, settings, records, now);
        for (service, limiter) in self.limiters {
            let Some(spec) = bundle.services.get(&service) else {
                continue;
            };
            let mut limiter = limiter;
            limiter.set_shift(spec.shift.clone());
            next.limiters.insert(service, limiter);
        }
        let rows = RowRemap::new(&self.map, &next.map);
        next.demand.remap_from(&self.demand, &rows);
        next.loads.remap_from(&self.loads, &rows);
        next.effects.remap_from(&self.effects, &rows);
        next.planner.remap_from(&self.planner, &rows, &next.demand);
        for (service, row) in &self.counts {
            if let Some(it) = next.counts.get_mut(service) {
                *it = *row;
            }
        }
        // Plan at the next tick, so that traffic begins to move to the new bundle's weights.
        next.last_plan = Time::ZERO;
        next
    }

    /// Creates a limiter for each service that has none.
    fn set_limiters(&mut self, bundle: &Bundle, now: Time) {
        for (id, service) in &bundle.services {
            if self.limiters.contains_key(id) {
                continue;
            }
            let mut weights = BTreeMap::new();
            for (region, target) in &service.regions {
                weights.insert(region.clone(), target.weight);
            }
            let shares = Shares::new(&weights);
            let limiter = ShiftLimiter::new(service.shift.clone(), shares, self.settings.ttl, now);
            self.limiters.insert(id.clone(), limiter);
        }
    }

    /// Answers a look-up.
    pub(crate) fn lookup(&self, service: ServiceIx, source: Ipv4Addr, now: Time) -> Answer {
        let tables = LookupTables {
            map: &self.map,
            fleet: &self.fleet,
            weights: self.planner.in_force(),
            settings: &self.settings,
        };
        lookup(&tables, service, source, now)
    }

    pub(crate) fn map(&self) -> &RouteMap {
        &self.map
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Counts a caller's request.
    pub(crate) fn count_request(&mut self, service: &ServiceId, source: Ipv4Addr) {
        let Some(row) = self.map.service_ix(service) else {
            return;
        };
        let block = self.map.find_block(source);
        self.demand.count(row, block.class, 1);
        if let Some(count) = self.counts.get_mut(service) {
            count.present += 1;
        }
    }

    /// Adds the time that a request of a service held its slot to the moving average.
    pub(crate) fn record_hold(&mut self, service: &ServiceId, held: Millis) {
        let Some(row) = self.map.service_ix(service) else {
            return;
        };
        let Some(count) = self.counts.get_mut(service) else {
            return;
        };
        count.hold += (held.0 as f32 - count.hold) / HOLD_AVERAGE_REQUESTS;
        self.demand.set_hold(row, Millis(count.hold.max(1.0) as u64));
    }

    /// Charges the move of one request to another region to the cap on shifts.
    pub(crate) fn try_move(
        &mut self,
        service: &ServiceId,
        from: &RegionId,
        to: &RegionId,
        now: Time,
    ) -> Result<(), Rejection> {
        let count = self.counts.get(service).copied().unwrap_or_default();
        let weight = Millionths::WHOLE.0 / count.present.max(count.last).max(MIN_WINDOW_REQUESTS);
        let Some(limiter) = self.limiters.get_mut(service) else {
            return Ok(());
        };
        limiter.try_move(from, to, Millionths(weight), now)
    }

    /// Records the headroom digests as measured loads.
    pub(crate) fn observe(&mut self, digests: &[HeadroomDigest], now: Time) {
        for (row, region) in self.map.regions().to_vec().iter().enumerate() {
            let (mut free, mut count, mut oldest) = (0, 0, Millis::ZERO);
            for digest in digests {
                if digest.region != *region {
                    continue;
                }
                free += digest.free.0;
                count += 1;
                oldest = oldest.max(digest.age);
            }
            if count == 0 {
                continue;
            }
            let busy = 1.0 - free as f32 / count as f32 / Permille::WHOLE.0 as f32;
            let region = RegionIx(row as u16);
            for service in 0..self.map.services().len() {
                let service = ServiceIx(service as u16);
                let sample = LoadSample {
                    busy: busy * self.map.limit(service, region),
                    at: now.before(oldest),
                };
                let expected = self.planner.expected_load(&self.map, service, region);
                self.loads.observe(service, region, sample, expected, &mut self.effects);
            }
        }
    }

    /// Refreshes the table of entry VMs and the plan when they are due.
    pub(crate) fn tick(
        &mut self,
        records: impl FnOnce() -> Vec<PeerRecord>,
        digests: impl FnOnce() -> Vec<HeadroomDigest>,
        refresh: Millis,
        now: Time,
    ) {
        if self.last_refresh.after(refresh) <= now {
            self.last_refresh = now;
            let usable = self.usable_regions();
            let earlier = std::mem::take(&mut self.fleet);
            self.fleet = fleet(earlier, &self.map, &records(), &self.settings, now);
            if usable != self.usable_regions() {
                // A region has lost its last usable entry VM or has one again: plan at once.
                self.last_plan = Time::ZERO;
            }
        }
        if self.last_plan.after(self.settings.period) <= now {
            self.last_plan = now;
            self.observe(&digests(), now);
            self.plan(now);
        }
    }

    /// Whether each region has a usable entry VM.
    fn usable_regions(&self) -> Vec<bool> {
        let rows = 0..self.map.regions().len();
        rows.map(|row| self.fleet.has_usable_vm(RegionIx(row as u16))).collect()
    }

    /// Time until the cap on shifts allows the next part of a pending shift.
    pub(crate) fn next_shift(&mut self, service: &ServiceId, now: Time) -> Millis {
        match self.limiters.get_mut(service) {
            Some(limiter) => limiter.next_free(now),
            None => self.settings.period,
        }
    }

    fn plan(&mut self, now: Time) {
        self.demand.close_window(now);
        for count in self.counts.values_mut() {
            *count = ServiceCount { present: 0, last: count.present, ..*count };
        }
        let inputs = PlannerInputs {
            map: &self.map,
            fleet: &self.fleet,
            demand: &self.demand,
            loads: &self.loads,
        };
        self.planner.tick(now, &inputs);
        // A VM sees few requests of callers in other regions, so each class counts at least as much as
        // if all known classes had equal demand. One class stands for unknown blocks and is left out.
        let classes = self.map.class_count();
        let uniform = Demand::new(self.map.services().len(), classes, now);
        let scale = classes as f32 / classes.saturating_sub(1).max(1) as f32;
        for (row, service) in self.map.services().iter().enumerate() {
            let row = ServiceIx(row as u16);
            let seen = self.planner.distance(row, &self.demand);
            let distance = seen.max(self.planner.distance(row, &uniform) * scale).min(1.0);
            let moved = Millionths((f64::from(distance) * Millionths::WHOLE.0 as f64) as u64);
            let Some(limiter) = self.limiters.get_mut(service) else {
                continue;
            };
            let allowed = limiter.allow(moved, self.settings.ttl, ShiftCause::Spill, now);
            let share = (allowed.0 * u64::from(Permille::WHOLE.0)).checked_div(moved.0);
            self.planner.step(row, Permille(share.unwrap_or(1_000) as u32));
            self.planner.commit(row, now, &inputs, &mut self.effects);
        }
    }
}

/// Builds the table of entry VMs that look-ups use.
fn fleet(
    earlier: Fleet,
    map: &RouteMap,
    records: &[PeerRecord],
    settings: &Settings,
    now: Time,
) -> Fleet {
    let mut fleet = Fleet::reusing_tables(earlier);
    for record in records {
        let Some(zone) = map.zone_ix(&record.zone) else {
            continue;
        };
        // The VM is known only from the platform's list, which lacks its listener's address for callers.
        if record.incarnation == Incarnation::ZERO {
            continue;
        }
        let vm = fleet.insert(record.vm.clone(), zone, record.callers, now);
        let state = match record.state {
            MemberState::Live => VmState::Live,
            MemberState::Leaving => VmState::Leaving,
            MemberState::Suspect => VmState::Suspected,
            MemberState::Dead => VmState::Dead,
        };
        fleet.observe(vm, state, now);
    }
    fleet.refresh(map, settings, now);
    fleet
}
