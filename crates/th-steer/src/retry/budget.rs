//! A budget that limits retries to a share of the requests.

use th_protocol::{Millis, Permille, Time};

/// Tokens that one retry costs. A first attempt adds the share, in thousandths, so that a share of
/// 1000 permits one retry per request.
const RETRY_COST: u64 = 1_000;

/// Token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    share: Permille,
    max_tokens: u64,
    interval: Millis,
    tokens: u64,
    last_spent: Option<Time>,
}

impl RetryBudget {
    /// Creates an empty budget that gains `share` of a retry with each first attempt and holds up
    /// to `burst` retries.
    pub fn new(share: Permille, burst: u32, interval: Millis) -> RetryBudget {
        let max_tokens = u64::from(burst) * RETRY_COST;
        RetryBudget { share, max_tokens, interval, tokens: 0, last_spent: None }
    }

    /// Adds the tokens for a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.tokens = self.max_tokens.min(self.tokens + u64::from(self.share.0));
    }

    /// Spends the tokens of one retry; returns false if there are not enough.
    ///
    /// Without enough tokens, one retry is still allowed after each interval in which none was
    /// spent.
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
