//! The records of all known entry VMs, in an order for heartbeats.

use std::collections::BTreeMap;

use rand::{Rng, seq::SliceRandom};
use th_protocol::{Incarnation, MemberState, PeerRecord, Time, VmId};

use super::Seed;

#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) record: PeerRecord,
    /// When the state last changed here.
    pub(crate) since: Time,
    /// Whether the last list of VMs had it.
    pub(crate) listed: bool,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// Nothing: what is known is as new.
    Ignored,
    /// It tells the incarnation of a live VM that only the platform's list had named.
    IncarnationLearned,
    /// A VM is new, or its state or incarnation changed.
    Changed,
}

/// The records of all known entry VMs but this one.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<VmId, Row>,
    order: Vec<VmId>,
    target_index: usize,
    fill_index: usize,
    shuffled: bool,
}

impl Table {
    pub(crate) fn get(&self, vm: &VmId) -> Option<&Row> {
        self.rows.get(vm)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes a record if it replaces the one that is known. A dead VM that is not known stays
    /// unknown.
    pub(crate) fn merge(&mut self, record: &PeerRecord, now: Time) -> MergeOutcome {
        let Some(row) = self.rows.get_mut(&record.vm) else {
            if record.state == MemberState::Dead {
                return MergeOutcome::Ignored;
            }
            self.insert(record.clone(), false, now);
            return MergeOutcome::Changed;
        };
        if record.precedence() <= row.record.precedence() {
            return MergeOutcome::Ignored;
        }
        let is_seeded = row.record.incarnation == Incarnation::ZERO;
        let is_same_state = row.record.state == record.state;
        row.record = record.clone();
        row.since = now;
        if is_seeded && is_same_state {
            MergeOutcome::IncarnationLearned
        } else {
            MergeOutcome::Changed
        }
    }

    /// Changes the state of a VM; true where it did change.
    pub(crate) fn set_state(&mut self, vm: &VmId, state: MemberState, now: Time) -> bool {
        let Some(row) = self.rows.get_mut(vm) else { return false };
        if state <= row.record.state {
            return false;
        }
        row.record.state = state;
        row.since = now;
        true
    }

    /// Moves the start of each suspicion on by the length of a pause.
    pub(crate) fn restart_suspicions(&mut self, now: Time) {
        for row in self.rows.values_mut() {
            if row.record.state == MemberState::Suspect {
                row.since = now;
            }
        }
    }

    /// Takes the platform's list: adds what is new, and removes the dead that it no longer has.
    pub(crate) fn apply_vm_list(&mut self, me: &VmId, seeds: &[Seed], now: Time) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for seed in seeds {
            if seed.vm == *me {
                continue;
            }
            if let Some(row) = self.rows.get_mut(&seed.vm) {
                row.listed = true;
                continue;
            }
            let record = PeerRecord {
                vm: seed.vm.clone(),
                zone: seed.zone.clone(),
                address: seed.address,
                // Not known before the VM itself is heard.
                callers: seed.address,
                origin: Time::ZERO,
                incarnation: Incarnation::ZERO,
                beat: 0,
                state: seed.state,
            };
            self.insert(record, true, now);
        }
        self.prune(|row| row.listed || row.record.state != MemberState::Dead);
    }

    /// Removes the rows that `keep` refuses.
    pub(crate) fn prune(&mut self, keep: impl Fn(&Row) -> bool) {
        let before = self.rows.len();
        self.rows.retain(|_, row| keep(row));
        if self.rows.len() < before {
            self.order.retain(|vm| self.rows.contains_key(vm));
        }
    }

    /// The next VM in turn that is not dead.
    pub(crate) fn next_target(&mut self, rng: &mut impl Rng) -> Option<PeerRecord> {
        for _ in 0..self.order.len() {
            if self.order.len() <= self.target_index || !self.shuffled {
                self.target_index = 0;
                self.order.shuffle(rng);
                self.shuffled = true;
            }
            let row = self.rows.get(&self.order[self.target_index]);
            self.target_index += 1;
            let Some(row) = row else { continue };
            if row.record.state != MemberState::Dead {
                return Some(row.record.clone());
            }
        }
        None
    }

    /// A random VM in that state, where one is found among a few draws or by a full pass.
    pub(crate) fn random(
        &self,
        fits: impl Fn(&PeerRecord) -> bool,
        rng: &mut impl Rng,
    ) -> Option<PeerRecord> {
        if self.order.is_empty() {
            return None;
        }
        let start = rng.random_range(0..self.order.len());
        for i in 0..self.order.len() {
            let vm = &self.order[(start + i) % self.order.len()];
            let Some(row) = self.rows.get(vm) else { continue };
            if fits(&row.record) {
                return Some(row.record.clone());
            }
        }
        None
    }

    /// The next `count` records in turn, to fill up a message.
    pub(crate) fn next_records(&mut self, count: usize) -> Vec<PeerRecord> {
        let mut records = Vec::new();
        for _ in 0..count.min(self.order.len()) {
            self.fill_index = (self.fill_index + 1) % self.order.len();
            let Some(row) = self.rows.get(&self.order[self.fill_index]) else { continue };
            records.push(row.record.clone());
        }
        records
    }

    fn insert(&mut self, record: PeerRecord, listed: bool, now: Time) {
        self.order.push(record.vm.clone());
        self.rows.insert(record.vm.clone(), Row { record, since: now, listed });
    }
}
