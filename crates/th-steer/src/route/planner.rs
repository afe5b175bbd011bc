//! Computes the desired weights from observations and steps the weights in force towards them.

use th_protocol::{Permille, Time};

use super::{
    ClassIx, Demand, ExpectedLoad, Fleet, MeasuredLoads, PendingEffects, RegionIx, RouteMap,
    RowRemap, ServiceIx, Settings, Weights,
    fill::{RegionFill, Scratch},
    trust,
};

/// A weight closer than this to the desired one is set to it, so that a shift ends.
const SNAP_DISTANCE: f32 = 1e-4;

/// The tables that a tick reads.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInputs<'a> {
    /// Map of the bundle's blocks, regions and data centres.
    pub map: &'a RouteMap,
    /// The entry VMs. A region without a usable one gets no weight.
    pub fleet: &'a Fleet,
    /// Counted demand.
    pub demand: &'a Demand,
    /// Measured loads.
    pub loads: &'a MeasuredLoads,
}

/// The desired weights and the weights in force.
///
/// A tick sets the desired weights. The caller then moves the weights in force towards them as far
/// as the cap on shifts allows, with [`Planner::step`] or [`Planner::set_in_force`], and calls
/// [`Planner::commit`], all before the next window of the demand is closed.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    regions: usize,
    classes: usize,
    desired: Weights,
    in_force: Weights,
    /// Load that the weights in force should cause, in slots, per service and region.
    expected_slots: Vec<f32>,
    /// Accumulated changes of load that are still too small to be recorded as effects, in slots.
    unrecorded: Vec<f32>,
    /// Trust in the observations at the last tick, per service.
    trust: Vec<f32>,
    slots: Vec<f32>,
    static_weights: Vec<f32>,
    scratch: Scratch,
}

impl Planner {
    /// Creates a planner whose desired weights and weights in force both are the static plan.
    pub fn new(inputs: &PlannerInputs, settings: Settings, now: Time) -> Planner {
        let services = inputs.map.services().len();
        let regions = inputs.map.regions().len();
        let classes = inputs.map.class_count();
        let weights = Weights::new(services, classes, regions);
        let mut planner = Planner {
            settings,
            regions,
            classes,
            desired: weights.clone(),
            in_force: weights,
            expected_slots: vec![0.0; services * regions],
            unrecorded: vec![0.0; services * regions],
            trust: vec![0.0; services],
            slots: Vec::new(),
            static_weights: Vec::new(),
            scratch: Scratch::default(),
        };
        planner.tick(now, inputs);
        planner.in_force = planner.desired.clone();
        planner.tick(now, inputs);
        planner
    }

    /// Computes the desired weights of all services.
    pub fn tick(&mut self, now: Time, inputs: &PlannerInputs) {
        for service in 0..inputs.map.services().len() {
            let service = ServiceIx(service as u16);
            self.plan_service(service, now, inputs);
            self.update_expected(service, inputs.demand);
        }
    }

    fn plan_service(&mut self, service: ServiceIx, now: Time, inputs: &PlannerInputs) {
        let map = inputs.map;
        let known = self.read_demand(service, inputs);
        let total: f32 = self.slots.iter().sum();
        let (mut caps, mut capacity, mut plan) = (Vec::new(), Vec::new(), Vec::new());
        let mut overall_trust = 0.0;
        for region in 0..self.regions {
            let region = RegionIx(region as u16);
            let serves = inputs.fleet.has_usable_vm(region);
            let cap = if serves { map.limit(service, region) } else { 0.0 };
            let trust = inputs.loads.trust(service, region, now, &self.settings);
            overall_trust += trust / self.regions as f32;
            let share = map.planned_share(service, region) * total;
            caps.push(cap);
            capacity.push((cap - trust * inputs.loads.background(service, region)).max(0.0));
            plan.push(if known {
                share.min(cap)
            } else if 0.0 < cap {
                share
            } else {
                0.0
            });
        }
        let demand_trust =
            inputs.demand.age(service, now).map_or(0.0, |it| trust(it, &self.settings));
        let overall_trust = if known { demand_trust.min(overall_trust) } else { 0.0 };
        self.trust[service.row()] = overall_trust;
        let rows = self.desired.rows_mut(service);
        let demand = &self.slots;
        let measured_fill = RegionFill { map, demand, limits: &capacity, capacity: &capacity };
        measured_fill.write_weights(rows, &mut self.scratch);
        if 1.0 <= overall_trust && 0.0 < capacity.iter().sum::<f32>() {
            return;
        }
        self.static_weights.resize(rows.len(), 0.0);
        let static_fill = RegionFill { map, demand, limits: &plan, capacity: &caps };
        static_fill.write_weights(&mut self.static_weights, &mut self.scratch);
        let overall_trust = if 0.0 < capacity.iter().sum::<f32>() { overall_trust } else { 0.0 };
        for (weight, planned) in rows.iter_mut().zip(&self.static_weights) {
            *weight = overall_trust * *weight + (1.0 - overall_trust) * planned;
        }
    }

    /// Reads the demand per class into `slots` and returns whether any is known. If none is, all
    /// blocks are assumed to have the same demand.
    fn read_demand(&mut self, service: ServiceIx, inputs: &PlannerInputs) -> bool {
        self.slots.clear();
        for class in 0..self.classes {
            self.slots.push(inputs.demand.slots(service, ClassIx(class as u16)));
        }
        if 0.0 < self.slots.iter().sum::<f32>() {
            return true;
        }
        for (class, slots) in self.slots.iter_mut().enumerate() {
            *slots = inputs.map.block_count(ClassIx(class as u16)).max(1) as f32;
        }
        false
    }

    /// Computes the load that the weights in force should cause.
    fn update_expected(&mut self, service: ServiceIx, demand: &Demand) {
        let cells = service.row() * self.regions..(service.row() + 1) * self.regions;
        let expected = &mut self.expected_slots[cells];
        expected.fill(0.0);
        let rows = self.in_force.rows(service).chunks(self.regions);
        for (class, row) in rows.enumerate() {
            let slots = demand.slots(service, ClassIx(class as u16));
            for (total, weight) in expected.iter_mut().zip(row) {
                *total += slots * weight;
            }
        }
    }

    /// The load that the weights in force should cause in a region.
    pub fn expected_load(
        &self,
        map: &RouteMap,
        service: ServiceIx,
        region: RegionIx,
    ) -> ExpectedLoad {
        let slots = self.expected_slots[service.row() * self.regions + region.row()];
        let tolerance = map.limit(service, region) * self.settings.tolerance.0 as f32 / 1000.0;
        ExpectedLoad { slots, tolerance }
    }

    /// Trust in the observations at the last tick, from 0 (only the static plan is used) to 1.
    pub fn trust(&self, service: ServiceIx) -> f32 {
        self.trust[service.row()]
    }

    /// The weights that the last tick computed as the target.
    pub fn desired(&self) -> &Weights {
        &self.desired
    }

    /// The weights that look-ups use.
    pub fn in_force(&self) -> &Weights {
        &self.in_force
    }

    /// Upper bound, from 0 to 1, of the share of the service's blocks that would move if the
    /// desired weights came into force at once. Blocks are weighted by demand.
    ///
    /// Rendezvous hashing moves at most `2d / (1 + d)` of the blocks for a distance `d` between
    /// the weights. No stateless choice moves less in the worst case.
    pub fn distance(&self, service: ServiceIx, demand: &Demand) -> f32 {
        let desired = self.desired.rows(service).chunks(self.regions);
        let in_force = self.in_force.rows(service).chunks(self.regions);
        let (mut moved, mut total, mut unweighted) = (0.0, 0.0, 0.0);
        for (class, (to, from)) in desired.zip(in_force).enumerate() {
            let gap: f32 = to.iter().zip(from).map(|(a, b)| (a - b).abs()).sum::<f32>() / 2.0;
            let share = 2.0 * gap / (1.0 + gap);
            let slots = demand.slots(service, ClassIx(class as u16));
            moved += slots * share;
            total += slots;
            unweighted += share / self.classes as f32;
        }
        if total <= 0.0 { unweighted } else { moved / total }
    }

    /// Moves the weights in force towards the desired ones by `share` of their difference.
    pub fn step(&mut self, service: ServiceIx, share: Permille) {
        let share = share.0.min(1000) as f32 / 1000.0;
        let desired = self.desired.rows(service);
        for (weight, to) in self.in_force.rows_mut(service).iter_mut().zip(desired) {
            *weight += share * (to - *weight);
            if (to - *weight).abs() < SNAP_DISTANCE {
                *weight = *to;
            }
        }
    }

    /// Sets the weights in force of one class, by region.
    pub fn set_in_force(&mut self, service: ServiceIx, class: ClassIx, row: &[f32]) {
        let start = class.row() * self.regions;
        self.in_force.rows_mut(service)[start..start + self.regions].copy_from_slice(row);
    }

    /// Copies the weights in force from the planner of the previous bundle, so that a new bundle
    /// moves traffic only in steps. Classes that the previous bundle lacks start with the static
    /// plan.
    pub fn remap_from(&mut self, from: &Planner, remap: &RowRemap, demand: &Demand) {
        self.in_force.remap_from(&from.in_force, remap);
        for service in 0..remap.services.len() {
            self.update_expected(ServiceIx(service as u16), demand);
        }
        for ((service, region), (to, cell)) in remap.region_pairs() {
            self.unrecorded[to * self.regions + cell] =
                from.unrecorded[service * from.regions + region];
        }
    }

    /// Records the changes of load since the last tick as effects that are pending until measured.
    pub fn commit(
        &mut self,
        service: ServiceIx,
        now: Time,
        inputs: &PlannerInputs,
        effects: &mut PendingEffects,
    ) {
        let cells = service.row() * self.regions..(service.row() + 1) * self.regions;
        let before = self.expected_slots[cells].to_vec();
        self.update_expected(service, inputs.demand);
        let mut moving = false;
        for (region, before) in before.into_iter().enumerate() {
            let cell = service.row() * self.regions + region;
            let region = RegionIx(region as u16);
            self.unrecorded[cell] += self.expected_slots[cell] - before;
            let limit = inputs.map.limit(service, region);
            let threshold = limit * self.settings.deadband.0 as f32 / 1000.0;
            if self.unrecorded[cell].abs() <= threshold {
                continue;
            }
            effects.record(service, region, self.unrecorded[cell], now);
            self.unrecorded[cell] = 0.0;
            moving = true;
        }
        self.in_force.set_moving(service, moving);
    }

    /// Memory that the planner uses, in bytes.
    pub fn bytes(&self) -> usize {
        let floats = self.expected_slots.len() + self.unrecorded.len() + self.slots.len();
        self.desired.bytes() + self.in_force.bytes() + (floats + self.static_weights.len()) * 4
    }
}
