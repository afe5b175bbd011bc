//! The account of the memory that a VM holds.
//!
//! Answers to slow callers: a caller that reads slowly keeps its answer in memory until it has read it, and many of them
//! can fill the memory while other callers still get their answers at once. What has run must be delivered, so room for
//! an answer is found before its request is sent, and requests with large answers are turned away first.

use th_protocol::{Bytes, Millis, Time};

use super::{drain::DrainRate, settings::HeldSettings};

/// Divisor of the limit for what all requests together, or one answer, may take. Requests that could take everything
/// would leave no room for their answers.
const PART: u64 = 2;
/// Multiple of an expected answer that must be free for its request to be sent. What a large answer leaves is room for
/// many small ones.
const SPARE: u64 = 4;
/// Least number of different times among which rejected callers are spread.
const MIN_TURNS: u64 = 16;

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeldKind {
    /// Connections of callers, and to backend servers and other entry VMs.
    Connections,
    /// Heads and bodies of requests.
    Requests,
    /// Expected answers to requests that wait or run.
    Expected,
    /// Heads and bodies of answers until their callers have taken them.
    Answers,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [HeldKind; 4] =
        [HeldKind::Connections, HeldKind::Requests, HeldKind::Expected, HeldKind::Answers];

    /// The name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            HeldKind::Connections => "connections",
            HeldKind::Requests => "requests",
            HeldKind::Expected => "expected",
            HeldKind::Answers => "answers",
        }
    }
}

/// Whether a request may be sent, by the size of the answer that is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may; this much has been reserved for its answer.
    Reserved(Bytes),
    /// Its answer could not be held; the caller may retry after the given time.
    Refused(Millis),
}

/// The account of the memory that a VM holds, bounded by one limit.
#[derive(Debug, Clone, Default)]
pub struct HeldMemory {
    settings: HeldSettings,
    used: [u64; HeldKind::ALL.len()],
    drain: DrainRate,
    /// Time until which the room that becomes free is left to callers that were told to retry.
    promised: Time,
}

impl HeldMemory {
    /// Creates an account in which nothing is held.
    pub fn new(settings: HeldSettings) -> HeldMemory {
        HeldMemory { settings, ..HeldMemory::default() }
    }

    /// The limit on all that is held.
    pub fn limit(&self) -> Bytes {
        self.settings.limit
    }

    /// What is held for one kind.
    pub fn used(&self, kind: HeldKind) -> Bytes {
        Bytes(self.used[kind as usize])
    }

    /// What is held for all kinds.
    pub fn total(&self) -> Bytes {
        Bytes(self.used.iter().sum())
    }

    fn free(&self) -> u64 {
        self.settings.limit.0.saturating_sub(self.total().0)
    }

    /// The most that one message may take.
    pub fn largest_message(&self) -> Bytes {
        Bytes(self.settings.limit.0 / PART)
    }

    /// Whether that much more may be held.
    pub fn fits(&self, kind: HeldKind, bytes: Bytes) -> bool {
        if kind == HeldKind::Requests
            && self.largest_message().0 < self.used(kind).0.saturating_add(bytes.0)
        {
            return false;
        }
        bytes.0 <= self.free()
    }

    /// Holds that much more, if it fits.
    pub fn try_hold(&mut self, kind: HeldKind, bytes: Bytes) -> bool {
        let fits = self.fits(kind, bytes);
        if fits {
            self.hold(kind, bytes);
        }
        fits
    }

    /// Holds that much more even if it does not fit, because it is already there.
    pub fn hold(&mut self, kind: HeldKind, bytes: Bytes) {
        self.used[kind as usize] += bytes.0;
    }

    /// Releases what was held.
    pub fn release(&mut self, kind: HeldKind, bytes: Bytes) {
        let used = &mut self.used[kind as usize];
        *used = used.saturating_sub(bytes.0);
        if kind == HeldKind::Answers {
            self.drain.add(bytes.0);
        }
    }

    /// Turns memory reserved for an expected answer into memory of the answer.
    pub fn answer(&mut self, bytes: Bytes) {
        let expected = &mut self.used[HeldKind::Expected as usize];
        *expected = expected.saturating_sub(bytes.0);
        self.hold(HeldKind::Answers, bytes);
    }

    /// Decides whether a request may be sent whose answer is expected to have that size, and reserves the memory for it.
    pub fn admit(&mut self, expected: Bytes, now: Time) -> Admission {
        let largest = self.largest_message();
        let reserved = expected.min(largest);
        let needed = reserved.0.saturating_mul(SPARE).min(largest.0);
        let free = self.free();
        if free < needed {
            return Admission::Refused(self.retry_after(needed - free, reserved.0, now));
        }
        self.hold(HeldKind::Expected, reserved);
        Admission::Reserved(reserved)
    }

    /// The time after which a rejected caller finds room. Each gets the time that the one before leaves, so that they do
    /// not return together; beyond the longest time it starts anew.
    fn retry_after(&mut self, missing: u64, expected: u64, now: Time) -> Millis {
        let (least, most) = (self.settings.backoff_min, self.settings.backoff_max);
        let latest = Millis(most.0 / 2).max(least);
        let first = now.after(self.drain.time_of(missing).clamp(least, latest));
        let last = now.after(most.max(latest));
        let at = self.promised.max(first);
        let at = if last < at { first } else { at };
        let longest_step = last.since(first).0 / MIN_TURNS;
        let step = self.drain.time_of(expected).0.min(longest_step).max(1);
        self.promised = at.after(Millis(step));
        at.since(now)
    }

    /// Updates the rate at which callers take their answers.
    pub fn tick(&mut self, now: Time) {
        self.drain.tick(now);
    }
}
