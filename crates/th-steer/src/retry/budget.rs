//! A budget that keeps retries to a share of the traffic.

use th_protocol::{Millis, Permille, Time};

/// Budget units that one retry costs; a first try pays in its share in thousandths.
const RETRY_COST: u64 = 1_000;

/// A token bucket that first tries fill and retries empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    share: Permille,
    limit: u64,
    interval: Millis,
    level: u64,
    spent: Option<Time>,
}

impl RetryBudget {
    /// An empty budget that takes in `share` of each first try and keeps up to `bank` retries.
    pub fn new(share: Permille, bank: u32, interval: Millis) -> RetryBudget {
        let limit = u64::from(bank) * RETRY_COST;
        RetryBudget { share, limit, interval, level: 0, spent: None }
    }

    /// Counts a first try.
    pub fn on_first_attempt(&mut self) {
        self.level = self.limit.min(self.level + u64::from(self.share.0));
    }

    /// Takes one retry out, or says that there is none.
    ///
    /// With nothing left, one retry is still allowed after each interval in which none was taken.
    pub fn take(&mut self, now: Time) -> bool {
        if RETRY_COST <= self.level {
            self.level -= RETRY_COST;
            self.spent = Some(now);
            return true;
        }
        let rested = self.spent.is_none_or(|spent| self.interval <= now.since(spent));
        if rested {
            self.level = 0;
            self.spent = Some(now);
        }
        rested
    }
}
