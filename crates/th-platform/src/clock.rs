//! Clocks that run while the VM is suspended.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use rustix::time::{ClockId, clock_gettime};
use th_protocol::{Millis, Time};

/// A source of the time elapsed since a fixed start.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// The operating system's boot clock, which includes time spent suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let it = clock_gettime(ClockId::Boottime);
        Time(it.tv_sec.unsigned_abs() * 1000 + it.tv_nsec.unsigned_abs() / 1_000_000)
    }
}

/// A clock for tests that moves only through [`ManualClock::advance`].
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.now.load(Ordering::SeqCst))
    }
}
