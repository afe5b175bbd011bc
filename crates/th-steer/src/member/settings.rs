//! Settings of membership.

use th_protocol::Millis;

/// Settings of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between rounds of heartbeats.
    pub period: Millis,
    /// Heartbeats in each round to VMs of the whole fleet, in turn.
    pub fleet_fanout: usize,
    /// Heartbeats in each round to random VMs of the own data centre.
    pub local_fanout: usize,
    /// Time until a heartbeat or an indirect check counts as unanswered.
    pub timeout: Millis,
    /// Peers that are asked for an indirect check.
    pub indirect_checks: usize,
    /// Time between suspicion and death.
    pub suspicion_timeout: Millis,
    /// Records of other VMs on each heartbeat.
    pub records: usize,
    /// Times that news is passed on, for each doubling of the fleet's size.
    pub rumor_repeats: u32,
    /// Time between heartbeats to VMs that are taken for dead.
    pub dead_period: Millis,
    /// Time that a dead VM's record is kept.
    pub tombstone_ttl: Millis,
    /// A longer gap between two ticks means that this process was paused.
    pub pause_limit: Millis,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            period: Millis(1_000),
            fleet_fanout: 1,
            local_fanout: 1,
            timeout: Millis(500),
            indirect_checks: 3,
            suspicion_timeout: Millis(5_000),
            records: 5,
            rumor_repeats: 2,
            dead_period: Millis(5_000),
            tombstone_ttl: Millis(600_000),
            pause_limit: Millis(3_000),
        }
    }
}
