//! A request that is to be placed, and where it goes.

use std::{net::SocketAddr, sync::Arc};

use th_protocol::{BackendId, Millis, ServiceId, Time};

use super::{backend::Attempt, route::Route};

/// A request that is to be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the route's weights chose for it.
    pub service: ServiceId,
    /// A hash of the object that it concerns.
    pub object: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer has to be complete.
    pub deadline: Time,
    /// Backend servers that it was sent to before.
    pub tried: Vec<BackendId>,
}

impl Job {
    /// When the objective of its route is missed.
    pub fn objective_deadline(&self) -> Time {
        self.arrived.after(self.route.objective)
    }
}

/// Why a request is not placed; it has not run at the time of the refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No backend server of the service may be used.
    NoBackend,
    /// Its answer would come after its limit.
    TooLate,
    /// Its time ran out while it waited.
    Expired,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// To a backend server, with a slot taken.
    Send {
        /// The slot; it is given back with the attempt's end.
        attempt: Attempt,
        /// Where the server listens.
        address: SocketAddr,
    },
    /// It waits for a slot.
    Wait,
    /// Nowhere; it is worth asking again after that time.
    Reject(Rejection, Millis),
}
