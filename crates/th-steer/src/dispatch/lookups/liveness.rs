//! Which entry VMs look-ups leave out after an outage of the store.
//!
//! Handles VMs that die while the store is away. Leases may pause meanwhile, so their entries say for seconds after the store's
//! return that they are alive. Readiness probes tell, unless this VM is cut off from the others itself.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::VmId;

use super::super::{dispatcher::Dispatcher, record::EntryRecord};
use crate::route::{hash_name, mix};

/// Maximum number of VMs that a VM probes. It probes the nearest ones, which its look-ups return most; in larger fleets the
/// others stay in its answers until their leases end.
const MAX_PROBED: usize = 128;
/// Number of VMs that must be silent, with no other answering, for the probing VM to take itself for cut off.
const MIN_SILENT: usize = 2;

/// What probes of a VM have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It answered, ready or not.
    Answered,
    /// Its machine refused the connection.
    Refused,
    /// Nothing came back in time.
    Silent,
}

/// The VMs that did not respond to probes.
pub fn unresponsive_vms(signs: &BTreeMap<VmId, Sign>) -> BTreeSet<VmId> {
    let is_cut_off =
        MIN_SILENT <= signs.len() && signs.values().all(|it| matches!(it, Sign::Silent));
    let mut found = BTreeSet::new();
    for (vm, sign) in signs {
        if *sign != Sign::Answered && !is_cut_off {
            found.insert(vm.clone());
        }
    }
    found
}

impl Dispatcher {
    /// The other registered VMs to probe, the nearest first.
    pub fn vms_to_probe(&self) -> Vec<EntryRecord> {
        let region = self.region_of(&self.zone);
        let own = hash_name(self.vm.as_str());
        let mut ranked = Vec::new();
        for entry in self.entries.values().filter(|it| it.vm != self.vm) {
            let distance = usize::from(entry.zone != self.zone)
                + usize::from(self.region_of(&entry.zone) != region);
            // Differs from VM to VM, so that all are probed by some.
            let turn = mix(own ^ hash_name(entry.vm.as_str()));
            ranked.push((distance, turn, entry));
        }
        ranked.sort_by_key(|it| (it.0, it.1));
        ranked.into_iter().take(MAX_PROBED).map(|it| it.2.clone()).collect()
    }

    /// Sets whether a registered VM responds to probes. Look-ups leave out one that does not.
    pub fn set_responsive(&mut self, vm: &VmId, responsive: bool) {
        if responsive {
            self.unresponsive.remove(vm);
        } else if self.entries.contains_key(vm) {
            self.unresponsive.insert(vm.clone());
        }
    }

    /// The registered VMs that did not respond to probes.
    pub fn unresponsive(&self) -> &BTreeSet<VmId> {
        &self.unresponsive
    }

    /// The entry VMs that look-ups may return.
    pub(crate) fn responsive_entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.values().filter(|it| !self.unresponsive.contains(&it.vm))
    }
}
