//! What all VMs together may admit.

use th_protocol::Millis;

use super::Quota;

/// Default of [`QuotaLimits::window`].
const WINDOW: Millis = Millis(5_000);
/// Default of [`QuotaLimits::overage`].
const OVERAGE: f64 = 0.1;
/// Default of [`QuotaLimits::slack`].
const SLACK: f64 = 20.0;
/// Share of the allowed requests that is given out; the rest is for the VMs' clocks, which differ in speed.
const USED_SHARE: f64 = 0.95;

/// The bounds within which quotas are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimits {
    /// Length of the windows over which requests are counted.
    pub window: Millis,
    /// Share of a quota that may be admitted beyond it.
    pub overage: f64,
    /// Number of requests that may be admitted beyond that.
    pub slack: f64,
}

impl Default for QuotaLimits {
    fn default() -> QuotaLimits {
        QuotaLimits { window: WINDOW, overage: OVERAGE, slack: SLACK }
    }
}

impl QuotaLimits {
    /// The number of requests of an organisation that may be admitted in a window.
    pub fn allowed(&self, quota: Quota) -> f64 {
        let owed = quota.rate.requests() * self.window.0 as f64 / 1_000.0 + quota.burst;
        owed * (1.0 + self.overage) + self.slack
    }

    /// The number of requests in a window for which tokens are given out.
    pub(crate) fn tokens(&self, quota: Quota) -> f64 {
        self.allowed(quota) * USED_SHARE
    }

    /// The rate, in requests a second, at which tokens can be given out all the time.
    pub(crate) fn sustained(&self, quota: Quota) -> f64 {
        self.tokens(quota) * 1_000.0 / self.window.0 as f64
    }

    /// The number of tokens that may be given out at once beyond the rate.
    pub(crate) fn burst(&self, quota: Quota) -> f64 {
        self.tokens(quota) - quota.rate.requests() * self.window.0 as f64 / 1_000.0
    }
}
