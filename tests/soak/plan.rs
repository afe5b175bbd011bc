//! The events of a run, generated from its seed.

use std::time::Duration;

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

use crate::{
    fleet::{LINGER, SERVERS},
    options::{DEFAULT_VMS, Options},
    proxy::NetworkFault,
    stand_in::StoreFault,
};

/// Minimum and maximum number of events per 100 s; several are in progress at any time.
const FAULTS_PER_100_S: (u64, u64) = (60, 180);
/// Shortest and longest time for which a VM in a planned stop does not run.
const HELD_MS: (u64, u64) = (200, 1_000);
/// Time from SIGTERM within which a VM is held up, in ms.
const STOP_MS: u64 = 6_000;
/// Maximum duration of a fault.
const MAX_SPAN_MS: u64 = 3_000;

/// A change or a fault. Failing runs print the variants.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// The VM's process gets SIGTERM and is restarted.
    Stop(usize),
    /// The VM's process does not run for a while, if it is in a planned stop.
    HoldUp(usize, Duration),
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
    /// Whether it is planned work, which must not cut any request. A VM that is held up in a planned stop must not either.
    pub(crate) fn is_planned(self) -> bool {
        use Event::{Config, Evacuate, HoldUp, Reload, Replace, Stop};
        matches!(self, Stop(_) | HoldUp(..) | Reload(_) | Config | Replace(_) | Evacuate(_))
    }
}

/// The events of a run, sorted by time from its start.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) events: Vec<(Duration, Event)>,
}

struct EventGenerator {
    rng: ChaCha8Rng,
    vms: usize,
}

impl EventGenerator {
    fn new(seed: u64, vms: usize) -> EventGenerator {
        EventGenerator { rng: ChaCha8Rng::seed_from_u64(seed), vms }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn span(&mut self) -> Duration {
        Duration::from_millis(200 + self.below(MAX_SPAN_MS - 200))
    }

    /// Returns when after SIGTERM a VM is held up, and for how long: in two of three cases while its port closes.
    fn hold_up(&mut self) -> (Duration, Duration) {
        let span = HELD_MS.0 + self.below(HELD_MS.1 - HELD_MS.0);
        let start = match self.below(3) {
            0 => self.below(STOP_MS - span),
            _ => LINGER.as_millis() as u64 - self.below(span),
        };
        (Duration::from_millis(start), Duration::from_millis(span))
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
        let (vm, server) =
            (self.below(self.vms as u64) as usize, self.below(SERVERS as u64) as usize);
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
    pub(crate) fn new(seed: u64, length: Duration, options: &Options) -> Plan {
        let vms = options.vms;
        let mut generator = EventGenerator::new(seed, vms);
        let planned = seed.is_multiple_of(3);
        let rate = FAULTS_PER_100_S.0 + generator.below(FAULTS_PER_100_S.1 - FAULTS_PER_100_S.0);
        let count = length.as_millis() as u64 * rate / 100_000;
        let mut events = Vec::new();
        for _ in 0..count.max(2) {
            let at = Duration::from_millis(generator.below(length.as_millis() as u64));
            events.push((at, generator.event(planned)));
        }
        // Drawn apart, so that the other events of a seed stay as they were.
        let mut generator = EventGenerator::new(!seed, vms);
        if !planned && generator.below(2) == 0 {
            let at = Duration::from_millis(generator.below(length.as_millis() as u64));
            let times = 1 + generator.below(3) as u32;
            events.push((at, Event::Silences(times, generator.span(), generator.span())));
        }
        let mut generator = EventGenerator::new(seed.rotate_left(32), vms);
        if !planned && generator.below(2) == 0 {
            for _ in 0..1 + generator.below(3) {
                let at = Duration::from_millis(generator.below(length.as_millis() as u64));
                events.push((at, Event::OlderCopy(generator.span(), generator.span() / 2)));
            }
        }
        if DEFAULT_VMS < vms {
            let mut generator = EventGenerator::new(!seed.rotate_left(16), vms);
            for _ in 0..vms {
                let at = Duration::from_millis(generator.below(length.as_millis() as u64));
                events.push((at, Event::Stop(generator.below(vms as u64) as usize)));
            }
        }
        if options.holds {
            let mut generator = EventGenerator::new(!seed.rotate_left(32), vms);
            // Some seeds draw no stop.
            let at = Duration::from_millis(generator.below(length.as_millis() as u64));
            events.push((at, Event::Stop(generator.below(vms as u64) as usize)));
            for (at, event) in events.clone() {
                let Event::Stop(vm) = event else { continue };
                let (start, span) = generator.hold_up();
                events.push((at + start, Event::HoldUp(vm, span)));
            }
        }
        events.sort_by_key(|it| it.0);
        Plan { events }
    }
}
