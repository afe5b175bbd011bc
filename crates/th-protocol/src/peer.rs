//! Messages between entry VMs: heartbeats, indirect checks and bundle transfers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    BackendId, Digest, Incarnation, Millis, Permille, RegionId, Time, Version, VmId, ZoneId,
};

/// The identity of the bundle that a VM holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BundleHead {
    /// The bundle's version.
    pub version: Version,
    /// The digest of the bundle's manifest.
    pub digest: Digest,
}

/// The membership state of an entry VM. At the same incarnation and heartbeat counter, a later
/// variant takes precedence over an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The VM accepts requests.
    #[serde(rename = "l")]
    Live,
    /// The VM finishes the requests in progress and accepts no new ones.
    #[serde(rename = "g")]
    Leaving,
    /// The VM did not answer a heartbeat.
    #[serde(rename = "s")]
    Suspect,
    /// The VM did not answer a heartbeat and did not refute the suspicion in time.
    #[serde(rename = "d")]
    Dead,
}

/// What is known about one entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// The address of its listener for peers.
    pub address: SocketAddr,
    /// The address of its listener for callers.
    pub callers: SocketAddr,
    /// The wall-clock time, in milliseconds since 1970, at which its boot clock read zero.
    pub origin: Time,
    /// Which start of its process this is.
    pub incarnation: Incarnation,
    /// The heartbeat counter: the VM itself raises it when it refutes a suspicion or changes its
    /// state.
    pub beat: u32,
    /// Its membership state.
    pub state: MemberState,
}

impl PeerRecord {
    /// Returns the precedence of the record: among records of one VM, the greatest replaces the
    /// others.
    pub fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.beat, self.state)
    }
}

/// The source of evidence that a backend server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeavingSource {
    /// The bundle marks the server as leaving.
    #[serde(rename = "b")]
    Bundle,
    /// The platform's list of VMs has the server as leaving, or no longer lists it.
    #[serde(rename = "l")]
    VmList,
    /// The server's own report, in a header or a load report.
    #[serde(rename = "o")]
    Own,
}

/// Evidence that a backend server is leaving, as entry VMs exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The backend server.
    pub backend: BackendId,
    /// The source of the evidence.
    pub source: LeavingSource,
    /// Time since the evidence was last seen at its source.
    pub age: Millis,
}

/// The free share of a region's capacity, as measured by one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadroomDigest {
    /// The region.
    pub region: RegionId,
    /// The data centre that measured it.
    pub zone: ZoneId,
    /// The free share.
    pub free: Permille,
    /// Time since the measurement.
    pub age: Millis,
}

/// A heartbeat; the answer to a heartbeat has the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own record.
    pub from: PeerRecord,
    /// The reading of the sender's boot clock.
    pub clock: Time,
    /// The bundle that the sender holds, if any.
    pub head: Option<BundleHead>,
    /// Measurements of free capacity that the sender knows.
    pub headroom: Vec<HeadroomDigest>,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Records of a few other entry VMs.
    pub records: Vec<PeerRecord>,
}

/// A request to a peer to send a heartbeat to `target` on the sender's behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndirectCheck {
    /// The entry VM that did not answer.
    pub target: PeerRecord,
}

/// The answer to an indirect check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// The record that the target answered with; `None` if it did not answer.
    pub record: Option<PeerRecord>,
}

/// A request to a peer for a manifest or a part of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleRequest {
    /// The manifest of the bundle with this head.
    Manifest(BundleHead),
    /// The part with this digest.
    Part(Digest),
}

/// The answer to a [`BundleRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAnswer {
    /// The bytes of the signed manifest or of the part; `None` if the peer does not hold them.
    #[serde(with = "serde_bytes")]
    pub content: Option<Vec<u8>>,
}
