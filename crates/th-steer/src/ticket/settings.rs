//! Settings of the ticket table.

use th_protocol::{Bytes, Millis};

/// Limits and lifetimes of the ticket table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketSettings {
    /// Memory for operations and retained answers together.
    pub budget: Bytes,
    /// Memory, within `budget`, for retained answers, so that they never evict operations.
    pub answer_budget: Bytes,
    /// How long an issued ticket is valid.
    pub lifetime: Millis,
    /// A ticket that expires further in the future than this is rejected.
    pub max_lifetime: Millis,
    /// Maximum number of operations examined in one sweep.
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
