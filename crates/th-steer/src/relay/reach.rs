//! Whether the store can be reached, by the calls that fail.
//!
//! Handles watches that are cut. A store may cut a watch that waits at any time, so a cut alone is no outage: leases cannot have
//! expired for want of a store that answers before and after it. A store that goes down also cuts what waits, and a proxy in
//! front of it cuts all calls, so cuts count only while what is known is recent.

use th_protocol::{Millis, Time};

use super::WatchPace;

/// An outage of the store that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time of the first call that failed.
    pub since: Time,
    /// Number of calls that failed.
    pub failures: u32,
}

/// Tells an outage of the store from watches that were cut.
#[derive(Debug)]
pub struct StoreReach {
    pace: WatchPace,
    /// Number of watches in a row that were cut before an outage.
    cuts: u32,
    outage: Option<Outage>,
}

impl StoreReach {
    /// Starts with a store that can be reached.
    pub fn new(pace: WatchPace) -> StoreReach {
        StoreReach { pace, cuts: 0, outage: None }
    }

    /// Whether an outage has begun and the store has not answered since.
    pub fn is_away(&self) -> bool {
        self.outage.is_some()
    }

    /// Whether a watch was cut and the store has not answered since.
    pub fn was_cut(&self) -> bool {
        0 < self.cuts
    }

    /// Handles a call that failed. Returns whether an outage begins with it.
    pub fn on_failure(&mut self, now: Time) -> bool {
        let begins = self.outage.is_none();
        self.outage.get_or_insert(Outage { since: now, failures: 0 });
        begins
    }

    /// Handles a watch that was cut, when what is known of the store had some age. Returns whether it counts as a failure.
    pub fn on_cut(&mut self, age: Millis) -> bool {
        if self.is_away() || self.pace.longest_relayed() < age {
            return true;
        }
        self.cuts += 1;
        false
    }

    /// Handles an answer of the store. Returns the outage that it ends.
    pub fn on_answer(&mut self) -> Option<Outage> {
        self.cuts = 0;
        self.outage.take()
    }

    /// The delay after a call that failed after a time.
    pub fn next_delay(&mut self, took: Millis) -> Millis {
        let Some(outage) = &mut self.outage else {
            return self.pace.cut_delay(self.cuts);
        };
        let delay = self.pace.retry_delay(outage.failures, took);
        outage.failures += 1;
        delay
    }
}
