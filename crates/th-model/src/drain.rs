//! Models a leaving backend server and two entry VMs that receive updates about it in any order.
//!
//! The server is leaving from the start. Each entry VM runs the production `Drain`. One tick is the
//! time limit after which no entry VM that the evidence can reach may send new work to the server.

use th_protocol::{Millis, Time, Version};
use th_steer::backend::Drain;

use crate::Model;

/// Length of a tick: the time limit for new work after the first evidence.
const TICK: Millis = Millis(5_000);
/// The time of tick 0.
const START: Time = Time(100_000);
/// Ticks during which a delayed load report may still say that the server is not leaving.
const REPORT_LAG: u8 = 5;
const ENTRIES: usize = 2;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainFault {
    /// No fault.
    None,
    /// A VM list that shows the server as live marks it as live again.
    ListRevives,
    /// Evidence is not sent to the other entry VM.
    NoGossip,
    /// Any load report that does not say `leaving` marks the server as live again, however
    /// early it was requested.
    ReportRevives,
}

/// The model and its limits.
#[derive(Debug, Clone, Copy)]
pub struct DrainModel {
    /// The fault in the model.
    pub fault: DrainFault,
    /// Number of ticks to explore.
    pub ticks: u8,
    /// Maximum number of updates in a run.
    pub updates: u8,
}

impl Default for DrainModel {
    fn default() -> DrainModel {
        DrainModel { fault: DrainFault::None, ticks: 8, updates: 4 }
    }
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DrainState {
    tick: u8,
    updates: u8,
    cut: bool,
    drains: [Drain; ENTRIES],
    /// The tick in which each entry VM first had evidence, or could have received it.
    first_evidence: [Option<u8>; ENTRIES],
}

/// An action; each number is the index of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainAction {
    /// Five seconds pass; entry VMs that are not cut off exchange their evidence.
    Tick,
    /// The link between the entry VMs is cut, or heals.
    Link,
    /// Bundle 2 arrives, in which the server is marked as leaving.
    Bundle(usize),
    /// Bundle 1 arrives again, in which the server is not marked.
    StaleBundle(usize),
    /// The platform's VM list shows the server as leaving, or no longer has it.
    ListRemoved(usize),
    /// A stale VM list shows the server as live.
    ListLive(usize),
    /// The server's load report says that it is leaving.
    ServerReport(usize),
    /// A delayed load report says that the server is not leaving.
    StaleReport(usize),
}

fn time_of(tick: u8) -> Time {
    START.after(Millis(TICK.0 * u64::from(tick)))
}

impl DrainModel {
    fn updates_for(&self, i: usize, state: &DrainState) -> Vec<DrainAction> {
        let mut actions = vec![
            DrainAction::Bundle(i),
            DrainAction::StaleBundle(i),
            DrainAction::ListRemoved(i),
            DrainAction::ListLive(i),
            DrainAction::ServerReport(i),
        ];
        if state.tick < REPORT_LAG {
            actions.push(DrainAction::StaleReport(i));
        }
        actions
    }

    fn apply(&self, state: &DrainState, action: DrainAction) -> DrainState {
        let mut next = state.clone();
        let now = time_of(state.tick);
        match action {
            DrainAction::Tick => {
                if !next.cut {
                    self.exchange(&mut next);
                }
                next.tick += 1;
                return next;
            }
            DrainAction::Link => next.cut = !next.cut,
            DrainAction::Bundle(i) => next.drains[i].on_bundle(Version(2), true, now),
            DrainAction::StaleBundle(i) => next.drains[i].on_bundle(Version(1), false, now),
            DrainAction::ListRemoved(i) => next.drains[i].on_vm_list(false, now),
            DrainAction::ListLive(i) => {
                next.drains[i].on_vm_list(true, now);
                if self.fault == DrainFault::ListRevives {
                    next.drains[i] = Drain::default();
                }
            }
            DrainAction::ServerReport(i) => next.drains[i].on_server_report(true, now, now),
            DrainAction::StaleReport(i) => {
                let ignores_age = self.fault == DrainFault::ReportRevives;
                let requested = if ignores_age { now.after(Millis(3_600_000)) } else { now };
                next.drains[i].on_server_report(false, requested, now);
            }
        }
        next.updates += 1;
        for i in 0..ENTRIES {
            if next.drains[i].leaving() && next.first_evidence[i].is_none() {
                next.first_evidence[i] = Some(next.tick);
            }
        }
        next
    }

    /// Exchanges evidence and the bundle between the two entry VMs, as happens within a tick.
    fn exchange(&self, state: &mut DrainState) {
        let now = time_of(state.tick);
        let before = state.drains.clone();
        for (i, drain) in state.drains.iter_mut().enumerate() {
            let other = &before[1 - i];
            let notices = other.notices(now);
            if !notices.is_empty() || other.marked_by_bundle() {
                state.first_evidence[i].get_or_insert(state.tick);
            }
            if self.fault == DrainFault::NoGossip {
                continue;
            }
            for (source, seen) in notices {
                drain.on_notice(source, now.since(seen), now);
            }
            if other.marked_by_bundle() {
                drain.on_bundle(Version(2), true, now);
            }
        }
    }
}

impl Model for DrainModel {
    type State = DrainState;
    type Action = DrainAction;

    fn start(&self) -> DrainState {
        let mut drain = Drain::default();
        drain.on_bundle(Version(1), false, START);
        drain.on_vm_list(true, START);
        DrainState {
            tick: 0,
            updates: 0,
            cut: false,
            drains: [drain.clone(), drain],
            first_evidence: [None; ENTRIES],
        }
    }

    fn steps(&self, state: &DrainState) -> Vec<(DrainAction, DrainState)> {
        let mut actions = Vec::new();
        if state.tick < self.ticks {
            actions.push(DrainAction::Tick);
        }
        if state.updates < self.updates {
            actions.push(DrainAction::Link);
            for i in 0..ENTRIES {
                actions.extend(self.updates_for(i, state));
            }
        }
        let mut steps = Vec::new();
        for action in actions {
            let next = self.apply(state, action);
            if next != *state {
                steps.push((action, next));
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &DrainState) -> Option<&'static str> {
        for (drain, first_evidence) in state.drains.iter().zip(state.first_evidence) {
            let Some(first_evidence) = first_evidence else { continue };
            if first_evidence < state.tick && !drain.leaving() {
                return Some("a leaving server gets no new work after the time limit");
            }
            if first_evidence == state.tick && !drain.leaving() {
                return Some("a stale update does not mark a leaving server as live");
            }
        }
        None
    }
}
