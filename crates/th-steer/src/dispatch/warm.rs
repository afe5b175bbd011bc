//! The objects that a backend server lately handled.

use std::collections::BTreeMap;

/// The objects that a backend server is taken to keep warm: the latest ones, up to a count.
#[derive(Debug, Clone, Default)]
pub struct WarmSet {
    uses: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl WarmSet {
    /// Whether the object is among them.
    pub fn contains(&self, object: u64) -> bool {
        self.uses.contains_key(&object)
    }

    /// Takes note that the object was handled; the one handled longest ago makes room.
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

    /// Forgets all, as a restarted backend server does.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.order.clear();
    }
}
