//! What all tasks of an entry process share.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use reqwest::Client;
use th_platform::{CallCounters, Clock, CountedPlatform};
use th_protocol::{BackendId, Bytes, Incarnation, Millis, Reason, ServiceId, Time, Verdict};
use th_report::{BurnRing, Count, Measure, Sample};
use th_steer::{
    backend::Outcome,
    engine::{Engine, EngineSettings, Identity, Placement, Wake},
    member::ServeBudget,
    ticket::{TicketKey, TicketKeys},
};
use tokio::sync::{Notify, oneshot};

use crate::{
    in_flight::InFlight,
    io::{ClientSettings, Clients, Kept, client},
    library::Library,
    metrics::Metrics,
    settings::Settings,
    task::is_good,
};

/// Bytes of bundles that peers may fetch each second.
const SERVE_RATE: Bytes = Bytes(256 << 10);
/// The same at once.
const SERVE_BURST: Bytes = Bytes(4 << 20);

/// The state of the decisions, with answers as this process keeps them.
pub(crate) type Decisions = Engine<Arc<Kept>>;

/// Requests that wait, by number, and where to tell them.
type Waiters = BTreeMap<u64, (ServiceId, oneshot::Sender<Placement>)>;

/// What all tasks of an entry process share.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: CountedPlatform,
    pub(crate) calls: Arc<CallCounters>,
    /// Pools of connections to backend servers.
    pub(crate) clients: Clients,
    /// Connections to other entry VMs.
    pub(crate) peers: Client,
    /// Probes of backend servers.
    pub(crate) probes: Client,
    pub(crate) library: Mutex<Library>,
    pub(crate) metrics: Metrics,
    pub(crate) burn: Mutex<BurnRing>,
    /// Wakes repeats that wait for an operation to end.
    pub(crate) ended: Notify,
    /// Wakes the tick loop when there is something to do at once.
    pub(crate) hurry: Notify,
    pub(crate) in_flight: InFlight,
    pub(crate) stopping: AtomicBool,
    pub(crate) numbers: AtomicU64,
    /// Bytes of bundles that peers may still fetch.
    budget: Mutex<ServeBudget>,
    /// Good and all events of each promise since the start.
    counts: Mutex<BTreeMap<(ServiceId, Measure), Count>>,
    /// Backend servers whose drain was noted.
    quiet: Mutex<BTreeSet<BackendId>>,
    engine: Mutex<Decisions>,
    waiters: Mutex<Waiters>,
}

/// Addresses that the process listens at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
}

impl Entry {
    pub(crate) fn new(
        settings: Settings,
        decisions: EngineSettings,
        store: CountedPlatform,
        clock: Arc<dyn Clock>,
        addresses: Addresses,
        start: StartInfo,
    ) -> Entry {
        let me = Identity {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            incarnation: start.incarnation,
            callers: addresses.callers,
            peers: addresses.peers,
            origin: start.origin,
        };
        let now = clock.now();
        let keys = ticket_keys(&settings);
        Entry {
            calls: store.calls(),
            engine: Mutex::new(Engine::new(decisions, me, keys, start.seed, now)),
            waiters: Mutex::default(),
            clients: Clients::default(),
            peers: client(ClientSettings::default()),
            probes: client(ClientSettings::default()),
            library: Mutex::default(),
            metrics: Metrics::default(),
            burn: Mutex::new(BurnRing::new(now)),
            ended: Notify::new(),
            hurry: Notify::new(),
            in_flight: InFlight::default(),
            stopping: AtomicBool::new(false),
            numbers: AtomicU64::new(start.seed),
            budget: Mutex::new(ServeBudget::new(SERVE_RATE, SERVE_BURST, now, &mut rand::rng())),
            counts: Mutex::default(),
            quiet: Mutex::default(),
            store,
            clock,
            settings,
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Lets the decisions take something in; requests whose wait ended are told.
    pub(crate) fn decide<T>(&self, step: impl FnOnce(&mut Decisions, Time) -> T) -> T {
        let (result, wakes) = {
            let mut engine = self.engine();
            let result = step(&mut engine, self.clock.now());
            (result, engine.take_wakes())
        };
        self.deliver(wakes);
        result
    }

    fn engine(&self) -> MutexGuard<'_, Decisions> {
        let Ok(engine) = self.engine.lock() else {
            // A decision broke off half way, so that what may be spent is no longer known.
            log::error!(target: "entry", "A decision failed; the process ends.");
            std::process::abort();
        };
        engine
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().expect("no holder of this lock panics")
    }

    /// Registers a request that waits. Call it while deciding, so that its wake cannot come first.
    pub(crate) fn wait_for(
        &self,
        waiter: u64,
        service: &ServiceId,
    ) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(waiter, (service.clone(), sender));
        receiver
    }

    fn deliver(&self, wakes: Vec<Wake>) {
        for wake in wakes {
            let Some((service, sender)) = self.waiters().remove(&wake.waiter) else {
                continue;
            };
            let Err(Placement::Backend(choice)) = sender.send(wake.place) else {
                continue;
            };
            // The caller went away while its request waited: the slot goes back.
            self.decide(|engine, now| {
                engine.finish(&service, choice.attempt, Outcome::Cancelled, Millis::ZERO, now);
            });
        }
    }

    /// A number for a request that brings none.
    pub(crate) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn library(&self) -> MutexGuard<'_, Library> {
        self.library.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn burn(&self) -> MutexGuard<'_, BurnRing> {
        self.burn.lock().expect("no holder of this lock panics")
    }

    /// Whether so many bytes of a bundle may be served to a peer now.
    pub(crate) fn may_serve(&self, size: usize) -> bool {
        let now = self.clock.now();
        let mut budget = self.budget.lock().expect("no holder of this lock panics");
        budget.take(Bytes(size as u64), now)
    }

    /// Counts one event of a promise.
    pub(crate) fn count(&self, service: &ServiceId, measure: Measure, good: bool) {
        let mut counts = self.counts.lock().expect("no holder of this lock panics");
        let count = counts.entry((service.clone(), measure)).or_default();
        count.good += u64::from(good);
        count.total += 1;
    }

    /// Hands the counts so far to the burn report.
    pub(crate) fn record_counts(&self) {
        let at = self.clock.now();
        let counts = self.counts.lock().expect("no holder of this lock panics").clone();
        let mut burn = self.burn();
        for ((service, measure), Count { good, total }) in counts {
            burn.record(&Sample { at, service, measure, good, total });
        }
    }

    /// Counts an answer to a caller.
    pub(crate) fn note_request(
        &self,
        service: &ServiceId,
        told: Option<(Verdict, Reason)>,
        waited: Millis,
    ) {
        let slo = self.decide(|engine, _| {
            engine.bundle().and_then(|it| Some(it.services.get(service)?.slo.clone()))
        });
        if let Some(good) = slo.and_then(|it| is_good(&it, told, waited)) {
            self.count(service, Measure::Latency, good);
        }
    }

    /// Whether this is the first word that a backend server has gone quiet.
    pub(crate) fn drained(&self, backend: &BackendId) -> bool {
        self.quiet().insert(backend.clone())
    }

    /// Forgets backend servers that are back.
    pub(crate) fn forget_drained(&self, keep: impl Fn(&BackendId) -> bool) {
        self.quiet().retain(|it| keep(it));
    }

    fn quiet(&self) -> MutexGuard<'_, BTreeSet<BackendId>> {
        self.quiet.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// What differs between two starts of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartInfo {
    pub(crate) incarnation: Incarnation,
    pub(crate) origin: Time,
    pub(crate) seed: u64,
}

fn ticket_keys(settings: &Settings) -> TicketKeys {
    let mut keys = settings.keys.tickets.iter().copied().map(TicketKey);
    let first = keys.next().expect("settings are refused without a ticket key");
    TicketKeys::new(first, keys.collect())
}
