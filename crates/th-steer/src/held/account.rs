//! The account of the memory that a VM holds.
//!
//! Answers to slow callers: a caller that reads slowly keeps its answer in memory until it has read it, and many of them
//! can fill the memory while other callers still get their answers at once. What has run must be delivered, so room for
//! an answer is found before its request is sent, and requests with large answers are turned away first.

use th_protocol::{Bytes, Millis, Time};

use super::{drain::DrainRate, link::LinkBacklog, returns::Returns, settings::HeldSettings};

/// Divisor of the limit for what all requests together, or one answer, may take. Requests that could take everything
/// would leave no room for their answers.
const PART: u64 = 2;
/// Multiple of an expected answer that must be free for its request to be sent. What a large answer leaves is room for
/// many small ones.
const SPARE: u64 = 4;
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

/// What there is too little of for an answer. The variant names are written to the request log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// Memory to hold it in.
    Memory,
    /// Capacity of the VM's network link before the answer is due.
    Link,
}

/// Whether a request may be sent, by the size of the answer that is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may; this much has been reserved for its answer.
    Reserved(Bytes),
    /// Its answer could not be held or carried; the caller may retry after the given time.
    Refused(Lack, Millis),
}

/// The account of the memory that a VM holds, bounded by one limit.
#[derive(Debug, Clone, Default)]
pub struct HeldMemory {
    settings: HeldSettings,
    used: [u64; HeldKind::ALL.len()],
    drain: DrainRate,
    backlog: LinkBacklog,
    memory_returns: Returns,
    link_returns: Returns,
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

    /// What is free for messages. Connections are there whether or not they fit, and idle ones must not keep all messages
    /// out, so no more than half of the limit counts as theirs.
    fn free(&self) -> u64 {
        let connections = self.used(HeldKind::Connections);
        let excess = connections.0.saturating_sub(self.largest_message().0);
        self.settings.limit.0.saturating_sub(self.total().0 - excess)
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

    /// Holds that much more of an answer than was expected, if it fits.
    pub fn try_hold_unexpected(&mut self, bytes: Bytes) -> bool {
        let fits = self.try_hold(HeldKind::Answers, bytes);
        if fits {
            self.backlog.add(bytes);
        }
        fits
    }

    /// Releases what was held.
    pub fn release(&mut self, kind: HeldKind, bytes: Bytes) {
        let used = &mut self.used[kind as usize];
        *used = used.saturating_sub(bytes.0);
        match kind {
            HeldKind::Answers => self.drain.add(bytes.0),
            HeldKind::Expected => self.backlog.take_back(bytes),
            HeldKind::Connections | HeldKind::Requests => {}
        }
    }

    /// Turns memory reserved for an expected answer into memory of the answer.
    pub fn answer(&mut self, bytes: Bytes) {
        let expected = &mut self.used[HeldKind::Expected as usize];
        *expected = expected.saturating_sub(bytes.0);
        self.hold(HeldKind::Answers, bytes);
    }

    /// Decides whether a request may be sent whose answer is expected to have that size and is due at that time, and
    /// reserves the memory for it.
    pub fn admit(&mut self, expected: Bytes, deadline: Time, now: Time) -> Admission {
        let largest = self.largest_message();
        let reserved = expected.min(largest);
        let needed = reserved.0.saturating_mul(SPARE).min(largest.0);
        let missing = needed.saturating_sub(self.free());
        if 0 < missing {
            let (missing, step) = (self.drain.time_of(missing), self.drain.time_of(reserved.0));
            let after = self.memory_returns.next(&self.settings, missing, step, now);
            return Admission::Refused(Lack::Memory, after);
        }
        if let Some(link) = self.settings.link {
            let late = self.backlog.lateness(link, reserved, deadline, now);
            if Millis::ZERO < late {
                let step = Millis(reserved.0 / link.bytes_per_ms().max(1));
                let after = self.link_returns.next(&self.settings, late, step, now);
                return Admission::Refused(Lack::Link, after);
            }
            self.backlog.add(reserved);
        }
        self.hold(HeldKind::Expected, reserved);
        Admission::Reserved(reserved)
    }

    /// Updates the rate at which callers take their answers.
    pub fn tick(&mut self, now: Time) {
        self.drain.tick(now);
    }
}
