//! Requests that are being served.

use std::rc::Rc;

use th_protocol::Time;

use crate::{
    answer::Answer,
    core::Core,
    request_log::{LogRecord, log_request, log_unanswered},
};

/// A request that is being served, which counts as in flight. One that is dropped without an answer is logged, since its
/// caller has left or a stop cuts it.
pub(crate) struct OpenRequest {
    core: Rc<Core>,
    pub(crate) record: LogRecord,
    pub(crate) arrived: Time,
    is_answered: bool,
}

impl OpenRequest {
    pub(crate) fn new(core: &Rc<Core>, record: LogRecord) -> OpenRequest {
        core.in_flight.set(core.in_flight.get() + 1);
        OpenRequest { core: Rc::clone(core), record, arrived: core.now(), is_answered: false }
    }

    /// Ends the request with its answer.
    pub(crate) fn finish(mut self, answer: &Answer) {
        self.is_answered = true;
        log_request(&self.core, answer, &self.record, self.arrived);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.core.in_flight.set(self.core.in_flight.get() - 1);
        if !self.is_answered {
            log_unanswered(&self.core, &self.record, self.arrived);
        }
    }
}
