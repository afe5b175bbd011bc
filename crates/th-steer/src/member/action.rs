//! What goes in and out of the membership protocol.

use std::net::SocketAddr;

use th_protocol::{
    BundleHead, HeadroomDigest, Heartbeat, IndirectCheck, LeavingNotice, MemberState, VmId, ZoneId,
};

/// What an adapter must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat; its answer goes to `Members::on_answer`.
    Heartbeat {
        /// The receiver.
        to: VmId,
        /// Its peer listener.
        address: SocketAddr,
        /// The message.
        message: Heartbeat,
    },
    /// Ask a peer to check another VM; its answer goes to `Members::on_check_answer`.
    Check {
        /// The peer that is asked.
        via: VmId,
        /// Its peer listener.
        address: SocketAddr,
        /// The message.
        message: IndirectCheck,
    },
}

/// An entry VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its peer listener.
    pub address: SocketAddr,
    /// Live or leaving.
    pub state: MemberState,
}

/// What this VM's heartbeats carry besides membership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatContent {
    /// The bundle that it holds.
    pub head: Option<BundleHead>,
    /// Free capacity.
    pub headroom: Vec<HeadroomDigest>,
    /// Backend servers that leave.
    pub leaving: Vec<LeavingNotice>,
}

/// What a VM's own checks found since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// VMs that neither it nor the peers it asked could reach.
    pub suspected: u64,
    /// Suspicions that were not refuted in time.
    pub declared_dead: u64,
    /// Records of this VM itself that it refuted.
    pub refuted: u64,
}
