//! The answer to a look-up: the entry VMs to which a caller sends its requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Millis, OperationId, ServiceId, Version, VmId, ZoneId};

/// One entry VM in the answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry VM.
    pub vm: VmId,
    /// The data centre that it is in.
    pub zone: ZoneId,
    /// Where it listens for callers.
    pub address: SocketAddr,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The requested service.
    pub service: ServiceId,
    /// The requested operation.
    pub operation: OperationId,
    /// Entry VMs to use, in order of preference.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache the answer.
    pub ttl: Millis,
    /// For a non-idempotent operation: the ticket to send with each request.
    pub ticket: Option<String>,
    /// The version of the bundle from which the answer was computed.
    pub version: Version,
}
