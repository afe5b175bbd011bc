//! Limits the bytes of bundles that a VM serves to its peers.

use rand::Rng;
use th_protocol::{Bytes, Millis, Time};

/// A token bucket of bytes.
///
/// It starts at a random level, so that VMs that start together do not refill together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServeBudget {
    rate: Bytes,
    burst: Bytes,
    level: Bytes,
    at: Time,
}

const SECOND: Millis = Millis(1_000);

impl ServeBudget {
    /// Creates a budget that refills at `rate` bytes per second up to `burst`.
    pub fn new(rate: Bytes, burst: Bytes, now: Time, rng: &mut impl Rng) -> ServeBudget {
        let level = Bytes(rng.random_range(burst.0 / 2..=burst.0));
        ServeBudget { rate, burst, level, at: now }
    }

    /// Takes `size` bytes and returns whether the budget had them. A full budget allows any size
    /// and is empty afterwards.
    pub fn take(&mut self, size: Bytes, now: Time) -> bool {
        self.refill(now);
        if self.level < size.min(self.burst) {
            return false;
        }
        self.level = self.level.minus(size);
        true
    }

    fn refill(&mut self, now: Time) {
        let grown = self.rate.0.saturating_mul(now.since(self.at).0) / SECOND.0;
        if grown == 0 {
            return;
        }
        self.level = self.level.plus(Bytes(grown)).min(self.burst);
        self.at = now;
    }
}
