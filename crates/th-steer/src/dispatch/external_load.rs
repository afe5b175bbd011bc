//! Load on a backend server from sources other than this VM.

use th_protocol::Time;

use super::settings::DispatchSettings;

/// Greatest load that a report may state, as a multiple of the slots: a server queues only a few requests more than it runs.
pub(crate) const MAX_LOAD: u32 = 8;
/// Minimum weight of a load report in the moving average.
const MIN_REPORT_WEIGHT: f64 = 0.25;

/// Load on a backend server from sources other than this VM, estimated from the load that it reports with its answers.
/// A moving average is used because a single report is stale by the time the next request is placed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExternalLoad {
    mean: f64,
    updated: Time,
}

impl ExternalLoad {
    pub(crate) fn expected(&self, settings: &DispatchSettings, now: Time) -> f64 {
        let age = now.since(self.updated).0 as f64;
        self.mean * (-age / settings.load_decay.0 as f64).exp()
    }

    pub(crate) fn add(&mut self, sample: f64, settings: &DispatchSettings, now: Time) {
        let age = now.since(self.updated).0 as f64;
        let weight = 1.0 - (-age / settings.load_decay.0 as f64).exp();
        self.mean += (sample - self.mean) * weight.max(MIN_REPORT_WEIGHT);
        self.updated = now;
    }
}
