//! Settings of look-ups and of the planner.

use th_protocol::{Millis, Permille};

/// Settings of look-ups and of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The longest time that a caller may keep an answer.
    pub ttl: Millis,
    /// The same while the service's weights are moving.
    pub shift_ttl: Millis,
    /// The share of the TTL by which answers differ at random, downwards.
    pub jitter: Permille,
    /// Up to this age an observation is trusted in full.
    pub fresh: Millis,
    /// From this age on an observation is not trusted at all.
    pub stale: Millis,
    /// Time between two runs of [`Planner::tick`](super::Planner::tick).
    pub period: Millis,
    /// Changes of a region's load below this share of its limit are not recorded as effects.
    pub deadband: Permille,
    /// The share of a region's limit by which measured load may be off: effects below it may be
    /// shown in part, and changes below it move nothing. Keep it at half the headroom that
    /// services leave free.
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
