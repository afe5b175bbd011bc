//! One customer's requests in a queue.

use std::collections::BTreeSet;

use super::{request::QueueId, settings::QueueOrder};

/// Virtual time units for one millisecond of expected slot time at weight one.
const SCALE: u64 = 1 << 20;

/// Waiting requests of one customer and its position in virtual time.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) weight: u32,
    /// Virtual start time of the next request.
    pub(crate) start: u64,
    pub(crate) ids: BTreeSet<QueueId>,
}

impl Flow {
    pub(crate) fn new(weight: u32) -> Flow {
        Flow { weight: weight.max(1), start: 0, ids: BTreeSet::new() }
    }

    pub(crate) fn next(&self, order: QueueOrder) -> Option<QueueId> {
        match order {
            QueueOrder::Oldest => self.ids.first().copied(),
            QueueOrder::Newest => self.ids.last().copied(),
        }
    }

    /// Returns the number of requests per unit of weight, multiplied by `SCALE`.
    pub(crate) fn load(&self) -> u64 {
        self.ids.len() as u64 * SCALE / u64::from(self.weight)
    }

    /// Returns the virtual time for a request with an expected slot time of `millis`.
    pub(crate) fn cost(&self, millis: u64) -> u64 {
        millis.max(1).saturating_mul(SCALE) / u64::from(self.weight)
    }
}
