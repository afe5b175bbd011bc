//! Measured loads of regions and the ages of the measurements.

use th_protocol::{Millis, Time};

use super::{PendingEffects, RegionIx, RowRemap, ServiceIx, Settings, trust};

/// A measurement of the slots that are busy with a service's requests in a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Number of busy slots.
    pub busy: f32,
    /// Time of the measurement, on the clock of the VM that uses it.
    pub at: Time,
}

/// The load that the weights in force should cause in a region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Number of busy slots.
    pub slots: f32,
    /// Maximum error of a measurement, in slots, at which it is still used.
    pub tolerance: f32,
}

#[derive(Debug, Clone, Copy)]
struct Cell {
    sample: Option<LoadSample>,
    background: f32,
}

/// The last usable measurement per service and region.
#[derive(Debug, Clone)]
pub struct MeasuredLoads {
    regions: usize,
    cells: Vec<Cell>,
}

impl MeasuredLoads {
    /// Creates a table without measurements.
    pub fn new(services: usize, regions: usize) -> MeasuredLoads {
        let cell = Cell { sample: None, background: 0.0 };
        MeasuredLoads { regions, cells: vec![cell; services * regions] }
    }

    fn cell(&self, service: ServiceIx, region: RegionIx) -> usize {
        service.row() * self.regions + region.row()
    }

    /// Applies a measurement. Returns false if it is not newer than the last one, or if the effects
    /// that it shows only in part exceed the tolerance.
    ///
    /// The background load is the measured load, plus the effects that the measurement cannot show
    /// in full, minus the expected load. It is updated only if it changes by more than the
    /// tolerance. Effects that are partly visible are added in full, so the error is at most the
    /// tolerance. With no tolerance, a stream of small changes would make every measurement
    /// unusable.
    pub fn observe(
        &mut self,
        service: ServiceIx,
        region: RegionIx,
        sample: LoadSample,
        expected: ExpectedLoad,
        effects: &mut PendingEffects,
    ) -> bool {
        let cell = self.cell(service, region);
        if self.cells[cell].sample.is_some_and(|it| sample.at <= it.at) {
            return false;
        }
        if expected.tolerance < effects.partly_visible(service, region, sample.at) {
            return false;
        }
        effects.drop_visible(service, region, sample.at);
        let predicted = sample.busy + effects.pending(service, region);
        let mut background = predicted - expected.slots;
        let held = &mut self.cells[cell];
        if held.sample.is_some() && (background - held.background).abs() <= expected.tolerance {
            background = held.background; // do not move traffic because of noise
        }
        *held = Cell { sample: Some(sample), background };
        true
    }

    /// Measured load that the weights in force do not cause, in slots.
    pub fn background(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.cells[self.cell(service, region)].background.max(0.0)
    }

    /// The age of the last usable measurement; `None` if there is none.
    pub fn age(&self, service: ServiceIx, region: RegionIx, now: Time) -> Option<Millis> {
        self.cells[self.cell(service, region)].sample.map(|it| now.since(it.at))
    }

    /// Trust in the last usable measurement, from 0 to 1; 0 if there is none.
    pub(crate) fn trust(
        &self,
        service: ServiceIx,
        region: RegionIx,
        now: Time,
        settings: &Settings,
    ) -> f32 {
        self.age(service, region, now).map_or(0.0, |it| trust(it, settings))
    }

    /// Copies the measurements from the tables of the previous bundle.
    pub fn remap_from(&mut self, from: &MeasuredLoads, remap: &RowRemap) {
        for ((service, region), (to, cell)) in remap.region_pairs() {
            self.cells[to * self.regions + cell] = from.cells[service * from.regions + region];
        }
    }

    /// Memory that the table uses, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<Cell>()
    }
}
