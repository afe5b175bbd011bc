//! The platform's list of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{VmId, ZoneId};

/// How a VM stands in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// It runs an entry process.
    Entry,
    /// It runs a backend server.
    Backend,
}

/// One VM of the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name: an entry VM's or a backend server's.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Where it listens: for an entry VM its peer listener.
    pub address: SocketAddr,
    /// How it stands.
    pub state: VmState,
    /// What it is for.
    pub role: VmRole,
}
