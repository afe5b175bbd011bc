//! Assigns the demand of classes to regions, nearest region first.

use super::{ClassIx, RouteMap};

/// The demand for one service and the limits of its regions, in slots.
pub(crate) struct RegionFill<'a> {
    pub(crate) map: &'a RouteMap,
    /// Demand per class.
    pub(crate) demand: &'a [f32],
    /// Load that each region may take in the first pass, nearest region first.
    pub(crate) limits: &'a [f32],
    /// Total load that each region can take, used for demand that exceeds the limits.
    pub(crate) capacity: &'a [f32],
}

/// Buffers that are reused from call to call.
#[derive(Debug, Default, Clone)]
pub(crate) struct Scratch {
    remaining: Vec<f32>,
    unmet: Vec<f32>,
    requested: Vec<f32>,
}

impl RegionFill<'_> {
    /// Writes one row of weights per class.
    ///
    /// In each round, all classes request load from their next nearest region at once. If requests
    /// exceed what remains, each class gets the same share, so that weights change smoothly with
    /// demand.
    pub(crate) fn write_weights(&self, rows: &mut [f32], scratch: &mut Scratch) {
        let regions = self.limits.len();
        rows.fill(0.0);
        scratch.remaining.clear();
        scratch.remaining.extend_from_slice(self.limits);
        scratch.unmet.clear();
        scratch.unmet.resize(self.demand.len(), 1.0);
        for rank in 0..regions {
            self.fill_rank(rank, rows, scratch);
        }
        self.spread_unmet(rows, scratch);
    }

    fn fill_rank(&self, rank: usize, rows: &mut [f32], scratch: &mut Scratch) {
        let regions = self.limits.len();
        let Scratch { remaining, unmet, requested } = scratch;
        requested.clear();
        requested.resize(regions, 0.0);
        for (class, &demand) in self.demand.iter().enumerate() {
            let region = self.map.delay_order(ClassIx(class as u16))[rank];
            requested[usize::from(region)] += demand * unmet[class];
        }
        // From here on, `requested` holds the granted share of each region's requests.
        for (request, remaining) in requested.iter_mut().zip(remaining) {
            let total = *request;
            *request = granted_share(total, *remaining);
            *remaining = (*remaining - total * *request).max(0.0);
        }
        for (class, unmet) in unmet.iter_mut().enumerate() {
            if *unmet <= 0.0 {
                continue;
            }
            let region = usize::from(self.map.delay_order(ClassIx(class as u16))[rank]);
            rows[class * regions + region] += *unmet * requested[region];
            *unmet *= 1.0 - requested[region];
        }
    }

    /// Distributes unmet demand over the capacity that is still free, and any excess over that in
    /// proportion to `capacity`.
    fn spread_unmet(&self, rows: &mut [f32], scratch: &mut Scratch) {
        let Scratch { remaining, unmet, requested: shares } = scratch;
        let excess: f32 = self.demand.iter().zip(unmet.iter()).map(|(a, b)| a * b).sum();
        shares.clear();
        for ((capacity, limit), remaining) in
            self.capacity.iter().zip(self.limits).zip(remaining.iter())
        {
            shares.push((capacity - (limit - remaining)).max(0.0));
        }
        let free: f32 = shares.iter().sum();
        let capacity: f32 = self.capacity.iter().sum();
        if free < excess && 0.0 < capacity {
            for (share, it) in shares.iter_mut().zip(self.capacity) {
                *share += (excess - free) * it / capacity;
            }
        }
        if shares.iter().all(|&it| it <= 0.0) {
            shares.copy_from_slice(self.capacity); // classes without demand still get weights
        }
        let sum: f32 = shares.iter().sum();
        if sum <= 0.0 {
            return;
        }
        for (row, &unmet) in rows.chunks_mut(self.limits.len()).zip(unmet.iter()) {
            if unmet <= 0.0 {
                continue;
            }
            for (weight, &share) in row.iter_mut().zip(shares.iter()) {
                *weight += unmet * share / sum;
            }
        }
    }
}

fn granted_share(requested: f32, remaining: f32) -> f32 {
    if remaining <= 0.0 {
        return 0.0;
    }
    if requested <= remaining {
        return 1.0;
    }
    remaining / requested
}
