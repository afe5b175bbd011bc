//! Requests that wait for a slot.

use std::collections::BTreeMap;

use th_protocol::Time;

use super::job::Job;

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

    /// The numbers in the order of service: requests that can still meet their objective first, then by rank, then by
    /// arrival.
    pub(crate) fn order(&self, now: Time) -> Vec<u64> {
        let mut order = Vec::with_capacity(self.jobs.len());
        for (number, job) in &self.jobs {
            order.push((job.objective_deadline() <= now, job.route.rank, job.arrived, *number));
        }
        order.sort_unstable();
        order.into_iter().map(|it| it.3).collect()
    }
}
