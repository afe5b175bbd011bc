//! The tick loop.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{MissedTickBehavior, interval, sleep};

use super::{perform, sample};
use crate::entry::Entry;

/// Delay of a tick that is triggered before its time, which bounds the rate of ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two samples for metrics and the burn report.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Stops accepting requests if a later incarnation of this VM is known.
fn stop_if_replaced(entry: &Entry) {
    let Some(later) = entry.with_engine(|engine, _| engine.replaced()) else {
        return;
    };
    if entry.stopping.swap(true, Ordering::SeqCst) {
        return;
    }
    log::error!(target: "entry", "Incarnation {later} of this VM has started elsewhere; this one accepts no more requests.");
    entry.with_engine(|engine, _| engine.close());
}

/// Runs the engine's tick periodically, and early when [`Entry::tick_now`] is notified.
pub(crate) async fn run_ticks(entry: Arc<Entry>) {
    let mut ticks = interval(Duration::from_millis(entry.settings.pace.tick.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut samples = interval(SAMPLE_INTERVAL);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = entry.tick_now.notified() => sleep(MIN_TICK_INTERVAL).await,
            _ = samples.tick() => {
                sample(&entry);
                continue;
            }
        }
        stop_if_replaced(&entry);
        for action in entry.with_engine(|engine, now| engine.tick(now)) {
            tokio::spawn(perform(Arc::clone(&entry), action));
        }
    }
}
