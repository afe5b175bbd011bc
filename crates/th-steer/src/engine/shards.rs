//! The shards of a data centre's capacity: which of them this VM owns, and how it claims and relinquishes them.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, VmId, ZoneId};

use super::ShardAction;
use crate::limit::{Answer, ShardClaim, ShardSlot};

/// Periods between two reads of all claims by a VM that owns as many shards as it needs.
const SETTLED_PERIODS: u64 = 30;
/// Periods between two reads by a VM that owns an extra shard, which another VM may need.
const EXTRA_PERIODS: u64 = 5;

/// One shard and the state of its claim.
#[derive(Debug, Clone, Default)]
struct ShardRow {
    slot: ShardSlot,
    /// The claim as last read, with its revision.
    last_claim: Option<(ShardClaim, Revision)>,
    /// When this VM relinquished the shard. Its claim is removed once the requests dispatched before
    /// then have ended.
    relinquished: Option<Time>,
    /// Whether a write of the claim is in progress.
    is_writing: bool,
}

/// The claims of a data centre's shards by index, as one read returned them.
pub type Claims = BTreeMap<u32, (ShardClaim, Revision)>;

/// Inputs of the decisions about shards other than their claims.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShardRules {
    /// Time between reads while this VM needs a shard.
    pub(crate) period: Millis,
    /// The longest deadline of any operation.
    pub(crate) max_deadline: Millis,
    /// Whether this VM is to own more than one shard: the data centre has fewer VMs than shards, or its
    /// shards are being adopted.
    pub(crate) wants_extra: bool,
}

/// The shards of one data centre, as known to one VM.
#[derive(Debug, Clone)]
pub(crate) struct Shards {
    me: ShardClaim,
    rows: Vec<ShardRow>,
    /// The platform's list of VMs. No shard of another VM is claimed before the list has been read.
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

    pub(crate) fn on_vm_list(&mut self, listed: BTreeSet<VmId>) {
        self.listed = Some(listed);
    }

    pub(crate) fn count(&self) -> u32 {
        self.rows.len() as u32
    }

    /// The shards whose share this VM may use.
    pub(crate) fn usable(&self, now: Time) -> Vec<u32> {
        let mut usable = Vec::new();
        for (i, row) in (0..).zip(&self.rows) {
            if row.relinquished.is_none() && row.slot.usable(now) {
                usable.push(i);
            }
        }
        usable
    }

    /// The number of shards that this VM owns, including those not yet usable.
    fn owned(&self) -> usize {
        let owns =
            |row: &&ShardRow| row.relinquished.is_none() && matches!(row.slot, ShardSlot::Owned(_));
        self.rows.iter().filter(owns).count()
    }

    /// Returns the calls that are due: a read of the claims, and the removal of relinquished ones.
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

    /// Relinquishes one shard if this VM owns several and another live VM owns none.
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

    /// Stops using the shards until the claims have been read again: this VM was paused, or the platform
    /// no longer lists it, so that another VM may have taken them over.
    pub(crate) fn require_reread(&mut self) {
        for row in &mut self.rows {
            if matches!(row.slot, ShardSlot::Owned(_)) {
                row.slot = ShardSlot::Claiming { had_owner: false };
            }
        }
        self.last_read = None;
    }

    /// Whether claims may still have to be removed: one may belong to this VM, or is relinquished but not
    /// yet removed, or they were never read and may include one of an earlier start of this VM.
    pub(crate) fn is_open(&self) -> bool {
        let open = |row: &ShardRow| row.relinquished.is_some() || row.slot != ShardSlot::Other;
        self.last_read.is_none() || self.rows.iter().any(open)
    }

    /// Handles the claims of a data centre whose shards this VM does not need. A claim of this VM, from
    /// an earlier start or from a write whose answer was lost, is relinquished.
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

    /// Relinquishes every shard, as the data centre has entry VMs of its own again.
    pub(crate) fn relinquish_all(&mut self, now: Time) {
        for row in &mut self.rows {
            if row.relinquished.is_none() && matches!(row.slot, ShardSlot::Owned(_)) {
                row.relinquished = Some(now);
            }
        }
    }

    /// Relinquishes every shard at once, as this VM is stopping and has no request in flight. Returns the
    /// writes that remove the claims.
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

    /// Handles the claims as read, or `None` if the read failed. Returns the writes that are due.
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

    /// The first shard that this VM tries to claim. It depends on the VM's name, so that VMs that start
    /// at the same time seldom collide.
    fn first_index(&self) -> usize {
        let sum: usize = self.me.vm.as_str().bytes().map(usize::from).sum();
        sum % self.rows.len().max(1)
    }

    /// Returns the revision that a write of this VM's claim must replace (`None` for no claim), or `None`
    /// if no write is due.
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
        // A relinquished claim still belongs to this VM until it is removed.
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

    /// Handles the result of a write.
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
                // The claim must be read again before the next attempt.
                Answer::Refused | Answer::Unknown => row.last_claim = None,
            }
            return;
        }
        row.slot.on_write(answer, deadline, now);
        if let Answer::Applied(revision) = answer {
            row.last_claim = Some((self.me.clone(), *revision));
        }
    }

    /// The owners of the shards, as last read.
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

/// Returns the removal of a claim that was relinquished at least `deadline` ago.
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
