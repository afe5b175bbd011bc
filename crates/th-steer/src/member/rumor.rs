//! News that is passed on a bounded number of times.

use std::collections::BTreeMap;

use th_protocol::VmId;

/// VMs whose records changed lately, and how often each is still to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    remaining: BTreeMap<VmId, u32>,
}

impl Rumors {
    /// Starts, or starts again, to pass on a VM's record.
    pub(crate) fn add(&mut self, vm: &VmId, repeats: u32) {
        self.remaining.insert(vm.clone(), repeats);
    }

    /// The VMs whose records go on the next message, least spread first.
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
