//! State shared by all tasks of the process.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use th_platform::{BootClock, Clock};
use th_protocol::{BackendId, Time, VmId};
use th_steer::{
    dispatch::{Attempt, AttemptOutcome, CrashReport, Dispatcher, Job, Placement},
    held::AnswerSizes,
    quota::QuotaBook,
};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::{
    connection::Pool, crash::MAX_REPORTS, dialect::Dialect, memory::MemoryPool, metrics::Metrics,
    relay::Relay, settings::GatewaySettings,
};

/// Maximum number of waiting requests examined when a slot becomes free; the next tick examines all.
const MAX_EXAMINED_REQUESTS: usize = 12;

/// Phases of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves callers.
    Serving,
    /// A planned stop has begun, and callers may not know yet: requests are still taken.
    Leaving,
    /// Requests that become complete now are rejected, and those taken before are finished.
    Closed,
    /// The stop has ended; what is unfinished is cut.
    Ended,
}

/// State shared by all tasks of the process, which run on one thread.
pub struct Core {
    /// Decides where each request runs.
    pub dispatcher: RefCell<Dispatcher>,
    /// What this VM passes on to others.
    pub relay: Relay,
    /// What organisations may use of their quotas at this VM.
    pub quotas: RefCell<QuotaBook>,
    /// Wakes the task that reports the use of quotas.
    pub(crate) usage_due: Notify,
    /// Wakes requests that wait for a token.
    pub(crate) usage_answered: Notify,
    /// Passes crashes of backend servers on to whoever tells other VMs.
    pub(crate) crash_reports: mpsc::Sender<CrashReport>,
    reported: RefCell<Option<mpsc::Receiver<CrashReport>>>,
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Rc<dyn Dialect>,
    /// Connections to backend servers.
    pub(crate) pool: RefCell<Pool<BackendId>>,
    /// Connections to other entry VMs.
    pub(crate) vm_pool: RefCell<Pool<VmId>>,
    pub(crate) metrics: Metrics,
    pub(crate) waiters: RefCell<BTreeMap<u64, oneshot::Sender<Placement>>>,
    pub(crate) in_flight: Cell<u32>,
    /// Memory held for messages and connections.
    pub(crate) memory: Rc<MemoryPool>,
    /// Sizes of the answers of each route.
    pub(crate) answer_sizes: RefCell<AnswerSizes>,
    pub(crate) connections: Cell<u32>,
    pub(crate) phase: Cell<Phase>,
    /// Wakes callers' connections once the process accepts no more requests, so that they close.
    pub(crate) closing: Notify,
}

impl Core {
    pub(crate) fn new(
        dispatcher: Dispatcher,
        settings: GatewaySettings,
        dialect: Rc<dyn Dialect>,
    ) -> Core {
        let vm = dispatcher.vm().clone();
        let quotas = QuotaBook::new(settings.quotas, vm, BootClock.now());
        let (crash_reports, reported) = mpsc::channel(MAX_REPORTS);
        Core {
            crash_reports,
            reported: RefCell::new(Some(reported)),
            dispatcher: RefCell::new(dispatcher),
            relay: Relay::default(),
            quotas: RefCell::new(quotas),
            usage_due: Notify::new(),
            usage_answered: Notify::new(),
            memory: MemoryPool::new(settings.held),
            answer_sizes: RefCell::default(),
            settings,
            dialect,
            pool: RefCell::default(),
            vm_pool: RefCell::default(),
            metrics: Metrics::default(),
            waiters: RefCell::new(BTreeMap::new()),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            phase: Cell::new(Phase::Serving),
            closing: Notify::new(),
        }
    }

    /// Returns the current time of a clock that includes time spent suspended.
    pub fn now(&self) -> Time {
        BootClock.now()
    }

    /// Returns the crashes of backend servers that other VMs are to be told of; `None` from the second call on.
    pub fn crash_reports(&self) -> Option<mpsc::Receiver<CrashReport>> {
        self.reported.borrow_mut().take()
    }

    /// Whether this VM accepts requests: it has routes and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.dispatcher.borrow().routes().is_some()
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// Whether requests that become complete are rejected.
    pub(crate) fn is_closed(&self) -> bool {
        Phase::Closed <= self.phase.get()
    }

    /// Whether the planned stop has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.phase.get() == Phase::Ended
    }

    /// Assigns free slots to waiting requests; examines the first `limit` of them.
    pub(crate) fn place_waiting(&self, limit: usize) {
        let placed = self.dispatcher.borrow_mut().place_waiting(limit, self.now());
        for (number, placement) in placed {
            let waiter = self.waiters.borrow_mut().remove(&number);
            let unsent = match waiter {
                Some(waiter) => waiter.send(placement).err(),
                None => Some(placement),
            };
            if let Some(Placement::Send { attempt, .. }) = unsent {
                log::debug!(target: "call", "backend={} The caller abandoned the request while it was placed; releasing the slot.", attempt.backend);
                self.dispatcher.borrow_mut().release_slot(&attempt, self.now());
            }
        }
    }

    /// Drops the sizes of answers of routes that are no longer in force.
    pub(crate) fn forget_answer_sizes(&self) {
        let Some(routes) = self.dispatcher.borrow().routes().cloned() else {
            return;
        };
        let names: BTreeSet<&str> = routes.iter().map(|it| it.name.as_str()).collect();
        self.answer_sizes.borrow_mut().retain(|it| names.contains(it));
    }

    /// Closes the idle connections to a backend server that gets no more requests.
    pub fn drop_connections(&self, backend: &BackendId) {
        self.pool.borrow_mut().remove(backend);
    }
}

/// A slot at a backend server; released on drop.
pub(crate) struct Slot {
    core: Rc<Core>,
    job: Job,
    attempt: Attempt,
    /// Outcome so far; another task may change it before it drops the attempt.
    outcome: Rc<Cell<AttemptOutcome>>,
}

impl Slot {
    pub(crate) fn new(core: Rc<Core>, job: Job, attempt: Attempt) -> Slot {
        let outcome = Rc::new(Cell::new(AttemptOutcome::Abandoned));
        Slot { core, job, attempt, outcome }
    }

    pub(crate) fn outcome(&self) -> Rc<Cell<AttemptOutcome>> {
        Rc::clone(&self.outcome)
    }

    pub(crate) fn core(&self) -> &Rc<Core> {
        &self.core
    }

    pub(crate) fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    pub(crate) fn job(&self) -> &Job {
        &self.job
    }

    pub(crate) fn finish(self, outcome: AttemptOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut dispatcher = self.core.dispatcher.borrow_mut();
        let changed = dispatcher.on_attempt_end(&self.job, &self.attempt, self.outcome.get(), now);
        drop(dispatcher);
        if let Some(avoided) = changed {
            let (backend, service) = (&self.attempt.backend, &self.job.service);
            let (took, limit) = (now.since(self.attempt.sent), self.attempt.drag);
            log::warn!(target: "backend", "backend={backend} service={service} avoided={avoided} took={took} limit={limit} Changed whether a backend server is avoided because it drags.");
        }
        self.core.place_waiting(MAX_EXAMINED_REQUESTS);
    }
}
