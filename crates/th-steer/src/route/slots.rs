//! Even, stable choice among the entry VMs of a data centre.

use super::hash::mix;

/// Slots of the table per entry VM, at least.
const MIN_SLOTS_PER_VM: usize = 32;

/// A table from a key's hash to an entry VM, by its position in the data centre's list.
///
/// Each slot goes to the VM that its rendezvous hash prefers among those that hold less than an
/// equal share of slots, so that VMs share evenly to within one slot. Slots of unusable VMs are
/// then dealt out in the same way; all others stay where they are. A choice is one read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SlotTable {
    owners: Vec<u16>,
}

impl SlotTable {
    /// A table for all VMs of a data centre, with their salts and whether they are usable.
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

    /// The first choice for a key and, where there are two VMs, another one.
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

/// Gives a slot to the VM that it prefers among those with room.
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
