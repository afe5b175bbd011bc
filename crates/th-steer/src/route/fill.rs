//! Filling regions with the demand of classes, nearest region first.

use super::{ClassIx, RouteMap};

/// What one service asks and what its regions can take, in slots.
pub(crate) struct Fill<'a> {
    pub(crate) map: &'a RouteMap,
    /// Demand per class.
    pub(crate) demand: &'a [f32],
    /// What each region can take.
    pub(crate) limits: &'a [f32],
    /// What each region can take of the demand that the limits leave over.
    pub(crate) room: &'a [f32],
}

/// Buffers that a fill reuses.
#[derive(Debug, Default, Clone)]
pub(crate) struct Scratch {
    left: Vec<f32>,
    unmet: Vec<f32>,
    asked: Vec<f32>,
}

impl Fill<'_> {
    /// Writes one row of weights per class.
    ///
    /// In each round all classes ask their next nearest region at once. Where more is asked than
    /// is left, each gets the same share, so that weights change smoothly with demand.
    pub(crate) fn run(&self, rows: &mut [f32], scratch: &mut Scratch) {
        let regions = self.limits.len();
        rows.fill(0.0);
        scratch.left.clear();
        scratch.left.extend_from_slice(self.limits);
        scratch.unmet.clear();
        scratch.unmet.resize(self.demand.len(), 1.0);
        for rank in 0..regions {
            self.round(rank, rows, scratch);
        }
        self.spread(rows, scratch);
    }

    fn round(&self, rank: usize, rows: &mut [f32], scratch: &mut Scratch) {
        let regions = self.limits.len();
        let Scratch { left, unmet, asked } = scratch;
        asked.clear();
        asked.resize(regions, 0.0);
        for (class, &demand) in self.demand.iter().enumerate() {
            let region = self.map.delay_order(ClassIx(class as u16))[rank];
            asked[usize::from(region)] += demand * unmet[class];
        }
        // From here on `asked` holds the share of what was asked that is granted.
        for (ask, left) in asked.iter_mut().zip(left) {
            let total = *ask;
            *ask = grant(total, *left);
            *left = (*left - total * *ask).max(0.0);
        }
        for (class, unmet) in unmet.iter_mut().enumerate() {
            if *unmet <= 0.0 {
                continue;
            }
            let region = usize::from(self.map.delay_order(ClassIx(class as u16))[rank]);
            rows[class * regions + region] += *unmet * asked[region];
            *unmet *= 1.0 - asked[region];
        }
    }

    /// Spreads unmet demand over what `room` leaves free, and what exceeds that by `room` itself.
    fn spread(&self, rows: &mut [f32], scratch: &mut Scratch) {
        let Scratch { left, unmet, asked: shares } = scratch;
        let over: f32 = self.demand.iter().zip(unmet.iter()).map(|(a, b)| a * b).sum();
        shares.clear();
        for ((room, limit), left) in self.room.iter().zip(self.limits).zip(left.iter()) {
            shares.push((room - (limit - left)).max(0.0));
        }
        let free: f32 = shares.iter().sum();
        let room: f32 = self.room.iter().sum();
        if free < over && 0.0 < room {
            for (share, it) in shares.iter_mut().zip(self.room) {
                *share += (over - free) * it / room;
            }
        }
        if shares.iter().all(|&it| it <= 0.0) {
            shares.copy_from_slice(self.room); // classes without demand still get weights
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

fn grant(asked: f32, left: f32) -> f32 {
    if left <= 0.0 {
        return 0.0;
    }
    if asked <= left {
        return 1.0;
    }
    left / asked
}
