//! The log record of a request.

use std::{fmt, sync::Arc};

use th_protocol::{Millis, Time, VmId};
use th_steer::organisation::Organisation;

use crate::{answer::Answer, core::Core};

/// How far a request has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its body is being read.
    #[default]
    Reading,
    /// It waits for a slot.
    Waiting,
    /// It was sent to a backend server.
    Sent,
    /// It was passed on to another entry VM.
    PassedOn,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Reading => "reading",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
            Stage::PassedOn => "passed-on",
        })
    }
}

/// Content of the log record of a request.
#[derive(Debug, Default)]
pub(crate) struct LogRecord {
    pub(crate) id: String,
    pub(crate) version: u64,
    pub(crate) route: String,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) object: Option<u64>,
    pub(crate) attempts: Vec<String>,
    pub(crate) waited: Millis,
    /// The entry VM that passed the request on.
    pub(crate) forwarder: Option<VmId>,
    pub(crate) stage: Stage,
}

impl fmt::Display for LogRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request={}", self.id)?;
        if let Some(forwarder) = &self.forwarder {
            write!(f, " forwarder={forwarder}")?;
        }
        write!(f, " version={} route={}", self.version, self.route)?;
        if let Some(organisation) = &self.organisation {
            write!(f, " organisation={}", organisation.id)?;
        }
        f.write_str(" object=")?;
        if let Some(object) = self.object {
            write!(f, "{object:016x}")?;
        }
        write!(f, " tries=[{}] waited={}", self.attempts.join(","), self.waited)
    }
}

/// Logs and counts the answer to a request.
pub(crate) fn log_request(core: &Core, answer: &Answer, record: &LogRecord, arrived: Time) {
    let took = core.now().since(arrived);
    let status = answer.status().as_u16();
    core.metrics.count_answer(&record.route, status, took);
    if status < 400 {
        log::info!(target: "call", "{record} status={status} took={took} Request answered.");
    } else {
        log::warn!(target: "call", "{record} status={status} took={took} Request answered with an error status.");
    }
}

/// Logs and counts a request that gets no answer: its caller has left, or the stop has ended.
pub(crate) fn log_unanswered(core: &Core, record: &LogRecord, arrived: Time) {
    let (stage, took) = (record.stage, core.now().since(arrived));
    core.metrics.unanswered.with_label_values(&[stage.to_string().as_str()]).inc();
    if core.has_ended() {
        log::warn!(target: "call", "{record} stage={stage} took={took} The stop cut the request.");
    } else {
        log::info!(target: "call", "{record} stage={stage} took={took} The caller left before its answer.");
    }
}
