//! Limit on how fast the share of requests sent to other regions grows.

use std::collections::VecDeque;

use th_protocol::{Millis, Permille, Time};

/// Requests sent in the last two windows, each marked with whether it went to another region.
#[derive(Debug, Default)]
pub(crate) struct SpillWindow {
    sent: VecDeque<(Time, bool)>,
}

impl SpillWindow {
    pub(crate) fn add(&mut self, cross_region: bool, window: Millis, now: Time) {
        self.sent.push_back((now, cross_region));
        let start = now.before(window + window);
        while self.sent.front().is_some_and(|(at, _)| *at < start) {
            self.sent.pop_front();
        }
    }

    /// Whether one more request may be sent to another region: the cross-region share of a window may exceed that of
    /// the previous window by at most `step`.
    pub(crate) fn has_budget(&self, step: Permille, window: Millis, now: Time) -> bool {
        let (middle, start) = (now.before(window), now.before(window + window));
        let (mut before, mut after) = ((0u64, 0u64), (0u64, 0u64));
        for (at, cross_region) in &self.sent {
            if *at < start {
                continue;
            }
            let counts = if *at < middle { &mut before } else { &mut after };
            counts.0 += u64::from(*cross_region);
            counts.1 += 1;
        }
        let share = (before.0 * 1_000).checked_div(before.1).unwrap_or(0);
        after.0 * 1_000 < (share + u64::from(step.0)) * after.1
    }
}
