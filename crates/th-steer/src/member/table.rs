//! The records of all known entry VMs, and the order in which they get heartbeats.

use std::collections::BTreeMap;

use rand::{Rng, seq::SliceRandom};
use th_protocol::{Incarnation, MemberState, PeerRecord, Time, VmId};

use super::Seed;

#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) record: PeerRecord,
    /// When the record last changed on this VM, or when its suspicion was restarted.
    pub(crate) since: Time,
    /// Whether the last list of VMs contained it.
    pub(crate) listed: bool,
}

/// What merging a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// Nothing: the known record takes precedence or is the same, or an unknown VM is dead.
    Ignored,
    /// Only the incarnation of a VM that was known just from the platform's list.
    IncarnationLearned,
    /// The VM is new, or its record was replaced by a newer one.
    Changed,
}

/// The records of all known entry VMs except this one.
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

    /// Merges a record if it takes precedence over the known one. A record of an unknown VM that is
    /// dead is ignored.
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

    /// Changes the state of a VM to a later one, in the order of [`MemberState`]. Returns whether
    /// it changed.
    pub(crate) fn set_state(&mut self, vm: &VmId, state: MemberState, now: Time) -> bool {
        let Some(row) = self.rows.get_mut(vm) else { return false };
        if state <= row.record.state {
            return false;
        }
        row.record.state = state;
        row.since = now;
        true
    }

    /// Starts all suspicions anew at `now`, after a pause of this process.
    pub(crate) fn restart_suspicions(&mut self, now: Time) {
        for row in self.rows.values_mut() {
            if row.record.state == MemberState::Suspect {
                row.since = now;
            }
        }
    }

    /// Applies the platform's list: adds unknown VMs and removes dead ones that are no longer
    /// listed.
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
                // Unknown until a record of the VM itself arrives.
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

    /// Removes the rows for which `keep` is false.
    pub(crate) fn prune(&mut self, keep: impl Fn(&Row) -> bool) {
        let before = self.rows.len();
        self.rows.retain(|_, row| keep(row));
        if self.rows.len() < before {
            self.order.retain(|vm| self.rows.contains_key(vm));
        }
    }

    /// Returns the next VM in turn that is not dead.
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

    /// Returns the first VM from a random position on for which `fits` is true.
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

    /// Returns the next `count` records in turn, to fill up a message.
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
