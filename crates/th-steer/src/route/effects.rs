//! Decided changes of load that measurements do not show yet.

use th_protocol::{Millis, Time};

use super::{RegionIx, RowRemap, ServiceIx};

/// Maximum number of effects per service and region. Beyond it, the two oldest are merged.
const MAX_EFFECTS: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Effect {
    decided_at: Time,
    slots: f32,
}

/// Decided changes of load that measurements do not show in full yet.
///
/// An effect counts until a measurement arrives that was taken at least one TTL after the decision,
/// since callers may follow cached look-up answers for that long.
#[derive(Debug, Clone)]
pub struct PendingEffects {
    regions: usize,
    ttl: Millis,
    cells: Vec<Vec<Effect>>,
}

impl PendingEffects {
    /// Creates an empty table. `ttl` is the longest time that callers cache an answer.
    pub fn new(services: usize, regions: usize, ttl: Millis) -> PendingEffects {
        PendingEffects { regions, ttl, cells: vec![Vec::new(); services * regions] }
    }

    fn cell(&self, service: ServiceIx, region: RegionIx) -> usize {
        service.row() * self.regions + region.row()
    }

    /// Records a decision that moves `slots` of load to the region, or away from it if negative.
    pub fn record(&mut self, service: ServiceIx, region: RegionIx, slots: f32, decided_at: Time) {
        let cell = self.cell(service, region);
        let effects = &mut self.cells[cell];
        if effects.len() == MAX_EFFECTS {
            let oldest = effects.remove(0);
            effects[0].slots += oldest.slots;
        }
        effects.push(Effect { decided_at, slots });
    }

    /// Sum of the sizes, in slots, of the effects that a measurement taken at `at` shows only in
    /// part: `at` is not before their decision, and less than one TTL after it.
    pub fn partly_visible(&self, service: ServiceIx, region: RegionIx, at: Time) -> f32 {
        let mut sum = 0.0;
        for effect in &self.cells[self.cell(service, region)] {
            if effect.decided_at <= at && at < effect.decided_at.after(self.ttl) {
                sum += effect.slots.abs();
            }
        }
        sum
    }

    /// Removes the effects that a measurement taken at `at` shows in full.
    pub(crate) fn drop_visible(&mut self, service: ServiceIx, region: RegionIx, at: Time) {
        let cell = self.cell(service, region);
        let ttl = self.ttl;
        self.cells[cell].retain(|it| at < it.decided_at.after(ttl));
    }

    /// Load, in slots, that is decided to move to the region and not yet measured.
    pub fn pending(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.cells[self.cell(service, region)].iter().map(|it| it.slots).sum()
    }

    /// Copies the pending effects from the tables of the previous bundle.
    pub fn remap_from(&mut self, from: &PendingEffects, remap: &RowRemap) {
        for ((service, region), (to, cell)) in remap.region_pairs() {
            self.cells[to * self.regions + cell]
                .clone_from(&from.cells[service * from.regions + region]);
        }
    }

    /// Memory that the table uses, in bytes.
    pub fn bytes(&self) -> usize {
        let mut total = self.cells.capacity() * size_of::<Vec<Effect>>();
        for cell in &self.cells {
            total += cell.capacity() * size_of::<Effect>();
        }
        total
    }
}
