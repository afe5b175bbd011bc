//! What a caller asks and is told about where to send its requests.

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
    /// The service asked for.
    pub service: ServiceId,
    /// The operation asked for.
    pub operation: OperationId,
    /// Entry VMs to use, best first.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be kept.
    pub ttl: Millis,
    /// For a non-idempotent operation: the ticket to send with each request.
    pub ticket: Option<String>,
    /// The bundle that the answer follows.
    pub version: Version,
}
