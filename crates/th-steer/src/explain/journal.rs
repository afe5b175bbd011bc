//! The journal of decisions of an entry VM.

use th_protocol::{AttemptId, ServiceId};

use super::{Outcome, Record, ring::Ring};

/// Settings of the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Number of records retained of refused and partial decisions.
    pub refused: usize,
    /// Number of records retained of accepted decisions.
    pub accepted: usize,
    /// One in this many accepted decisions is recorded.
    pub sample: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { refused: 2048, accepted: 1024, sample: 64 }
    }
}

/// The reasons for the latest decisions, in memory of constant size.
///
/// Refused and accepted decisions have separate rings, so that many of one kind do not evict the
/// other.
#[derive(Debug)]
pub struct Journal {
    refused: Ring,
    accepted: Ring,
    sample: u32,
    sample_counter: u32,
}

impl Journal {
    /// Creates an empty journal and allocates all of its memory.
    pub fn new(settings: &Settings) -> Journal {
        Journal {
            refused: Ring::new(settings.refused),
            accepted: Ring::new(settings.accepted),
            sample: settings.sample.max(1),
            sample_counter: 0,
        }
    }

    /// Counts a decision with this outcome and returns whether it is to be recorded. Call this before
    /// building a record.
    pub fn should_record(&mut self, outcome: Outcome) -> bool {
        if outcome != Outcome::Accepted {
            return true;
        }
        self.sample_counter = (self.sample_counter + 1) % self.sample;
        self.sample_counter == 0
    }

    /// Stores a record in place of the oldest one of its ring. Does not allocate.
    pub fn record(&mut self, record: Record) {
        match record.outcome {
            Outcome::Accepted => self.accepted.push(record),
            Outcome::Partial | Outcome::Refused => self.refused.push(record),
        }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.refused.iter().chain(self.accepted.iter())
    }

    /// Returns at most `most` records of a service, newest first.
    pub fn of_service(&self, service: &ServiceId, most: usize) -> Vec<Record> {
        let mut found: Vec<&Record> = self.records().filter(|it| it.service == *service).collect();
        found.sort_by_key(|it| std::cmp::Reverse(it.time));
        found.into_iter().take(most).cloned().collect()
    }

    /// Returns the records of a request, oldest first.
    pub fn of_request(&self, request: u64) -> Vec<Record> {
        self.matching(|it| it.request == Some(request))
    }

    /// Returns the records of an attempt, oldest first.
    pub fn of_attempt(&self, attempt: AttemptId) -> Vec<Record> {
        self.matching(|it| it.attempt == Some(attempt))
    }

    fn matching(&self, keep: impl Fn(&Record) -> bool) -> Vec<Record> {
        let mut found: Vec<Record> = self.records().filter(|it| keep(it)).cloned().collect();
        found.reverse();
        found.sort_by_key(|it| it.time);
        found
    }

    /// Bytes of memory used by the records; constant over the journal's lifetime.
    pub fn bytes(&self) -> usize {
        self.refused.bytes() + self.accepted.bytes()
    }
}
