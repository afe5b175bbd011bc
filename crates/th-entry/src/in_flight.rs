//! Counts requests in progress, so that a planned stop can wait for them.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::Notify;

use crate::entry::Entry;

/// The number of requests in progress.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    count: AtomicU32,
    idle: Notify,
}

impl InFlight {
    /// Counts a request until the guard is dropped; `None` if `limit` requests are already in progress.
    pub(crate) fn enter(entry: &Arc<Entry>, limit: u32) -> Option<InFlightGuard> {
        let before = entry.in_flight.count.fetch_add(1, Ordering::SeqCst);
        let guard = InFlightGuard(Arc::new(CountedRequest(Arc::clone(entry))));
        (before < limit).then_some(guard)
    }

    pub(crate) fn count(&self) -> u32 {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// Guard of one request in progress, which ends when the last clone of its guard is dropped.
#[derive(Clone)]
pub(crate) struct InFlightGuard(
    #[expect(dead_code, reason = "held for its drop")] Arc<CountedRequest>,
);

struct CountedRequest(Arc<Entry>);

impl Drop for CountedRequest {
    fn drop(&mut self) {
        let in_flight = &self.0.in_flight;
        if in_flight.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            in_flight.idle.notify_waiters();
        }
    }
}
