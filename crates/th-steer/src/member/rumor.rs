//! Rumors: changed records that are passed on a limited number of times.

use std::collections::BTreeMap;

use th_protocol::VmId;

/// VMs whose records changed recently, and how often each is still to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    remaining: BTreeMap<VmId, u32>,
}

impl Rumors {
    /// Schedules a VM's record to be passed on `repeats` times, replacing an earlier schedule.
    pub(crate) fn add(&mut self, vm: &VmId, repeats: u32) {
        self.remaining.insert(vm.clone(), repeats);
    }

    /// Returns the VMs whose records go into the next message, those with the most repeats left
    /// first, and counts them as passed on.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<VmId> {
        if self.remaining.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, VmId)> = Vec::with_capacity(self.remaining.len());
        for (vm, remaining) in &self.remaining {
            order.push((*remaining, vm.clone()));
        }
        order.sort_by(|a, b| b.cmp(a));
        order.truncate(limit);
        let mut taken = Vec::with_capacity(order.len());
        for (remaining, vm) in order {
            if remaining <= 1 {
                self.remaining.remove(&vm);
            } else {
                self.remaining.insert(vm.clone(), remaining - 1);
            }
            taken.push(vm);
        }
        taken
    }
}
