//! Position of a flow in virtual time.

/// Virtual time units for one millisecond of expected slot time at weight one.
pub(crate) const SCALE: u64 = 1 << 20;

/// Position of a flow in the virtual time of start-time fair queueing.
#[derive(Debug, Clone)]
pub(crate) struct Turn {
    pub(crate) weight: u32,
    /// Virtual start time of the next request.
    pub(crate) start: u64,
}

impl Turn {
    pub(crate) fn new(weight: u32) -> Turn {
        Turn { weight: weight.max(1), start: 0 }
    }

    /// Returns the virtual time for a request with an expected slot time of `millis`.
    pub(crate) fn cost(&self, millis: u64) -> u64 {
        millis.max(1).saturating_mul(SCALE) / u64::from(self.weight)
    }

    /// Serves a request with an expected slot time of `millis`. Returns its virtual start time: `now`, or later if the flow
    /// has used more than its share.
    pub(crate) fn take(&mut self, now: u64, millis: u64) -> u64 {
        let start = self.start.max(now);
        self.start = start.saturating_add(self.cost(millis));
        start
    }
}
