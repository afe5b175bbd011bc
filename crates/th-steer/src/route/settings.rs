//! Settings of look-ups and of the planner.

use th_protocol::{Millis, Permille};

/// Settings of look-ups and of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The longest time that a caller may cache an answer.
    pub ttl: Millis,
    /// The longest time that a caller may cache an answer while the service's weights are changing.
    pub shift_ttl: Millis,
    /// Maximum share of the TTL by which an answer's TTL is randomly shortened.
    pub jitter: Permille,
    /// Maximum age at which an observation is fully trusted.
    pub fresh: Millis,
    /// Age from which on an observation is not trusted at all.
    pub stale: Millis,
    /// Time between two calls of [`Planner::tick`](super::Planner::tick).
    pub period: Millis,
    /// Share of a region's limit up to which a change of its load is not recorded as an effect.
    pub deadband: Permille,
    /// Maximum error of a measured load, as a share of the region's limit. A measurement may show
    /// effects up to this size only in part, and a smaller change of the background load moves no
    /// traffic. Should be half the headroom that services leave free.
    pub tolerance: Permille,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ttl: Millis(10_000),
            shift_ttl: Millis(5_000),
            jitter: Permille(250),
            fresh: Millis(30_000),
            stale: Millis(120_000),
            period: Millis(5_000),
            deadband: Permille(5),
            tolerance: Permille(50),
        }
    }
}
