//! Who an entry VM is.

use std::net::SocketAddr;

use th_protocol::{Incarnation, Time, VmId, ZoneId};

/// Who an entry VM is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Which start of its process this is.
    pub incarnation: Incarnation,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for other entry VMs.
    pub peers: SocketAddr,
    /// The wall-clock time, in milliseconds since 1970, at which its boot clock read zero.
    ///
    /// Others use it to guess this VM's clock when they issue tickets; a wrong guess shortens or
    /// lengthens a ticket's life and breaks nothing.
    pub origin: Time,
}
