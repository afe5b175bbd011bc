//! Bodies that the process holds.

use std::rc::Rc;

use crate::core::Core;

/// Bytes of a request's body, given back when it is dropped.
pub(crate) struct Held {
    core: Rc<Core>,
    bytes: u64,
}

impl Held {
    pub(crate) fn new(core: &Rc<Core>) -> Held {
        Held { core: Rc::clone(core), bytes: 0 }
    }

    /// Takes more bytes; false where all requests together would hold more than they may.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let held = self.core.held.get().saturating_add(bytes);
        if self.core.settings.bodies.0 < held {
            return false;
        }
        self.core.held.set(held);
        self.bytes += bytes;
        true
    }

    /// Gives all bytes back.
    pub(crate) fn release(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.core.held.set(self.core.held.get() - bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.release();
    }
}
