//! A budget that keeps retries to a share of the traffic.

use th_protocol::{Millis, Permille, Time};

/// Budget units that one retry costs; a first try pays in its share in thousandths.
const RETRY_COST: u64 = 1_000;

/// A token bucket that first tries fill and retries empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    share: Permille,
    max_tokens: u64,
    interval: Millis,
    tokens: u64,
    last_spent: Option<Time>,
}

impl RetryBudget {
    /// An empty budget that takes in `share` of each first try and keeps up to `burst` retries.
    pub fn new(share: Permille, burst: u32, interval: Millis) -> RetryBudget {
        let max_tokens = u64::from(burst) * RETRY_COST;
        RetryBudget { share, max_tokens, interval, tokens: 0, last_spent: None }
    }

    /// Counts a first try.
    pub fn on_first_attempt(&mut self) {
        self.tokens = self.max_tokens.min(self.tokens + u64::from(self.share.0));
    }

    /// Takes one retry out, or says that there is none.
    ///
    /// With nothing left, one retry is still allowed after each interval in which none was taken.
    pub fn try_spend(&mut self, now: Time) -> bool {
        if RETRY_COST <= self.tokens {
            self.tokens -= RETRY_COST;
            self.last_spent = Some(now);
            return true;
        }
        let allowed = self.last_spent.is_none_or(|spent| self.interval <= now.since(spent));
        if allowed {
            self.tokens = 0;
            self.last_spent = Some(now);
        }
        allowed
    }
}
