//! How long backend servers take for the requests of a route.

use std::collections::BTreeMap;

use th_protocol::Millis;

/// Weight of a new sample in the moving average, as a divisor.
const SMOOTHING: f64 = 16.0;
/// What a cold request is taken to need before one was seen, in objectives of its route.
const COLD_PRIOR: f64 = 1.2;
/// What a warm request is taken to need before one was seen, in objectives of its route.
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
    /// Cold and warm, by route.
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

    /// Takes in how long a request took.
    pub fn add(&mut self, route: &str, warm: bool, took: Millis) {
        let means = self.means.entry(route.to_owned()).or_default();
        means[usize::from(warm)].add(took.0 as f64);
    }

    /// Forgets routes that are no longer in force.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.means.retain(|route, _| known(route));
    }
}
