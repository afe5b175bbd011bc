//! One customer's requests in a queue.

use std::collections::BTreeSet;

use super::{
    request::QueueId,
    settings::QueueOrder,
    turn::{SCALE, Turn},
};

/// Waiting requests of one customer and its position in virtual time.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    pub(crate) turn: Turn,
    pub(crate) ids: BTreeSet<QueueId>,
}

impl Flow {
    pub(crate) fn new(weight: u32) -> Flow {
        Flow { turn: Turn::new(weight), ids: BTreeSet::new() }
    }

    pub(crate) fn next(&self, order: QueueOrder) -> Option<QueueId> {
        match order {
            QueueOrder::Oldest => self.ids.first().copied(),
            QueueOrder::Newest => self.ids.last().copied(),
        }
    }

    /// Returns the number of requests per unit of weight, multiplied by `SCALE`.
    pub(crate) fn load(&self) -> u64 {
        self.ids.len() as u64 * SCALE / u64::from(self.turn.weight)
    }

    /// Returns the virtual time for a request with an expected slot time of `millis`.
    pub(crate) fn cost(&self, millis: u64) -> u64 {
        self.turn.cost(millis)
    }
}
