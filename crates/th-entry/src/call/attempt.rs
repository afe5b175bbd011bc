//! An attempt at a backend server, whose end is always recorded.

use std::sync::Arc;

use th_protocol::{AttemptId, ServiceId, Time};
use th_steer::backend::Outcome;

use crate::entry::Entry;

/// An attempt that holds a slot. If dropped before [`Attempt::end`], it counts as cancelled.
pub(crate) struct Attempt {
    entry: Arc<Entry>,
    service: ServiceId,
    id: AttemptId,
    began: Time,
    is_open: bool,
}

impl Attempt {
    pub(crate) fn new(entry: &Arc<Entry>, service: ServiceId, id: AttemptId) -> Attempt {
        Attempt { entry: Arc::clone(entry), service, id, began: entry.now(), is_open: true }
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.id
    }

    pub(crate) fn began(&self) -> Time {
        self.began
    }

    /// Ends the attempt and releases its slot.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.close(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        self.is_open = false;
        let labels = [self.service.as_str(), outcome_label(outcome)];
        self.entry.metrics.attempts.with_label_values(&labels).inc();
        self.entry.with_engine(|engine, now| {
            engine.finish(&self.service, self.id, outcome, now.since(self.began), now);
        });
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_open {
            self.close(Outcome::Cancelled);
        }
    }
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Shed(_) => "shed",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Timeout => "timeout",
        Outcome::Cut => "cut",
        Outcome::ErrorStatus => "error-status",
        Outcome::Cancelled => "cancelled",
    }
}
