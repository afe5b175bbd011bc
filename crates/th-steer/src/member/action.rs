//! Inputs and outputs of the membership protocol.

use std::net::SocketAddr;

use th_protocol::{
    BundleHead, HeadroomDigest, Heartbeat, IndirectCheck, LeavingNotice, MemberState, VmId, ZoneId,
};

/// A message that the adapter must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat and pass its answer to `Members::on_answer`.
    Heartbeat {
        /// The receiver.
        to: VmId,
        /// The address of its peer listener.
        address: SocketAddr,
        /// The message.
        message: Heartbeat,
    },
    /// Request a peer to check another VM and pass its answer to `Members::on_check_answer`.
    Check {
        /// The peer that makes the check.
        via: VmId,
        /// The address of its peer listener.
        address: SocketAddr,
        /// The message.
        message: IndirectCheck,
    },
}

/// An entry VM in the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// The address of its peer listener.
    pub address: SocketAddr,
    /// Live or leaving.
    pub state: MemberState,
}

/// What this VM's heartbeats contain besides membership records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatContent {
    /// The bundle in force on this VM.
    pub head: Option<BundleHead>,
    /// Free capacity of regions.
    pub headroom: Vec<HeadroomDigest>,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingNotice>,
}

/// Results of this VM's own checks since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// VMs that neither this VM nor the peers it requested to check them could reach.
    pub suspected: u64,
    /// VMs that did not refute a suspicion in time and were declared dead.
    pub declared_dead: u64,
    /// Peers' records about this VM that it refuted.
    pub refuted: u64,
}
