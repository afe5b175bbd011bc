//! Sizes of the answers of each route, from which those of later ones are expected.

use std::collections::BTreeMap;

use th_protocol::Bytes;

/// Divisor for the weight of a new sample in the mean.
const MEAN_SMOOTHING: f64 = 8.0;
/// Divisor for the weight of a new sample in the mean deviation.
const DEVIATION_SMOOTHING: f64 = 4.0;
/// Multiple of the mean deviation that is added to the mean, so that most answers are no larger than expected.
const DEVIATIONS: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Size {
    mean: f64,
    deviation: f64,
}

/// Smoothed sizes of answers, by route.
#[derive(Debug, Clone, Default)]
pub struct AnswerSizes {
    routes: BTreeMap<String, Size>,
}

impl AnswerSizes {
    /// The size that an answer of the route is expected to have at most; zero while none is known.
    pub fn expected(&self, route: &str) -> Bytes {
        let size = self.routes.get(route);
        Bytes(size.map_or(0, |it| (it.mean + DEVIATIONS * it.deviation).ceil() as u64))
    }

    /// Adds the size of a complete answer.
    pub fn add(&mut self, route: &str, size: Bytes) {
        let sample = size.0 as f64;
        let Some(size) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_owned(), Size { mean: sample, deviation: 0.0 });
            return;
        };
        let difference = sample - size.mean;
        size.mean += difference / MEAN_SMOOTHING;
        size.deviation += (difference.abs() - size.deviation) / DEVIATION_SMOOTHING;
    }

    /// Drops the routes that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| known(route));
    }
}
