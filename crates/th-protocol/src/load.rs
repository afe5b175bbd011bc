//! The load report of a backend server.

use serde::{Deserialize, Serialize};

use crate::Slots;

/// What a backend server says of itself at its load endpoint; it may lag or mislead.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Slots that run a request.
    pub busy: Slots,
    /// Slots in all.
    pub slots: Slots,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}
