//! A request to be placed, and the result of its placement.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{BackendId, Millis, RegionId, ServiceId, Time};

use super::{backend::Attempt, route::Route};
use crate::organisation::Organisation;

/// A request to be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the route's weights chose for it.
    pub service: ServiceId,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer must be complete.
    pub deadline: Time,
    /// When it must be on its way to a backend server, if it may not wait for a slot until its deadline.
    pub start_by: Option<Time>,
    /// Backend servers to which it has already been sent.
    pub tried: Vec<BackendId>,
    /// The organisation that makes it, if any.
    pub organisation: Option<Arc<Organisation>>,
}

impl Job {
    /// The time from which it misses its route's latency objective.
    pub fn objective_deadline(&self) -> Time {
        self.arrived.after(self.route.objective)
    }

    /// Its rank among waiting requests; 0 is served first.
    pub fn rank(&self) -> u32 {
        let rank = self.organisation.as_ref().and_then(|it| it.rank);
        rank.unwrap_or(self.route.rank)
    }

    /// Whether it may run in a region, which is unknown for `None`: the home regions of both its route and its
    /// organisation bind.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        let homes = self.organisation.as_ref().map(|it| &it.home_regions);
        for homes in [Some(&self.route.home_regions), homes].into_iter().flatten() {
            if !homes.is_empty() && !region.is_some_and(|it| homes.contains(it)) {
                return false;
            }
        }
        true
    }
}

/// Why a request is rejected without being sent. The variant names are written to the request log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No backend server of the service may be used.
    NoBackend,
    /// This VM reaches no backend server; another entry VM may take the request.
    Isolated,
    /// It would finish after its deadline.
    TooLate,
    /// It would wait for a slot beyond the time for that.
    LongWait,
    /// Its deadline has passed, for example while it waited.
    Expired,
    /// It would not finish before the planned stop of this VM ends; another entry VM may take it.
    Stopping,
}

/// The result of placing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Send it to a backend server, where a slot is reserved.
    Send {
        /// The attempt; its slot is released when the attempt ends.
        attempt: Attempt,
        /// Address on which the server listens.
        address: SocketAddr,
    },
    /// It waits for a free slot.
    Wait,
    /// Reject it; the caller may retry after the given time.
    Reject(Rejection, Millis),
}
