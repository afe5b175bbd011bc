//! Outcomes of requests as callers saw them, and their comparison with what the backend servers ran.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use th_protocol::{Millis, Reason, Time, Verdict};

use crate::RunLog;

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete answer to the request arrived.
    Answered,
    /// An answer to another request arrived, or an incomplete one.
    Wrong,
    /// A notice from an entry VM arrived instead of an answer.
    Notice(Verdict, Reason),
    /// The look-up failed, the connection broke, or no answer arrived in time.
    NoAnswer,
}

/// One request, as recorded by its caller.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request's name, which is also its idempotency key.
    pub request: String,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
    /// Its outcome.
    pub outcome: CallOutcome,
    /// When it was first sent.
    pub sent: Time,
    /// How long the caller waited for the outcome.
    pub latency: Millis,
    /// The entry VMs that it was sent to, in order. A caller sends it to the next one if the previous one gave no
    /// response; callers of a scenario also send it again after a notice that permits it.
    pub entry_vms: Vec<SocketAddr>,
}

/// The records of all callers. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Records {
    inner: Arc<Mutex<Vec<Record>>>,
    lookups: Arc<Mutex<u64>>,
}

/// The comparison of the callers' records with the servers' run log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Requests sent.
    pub requests: u64,
    /// Requests that got their complete answer.
    pub answered: u64,
    /// Requests that were answered although no server ran them.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests that got an answer to another request, or an incomplete one.
    pub wrong: u64,
    /// Requests whose callers got the verdict "not run" or "refused" although a server ran them.
    pub false_not_run: u64,
    /// Requests whose callers got the verdict "unknown".
    pub unknown: u64,
    /// Requests whose callers got the verdict "not run" or "refused".
    pub refused: u64,
    /// Requests that got no answer: the look-up failed, or the connection to the last entry VM broke or timed out.
    pub broken: u64,
    /// Notices by reason code.
    pub reasons: BTreeMap<&'static str, u64>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Adds the record of a request.
    pub fn add(&self, record: Record) {
        self.lock().push(record);
    }

    /// Counts a look-up.
    pub fn add_lookup(&self) {
        *self.lookups.lock().expect("no holder of this lock panics") += 1;
    }

    /// Returns the number of look-ups so far.
    pub fn lookups(&self) -> u64 {
        *self.lookups.lock().expect("no holder of this lock panics")
    }

    /// Returns a copy of all records.
    pub fn all(&self) -> Vec<Record> {
        self.lock().clone()
    }

    /// Compares the records with the run log.
    pub fn audit(&self, run_log: &RunLog) -> Audit {
        let counts = run_log.counts();
        let mut audit = Audit::default();
        for record in self.lock().iter() {
            audit.add(record, &counts);
        }
        audit
    }

    /// Returns the latency within which `share` of the answered requests stayed.
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
                // An idempotent request that its caller sent more than once may have run before the last time.
                let sent_once = !record.idempotent || record.entry_vms.len() == 1;
                self.false_not_run += u64::from(sent_once && 0 < runs);
            }
        }
    }
}
