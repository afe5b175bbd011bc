//! Models two operators who roll bundles, a store, and three entry VMs that send bundles to each
//! other.
//!
//! A roll is one compare-and-swap of the version. Its answer may be lost, and a lost write may
//! still take effect later. Entry VMs compare heads with the production `compare_heads`.

use th_protocol::{BundleHead, Digest, Version};
use th_steer::member::{HeadOrder, compare_heads};

use crate::Model;

const ENTRIES: usize = 3;
const OPERATORS: usize = 2;
/// Maximum number of versions: the first, and one for each operator.
const VERSIONS: usize = 3;

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadFault {
    /// No fault.
    None,
    /// The store applies each write, whatever version it expects.
    NoCas,
    /// A lost answer is reported as a failure.
    LostIsFailed,
    /// A read that finds the old version after a lost answer is reported as a failure.
    ReadIsFinal,
    /// An entry VM accepts any head that differs from its own.
    AcceptsAny,
    /// Entry VMs do not send bundles to each other.
    NoGossip,
}

/// The model and its limits.
#[derive(Debug, Clone, Copy)]
pub struct SpreadModel {
    /// The fault in the model.
    pub fault: SpreadFault,
    /// Maximum number of restarts, lost store connections and cuts in a run.
    pub disruptions: u8,
}

impl Default for SpreadModel {
    fn default() -> SpreadModel {
        SpreadModel { fault: SpreadFault::None, disruptions: 4 }
    }
}

/// The progress of an operator's roll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Roll {
    /// Not started.
    Idle,
    /// The write was sent: of this version, if the store still has the one before.
    Sent(u8),
    /// The answer is lost.
    Lost(u8),
    /// The roll was reported as applied.
    Applied(u8),
    /// The roll was reported as a conflict: another operator's roll came first.
    Conflict(u8),
    /// The roll was reported as failed.
    Failed(u8),
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SpreadState {
    /// The content of each version in the store; 0 is none.
    store: [u8; VERSIONS + 1],
    /// Whether a version was written again with another content.
    overwritten: bool,
    rolls: [Roll; OPERATORS],
    /// Versions of the writes that may still reach the store.
    delayed: [Option<u8>; OPERATORS],
    held: [Option<(u8, u8)>; ENTRIES],
    /// Whether a running entry VM has replaced its bundle by one that is not newer.
    reverted: bool,
    /// Entry VMs that cannot read from the store.
    without_store: [bool; ENTRIES],
    /// Whether the last entry VM is cut off from the others and from the store.
    cut: bool,
    disruptions: u8,
}

/// An action; numbers are indices of operators or entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadAction {
    /// An operator reads the store and sends its write.
    Send(usize),
    /// The write reaches the store, and its answer reaches the operator.
    Answer(usize),
    /// The write reaches the store, and its answer is lost.
    LoseAnswer(usize),
    /// The write is delayed: the operator's wait for the answer times out.
    Delay(usize),
    /// A delayed write reaches the store.
    Arrive(usize),
    /// A delayed write is lost.
    Drop(usize),
    /// An operator whose answer is lost reads the store.
    Resolve(usize),
    /// An entry VM reads the highest version from the store.
    Watch(usize),
    /// The first entry VM sends its bundle to the second.
    Gossip(usize, usize),
    /// An entry VM restarts without a bundle.
    Restart(usize),
    /// An entry VM loses its access to the store.
    LoseStore(usize),
    /// The last entry VM is cut off from the others and from the store, or reconnected.
    Cut,
}

fn head(held: (u8, u8)) -> BundleHead {
    BundleHead { version: Version(u64::from(held.0)), digest: Digest::from_bytes([held.1; 32]) }
}

impl SpreadState {
    /// Returns the highest version in the store, and its content.
    fn highest(&self) -> (u8, u8) {
        let mut highest = (0, 0);
        for (version, content) in self.store.iter().enumerate() {
            if *content != 0 {
                highest = (version as u8, *content);
            }
        }
        highest
    }

    fn is_connected(&self, i: usize, j: usize) -> bool {
        let last = ENTRIES - 1;
        !self.cut || (i != last && j != last)
    }

    fn reaches_store(&self, i: usize) -> bool {
        let is_isolated = self.cut && i == ENTRIES - 1;
        !self.without_store[i] && !is_isolated
    }
}

impl SpreadModel {
    /// Executes an operator's write at the store. Returns whether it took effect.
    fn write(&self, state: &mut SpreadState, operator: usize, version: u8) -> bool {
        let content = operator as u8 + 2;
        let is_next = state.highest().0 + 1 == version;
        if !is_next && self.fault != SpreadFault::NoCas {
            return false;
        }
        let slot = &mut state.store[usize::from(version)];
        state.overwritten |= *slot != 0 && *slot != content;
        *slot = content;
        true
    }

    fn accept(&self, state: &mut SpreadState, i: usize, seen: (u8, u8)) {
        let held = state.held[i];
        let newer = compare_heads(held.map(head), head(seen)) == HeadOrder::Newer;
        let any = self.fault == SpreadFault::AcceptsAny && held != Some(seen);
        if !newer && !any {
            return;
        }
        state.reverted |= held.is_some_and(|held| seen.0 <= held.0);
        state.held[i] = Some(seen);
    }

    fn resolve(&self, state: &mut SpreadState, operator: usize, version: u8) {
        let found = state.store[usize::from(version)];
        state.rolls[operator] = if found == operator as u8 + 2 {
            Roll::Applied(version)
        } else if found != 0 {
            Roll::Conflict(version)
        } else if self.fault == SpreadFault::ReadIsFinal {
            Roll::Failed(version)
        } else {
            // The version is not taken yet, and the write may still arrive, so the outcome stays
            // unknown.
            Roll::Lost(version)
        };
    }

    fn operator_actions(&self, state: &SpreadState, o: usize) -> Vec<SpreadAction> {
        let mut actions = match state.rolls[o] {
            Roll::Idle => vec![SpreadAction::Send(o)],
            Roll::Sent(_) => {
                vec![SpreadAction::Answer(o), SpreadAction::LoseAnswer(o), SpreadAction::Delay(o)]
            }
            Roll::Lost(_) => vec![SpreadAction::Resolve(o)],
            _ => Vec::new(),
        };
        if state.delayed[o].is_some() {
            actions.extend([SpreadAction::Arrive(o), SpreadAction::Drop(o)]);
        }
        actions
    }

    fn entry_actions(&self, state: &SpreadState, i: usize) -> Vec<SpreadAction> {
        let mut actions = Vec::new();
        if state.reaches_store(i) {
            actions.push(SpreadAction::Watch(i));
        }
        for j in 0..ENTRIES {
            let can_send = state.held[j].is_some() && self.fault != SpreadFault::NoGossip;
            if i != j && can_send && state.is_connected(i, j) {
                actions.push(SpreadAction::Gossip(j, i));
            }
        }
        if state.disruptions < self.disruptions {
            actions.push(SpreadAction::Restart(i));
            // At least one entry VM in each data centre can read from the store.
            if i != 0 {
                actions.push(SpreadAction::LoseStore(i));
            }
        }
        actions
    }

    fn apply(&self, state: &SpreadState, action: SpreadAction) -> SpreadState {
        let mut next = state.clone();
        let lost = |version| match self.fault {
            SpreadFault::LostIsFailed => Roll::Failed(version),
            _ => Roll::Lost(version),
        };
        match action {
            SpreadAction::Send(o) => next.rolls[o] = Roll::Sent(state.highest().0 + 1),
            SpreadAction::Answer(o) | SpreadAction::LoseAnswer(o) => {
                let Roll::Sent(version) = state.rolls[o] else { return next };
                let won = self.write(&mut next, o, version);
                next.rolls[o] = match (action, won) {
                    (SpreadAction::LoseAnswer(_), _) => lost(version),
                    (_, true) => Roll::Applied(version),
                    (_, false) => Roll::Conflict(version),
                };
            }
            SpreadAction::Delay(o) => {
                let Roll::Sent(version) = state.rolls[o] else { return next };
                next.delayed[o] = Some(version);
                next.rolls[o] = lost(version);
            }
            SpreadAction::Arrive(o) => {
                let Some(version) = next.delayed[o].take() else { return next };
                self.write(&mut next, o, version);
            }
            SpreadAction::Drop(o) => next.delayed[o] = None,
            SpreadAction::Resolve(o) => {
                let Roll::Lost(version) = state.rolls[o] else { return next };
                self.resolve(&mut next, o, version);
            }
            SpreadAction::Watch(i) => self.accept(&mut next, i, state.highest()),
            SpreadAction::Gossip(from, to) => {
                let Some(seen) = state.held[from] else { return next };
                self.accept(&mut next, to, seen);
            }
            SpreadAction::Restart(i) => {
                next.held[i] = None;
                next.disruptions += 1;
            }
            SpreadAction::LoseStore(i) => {
                next.without_store[i] = true;
                next.disruptions += 1;
            }
            SpreadAction::Cut => {
                next.cut = !state.cut;
                next.disruptions += u8::from(next.cut);
            }
        }
        next
    }

    /// Returns whether the last entry VM is connected, and no entry VM can receive a newer bundle.
    fn is_converged(&self, state: &SpreadState) -> bool {
        if state.cut {
            return false;
        }
        for i in 0..ENTRIES {
            for action in self.entry_actions(state, i) {
                let updates_entry =
                    matches!(action, SpreadAction::Watch(_) | SpreadAction::Gossip(..));
                if updates_entry && self.apply(state, action) != *state {
                    return false;
                }
            }
        }
        true
    }
}

impl Model for SpreadModel {
    type State = SpreadState;
    type Action = SpreadAction;

    fn start(&self) -> SpreadState {
        SpreadState {
            store: [0, 1, 0, 0],
            overwritten: false,
            rolls: [Roll::Idle; OPERATORS],
            delayed: [None; OPERATORS],
            held: [Some((1, 1)); ENTRIES],
            reverted: false,
            without_store: [false; ENTRIES],
            cut: false,
            disruptions: 0,
        }
    }

    fn steps(&self, state: &SpreadState) -> Vec<(SpreadAction, SpreadState)> {
        let mut actions = Vec::new();
        for o in 0..OPERATORS {
            actions.extend(self.operator_actions(state, o));
        }
        for i in 0..ENTRIES {
            actions.extend(self.entry_actions(state, i));
        }
        if state.cut || state.disruptions < self.disruptions {
            actions.push(SpreadAction::Cut);
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

    fn violated_invariant(&self, state: &SpreadState) -> Option<&'static str> {
        if state.overwritten {
            return Some("each version has a single content");
        }
        if state.reverted {
            return Some("a running entry VM accepts only newer bundles");
        }
        for (o, roll) in state.rolls.iter().enumerate() {
            let content = o as u8 + 2;
            match roll {
                Roll::Failed(version) | Roll::Conflict(version)
                    if state.store[usize::from(*version)] == content =>
                {
                    return Some("a roll that took effect is not reported as failed");
                }
                Roll::Applied(version) if state.store[usize::from(*version)] != content => {
                    return Some("a roll that is reported as applied took effect");
                }
                _ => {}
            }
        }
        let highest = Some(state.highest());
        if self.is_converged(state) && state.held.iter().any(|held| *held != highest) {
            return Some("after healing all entry VMs reach the highest version");
        }
        None
    }
}
