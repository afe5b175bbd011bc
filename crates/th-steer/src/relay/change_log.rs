//! The recent changes of items, for VMs that follow this one.

use std::collections::BTreeMap;

use th_protocol::{Era, Millis, Revision, StoreMoment, Time};

/// Time for which changes are kept; VMs that follow this one ask several times in it.
const KEPT_TIME: Millis = Millis(10_000);

/// A change to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// Key of the item.
    pub key: String,
    /// Its new value; `None` if it was removed.
    pub value: Option<Vec<u8>>,
    /// When the store made the change.
    pub moment: StoreMoment,
}

/// A kept change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kept {
    value: Option<Vec<u8>>,
    /// When this VM learnt of it.
    learnt: Time,
}

/// The revisions of an era between which all changes are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Span {
    first: Revision,
    last: Revision,
}

/// The recent changes of items. Of several changes to an item only the last is kept.
///
/// When the store comes back from an older copy, the items that differ from what was known are changes of the new era. A VM
/// that follows from an earlier era gets them together with the changes that it lacks of that era, and need not read
/// everything itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ChangeLog {
    /// By moment and key.
    changes: BTreeMap<(StoreMoment, String), Kept>,
    /// Moment of the kept change of each item.
    latest: BTreeMap<String, StoreMoment>,
    /// All changes after this moment are known; `None` before the first reset.
    start: Option<StoreMoment>,
    /// What is known of each era.
    spans: BTreeMap<Era, Span>,
    at: StoreMoment,
    current: Time,
}

impl ChangeLog {
    /// Starts anew: changes are known from a moment on, at which the store was at a time.
    pub fn reset(&mut self, at: StoreMoment, current: Time) {
        *self = ChangeLog { start: Some(at), at, current, ..ChangeLog::default() };
        self.extend(at);
    }

    /// Handles a history that the store has dropped: what changed after the known moment must be read from the store.
    pub fn cut(&mut self) {
        self.start = None;
    }

    /// Appends the changes up to `at`, at which the store was at the time `current`. With the first ones of a new era, these
    /// are all differences to what was known before. Those of an earlier era than the known one are ignored.
    pub fn append(&mut self, changes: Vec<ItemChange>, at: StoreMoment, current: Time, now: Time) {
        if at.era < self.at.era {
            return;
        }
        for change in changes {
            let known = self.latest.insert(change.key.clone(), change.moment);
            if let Some(moment) = known {
                self.changes.remove(&(moment, change.key.clone()));
            }
            let kept = Kept { value: change.value, learnt: now };
            self.changes.insert((change.moment, change.key), kept);
        }
        self.extend(at);
        self.current = self.current.max(current);
        self.drop_old(now);
    }

    fn extend(&mut self, at: StoreMoment) {
        let span = Span { first: at.revision, last: at.revision };
        let span = self.spans.entry(at.era).or_insert(span);
        span.last = span.last.max(at.revision);
        self.at = self.at.max(at);
    }

    fn drop_old(&mut self, now: Time) {
        while let Some(entry) = self.changes.first_entry() {
            if now <= entry.get().learnt.after(KEPT_TIME) {
                break;
            }
            let ((moment, key), _) = entry.remove_entry();
            self.latest.remove(&key);
            self.start = self.start.map(|it| it.max(moment));
        }
        if let Some(start) = self.start {
            self.spans.retain(|era, _| start.era <= *era);
        }
    }

    /// The changes after a moment; `None` if not all of them are known.
    pub fn since(&self, after: StoreMoment) -> Option<Vec<ItemChange>> {
        if self.start.is_none_or(|it| after < it) {
            return None;
        }
        let span = self.spans.get(&after.era)?;
        // What an earlier era had beyond what is known of it may have been lost, and is not among the differences.
        let is_beyond = after.era < self.at.era && span.last < after.revision;
        if after.revision < span.first || is_beyond {
            return None;
        }
        Some(self.kept(after))
    }

    /// The kept changes after a moment, whether or not these are all. For a VM that cannot reach the store, they are better
    /// than nothing.
    pub fn kept(&self, after: StoreMoment) -> Vec<ItemChange> {
        let mut changes = Vec::new();
        for ((moment, key), kept) in &self.changes {
            if after < *moment {
                let (key, value) = (key.clone(), kept.value.clone());
                changes.push(ItemChange { key, value, moment: *moment });
            }
        }
        changes
    }

    /// The moment up to which changes are known.
    pub fn at(&self) -> StoreMoment {
        self.at
    }

    /// The latest time at which no other changes than the known ones had been made.
    pub fn current(&self) -> Time {
        self.current
    }
}
