//! Crashes of backend servers, and the requests that they ran.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use th_protocol::{BackendId, Millis};
use th_steer::dispatch::{CrashReport, Fingerprint};
use tokio::{sync::mpsc::error::TrySendError, task::spawn_local, time::sleep};

use crate::{
    answer::{Answer, reject},
    connection::{ConnectError, Connection},
    core::Core,
};

/// Longest time for which a connection is tried to find out whether a server crashed; more than a round trip between
/// regions. Until then its request waits for a retry.
const CHECK_TIMEOUT: Millis = Millis(100);
/// Time for which the first crash under a request is kept back: a retry may serve the request meanwhile, and then other VMs
/// need not know.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of reports that wait to be passed to other VMs.
pub(crate) const MAX_REPORTS: usize = 256;

/// Finds out whether a server crashed while it ran a request, whose connection ended without an answer: a server that has
/// ended refuses connections, one that only dropped this one accepts another.
pub(crate) async fn check_crash(
    core: &Rc<Core>,
    backend: &BackendId,
    address: SocketAddr,
    id: &str,
    request: Fingerprint,
) {
    match Connection::open(address, CHECK_TIMEOUT, &core.memory).await {
        Ok(mut connection) => {
            core.metrics.connections.inc();
            connection.expires = core.now().after(core.settings.idle_timeout);
            core.pool.borrow_mut().put(backend, connection);
        }
        Err(ConnectError::Connect(_, error)) if error.kind() == ErrorKind::ConnectionRefused => {
            let mut dispatcher = core.dispatcher.borrow_mut();
            if !dispatcher.on_crash(request, backend, core.now()) {
                return;
            }
            let crashes = dispatcher.crash_count(request);
            log::warn!(target: "backend", "request={id} fingerprint={request} backend={backend} crashes={crashes} The backend server crashed while it ran the request.");
            drop(dispatcher);
            let delay = if crashes == 1 { FIRST_REPORT_DELAY } else { Duration::ZERO };
            let core = Rc::clone(core);
            spawn_local(async move {
                sleep(delay).await;
                let reports = core.dispatcher.borrow_mut().report_crashes(request, core.now());
                report(&core, reports);
            });
        }
        Err(error) => {
            log::debug!(target: "backend", "request={id} backend={backend} Whether the backend server crashed is not known: {error}");
        }
    }
}

/// Rejects a request if servers crash under it.
pub(crate) fn reject_crashing(core: &Core, request: Fingerprint) -> Option<Answer> {
    let now = core.now();
    let (rejected, reports) = core.dispatcher.borrow_mut().check_crashes(request, now);
    report(core, reports);
    let retry_after = core.dispatcher.borrow().crash_retry();
    rejected
        .then(|| reject("Backend servers crash under this request; it was not run.", retry_after))
}

/// Passes reports on to whoever tells other VMs.
pub(crate) fn report(core: &Core, reports: impl IntoIterator<Item = CrashReport>) {
    for report in reports {
        match core.crash_reports.try_send(report) {
            Ok(()) => {}
            Err(TrySendError::Full(report)) => {
                log::warn!(target: "backend", "limit={MAX_REPORTS} Too many crashes wait to be passed to other VMs; leaving one out: {report:?}");
            }
            Err(TrySendError::Closed(report)) => {
                log::debug!(target: "backend", "No other VM is told of crashes: {report:?}");
            }
        }
    }
}
