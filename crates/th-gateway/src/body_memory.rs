//! Bodies that the process holds.

use std::rc::Rc;

use crate::core::Core;

/// Bytes of a request's body, given back when it is dropped.
pub(crate) struct BodyMemory {
    core: Rc<Core>,
    bytes: u64,
}

impl BodyMemory {
    pub(crate) fn new(core: &Rc<Core>) -> BodyMemory {
        BodyMemory { core: Rc::clone(core), bytes: 0 }
    }

    /// Takes more bytes; false where all requests together would hold more than they may.
    pub(crate) fn reserve(&mut self, bytes: u64) -> bool {
        let total = self.core.body_bytes.get().saturating_add(bytes);
        if self.core.settings.body_memory.0 < total {
            return false;
        }
        self.core.body_bytes.set(total);
        self.bytes += bytes;
        true
    }

    /// Gives all bytes back.
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
