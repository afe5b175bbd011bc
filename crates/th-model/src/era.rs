//! Models a store that comes back from older copies, a VM that watches it, and one that follows that VM.
//!
//! The VMs pass changes on by the production `ChangeLog`. The store has one item. Its answers to the watching VM arrive in any
//! order, as on two connections, and late. What a VM knows up to a moment must be what the store had at that moment.

use std::collections::BTreeMap;

use th_protocol::{Era, Revision, StoreMoment, Time};
use th_steer::relay::{ChangeLog, ItemChange};

use crate::Model;

/// The item's key.
const KEY: &str = "item";
/// Time does not matter here; changes are kept for ever.
const NOW: Time = Time(0);

/// A fault that is put into the model on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraFault {
    /// No fault.
    None,
    /// Revisions of different eras are compared as if they were of one.
    RevisionOnly,
    /// A late answer of an earlier era is taken over from the slower connection.
    SlowerConnection,
    /// Changes that another VM kept are taken for all, where it does not know all.
    Partial,
}

/// The model and its limits.
#[derive(Debug, Clone, Copy)]
pub struct EraModel {
    /// The fault in the model.
    pub fault: EraFault,
    /// Maximum number of writes.
    pub writes: u8,
    /// Maximum number of returns from a copy.
    pub returns: u8,
}

impl Default for EraModel {
    fn default() -> EraModel {
        EraModel { fault: EraFault::None, writes: 3, returns: 2 }
    }
}

/// A write of the item: its number, and its revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Write {
    number: u8,
    revision: Revision,
}

/// An answer of the store on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum StoreAnswer {
    /// All that the store has.
    All(StoreMoment, Write),
    /// The last write after the revision of a known moment, if there was one.
    Changes(StoreMoment, StoreMoment, Option<Write>),
    /// The store does not have the changes after the revision.
    Gone(Era),
}

impl StoreAnswer {
    fn era(self) -> Era {
        match self {
            StoreAnswer::All(at, _) | StoreAnswer::Changes(at, ..) => at.era,
            StoreAnswer::Gone(era) => era,
        }
    }
}

/// What a VM knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Vm {
    /// Moment up to which it knows all changes.
    cursor: StoreMoment,
    /// Number of the write that it knows, and its moment.
    known: (u8, StoreMoment),
    /// The latest era that an answer stated.
    latest: Era,
    /// Whether the store does not have the changes after the cursor.
    is_cut_off: bool,
}

/// A state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EraState {
    at: StoreMoment,
    item: Write,
    /// The first revision of this era; the history does not reach further back.
    first: Revision,
    copy: (Revision, Write),
    writes: u8,
    /// Number of the write that the store had at each moment.
    history: BTreeMap<StoreMoment, u8>,
    watching: Vm,
    log: ChangeLog,
    following: Vm,
    /// Answers on their way to the watching VM.
    answers: Vec<StoreAnswer>,
    /// Whether what a VM knows went back.
    went_back: bool,
}

/// An action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraAction {
    /// The item is written.
    Write,
    /// A copy is made.
    Copy,
    /// The store comes back from the copy.
    Return,
    /// The store answers a call of the watching VM.
    Ask,
    /// An answer arrives; the number is its place.
    Arrive(usize),
    /// The following VM asks the watching one, and the store if that does not know.
    Follow,
    /// The following VM reads the store itself.
    Read,
}

fn change(write: Write, era: Era) -> ItemChange {
    let moment = StoreMoment::new(era, write.revision);
    ItemChange { key: KEY.to_owned(), value: Some(vec![write.number]), moment }
}

impl Vm {
    /// Applies a write if it is newer than the known one. Returns whether it is.
    fn apply(&mut self, number: u8, moment: StoreMoment, by_revision: bool) -> bool {
        let known = self.known.1;
        let is_newer = if by_revision { known.revision < moment.revision } else { known < moment };
        if is_newer {
            self.known = (number, moment);
        }
        is_newer
    }
}

impl EraModel {
    fn answer(&self, state: &EraState) -> StoreAnswer {
        let vm = &state.watching;
        let is_risen = vm.cursor.era < vm.latest && self.fault != EraFault::RevisionOnly;
        if vm.is_cut_off || is_risen {
            return StoreAnswer::All(state.at, state.item);
        }
        let after = vm.cursor.revision;
        if after < state.first || state.at.revision < after {
            return StoreAnswer::Gone(state.at.era);
        }
        let write = Some(state.item).filter(|it| after < it.revision);
        StoreAnswer::Changes(state.at, vm.cursor, write)
    }

    fn arrive(&self, state: &mut EraState, answer: StoreAnswer) {
        let vm = &mut state.watching;
        let by_revision = self.fault == EraFault::RevisionOnly;
        vm.latest = vm.latest.max(answer.era());
        let is_late = answer.era() < vm.latest.max(vm.cursor.era);
        if is_late && self.fault != EraFault::SlowerConnection && !by_revision {
            return;
        }
        match answer {
            StoreAnswer::Gone(_) => vm.is_cut_off = true,
            // The store took the revision for one of its own era.
            StoreAnswer::Changes(at, after, _) if after.era < at.era && !by_revision => {}
            StoreAnswer::Changes(at, _, write) => {
                let mut passed = Vec::new();
                if let Some(write) = write {
                    let moment = StoreMoment::new(at.era, write.revision);
                    if vm.apply(write.number, moment, by_revision) {
                        passed.push(change(write, at.era));
                    }
                }
                self.advance(state, at, passed, false);
            }
            StoreAnswer::All(at, write) => {
                let rises = vm.cursor.era < at.era;
                let moment = StoreMoment::new(at.era, write.revision);
                let mut passed = Vec::new();
                if vm.apply(write.number, moment, by_revision) {
                    passed.push(change(write, at.era));
                }
                vm.is_cut_off = false;
                self.advance(state, at, passed, !rises);
            }
        }
    }

    /// Moves the cursor of the watching VM, and passes changes on.
    fn advance(
        &self,
        state: &mut EraState,
        at: StoreMoment,
        passed: Vec<ItemChange>,
        resets: bool,
    ) {
        let vm = &mut state.watching;
        let is_back = at < vm.cursor;
        if is_back && self.fault == EraFault::SlowerConnection && at.era < vm.cursor.era {
            state.went_back = true;
            return;
        }
        vm.cursor = vm.cursor.max(at);
        if resets && !is_back {
            state.log.reset(at, NOW);
        } else {
            state.log.append(passed, at, NOW, NOW);
        }
    }

    fn follow(&self, state: &mut EraState) {
        let after = state.following.cursor;
        let changes = match state.log.since(after) {
            None if self.fault == EraFault::Partial && after.era < state.log.at().era => {
                Some(state.log.kept(after))
            }
            changes => changes,
        };
        let at = state.log.at();
        let Some(changes) = changes.filter(|_| after.era <= at.era) else {
            return self.read(state);
        };
        for change in changes {
            let number = change.value.map_or(0, |it| it[0]);
            // What was changed in an earlier era, and is still in force, is passed on without its revision.
            let moment = match change.moment {
                it if it.era == at.era => it,
                _ => StoreMoment::new(at.era, Revision::ZERO),
            };
            state.following.apply(number, moment, false);
        }
        state.following.cursor = after.max(at);
    }

    fn read(&self, state: &mut EraState) {
        let vm = &mut state.following;
        vm.apply(state.item.number, StoreMoment::new(state.at.era, state.item.revision), false);
        vm.cursor = state.at;
    }

    fn next(&self, state: &EraState, action: EraAction) -> EraState {
        let mut next = state.clone();
        match action {
            EraAction::Write => {
                next.writes += 1;
                next.at.revision = next.at.revision.plus(Revision(1));
                next.item = Write { number: next.writes, revision: next.at.revision };
            }
            EraAction::Copy => next.copy = (next.at.revision, next.item),
            EraAction::Return => {
                let (revision, item) = next.copy;
                next.at = StoreMoment::new(next.at.era.plus(Era(1)), revision);
                (next.item, next.first) = (item, revision);
            }
            EraAction::Ask => {
                next.answers.push(self.answer(state));
                next.answers.sort_unstable();
            }
            EraAction::Arrive(place) => {
                let answer = next.answers.remove(place);
                self.arrive(&mut next, answer);
            }
            EraAction::Follow => self.follow(&mut next),
            EraAction::Read => self.read(&mut next),
        }
        next.history.insert(next.at, next.item.number);
        next
    }
}

impl Model for EraModel {
    type State = EraState;
    type Action = EraAction;

    fn start(&self) -> EraState {
        let at = StoreMoment::new(Era(1), Revision(1));
        let item = Write { number: 0, revision: Revision(1) };
        let vm = Vm { cursor: at, known: (0, at), latest: Era(1), is_cut_off: false };
        let mut log = ChangeLog::default();
        log.reset(at, NOW);
        EraState {
            at,
            item,
            first: at.revision,
            copy: (at.revision, item),
            writes: 0,
            history: BTreeMap::from([(at, 0)]),
            watching: vm.clone(),
            log,
            following: vm,
            answers: Vec::new(),
            went_back: false,
        }
    }

    fn steps(&self, state: &EraState) -> Vec<(EraAction, EraState)> {
        let mut actions = vec![EraAction::Follow, EraAction::Read];
        if state.writes < self.writes {
            actions.push(EraAction::Write);
        }
        if state.at.era.0 <= u64::from(self.returns) {
            actions.extend([EraAction::Copy, EraAction::Return]);
        }
        if state.answers.len() < 2 {
            actions.push(EraAction::Ask);
        }
        actions.extend((0..state.answers.len()).map(EraAction::Arrive));
        actions.into_iter().map(|it| (it, self.next(state, it))).collect()
    }

    fn violated_invariant(&self, state: &EraState) -> Option<&'static str> {
        if state.went_back {
            return Some("an earlier era is never put over a later one");
        }
        let is_wrong = |vm: &Vm| state.history.get(&vm.cursor) != Some(&vm.known.0);
        (is_wrong(&state.watching) || is_wrong(&state.following))
            .then_some("a VM knows what the store had at the moment up to which it knows all")
    }
}
