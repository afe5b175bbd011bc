//! Time that backend servers take for the requests of a route.

use std::collections::BTreeMap;

use th_protocol::Millis;

/// Divisor for the weight of a new sample in the moving average.
const SMOOTHING: f64 = 16.0;
/// Expected time of a cold request before any sample, as a multiple of its route's objective.
const COLD_PRIOR: f64 = 1.2;
/// Expected time of a warm request before any sample, as a multiple of its route's objective.
const WARM_PRIOR: f64 = 0.45;

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.min(f64::from(self.samples));
        self.value += (sample - self.value) / weight;
    }
}

/// Mean times of cold and warm requests, by route.
#[derive(Debug, Clone, Default)]
pub struct WorkTimes {
    /// Means of cold (index 0) and warm (index 1) requests, by route.
    means: BTreeMap<String, [Mean; 2]>,
}

impl WorkTimes {
    /// The time that a request of the route is expected to take, in milliseconds.
    pub fn expected(&self, route: &str, warm: bool, objective: Millis) -> f64 {
        match self.means.get(route).map(|it| it[usize::from(warm)]) {
            Some(mean) if 0 < mean.samples => mean.value,
            _ => objective.0 as f64 * if warm { WARM_PRIOR } else { COLD_PRIOR },
        }
    }

    /// Adds the time that a request took.
    pub fn add(&mut self, route: &str, warm: bool, took: Millis) {
        let means = self.means.entry(route.to_owned()).or_default();
        means[usize::from(warm)].add(took.0 as f64);
    }

    /// Drops the routes that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.means.retain(|route, _| known(route));
    }
}
