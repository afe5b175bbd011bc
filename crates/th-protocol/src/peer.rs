//! What entry VMs tell each other: heartbeats, indirect checks and bundle fetches.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    BackendId, Digest, Incarnation, Millis, Permille, RegionId, Time, Version, VmId, ZoneId,
};

/// Which bundle a VM holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BundleHead {
    /// Its version.
    pub version: Version,
    /// The hash of its manifest.
    pub digest: Digest,
}

/// How an entry VM stands; at the same incarnation and beat a later case replaces an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It serves.
    #[serde(rename = "l")]
    Live,
    /// It finishes what it holds and takes nothing new.
    #[serde(rename = "g")]
    Leaving,
    /// It did not answer.
    #[serde(rename = "s")]
    Suspect,
    /// It did not answer and did not refute the suspicion.
    #[serde(rename = "d")]
    Dead,
}

/// What is known of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its peer listener.
    pub address: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// The wall-clock time, in milliseconds since 1970, at which its boot clock read zero.
    pub origin: Time,
    /// Which start of its process this is.
    pub incarnation: Incarnation,
    /// Raised by the VM itself when it refutes a suspicion or changes its state.
    pub beat: u32,
    /// How it stands.
    pub state: MemberState,
}

impl PeerRecord {
    /// The order in which records of one VM replace each other.
    pub fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.beat, self.state)
    }
}

/// Which kind of evidence says that a backend server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeavingSource {
    /// The bundle marks it.
    #[serde(rename = "b")]
    Bundle,
    /// The platform's list of VMs has it as leaving, or no longer has it.
    #[serde(rename = "l")]
    VmList,
    /// Its own word, in a header or a load report.
    #[serde(rename = "o")]
    Own,
}

/// Evidence, passed between entry VMs, that a backend server leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The backend server.
    pub backend: BackendId,
    /// The kind of evidence.
    pub source: LeavingSource,
    /// Time since it was last seen at its source.
    pub age: Millis,
}

/// The share of a region's capacity that a data centre sees as free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadroomDigest {
    /// The region.
    pub region: RegionId,
    /// The data centre that measured it.
    pub zone: ZoneId,
    /// The free share.
    pub free: Permille,
    /// Time since it was measured.
    pub age: Millis,
}

/// A heartbeat, and also the answer to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: PeerRecord,
    /// The sender's boot clock.
    pub clock: Time,
    /// The bundle that it holds.
    pub head: Option<BundleHead>,
    /// Free capacity that it knows of.
    pub headroom: Vec<HeadroomDigest>,
    /// Backend servers that leave.
    pub leaving: Vec<LeavingNotice>,
    /// News of a few other entry VMs.
    pub records: Vec<PeerRecord>,
}

/// Asks a peer to send a heartbeat to `target` on the sender's behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndirectCheck {
    /// The entry VM that did not answer.
    pub target: PeerRecord,
}

/// The answer to an indirect check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckAnswer {
    /// The record that the target answered with, if it answered.
    pub record: Option<PeerRecord>,
}

/// What a peer asks for to obtain a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleRequest {
    /// The manifest of the bundle with this head.
    Manifest(BundleHead),
    /// The part with this hash.
    Part(Digest),
}

/// The answer: the signed manifest's or the part's bytes, if the peer holds them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAnswer {
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub content: Option<Vec<u8>>,
}
