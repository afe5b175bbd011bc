//! Demand per service and class, estimated from counted requests.

use th_protocol::{Millis, Time};

use super::{ClassIx, RowRemap, ServiceIx};

/// Weight of the newest window in the moving average.
const WINDOW_WEIGHT: f32 = 0.3;
/// Assumed time that a request holds a slot, until a measured time is set.
const DEFAULT_HOLD: Millis = Millis(50);

/// Request rates per service and class, as moving averages over windows.
///
/// Each service also has the time of the last window that had requests.
#[derive(Debug, Clone)]
pub struct Demand {
    classes: usize,
    counts: Vec<u32>,
    /// Requests per second, per service and class.
    rates: Vec<f32>,
    /// Average time that a request holds a slot, in milliseconds, per service.
    hold_ms: Vec<f32>,
    /// End of the last window that had requests for the service.
    last_seen: Vec<Option<Time>>,
    window_start: Time,
}

impl Demand {
    /// Creates a table without requests whose first window starts at `now`.
    pub fn new(services: usize, classes: usize, now: Time) -> Demand {
        Demand {
            classes,
            counts: vec![0; services * classes],
            rates: vec![0.0; services * classes],
            hold_ms: vec![DEFAULT_HOLD.0 as f32; services],
            last_seen: vec![None; services],
            window_start: now,
        }
    }

    /// Counts requests, or look-ups as an estimate of the requests that follow them.
    pub fn count(&mut self, service: ServiceIx, class: ClassIx, requests: u32) {
        let cell = &mut self.counts[service.row() * self.classes + class.row()];
        *cell = cell.saturating_add(requests);
    }

    /// Sets how long a request of the service holds a slot on average.
    pub fn set_hold(&mut self, service: ServiceIx, hold: Millis) {
        self.hold_ms[service.row()] = hold.0 as f32;
    }

    /// Ends the current window, updates the averages and starts the next window.
    pub fn close_window(&mut self, now: Time) {
        let span = now.since(self.window_start).0 as f32 / 1000.0;
        if span <= 0.0 {
            return;
        }
        for service in 0..self.last_seen.len() {
            self.close_service_window(service, span, now);
        }
        self.window_start = now;
    }

    fn close_service_window(&mut self, service: usize, span: f32, now: Time) {
        let cells = service * self.classes..(service + 1) * self.classes;
        if self.counts[cells.clone()].iter().all(|&it| it == 0) {
            return; // no requests: the last estimate stays and its age grows
        }
        let gain = if self.last_seen[service].is_none() { 1.0 } else { WINDOW_WEIGHT };
        for (rate, count) in self.rates[cells.clone()].iter_mut().zip(&mut self.counts[cells]) {
            *rate += gain * (*count as f32 / span - *rate);
            *count = 0;
        }
        self.last_seen[service] = Some(now);
    }

    /// Estimated number of slots that requests of the class occupy.
    pub fn slots(&self, service: ServiceIx, class: ClassIx) -> f32 {
        let rate = self.rates[service.row() * self.classes + class.row()];
        rate * self.hold_ms[service.row()] / 1000.0
    }

    /// Estimated number of slots that requests of the service occupy, over all classes.
    pub fn total(&self, service: ServiceIx) -> f32 {
        let rates = &self.rates[service.row() * self.classes..][..self.classes];
        rates.iter().sum::<f32>() * self.hold_ms[service.row()] / 1000.0
    }

    /// The age of the service's estimate; `None` before the first request.
    pub fn age(&self, service: ServiceIx, now: Time) -> Option<Millis> {
        self.last_seen[service.row()].map(|it| now.since(it))
    }

    /// Copies the estimates from the tables of the previous bundle.
    pub fn remap_from(&mut self, from: &Demand, remap: &RowRemap) {
        for ((service, class), (to, cell)) in remap.class_pairs() {
            let (old, new) = (service * from.classes + class, to * self.classes + cell);
            self.counts[new] = from.counts[old];
            self.rates[new] = from.rates[old];
        }
        for (to, service) in remap.services.iter().enumerate() {
            let Some(service) = *service else { continue };
            self.hold_ms[to] = from.hold_ms[service];
            self.last_seen[to] = from.last_seen[service];
        }
        self.window_start = from.window_start;
    }

    /// Memory that the table uses, in bytes.
    pub fn bytes(&self) -> usize {
        self.counts.capacity() * 4 + self.rates.capacity() * 4 + self.last_seen.capacity() * 24
    }
}
