//! The recent changes of items, for VMs that follow this one.

use std::collections::BTreeMap;

use th_protocol::{Millis, Revision, Time};

/// Time for which changes are kept; VMs that follow this one ask several times in it.
const KEPT_TIME: Millis = Millis(10_000);

/// A change to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// Key of the item.
    pub key: String,
    /// Its new value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: Revision,
}

/// A kept change.
#[derive(Debug)]
struct Kept {
    value: Option<Vec<u8>>,
    /// When this VM learnt of it.
    learnt: Time,
}

/// The recent changes of items. Of several changes to an item only the last is kept.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// By revision and key.
    changes: BTreeMap<(Revision, String), Kept>,
    /// Revision of the kept change of each item.
    latest: BTreeMap<String, Revision>,
    /// All changes after this revision are known; `None` before the first reset.
    start: Option<Revision>,
    at: Revision,
    current: Time,
}

impl ChangeLog {
    /// Starts anew: changes are known from a revision on, which the store had at a time.
    pub fn reset(&mut self, at: Revision, current: Time) {
        *self = ChangeLog { start: Some(at), at, current, ..ChangeLog::default() };
    }

    /// Appends the changes up to revision `at`, which the store had at the time `current`.
    pub fn append(&mut self, changes: Vec<ItemChange>, at: Revision, current: Time, now: Time) {
        for change in changes {
            let known = self.latest.insert(change.key.clone(), change.revision);
            if let Some(revision) = known {
                self.changes.remove(&(revision, change.key.clone()));
            }
            let kept = Kept { value: change.value, learnt: now };
            self.changes.insert((change.revision, change.key), kept);
        }
        self.at = self.at.max(at);
        self.current = self.current.max(current);
        while let Some(entry) = self.changes.first_entry() {
            if now <= entry.get().learnt.after(KEPT_TIME) {
                break;
            }
            let ((revision, key), _) = entry.remove_entry();
            self.latest.remove(&key);
            self.start = self.start.max(Some(revision));
        }
    }

    /// The changes after a revision; `None` if not all of them are known.
    pub fn since(&self, after: Revision) -> Option<Vec<ItemChange>> {
        if self.start.is_none_or(|it| after < it) {
            return None;
        }
        let mut changes = Vec::new();
        for ((revision, key), kept) in &self.changes {
            if after < *revision {
                let (key, value) = (key.clone(), kept.value.clone());
                changes.push(ItemChange { key, value, revision: *revision });
            }
        }
        Some(changes)
    }

    /// The revision up to which changes are known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// The latest time at which no other changes than the known ones had been made.
    pub fn current(&self) -> Time {
        self.current
    }
}
