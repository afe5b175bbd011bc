//! Settings of dispatch.

use th_protocol::{Millis, Permille};

/// Settings of dispatch. Sources of the defaults are in `docs/design/platform.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// Objects that a backend server is taken to keep warm; below the least of any site.
    pub warm_objects: usize,
    /// An object that was not asked for in this time does not count for the spread of objects.
    pub object_age: Millis,
    /// Added to the cost of a backend server in another data centre of the region: the price of the bytes,
    /// in time of a request.
    pub zone_cost: Millis,
    /// Added to the cost of a backend server in another region: its round trip and the price of the bytes.
    pub region_cost: Millis,
    /// Most of the requests of a window that may be sent to other regions while this one has backend servers;
    /// half of the bound on what may change its region.
    pub spill_share: Permille,
    /// Length of that window; the users' bound is stated for 2 s.
    pub spill_window: Millis,
    /// Time constant of the load that others are taken to put on a backend server, by its reports: work of some requests.
    pub load_decay: Millis,
    /// Failures in a row after which a backend server is left out.
    pub eject_after: u32,
    /// First time that a backend server is left out; doubled with each further failure.
    pub eject_base: Millis,
    /// Longest time that a backend server is left out.
    pub eject_max: Millis,
    /// Share of requests that may be sent again.
    pub retry_share: f64,
    /// Requests of a window that may be sent again beside that share, over all VMs.
    pub retry_slack: f64,
    /// Length of the window of the retry budget.
    pub retry_window: Millis,
    /// Part of the budgets that is used, since windows slide and VMs count apart.
    pub safety_factor: f64,
    /// Shortest time after which a refused request is asked to come back.
    pub backoff_min: Millis,
    /// Longest time after which a refused request is asked to come back.
    pub backoff_max: Millis,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            warm_objects: 13,
            object_age: Millis(20_000),
            zone_cost: Millis(50),
            region_cost: Millis(250),
            spill_share: Permille(70),
            spill_window: Millis(2_000),
            load_decay: Millis(1_500),
            eject_after: 3,
            eject_base: Millis(500),
            eject_max: Millis(4_000),
            retry_share: 0.2,
            retry_slack: 50.0,
            retry_window: Millis(10_000),
            safety_factor: 0.7,
            backoff_min: Millis(150),
            backoff_max: Millis(1_500),
        }
    }
}
