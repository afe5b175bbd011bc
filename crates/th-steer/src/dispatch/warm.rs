//! The objects that a backend server handled recently.

use std::collections::BTreeMap;

/// The objects that a backend server is assumed to have warm: the most recently used ones, up to a capacity.
#[derive(Debug, Clone, Default)]
pub struct WarmSet {
    uses: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl WarmSet {
    /// Whether the object is in the set.
    pub fn contains(&self, object: u64) -> bool {
        self.uses.contains_key(&object)
    }

    /// Marks the object as just used; the least recently used objects beyond the capacity are evicted.
    pub fn touch(&mut self, object: u64, capacity: usize) {
        self.clock += 1;
        if let Some(previous) = self.uses.insert(object, self.clock) {
            self.order.remove(&previous);
        }
        self.order.insert(self.clock, object);
        while capacity < self.uses.len() {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.uses.remove(&oldest);
        }
    }

    /// Removes all objects, as for a backend server that has restarted.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.order.clear();
    }
}
