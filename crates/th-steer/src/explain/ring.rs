//! A ring buffer of records.

use super::Record;

/// A ring buffer that retains the newest records. Its memory is allocated on creation.
#[derive(Debug)]
pub(crate) struct Ring {
    records: Vec<Record>,
    capacity: usize,
    next: usize,
}

impl Ring {
    pub(crate) fn new(capacity: usize) -> Ring {
        Ring { records: Vec::with_capacity(capacity), capacity, next: 0 }
    }

    pub(crate) fn push(&mut self, record: Record) {
        if self.capacity == 0 {
            return;
        }
        if self.records.len() < self.capacity {
            self.records.push(record);
            return;
        }
        self.records[self.next] = record;
        self.next = (self.next + 1) % self.capacity;
    }

    /// Returns the records from the newest to the oldest.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        let (newer, older) = self.records.split_at(self.next);
        newer.iter().rev().chain(older.iter().rev())
    }

    pub(crate) fn bytes(&self) -> usize {
        self.records.capacity() * size_of::<Record>()
    }
}
