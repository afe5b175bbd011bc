//! What a backend server ran, written down by the server itself.

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
    /// The operation.
    pub operation: String,
    /// The server that ran it.
    pub server: String,
    /// When it began.
    pub began: Time,
    /// When it ended; `None` while it runs, or where it was cancelled.
    pub ended: Option<Time>,
}

#[derive(Debug, Default)]
struct Pages {
    runs: Vec<Run>,
    overruns: u64,
}

/// Runs of all servers that share the run log. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    pages: Arc<Mutex<Pages>>,
}

impl RunLog {
    fn lock(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().expect("no holder of this lock panics")
    }

    /// Writes down the begin of a run and gives its number.
    pub fn begin(&self, run: Run) -> usize {
        let mut pages = self.lock();
        pages.runs.push(run);
        pages.runs.len() - 1
    }

    /// Writes down the end of a run.
    pub fn end(&self, number: usize, at: Time) {
        self.lock().runs[number].ended = Some(at);
    }

    /// Writes down that a server was sent more than it has slots for.
    pub fn add_overrun(&self) {
        self.lock().overruns += 1;
    }

    /// How often a server was sent more than it has slots for.
    pub fn overruns(&self) -> u64 {
        self.lock().overruns
    }

    /// A copy of every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// How often each request was run.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in &self.lock().runs {
            *counts.entry(run.request.clone()).or_default() += 1;
        }
        counts
    }
}
