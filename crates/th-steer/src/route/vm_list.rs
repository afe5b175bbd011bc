//! A short list of entry VMs that lives on the stack.

use super::VmIx;

/// Most entry VMs in one answer.
pub const MAX_ANSWER_VMS: usize = 4;

/// Entry VMs, best first; at most [`MAX_ANSWER_VMS`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmList {
    vms: [VmIx; MAX_ANSWER_VMS],
    len: u8,
}

impl VmList {
    /// Appends `vm`; false where the list is full or holds it already.
    pub fn push(&mut self, vm: VmIx) -> bool {
        if self.is_full() || self.as_slice().contains(&vm) {
            return false;
        }
        self.vms[self.len()] = vm;
        self.len += 1;
        true
    }

    /// The entry VMs.
    pub fn as_slice(&self) -> &[VmIx] {
        &self.vms[..self.len()]
    }

    /// The number of entry VMs.
    pub fn len(&self) -> usize {
        usize::from(self.len)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no more fit.
    pub fn is_full(&self) -> bool {
        self.len() == MAX_ANSWER_VMS
    }
}
