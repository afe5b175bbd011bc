//! The status that an entry VM reports to operators.

use serde::{Deserialize, Serialize};

use crate::{Digest, Incarnation, Millis, Version, VmId, ZoneId};

/// The answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The entry VM.
    pub vm: VmId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Which start of its process this is.
    pub incarnation: Incarnation,
    /// The version of the bundle in force; absent before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// How long that bundle has been in force on this VM.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<Millis>,
    /// The digest of that bundle's manifest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether the VM accepts requests.
    pub ready: bool,
    /// Why it does not accept requests. If it does, the bundle that it rejected last, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Whether the VM is stopping.
    pub stopping: bool,
}
