//! Bounds and order of a queue.

use th_protocol::{Bytes, Millis, Permille};

/// Which of a customer's requests goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// The one that came first.
    #[default]
    Oldest,
    /// The one that came last.
    Newest,
}

/// Bounds and order of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSettings {
    /// Most requests.
    pub max_length: usize,
    /// Most memory for their bodies.
    pub max_bytes: Bytes,
    /// Longest wait of a request.
    pub max_wait: Millis,
    /// The part of a request's spare time that its expected wait may take; the rest covers a wait that turns out
    /// longer.
    pub wait_share: Permille,
    /// The order within a customer.
    pub order: QueueOrder,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            max_length: 1_024,
            max_bytes: Bytes(4 * 1024 * 1024),
            max_wait: Millis(2_000),
            wait_share: Permille(250),
            order: QueueOrder::Oldest,
        }
    }
}
