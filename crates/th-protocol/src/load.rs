//! The load report of a backend server.

use serde::{Deserialize, Serialize};

use crate::Slots;

/// The load that a backend server reports at its load endpoint. The report may be outdated or
/// wrong.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of slots that are running a request.
    pub busy: Slots,
    /// Total number of slots.
    pub slots: Slots,
    /// Whether the server is leaving.
    #[serde(default)]
    pub leaving: bool,
}
