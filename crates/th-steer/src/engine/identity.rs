//! The identity of an entry VM.

use std::net::SocketAddr;

use th_protocol::{Incarnation, Time, VmId, ZoneId};

/// The name, location and addresses of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The VM's id.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// The incarnation: which start of the VM's process this is.
    pub incarnation: Incarnation,
    /// The listener's address for callers.
    pub callers: SocketAddr,
    /// The listener's address for other entry VMs.
    pub peers: SocketAddr,
    /// The wall-clock time, in milliseconds since 1970, at which its boot clock read zero.
    ///
    /// Other VMs use it to estimate this VM's clock when they issue tickets. A wrong estimate only
    /// shortens or lengthens a ticket's lifetime.
    pub origin: Time,
}
