//! Memory used by buffered request bodies.

use std::rc::Rc;

use crate::core::Core;

/// Memory reserved for the body of one request; released on drop.
pub(crate) struct BodyMemory {
    core: Rc<Core>,
    bytes: u64,
}

impl BodyMemory {
    pub(crate) fn new(core: &Rc<Core>) -> BodyMemory {
        BodyMemory { core: Rc::clone(core), bytes: 0 }
    }

    /// Reserves more bytes. Returns false if all requests together would exceed the limit on body memory.
    pub(crate) fn reserve(&mut self, bytes: u64) -> bool {
        let total = self.core.body_bytes.get().saturating_add(bytes);
        if self.core.settings.body_memory.0 < total {
            return false;
        }
        self.core.body_bytes.set(total);
        self.bytes += bytes;
        true
    }

    /// Releases all bytes of this request.
    pub(crate) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.core.body_bytes.set(self.core.body_bytes.get() - bytes);
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.release();
    }
}
