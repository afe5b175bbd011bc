//! Bounds of the ticket table.

use th_protocol::{Bytes, Millis};

/// Bounds of the ticket table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketSettings {
    /// Memory for operations and kept answers together.
    pub budget: Bytes,
    /// The part of `budget` that kept answers may take, so that they never crowd out operations.
    pub answer_budget: Bytes,
    /// How long an issued ticket is good for.
    pub lifetime: Millis,
    /// An expiry further away than this is refused.
    pub max_lifetime: Millis,
    /// Operations looked at in one sweep.
    pub sweep_limit: usize,
}

impl Default for TicketSettings {
    fn default() -> TicketSettings {
        TicketSettings {
            budget: Bytes(8 * 1024 * 1024),
            answer_budget: Bytes(4 * 1024 * 1024),
            lifetime: Millis(60_000),
            max_lifetime: Millis(120_000),
            sweep_limit: 512,
        }
    }
}
