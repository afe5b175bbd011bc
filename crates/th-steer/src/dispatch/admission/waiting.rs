//! Requests that wait for a slot.

use std::collections::BTreeMap;

use th_protocol::{OrganisationId, ServiceId, Time};

use super::{
    super::{job::Job, place::millis, work::WorkTimes},
    urgency::Urgency,
};
use crate::organisation::FairShares;

/// Requests that wait, by the number that identifies each to its owner.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    jobs: BTreeMap<u64, Job>,
}

impl Waiting {
    pub(crate) fn insert(&mut self, number: u64, job: Job) {
        self.jobs.insert(number, job);
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Job> {
        self.jobs.remove(&number)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// The numbers in the order of service: requests that can still meet their objective first, then by rank, then by the
    /// fair shares of their organisations, then by arrival.
    pub(crate) fn order(&self, shares: &FairShares, work: &WorkTimes, now: Time) -> Vec<u64> {
        let mut order = Vec::with_capacity(self.jobs.len());
        for (number, job) in &self.jobs {
            order.push((Urgency::new(job, work, now), 0, job.arrived, *number));
        }
        order.sort_unstable();
        let mut ahead: BTreeMap<(&ServiceId, &OrganisationId), u64> = BTreeMap::new();
        for entry in &mut order {
            let job = &self.jobs[&entry.3];
            let Some(organisation) = &job.organisation else {
                continue;
            };
            let count = ahead.entry((&job.service, &organisation.id)).or_default();
            let work = work.expected(&job.route.name, false, job.route.objective);
            entry.1 = shares.start(&job.service, organisation, *count, millis(work));
            *count += 1;
        }
        if !ahead.is_empty() {
            order.sort_unstable();
        }
        order.into_iter().map(|it| it.3).collect()
    }
}
