//! What callers were told, held against what the backend servers ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use th_protocol::{Millis, Reason, Time, Verdict};

use crate::RunLog;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// With the whole answer to it.
    Answered,
    /// With an answer to another request, or with one that is not whole.
    Wrong,
    /// With a notice of the system's own.
    Notice(Verdict, Reason),
    /// Its connection broke, or no answer came.
    NoAnswer,
}

/// One request, as its caller knows it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request's name, which is also its idempotency key.
    pub request: String,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
    /// How it ended.
    pub outcome: CallOutcome,
    /// When it was first sent.
    pub sent: Time,
    /// How long the caller waited.
    pub latency: Millis,
    /// The entry VMs that it was sent to, in order; all but the last broke the connection.
    pub entry_vms: Vec<SocketAddr>,
}

/// What all callers were told. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Records {
    inner: Arc<Mutex<Vec<Record>>>,
    lookups: Arc<Mutex<u64>>,
}

/// The comparison of what callers were told with what was run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Requests sent.
    pub requests: u64,
    /// Requests that got their whole answer.
    pub answered: u64,
    /// Requests whose callers were told that they ran, though they did not.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Answers to other requests, or not whole.
    pub wrong: u64,
    /// Requests whose callers were told "not run" or "refused", though they ran.
    pub false_not_run: u64,
    /// Requests that ended unknown to their callers.
    pub unknown: u64,
    /// Requests that were refused or not run.
    pub refused: u64,
    /// Requests whose connection broke at the end.
    pub broken: u64,
    /// Notices by reason code.
    pub reasons: BTreeMap<&'static str, u64>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Adds the end of a request.
    pub fn add(&self, record: Record) {
        self.lock().push(record);
    }

    /// Counts a look-up.
    pub fn add_lookup(&self) {
        *self.lookups.lock().expect("no holder of this lock panics") += 1;
    }

    /// Look-ups so far.
    pub fn lookups(&self) -> u64 {
        *self.lookups.lock().expect("no holder of this lock panics")
    }

    /// A copy of all records.
    pub fn all(&self) -> Vec<Record> {
        self.lock().clone()
    }

    /// Holds the records against the run log.
    pub fn audit(&self, run_log: &RunLog) -> Audit {
        let counts = run_log.counts();
        let mut audit = Audit::default();
        for record in self.lock().iter() {
            audit.add(record, &counts);
        }
        audit
    }

    /// The latency that a share of the answered requests stayed within.
    pub fn quantile(&self, share: f64) -> Millis {
        let mut waits = Vec::new();
        for record in self.lock().iter() {
            if record.outcome == CallOutcome::Answered {
                waits.push(record.latency);
            }
        }
        waits.sort();
        let index = (waits.len() as f64 * share) as usize;
        waits.get(index.min(waits.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

impl Audit {
    fn add(&mut self, record: &Record, counts: &BTreeMap<String, u32>) {
        let runs = counts.get(&record.request).copied().unwrap_or(0);
        self.requests += 1;
        if let CallOutcome::Notice(_, reason) = record.outcome {
            *self.reasons.entry(reason.code()).or_default() += 1;
        }
        if !record.idempotent && 1 < runs {
            self.doubled += 1;
        }
        match record.outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                self.lost += u64::from(runs == 0);
            }
            CallOutcome::Wrong => self.wrong += 1,
            CallOutcome::NoAnswer => self.broken += 1,
            CallOutcome::Notice(Verdict::Unknown, _) => self.unknown += 1,
            CallOutcome::Notice(Verdict::NotRun | Verdict::Refused, _) => {
                self.refused += 1;
                // An idempotent request that its caller sent twice may have run the first time.
                let whole = !record.idempotent || record.entry_vms.len() == 1;
                self.false_not_run += u64::from(whole && 0 < runs);
            }
        }
    }
}
