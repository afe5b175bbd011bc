//! The events of a run, generated from its seed.

use std::time::Duration;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

use crate::{fleet::SERVERS, fleet::VMS, proxy::NetworkFault, stand_in::StoreFault};

/// Minimum and maximum number of events per 100 s; several are in progress at any time.
const FAULTS_PER_100_S: (u64, u64) = (60, 180);
/// Maximum duration of a fault.
const MAX_SPAN_MS: u64 = 3_000;

/// A change or a fault. Failing runs print the variants.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// The VM's process gets SIGTERM and is restarted.
    Stop(usize),
    /// The VM's process gets SIGHUP while its settings file is invalid for a while.
    Reload(usize),
    /// The VM's process gets SIGKILL and is restarted after some time.
    Kill(usize, Duration),
    /// The VM's process is suspended by SIGSTOP.
    Freeze(usize, Duration),
    /// A network fault between callers and the VM.
    HarmCallers(usize, NetworkFault, Duration),
    /// A network fault between the VM and the store.
    HarmStore(usize, NetworkFault, Duration),
    /// A network fault between VMs and a backend server.
    HarmServer(usize, NetworkFault, Duration),
    /// Connections to a backend server are reset.
    ResetServer(usize),
    /// Connections between callers and the VM are reset.
    ResetCallers(usize),
    /// A backend server gives a number of bad replies.
    BadAnswers(usize, u32),
    /// The store has a fault.
    Store(StoreFault, Duration),
    /// The store falls silent that many times, for the first duration each, and is back for the second in between.
    Silences(u32, Duration, Duration),
    /// The store falls silent for the second duration, and is back from a copy that is as old as the first one.
    OlderCopy(Duration, Duration),
    /// The store discards its history.
    Forget,
    /// The operators write a new configuration.
    Config,
    /// A backend server drains and is replaced by another.
    Replace(usize),
    /// A data centre is evacuated for some time.
    Evacuate(Duration),
}

impl Event {
    /// Whether it is planned work, which must not cut any request.
    pub(crate) fn is_planned(self) -> bool {
        use Event::{Config, Evacuate, Reload, Replace, Stop};
        matches!(self, Stop(_) | Reload(_) | Config | Replace(_) | Evacuate(_))
    }
}

/// The events of a run, sorted by time from its start.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) events: Vec<(Duration, Event)>,
}

struct EventGenerator(ChaCha8Rng);

impl EventGenerator {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    fn span(&mut self) -> Duration {
        Duration::from_millis(200 + self.below(MAX_SPAN_MS - 200))
    }

    fn network_fault(&mut self) -> NetworkFault {
        match self.below(5) {
            0 => NetworkFault::Silent,
            1 => NetworkFault::DeafThere,
            2 => NetworkFault::DeafBack,
            _ => NetworkFault::Delay(Duration::from_millis(5 + self.below(150))),
        }
    }

    fn event(&mut self, planned: bool) -> Event {
        let (vm, server) = (self.below(VMS as u64) as usize, self.below(SERVERS as u64) as usize);
        match self.below(if planned { 7 } else { 20 }) {
            0 | 1 => Event::Stop(vm),
            2 => Event::Reload(vm),
            3 | 4 => Event::Config,
            5 => Event::Replace(server),
            6 => Event::Evacuate(self.span()),
            7 | 8 => Event::Kill(vm, self.span() / 2),
            9 => Event::Freeze(vm, self.span()),
            10 => Event::HarmCallers(vm, self.network_fault(), self.span()),
            11 => Event::ResetCallers(vm),
            12 | 13 => Event::HarmServer(server, self.network_fault(), self.span()),
            14 => Event::ResetServer(server),
            15 => Event::BadAnswers(server, 1 + self.below(8) as u32),
            16 => Event::HarmStore(vm, self.network_fault(), self.span()),
            17 => Event::Store(StoreFault::Busy, self.span()),
            18 => Event::Store(StoreFault::Lost, self.span()),
            _ => Event::Forget,
        }
    }
}

impl Plan {
    /// Generates the events of a run of that length. Every third seed gives planned work only.
    pub(crate) fn new(seed: u64, length: Duration) -> Plan {
        let mut generator = EventGenerator(ChaCha8Rng::seed_from_u64(seed));
        let planned = seed.is_multiple_of(3);
        let rate = FAULTS_PER_100_S.0 + generator.below(FAULTS_PER_100_S.1 - FAULTS_PER_100_S.0);
        let count = length.as_millis() as u64 * rate / 100_000;
        let mut events = Vec::new();
        for _ in 0..count.max(2) {
            let at = Duration::from_millis(generator.below(length.as_millis() as u64));
            events.push((at, generator.event(planned)));
        }
        // Drawn apart, so that the other events of a seed stay as they were.
        let mut generator = EventGenerator(ChaCha8Rng::seed_from_u64(!seed));
        if !planned && generator.below(2) == 0 {
            let at = Duration::from_millis(generator.below(length.as_millis() as u64));
            let times = 1 + generator.below(3) as u32;
            events.push((at, Event::Silences(times, generator.span(), generator.span())));
        }
        let mut generator = EventGenerator(ChaCha8Rng::seed_from_u64(seed.rotate_left(32)));
        if !planned && generator.below(2) == 0 {
            for _ in 0..1 + generator.below(3) {
                let at = Duration::from_millis(generator.below(length.as_millis() as u64));
                events.push((at, Event::OlderCopy(generator.span(), generator.span() / 2)));
            }
        }
        events.sort_by_key(|it| it.0);
        Plan { events }
    }
}
