//! Counts over time at three slot widths, so that three days fit into a few kilobytes.

use std::{collections::VecDeque, mem::size_of};

use th_protocol::{Bytes, Millis, Time};

use crate::{answer::Point, sample::Count, window::Window};

/// Slot width of the history that a plot shows.
pub const HISTORY_WIDTH: Millis = Millis(300_000);
/// Number of slots in the history that a plot shows.
pub const HISTORY_SLOTS: u64 = 72;

const MINUTE: Millis = Millis(60_000);
const HOUR: Millis = Millis(3_600_000);
const MINUTE_SLOTS: usize = 62;
const HISTORY_CAPACITY: usize = HISTORY_SLOTS as usize + 2;
const HOUR_SLOTS: usize = 74;

/// Counts in slots of one width. Slots without events are not stored.
#[derive(Debug, Clone)]
struct Tier {
    width: Millis,
    max_slots: usize,
    slots: VecDeque<(u64, Count)>,
}

impl Tier {
    fn new(width: Millis, max_slots: usize) -> Tier {
        Tier { width, max_slots, slots: VecDeque::new() }
    }

    fn add(&mut self, at: Time, count: Count) {
        let index = at.0 / self.width.0;
        if let Some((last, it)) = self.slots.back_mut()
            && index <= *last
        {
            *it = it.plus(count);
            return;
        }
        if self.slots.len() == self.max_slots {
            self.slots.pop_front();
        }
        if self.slots.len() == self.slots.capacity() {
            // Grows by half of the length, at least four slots, and never beyond `max_slots`.
            let more = (self.slots.len() / 2).max(4).min(self.max_slots - self.slots.len());
            self.slots.reserve_exact(more);
        }
        self.slots.push_back((index, count));
    }

    /// Returns the sum over all slots that end after `start`.
    fn sum(&self, start: Time) -> Count {
        let mut sum = Count::default();
        for (index, count) in self.slots.iter().rev() {
            let end = index.saturating_add(1).saturating_mul(self.width.0);
            if end <= start.0 {
                break;
            }
            sum = sum.plus(*count);
        }
        sum
    }

    fn memory(&self) -> usize {
        self.slots.capacity() * size_of::<(u64, Count)>()
    }
}

/// The history of one counter over three days.
#[derive(Debug, Clone)]
pub(crate) struct CounterHistory {
    last: Count,
    minutes: Tier,
    history: Tier,
    hours: Tier,
}

impl CounterHistory {
    pub(crate) fn new() -> CounterHistory {
        CounterHistory {
            last: Count::default(),
            minutes: Tier::new(MINUTE, MINUTE_SLOTS),
            history: Tier::new(HISTORY_WIDTH, HISTORY_CAPACITY),
            hours: Tier::new(HOUR, HOUR_SLOTS),
        }
    }

    /// Maximum bytes that one history takes on the heap.
    pub(crate) const MAX_MEMORY: usize =
        (MINUTE_SLOTS + HISTORY_CAPACITY + HOUR_SLOTS) * size_of::<(u64, Count)>();

    pub(crate) fn record(&mut self, at: Time, count: Count) {
        let added = count.since(self.last);
        self.last = count;
        if added.total == 0 {
            return;
        }
        self.minutes.add(at, added);
        self.history.add(at, added);
        self.hours.add(at, added);
    }

    pub(crate) fn sum(&self, now: Time, window: Window) -> Count {
        let start = now.before(window.length());
        match window {
            Window::FiveMinutes | Window::Hour => self.minutes.sum(start),
            Window::SixHours => self.history.sum(start),
            Window::ThreeDays => self.hours.sum(start),
        }
    }

    pub(crate) fn points(&self, now: Time) -> Vec<Point> {
        let current = now.0 / HISTORY_WIDTH.0;
        let mut points = Vec::new();
        for (index, count) in &self.history.slots {
            let ago = current.saturating_sub(*index);
            if HISTORY_SLOTS <= ago {
                continue;
            }
            points.push(Point { ago: ago as u32, count: *count });
        }
        points
    }

    pub(crate) fn memory(&self) -> Bytes {
        let heap = self.minutes.memory() + self.history.memory() + self.hours.memory();
        Bytes(heap as u64)
    }
}
