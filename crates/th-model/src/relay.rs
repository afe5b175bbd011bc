//! Models three entry VMs of a data centre, of which one watches the store and the others ask each other for its changes.
//!
//! Each VM chooses whom to ask by the production `Upstream`, and paces its calls by the production `WatchPace`. A tick is
//! 250 ms. VMs freeze and lose their way to the store at any moment; the store falls silent and is back, and so does a single
//! connection. A VM that was never frozen or cut off must know a configuration within its limit, counted from the write or
//! the store's last return.

use std::collections::BTreeMap;

use th_protocol::{Mbit, Millis, Time, VmId};
use th_steer::relay::{Source, Upstream, WatchPace};

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
/// Time that an answered call takes, by which knowledge seems older than it is, in ticks: the production's 0.25 s.
const ANSWER: u8 = 1;
/// The greatest age of what a VM may pass on.
const LONGEST_RELAYED: u8 = INTERVAL + SLACK + ANSWER;
/// Time within which a configuration must be known, in ticks: 2.5 s.
const LIMIT: u8 = 10;
/// Time for which a failed source is not asked, in ticks: 5 s.
const COOLDOWN: u8 = 20;
/// Time of a call and the delay after it in the variant whose watches wait for long.
const LONG_CALL: Millis = Millis(3_700);
/// Ages beyond this are not distinguished.
const OLDEST: u8 = LONGEST_RELAYED + SLACK + 1;

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
    /// A call without an answer is repeated only after the time that a watch of a calm store may wait.
    LongCall,
    /// The calls that follow an unanswered one use other connections that are silent too.
    KeptConnections,
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
    /// It has waited for that many ticks for an answer of the store that never comes.
    Call(u8),
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
    /// Whether its connection to the store is silent.
    hushed: bool,
    /// Number of calls in a row that failed; more than two are not distinguished.
    failures: u8,
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
    /// Whether the store is silent.
    silent: bool,
    /// Ticks since the store's last return.
    back: u8,
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
    /// The connection of a VM to the store falls silent.
    Hush(usize),
    /// The store falls silent, or is back.
    Silence,
}

fn id(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("the id is valid")
}

fn upstream(vm: &Vm, index: usize) -> Upstream {
    let mut upstream = Upstream::new(id(index));
    for (other, left) in vm.failed.iter().enumerate() {
        if 0 < *left {
            let passed = Millis(TICK.0 * u64::from(COOLDOWN - left));
            upstream.on_failure(id(other), START.before(passed));
        }
    }
    upstream
}

fn all_vms() -> Vec<VmId> {
    (0..VMS).map(id).collect()
}

fn links() -> BTreeMap<VmId, Option<Mbit>> {
    (0..VMS).map(|it| (id(it), None)).collect()
}

fn choose(vm: &Vm, index: usize) -> Option<usize> {
    match upstream(vm, index).choose(&links(), START) {
        Source::Store => None,
        Source::Peer(peer) => all_vms().iter().position(|it| *it == peer),
    }
}

fn choose_other(vm: &Vm, index: usize) -> Option<usize> {
    let peer = upstream(vm, index).choose_other(&links(), START)?;
    all_vms().iter().position(|it| *it == peer)
}

/// Whether the limit has passed since the write and the store's last return.
fn is_due(state: &RelayState) -> bool {
    !state.silent && LIMIT <= state.back && state.written.is_some_and(|it| LIMIT <= it)
}

impl RelayModel {
    fn ask_store(&self, state: &mut RelayState, index: usize) {
        let written = state.written.is_some();
        let vm = &mut state.vms[index];
        if vm.cut {
            vm.phase = Phase::Pause(1);
            self.ask_other(state, index);
            return;
        }
        if state.silent || vm.hushed {
            vm.phase = Phase::Call(0);
            return;
        }
        vm.known |= written;
        vm.age = 0;
        vm.failures = 0;
        vm.phase = Phase::Pause(INTERVAL);
    }

    /// Lets a VM that cannot reach the store ask another one, once its own knowledge is too old.
    fn ask_other(&self, state: &mut RelayState, index: usize) {
        if state.vms[index].age <= LONGEST_RELAYED {
            return;
        }
        let Some(peer) = choose_other(&state.vms[index], index) else {
            return;
        };
        let source = state.vms[peer].clone();
        let vm = &mut state.vms[index];
        if source.frozen || LONGEST_RELAYED < source.age {
            vm.failed[peer] = COOLDOWN;
            return;
        }
        vm.known |= source.known;
        vm.age = if self.fault == RelayFault::AgeLost { 0 } else { source.age };
    }

    /// Repeats a call without an answer once it is overdue.
    fn give_up(&self, state: &mut RelayState, index: usize) {
        let vm = &mut state.vms[index];
        let Phase::Call(waited) = vm.phase else {
            return;
        };
        let pace = WatchPace::new(Millis(TICK.0 * u64::from(LIMIT)));
        let mut limit = pace.wait.plus(pace.repeat);
        if self.fault == RelayFault::LongCall && 0 < vm.failures {
            limit = LONG_CALL;
        }
        if Millis(TICK.0 * u64::from(waited)) < limit {
            return;
        }
        vm.hushed = self.fault == RelayFault::KeptConnections && vm.failures < 2;
        vm.failures = (vm.failures + 1).min(2);
        self.ask_store(state, index);
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
        let answers = !source.frozen && (advanced || LONGEST_RELAYED <= passed);
        let is_late = self.fault != RelayFault::NoTimeout && LONGEST_RELAYED + SLACK <= passed;
        if !answers && !is_late {
            return false;
        }
        let is_current = self.fault == RelayFault::AnyAge || source.age <= LONGEST_RELAYED;
        if answers && is_current {
            let vm = &mut state.vms[index];
            vm.known |= source.known;
            vm.age = if self.fault == RelayFault::AgeLost { 0 } else { source.age };
            self.ask(state, index);
            return true;
        }
        state.vms[index].failed[peer] = COOLDOWN;
        // Its connection to the store was idle for so long that it is not used again.
        state.vms[index].hushed = false;
        self.ask_store(state, index);
        true
    }

    fn tick(&self, state: &RelayState) -> RelayState {
        let mut next = state.clone();
        next.tick = (next.tick + 1).min(self.ticks);
        next.written = next.written.map(|it| (it + 1).min(LIMIT));
        next.back = (next.back + 1).min(LIMIT);
        for vm in &mut next.vms {
            vm.age = (vm.age + 1).min(OLDEST);
            for left in &mut vm.failed {
                *left = left.saturating_sub(1);
            }
        }
        let mut advanced = [false; VMS];
        for (index, has_news) in advanced.iter_mut().enumerate() {
            let vm = &mut next.vms[index];
            if vm.frozen {
                continue;
            }
            match &mut vm.phase {
                Phase::Pause(left) => *left -= 1,
                Phase::Wait(_, waited) | Phase::Call(waited) => *waited += 1,
            }
            self.give_up(&mut next, index);
            let vm = &next.vms[index];
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
        // The store's return is no disturbance of its own.
        next.disturbances += u8::from(!state.silent || action != RelayAction::Silence);
        match action {
            RelayAction::Freeze(index) => {
                next.vms[index].disturbed = true;
                next.vms[index].frozen = !next.vms[index].frozen;
            }
            RelayAction::Cut(index) => {
                next.vms[index].disturbed = true;
                next.vms[index].cut = !next.vms[index].cut;
            }
            RelayAction::Hush(index) => next.vms[index].hushed = true,
            RelayAction::Silence => {
                next.silent = !next.silent;
                next.back = 0;
                for vm in &mut next.vms {
                    vm.hushed = true;
                }
            }
            RelayAction::Tick | RelayAction::Write => {}
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
            hushed: false,
            failures: 0,
            disturbed: false,
        };
        let vms = [vm.clone(), vm.clone(), vm];
        RelayState { vms, tick: 0, written: None, silent: false, back: LIMIT, disturbances: 0 }
    }

    fn steps(&self, state: &RelayState) -> Vec<(RelayAction, RelayState)> {
        let mut steps = Vec::new();
        let is_over = is_due(state);
        if is_over || (state.written.is_none() && self.ticks <= state.tick) {
            return steps;
        }
        steps.push((RelayAction::Tick, self.tick(state)));
        if state.written.is_none() && !state.silent {
            let next = RelayState { written: Some(0), ..state.clone() };
            steps.push((RelayAction::Write, next));
        }
        if state.disturbances < self.disturbances {
            for index in 0..VMS {
                let faults =
                    [RelayAction::Freeze(index), RelayAction::Cut(index), RelayAction::Hush(index)];
                for action in faults {
                    steps.push((action, self.disturb(state, action)));
                }
            }
        }
        if state.silent || state.disturbances < self.disturbances {
            steps.push((RelayAction::Silence, self.disturb(state, RelayAction::Silence)));
        }
        steps
    }

    fn violated_invariant(&self, state: &RelayState) -> Option<&'static str> {
        let is_late = |vm: &Vm| !vm.disturbed && !vm.known;
        (is_due(state) && state.vms.iter().any(is_late))
            .then_some("an undisturbed VM knows a configuration within its limit")
    }
}
