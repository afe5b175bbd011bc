//! The connections to one backend server, in generations.
//!
//! A generation is one pool of connections. When one of its connections stalls or breaks, the whole
//! generation is retired: new requests use the next generation, and the old pool is closed once its
//! requests have ended. If the I/O layer closes idle connections after
//! [`PoolSettings::reuse_limit`], every reused connection has answered within that time.

use std::collections::BTreeMap;

use th_protocol::{Connections, Millis, Time};

/// Number of a connection pool of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Time limits of connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// A connection that answered within this time may carry a non-idempotent request.
    pub reuse_limit: Millis,
    /// A connection that makes no progress for this time counts as stalled, and its generation is
    /// retired.
    pub stall_timeout: Millis,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings { reuse_limit: Millis(2_000), stall_timeout: Millis(1_000) }
    }
}

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolState {
    /// No request has been sent on it; the first one opens a connection.
    Fresh,
    /// Requests have been sent, none has been answered yet.
    Unanswered,
    /// One of its connections last answered at this time.
    Responsive(Time),
    /// No new request is sent on its connections: one of them stalled or broke, the pool had to
    /// shrink, the server's address changed, or a non-idempotent request needed a new connection.
    Retired,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct GenerationPool {
    state: PoolState,
    /// Requests in flight, one on each connection.
    busy: u32,
    /// Highest number of requests in flight at once, and so of connections opened.
    peak: u32,
}

impl GenerationPool {
    fn new() -> GenerationPool {
        GenerationPool { state: PoolState::Fresh, busy: 0, peak: 0 }
    }

    /// Returns how many connections may be open; a retired generation keeps no idle ones.
    fn open(&self) -> u32 {
        match self.state {
            PoolState::Retired => self.busy,
            _ => self.peak,
        }
    }
}

/// The connection pools of one backend server, by generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    settings: PoolSettings,
    current: Generation,
    generations: BTreeMap<Generation, GenerationPool>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Pool {
        let generations = BTreeMap::from([(Generation(0), GenerationPool::new())]);
        Pool { settings, current: Generation(0), generations }
    }

    /// Returns the generation that new requests use.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// Returns the current generation and those that still have requests; all others can be closed.
    pub fn generations(&self) -> impl Iterator<Item = Generation> + '_ {
        self.generations.keys().copied()
    }

    /// Returns the state of a generation; a closed one is [`PoolState::Retired`].
    pub fn state(&self, generation: Generation) -> PoolState {
        self.generations.get(&generation).map_or(PoolState::Retired, |entry| entry.state)
    }

    /// Returns how many connections may be open, over all generations.
    pub fn open(&self) -> Connections {
        let mut sum = 0u32;
        for entry in self.generations.values() {
            sum = sum.saturating_add(entry.open());
        }
        Connections(sum)
    }

    /// Returns whether a request may be sent on that generation. A non-idempotent request needs
    /// either a connection that is certain to be new, because none is idle, or one that has
    /// answered within [`PoolSettings::reuse_limit`].
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

    /// Takes a connection for a new request and returns its generation. Starts a new generation if
    /// the current one may not be used. Returns `None` if the request would need more connections
    /// than `allowance`.
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

    /// Closes idle connections if more than `allowance` may be open.
    pub fn shrink(&mut self, allowance: Connections) {
        if allowance < self.open() {
            self.retire_current();
        }
    }

    /// Records that a connection of that generation delivered an answer.
    pub fn on_progress(&mut self, generation: Generation, now: Time) {
        let Some(entry) = self.generations.get_mut(&generation) else { return };
        if entry.state != PoolState::Retired {
            entry.state = PoolState::Responsive(now);
        }
    }

    /// Records that a request has made no progress since `last`. Retires its generation if the
    /// stall time-out has passed, and returns whether it did.
    pub fn on_stall(&mut self, generation: Generation, last: Time, now: Time) -> bool {
        let retired = self.state(generation) == PoolState::Retired;
        if retired || now.since(last) < self.settings.stall_timeout {
            return false;
        }
        self.retire(generation);
        true
    }

    /// Retires a generation at once, for example because one of its connections broke.
    pub fn retire(&mut self, generation: Generation) {
        if generation == self.current {
            self.retire_current();
            return;
        }
        if let Some(entry) = self.generations.get_mut(&generation) {
            entry.state = PoolState::Retired;
        }
    }

    /// Records that a request of that generation has ended.
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
