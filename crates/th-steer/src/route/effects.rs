//! Effects of decisions that no measurement shows yet.

use th_protocol::{Millis, Time};

use super::{RegionIx, RowRemap, ServiceIx};

/// Most effects kept for one service and region; the oldest are merged beyond it.
const MAX_EFFECTS: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Effect {
    decided_at: Time,
    slots: f32,
}

/// Changes of load that were decided and that no measurement shows yet.
///
/// An effect is counted until a measurement taken at or after its decision plus the TTL arrives.
#[derive(Debug, Clone)]
pub struct PendingEffects {
    regions: usize,
    ttl: Millis,
    cells: Vec<Vec<Effect>>,
}

impl PendingEffects {
    /// An empty table; `ttl` is the longest time that callers keep an answer.
    pub fn new(services: usize, regions: usize, ttl: Millis) -> PendingEffects {
        PendingEffects { regions, ttl, cells: vec![Vec::new(); services * regions] }
    }

    fn cell(&self, service: ServiceIx, region: RegionIx) -> usize {
        service.row() * self.regions + region.row()
    }

    /// Records that `slots` of load move to the region, or away where negative.
    pub fn record(&mut self, service: ServiceIx, region: RegionIx, slots: f32, decided_at: Time) {
        let cell = self.cell(service, region);
        let effects = &mut self.cells[cell];
        if effects.len() == MAX_EFFECTS {
            let oldest = effects.remove(0);
            effects[0].slots += oldest.slots;
        }
        effects.push(Effect { decided_at, slots });
    }

    /// Slots of effects that a measurement taken at `at` shows in part: it was taken after their
    /// decision and before their TTL was over.
    pub fn partly_visible(&self, service: ServiceIx, region: RegionIx, at: Time) -> f32 {
        let mut sum = 0.0;
        for effect in &self.cells[self.cell(service, region)] {
            if effect.decided_at <= at && at < effect.decided_at.after(self.ttl) {
                sum += effect.slots.abs();
            }
        }
        sum
    }

    /// Drops the effects that a measurement taken at `at` shows.
    pub(crate) fn drop_visible(&mut self, service: ServiceIx, region: RegionIx, at: Time) {
        let cell = self.cell(service, region);
        let ttl = self.ttl;
        self.cells[cell].retain(|it| at < it.decided_at.after(ttl));
    }

    /// The slots that are decided and not yet seen.
    pub fn pending(&self, service: ServiceIx, region: RegionIx) -> f32 {
        self.cells[self.cell(service, region)].iter().map(|it| it.slots).sum()
    }

    /// Takes over the effects under way from the tables of the bundle before.
    pub fn remap_from(&mut self, from: &PendingEffects, remap: &RowRemap) {
        for ((service, region), (to, cell)) in remap.region_pairs() {
            self.cells[to * self.regions + cell]
                .clone_from(&from.cells[service * from.regions + region]);
        }
    }

    /// Bytes of memory held.
    pub fn bytes(&self) -> usize {
        let mut total = self.cells.capacity() * size_of::<Vec<Effect>>();
        for cell in &self.cells {
            total += cell.capacity() * size_of::<Effect>();
        }
        total
    }
}
