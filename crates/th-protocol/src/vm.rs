//! The platform's list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{VmId, ZoneId};

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// The VM runs an entry process.
    Entry,
    /// The VM runs a backend server.
    Backend,
}

/// One VM in the platform's list. The list may be outdated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name: an entry VM's or a backend server's.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// The address that it listens on; for an entry VM, that of its listener for peers.
    pub address: SocketAddr,
    /// Its state.
    pub state: VmState,
    /// Its role.
    pub role: VmRole,
}
