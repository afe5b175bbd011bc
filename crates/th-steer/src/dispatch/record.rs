//! What backend servers and entry VMs say of themselves.

use std::net::SocketAddr;

use th_protocol::{BackendId, Mbit, Millis, ServiceId, Slots, VmId, ZoneId};

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// It takes new work.
    Ready,
    /// It leaves and finishes what it has.
    Draining,
}

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Its id; an id can be taken up again by a later start.
    pub id: BackendId,
    /// The service it runs.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: Slots,
    /// Whether it takes new work.
    pub serving: Serving,
    /// When this start began, in Unix milliseconds.
    pub started: Option<u64>,
    /// How long it stays slow and fragile after its start.
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
    /// Its listener for questions whether it is ready.
    pub ready: SocketAddr,
    /// What its network link carries; `None` where that is not known.
    pub link: Option<Mbit>,
}
