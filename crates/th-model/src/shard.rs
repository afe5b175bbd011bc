//! Models the ownership of one shard: an owner that may be paused, stopped or restarted, and its
//! replacement. Both run the production [`ShardSlot`].

use std::collections::BTreeSet;

use th_protocol::{Incarnation, Millis, Revision, Time, VmId};
use th_steer::limit::{Answer, ShardClaim, ShardSlot};

use crate::Model;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ShardFault {
    /// No fault.
    #[default]
    None,
    /// A shard is taken over without checking the VM list.
    IgnoreVmList,
    /// A shard is used at once after a takeover.
    NoQuarantine,
    /// A shard is claimed by a VM that is not on the VM list yet.
    ClaimBeforeListed,
    /// A claim with an unknown outcome is treated as applied.
    UnknownIsApplied,
}

/// Slots of the shard.
const SLOTS: usize = 1;

/// The model and its limits.
#[derive(Debug, Clone)]
pub struct ShardModel {
    /// The last tick to explore.
    pub last_tick: u64,
    /// Maximum number of requests and answers that are lost.
    pub losses: u8,
    /// Maximum time that a request runs.
    pub deadline: Millis,
    /// The fault in the model.
    pub fault: ShardFault,
}

impl Default for ShardModel {
    fn default() -> ShardModel {
        ShardModel { last_tick: 6, losses: 1, deadline: Millis(2), fault: ShardFault::None }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    claim: ShardClaim,
    alive: bool,
    slot: ShardSlot,
    /// The write in progress, if any, with the revision that it expects.
    write: Option<Option<Revision>>,
    running: usize,
}

/// A state of the model: the claim in the store, the platform's VM list, and the VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardState {
    now: u64,
    losses_left: u8,
    value: Option<(ShardClaim, Revision)>,
    listed: BTreeSet<VmId>,
    vms: Vec<Process>,
    /// Sender and latest end of each request that runs at the backend server.
    requests: Vec<(usize, u64)>,
}

/// An action; each number is the index of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// A tick passes.
    Tick,
    /// A VM reads the claim and the VM list.
    Read(usize),
    /// The store executes a VM's write.
    Write(usize),
    /// The store executes a VM's write, and the answer is lost.
    LoseAnswer(usize),
    /// A VM's write is lost before it reaches the store.
    LoseRequest(usize),
    /// A VM sends a request to the backend server.
    Send(usize),
    /// The backend server answers a request.
    End(usize),
    /// A VM's process crashes.
    Crash(usize),
    /// A VM's process restarts.
    Restart(usize),
    /// The platform adds a VM to its list.
    List(usize),
    /// The platform removes a stopped VM from its list.
    Unlist(usize),
}

impl ShardModel {
    fn read(&self, state: &ShardState, i: usize) -> ShardState {
        let mut next = state.clone();
        let quarantine = self.quarantine();
        let vm = &mut next.vms[i];
        let mut listed = state.listed.clone();
        if self.fault == ShardFault::IgnoreVmList {
            listed.retain(|it| *it == vm.claim.vm);
        }
        if self.fault == ShardFault::ClaimBeforeListed {
            listed.insert(vm.claim.vm.clone());
        }
        let found = state.value.as_ref().map(|(claim, revision)| (claim, *revision));
        let now = Time(state.now);
        vm.write = vm.slot.on_read(found, &vm.claim, &listed, quarantine, now);
        next
    }

    fn quarantine(&self) -> Millis {
        if self.fault == ShardFault::NoQuarantine { Millis(0) } else { self.deadline }
    }

    fn write(&self, state: &ShardState, i: usize, arrives: bool, answered: bool) -> ShardState {
        let mut next = state.clone();
        let expected = next.vms[i].write.take().expect("a write is in progress");
        let found = next.value.as_ref().map(|(_, revision)| *revision);
        let applies = arrives && found == expected;
        let revision = Revision(found.map_or(1, |it| it.0 + 1));
        if applies {
            next.value = Some((next.vms[i].claim.clone(), revision));
        }
        let mut answer = match applies {
            true => Answer::Applied(revision),
            false => Answer::Refused,
        };
        if !answered {
            next.losses_left -= 1;
            answer = Answer::Unknown;
        }
        if self.fault == ShardFault::UnknownIsApplied && answer == Answer::Unknown {
            answer = Answer::Applied(revision);
        }
        next.vms[i].slot.on_write(&answer, self.quarantine(), Time(state.now));
        next
    }

    fn lifecycle_steps(
        &self,
        state: &ShardState,
        i: usize,
        steps: &mut Vec<(ShardAction, ShardState)>,
    ) {
        let vm = &state.vms[i];
        let mut next = state.clone();
        if !vm.alive {
            if state.listed.contains(&vm.claim.vm) {
                next.listed.remove(&vm.claim.vm);
                steps.push((ShardAction::Unlist(i), next));
                if vm.claim.incarnation.0 < 2 {
                    let mut next = state.clone();
                    next.vms[i].alive = true;
                    next.vms[i].claim.incarnation.0 += 1;
                    steps.push((ShardAction::Restart(i), next));
                }
            }
            return;
        }
        if !state.listed.contains(&vm.claim.vm) {
            let mut next = state.clone();
            next.listed.insert(vm.claim.vm.clone());
            steps.push((ShardAction::List(i), next));
        }
        let process = &mut next.vms[i];
        process.alive = false;
        process.slot = ShardSlot::Other;
        process.write = None;
        process.running = 0;
        steps.push((ShardAction::Crash(i), next));
    }
}

impl Model for ShardModel {
    type State = ShardState;
    type Action = ShardAction;

    fn start(&self) -> ShardState {
        let mut vms = Vec::new();
        for name in ["owner", "replacement"] {
            let vm: VmId = name.parse().expect("an id");
            let claim = ShardClaim { vm, incarnation: Incarnation(1) };
            vms.push(Process {
                claim,
                alive: true,
                slot: ShardSlot::Other,
                write: None,
                running: 0,
            });
        }
        ShardState {
            now: 0,
            losses_left: self.losses,
            value: None,
            listed: BTreeSet::new(),
            vms,
            requests: Vec::new(),
        }
    }

    fn steps(&self, state: &ShardState) -> Vec<(ShardAction, ShardState)> {
        let mut steps = Vec::new();
        if state.now < self.last_tick {
            let mut next = state.clone();
            next.now += 1;
            let now = next.now;
            // A request ends at its deadline at the latest, even if its sender has crashed.
            for (i, ends_at) in &state.requests {
                if *ends_at <= now {
                    next.vms[*i].running = next.vms[*i].running.saturating_sub(1);
                }
            }
            next.requests.retain(|(_, ends_at)| now < *ends_at);
            steps.push((ShardAction::Tick, next));
        }
        for (k, (i, _)) in state.requests.iter().enumerate() {
            let mut next = state.clone();
            next.requests.remove(k);
            next.vms[*i].running = next.vms[*i].running.saturating_sub(1);
            steps.push((ShardAction::End(*i), next));
        }
        for (i, vm) in state.vms.iter().enumerate() {
            self.lifecycle_steps(state, i, &mut steps);
            if !vm.alive {
                continue;
            }
            if vm.write.is_some() {
                steps.push((ShardAction::Write(i), self.write(state, i, true, true)));
                if 0 < state.losses_left {
                    steps.push((ShardAction::LoseAnswer(i), self.write(state, i, true, false)));
                    steps.push((ShardAction::LoseRequest(i), self.write(state, i, false, false)));
                }
            } else {
                steps.push((ShardAction::Read(i), self.read(state, i)));
            }
            if vm.slot.usable(Time(state.now)) && vm.running < SLOTS {
                let mut next = state.clone();
                next.vms[i].running += 1;
                next.requests.push((i, state.now + self.deadline.0));
                next.requests.sort_unstable();
                steps.push((ShardAction::Send(i), next));
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &ShardState) -> Option<&'static str> {
        (SLOTS < state.requests.len()).then_some("a backend server runs at most its slots")
    }
}
