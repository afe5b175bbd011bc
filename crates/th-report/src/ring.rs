//! The counts of an entry VM, in bounded memory.

use std::{
    collections::{BTreeMap, VecDeque},
    mem::size_of,
};

use th_protocol::{BackendId, Bytes, Millis, Permille, ServiceId, Time, VmId};

use crate::{
    answer::{BurnAnswer, Drain, Scope, Series},
    headroom::HeadroomLows,
    sample::{Measure, Sample},
    tier::CounterHistory,
    window::Window,
};

/// Maximum number of series: pairs of a service and a measure.
pub const MAX_SERIES: usize = 1536;
/// Maximum number of regions and links.
pub const MAX_SCOPES: usize = 512;
/// Maximum number of drains that are retained.
pub const MAX_DRAINS: usize = 256;

#[derive(Debug, Clone)]
struct DrainRecord {
    service: ServiceId,
    backend: BackendId,
    took: Millis,
    at: Time,
}

/// The counts of an entry VM for the last three days, or since its start.
#[derive(Debug, Clone)]
pub struct BurnRing {
    start: Time,
    counters: BTreeMap<(ServiceId, Measure), CounterHistory>,
    headroom: BTreeMap<Scope, HeadroomLows>,
    drains: VecDeque<DrainRecord>,
    dropped: u64,
}

impl BurnRing {
    /// Maximum memory of the counts: [`MAX_SERIES`] series with a full history.
    pub const MAX_MEMORY: Bytes =
        Bytes((MAX_SERIES * (CounterHistory::MAX_MEMORY + size_of::<CounterHistory>())) as u64);

    /// Creates an empty ring that counts from `start` on.
    pub fn new(start: Time) -> BurnRing {
        BurnRing {
            start,
            counters: BTreeMap::new(),
            headroom: BTreeMap::new(),
            drains: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Records the value of a counter. What was added since the last call counts towards the minute
    /// of `sample.at`, so this has to be called at least once a minute for each counter.
    pub fn record(&mut self, sample: &Sample) {
        let key = (sample.service.clone(), sample.measure);
        if self.counters.len() == MAX_SERIES && !self.counters.contains_key(&key) {
            self.dropped += 1;
            return;
        }
        let counter = self.counters.entry(key).or_insert_with(CounterHistory::new);
        counter.record(sample.at, sample.count());
    }

    /// Records the share of a cap that is free.
    pub fn record_headroom(&mut self, scope: &Scope, free: Permille, at: Time) {
        if self.headroom.len() == MAX_SCOPES && !self.headroom.contains_key(scope) {
            self.dropped += 1;
            return;
        }
        self.headroom.entry(scope.clone()).or_default().record(free, at);
    }

    /// Records a drain that ended at `at`.
    pub fn record_drain(&mut self, service: ServiceId, backend: BackendId, took: Millis, at: Time) {
        if self.drains.len() == MAX_DRAINS {
            self.drains.pop_front();
        }
        self.drains.push_back(DrainRecord { service, backend, took, at });
    }

    /// Removes the counts of services for which `keep` returns false, such as those that a new bundle
    /// no longer has.
    pub fn retain_services(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.counters.retain(|(service, _), _| keep(service));
    }

    /// Removes the headroom of regions and links for which `keep` returns false.
    pub fn retain_scopes(&mut self, keep: impl Fn(&Scope) -> bool) {
        self.headroom.retain(|scope, _| keep(scope));
    }

    /// Returns the answer to `GET /v1/burn`. `objectives` are those of the bundle in force; services
    /// without an objective are left out.
    pub fn answer(
        &self,
        vm: &VmId,
        now: Time,
        objectives: &BTreeMap<ServiceId, Permille>,
    ) -> BurnAnswer {
        let mut series = Vec::new();
        for ((service, measure), counter) in &self.counters {
            let Some(objective) = objectives.get(service) else { continue };
            let windows = Window::ALL.map(|it| (it, counter.sum(now, it)));
            series.push(Series {
                service: service.clone(),
                measure: *measure,
                objective: *objective,
                windows: windows.into(),
                history: counter.points(now),
            });
        }
        let headroom = self.headroom.iter().map(|(scope, it)| it.answer(scope, now)).collect();
        let drains = self.drains.iter().map(|it| it.answer(now)).collect();
        let age = now.since(self.start);
        BurnAnswer { vm: vm.clone(), age, dropped: self.dropped, series, headroom, drains }
    }

    /// Returns the memory that the counts take now.
    pub fn memory(&self) -> Bytes {
        let mut sum = Bytes::ZERO;
        for counter in self.counters.values() {
            sum += counter.memory() + Bytes(size_of::<CounterHistory>() as u64);
        }
        sum
    }
}

impl DrainRecord {
    fn answer(&self, now: Time) -> Drain {
        Drain {
            service: self.service.clone(),
            backend: self.backend.clone(),
            took: self.took,
            age: now.since(self.at),
        }
    }
}
