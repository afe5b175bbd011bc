//! The records that an entry VM keeps.

use th_protocol::{AttemptId, ServiceId};

use super::{Outcome, Record, ring::Ring};

/// How much is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Records of decisions that were refused or done in part.
    pub refused: usize,
    /// Records of accepted decisions.
    pub accepted: usize,
    /// One in this many accepted decisions is kept.
    pub sample: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { refused: 2048, accepted: 1024, sample: 64 }
    }
}

/// Reasons of the last decisions, in memory that never grows.
///
/// Refusals and accepted decisions have a ring each, so that a flood of one does not drop the other.
#[derive(Debug)]
pub struct Journal {
    refused: Ring,
    accepted: Ring,
    sample: u32,
    sample_counter: u32,
}

impl Journal {
    /// An empty journal; all of its memory is claimed here.
    pub fn new(settings: &Settings) -> Journal {
        Journal {
            refused: Ring::new(settings.refused),
            accepted: Ring::new(settings.accepted),
            sample: settings.sample.max(1),
            sample_counter: 0,
        }
    }

    /// Whether a decision with this outcome would be kept; counts it. Ask before building a record.
    pub fn should_record(&mut self, outcome: Outcome) -> bool {
        if outcome != Outcome::Accepted {
            return true;
        }
        self.sample_counter = (self.sample_counter + 1) % self.sample;
        self.sample_counter == 0
    }

    /// Keeps a record in place of the oldest of its ring. Does not allocate.
    pub fn record(&mut self, record: Record) {
        match record.outcome {
            Outcome::Accepted => self.accepted.push(record),
            Outcome::Partial | Outcome::Refused => self.refused.push(record),
        }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.refused.iter().chain(self.accepted.iter())
    }

    /// The records of a service, newest first, at most `most`.
    pub fn of_service(&self, service: &ServiceId, most: usize) -> Vec<Record> {
        let mut found: Vec<&Record> = self.records().filter(|it| it.service == *service).collect();
        found.sort_by_key(|it| std::cmp::Reverse(it.time));
        found.into_iter().take(most).cloned().collect()
    }

    /// The records of a request, oldest first.
    pub fn of_request(&self, request: u64) -> Vec<Record> {
        self.matching(|it| it.request == Some(request))
    }

    /// The records of an attempt, oldest first.
    pub fn of_attempt(&self, attempt: AttemptId) -> Vec<Record> {
        self.matching(|it| it.attempt == Some(attempt))
    }

    fn matching(&self, keep: impl Fn(&Record) -> bool) -> Vec<Record> {
        let mut found: Vec<Record> = self.records().filter(|it| keep(it)).cloned().collect();
        found.reverse();
        found.sort_by_key(|it| it.time);
        found
    }

    /// Bytes of memory held, the same from start to end.
    pub fn bytes(&self) -> usize {
        self.refused.bytes() + self.accepted.bytes()
    }
}
