//! Planned stop: finishes the accepted requests within the grace period.

use std::{rc::Rc, time::Duration};

use th_protocol::{Millis, Time};
use tokio::time::sleep;

use crate::{
    core::{Core, Phase},
    gateway::{Port, Ports},
};

/// Interval at which a stop checks whether the last request has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The stop ends this long before the grace period does, so that the process has exited by then.
const EXIT_MARGIN: Millis = Millis(300);
/// Requests that still wait are rejected this long before the stop ends, so that their callers get the answer.
const ANSWER_MARGIN: Millis = Millis(200);
/// The port for other VMs closes this long before the stop ends, so that the requests that they pass on until then are declined.
const PEERS_MARGIN: Millis = Millis(1_000);

/// Waits until callers use other VMs and the last request is answered. Returns the number of requests that are cut.
///
/// The port for callers is closed after the linger time. Requests that become complete on open connections after that are
/// rejected, since their servers could not finish them in time.
pub(crate) async fn stop(core: &Rc<Core>, ports: &Ports, grace: Millis) -> u32 {
    let started = core.now();
    let end = started.after(grace.minus(EXIT_MARGIN));
    let last_answer = end.before(ANSWER_MARGIN);
    core.phase.set(Phase::Leaving);
    core.dispatcher.borrow_mut().close_by(last_answer);
    core.place_waiting(usize::MAX);
    log::info!(target: "stop", "in_flight={} grace={grace} Stopping; this VM no longer reports itself as ready.", core.in_flight.get());
    let linger = core.settings.linger.min(last_answer.since(started));
    sleep(Duration::from_millis(linger.0)).await;
    core.phase.set(Phase::Closed);
    core.closing.notify_waiters();
    close(core, &ports.callers, end.before(PEERS_MARGIN)).await;
    close(core, ports.peers.as_ref().unwrap_or(&ports.callers), end).await;
    let cut = core.in_flight.get();
    core.phase.set(Phase::Ended);
    log::info!(target: "stop", "cut={cut} Stopped.");
    cut
}

/// Closes a port, and connections once they are idle, until all are closed or `end` has come.
async fn close(core: &Core, port: &Port, end: Time) {
    port.close();
    while (!port.is_closed() || 0 < core.in_flight.get() || 0 < core.connections.get())
        && core.now() < end
    {
        sleep(POLL_INTERVAL).await;
        core.closing.notify_waiters();
    }
}
