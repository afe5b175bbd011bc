//! Demand per service and class, estimated from requests seen.

use th_protocol::{Millis, Time};

use super::{ClassIx, RowRemap, ServiceIx};

/// Weight of the newest window in the moving average.
const WINDOW_WEIGHT: f32 = 0.3;
/// How long a request holds a slot where nothing was measured.
const DEFAULT_HOLD: Millis = Millis(50);

/// Requests seen per service and class, as a moving average, with the time of the last window.
#[derive(Debug, Clone)]
pub struct Demand {
    classes: usize,
    counts: Vec<u32>,
    /// Requests a second.
    rates: Vec<f32>,
    /// Milliseconds of a slot per request, by service.
    hold_ms: Vec<f32>,
    /// End of the last window in which a service was asked for.
    last_seen: Vec<Option<Time>>,
    window_start: Time,
}

impl Demand {
    /// A table without requests; `now` opens the first window.
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

    /// Counts requests, or look-ups that stand for them.
    pub fn count(&mut self, service: ServiceIx, class: ClassIx, requests: u32) {
        let cell = &mut self.counts[service.row() * self.classes + class.row()];
        *cell = cell.saturating_add(requests);
    }

    /// Sets how long a request of the service holds a slot on average.
    pub fn set_hold(&mut self, service: ServiceIx, hold: Millis) {
        self.hold_ms[service.row()] = hold.0 as f32;
    }

    /// Closes the window and opens the next.
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
            return; // no requests: the old numbers stay and age
        }
        let gain = if self.last_seen[service].is_none() { 1.0 } else { WINDOW_WEIGHT };
        for (rate, count) in self.rates[cells.clone()].iter_mut().zip(&mut self.counts[cells]) {
            *rate += gain * (*count as f32 / span - *rate);
            *count = 0;
        }
        self.last_seen[service] = Some(now);
    }

    /// Slots that the class keeps busy.
    pub fn slots(&self, service: ServiceIx, class: ClassIx) -> f32 {
        let rate = self.rates[service.row() * self.classes + class.row()];
        rate * self.hold_ms[service.row()] / 1000.0
    }

    /// Slots that all classes of the service keep busy.
    pub fn total(&self, service: ServiceIx) -> f32 {
        let rates = &self.rates[service.row() * self.classes..][..self.classes];
        rates.iter().sum::<f32>() * self.hold_ms[service.row()] / 1000.0
    }

    /// The age of the service's estimate.
    pub fn age(&self, service: ServiceIx, now: Time) -> Option<Millis> {
        self.last_seen[service.row()].map(|it| now.since(it))
    }

    /// Takes over the estimates from the tables of the bundle before.
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

    /// Bytes of memory held.
    pub fn bytes(&self) -> usize {
        self.counts.capacity() * 4 + self.rates.capacity() * 4 + self.last_seen.capacity() * 24
    }
}
