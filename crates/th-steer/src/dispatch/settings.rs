//! Settings of dispatch.

use th_protocol::{Millis, Permille};

/// Settings of dispatch. Sources of the defaults are in `docs/design/platform.md`.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSettings {
    /// Number of objects that a backend server is assumed to keep warm; below the smallest number at any site.
    pub warm_objects: usize,
    /// Time after its last request for which an object still counts towards the number of objects in use.
    pub object_age: Millis,
    /// Cost added for a backend server in another data centre of the region: the price of the bytes, expressed as
    /// request time.
    pub zone_cost: Millis,
    /// Cost added for a backend server in another region: the round trip and the price of the bytes.
    pub region_cost: Millis,
    /// Step by which the share of requests sent to other regions may grow from one window to the next while this region
    /// has backend servers; half of the limit on the share of requests that may change their region.
    pub spill_share: Permille,
    /// Length of that window; the users state the limit for 2 s.
    pub spill_window: Millis,
    /// Time constant with which the external load that a backend server reported decays: the time of a few requests.
    pub load_decay: Millis,
    /// Consecutive failures after which a backend server is ejected.
    pub failure_limit: u32,
    /// Duration of the first ejection of a backend server; doubled with each further failure.
    pub base_ejection: Millis,
    /// Longest duration of an ejection.
    pub max_ejection: Millis,
    /// Retries allowed in a window, as a fraction of the first attempts.
    pub retry_share: f64,
    /// Retries allowed in a window in addition to that share, over all VMs.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: Millis,
    /// Fraction of the retry budget that is used, because windows slide and VMs count independently.
    pub safety_factor: f64,
    /// Requests that a cold backend server may get in a second, as a multiple of its rate.
    pub cold_multiplier: f64,
    /// Requests that a cold backend server may get in a second beyond that.
    pub cold_slack: f64,
    /// Longest pause of a backend server that is heeded; a longer one counts as this.
    pub max_rest: Millis,
    /// Age of what is known of the store from which keys of organisations are not trusted; `None` if they are trusted at
    /// any age.
    pub key_age: Option<Millis>,
    /// Shortest time after which the caller of a rejected request is told to retry.
    pub backoff_min: Millis,
    /// Longest time after which the caller of a rejected request is told to retry.
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
            failure_limit: 3,
            base_ejection: Millis(500),
            max_ejection: Millis(4_000),
            retry_share: 0.2,
            retry_slack: 50.0,
            retry_window: Millis(10_000),
            safety_factor: 0.7,
            cold_multiplier: 1.5,
            cold_slack: 5.0,
            max_rest: Millis(60_000),
            key_age: None,
            backoff_min: Millis(150),
            backoff_max: Millis(1_500),
        }
    }
}
