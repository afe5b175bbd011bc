//! The table row of a backend server: what it said of itself, and what was seen of it.

use th_protocol::{BackendId, Millis, Slots, Time};

use super::{
    cold::ColdLimiter,
    record::{BackendRecord, Serving},
    settings::DispatchSettings,
    warm::WarmSet,
};

/// Weight of a new sample of failures and slowness, as a divisor.
const SMOOTHING: f64 = 8.0;
/// A backend server is never taken to be faster than this part of the usual time.
const MIN_SLOWNESS: f64 = 0.5;
/// Work of a backend server that has just started, as a multiple of the usual.
const COLD_SLOWNESS: f64 = 2.0;
/// Part of its expected time that a request is taken to need still, however long it has run.
const MIN_REMAINING: f64 = 0.1;
/// A request that takes this many times its expected time makes its backend server suspect.
const UNRESPONSIVE_FACTOR: f64 = 3.0;
/// Least weight of a report of load in the moving average.
const MIN_REPORT_WEIGHT: f64 = 0.25;
/// A slot that others hold with at most this likelihood counts as free.
const MAX_EXTERNAL_OCCUPANCY: f64 = 0.5;

/// A slot that is held at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub backend: BackendId,
    /// Its number among the attempts of this VM.
    pub number: u64,
    /// When it was sent.
    pub sent: Time,
    /// Whether the server was taken to have the object warm.
    pub warm: bool,
    /// How long it is expected to take.
    pub expected: Millis,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Answered,
    /// A whole answer that tells of a failure of the server.
    Failed,
    /// The server said that it did not run the request.
    Shed,
    /// Another server has the address.
    Moved,
    /// No connection, so nothing was sent.
    Unreachable,
    /// The connection broke, or the answer made no sense.
    Broken,
    /// No answer in time.
    Silent,
    /// The caller left.
    Abandoned,
}

/// When a slot is to be had at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SlotEstimate {
    /// Expected milliseconds until then; zero where one is surely free.
    pub(crate) wait: f64,
    /// Whether a request may be sent now.
    pub(crate) free: bool,
}

/// The load that others put on a backend server, which it reports with its answers: a moving average, as single reports
/// are old when the next request is placed.
#[derive(Debug, Clone, Copy, Default)]
struct ExternalLoad {
    mean: f64,
    updated: Time,
}

impl ExternalLoad {
    fn expected(&self, settings: &DispatchSettings, now: Time) -> f64 {
        let age = now.since(self.updated).0 as f64;
        self.mean * (-age / settings.load_decay.0 as f64).exp()
    }

    fn add(&mut self, sample: f64, settings: &DispatchSettings, now: Time) {
        let age = now.since(self.updated).0 as f64;
        let weight = 1.0 - (-age / settings.load_decay.0 as f64).exp();
        self.mean += (sample - self.mean) * weight.max(MIN_REPORT_WEIGHT);
        self.updated = now;
    }
}

/// A backend server.
#[derive(Debug)]
pub(crate) struct BackendRow {
    pub(crate) record: BackendRecord,
    /// Hash of the id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Attempts of this VM: number, time sent and expected time.
    pub(crate) running: Vec<(u64, Time, Millis)>,
    /// Load that others put on it.
    external: ExternalLoad,
    pub(crate) warm: WarmSet,
    pub(crate) cold_until: Time,
    pub(crate) cold_limiter: ColdLimiter,
    /// Answers of this start.
    answers: u64,
    failures: u32,
    ejected: Option<Time>,
    errors: f64,
    slowness: f64,
}

impl BackendRow {
    pub(crate) fn new(record: BackendRecord, now: Time) -> BackendRow {
        BackendRow {
            hash: crate::route::hash_name(record.id.as_str()),
            cold_until: now.after(record.cold),
            record,
            running: Vec::new(),
            external: ExternalLoad::default(),
            warm: WarmSet::default(),
            cold_limiter: ColdLimiter::default(),
            answers: 0,
            failures: 0,
            ejected: None,
            errors: 0.0,
            slowness: 1.0,
        }
    }

    /// Takes a newer record over; a new start knows nothing of what was before.
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
        self.record.serving == Serving::Ready
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Requests that it runs or holds, as far as is known.
    pub(crate) fn load(&self, settings: &DispatchSettings, now: Time) -> f64 {
        self.running.len() as f64 + self.external.expected(settings, now)
    }

    /// How a slot comes free for a request that comes after `ahead` others of the usual work `usual`.
    pub(crate) fn estimate_slot(
        &self,
        ahead: u32,
        expected_work: f64,
        settings: &DispatchSettings,
        now: Time,
    ) -> SlotEstimate {
        let slots = f64::from(self.record.slots.0.max(1));
        let load = self.load(settings, now) + f64::from(ahead);
        let excess = load + 1.0 - slots;
        if excess <= 0.0 {
            return SlotEstimate { wait: 0.0, free: true };
        }
        let mut backlog = (load - self.running.len() as f64) * expected_work;
        for (_, sent, expected) in &self.running {
            let left = expected.0 as f64 - now.since(*sent).0 as f64;
            backlog += left.max(expected.0 as f64 * MIN_REMAINING);
        }
        let wait = backlog * excess / (load.max(1.0) * slots);
        // Others' load is a guess; with no request of its own there, this VM would never learn that it is over.
        let is_idle = self.running.is_empty() && ahead == 0;
        SlotEstimate { wait, free: excess <= MAX_EXTERNAL_OCCUPANCY || is_idle }
    }

    /// Whether it may be tried: not left out, or due for a trial by a single request.
    pub(crate) fn is_eligible(&self, now: Time) -> bool {
        match self.ejected {
            None => true,
            Some(until) => until <= now && self.running.is_empty(),
        }
    }

    /// Whether a request has been without an answer for far longer than expected.
    pub(crate) fn is_unresponsive(&self, now: Time) -> bool {
        let oldest = self.running.first();
        oldest.is_some_and(|(_, sent, expected)| {
            UNRESPONSIVE_FACTOR * expected.0 as f64 * self.slowness < now.since(*sent).0 as f64
        })
    }

    /// How many times the usual time a request takes here, failures included.
    pub(crate) fn slowdown(&self, now: Time) -> f64 {
        let startup = if self.is_cold(now) { COLD_SLOWNESS } else { 1.0 };
        self.slowness * startup / (1.0 - self.errors.min(0.9))
    }

    /// Whether a single request should find out how it does: it has not been tried since its start, or not since it
    /// was left out.
    pub(crate) fn needs_probe(&self, now: Time) -> bool {
        let is_untested = self.answers == 0 || self.ejected.is_some_and(|until| until <= now);
        is_untested && self.running.is_empty() && !self.is_cold(now)
    }

    pub(crate) fn start(&mut self, attempt: &Attempt) {
        self.running.push((attempt.number, attempt.sent, attempt.expected));
    }

    pub(crate) fn end(
        &mut self,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        settings: &DispatchSettings,
        now: Time,
    ) {
        let Some(index) = self.running.iter().position(|it| it.0 == attempt.number) else {
            return;
        };
        self.running.remove(index);
        let failure = match outcome {
            AttemptOutcome::Abandoned => return,
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
        }
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                self.failures = 0;
                self.ejected = None;
            }
            AttemptOutcome::Shed | AttemptOutcome::Abandoned => {}
            AttemptOutcome::Moved => self.eject(settings.eject_max, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => {
                self.failures += 1;
                let is_unreachable = outcome == AttemptOutcome::Unreachable;
                if is_unreachable || settings.eject_after <= self.failures || self.ejected.is_some()
                {
                    let doublings = self.failures.saturating_sub(1).min(8);
                    let duration = Millis(settings.eject_base.0 << doublings);
                    self.eject(duration.min(settings.eject_max), now);
                }
            }
        }
    }

    fn eject(&mut self, duration: Millis, now: Time) {
        self.ejected = Some(now.after(duration));
    }

    /// Takes in the requests that it reported to run or hold; those of this VM are not others' load.
    pub(crate) fn on_load(&mut self, busy: Slots, settings: &DispatchSettings, now: Time) {
        let external = busy.0.saturating_sub(self.running.len() as u32);
        self.external.add(f64::from(external), settings, now);
    }
}
