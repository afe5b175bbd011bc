//! A planned stop: no request that was taken is cut.

use std::{rc::Rc, time::Duration};

use th_protocol::Millis;
use tokio::{task::AbortHandle, time::sleep};

use crate::core::Core;

/// Time between checks for the last request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The stop ends this long before the grace period, so that the process is gone by then.
const EXIT_MARGIN: Millis = Millis(300);

/// Waits until callers have turned to other VMs and the last request is answered. Gives the requests that are cut.
///
/// `callers` accepts connections: after the linger time it ends, so that no request comes too late to be answered.
pub(crate) async fn stop(core: &Rc<Core>, callers: &AbortHandle) -> u32 {
    let started = core.now();
    core.stopping.set(true);
    log::info!(target: "stop", "in_flight={} Stopping; this VM no longer counts as ready.", core.in_flight.get());
    sleep(Duration::from_millis(core.settings.linger.0)).await;
    callers.abort();
    core.closing.notify_waiters();
    let end = started.after(core.settings.grace.minus(EXIT_MARGIN));
    while (0 < core.in_flight.get() || 0 < core.connections.get()) && core.now() < end {
        sleep(POLL_INTERVAL).await;
        core.closing.notify_waiters();
    }
    let cut = core.in_flight.get();
    log::info!(target: "stop", "cut={cut} Stopped.");
    cut
}
