//! Shards that this VM is to own: one of its own data centre, and those of data centres without entry VMs.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Millis, Revision, Time, VmId, VmRecord, VmRole, VmState, ZoneId};

use super::{
    Claims, Engine, ShardAction,
    capacity::Capacity,
    shards::{ShardRules, Shards},
};
use crate::limit::Answer;

/// Live entry VMs of each data centre, according to the platform's list.
pub(crate) type Listed = BTreeMap<ZoneId, BTreeSet<VmId>>;

/// Groups the live entry VMs of the platform's list by data centre.
pub(crate) fn listed(list: &[VmRecord]) -> Listed {
    let mut listed = Listed::new();
    for it in list {
        if it.role == VmRole::Entry && it.state == VmState::Live {
            listed.entry(it.zone.clone()).or_default().insert(it.vm.clone());
        }
    }
    listed
}

impl Capacity {
    fn shards_of(&mut self, zone: &ZoneId) -> Option<&mut Shards> {
        if *zone == self.zone {
            return Some(&mut self.shards);
        }
        self.adopted.get_mut(zone)
    }

    fn rules(&self, wants_extra: bool) -> ShardRules {
        ShardRules { period: self.period, max_deadline: self.plan.max_deadline, wants_extra }
    }
}

impl<A: Clone> Engine<A> {
    /// Returns the shard calls that are due.
    pub(crate) fn tick_shards(&mut self, now: Time) -> Vec<ShardAction> {
        self.update_empty_zones(now);
        let live = self.live_neighbours();
        let rules = self.capacity.rules(self.has_extra_shards());
        let zone = self.me.zone.clone();
        let mut actions = self.capacity.shards.tick(&zone, &live, rules, now);
        let rules = self.capacity.rules(true);
        for zone in self.capacity.adopted.keys().cloned().collect::<Vec<_>>() {
            let adopt = self.should_adopt(&zone, now);
            let returned = self.listed.get(&zone).cloned().unwrap_or_default();
            let Some(shards) = self.capacity.adopted.get_mut(&zone) else {
                continue;
            };
            if !returned.is_empty() {
                shards.relinquish_all(now);
            }
            if adopt || shards.is_open() {
                actions.extend(shards.tick(&zone, &returned, rules, now));
            }
        }
        actions
    }

    /// Records since when each data centre of the region has had no listed entry VM.
    fn update_empty_zones(&mut self, now: Time) {
        for zone in self.capacity.adopted.keys() {
            let present = self.listed.get(zone).is_some_and(|it| !it.is_empty());
            if present || self.listed.is_empty() {
                self.empty_since.remove(zone);
            } else {
                self.empty_since.entry(zone.clone()).or_insert(now);
            }
        }
    }

    /// Whether this VM is to adopt the shards of a data centre: no entry VM has been listed there for
    /// `adopt_delay`, and this is the first listed VM of the region.
    ///
    /// The choice of one VM only saves calls to the store: if two VMs try, compare-and-swap lets one
    /// of them succeed.
    fn should_adopt(&self, zone: &ZoneId, now: Time) -> bool {
        let Some(since) = self.empty_since.get(zone) else {
            return false;
        };
        if now < since.after(self.settings.adopt_delay) {
            return false;
        }
        let mut first: Option<&VmId> = None;
        for (other, vms) in &self.listed {
            if self.capacity.plan.shards.contains_key(other) {
                first = first.into_iter().chain(vms.first()).min();
            }
        }
        first == Some(&self.me.vm)
    }

    /// Whether this data centre has fewer listed entry VMs than shards.
    fn has_extra_shards(&self) -> bool {
        let listed = self.listed.get(&self.me.zone).map_or(0, BTreeSet::len);
        0 < listed && listed < self.capacity.shards.count() as usize
    }

    /// Handles the claims of a data centre's shards, or `None` if the read failed. Returns the writes
    /// that are due.
    ///
    /// `list` must come from a call that was made after the claims were read: an earlier list may lack
    /// a VM that has claimed a shard since.
    pub fn on_shard_read(
        &mut self,
        zone: &ZoneId,
        read: Option<&Claims>,
        list: &[VmRecord],
        now: Time,
    ) -> Vec<ShardAction> {
        if read.is_some() {
            self.on_vms(list, now);
        }
        let wants_extra = if *zone == self.me.zone {
            self.has_extra_shards()
        } else {
            self.should_adopt(zone, now)
        };
        let rules = self.capacity.rules(wants_extra);
        let wanted = *zone == self.me.zone || wants_extra;
        let Some(shards) = self.capacity.shards_of(zone) else {
            return Vec::new();
        };
        let actions = if wanted {
            shards.on_read(zone, read, rules, now)
        } else {
            shards.on_unwanted_read(read, now);
            Vec::new()
        };
        self.set_allowances(now);
        actions
    }

    /// Handles the result of writing a shard's claim.
    pub fn on_shard_write(
        &mut self,
        zone: &ZoneId,
        index: u32,
        answer: &Answer<Revision>,
        now: Time,
    ) {
        let max_deadline: Millis = self.capacity.plan.max_deadline;
        if let Some(shards) = self.capacity.shards_of(zone) {
            shards.on_write(index, answer, max_deadline, now);
        }
        self.set_allowances(now);
        self.serve_queues(now);
    }

    /// Returns the writes that remove all claims of this VM. It is stopping and has no request in
    /// flight.
    pub fn release_shards(&mut self) -> Vec<ShardAction> {
        let zone = self.me.zone.clone();
        let mut actions = self.capacity.shards.remove_claims(&zone);
        for (zone, shards) in &mut self.capacity.adopted {
            actions.extend(shards.remove_claims(zone));
        }
        actions
    }
}
