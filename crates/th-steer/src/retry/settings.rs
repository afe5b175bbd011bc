//! Settings of retries and hedges.

use th_protocol::{Millis, Permille};

/// Settings of retries and hedges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetrySettings {
    /// Retries and hedges together, as a share of the first tries.
    pub budget_share: Permille,
    /// Unspent retries that are kept for later.
    pub burst: u32,
    /// One retry is allowed after this long without any, however little traffic there is.
    pub interval: Millis,
    /// Upper end of the first backoff.
    pub base_backoff: Millis,
    /// Upper end of every backoff.
    pub max_backoff: Millis,
    /// Tries of one request, the first included.
    pub max_attempts: u32,
    /// A hedge is sent when a request has taken longer than this share of those before it.
    pub hedge_quantile: Permille,
    /// Latencies that must be known before the first hedge.
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
