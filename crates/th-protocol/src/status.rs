//! What an entry VM says of itself to operators.

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
    /// For how long that bundle has been in force here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<Millis>,
    /// The digest of its manifest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Whether it is stopping.
    pub stopping: bool,
}
