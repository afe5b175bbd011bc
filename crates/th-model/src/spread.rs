//! Two operators who roll bundles, a store, and three entry VMs that hand bundles to each other.
//!
//! A roll is one compare-and-swap of the version; its answer may be lost, and a lost write may
//! still take effect later. Entry VMs judge heads with the decision crate's own `compare_heads`.

use th_protocol::{BundleHead, Digest, Version};
use th_steer::member::{HeadOrder, compare_heads};

use crate::Model;

const ENTRIES: usize = 3;
const OPERATORS: usize = 2;
/// Versions that can come to be: the first, and one for each operator.
const VERSIONS: usize = 3;

/// Which rules apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadVariant {
    /// The rules of the system.
    Production,
    /// Broken: the store takes each write, whatever version it expects.
    NoCas,
    /// Broken: a lost answer is reported as a failure.
    LostIsFailed,
    /// Broken: a read that finds the old version after a lost answer is reported as a failure.
    ReadIsFinal,
    /// Broken: an entry VM takes any head that differs from its own.
    TakesAny,
    /// Broken: entry VMs do not hear from each other.
    NoGossip,
}

/// The model and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct SpreadModel {
    /// Which rules apply.
    pub variant: SpreadVariant,
    /// Restarts, cuts and heals in a run.
    pub faults: u8,
}

impl Default for SpreadModel {
    fn default() -> SpreadModel {
        SpreadModel { variant: SpreadVariant::Production, faults: 4 }
    }
}

/// How far an operator's roll is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Roll {
    /// Not begun.
    Idle,
    /// Sent: to write this version if the store is still at the one before.
    Sent(u8),
    /// The answer is lost.
    Lost(u8),
    /// The operator was told that it took effect.
    Applied(u8),
    /// The operator was told that another roll won.
    Conflict(u8),
    /// The operator was told that it failed.
    Failed(u8),
}

/// One moment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SpreadPlace {
    /// The content of each version in the store; 0 is none.
    store: [u8; VERSIONS + 1],
    /// Whether a version was ever written with two contents.
    doubled: bool,
    rolls: [Roll; OPERATORS],
    /// Writes that may still reach the store.
    wires: [Option<u8>; OPERATORS],
    held: [Option<(u8, u8)>; ENTRIES],
    /// Whether an entry VM went back while it ran.
    reverted: bool,
    /// Entry VMs that the store's watch and polls do not reach.
    silent: [bool; ENTRIES],
    /// Whether the last entry VM is cut off from the others and from the store.
    cut: bool,
    faults: u8,
}

/// One step; numbers are operators or entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadMove {
    /// An operator reads the store and sends its write.
    Send(usize),
    /// The write reaches the store, and its answer the operator.
    Answer(usize),
    /// The write reaches the store, and its answer is lost.
    LoseAnswer(usize),
    /// The write is late: the operator gives up waiting for its answer.
    Delay(usize),
    /// A late write reaches the store.
    Arrive(usize),
    /// A late write is lost for good.
    Vanish(usize),
    /// An operator whose answer is lost reads the store.
    Settle(usize),
    /// An entry VM hears from the store.
    Watch(usize),
    /// The second entry VM hears from the first.
    Gossip(usize, usize),
    /// An entry VM restarts with nothing.
    Restart(usize),
    /// The store falls silent towards an entry VM.
    Silence(usize),
    /// The last entry VM is cut off, or the cut heals.
    Cut,
}

fn head(place: (u8, u8)) -> BundleHead {
    BundleHead { version: Version(u64::from(place.0)), digest: Digest::from_bytes([place.1; 32]) }
}

impl SpreadPlace {
    /// The highest version in the store, and its content.
    fn highest(&self) -> (u8, u8) {
        let mut highest = (0, 0);
        for (version, content) in self.store.iter().enumerate() {
            if *content != 0 {
                highest = (version as u8, *content);
            }
        }
        highest
    }

    fn linked(&self, i: usize, j: usize) -> bool {
        let last = ENTRIES - 1;
        !self.cut || (i != last && j != last)
    }

    fn reaches_store(&self, i: usize) -> bool {
        let alone = self.cut && i == ENTRIES - 1;
        !self.silent[i] && !alone
    }
}

impl SpreadModel {
    /// The write of an operator reaches the store; true where it takes effect.
    fn write(&self, place: &mut SpreadPlace, operator: usize, version: u8) -> bool {
        let content = operator as u8 + 2;
        let fits = place.highest().0 + 1 == version;
        if !fits && self.variant != SpreadVariant::NoCas {
            return false;
        }
        let slot = &mut place.store[usize::from(version)];
        place.doubled |= *slot != 0 && *slot != content;
        *slot = content;
        true
    }

    fn take(&self, place: &mut SpreadPlace, i: usize, seen: (u8, u8)) {
        let held = place.held[i];
        let newer = compare_heads(held.map(head), head(seen)) == HeadOrder::Newer;
        let any = self.variant == SpreadVariant::TakesAny && held != Some(seen);
        if !newer && !any {
            return;
        }
        place.reverted |= held.is_some_and(|held| seen.0 <= held.0);
        place.held[i] = Some(seen);
    }

    fn settle(&self, place: &mut SpreadPlace, operator: usize, version: u8) {
        let found = place.store[usize::from(version)];
        place.rolls[operator] = if found == operator as u8 + 2 {
            Roll::Applied(version)
        } else if found != 0 {
            Roll::Conflict(version)
        } else if self.variant == SpreadVariant::ReadIsFinal {
            Roll::Failed(version)
        } else {
            // The version is still free, and the write may yet arrive: it stays unknown.
            Roll::Lost(version)
        };
    }

    fn operator_moves(&self, place: &SpreadPlace, o: usize) -> Vec<SpreadMove> {
        let mut moves = match place.rolls[o] {
            Roll::Idle => vec![SpreadMove::Send(o)],
            Roll::Sent(_) => {
                vec![SpreadMove::Answer(o), SpreadMove::LoseAnswer(o), SpreadMove::Delay(o)]
            }
            Roll::Lost(_) => vec![SpreadMove::Settle(o)],
            _ => Vec::new(),
        };
        if place.wires[o].is_some() {
            moves.extend([SpreadMove::Arrive(o), SpreadMove::Vanish(o)]);
        }
        moves
    }

    fn entry_moves(&self, place: &SpreadPlace, i: usize) -> Vec<SpreadMove> {
        let mut moves = Vec::new();
        if place.reaches_store(i) {
            moves.push(SpreadMove::Watch(i));
        }
        for j in 0..ENTRIES {
            let told = place.held[j].is_some() && self.variant != SpreadVariant::NoGossip;
            if i != j && told && place.linked(i, j) {
                moves.push(SpreadMove::Gossip(j, i));
            }
        }
        if place.faults < self.faults {
            moves.push(SpreadMove::Restart(i));
            // One entry VM in each data centre still polls the store.
            if i != 0 {
                moves.push(SpreadMove::Silence(i));
            }
        }
        moves
    }

    fn apply(&self, place: &SpreadPlace, step: SpreadMove) -> SpreadPlace {
        let mut next = place.clone();
        let lost = |version| match self.variant {
            SpreadVariant::LostIsFailed => Roll::Failed(version),
            _ => Roll::Lost(version),
        };
        match step {
            SpreadMove::Send(o) => next.rolls[o] = Roll::Sent(place.highest().0 + 1),
            SpreadMove::Answer(o) | SpreadMove::LoseAnswer(o) => {
                let Roll::Sent(version) = place.rolls[o] else { return next };
                let won = self.write(&mut next, o, version);
                next.rolls[o] = match (step, won) {
                    (SpreadMove::LoseAnswer(_), _) => lost(version),
                    (_, true) => Roll::Applied(version),
                    (_, false) => Roll::Conflict(version),
                };
            }
            SpreadMove::Delay(o) => {
                let Roll::Sent(version) = place.rolls[o] else { return next };
                next.wires[o] = Some(version);
                next.rolls[o] = lost(version);
            }
            SpreadMove::Arrive(o) => {
                let Some(version) = next.wires[o].take() else { return next };
                self.write(&mut next, o, version);
            }
            SpreadMove::Vanish(o) => next.wires[o] = None,
            SpreadMove::Settle(o) => {
                let Roll::Lost(version) = place.rolls[o] else { return next };
                self.settle(&mut next, o, version);
            }
            SpreadMove::Watch(i) => self.take(&mut next, i, place.highest()),
            SpreadMove::Gossip(from, to) => {
                let Some(seen) = place.held[from] else { return next };
                self.take(&mut next, to, seen);
            }
            SpreadMove::Restart(i) => {
                next.held[i] = None;
                next.faults += 1;
            }
            SpreadMove::Silence(i) => {
                next.silent[i] = true;
                next.faults += 1;
            }
            SpreadMove::Cut => {
                next.cut = !place.cut;
                next.faults += u8::from(next.cut);
            }
        }
        next
    }

    /// Whether nothing more can be learnt, with no cut left.
    fn settled(&self, place: &SpreadPlace) -> bool {
        if place.cut {
            return false;
        }
        for i in 0..ENTRIES {
            for step in self.entry_moves(place, i) {
                let learns = matches!(step, SpreadMove::Watch(_) | SpreadMove::Gossip(..));
                if learns && self.apply(place, step) != *place {
                    return false;
                }
            }
        }
        true
    }
}

impl Model for SpreadModel {
    type State = SpreadPlace;
    type Action = SpreadMove;

    fn start(&self) -> SpreadPlace {
        SpreadPlace {
            store: [0, 1, 0, 0],
            doubled: false,
            rolls: [Roll::Idle; OPERATORS],
            wires: [None; OPERATORS],
            held: [Some((1, 1)); ENTRIES],
            reverted: false,
            silent: [false; ENTRIES],
            cut: false,
            faults: 0,
        }
    }

    fn steps(&self, place: &SpreadPlace) -> Vec<(SpreadMove, SpreadPlace)> {
        let mut moves = Vec::new();
        for o in 0..OPERATORS {
            moves.extend(self.operator_moves(place, o));
        }
        for i in 0..ENTRIES {
            moves.extend(self.entry_moves(place, i));
        }
        if place.cut || place.faults < self.faults {
            moves.push(SpreadMove::Cut);
        }
        let mut steps = Vec::new();
        for step in moves {
            let next = self.apply(place, step);
            if next != *place {
                steps.push((step, next));
            }
        }
        steps
    }

    fn broken(&self, place: &SpreadPlace) -> Option<&'static str> {
        if place.doubled {
            return Some("a version has one content");
        }
        if place.reverted {
            return Some("an entry VM never goes back while it runs");
        }
        for (o, roll) in place.rolls.iter().enumerate() {
            let content = o as u8 + 2;
            match roll {
                Roll::Failed(version) | Roll::Conflict(version)
                    if place.store[usize::from(*version)] == content =>
                {
                    return Some("a roll that took effect is not reported as failed");
                }
                Roll::Applied(version) if place.store[usize::from(*version)] != content => {
                    return Some("a roll that is reported as applied took effect");
                }
                _ => {}
            }
        }
        let highest = Some(place.highest());
        if self.settled(place) && place.held.iter().any(|held| *held != highest) {
            return Some("after healing all entry VMs reach the highest version");
        }
        None
    }
}
