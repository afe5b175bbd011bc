//! The state that all tasks of an entry process share.

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
    bundle_cache::BundleCache,
    in_flight::InFlight,
    io::{ClientSettings, Clients, RetainedAnswer, client},
    metrics::Metrics,
    settings::Settings,
    task::meets_latency,
};

/// Bytes of bundles that peers may fetch per second.
const BUNDLE_RATE: Bytes = Bytes(256 << 10);
/// Bytes of bundles that peers may fetch in one burst.
const BUNDLE_BURST: Bytes = Bytes(4 << 20);

/// The steering engine, with the type in which this process retains answers.
pub(crate) type SteeringEngine = Engine<Arc<RetainedAnswer>>;

/// Queued requests: the service and the channel for the placement, by waiter number.
type Waiters = BTreeMap<u64, (ServiceId, oneshot::Sender<Placement>)>;

/// The state that all tasks of an entry process share.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) store: CountedPlatform,
    pub(crate) store_calls: Arc<CallCounters>,
    /// Connection pools to backend servers.
    pub(crate) clients: Clients,
    /// Client for requests to other entry VMs.
    pub(crate) peer_client: Client,
    /// Client for probes of backend servers.
    pub(crate) probe_client: Client,
    pub(crate) bundle_cache: Mutex<BundleCache>,
    pub(crate) metrics: Metrics,
    pub(crate) burn: Mutex<BurnRing>,
    /// Wakes repeated requests that wait for the end of their operation.
    pub(crate) operation_ended: Notify,
    /// Wakes the tick loop before the next tick is due.
    pub(crate) tick_now: Notify,
    pub(crate) in_flight: InFlight,
    pub(crate) stopping: AtomicBool,
    pub(crate) request_numbers: AtomicU64,
    /// Budget of the bundle bytes that peers may fetch.
    bundle_budget: Mutex<ServeBudget>,
    /// Good and total SLO events since the start, by service and measure.
    slo_counts: Mutex<BTreeMap<(ServiceId, Measure), Count>>,
    /// Backend servers whose drain time has been recorded.
    drained: Mutex<BTreeSet<BackendId>>,
    engine: Mutex<SteeringEngine>,
    waiters: Mutex<Waiters>,
}

/// Addresses on which the process listens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
}

impl Entry {
    pub(crate) fn new(
        settings: Settings,
        engine_settings: EngineSettings,
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
            store_calls: store.calls(),
            engine: Mutex::new(Engine::new(engine_settings, me, keys, start.seed, now)),
            waiters: Mutex::default(),
            clients: Clients::default(),
            peer_client: client(ClientSettings::default()),
            probe_client: client(ClientSettings::default()),
            bundle_cache: Mutex::default(),
            metrics: Metrics::default(),
            burn: Mutex::new(BurnRing::new(now)),
            operation_ended: Notify::new(),
            tick_now: Notify::new(),
            in_flight: InFlight::default(),
            stopping: AtomicBool::new(false),
            request_numbers: AtomicU64::new(start.seed),
            bundle_budget: Mutex::new(ServeBudget::new(
                BUNDLE_RATE,
                BUNDLE_BURST,
                now,
                &mut rand::rng(),
            )),
            slo_counts: Mutex::default(),
            drained: Mutex::default(),
            store,
            clock,
            settings,
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Runs `f` on the locked engine at the present time, then delivers placements to requests that this woke.
    pub(crate) fn with_engine<T>(&self, f: impl FnOnce(&mut SteeringEngine, Time) -> T) -> T {
        let (result, wakes) = {
            let mut engine = self.lock_engine();
            let result = f(&mut engine, self.clock.now());
            (result, engine.take_wakes())
        };
        self.deliver_wakes(wakes);
        result
    }

    fn lock_engine(&self) -> MutexGuard<'_, SteeringEngine> {
        let Ok(engine) = self.engine.lock() else {
            // A panic inside the engine leaves its budgets and slot counts in an unknown state.
            log::error!(target: "entry", "The engine panicked and its state is unknown; aborting the process.");
            std::process::abort();
        };
        engine
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().expect("no holder of this lock panics")
    }

    /// Registers a queued request. Must be called inside [`Entry::with_engine`], so that its wake cannot be delivered
    /// before it is registered.
    pub(crate) fn register_waiter(
        &self,
        waiter: u64,
        service: &ServiceId,
    ) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(waiter, (service.clone(), sender));
        receiver
    }

    fn deliver_wakes(&self, wakes: Vec<Wake>) {
        for wake in wakes {
            let Some((service, sender)) = self.waiters().remove(&wake.waiter) else {
                continue;
            };
            let Err(Placement::Backend(choice)) = sender.send(wake.place) else {
                continue;
            };
            // The caller cancelled the queued request, so its slot is released.
            self.with_engine(|engine, now| {
                engine.finish(&service, choice.attempt, Outcome::Cancelled, Millis::ZERO, now);
            });
        }
    }

    /// Returns a number for a request without an idempotency key.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.request_numbers.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn bundle_cache(&self) -> MutexGuard<'_, BundleCache> {
        self.bundle_cache.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn burn(&self) -> MutexGuard<'_, BurnRing> {
        self.burn.lock().expect("no holder of this lock panics")
    }

    /// Takes `size` bytes from the budget of bundle bytes for peers; `false` if it does not have them.
    pub(crate) fn take_bundle_budget(&self, size: usize) -> bool {
        let now = self.clock.now();
        let mut bundle_budget = self.bundle_budget.lock().expect("no holder of this lock panics");
        bundle_budget.take(Bytes(size as u64), now)
    }

    /// Counts one SLO event.
    pub(crate) fn count_event(&self, service: &ServiceId, measure: Measure, good: bool) {
        let mut slo_counts = self.slo_counts.lock().expect("no holder of this lock panics");
        let count = slo_counts.entry((service.clone(), measure)).or_default();
        count.good += u64::from(good);
        count.total += 1;
    }

    /// Passes the SLO counts to the burn report.
    pub(crate) fn record_counts(&self) {
        let at = self.clock.now();
        let slo_counts = self.slo_counts.lock().expect("no holder of this lock panics").clone();
        let mut burn = self.burn();
        for ((service, measure), Count { good, total }) in slo_counts {
            burn.record(&Sample { at, service, measure, good, total });
        }
    }

    /// Counts an answer to a caller as a latency event of its service.
    pub(crate) fn count_answer(
        &self,
        service: &ServiceId,
        notice: Option<(Verdict, Reason)>,
        waited: Millis,
    ) {
        let slo = self.with_engine(|engine, _| {
            engine.bundle().and_then(|it| Some(it.services.get(service)?.slo.clone()))
        });
        if let Some(good) = slo.and_then(|it| meets_latency(&it, notice, waited)) {
            self.count_event(service, Measure::Latency, good);
        }
    }

    /// Marks a backend server as drained; `false` if it already was.
    pub(crate) fn mark_drained(&self, backend: &BackendId) -> bool {
        self.drained().insert(backend.clone())
    }

    /// Removes the mark from drained backend servers for which `keep` returns `false`.
    pub(crate) fn retain_drained(&self, keep: impl Fn(&BackendId) -> bool) {
        self.drained().retain(|it| keep(it));
    }

    fn drained(&self) -> MutexGuard<'_, BTreeSet<BackendId>> {
        self.drained.lock().expect("no holder of this lock panics")
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// Values that differ between two starts of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartInfo {
    pub(crate) incarnation: Incarnation,
    /// The wall-clock time, in milliseconds since 1970, at which the process's clock read zero.
    pub(crate) origin: Time,
    /// The seed of the engine's random choices, and the first request number.
    pub(crate) seed: u64,
}

fn ticket_keys(settings: &Settings) -> TicketKeys {
    let mut keys = settings.keys.tickets.iter().copied().map(TicketKey);
    let first = keys.next().expect("settings without a ticket key are rejected");
    TicketKeys::new(first, keys.collect())
}
