//! The engine's state for metrics, reports and explanations.

use std::collections::BTreeMap;

use th_protocol::{
    AttemptId, BackendId, Bytes, LinkId, Millis, Permille, Reason, RegionId, ServiceId, Slots,
    Time, VmId,
};

use super::Engine;
use crate::explain::{Inputs, Limit, Outcome, Record, Rule};

/// A snapshot of the engine's state for metrics and reports.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// The free share of each region's capacity, with the age of the oldest digest.
    pub headroom: BTreeMap<RegionId, (Permille, Millis)>,
    /// The free share of each link that starts in this region.
    pub links: BTreeMap<LinkId, Permille>,
    /// For each drained backend server, the time from the first sign that it is leaving to the end of its
    /// last request.
    pub drains: BTreeMap<BackendId, Millis>,
    /// Number of leaving backend servers that still have requests in flight.
    pub draining: u64,
    /// Queued requests.
    pub waiting: u64,
    /// Non-idempotent operations in progress.
    pub operations: u64,
    /// Memory used by operations and retained answers.
    pub tickets: Bytes,
    /// Known entry VMs, without this one.
    pub members: u64,
    /// Slots in use.
    pub busy: Slots,
    /// Owners of the shards of this data centre.
    pub shards: BTreeMap<u32, VmId>,
}

impl<A: Clone> Engine<A> {
    /// Returns a snapshot of the state for metrics and reports.
    pub fn view(&mut self, now: Time) -> View {
        let mut view = View {
            headroom: self.region_headroom(now),
            links: self.capacity.free_links(now).into_iter().collect(),
            waiting: self.queues.values().map(|it| it.len() as u64).sum(),
            operations: self.tickets.in_flight() as u64,
            tickets: self.tickets.used(),
            members: self.members.records().count() as u64,
            shards: self.capacity.shards.owners(),
            ..View::default()
        };
        for (backend, leaving) in self.backends.states() {
            view.busy += self.backends.busy(backend);
            let Some(drain) = self.backends.drain(backend).filter(|_| leaving) else {
                continue;
            };
            match drain.time_to_idle() {
                Some(time) => {
                    view.drains.insert(backend.clone(), time);
                }
                None => view.draining += 1,
            }
        }
        view
    }

    fn region_headroom(&self, now: Time) -> BTreeMap<RegionId, (Permille, Millis)> {
        let mut sums: BTreeMap<RegionId, (u32, u32, Millis)> = BTreeMap::new();
        for digest in self.headroom.digests(now) {
            let sum = sums.entry(digest.region).or_default();
            sum.0 += digest.free.0;
            sum.1 += 1;
            sum.2 = sum.2.max(digest.age);
        }
        let mean = |(free, count, age): (u32, u32, Millis)| (Permille(free / count), age);
        sums.into_iter().map(|(region, sum)| (region, mean(sum))).collect()
    }

    /// Records the reason for a decision in the journal.
    pub(crate) fn record(
        &mut self,
        service: &ServiceId,
        request: Option<u64>,
        inputs: Inputs,
        (limit, rule, outcome): (Limit, Rule, Outcome),
        reason: Option<Reason>,
        now: Time,
    ) {
        let service = service.clone();
        let attempt: Option<AttemptId> = None;
        let record =
            Record { time: now, service, request, attempt, inputs, limit, rule, outcome, reason };
        self.journal.record(record);
    }

    /// Returns at most `most` records of the latest decisions about a service, newest first.
    pub fn explain_service(&self, service: &ServiceId, most: usize) -> Vec<Record> {
        self.journal.of_service(service, most)
    }

    /// Returns the records of the decisions about a request, oldest first.
    pub fn explain_request(&self, number: u64) -> Vec<Record> {
        self.journal.of_request(number)
    }
}
