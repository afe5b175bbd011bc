//! Settings of retries and hedges.

use th_protocol::{Millis, Permille};

/// Settings of retries and hedges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries and hedges together, as a share of the first attempts.
    pub budget_share: Permille,
    /// Maximum number of unspent retries that the budget holds for later.
    pub burst: u32,
    /// One retry is allowed after this time without any, even if the budget is empty because there
    /// are few requests.
    pub interval: Millis,
    /// Upper limit of the first backoff.
    pub base_backoff: Millis,
    /// Upper limit of every backoff.
    pub max_backoff: Millis,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// A hedge is sent when an attempt takes longer than this quantile of recent latencies.
    pub hedge_quantile: Permille,
    /// Number of latencies that must be recorded before the first hedge.
    pub min_samples: u32,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            budget_share: Permille(90),
            burst: 10,
            interval: Millis(10_000),
            base_backoff: Millis(25),
            max_backoff: Millis(1_000),
            max_attempts: 3,
            hedge_quantile: Permille(950),
            min_samples: 100,
        }
    }
}
