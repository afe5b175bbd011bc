//! The log record of a request.

use std::sync::Arc;

use th_protocol::{Millis, Time, VmId};
use th_steer::organisation::Organisation;

use crate::{answer::Answer, core::Core};

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
}

/// Logs and counts the answer to a request.
pub(crate) fn log_request(core: &Core, answer: &Answer, record: &LogRecord, arrived: Time) {
    let took = core.now().since(arrived);
    let status = answer.status();
    core.metrics.count_answer(&record.route, status.as_u16(), took);
    let LogRecord { id, version, route, organisation, object, attempts, waited, forwarder } =
        record;
    let forwarder = forwarder.as_ref().map_or_else(String::new, |it| format!(" forwarder={it}"));
    let organisation = organisation.as_ref();
    let organisation =
        organisation.map_or_else(String::new, |it| format!(" organisation={}", it.id));
    let object = object.map_or_else(String::new, |it| format!("{it:016x}"));
    let attempts = attempts.join(",");
    let status = status.as_u16();
    if status < 400 {
        log::info!(target: "call", "request={id}{forwarder} version={version} route={route}{organisation} object={object} tries=[{attempts}] waited={waited} status={status} took={took} Request answered.");
    } else {
        log::warn!(target: "call", "request={id}{forwarder} version={version} route={route}{organisation} object={object} tries=[{attempts}] waited={waited} status={status} took={took} Request answered with an error status.");
    }
}
