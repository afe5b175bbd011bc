//! What was last known of items, by which writes that come out of order are told from new ones.
//!
//! Handles writes that are held up and carried out seconds after later ones, or after the item was removed: a server that
//! drains is ready in them, and one that is gone is there again. Also handles a store that comes back from a copy some seconds
//! old, which has such states of many items at once.

use std::collections::BTreeMap;

use th_protocol::{Era, Millis, Revision, StoreMoment, Time};

/// Time after its removal for which a write of an item may have been on its way then.
const LATE_TIME: Millis = Millis(10_000);
/// Time for which the order of a removed item's writes is remembered; copies of the store are far younger.
const FORGET_TIME: Millis = Millis(600_000);

/// What a writer says about the order of its own writes. A later start, and a higher count in it, is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteMark {
    /// When the writer started, in Unix milliseconds.
    pub start: u64,
    /// Number of its writes since.
    pub count: u64,
}

impl WriteMark {
    /// Whether the same start of the writer made this write after another one.
    fn continues(self, earlier: WriteMark) -> bool {
        self.start == earlier.start && earlier.count < self.count
    }
}

/// Place of a write among those of its writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOrder {
    /// It is the latest one.
    Latest,
    /// It may have been on its way when the item was removed. Another write after it shows that the writer is alive.
    Unconfirmed,
    /// It was made before another one that is known.
    Outdated,
}

/// A write of an item.
#[derive(Debug, Clone, Copy)]
pub struct Write {
    /// When the store carried it out.
    pub moment: StoreMoment,
    /// What its writer says about its order, if anything.
    pub mark: Option<WriteMark>,
    /// Whether the item was removed and that was not applied yet, since a live writer may write it again.
    pub is_awaited: bool,
}

#[derive(Debug)]
struct LastWrite {
    revision: Revision,
    mark: Option<WriteMark>,
    /// Era in which the item was last written or removed.
    era: Era,
    /// When it was removed, unless it was written since.
    removed: Option<Time>,
    /// The last write that is not confirmed.
    pending: Option<WriteMark>,
}

/// The last writes of items, by key.
#[derive(Debug, Default)]
pub struct LastWrites(BTreeMap<String, LastWrite>);

impl LastWrites {
    /// Whether an item of a new era is from before its last known change, as in an older copy.
    pub fn is_from_copy(&self, key: &str, moment: StoreMoment, mark: Option<WriteMark>) -> bool {
        let Some(last) = self.0.get(key).filter(|it| it.era < moment.era) else {
            return false;
        };
        match (last.mark, mark) {
            (Some(last_mark), Some(mark)) if last.removed.is_some() => mark <= last_mark,
            (Some(last_mark), Some(mark)) => mark < last_mark,
            _ => last.removed.is_some() && moment.revision == last.revision,
        }
    }

    /// Handles a written item. Returns the place of the write among those of its writer, as far as marks tell.
    pub fn on_put(&mut self, key: &str, write: Write, now: Time) -> WriteOrder {
        let Write { moment, mark, is_awaited } = write;
        if self.is_from_copy(key, moment, mark) {
            return WriteOrder::Outdated;
        }
        if let Some(last) = self.0.get_mut(key)
            && last.era == moment.era
            && let (Some(before), Some(mark)) = (last.mark, mark)
        {
            let removed = last.removed.filter(|_| !is_awaited);
            let was_removed = removed.is_some_and(|it| now <= it.after(LATE_TIME));
            let order = last.judge(before, mark, was_removed);
            if order != WriteOrder::Latest {
                return order;
            }
        }
        let StoreMoment { era, revision } = moment;
        let last = LastWrite { revision, mark, era, removed: None, pending: None };
        self.0.insert(key.to_owned(), last);
        WriteOrder::Latest
    }

    /// Handles the removal of an item in an era.
    pub fn on_removed(&mut self, key: &str, era: Era, now: Time) {
        if let Some(last) = self.0.get_mut(key) {
            last.era = last.era.max(era);
            last.removed = Some(now);
            last.pending = None;
        }
        let is_kept = |it: &LastWrite| it.removed.is_none_or(|at| now <= at.after(FORGET_TIME));
        self.0.retain(|_, it| is_kept(it));
    }
}

impl LastWrite {
    /// Judges a write of the same era against the one before it, after which the item may have been removed.
    fn judge(&mut self, before: WriteMark, mark: WriteMark, was_removed: bool) -> WriteOrder {
        if before.start < mark.start || !was_removed && before <= mark {
            return WriteOrder::Latest;
        }
        if mark.start == before.start && mark <= before {
            return WriteOrder::Outdated;
        }
        // A writer whose clock was set back states an earlier start, as does a write from before its last start. Only the first
        // one goes on writing.
        match self.pending {
            Some(pending) if mark.continues(pending) => return WriteOrder::Latest,
            Some(pending) if mark.start == pending.start => return WriteOrder::Outdated,
            _ => self.pending = Some(mark),
        }
        if was_removed { WriteOrder::Unconfirmed } else { WriteOrder::Outdated }
    }
}
