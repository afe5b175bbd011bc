//! A short list of entry VMs, stored inline without allocation.

use super::VmIx;

/// Maximum number of entry VMs in one answer.
pub const MAX_ANSWER_VMS: usize = 4;

/// At most [`MAX_ANSWER_VMS`] entry VMs, best first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmList {
    vms: [VmIx; MAX_ANSWER_VMS],
    len: u8,
}

impl VmList {
    /// Appends `vm`. Returns false if the list is full or already contains it.
    pub fn push(&mut self, vm: VmIx) -> bool {
        if self.is_full() || self.as_slice().contains(&vm) {
            return false;
        }
        self.vms[self.len()] = vm;
        self.len += 1;
        true
    }

    /// The entry VMs as a slice.
    pub fn as_slice(&self) -> &[VmIx] {
        &self.vms[..self.len()]
    }

    /// The number of entry VMs.
    pub fn len(&self) -> usize {
        usize::from(self.len)
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the list is full.
    pub fn is_full(&self) -> bool {
        self.len() == MAX_ANSWER_VMS
    }
}
