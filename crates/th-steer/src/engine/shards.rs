//! The shards of this data centre's capacity: which of them this VM owns, and how it comes to own them.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, VmId};

use super::ShardAction;
use crate::limit::{Answer, ShardClaim, ShardSlot};

/// One shard, and the call about it that is under way.
#[derive(Debug, Clone, Default)]
struct Row {
    slot: ShardSlot,
    /// The claim as last read.
    found: Option<(ShardClaim, Revision)>,
    /// Given up at this time; the claim is removed once work from before has ended.
    given: Option<Time>,
    busy: bool,
    read: Option<Time>,
}

/// The shards of one data centre, as one VM sees them.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    me: ShardClaim,
    rows: Vec<Row>,
    /// The platform's list of VMs; no shard is taken over before it was read.
    listed: Option<BTreeSet<VmId>>,
}

impl Shards {
    pub(crate) fn new(me: ShardClaim) -> Shards {
        Shards { me, rows: Vec::new(), listed: None }
    }

    /// Sets the number of shards.
    pub(crate) fn resize(&mut self, count: u32) {
        self.rows.resize_with(count as usize, Row::default);
    }

    pub(crate) fn on_list(&mut self, listed: BTreeSet<VmId>) {
        self.listed = Some(listed);
    }

    pub(crate) fn count(&self) -> u32 {
        self.rows.len() as u32
    }

    /// The shards whose share this VM may spend.
    pub(crate) fn usable(&self, now: Time) -> Vec<u32> {
        let mut usable = Vec::new();
        for (i, row) in (0..).zip(&self.rows) {
            if row.given.is_none() && row.slot.usable(now) {
                usable.push(i);
            }
        }
        usable
    }

    /// Whether this VM owns a shard, usable yet or not.
    fn owned(&self) -> usize {
        let owns = |row: &&Row| row.given.is_none() && matches!(row.slot, ShardSlot::Owned(_));
        self.rows.iter().filter(owns).count()
    }

    /// The calls that are due: claims of shards that nobody owns, and the return of shards that
    /// live VMs of the data centre lack.
    pub(crate) fn tick(
        &mut self,
        live: &BTreeSet<VmId>,
        period: Millis,
        deadline: Millis,
        now: Time,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.give_up(live, now);
        let first = self.first();
        for step in 0..self.rows.len() {
            let i = (first + step) % self.rows.len();
            let row = &mut self.rows[i];
            if row.busy {
                continue;
            }
            if let Some(action) = remove(i as u32, row, deadline, now) {
                actions.push(action);
                continue;
            }
            let waits = row.read.is_some_and(|at| now < at.after(period));
            if waits || row.given.is_some() {
                continue;
            }
            row.busy = true;
            row.read = Some(now);
            actions.push(ShardAction::Read(i as u32));
        }
        actions
    }

    /// The shard to try first: spread by name, so that VMs that start together seldom collide.
    fn first(&self) -> usize {
        let sum: usize = self.me.vm.as_str().bytes().map(usize::from).sum();
        sum % self.rows.len().max(1)
    }

    /// Gives one shard up where this VM owns several and another live VM owns none.
    fn give_up(&mut self, live: &BTreeSet<VmId>, now: Time) {
        if self.owned() < 2 {
            return;
        }
        let mut owners = BTreeSet::from([&self.me.vm]);
        for row in &self.rows {
            if let Some((claim, _)) = &row.found {
                owners.insert(&claim.vm);
            }
        }
        let lacking = live.iter().any(|vm| !owners.contains(vm));
        let under_way = self.rows.iter().any(|row| row.given.is_some());
        if !lacking || under_way {
            return;
        }
        let owned = |row: &&mut Row| matches!(row.slot, ShardSlot::Owned(_));
        if let Some(row) = self.rows.iter_mut().rev().find(owned) {
            row.given = Some(now);
        }
    }

    /// Takes the claim of a shard as it was read; `None` where the read failed. Gives the write
    /// that is due.
    pub(crate) fn on_read(
        &mut self,
        index: u32,
        read: Option<Option<(ShardClaim, Revision)>>,
        wants_more: bool,
        deadline: Millis,
        now: Time,
    ) -> Option<ShardAction> {
        let owned = self.owned();
        let row = self.rows.get_mut(index as usize)?;
        row.busy = false;
        let found = read?;
        row.found = found.clone();
        let claim = found.as_ref().map(|(claim, revision)| (claim, *revision));
        let mine = claim.is_some_and(|(claim, _)| *claim == self.me);
        // A claim that this VM has given up is its own until it is removed.
        if row.given.is_some() {
            return None;
        }
        let enough = 0 < owned && !wants_more;
        if !mine && enough {
            row.slot = ShardSlot::Other;
            return None;
        }
        let empty = BTreeSet::new();
        let taken = claim.is_some_and(|(claim, _)| claim.vm != self.me.vm);
        if taken && self.listed.is_none() {
            return None;
        }
        let listed = self.listed.as_ref().unwrap_or(&empty);
        let expected = row.slot.on_read(claim, &self.me, listed, deadline, now)?;
        row.busy = true;
        Some(ShardAction::Write(index, expected, Some(self.me.clone())))
    }

    /// Takes how a write ended.
    pub(crate) fn on_write(
        &mut self,
        index: u32,
        answer: &Answer<Revision>,
        deadline: Millis,
        now: Time,
    ) {
        let Some(row) = self.rows.get_mut(index as usize) else {
            return;
        };
        row.busy = false;
        row.read = None;
        if row.given.is_none() {
            row.slot.on_write(answer, deadline, now);
            return;
        }
        match answer {
            Answer::Applied(_) => *row = Row { read: Some(now), ..Row::default() },
            // Read anew before the next try.
            Answer::Refused | Answer::Unknown => row.found = None,
        }
    }

    /// Owners of the shards, as last read.
    pub(crate) fn owners(&self) -> BTreeMap<u32, VmId> {
        let mut owners = BTreeMap::new();
        for (i, row) in (0..).zip(&self.rows) {
            if let Some((claim, _)) = &row.found {
                owners.insert(i, claim.vm.clone());
            }
        }
        owners
    }
}

/// The removal of a claim that was given up long enough ago.
fn remove(index: u32, row: &mut Row, deadline: Millis, now: Time) -> Option<ShardAction> {
    let given = row.given?;
    if now < given.after(deadline) {
        return None;
    }
    row.busy = true;
    let Some((_, revision)) = &row.found else {
        return Some(ShardAction::Read(index));
    };
    Some(ShardAction::Write(index, Some(*revision), None))
}
