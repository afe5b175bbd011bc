//! The source from which a VM receives the store's changes.

use std::{cmp::Reverse, collections::BTreeMap};

use th_protocol::{Mbit, Millis, Time, VmId};

use crate::route::{hash_name, mix};

/// Time for which a VM that failed as a source is not asked.
const RETRY_INTERVAL: Millis = Millis(5_000);

/// Where to ask for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another entry VM.
    Peer(VmId),
}

/// Chooses the source of a VM.
#[derive(Debug)]
pub struct Upstream {
    own: VmId,
    /// VMs that failed as sources, and when.
    failures: BTreeMap<VmId, Time>,
}

impl Upstream {
    /// Creates the choice of a VM.
    pub fn new(own: VmId) -> Upstream {
        Upstream { own, failures: BTreeMap::new() }
    }

    /// Chooses among the registered VMs of the data centre, with the capacities of their links as far as known: the first
    /// one in the common order that has not failed lately. The first VM of all, and one that finds all before it failed,
    /// ask the store.
    pub fn choose(&mut self, vms: &BTreeMap<VmId, Option<Mbit>>, now: Time) -> Source {
        let order = self.order(vms, now);
        let before = order.into_iter().take_while(|it| **it != self.own);
        match self.first_sound(before) {
            Some(vm) => Source::Peer(vm),
            None => Source::Store,
        }
    }

    /// Chooses whom to ask for what the store has while this VM cannot reach it: any other VM that has not failed lately.
    pub fn choose_other(&mut self, vms: &BTreeMap<VmId, Option<Mbit>>, now: Time) -> Option<VmId> {
        let order = self.order(vms, now);
        self.first_sound(order.into_iter().filter(|it| **it != self.own))
    }

    fn first_sound<'a>(&self, mut vms: impl Iterator<Item = &'a VmId>) -> Option<VmId> {
        vms.find(|it| !self.failures.contains_key(*it)).cloned()
    }

    /// The common order of VMs: a large change reaches the others soonest by the one with the widest link. Also forgets
    /// failures of long ago.
    fn order<'a>(&mut self, vms: &'a BTreeMap<VmId, Option<Mbit>>, now: Time) -> Vec<&'a VmId> {
        self.failures.retain(|_, at| now < at.after(RETRY_INTERVAL));
        let mut order: Vec<_> = vms.iter().collect();
        order.sort_by_key(|(vm, link)| (Reverse(**link), Reverse(mix(hash_name(vm.as_str())))));
        order.into_iter().map(|(vm, _)| vm).collect()
    }

    /// Handles a VM that did not answer in time, or whose changes were not current.
    pub fn on_failure(&mut self, vm: VmId, now: Time) {
        self.failures.insert(vm, now);
    }
}
