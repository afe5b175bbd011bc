//! The source from which a VM receives the store's changes.

use std::{cmp::Reverse, collections::BTreeMap};

use th_protocol::{Millis, Time, VmId};

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

    /// Chooses among the registered VMs of the data centre: the first one in the common order that has not failed
    /// lately. The first VM of all, and one that finds all before it failed, ask the store.
    pub fn choose(&mut self, vms: &[VmId], now: Time) -> Source {
        self.failures.retain(|_, at| now < at.after(RETRY_INTERVAL));
        let mut order: Vec<(Reverse<u64>, &VmId)> = Vec::with_capacity(vms.len());
        for vm in vms {
            order.push((Reverse(mix(hash_name(vm.as_str()))), vm));
        }
        order.sort_unstable();
        for (_, vm) in order {
            if *vm == self.own {
                break;
            }
            if !self.failures.contains_key(vm) {
                return Source::Peer(vm.clone());
            }
        }
        Source::Store
    }

    /// Handles a VM that did not answer in time, or whose changes were not current.
    pub fn on_failure(&mut self, vm: VmId, now: Time) {
        self.failures.insert(vm, now);
    }
}
