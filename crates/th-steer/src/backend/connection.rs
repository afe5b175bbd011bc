//! The connections to one backend server, in generations.
//!
//! A generation is one pool of connections. When one connection of it makes no progress, the
//! whole generation is suspect: new requests use the next one, and the old pool is closed once
//! its requests ended. An adapter that closes idle connections after
//! [`PoolSettings::reuse_limit`] makes every reused connection one that answered within that time.

use std::collections::BTreeMap;

use th_protocol::{Connections, Millis, Time};

/// Which pool of connections to a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Bounds for connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// A connection that answered within this time may carry a non-idempotent request.
    pub reuse_limit: Millis,
    /// A connection without progress for this time is left.
    pub stall_timeout: Millis,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings { reuse_limit: Millis(2_000), stall_timeout: Millis(1_000) }
    }
}

/// How a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolState {
    /// Nothing was sent on it, so that its first request opens a connection.
    Fresh,
    /// Requests were sent, none was answered yet.
    Unanswered,
    /// Last answered at this time.
    Responsive(Time),
    /// One of its connections went silent: nothing new is sent on any of them.
    Retired,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct GenerationPool {
    state: PoolState,
    busy: u32,
    peak: u32,
}

impl GenerationPool {
    fn new() -> GenerationPool {
        GenerationPool { state: PoolState::Fresh, busy: 0, peak: 0 }
    }

    /// Connections that may be open: a suspect pool keeps no idle ones.
    fn open(&self) -> u32 {
        match self.state {
            PoolState::Retired => self.busy,
            _ => self.peak,
        }
    }
}

/// The generations of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    settings: PoolSettings,
    current: Generation,
    generations: BTreeMap<Generation, GenerationPool>,
}

impl Pool {
    /// A pool with no connections.
    pub fn new(settings: PoolSettings) -> Pool {
        let generations = BTreeMap::from([(Generation(0), GenerationPool::new())]);
        Pool { settings, current: Generation(0), generations }
    }

    /// The generation that new requests use.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// Generations that still have requests, and the current one; all others can be closed.
    pub fn generations(&self) -> impl Iterator<Item = Generation> + '_ {
        self.generations.keys().copied()
    }

    /// How a generation stands; one that is closed is suspect.
    pub fn state(&self, generation: Generation) -> PoolState {
        self.generations.get(&generation).map_or(PoolState::Retired, |entry| entry.state)
    }

    /// Connections that may be open.
    pub fn open(&self) -> Connections {
        let mut sum = 0u32;
        for entry in self.generations.values() {
            sum = sum.saturating_add(entry.open());
        }
        Connections(sum)
    }

    /// Whether a request may go onto that generation. A non-idempotent one needs a connection that
    /// is certain to be new, since no other is idle, or one that was proven lately.
    pub fn may_use(&self, generation: Generation, idempotent: bool, now: Time) -> bool {
        let Some(entry) = self.generations.get(&generation) else { return false };
        let opens_new = entry.busy == entry.peak;
        match entry.state {
            PoolState::Retired => false,
            PoolState::Fresh => true,
            PoolState::Unanswered => idempotent || opens_new,
            PoolState::Responsive(at) => {
                idempotent || opens_new || now.since(at) <= self.settings.reuse_limit
            }
        }
    }

    /// The generation for a new request, a new one where the current one may not carry it; `None`
    /// where that would need more connections than `allowance`.
    pub fn take(
        &mut self,
        idempotent: bool,
        allowance: Connections,
        now: Time,
    ) -> Option<Generation> {
        if !self.may_use(self.current, idempotent, now) {
            if allowance.0 <= self.total_busy() {
                return None;
            }
            self.retire_current();
        }
        let open = self.open();
        let entry = self.generations.get_mut(&self.current)?;
        let needs_new = entry.busy == entry.peak;
        if needs_new && allowance <= open {
            return None;
        }
        entry.busy += 1;
        entry.peak = entry.peak.max(entry.busy);
        if entry.state == PoolState::Fresh {
            entry.state = PoolState::Unanswered;
        }
        Some(self.current)
    }

    /// Closes idle connections where more than `allowance` may be open.
    pub fn shrink(&mut self, allowance: Connections) {
        if allowance < self.open() {
            self.retire_current();
        }
    }

    /// Notes that a connection of that generation brought an answer.
    pub fn on_progress(&mut self, generation: Generation, now: Time) {
        let Some(entry) = self.generations.get_mut(&generation) else { return };
        if entry.state != PoolState::Retired {
            entry.state = PoolState::Responsive(now);
        }
    }

    /// Notes that a request made no progress since `last`; true where this leaves its generation.
    pub fn on_stall(&mut self, generation: Generation, last: Time, now: Time) -> bool {
        let retired = self.state(generation) == PoolState::Retired;
        if retired || now.since(last) < self.settings.stall_timeout {
            return false;
        }
        self.retire(generation);
        true
    }

    /// Leaves a generation at once: one of its connections broke.
    pub fn retire(&mut self, generation: Generation) {
        if generation == self.current {
            self.retire_current();
            return;
        }
        if let Some(entry) = self.generations.get_mut(&generation) {
            entry.state = PoolState::Retired;
        }
    }

    /// Notes that a request of that generation ended.
    pub fn release(&mut self, generation: Generation) {
        let Some(entry) = self.generations.get_mut(&generation) else { return };
        entry.busy = entry.busy.saturating_sub(1);
        if entry.busy == 0 && generation != self.current {
            self.generations.remove(&generation);
        }
    }

    fn total_busy(&self) -> u32 {
        self.generations.values().map(|entry| entry.busy).sum()
    }

    fn retire_current(&mut self) {
        let old = self.current;
        self.current = Generation(old.0 + 1);
        self.generations.insert(self.current, GenerationPool::new());
        let Some(entry) = self.generations.get_mut(&old) else { return };
        entry.state = PoolState::Retired;
        if entry.busy == 0 {
            self.generations.remove(&old);
        }
    }
}
