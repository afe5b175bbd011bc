//! News that is passed on a bounded number of times.

use std::collections::BTreeMap;

use th_protocol::VmId;

/// VMs whose records changed lately, and how often each is still to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    left: BTreeMap<VmId, u32>,
}

impl Rumors {
    /// Starts, or starts again, to pass on a VM's record.
    pub(crate) fn add(&mut self, vm: &VmId, times: u32) {
        self.left.insert(vm.clone(), times);
    }

    /// The VMs whose records go on the next message, least spread first.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<VmId> {
        if self.left.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, VmId)> = Vec::with_capacity(self.left.len());
        for (vm, left) in &self.left {
            order.push((*left, vm.clone()));
        }
        order.sort_by(|a, b| b.cmp(a));
        order.truncate(limit);
        let mut taken = Vec::with_capacity(order.len());
        for (left, vm) in order {
            if left <= 1 {
                self.left.remove(&vm);
            } else {
                self.left.insert(vm.clone(), left - 1);
            }
            taken.push(vm);
        }
        taken
    }
}
