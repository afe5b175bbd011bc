//! Tracks the lowest headroom of the last hour.

use std::collections::VecDeque;

use th_protocol::{Permille, Time};

use crate::{
    answer::{Headroom, Scope},
    window::Window,
};

const MINUTE_MS: u64 = 60_000;
const MINUTES: usize = 60;

/// The lowest headroom in each of the last 60 minutes.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadroomLows {
    slots: VecDeque<(u64, Permille)>,
    last: Permille,
    at: Time,
}

impl HeadroomLows {
    pub(crate) fn record(&mut self, free: Permille, at: Time) {
        self.last = free;
        self.at = self.at.max(at);
        let minute = at.0 / MINUTE_MS;
        if let Some((last, low)) = self.slots.back_mut()
            && minute <= *last
        {
            *low = free.min(*low);
            return;
        }
        if self.slots.len() == MINUTES {
            self.slots.pop_front();
        }
        self.slots.push_back((minute, free));
    }

    pub(crate) fn answer(&self, scope: &Scope, now: Time) -> Headroom {
        let start = now.before(Window::Hour.length()).0 / MINUTE_MS;
        let mut low = self.last;
        for (minute, it) in &self.slots {
            if start <= *minute {
                low = low.min(*it);
            }
        }
        Headroom { scope: scope.clone(), low, last: self.last, age: now.since(self.at) }
    }
}
