//! The changes that this entry VM passes on to others.

use std::cell::RefCell;

use bytes::Bytes;
use th_protocol::{Era, Millis, StoreMoment, Time};
use th_steer::relay::{ChangeLog, ItemChange};
use tokio::sync::Notify;

use super::packing::{MIN_PACKED, pack};

/// A packed answer, kept for the other VMs that ask for the same changes.
struct PackedChanges {
    after: StoreMoment,
    at: StoreMoment,
    body: Bytes,
}

/// What this VM passes on to others.
#[derive(Default)]
pub struct Relay {
    pub(super) log: RefCell<ChangeLog>,
    packed: RefCell<Option<PackedChanges>>,
    /// Wakes requests that wait for changes.
    pub(super) advanced: Notify,
}

impl Relay {
    /// Starts anew after everything was read: changes are known from a moment on, at which the store was at the time `current`.
    pub fn reset(&self, at: StoreMoment, current: Time) {
        self.log.borrow_mut().reset(at, current);
        self.advanced.notify_waiters();
    }

    /// Tells other VMs to read everything themselves, since the store has dropped its history: over a narrow link it would reach
    /// them late by way of this VM.
    pub fn cut(&self) {
        self.log.borrow_mut().cut();
        self.advanced.notify_waiters();
    }

    /// Passes on changes up to `at`, at which the store was at the time `current`.
    pub fn append(&self, changes: Vec<ItemChange>, at: StoreMoment, current: Time, now: Time) {
        self.log.borrow_mut().append(changes, at, current, now);
        self.advanced.notify_waiters();
    }

    /// Time since there were no changes in the store that this VM does not know.
    pub(crate) fn age(&self, now: Time) -> Millis {
        now.since(self.log.borrow().current())
    }

    /// Era of the store up to which this VM knows its changes.
    pub(crate) fn era(&self) -> Era {
        self.log.borrow().at().era
    }

    /// The packed changes between two moments, if they are kept.
    pub(super) fn packed(&self, after: StoreMoment, at: StoreMoment) -> Option<Bytes> {
        let packed = self.packed.borrow();
        packed.as_ref().filter(|it| it.after == after && it.at == at).map(|it| it.body.clone())
    }

    /// Packs changes, if they are large, and keeps them.
    pub(super) fn pack(&self, after: StoreMoment, at: StoreMoment, body: &[u8]) -> Option<Bytes> {
        if body.len() < MIN_PACKED {
            return None;
        }
        match pack(body) {
            Ok(packed) => {
                let body = Bytes::from(packed);
                *self.packed.borrow_mut() = Some(PackedChanges { after, at, body: body.clone() });
                Some(body)
            }
            Err(error) => {
                log::error!(target: "store", "after={after} at={at} Packing changes for another VM failed; sending them as they are: {error}");
                None
            }
        }
    }

    /// Ends the waits of other VMs, since this VM's own source failed.
    pub fn interrupt(&self) {
        self.advanced.notify_waiters();
    }
}
