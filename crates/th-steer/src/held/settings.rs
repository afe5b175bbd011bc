//! Settings of the memory that is held.

use th_protocol::{Bytes, Millis};

/// Settings of the memory that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSettings {
    /// Maximum memory held for all messages and connections.
    pub limit: Bytes,
    /// Shortest time after which the caller of a rejected request is told to retry.
    pub backoff_min: Millis,
    /// Longest time after which the caller of a rejected request is told to retry.
    pub backoff_max: Millis,
}

impl Default for HeldSettings {
    fn default() -> HeldSettings {
        HeldSettings {
            limit: Bytes(128 << 20),
            backoff_min: Millis(150),
            backoff_max: Millis(1_500),
        }
    }
}
