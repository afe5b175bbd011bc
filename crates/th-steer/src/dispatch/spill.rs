//! How many requests go to other regions.

use std::collections::VecDeque;

use th_protocol::{Millis, Permille, Time};

/// Requests that were lately sent, and whether to another region.
#[derive(Debug, Default)]
pub(crate) struct Away {
    sent: VecDeque<(Time, bool)>,
}

impl Away {
    pub(crate) fn add(&mut self, remote: bool, window: Millis, now: Time) {
        self.sent.push_back((now, remote));
        let start = now.before(window + window);
        while self.sent.front().is_some_and(|(at, _)| *at < start) {
            self.sent.pop_front();
        }
    }

    /// Whether one more request may go to another region: the share of a window may exceed that of the window before
    /// it by `step` only.
    pub(crate) fn is_open(&self, step: Permille, window: Millis, now: Time) -> bool {
        let (middle, start) = (now.before(window), now.before(window + window));
        let (mut before, mut after) = ((0u64, 0u64), (0u64, 0u64));
        for (at, remote) in &self.sent {
            if *at < start {
                continue;
            }
            let counts = if *at < middle { &mut before } else { &mut after };
            counts.0 += u64::from(*remote);
            counts.1 += 1;
        }
        let share = (before.0 * 1_000).checked_div(before.1).unwrap_or(0);
        after.0 * 1_000 < (share + u64::from(step.0)) * after.1
    }
}
