//! The runs of requests, recorded by the backend servers themselves.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use th_protocol::Time;

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The name that the caller gave the request.
    pub request: String,
    /// The operation that was called.
    pub operation: String,
    /// The server that ran it.
    pub server: String,
    /// When it began.
    pub began: Time,
    /// When it ended, or `None` if it still runs or was cancelled.
    pub ended: Option<Time>,
}

#[derive(Debug, Default)]
struct LogState {
    runs: Vec<Run>,
    overruns: u64,
}

/// A log of the runs at all servers that share it. Clones share its records.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    state: Arc<Mutex<LogState>>,
}

impl RunLog {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Records the start of a run and returns its number.
    pub fn begin(&self, run: Run) -> usize {
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&self, number: usize, at: Time) {
        self.lock().runs[number].ended = Some(at);
    }

    /// Counts a request that a server received while all its slots were busy.
    pub fn add_overrun(&self) {
        self.lock().overruns += 1;
    }

    /// Returns the number of requests that servers received while all their slots were busy.
    pub fn overruns(&self) -> u64 {
        self.lock().overruns
    }

    /// Returns a copy of all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns how often each request was run, by its name.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in &self.lock().runs {
            *counts.entry(run.request.clone()).or_default() += 1;
        }
        counts
    }
}
