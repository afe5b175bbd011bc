//! Measured loads of regions, with their ages.

use th_protocol::{Millis, Time};

use super::{PendingEffects, RegionIx, RowRemap, ServiceIx, Settings, trust};

/// A measurement of the slots that run a service's requests in a region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSample {
    /// Slots in use.
    pub busy: f32,
    /// When it was taken, on the reader's clock.
    pub at: Time,
}

/// The load that the weights in force should cause in a region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ExpectedLoad {
    /// Slots in use.
    pub slots: f32,
    /// Slots by which a measurement may be off and still be used.
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
    /// A table without measurements.
    pub fn new(services: usize, regions: usize) -> MeasuredLoads {
        let cell = Cell { sample: None, background: 0.0 };
        MeasuredLoads { regions, cells: vec![cell; services * regions] }
    }

    fn cell(&self, service: ServiceIx, region: RegionIx) -> usize {
        service.row() * self.regions + region.row()
    }

    /// Takes in a measurement; false where it is older than the last, or shows part of effects
    /// that are larger than the tolerance.
    ///
    /// What it shows beyond the expected load, once effects that it can't show in full are added,
    /// is background load; it changes only by more than the tolerance. Effects shown in part are counted in full, so that the error is at most the
    /// tolerance; without one, a stream of small changes would leave no measurement to use.
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
            background = held.background; // noise moves no traffic
        }
        *held = Cell { sample: Some(sample), background };
        true
    }

    /// Load that the weights in force don't explain, in slots.
    pub fn background(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.cells[self.cell(service, region)].background.max(0.0)
    }

    /// The age of the last usable measurement.
    pub fn age(&self, service: ServiceIx, region: RegionIx, now: Time) -> Option<Millis> {
        self.cells[self.cell(service, region)].sample.map(|it| now.since(it.at))
    }

    /// Trust in the last usable measurement; 0 where there is none.
    pub(crate) fn trust(
        &self,
        service: ServiceIx,
        region: RegionIx,
        now: Time,
        settings: &Settings,
    ) -> f32 {
        self.age(service, region, now).map_or(0.0, |it| trust(it, settings))
    }

    /// Takes over the measurements from the tables of the bundle before.
    pub fn remap_from(&mut self, from: &MeasuredLoads, remap: &RowRemap) {
        for ((service, region), (to, cell)) in remap.region_pairs() {
            self.cells[to * self.regions + cell] = from.cells[service * from.regions + region];
        }
    }

    /// Bytes of memory held.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<Cell>()
    }
}
