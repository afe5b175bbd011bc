//! Models three entry VMs of a data centre, of which one watches the store and the others ask each other for its changes.
//!
//! Each VM chooses whom to ask by the production `Upstream`. A tick is 250 ms. VMs freeze and lose their way to the store at
//! any moment; one that was never disturbed must know a configuration within its limit.

use th_protocol::{Millis, Time, VmId};
use th_steer::relay::{Source, Upstream};

use crate::Model;

/// Length of a tick.
const TICK: Millis = Millis(250);
/// The time of tick 0; later than the cooldown of a source.
const START: Time = Time(100_000);
const VMS: usize = 3;
/// Interval of watches, in ticks: 1 s.
const INTERVAL: u8 = 4;
/// Time beyond the interval within which another VM must have answered, in ticks: at least the production's 0.3 s.
const SLACK: u8 = 2;
/// Time within which a configuration must be known, in ticks: 2.5 s.
const LIMIT: u8 = 10;
/// Time for which a failed source is not asked, in ticks: 5 s.
const COOLDOWN: u8 = 20;
/// Ages beyond this are not distinguished.
const OLDEST: u8 = INTERVAL + 2 * SLACK + 1;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFault {
    /// No fault.
    None,
    /// A VM waits for another without a time limit.
    NoTimeout,
    /// A VM takes knowledge of any age.
    AnyAge,
    /// Each answer starts the time limit anew, however old the knowledge in it is.
    WaitAnew,
    /// A VM passes on its knowledge as current, though it did not come from the store itself.
    AgeLost,
}

/// The model and its limits.
#[derive(Debug, Clone, Copy)]
pub struct RelayModel {
    /// The fault in the model.
    pub fault: RelayFault,
    /// Number of ticks in which the configuration may be written.
    pub ticks: u8,
    /// Maximum number of disturbances in a run.
    pub disturbances: u8,
}

impl Default for RelayModel {
    fn default() -> RelayModel {
        RelayModel { fault: RelayFault::None, ticks: 12, disturbances: 3 }
    }
}

/// What a VM does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// It pauses for that many more ticks.
    Pause(u8),
    /// It has waited for another VM for that many ticks.
    Wait(usize, u8),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Vm {
    phase: Phase,
    /// Whether it knows the configuration.
    known: bool,
    /// Ticks since its knowledge was current.
    age: u8,
    /// Ticks for which each VM is not asked, as it has failed.
    failed: [u8; VMS],
    frozen: bool,
    cut: bool,
    /// Whether it was ever frozen or cut off.
    disturbed: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayState {
    vms: [Vm; VMS],
    tick: u8,
    /// Ticks since the configuration was written.
    written: Option<u8>,
    disturbances: u8,
}

/// An action; each number is the index of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayAction {
    /// Time passes.
    Tick,
    /// The store acknowledges a configuration.
    Write,
    /// A VM freezes, or wakes.
    Freeze(usize),
    /// A VM loses its way to the store, or has it again.
    Cut(usize),
}

fn id(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("the id is valid")
}

fn choose(vm: &Vm, index: usize) -> Option<usize> {
    let mut upstream = Upstream::new(id(index));
    for (other, left) in vm.failed.iter().enumerate() {
        if 0 < *left {
            let passed = Millis(TICK.0 * u64::from(COOLDOWN - left));
            upstream.on_failure(id(other), START.before(passed));
        }
    }
    let all: Vec<VmId> = (0..VMS).map(id).collect();
    match upstream.choose(&all, START) {
        Source::Store => None,
        Source::Peer(peer) => all.iter().position(|it| *it == peer),
    }
}

impl RelayModel {
    fn ask_store(&self, state: &mut RelayState, index: usize) {
        let written = state.written.is_some();
        let vm = &mut state.vms[index];
        if vm.cut {
            vm.phase = Phase::Pause(1);
            return;
        }
        vm.known |= written;
        vm.age = 0;
        vm.phase = Phase::Pause(INTERVAL);
    }

    fn ask(&self, state: &mut RelayState, index: usize) {
        match choose(&state.vms[index], index) {
            Some(peer) => state.vms[index].phase = Phase::Wait(peer, 0),
            None => self.ask_store(state, index),
        }
    }

    /// Lets a VM that waits for another go on. Returns whether it has an answer that may wake others.
    fn wait(&self, state: &mut RelayState, index: usize, peer: usize, advanced: bool) -> bool {
        let Phase::Wait(_, waited) = state.vms[index].phase else {
            return false;
        };
        let source = state.vms[peer].clone();
        let passed = match self.fault {
            RelayFault::WaitAnew => waited,
            _ => state.vms[index].age,
        };
        let answers = !source.frozen && (advanced || INTERVAL + SLACK <= passed);
        let is_late = self.fault != RelayFault::NoTimeout && INTERVAL + 2 * SLACK <= passed;
        if !answers && !is_late {
            return false;
        }
        let is_current = self.fault == RelayFault::AnyAge || source.age <= INTERVAL + SLACK;
        if answers && is_current {
            let vm = &mut state.vms[index];
            vm.known |= source.known;
            vm.age = if self.fault == RelayFault::AgeLost { 0 } else { source.age };
            self.ask(state, index);
            return true;
        }
        state.vms[index].failed[peer] = COOLDOWN;
        self.ask_store(state, index);
        true
    }

    fn tick(&self, state: &RelayState) -> RelayState {
        let mut next = state.clone();
        next.tick += 1;
        next.written = next.written.map(|it| it + 1);
        let mut advanced = [false; VMS];
        for (index, has_news) in advanced.iter_mut().enumerate() {
            let vm = &mut next.vms[index];
            vm.age = (vm.age + 1).min(OLDEST);
            for left in &mut vm.failed {
                *left = left.saturating_sub(1);
            }
            if vm.frozen {
                continue;
            }
            match &mut vm.phase {
                Phase::Pause(left) => *left -= 1,
                Phase::Wait(_, waited) => *waited += 1,
            }
            if vm.phase == Phase::Pause(0) {
                *has_news = true;
                self.ask(&mut next, index);
            }
        }
        // An answer may wake VMs that wait for the one that got it.
        for _ in 0..VMS {
            for index in 0..VMS {
                let Phase::Wait(peer, _) = next.vms[index].phase else {
                    continue;
                };
                if next.vms[index].frozen || advanced[index] {
                    continue;
                }
                advanced[index] = self.wait(&mut next, index, peer, advanced[peer]);
            }
        }
        next
    }

    fn disturb(&self, state: &RelayState, action: RelayAction) -> RelayState {
        let mut next = state.clone();
        next.disturbances += 1;
        let (RelayAction::Freeze(index) | RelayAction::Cut(index)) = action else {
            return next;
        };
        let vm = &mut next.vms[index];
        vm.disturbed = true;
        match action {
            RelayAction::Freeze(_) => vm.frozen = !vm.frozen,
            _ => vm.cut = !vm.cut,
        }
        next
    }
}

impl Model for RelayModel {
    type State = RelayState;
    type Action = RelayAction;

    fn start(&self) -> RelayState {
        let vm = Vm {
            phase: Phase::Pause(1),
            known: false,
            age: 0,
            failed: [0; VMS],
            frozen: false,
            cut: false,
            disturbed: false,
        };
        let vms = [vm.clone(), vm.clone(), vm];
        RelayState { vms, tick: 0, written: None, disturbances: 0 }
    }

    fn steps(&self, state: &RelayState) -> Vec<(RelayAction, RelayState)> {
        let mut steps = Vec::new();
        let is_over = state.written.is_some_and(|it| LIMIT <= it);
        if is_over || (state.written.is_none() && self.ticks <= state.tick) {
            return steps;
        }
        steps.push((RelayAction::Tick, self.tick(state)));
        if state.written.is_none() {
            let next = RelayState { written: Some(0), ..state.clone() };
            steps.push((RelayAction::Write, next));
        }
        if state.disturbances < self.disturbances {
            for index in 0..VMS {
                for action in [RelayAction::Freeze(index), RelayAction::Cut(index)] {
                    steps.push((action, self.disturb(state, action)));
                }
            }
        }
        steps
    }

    fn violated_invariant(&self, state: &RelayState) -> Option<&'static str> {
        let is_due = state.written.is_some_and(|it| LIMIT <= it);
        let is_late = |vm: &Vm| !vm.disturbed && !vm.known;
        (is_due && state.vms.iter().any(is_late))
            .then_some("an undisturbed VM knows a configuration within its limit")
    }
}
