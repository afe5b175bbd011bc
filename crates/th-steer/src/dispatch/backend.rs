//! The table row of a backend server: its own record, and the load, errors and latency observed from this VM.

use th_protocol::{BackendId, Millis, Slots, Time};

use super::{
    external_load::{ExternalLoad, MAX_LOAD},
    pace::Pace,
    record::{BackendRecord, Serving},
    settings::DispatchSettings,
    statements::Statements,
    warm::WarmSet,
};

/// Divisor for the weight of a new sample in the moving averages of failures and slowness.
const SMOOTHING: f64 = 8.0;
/// Lower bound of the slowness estimate, as a multiple of the expected time.
const MIN_SLOWNESS: f64 = 0.5;
/// Slowness of a backend server that is still cold after its start, as a multiple of the expected time.
const COLD_SLOWNESS: f64 = 2.0;
/// Remaining time assumed at least for a running request, however long it has run, as a fraction of its expected
/// time.
const MIN_REMAINING: f64 = 0.1;
/// A backend server is unresponsive once a request has run for this many times its expected time there.
const UNRESPONSIVE_FACTOR: f64 = 3.0;
/// A request drags once it has run for this many times its latency objective, and for [`DRAG_EXPECTED`] times its
/// expected time. An object that is cold against expectation explains shorter times.
const DRAG_OBJECTIVE: f64 = 2.0;
const DRAG_EXPECTED: f64 = 2.5;
/// Number of requests in a row that drag, finished or not, from which a backend server counts as slow.
const DRAG_LIMIT: u32 = 2;
/// Time constant with which a measured slowness is forgotten, so that a server that recovered is used again.
const SLOWNESS_MEMORY: Millis = Millis(5_000);
/// A slot counts as free if the estimated probability that another VM occupies it is at most this.
const MAX_EXTERNAL_OCCUPANCY: f64 = 0.5;

/// A request sent to a backend server, which occupies one of its slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub backend: BackendId,
    /// Sequence number among the attempts of this VM.
    pub number: u64,
    /// When it was sent.
    pub sent: Time,
    /// Whether the server was assumed to have the object warm.
    pub warm: bool,
    /// Expected duration.
    pub expected: Millis,
    /// Duration from which it counts as dragging.
    pub drag: Millis,
}

/// Returns the duration from which a request drags.
pub(crate) fn drag_time(expected: Millis, objective: Millis) -> Millis {
    let (expected, objective) = (expected.0 as f64, objective.0 as f64);
    Millis((expected * DRAG_EXPECTED).max(objective * DRAG_OBJECTIVE) as u64)
}

/// A request of this VM that a backend server runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    number: u64,
    sent: Time,
    expected: Millis,
    drag: Millis,
}

/// How an attempt ended; the variant names are values of a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer.
    Answered,
    /// A complete answer that reports a server error.
    Failed,
    /// The server shed the request without running it.
    Shed,
    /// The server shed the request without running it, and wants a pause.
    Paused,
    /// A different server listens at the address.
    Moved,
    /// The connection failed, so nothing was sent.
    Unreachable,
    /// The connection broke, or the answer was invalid.
    Broken,
    /// No answer within the time-out.
    Silent,
    /// The caller abandoned the request.
    Abandoned,
    /// A hedged attempt that was sent later, to another server, was answered first.
    Overtaken,
}

/// Estimate of when a slot becomes free at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SlotEstimate {
    /// Expected wait in milliseconds; zero if a slot is certainly free.
    pub(crate) wait: f64,
    /// Whether a request may be sent now.
    pub(crate) free: bool,
}

/// Whether a backend server that was taken out of use until some time may get a request: then one at a time.
fn is_open(until: Option<Time>, is_idle: bool, now: Time) -> bool {
    until.is_none_or(|it| it <= now && is_idle)
}

/// Duration for which a backend server is taken out of use after that many failures in a row.
fn ejection(failures: u32, settings: &DispatchSettings) -> Millis {
    let doublings = failures.saturating_sub(1).min(8);
    Millis(settings.base_ejection.0 << doublings).min(settings.max_ejection)
}

#[derive(Debug)]
pub(crate) struct BackendRow {
    pub(crate) record: BackendRecord,
    /// The slots that count, see [`slot_limit`](super::slot_limit).
    pub(crate) slots: Slots,
    /// Hash of the id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Running attempts of this VM, in the order in which they were sent.
    pub(crate) running: Vec<Running>,
    /// Load from sources other than this VM.
    external: ExternalLoad,
    pub(crate) warm: WarmSet,
    pub(crate) cold_until: Time,
    /// Spacing of this VM's requests while it is cold.
    pub(crate) cold_pace: Option<Pace>,
    /// What it stated in its answers since its latest start.
    pub(crate) stated: Statements,
    /// Answers received since its latest start.
    answers: u64,
    failures: u32,
    ejected: Option<Time>,
    errors: f64,
    slowness: f64,
    /// When `slowness` was last measured.
    measured: Time,
    /// Number of requests in a row that ended and dragged.
    drags: u32,
    /// Until when it is avoided because it drags.
    avoided: Option<Time>,
}

impl BackendRow {
    pub(crate) fn new(record: BackendRecord, now: Time) -> BackendRow {
        BackendRow {
            hash: crate::route::hash_name(record.id.as_str()),
            cold_until: now.after(record.cold),
            slots: record.slots,
            record,
            running: Vec::new(),
            external: ExternalLoad::default(),
            warm: WarmSet::default(),
            cold_pace: None,
            stated: Statements::default(),
            answers: 0,
            failures: 0,
            ejected: None,
            errors: 0.0,
            slowness: 1.0,
            measured: now,
            drags: 0,
            avoided: None,
        }
    }

    /// Applies a newer record. If the server has restarted, all observations of the previous start are discarded;
    /// attempts that still run keep their slots.
    pub(crate) fn on_record(&mut self, record: BackendRecord, now: Time) {
        let restarted =
            record.started != self.record.started || record.address != self.record.address;
        if restarted {
            let running = std::mem::take(&mut self.running);
            *self = BackendRow { running, ..BackendRow::new(record, now) };
            return;
        }
        if self.record.cold == Millis::ZERO && Millis::ZERO < record.cold {
            self.warm.clear();
        }
        self.cold_until = now.after(record.cold);
        self.record = record;
    }

    pub(crate) fn accepts_work(&self) -> bool {
        self.record.serving == Serving::Ready && !self.stated.leaving
    }

    /// Whether it wants no requests, or has not answered the one that tries it after that.
    pub(crate) fn is_resting(&self, now: Time) -> bool {
        !is_open(self.stated.rest, self.running.is_empty(), now)
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it is cold, and this VM has sent it all that it may for now.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.is_cold(now) && self.cold_pace.is_some_and(|it| 0.0 < it.wait(0, now))
    }

    /// Estimated number of requests that it runs or has queued.
    pub(crate) fn load(&self, settings: &DispatchSettings, now: Time) -> f64 {
        self.running.len() as f64 + self.external.expected(settings, now)
    }

    /// Estimates the wait for a slot, and for this VM's turn if the server limits its requests, behind the running
    /// requests and `ahead` waiting ones. Each waiting request and each request of the external load is assumed to take
    /// `expected_work` milliseconds.
    pub(crate) fn estimate_slot(
        &self,
        ahead: u32,
        expected_work: f64,
        settings: &DispatchSettings,
        now: Time,
    ) -> SlotEstimate {
        let slot = self.estimate_capacity(ahead, expected_work, settings, now);
        let Some(limited) = self.stated.limited else {
            return slot;
        };
        let pause = limited.pace.wait(ahead, now);
        SlotEstimate { wait: slot.wait.max(pause), free: slot.free && pause <= 0.0 }
    }

    /// The part of [`BackendRow::estimate_slot`] that only slots decide.
    fn estimate_capacity(
        &self,
        ahead: u32,
        expected_work: f64,
        settings: &DispatchSettings,
        now: Time,
    ) -> SlotEstimate {
        let slots = f64::from(self.slots.0.max(1));
        let load = self.load(settings, now) + f64::from(ahead);
        let excess = load + 1.0 - slots;
        if excess <= 0.0 {
            return SlotEstimate { wait: 0.0, free: true };
        }
        let mut backlog = (load - self.running.len() as f64) * expected_work;
        for it in &self.running {
            let left = it.expected.0 as f64 - now.since(it.sent).0 as f64;
            backlog += left.max(it.expected.0 as f64 * MIN_REMAINING);
        }
        let wait = backlog * excess / (load.max(1.0) * slots);
        // External load is an estimate. It is refreshed only by answers to this VM's own requests, so without one
        // running here the VM would never learn that the load has ended.
        let is_idle = self.running.is_empty() && ahead == 0;
        SlotEstimate { wait, free: excess <= MAX_EXTERNAL_OCCUPANCY || is_idle }
    }

    /// Whether it may be used: it is not ejected, or its ejection has expired and no request of this VM runs there, so
    /// that a single request can probe it.
    pub(crate) fn is_eligible(&self, now: Time) -> bool {
        is_open(self.ejected, self.running.is_empty(), now)
    }

    /// Whether it drags: it answers, but long after the latency objective. Once it has been avoided for a while, a
    /// single request can probe it.
    pub(crate) fn is_dragging(&self, now: Time) -> bool {
        let overdue = self.running.iter().filter(|it| it.drag <= now.since(it.sent)).count();
        let is_slow = 0 < overdue && DRAG_LIMIT <= self.drags + overdue as u32;
        is_slow || !is_open(self.avoided, self.running.is_empty(), now)
    }

    /// Whether this VM's own requests dragged, and none has been answered in time since.
    pub(crate) fn is_avoided(&self) -> bool {
        self.avoided.is_some()
    }

    /// Whether the oldest running request has been unanswered for far longer than expected.
    pub(crate) fn is_unresponsive(&self, now: Time) -> bool {
        let oldest = self.running.first();
        oldest.is_some_and(|it| {
            UNRESPONSIVE_FACTOR * it.expected.0 as f64 * self.slowness < now.since(it.sent).0 as f64
        })
    }

    /// Whether a running request has taken so long that it drags.
    pub(crate) fn is_overdue(&self, now: Time) -> bool {
        self.running.iter().any(|it| it.drag <= now.since(it.sent))
    }

    /// Forgets failed and dragging requests, since the fault was not the server's.
    pub(crate) fn forget_failures(&mut self) {
        self.failures = 0;
        self.ejected = None;
        self.errors = 0.0;
        self.drags = 0;
        self.avoided = None;
    }

    /// Time that a request takes here, as a multiple of the expected time and including repeats after failures.
    pub(crate) fn slowdown(&self, now: Time) -> f64 {
        let startup = if self.is_cold(now) { COLD_SLOWNESS } else { 1.0 };
        let age = now.since(self.measured).0 as f64;
        let memory = (-age / SLOWNESS_MEMORY.0 as f64).exp();
        (1.0 + (self.slowness - 1.0) * memory) * startup / (1.0 - self.errors.min(0.9))
    }

    /// Whether a single request should probe it: it has answered none since its start, or its ejection has expired.
    pub(crate) fn needs_probe(&self, now: Time) -> bool {
        let is_due = |until: Option<Time>| until.is_some_and(|it| it <= now);
        let is_untested = self.answers == 0 || is_due(self.ejected) || is_due(self.avoided);
        is_untested && self.running.is_empty() && !self.is_cold(now)
    }

    pub(crate) fn start(&mut self, attempt: &Attempt) {
        let Attempt { number, sent, expected, drag, .. } = *attempt;
        self.running.push(Running { number, sent, expected, drag });
        if let Some(limited) = &mut self.stated.limited {
            limited.pace.take(sent);
        }
    }

    pub(crate) fn end(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        settings: &DispatchSettings,
        now: Time,
    ) {
        let Some(index) = self.running.iter().position(|it| it.number == attempt.number) else {
            return;
        };
        self.running.remove(index);
        let drags = attempt.drag <= now.since(attempt.sent) || outcome == AttemptOutcome::Overtaken;
        if drags {
            self.on_drag(settings, now);
        }
        let failure = match outcome {
            AttemptOutcome::Abandoned | AttemptOutcome::Overtaken | AttemptOutcome::Paused => {
                return;
            }
            AttemptOutcome::Answered => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Shed | AttemptOutcome::Moved => 1.0,
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => 1.0,
        };
        self.errors += (failure - self.errors) / SMOOTHING;
        if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Failed) {
            self.answers += 1;
        }
        if outcome == AttemptOutcome::Answered {
            let took = now.since(attempt.sent).0 as f64;
            let ratio = took / (attempt.expected.0 as f64).max(1.0);
            self.slowness += (ratio - self.slowness) / SMOOTHING;
            self.slowness = self.slowness.max(MIN_SLOWNESS);
            self.measured = now;
            // A failure is no sign of recovery: a server also fails when it gives up at the deadline.
            if !drags {
                self.drags = 0;
                self.avoided = None;
            }
        }
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                self.failures = 0;
                self.ejected = None;
                if self.stated.rest.is_some_and(|it| it <= attempt.sent) {
                    self.stated.rest = None;
                }
            }
            AttemptOutcome::Shed
            | AttemptOutcome::Paused
            | AttemptOutcome::Abandoned
            | AttemptOutcome::Overtaken => {}
            AttemptOutcome::Moved => self.eject(settings.max_ejection, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => {
                self.failures += 1;
                let is_unreachable = outcome == AttemptOutcome::Unreachable;
                if is_unreachable
                    || settings.failure_limit <= self.failures
                    || self.ejected.is_some()
                {
                    self.eject(ejection(self.failures, settings), now);
                }
            }
        }
    }

    /// Counts a request that dragged. Its slowness is forgotten, since a probe decides when it is used again.
    fn on_drag(&mut self, settings: &DispatchSettings, now: Time) {
        self.drags += 1;
        if DRAG_LIMIT <= self.drags {
            self.avoided = Some(now.after(ejection(self.drags - DRAG_LIMIT + 1, settings)));
            self.slowness = 1.0;
        }
    }

    fn eject(&mut self, duration: Millis, now: Time) {
        self.ejected = Some(now.after(duration));
    }

    /// Applies the number of running and queued requests that it reported; those of this VM are not external load.
    pub(crate) fn on_load(&mut self, busy: Slots, settings: &DispatchSettings, now: Time) {
        let most = self.slots.0.max(1).saturating_mul(MAX_LOAD);
        let external = busy.0.min(most).saturating_sub(self.running.len() as u32);
        self.external.add(f64::from(external), settings, now);
    }
}
