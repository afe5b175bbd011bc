//! Rate limit for requests to a backend server that has just started.

use th_protocol::Time;

/// A token bucket that holds one entry VM's share of the request rate of a cold backend server. Its capacity is one
/// token, so that all VMs together stay below the rate in every second.
#[derive(Debug, Clone, Default)]
pub struct ColdLimiter {
    level: f64,
    filled: Option<Time>,
}

impl ColdLimiter {
    fn fill(&mut self, rate: f64, now: Time) {
        let span = self.filled.map_or(0, |it| now.since(it).0);
        if self.filled.is_none() {
            self.level = 1.0;
        }
        self.level = (self.level + rate * span as f64 / 1_000.0).min(1.0);
        self.filled = Some(now);
    }

    /// Whether a request may be sent, at `rate` requests a second.
    pub fn has_token(&mut self, rate: f64, now: Time) -> bool {
        self.fill(rate, now);
        1.0 <= self.level
    }

    /// Takes one token for a request that is sent.
    pub fn take_token(&mut self) {
        self.level -= 1.0;
    }
}
