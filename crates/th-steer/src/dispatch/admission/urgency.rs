//! Which waiting requests can still meet their latency objective.
//!
//! Handles bursts, in which slots cannot serve all requests in time. A request that is sent at the last moment before its
//! objective ends is answered after it, and keeps the next request from being in time as well. So the time that the work
//! takes counts too, and a request that misses its objective anyway gives way to those that can meet theirs.

use th_protocol::Time;

use super::super::{job::Job, place::millis, work::WorkTimes};

/// Multiple of the expected work that must fit before the end of the objective. Work varies, and the answer still has to
/// reach the caller.
const WORK_MARGIN: f64 = 1.3;

/// Place of a waiting request in the order of service; the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    /// Whether it misses its objective, even if it is sent now to a server that has its object warm.
    late: bool,
    rank: u32,
}

impl Urgency {
    pub(crate) fn new(job: &Job, work: &WorkTimes, now: Time) -> Urgency {
        let expected = work.expected(&job.route.name, true, job.route.objective);
        let end = now.after(millis(expected * WORK_MARGIN));
        Urgency { late: job.objective_deadline() < end, rank: job.rank() }
    }
}
