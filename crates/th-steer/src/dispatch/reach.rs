//! Whether this VM still reaches backend servers, and to which entry VM it passes requests on while it does not.
//!
//! Handles a VM that is cut off from all servers while its callers and the other VMs still reach it. Its own failures
//! only raise the suspicion, since servers fail too; connections opened to several servers decide. Requests go to the
//! nearest VMs in turn: they use the same servers, and those of one data centre may be cut off together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use th_protocol::{BackendId, Millis, Time, VmId};

use super::{backend::AttemptOutcome, dispatcher::Dispatcher, job::Job, record::EntryRecord};

/// Time without an answer from any server before links are checked; more than the usual time between two answers.
const SILENCE: Millis = Millis(300);
/// Servers that fail or keep a request far too long before links are checked, so that one broken server is no reason.
const MIN_SUSPECTS: usize = 2;
/// Servers that are checked together.
const MAX_CHECKED: usize = 3;
/// Time from a check that reached a server to the next one.
const CHECK_PAUSE: Millis = Millis(1_000);
/// Time for which a VM that could not take a request is not asked again.
const DECLINE_PAUSE: Millis = Millis(1_000);

/// Signs of servers, and VMs that take no requests of this one.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// Time of the last sign of any server.
    heard: Time,
    /// Time of the last check of links.
    checked: Time,
    /// Servers that have failed since the last sign of any server.
    failed: BTreeSet<BackendId>,
    isolated: bool,
    /// Whether another VM has passed a request on to this one, which may not know any.
    asked: bool,
    /// Number of checks, so that each takes other servers.
    checks: usize,
    /// Until when VMs are not asked.
    declined: BTreeMap<VmId, Time>,
    /// Number of requests passed on, so that VMs take turns.
    forwards: usize,
}

impl Dispatcher {
    /// Counts the end of an attempt as a sign of the servers, or as a failure of one.
    pub(crate) fn on_sign(&mut self, backend: &BackendId, outcome: AttemptOutcome, now: Time) {
        match outcome {
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::Paused
            | AttemptOutcome::Moved => self.on_reached(now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => {
                self.reach.failed.insert(backend.clone());
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Overtaken => {}
        }
    }

    fn on_reached(&mut self, now: Time) {
        self.reach.heard = now;
        self.reach.failed.clear();
        if !std::mem::take(&mut self.reach.isolated) {
            return;
        }
        // What failed meanwhile says nothing about the servers.
        for row in self.backends.iter_mut() {
            row.forget_failures();
        }
    }

    /// Whether this VM reaches no backend server, so that it takes no requests of other VMs.
    pub fn is_cut_off(&self) -> bool {
        self.reach.isolated
    }

    /// Whether this VM reaches no backend server, and other VMs may take its requests.
    pub fn is_isolated(&self) -> bool {
        self.reach.isolated && self.other_vms().next().is_some()
    }

    /// Records that another VM passed a request on to this one.
    pub fn on_passed_on(&mut self) {
        self.reach.asked = true;
    }

    /// The other entry VMs that requests can be passed on to.
    fn other_vms(&self) -> impl Iterator<Item = (&EntryRecord, SocketAddr)> {
        let others = self.entries.values().filter(|it| it.vm != self.vm);
        others.filter_map(|it| Some((it, it.peers?)))
    }

    /// The servers to open connections to, to find out whether this VM is cut off from them; none while there is no
    /// reason, or no other VM that requests are passed on to or by.
    pub fn links_to_check(&mut self, now: Time) -> Vec<(BackendId, SocketAddr)> {
        let is_due = self.reach.isolated || self.is_suspicious(now);
        let is_alone = !self.reach.asked && self.other_vms().next().is_none();
        if !is_due || is_alone {
            return Vec::new();
        }
        self.reach.checked = now;
        self.reach.checks += 1;
        let rows: Vec<_> = self.backends.iter().filter(|it| it.accepts_work()).collect();
        let stride = rows.len().div_ceil(MAX_CHECKED).max(1);
        let mut picks = Vec::new();
        for start in (0..rows.len()).step_by(stride) {
            let record = &rows[(start + self.reach.checks) % rows.len()].record;
            picks.push((record.id.clone(), record.address));
        }
        picks
    }

    fn is_suspicious(&self, now: Time) -> bool {
        let Reach { heard, checked, failed, .. } = &self.reach;
        if now.since(*heard) < SILENCE || now.since(*checked) < CHECK_PAUSE {
            return false;
        }
        let overdue = self.backends.iter().filter(|it| it.is_overdue(now));
        let overdue = overdue.filter(|it| !failed.contains(&it.record.id)).count();
        MIN_SUSPECTS <= failed.len() + overdue
    }

    /// Applies the result of a check: whether any of the servers was reached.
    pub fn on_links_checked(&mut self, reached: bool, now: Time) {
        if reached {
            self.on_reached(now);
        } else {
            self.reach.isolated = true;
        }
    }

    /// The entry VM to pass a request on to, except those that it was passed to before.
    pub fn forward_target(
        &mut self,
        job: &Job,
        tried: &[VmId],
        now: Time,
    ) -> Option<(VmId, SocketAddr)> {
        self.reach.declined.retain(|_, until| now < *until);
        let region = self.region_of(&self.zone);
        let mut nearest = (usize::MAX, Vec::new());
        for (entry, address) in self.other_vms() {
            let own = self.region_of(&entry.zone);
            let is_asked = tried.contains(&entry.vm) || self.reach.declined.contains_key(&entry.vm);
            if !job.allows(own) || is_asked {
                continue;
            }
            let distance = usize::from(entry.zone != self.zone) + usize::from(own != region);
            if distance < nearest.0 {
                nearest = (distance, Vec::new());
            }
            if distance == nearest.0 {
                nearest.1.push((entry.vm.clone(), address));
            }
        }
        self.reach.forwards += 1;
        let count = nearest.1.len().max(1);
        nearest.1.into_iter().nth(self.reach.forwards % count)
    }

    /// Leaves a VM alone for a while that could not take a request.
    pub fn on_forward_declined(&mut self, vm: &VmId, now: Time) {
        self.reach.declined.insert(vm.clone(), now.after(DECLINE_PAUSE));
    }
}
