//! Look-ups and the plan behind them, for one bundle.

use std::{collections::BTreeMap, net::Ipv4Addr};

use th_protocol::{
    Bundle, HeadroomDigest, Incarnation, MemberState, Millis, PeerRecord, Permille, RegionId,
    ServiceId, Time, ZoneId,
};

use crate::{
    limit::{Millionths, Movement, Refusal, ShiftLimiter, Weights as Shares},
    route::{
        Answer, ClassIx, Demand, Effects, Fleet, Inputs, Loads, Map, Planner, RegionIx, Sample,
        ServiceIx, Settings, Tables, VmState, lookup,
    },
};

/// Requests that a window without any is taken to have, so that the first request is no whole share.
const LEAST_REQUESTS: u64 = 20;

/// Requests over which the average time in a slot is taken.
const HOLD_WINDOW: f32 = 16.0;

/// The tables behind look-ups.
#[derive(Debug)]
pub(crate) struct Routing {
    settings: Settings,
    map: Map,
    fleet: Fleet,
    demand: Demand,
    loads: Loads,
    effects: Effects,
    planner: Planner,
    /// One limiter a service.
    limiters: BTreeMap<ServiceId, ShiftLimiter>,
    /// Requests of each service in the present and in the last period.
    requests: Vec<[u64; 2]>,
    /// How long a request of each service holds its slot on average, in milliseconds.
    holds: Vec<f32>,
    planned: Time,
    refreshed: Time,
}

impl Routing {
    /// Builds the tables of the first bundle.
    pub(crate) fn new(
        bundle: &Bundle,
        home: &ZoneId,
        settings: Settings,
        records: &[PeerRecord],
        now: Time,
    ) -> Routing {
        let map = Map::new(bundle, Some(home));
        let fleet = fleet(&map, records, &settings, now);
        let (services, regions) = (map.services().len(), map.regions().len());
        let demand = Demand::new(services, map.class_count(), now);
        let loads = Loads::new(services, regions);
        let effects = Effects::new(services, regions, settings.ttl);
        let inputs = Inputs { map: &map, fleet: &fleet, demand: &demand, loads: &loads };
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
            requests: vec![[0; 2]; services],
            holds: vec![0.0; services],
            planned: now,
            refreshed: now,
        };
        routing.set_limiters(bundle, now);
        routing
    }

    /// Takes a later bundle over. Weights in force stay until the cap on shifts lets them move.
    pub(crate) fn on_bundle(
        self,
        bundle: &Bundle,
        home: &ZoneId,
        records: &[PeerRecord],
        now: Time,
    ) -> Routing {
        let mut next = Routing::new(bundle, home, self.settings.clone(), records, now);
        for (service, limiter) in self.limiters {
            let Some(spec) = bundle.services.get(&service) else {
                continue;
            };
            let mut limiter = limiter;
            limiter.set_shift(spec.shift.clone());
            next.limiters.insert(service, limiter);
        }
        if self.map.services() == next.map.services()
            && self.map.regions() == next.map.regions()
            && self.map.class_count() == next.map.class_count()
        {
            next.demand = self.demand;
            next.loads = self.loads;
            next.effects = self.effects;
            next.requests = self.requests;
            next.holds = self.holds;
            next.planner = self.planner;
            return next;
        }
        next.carry(&self.map, &self.planner);
        next
    }

    /// Sets the weights that were in force before, row by row, where the new bundle has the region.
    fn carry(&mut self, map: &Map, planner: &Planner) {
        let regions = self.map.regions().to_vec();
        let classes = self.map.class_count();
        for (row, service) in self.map.services().to_vec().iter().enumerate() {
            let Some(old) = map.service_ix(service) else {
                continue;
            };
            for class in 0..classes.min(map.class_count()) {
                let before = planner.in_force().row(old, ClassIx(class as u16));
                let mut weights = vec![0.0; regions.len()];
                for (weight, region) in weights.iter_mut().zip(&regions) {
                    *weight = map.region_ix(region).map_or(0.0, |it| before[it.row()]);
                }
                let sum: f32 = weights.iter().sum();
                if sum <= 0.0 {
                    continue;
                }
                for weight in &mut weights {
                    *weight /= sum;
                }
                self.planner.set_in_force(ServiceIx(row as u16), ClassIx(class as u16), &weights);
            }
        }
    }

    /// A limiter for each service that has none.
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
        let tables = Tables {
            map: &self.map,
            fleet: &self.fleet,
            weights: self.planner.in_force(),
            settings: &self.settings,
        };
        lookup(&tables, service, source, now)
    }

    pub(crate) fn map(&self) -> &Map {
        &self.map
    }

    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Counts a request of a caller.
    pub(crate) fn count(&mut self, service: &ServiceId, source: Ipv4Addr) {
        let Some(row) = self.map.service_ix(service) else {
            return;
        };
        let place = self.map.place(source);
        self.demand.count(row, place.class, 1);
        self.requests[row.row()][0] += 1;
    }

    /// Takes over how long a request of a service held its slot, into a moving average.
    pub(crate) fn note_hold(&mut self, service: &ServiceId, held: Millis) {
        let Some(row) = self.map.service_ix(service) else {
            return;
        };
        let hold = &mut self.holds[row.row()];
        *hold += (held.0 as f32 - *hold) / HOLD_WINDOW;
        self.demand.set_hold(row, Millis(hold.max(1.0) as u64));
    }

    /// Lets one request move to another region, under the cap on shifts.
    pub(crate) fn try_move(
        &mut self,
        service: &ServiceId,
        from: &RegionId,
        to: &RegionId,
        now: Time,
    ) -> Result<(), Refusal> {
        let Some(row) = self.map.service_ix(service) else {
            return Ok(());
        };
        let [present, last] = self.requests[row.row()];
        let weight = Millionths::WHOLE.0 / present.max(last).max(LEAST_REQUESTS);
        let Some(limiter) = self.limiters.get_mut(service) else {
            return Ok(());
        };
        limiter.try_move(from, to, Millionths(weight), now)
    }

    /// Whether a request of a caller may run in `here`. Where its own region has no usable entry VM,
    /// it waits for the next step of the weights, which the cap on shifts bounds.
    pub(crate) fn admit(
        &mut self,
        service: &ServiceId,
        source: Ipv4Addr,
        here: &RegionId,
        now: Time,
    ) -> Result<(), Refusal> {
        let Some(row) = self.map.service_ix(service) else {
            return Ok(());
        };
        let answer = self.lookup(row, source, now);
        let chosen = answer.region.map(|it| &self.map.regions()[it.row()]);
        if !answer.diverted || chosen == Some(here) {
            return Ok(());
        }
        self.barred(service, now)
    }

    /// Why a block whose region has no usable entry VM cannot move yet.
    pub(crate) fn barred(&mut self, service: &ServiceId, now: Time) -> Result<(), Refusal> {
        let Some(limiter) = self.limiters.get_mut(service) else {
            return Ok(());
        };
        let regions = self.map.regions();
        let (Some(from), Some(to)) = (regions.first(), regions.last()) else {
            return Ok(());
        };
        // More than the whole is never free, so nothing is charged.
        limiter.try_move(from, to, Millionths(Millionths::WHOLE.0 + 1), now)
    }

    /// Takes the digests of headroom over as measured loads.
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
                let sample =
                    Sample { busy: busy * self.map.limit(service, region), at: now.before(oldest) };
                let expected = self.planner.expected(&self.map, service, region);
                self.loads.observe(service, region, sample, expected, &mut self.effects);
            }
        }
    }

    /// Refreshes the table of entry VMs, and plans when that is due.
    pub(crate) fn tick(
        &mut self,
        records: impl FnOnce() -> Vec<PeerRecord>,
        digests: impl FnOnce() -> Vec<HeadroomDigest>,
        refresh: Millis,
        now: Time,
    ) {
        if self.refreshed.after(refresh) <= now {
            self.refreshed = now;
            self.fleet = fleet(&self.map, &records(), &self.settings, now);
        }
        if self.planned.after(self.settings.period) <= now {
            self.planned = now;
            self.observe(&digests(), now);
            self.plan(now);
        }
    }

    fn plan(&mut self, now: Time) {
        self.demand.close(now);
        for counts in &mut self.requests {
            *counts = [0, counts[0]];
        }
        let inputs =
            Inputs { map: &self.map, fleet: &self.fleet, demand: &self.demand, loads: &self.loads };
        self.planner.tick(now, &inputs);
        // A VM sees little of what callers of other regions ask for, so a class counts at least as
        // much as it would if all were equal.
        let unseen = Demand::new(self.map.services().len(), self.map.class_count(), now);
        for (row, service) in self.map.services().iter().enumerate() {
            let row = ServiceIx(row as u16);
            let seen = self.planner.distance(row, &self.demand);
            let distance = seen.max(self.planner.distance(row, &unseen));
            let moved = Millionths((f64::from(distance) * Millionths::WHOLE.0 as f64) as u64);
            let Some(limiter) = self.limiters.get_mut(service) else {
                continue;
            };
            let allowed = limiter.allow(moved, self.settings.ttl, Movement::Spill, now);
            let share = (allowed.0 * u64::from(Permille::WHOLE.0)).checked_div(moved.0);
            self.planner.step(row, Permille(share.unwrap_or(1_000) as u32));
            self.planner.commit(row, now, &inputs, &mut self.effects);
        }
    }
}

/// The table of entry VMs that look-ups use.
fn fleet(map: &Map, records: &[PeerRecord], settings: &Settings, now: Time) -> Fleet {
    let mut fleet = Fleet::default();
    for record in records {
        let Some(zone) = map.zone_ix(&record.zone) else {
            continue;
        };
        // Known from the platform's list only: where it listens for callers is not known.
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
