//! The connections to one backend server, in generations.
//!
//! A generation is one pool of connections. When one connection of it makes no progress, the
//! whole generation is suspect: new requests use the next one, and the old pool is closed once
//! its requests ended. An adapter that closes idle connections after
//! [`PoolSettings::proven`] makes every reused connection one that answered within that time.

use std::collections::BTreeMap;

use th_protocol::{Connections, Millis, Time};

/// Which pool of connections to a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// Bounds for connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSettings {
    /// A connection that answered within this time may carry a non-idempotent request.
    pub proven: Millis,
    /// A connection without progress for this time is left.
    pub silence: Millis,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings { proven: Millis(2_000), silence: Millis(1_000) }
    }
}

/// How a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolState {
    /// Nothing was sent on it, so that its first request opens a connection.
    Fresh,
    /// Requests were sent, none was answered yet.
    Untried,
    /// Last answered at this time.
    Proven(Time),
    /// One of its connections went silent: nothing new is sent on any of them.
    Suspect,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Member {
    state: PoolState,
    busy: u32,
    peak: u32,
}

impl Member {
    fn new() -> Member {
        Member { state: PoolState::Fresh, busy: 0, peak: 0 }
    }

    /// Connections that may be open: a suspect pool keeps no idle ones.
    fn open(&self) -> u32 {
        match self.state {
            PoolState::Suspect => self.busy,
            _ => self.peak,
        }
    }
}

/// The generations of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    settings: PoolSettings,
    current: Generation,
    members: BTreeMap<Generation, Member>,
}

impl Pool {
    /// A pool with no connections.
    pub fn new(settings: PoolSettings) -> Pool {
        let members = BTreeMap::from([(Generation(0), Member::new())]);
        Pool { settings, current: Generation(0), members }
    }

    /// The generation that new requests use.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// Generations that still have requests, and the current one; all others can be closed.
    pub fn generations(&self) -> impl Iterator<Item = Generation> + '_ {
        self.members.keys().copied()
    }

    /// How a generation stands; one that is closed is suspect.
    pub fn state(&self, generation: Generation) -> PoolState {
        self.members.get(&generation).map_or(PoolState::Suspect, |member| member.state)
    }

    /// Connections that may be open.
    pub fn open(&self) -> Connections {
        let mut sum = 0u32;
        for member in self.members.values() {
            sum = sum.saturating_add(member.open());
        }
        Connections(sum)
    }

    /// Whether a request may go onto that generation. A non-idempotent one needs a connection that
    /// is certain to be new, since no other is idle, or one that was proven lately.
    pub fn may_use(&self, generation: Generation, idempotent: bool, now: Time) -> bool {
        let Some(member) = self.members.get(&generation) else { return false };
        let opens = member.busy == member.peak;
        match member.state {
            PoolState::Suspect => false,
            PoolState::Fresh => true,
            PoolState::Untried => idempotent || opens,
            PoolState::Proven(at) => idempotent || opens || now.since(at) <= self.settings.proven,
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
            if allowance.0 <= self.busy_everywhere() {
                return None;
            }
            self.replace();
        }
        let open = self.open();
        let member = self.members.get_mut(&self.current)?;
        let needs_new = member.busy == member.peak;
        if needs_new && allowance <= open {
            return None;
        }
        member.busy += 1;
        member.peak = member.peak.max(member.busy);
        if member.state == PoolState::Fresh {
            member.state = PoolState::Untried;
        }
        Some(self.current)
    }

    /// Closes idle connections where more than `allowance` may be open.
    pub fn shrink(&mut self, allowance: Connections) {
        if allowance < self.open() {
            self.replace();
        }
    }

    /// Notes that a connection of that generation brought an answer.
    pub fn on_progress(&mut self, generation: Generation, now: Time) {
        let Some(member) = self.members.get_mut(&generation) else { return };
        if member.state != PoolState::Suspect {
            member.state = PoolState::Proven(now);
        }
    }

    /// Notes that a request made no progress since `last`; true where this leaves its generation.
    pub fn on_stall(&mut self, generation: Generation, last: Time, now: Time) -> bool {
        let left = self.state(generation) == PoolState::Suspect;
        if left || now.since(last) < self.settings.silence {
            return false;
        }
        self.leave(generation);
        true
    }

    /// Leaves a generation at once: one of its connections broke.
    pub fn leave(&mut self, generation: Generation) {
        if generation == self.current {
            self.replace();
            return;
        }
        if let Some(member) = self.members.get_mut(&generation) {
            member.state = PoolState::Suspect;
        }
    }

    /// Notes that a request of that generation ended.
    pub fn release(&mut self, generation: Generation) {
        let Some(member) = self.members.get_mut(&generation) else { return };
        member.busy = member.busy.saturating_sub(1);
        if member.busy == 0 && generation != self.current {
            self.members.remove(&generation);
        }
    }

    fn busy_everywhere(&self) -> u32 {
        self.members.values().map(|member| member.busy).sum()
    }

    fn replace(&mut self) {
        let old = self.current;
        self.current = Generation(old.0 + 1);
        self.members.insert(self.current, Member::new());
        let Some(member) = self.members.get_mut(&old) else { return };
        member.state = PoolState::Suspect;
        if member.busy == 0 {
            self.members.remove(&old);
        }
    }
}
