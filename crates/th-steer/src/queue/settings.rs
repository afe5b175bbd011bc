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
    pub length: usize,
    /// Most memory for their bodies.
    pub bytes: Bytes,
    /// Longest wait of a request.
    pub age: Millis,
    /// The part of a request's spare time that its expected wait may take; the rest covers a wait that turns out
    /// longer.
    pub patience: Permille,
    /// The order within a customer.
    pub order: QueueOrder,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            length: 1_024,
            bytes: Bytes(4 * 1024 * 1024),
            age: Millis(2_000),
            patience: Permille(250),
            order: QueueOrder::Oldest,
        }
    }
}
