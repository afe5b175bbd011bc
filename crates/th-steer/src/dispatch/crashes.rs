//! Requests under which backend servers crash.
//!
//! Handles a request that ends each server that begins to run it, and that its caller sends again, at any VM. Servers
//! crash for reasons of their own too, and take other requests with them. So a crash is held against each request that
//! ran there, being served clears a request, and one is rejected only once several crashes are held against it.
//!
//! VMs tell each other of crashes through the store. Together they see those that each alone does not, and a VM that has
//! just started knows them too.

use std::collections::{BTreeMap, VecDeque};

use th_protocol::{BackendId, Millis, Time};

use super::{dispatcher::Dispatcher, fingerprint::Fingerprint, process::BackendProcess};

/// Number of crashes from which a request is rejected.
const CRASH_LIMIT: usize = 3;
/// Time for which a crash is held against a request that is not rejected; crashes in the store are kept as long.
pub const CRASH_MEMORY: Millis = Millis(120_000);
/// Time without an arrival after which a rejected request is forgotten.
const REJECTION_MEMORY: Millis = Millis(600_000);
/// Maximum number of requests that crashes are held against.
const MAX_SUSPECTS: usize = 4_096;
/// Number of first crashes that this VM reports in a window. Where many servers end at once, a request that ends servers
/// comes again and is reported then.
const MAX_REPORTS: usize = 8;
/// Length of that window.
const REPORT_WINDOW: Millis = Millis(10_000);

/// What other VMs need to know of a request and the crash of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashReport {
    /// The server crashed while it ran the request.
    Crashed(Fingerprint, BackendProcess),
    /// The request was served, so these crashes are no longer held against it.
    Served(Fingerprint, Vec<BackendProcess>),
}

/// A crash that is held against a request.
#[derive(Debug, Clone, Copy)]
struct Held {
    at: Time,
    /// Whether the other VMs are told.
    listed: bool,
}

#[derive(Debug)]
struct Suspect {
    crashes: BTreeMap<BackendProcess, Held>,
    /// Time of its last crash, or of its last arrival since it is rejected.
    seen: Time,
}

impl Suspect {
    fn is_rejected(&self) -> bool {
        CRASH_LIMIT <= self.crashes.len()
    }

    /// Marks the crashes that the other VMs do not know, and returns them.
    fn list(&mut self, request: Fingerprint) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (server, held) in &mut self.crashes {
            if !std::mem::replace(&mut held.listed, true) {
                reports.push(CrashReport::Crashed(request, server.clone()));
            }
        }
        reports
    }
}

/// Requests that crashes are held against.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When this VM reported first crashes of requests.
    reported: VecDeque<Time>,
}

impl CrashTable {
    fn hold(&mut self, request: Fingerprint, server: BackendProcess, listed: bool, now: Time) {
        if !self.suspects.contains_key(&request) && MAX_SUSPECTS <= self.suspects.len() {
            let oldest = self.suspects.iter().min_by_key(|(_, it)| (it.is_rejected(), it.seen));
            if let Some(oldest) = oldest.map(|(it, _)| *it) {
                self.suspects.remove(&oldest);
            }
        }
        let suspect = self.suspects.entry(request);
        let suspect = suspect.or_insert_with(|| Suspect { crashes: BTreeMap::new(), seen: now });
        suspect.seen = now;
        let held = suspect.crashes.entry(server).or_insert(Held { at: now, listed });
        held.listed |= listed;
    }

    /// Takes one report of a first crash from the limit.
    fn take_report(&mut self, now: Time) -> bool {
        while self.reported.front().is_some_and(|it| it.after(REPORT_WINDOW) <= now) {
            self.reported.pop_front();
        }
        if MAX_REPORTS <= self.reported.len() {
            return false;
        }
        self.reported.push_back(now);
        true
    }

    pub(crate) fn tick(&mut self, now: Time) {
        for suspect in self.suspects.values_mut() {
            if !suspect.is_rejected() {
                suspect.crashes.retain(|_, it| now < it.at.after(CRASH_MEMORY));
            }
        }
        self.suspects
            .retain(|_, it| !it.crashes.is_empty() && now < it.seen.after(REJECTION_MEMORY));
    }
}

impl Dispatcher {
    /// Holds the crash of a backend server against a request of this VM that it ran. Returns whether it was a crash: a server
    /// that leaves is expected to end.
    pub fn on_crash(&mut self, request: Fingerprint, backend: &BackendId, now: Time) -> bool {
        let row = self.backends.id(backend).and_then(|it| self.backends.get(it));
        let Some(row) = row.filter(|it| it.accepts_work()) else {
            return false;
        };
        let server = BackendProcess { backend: backend.clone(), started: row.record.started };
        self.crashes.hold(request, server, false, now);
        true
    }

    /// Returns what to tell other VMs of the crashes that are held against a request. The only crash of one counts against
    /// the limit on reports.
    pub fn report_crashes(&mut self, request: Fingerprint, now: Time) -> Vec<CrashReport> {
        let Some(suspect) = self.crashes.suspects.get(&request) else {
            return Vec::new();
        };
        let is_known = suspect.crashes.values().all(|it| it.listed);
        let is_only = suspect.crashes.len() == 1;
        if is_known || (is_only && !self.crashes.take_report(now)) {
            return Vec::new();
        }
        self.crashes.suspects.get_mut(&request).map_or_else(Vec::new, |it| it.list(request))
    }

    /// Holds a crash against a request that another VM reported.
    pub fn on_crash_listed(&mut self, request: Fingerprint, server: BackendProcess, now: Time) {
        self.crashes.hold(request, server, true, now);
    }

    /// Applies that a crash is no longer in the store. A request that is rejected stays so: what was lost there does not
    /// make it harmless.
    pub fn on_crash_unlisted(&mut self, request: Fingerprint, server: &BackendProcess) {
        let Some(suspect) = self.crashes.suspects.get_mut(&request) else {
            return;
        };
        if !suspect.is_rejected() {
            suspect.crashes.remove(server);
        } else if let Some(held) = suspect.crashes.get_mut(server) {
            held.listed = false;
        }
    }

    /// Clears a request that was served. Returns what to tell other VMs.
    pub fn on_served(&mut self, request: Fingerprint) -> Option<CrashReport> {
        if self.crashes.suspects.get(&request)?.is_rejected() {
            return None;
        }
        let suspect = self.crashes.suspects.remove(&request)?;
        let listed = suspect.crashes.into_iter().filter(|(_, it)| it.listed);
        let listed: Vec<BackendProcess> = listed.map(|(server, _)| server).collect();
        (!listed.is_empty()).then_some(CrashReport::Served(request, listed))
    }

    /// Whether a request that arrived is rejected because servers crash under it. Also returns what to tell other VMs, if
    /// the store has lost it.
    pub fn check_crashes(&mut self, request: Fingerprint, now: Time) -> (bool, Vec<CrashReport>) {
        match self.crashes.suspects.get_mut(&request) {
            Some(suspect) if suspect.is_rejected() => {
                suspect.seen = now;
                (true, suspect.list(request))
            }
            _ => (false, Vec::new()),
        }
    }

    /// Whether a request is rejected because servers crash under it.
    pub fn is_crashing(&self, request: Fingerprint) -> bool {
        self.crashes.suspects.get(&request).is_some_and(Suspect::is_rejected)
    }

    /// Number of crashes that are held against a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.crashes.suspects.get(&request).map_or(0, |it| it.crashes.len())
    }

    /// Number of requests that are rejected because servers crash under them.
    pub fn rejected_requests(&self) -> usize {
        self.crashes.suspects.values().filter(|it| it.is_rejected()).count()
    }

    /// Time after which a rejected request may be tried again.
    pub fn crash_retry(&self) -> Millis {
        REJECTION_MEMORY
    }
}
