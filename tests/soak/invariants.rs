//! Invariants on what callers and backend servers observe, whatever the faults.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use crate::{
    callers::{CallOutcome, SentRequest},
    fleet::{Fleet, RUN_TIME, UPLOAD_LIMIT},
    stand_in::{Run, answer_text, stated_work},
    uploads::Upload,
};

/// Time without disturbance after which the time limits hold for a VM (the settle window of the platform's pages).
const SETTLE: Duration = Duration::from_secs(4);
/// Time limit for applying drains and configurations, from the store's acknowledgement (the limit that the platform's
/// pages set for the grown sites).
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time limit of an answer: the route's time-out plus 0.5 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2_000);
/// Share of requests, in ‰, that may take longer on a busy machine.
const MAX_SLOW_PERMILLE: usize = 5;

/// Time from SIGTERM for which an upload that ends without an answer counts as lost by the stop.
const STOP_WINDOW: Duration = Duration::from_secs(7);
/// Time from SIGTERM to the last sixth of the grace period.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// Time from SIGTERM within which an upload is written that may be cut in the last sixth.
const LATEST_WRITE: Duration = Duration::from_secs(3);

/// The invariants of a run and their violations.
pub(crate) struct Invariants<'a> {
    fleet: &'a Fleet,
    sent: &'a [SentRequest],
    uploads: &'a [Upload],
    runs: BTreeMap<String, Vec<(String, Run)>>,
    pub(crate) violations: Vec<String>,
}

impl<'a> Invariants<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        sent: &'a [SentRequest],
        uploads: &'a [Upload],
    ) -> Invariants<'a> {
        let mut runs: BTreeMap<String, Vec<(String, Run)>> = BTreeMap::new();
        for server in fleet.all_servers() {
            for (request, list) in server.server.all_runs() {
                let id = &server.server.id;
                runs.entry(request)
                    .or_default()
                    .extend(list.into_iter().map(|it| (id.clone(), it)));
            }
        }
        Invariants { fleet, sent, uploads, runs, violations: Vec::new() }
    }

    fn fail(&mut self, rule: &str, sent: &SentRequest, why: &str) {
        let runs = self.runs.get(&sent.id);
        self.violations.push(format!("{rule}: {why}: {sent:?}, runs {runs:?}"));
    }

    fn count(&self, sent: &SentRequest) -> usize {
        self.runs.get(&sent.id).map_or(0, Vec::len)
    }

    /// Whether the VM of a request was undisturbed from the settle time before the request until its end.
    fn is_undisturbed(&self, sent: &SentRequest) -> bool {
        !self.fleet.disturbed.overlap(Some(sent.vm), sent.at - SETTLE, sent.end)
    }

    /// Checks the invariants that hold at any time, however slow the machine is.
    pub(crate) fn check_always(&mut self) {
        let uploads = self.uploads.iter().map(|it| &it.sent);
        let all: Vec<&SentRequest> = self.sent.iter().chain(uploads).collect();
        let known: BTreeMap<&str, &SentRequest> =
            all.iter().map(|it| (it.id.as_str(), *it)).collect();
        for (id, runs) in &self.runs {
            for (server, run) in runs {
                let good = known.get(id.as_str());
                if !good.is_some_and(|it| it.path == run.path && it.length == run.length) {
                    self.violations.push(format!("unasked: {server} ran {id}: {run:?}"));
                }
            }
        }
        for sent in all {
            let count = self.count(sent);
            if !sent.safe && 1 < count {
                self.fail("twice", sent, "an unsafe request ran more than once");
            }
            let CallOutcome::Answer(status, echoed, body) = &sent.outcome else {
                continue;
            };
            match status {
                200 => {
                    let runs = self.runs.get(&sent.id);
                    let is_complete = |id: &String| {
                        *body
                            == answer_text(
                                &format!("{id} {} {}", sent.path, sent.length),
                                &sent.path,
                            )
                    };
                    let own = runs.is_some_and(|it| it.iter().any(|(id, _)| is_complete(id)));
                    if *echoed != sent.id || !own {
                        self.fail("mixed", sent, "not the complete answer to this request");
                    }
                }
                408 | 421 | 429 | 503 if 0 < count && !sent.safe => {
                    self.fail("refused", sent, "reported as not run, although it ran");
                }
                400 | 401 | 403 | 413 => self.fail("denied", sent, "a valid request was rejected"),
                404 if sent.version.is_none() => {
                    self.fail("denied", sent, "the route is in every configuration")
                }
                _ => {}
            }
        }
        if 0 < self.fleet.exits.load(std::sync::atomic::Ordering::Relaxed) {
            self.violations.push("exit: a process exited unexpectedly".to_owned());
        }
        self.check_uploads();
    }

    /// Checks that planned stops lose no uploads that were written whole.
    fn check_uploads(&mut self) {
        for upload in self.uploads {
            let sent = &upload.sent;
            if !matches!(sent.outcome, CallOutcome::Cut(_)) || upload.written.is_none() {
                continue;
            }
            let Some(stop) = self.stop_around(sent) else { continue };
            let is_late = UPLOAD_LIMIT <= sent.end - sent.at;
            if is_late || self.may_be_cut(upload, stop) || !self.is_undisturbed(sent) {
                continue;
            }
            let why = format!("lost around a stop, {}", self.describe(upload));
            self.fail("uploads", sent, &why);
        }
    }

    /// Returns the last SIGTERM of the VM after which the request ended, if it ended soon after.
    fn stop_around(&self, sent: &SentRequest) -> Option<Instant> {
        let stops = self.fleet.stops.lock().unwrap();
        let near = |at: Instant| at <= sent.end && sent.end <= at + STOP_WINDOW;
        stops.iter().rev().find(|(vm, at)| *vm == sent.vm && near(*at)).map(|it| it.1)
    }

    /// Describes an upload in times from the stop around it, or from its own start.
    fn describe(&self, upload: &Upload) -> String {
        let sent = &upload.sent;
        let stop = self.stop_around(sent);
        let zero = stop.unwrap_or(sent.at);
        let since = |it: Instant| match it.checked_duration_since(zero) {
            Some(span) => format!("{:.3}", span.as_secs_f64()),
            None => format!("-{:.3}", (zero - it).as_secs_f64()),
        };
        let runs = self.runs.get(&sent.id).into_iter().flatten();
        let runs: Vec<String> = runs.map(|it| since(it.1.at)).collect();
        format!(
            "connected {}, begun {}, written {}, ended {} s after {}, runs {runs:?}",
            upload.connected.map_or("never".to_owned(), since),
            since(sent.at),
            upload.written.map_or("never".to_owned(), since),
            since(sent.end),
            if stop.is_some() { "SIGTERM" } else { "its start" },
        )
    }

    /// Lists the uploads without an answer, whether they are violations or not.
    pub(crate) fn unanswered(&self) -> Vec<String> {
        let mut list = Vec::new();
        for upload in self.uploads {
            let CallOutcome::Cut(why) = &upload.sent.outcome else { continue };
            let disturbed = if self.is_undisturbed(&upload.sent) { "" } else { ", disturbed" };
            let (id, vm, path) = (&upload.sent.id, upload.sent.vm, &upload.sent.path);
            let (end, times) = (upload.end(), self.describe(upload));
            list.push(format!("{id} to vm-{vm}, {path}, {end} ({why}){disturbed}: {times}"));
        }
        list
    }

    /// Whether a server was still at work on an upload in the last sixth of the grace period, and the upload was written early.
    fn may_be_cut(&self, upload: &Upload, stop: Instant) -> bool {
        let last = stop + LAST_SIXTH;
        let is_early = upload.written.is_some_and(|it| it <= stop + LATEST_WRITE);
        let mut runs = self.runs.get(&upload.sent.id).into_iter().flatten();
        let works = |run: &Run| {
            let end = run.at + stated_work(&run.path).unwrap_or(RUN_TIME);
            run.at <= upload.sent.end && last <= end
        };
        is_early && last <= upload.sent.end && runs.any(|(_, run)| works(run))
    }

    /// Checks the invariants with time limits, for undisturbed VMs. Not meant for a machine that is busy with other
    /// work.
    pub(crate) fn check_timed(&mut self) {
        self.check_drains();
        let configs = self.fleet.configs.lock().unwrap().clone();
        let mut slow = 0;
        for sent in self.sent {
            if !self.is_undisturbed(sent) {
                continue;
            }
            match &sent.outcome {
                CallOutcome::Answer(404, ..) => {
                    let version = sent.version.unwrap_or_default();
                    let newer = configs.range(version + 1..).next().map(|it| *it.1);
                    let due = configs.get(&version).is_some_and(|it| *it + APPLY_LIMIT < sent.at);
                    if due && newer.is_none_or(|it| sent.end < it) {
                        self.fail("config", sent, "the route should have been in force by then");
                    }
                }
                // A request that was sent while the connection was being closed, and was not forwarded, does not count.
                CallOutcome::Cut(_) if 0 < self.count(sent) => {
                    self.fail("lost", sent, "cut by planned work");
                }
                _ => {}
            }
            slow += usize::from(MAX_ANSWER_TIME < sent.end - sent.at);
        }
        if self.sent.len() * MAX_SLOW_PERMILLE < slow * 1_000 {
            self.violations
                .push(format!("held: {slow} of {} for over {MAX_ANSWER_TIME:?}", self.sent.len()));
        }
    }

    fn check_drains(&mut self) {
        for server in self.fleet.all_servers() {
            let Some(drained) = server.drained else {
                continue;
            };
            let mut late: Vec<(String, Run)> = Vec::new();
            for (request, runs) in server.server.all_runs() {
                late.extend(runs.into_iter().map(|it| (request.clone(), it)));
            }
            late.retain(|(_, run)| {
                drained + APPLY_LIMIT < run.at && !self.disturbed_before(drained, run.at)
            });
            if let Some((request, run)) = late.first() {
                let text = format!(
                    "drain: {} ran {request} {:?} after it began to drain: {run:?}",
                    server.server.id,
                    run.at - drained,
                );
                self.violations.push(text);
            }
        }
    }

    fn disturbed_before(&self, from: Instant, to: Instant) -> bool {
        self.fleet.disturbed.overlap(None, from - SETTLE, to)
    }
}
