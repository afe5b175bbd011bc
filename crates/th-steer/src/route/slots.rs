//! Even and stable distribution of keys over the entry VMs of a data centre.

use super::hash::mix;

/// Minimum number of table slots per entry VM.
const MIN_SLOTS_PER_VM: usize = 32;

/// A table that maps a key's hash to an entry VM, by the VM's index in the data centre's list.
///
/// Each slot is assigned to the VM with the highest rendezvous hash among those that have less
/// than an equal share of slots, so that no VM has more than that share, rounded up. Slots of
/// unusable VMs are then reassigned in the same way; all others keep their VM. A choice takes one
/// read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SlotTable {
    owners: Vec<u16>,
}

impl SlotTable {
    /// Builds the table for all VMs of a data centre from their salts and whether they are usable.
    pub(crate) fn new(salts: &[u64], usable: &[bool]) -> SlotTable {
        let usable_count = usable.iter().filter(|&&it| it).count();
        if usable_count == 0 {
            return SlotTable::default();
        }
        let size = (salts.len() * MIN_SLOTS_PER_VM).next_power_of_two();
        let mut slot_counts = vec![0; salts.len()];
        let mut owners = Vec::with_capacity(size);
        for slot in 0..size {
            let quota = size.div_ceil(salts.len());
            owners.push(assign_slot(slot, salts, &mut slot_counts, |vm, slot_counts| {
                slot_counts[vm] < quota
            }));
        }
        let quota = size.div_ceil(usable_count);
        for (slot, owner) in owners.iter_mut().enumerate() {
            if usable[usize::from(*owner)] {
                continue;
            }
            *owner = assign_slot(slot, salts, &mut slot_counts, |vm, slot_counts| {
                usable[vm] && slot_counts[vm] < quota
            });
        }
        SlotTable { owners }
    }

    /// Chooses a VM for a key and, if there are two usable VMs, another one.
    pub(crate) fn choose(&self, key: u64) -> [Option<usize>; 2] {
        if self.owners.is_empty() {
            return [None; 2];
        }
        let mask = self.owners.len() - 1;
        let slot = mix(key) as usize & mask;
        let first = self.owners[slot];
        for step in 1..self.owners.len() {
            let other = self.owners[(slot + step) & mask];
            if other != first {
                return [Some(first.into()), Some(other.into())];
            }
        }
        [Some(first.into()), None]
    }

    pub(crate) fn bytes(&self) -> usize {
        self.owners.capacity() * size_of::<u16>()
    }
}

/// Assigns a slot to the eligible VM with the highest rendezvous hash, and returns its index.
fn assign_slot(
    slot: usize,
    salts: &[u64],
    slot_counts: &mut [usize],
    is_eligible: impl Fn(usize, &[usize]) -> bool,
) -> u16 {
    let key = mix(slot as u64);
    let mut best = (0, 0);
    for (vm, &salt) in salts.iter().enumerate() {
        if is_eligible(vm, slot_counts) {
            best = best.max((mix(key ^ salt), vm));
        }
    }
    slot_counts[best.1] += 1;
    best.1 as u16
}
