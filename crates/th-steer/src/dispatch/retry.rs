//! One VM's part of the retry budget that all entry VMs share.

use std::collections::VecDeque;

use th_protocol::{Millis, Time};

/// Counts first attempts and retries of one service over a sliding window. The retries of all VMs together stay within
/// the budget, because each VM counts its own first attempts and uses an equal part of the slack.
#[derive(Debug, Clone, Default)]
pub struct RetryWindow {
    first_attempts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    fn expire(&mut self, window: Millis, now: Time) {
        let start = now.before(window);
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|it| *it < start) {
                times.pop_front();
            }
        }
    }

    /// Counts a first attempt.
    pub fn count_first(&mut self, window: Millis, now: Time) {
        self.expire(window, now);
        self.first_attempts.push_back(now);
    }

    /// Takes one retry from the budget, which is `share` of the first attempts plus `slack`; returns false if it is
    /// used up.
    pub fn take_retry(&mut self, share: f64, slack: f64, window: Millis, now: Time) -> bool {
        self.expire(window, now);
        let limit = share * self.first_attempts.len() as f64 + slack;
        if limit <= self.retries.len() as f64 {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
