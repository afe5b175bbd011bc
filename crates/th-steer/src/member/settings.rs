//! Settings of membership.

use th_protocol::Millis;

/// Settings of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time between rounds of heartbeats.
    pub period: Millis,
    /// Heartbeats in each round to VMs of the whole fleet, in turn.
    pub fleet: usize,
    /// Heartbeats in each round to random VMs of the own data centre.
    pub local: usize,
    /// Time until a heartbeat or an indirect check counts as unanswered.
    pub timeout: Millis,
    /// Peers that are asked for an indirect check.
    pub checks: usize,
    /// Time between suspicion and death.
    pub suspicion: Millis,
    /// Records of other VMs on each heartbeat.
    pub records: usize,
    /// Times that news is passed on, for each doubling of the fleet's size.
    pub repeats: u32,
    /// Time between heartbeats to VMs that are taken for dead.
    pub revisit: Millis,
    /// Time that a dead VM's record is kept.
    pub tombstone: Millis,
    /// A longer gap between two ticks means that this process was paused.
    pub pause: Millis,
}

impl Default for MemberSettings {
    fn default() -> MemberSettings {
        MemberSettings {
            period: Millis(1_000),
            fleet: 1,
            local: 1,
            timeout: Millis(500),
            checks: 3,
            suspicion: Millis(5_000),
            records: 5,
            repeats: 2,
            revisit: Millis(5_000),
            tombstone: Millis(600_000),
            pause: Millis(3_000),
        }
    }
}
