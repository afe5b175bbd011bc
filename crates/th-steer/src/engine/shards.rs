//! The shards of this data centre's capacity: which of them this VM owns, and how it comes to own them.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, VmId, ZoneId};

use super::ShardAction;
use crate::limit::{Answer, ShardClaim, ShardSlot};

/// Reads of all claims between two reads by a VM that has what it needs.
const SETTLED_PERIODS: u64 = 30;
/// The same for a VM that holds a shard which another VM may lack.
const EXTRA_PERIODS: u64 = 5;

/// One shard, and the write of its claim that is under way.
#[derive(Debug, Clone, Default)]
struct ShardRow {
    slot: ShardSlot,
    /// The claim as last read.
    last_claim: Option<(ShardClaim, Revision)>,
    /// Given up at this time; the claim is removed once work from before has ended.
    relinquished: Option<Time>,
    is_writing: bool,
}

/// The claims of a data centre's shards, as one read brought them.
pub type Claims = BTreeMap<u32, (ShardClaim, Revision)>;

/// What is decided from, besides the claims.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardRules {
    /// Time between reads while a shard is wanted.
    pub(crate) period: Millis,
    /// The longest deadline of any operation.
    pub(crate) max_deadline: Millis,
    /// Whether more than one shard is wanted, since the data centre has fewer VMs than shards.
    pub(crate) wants_extra: bool,
}

/// The shards of one data centre, as one VM sees them.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    me: ShardClaim,
    rows: Vec<ShardRow>,
    /// The platform's list of VMs; no shard is taken over before it was read.
    listed: Option<BTreeSet<VmId>>,
    is_reading: bool,
    last_read: Option<Time>,
}

impl Shards {
    pub(crate) fn new(me: ShardClaim) -> Shards {
        Shards { me, rows: Vec::new(), listed: None, is_reading: false, last_read: None }
    }

    /// Sets the number of shards.
    pub(crate) fn resize(&mut self, count: u32) {
        if count as usize != self.rows.len() {
            self.last_read = None;
        }
        self.rows.resize_with(count as usize, ShardRow::default);
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
            if row.relinquished.is_none() && row.slot.usable(now) {
                usable.push(i);
            }
        }
        usable
    }

    /// The number of shards that this VM owns, usable yet or not.
    fn owned(&self) -> usize {
        let owns =
            |row: &&ShardRow| row.relinquished.is_none() && matches!(row.slot, ShardSlot::Owned(_));
        self.rows.iter().filter(owns).count()
    }

    /// The calls that are due: a read of the claims, and the removal of those given up.
    pub(crate) fn tick(
        &mut self,
        zone: &ZoneId,
        live: &BTreeSet<VmId>,
        rules: ShardRules,
        now: Time,
    ) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.relinquish_extra(live, now);
        for (i, row) in (0..).zip(&mut self.rows) {
            actions.extend(removal(zone, i, row, rules.max_deadline, now));
        }
        if self.read_due(rules, now) {
            self.is_reading = true;
            self.last_read = Some(now);
            actions.push(ShardAction::Read(zone.clone()));
        }
        actions
    }

    fn read_due(&self, rules: ShardRules, now: Time) -> bool {
        if self.is_reading || self.rows.is_empty() {
            return false;
        }
        let unsettled = self.rows.iter().any(|row| matches!(row.slot, ShardSlot::Claiming { .. }));
        let periods = match self.owned() {
            0 => 1,
            _ if unsettled => 1,
            1 if !rules.wants_extra => SETTLED_PERIODS,
            _ => EXTRA_PERIODS,
        };
        let wait = Millis(rules.period.0.saturating_mul(periods));
        self.last_read.is_none_or(|at| at.after(wait) <= now)
    }

    /// Gives one shard up where this VM owns several and another live VM owns none.
    fn relinquish_extra(&mut self, live: &BTreeSet<VmId>, now: Time) {
        if self.owned() < 2 {
            return;
        }
        let mut owners = BTreeSet::from([&self.me.vm]);
        for row in &self.rows {
            if let Some((claim, _)) = &row.last_claim {
                owners.insert(&claim.vm);
            }
        }
        let lacking = live.iter().any(|vm| !owners.contains(vm));
        let under_way = self.rows.iter().any(|row| row.relinquished.is_some());
        if !lacking || under_way {
            return;
        }
        let owned = |row: &&mut ShardRow| matches!(row.slot, ShardSlot::Owned(_));
        if let Some(row) = self.rows.iter_mut().rev().find(owned) {
            row.relinquished = Some(now);
        }
    }

    /// Spends nothing more before the claims are read again: this VM was paused, or the platform
    /// no longer lists it, so that another may have taken over.
    pub(crate) fn require_reread(&mut self) {
        for row in &mut self.rows {
            if matches!(row.slot, ShardSlot::Owned(_)) {
                row.slot = ShardSlot::Claiming { taken: false };
            }
        }
        self.last_read = None;
    }

    /// Whether the claims must still be looked after: one may be this VM's, or is not yet given
    /// back, or they were never read, so that one of an earlier start may stand there.
    pub(crate) fn is_open(&self) -> bool {
        let open = |row: &ShardRow| row.relinquished.is_some() || row.slot != ShardSlot::Other;
        self.last_read.is_none() || self.rows.iter().any(open)
    }

    /// Takes the claims of a data centre whose shards are not wanted. One of this VM, from an
    /// earlier start or from a write whose answer was lost, is given up.
    pub(crate) fn on_unwanted_read(&mut self, read: Option<&Claims>, now: Time) {
        self.is_reading = false;
        let Some(claims) = read else {
            return;
        };
        for (i, row) in (0..).zip(&mut self.rows) {
            if row.is_writing || row.relinquished.is_some() {
                continue;
            }
            row.last_claim = claims.get(&i).cloned();
            let mine = row.last_claim.as_ref().is_some_and(|(claim, _)| claim.vm == self.me.vm);
            row.relinquished = mine.then_some(now);
            row.slot = ShardSlot::Other;
        }
    }

    /// Gives every shard up, since the data centre has entry VMs of its own again.
    pub(crate) fn relinquish_all(&mut self, now: Time) {
        for row in &mut self.rows {
            if row.relinquished.is_none() && matches!(row.slot, ShardSlot::Owned(_)) {
                row.relinquished = Some(now);
            }
        }
    }

    /// Gives every shard up, since this VM stops and has nothing in flight. Gives the writes.
    pub(crate) fn remove_claims(&mut self, zone: &ZoneId) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        for (i, row) in (0..).zip(&mut self.rows) {
            let Some((claim, revision)) = &row.last_claim else {
                continue;
            };
            if *claim == self.me {
                actions.push(ShardAction::Write(zone.clone(), i, Some(*revision), None));
            }
            row.relinquished = Some(Time::ZERO);
            row.is_writing = true;
        }
        actions
    }

    /// Takes the claims as they were read; `None` where the read failed. Gives the writes that
    /// are due.
    pub(crate) fn on_read(
        &mut self,
        zone: &ZoneId,
        read: Option<&Claims>,
        rules: ShardRules,
        now: Time,
    ) -> Vec<ShardAction> {
        self.is_reading = false;
        let Some(claims) = read else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let first = self.first_index();
        for offset in 0..self.rows.len() {
            let index = (first + offset) % self.rows.len();
            let found = claims.get(&(index as u32));
            let Some(expected) = self.on_claim(index, found, rules, now) else {
                continue;
            };
            let claim = Some(self.me.clone());
            actions.push(ShardAction::Write(zone.clone(), index as u32, expected, claim));
        }
        actions
    }

    /// The shard to try first: spread by name, so that VMs that start together seldom collide.
    fn first_index(&self) -> usize {
        let sum: usize = self.me.vm.as_str().bytes().map(usize::from).sum();
        sum % self.rows.len().max(1)
    }

    /// The revision over which to write a claim of this VM, if that is due.
    fn on_claim(
        &mut self,
        index: usize,
        found: Option<&(ShardClaim, Revision)>,
        rules: ShardRules,
        now: Time,
    ) -> Option<Option<Revision>> {
        let held = self.owned() + self.rows.iter().filter(|it| it.is_writing).count();
        let row = &mut self.rows[index];
        if row.is_writing {
            return None;
        }
        row.last_claim = found.cloned();
        // A claim that this VM has given up is its own until it is removed.
        if row.relinquished.is_some() {
            return None;
        }
        let claim = found.map(|(claim, revision)| (claim, *revision));
        let mine = claim.is_some_and(|(claim, _)| *claim == self.me);
        let enough = 0 < held && !rules.wants_extra;
        if !mine && enough {
            row.slot = ShardSlot::Other;
            return None;
        }
        let foreign = claim.is_some_and(|(claim, _)| claim.vm != self.me.vm);
        if foreign && self.listed.is_none() {
            return None;
        }
        let none = BTreeSet::new();
        let listed = self.listed.as_ref().unwrap_or(&none);
        let expected = row.slot.on_read(claim, &self.me, listed, rules.max_deadline, now)?;
        row.is_writing = true;
        Some(expected)
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
        row.is_writing = false;
        if row.relinquished.is_some() {
            match answer {
                Answer::Applied(_) => *row = ShardRow::default(),
                // Read anew before the next try.
                Answer::Refused | Answer::Unknown => row.last_claim = None,
            }
            return;
        }
        row.slot.on_write(answer, deadline, now);
        if let Answer::Applied(revision) = answer {
            row.last_claim = Some((self.me.clone(), *revision));
        }
    }

    /// Owners of the shards, as last read.
    pub(crate) fn owners(&self) -> BTreeMap<u32, VmId> {
        let mut owners = BTreeMap::new();
        for (i, row) in (0..).zip(&self.rows) {
            if let Some((claim, _)) = &row.last_claim {
                owners.insert(i, claim.vm.clone());
            }
        }
        owners
    }
}

/// The removal of a claim that was given up long enough ago.
fn removal(
    zone: &ZoneId,
    index: u32,
    row: &mut ShardRow,
    deadline: Millis,
    now: Time,
) -> Option<ShardAction> {
    let since = row.relinquished?;
    if row.is_writing || now < since.after(deadline) {
        return None;
    }
    let (_, revision) = row.last_claim.as_ref()?;
    row.is_writing = true;
    Some(ShardAction::Write(zone.clone(), index, Some(*revision), None))
}
