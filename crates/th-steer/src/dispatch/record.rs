//! The records that backend servers and entry VMs register.

use std::net::SocketAddr;

use th_protocol::{BackendId, Mbit, Millis, ServiceId, Slots, VmId, ZoneId};

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// It accepts new requests.
    Ready,
    /// It is draining: it only finishes the requests that it has.
    Draining,
}

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Its id; a later start may reuse it.
    pub id: BackendId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// Whether it accepts new requests.
    pub serving: Serving,
    /// Time of its latest start, in Unix milliseconds.
    pub started: Option<u64>,
    /// Remaining time for which it is cold after its start: slow, and easily overloaded.
    pub cold: Millis,
}

/// An entry VM as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRecord {
    /// Its id.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its listener for callers.
    pub callers: SocketAddr,
    /// Its listener for readiness probes.
    pub ready: SocketAddr,
    /// Its listener for other entry VMs; `None` if it has none.
    pub peers: Option<SocketAddr>,
    /// Capacity of its network link; `None` if unknown.
    pub link: Option<Mbit>,
}
