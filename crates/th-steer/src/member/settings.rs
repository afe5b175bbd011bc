//! Settings of membership.

use th_protocol::Millis;

/// Settings of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between rounds of heartbeats.
    pub period: Millis,
    /// Heartbeats in each round to VMs of the fleet, in turn.
    pub fleet_fanout: usize,
    /// Heartbeats in each round to random VMs of this VM's data centre.
    pub local_fanout: usize,
    /// Time after which a heartbeat or an indirect check counts as unanswered.
    pub timeout: Millis,
    /// Number of peers that are requested to check an unresponsive VM.
    pub indirect_checks: usize,
    /// Time after which a suspect VM that did not refute the suspicion is declared dead.
    pub suspicion_timeout: Millis,
    /// Maximum number of records of other VMs in each heartbeat.
    pub records: usize,
    /// Number of times that a changed record is passed on, for each doubling of the fleet's size.
    pub rumor_repeats: u32,
    /// Time between heartbeats to dead VMs, which find out whether they are reachable again.
    pub dead_period: Millis,
    /// Time for which the record of a dead VM is retained.
    pub tombstone_ttl: Millis,
    /// Minimum gap between two ticks that counts as a pause of this process.
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
