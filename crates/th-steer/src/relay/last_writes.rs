//! What was last known of items, by which the content of the store's older copy is told from what was written again.
//!
//! Handles a store that comes back from a copy some seconds old: a server that drains is ready in it, one that has left is
//! there again, and so is a data centre's evacuation that was taken back.

use std::collections::BTreeMap;

use th_protocol::{Era, Revision, StoreMoment};

/// What a writer says about the order of its own writes. A later start, and a higher count in it, is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteMark {
    /// When the writer started, in Unix milliseconds.
    pub start: u64,
    /// Number of its writes since.
    pub count: u64,
}

#[derive(Debug)]
struct LastWrite {
    revision: Revision,
    mark: Option<WriteMark>,
    /// Era in which the item was last written or removed.
    era: Era,
    removed: bool,
}

/// The last writes of items, by key.
#[derive(Debug, Default)]
pub struct LastWrites(BTreeMap<String, LastWrite>);

impl LastWrites {
    /// Whether an item of a new era is from before its last known change, as in an older copy.
    pub fn is_outdated(&self, key: &str, moment: StoreMoment, mark: Option<WriteMark>) -> bool {
        let Some(last) = self.0.get(key).filter(|it| it.era < moment.era) else {
            return false;
        };
        match (last.mark, mark) {
            (Some(last_mark), Some(mark)) if last.removed => mark <= last_mark,
            (Some(last_mark), Some(mark)) => mark < last_mark,
            _ => last.removed && moment.revision == last.revision,
        }
    }

    /// Handles a written item.
    pub fn on_put(&mut self, key: &str, moment: StoreMoment, mark: Option<WriteMark>) {
        let StoreMoment { era, revision } = moment;
        self.0.insert(key.to_owned(), LastWrite { revision, mark, era, removed: false });
    }

    /// Handles the removal of an item in an era.
    pub fn on_removed(&mut self, key: &str, era: Era) {
        if let Some(last) = self.0.get_mut(key) {
            last.era = last.era.max(era);
            last.removed = true;
        }
    }
}
