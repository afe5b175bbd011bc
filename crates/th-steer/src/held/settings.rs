//! Settings of the memory that is held.

use th_protocol::{Bytes, Mbit, Millis};

/// Settings of the memory that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSettings {
    /// Maximum memory held for all messages and connections.
    pub limit: Bytes,
    /// Capacity of the VM's network link to its callers; `None` for no bound.
    pub link: Option<Mbit>,
    /// Shortest time after which the caller of a rejected request is told to retry.
    pub backoff_min: Millis,
    /// Longest time after which the caller of a rejected request is told to retry.
    pub backoff_max: Millis,
}

impl Default for HeldSettings {
    fn default() -> HeldSettings {
        HeldSettings {
            limit: Bytes(128 << 20),
            link: None,
            backoff_min: Millis(150),
            backoff_max: Millis(1_500),
        }
    }
}
