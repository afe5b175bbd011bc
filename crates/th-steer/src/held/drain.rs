//! Rate at which callers take their answers.

use th_protocol::{Millis, Time};

/// Time constant of the average.
const AVERAGING_TIME: Millis = Millis(2_000);
/// Lowest rate that is reckoned with, in bytes a millisecond: one caller who reads 1 KB a second.
const MIN_RATE: f64 = 1.0;

/// Smoothed rate at which memory of delivered answers is released.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrainRate {
    released: u64,
    at: Option<Time>,
    /// Bytes a millisecond.
    rate: f64,
}

impl DrainRate {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.released += bytes;
    }

    pub(crate) fn tick(&mut self, now: Time) {
        let Some(last) = self.at else {
            self.at = Some(now);
            return;
        };
        let span = now.since(last).0 as f64;
        if span <= 0.0 {
            return;
        }
        self.at = Some(now);
        let weight = 1.0 - (-span / AVERAGING_TIME.0 as f64).exp();
        let released = std::mem::take(&mut self.released) as f64;
        self.rate += (released / span - self.rate) * weight;
    }

    /// Time in which that many bytes are released.
    pub(crate) fn time_of(&self, bytes: u64) -> Millis {
        Millis((bytes as f64 / self.rate.max(MIN_RATE)).ceil() as u64)
    }
}
