//! Limits and order of a queue.

use th_protocol::{Bytes, Millis, Permille};

/// Which of a customer's waiting requests is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// The one that has waited longest.
    #[default]
    Oldest,
    /// The one that arrived last.
    Newest,
}

/// Limits and order of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub max_length: usize,
    /// Maximum memory for the bodies of waiting requests.
    pub max_bytes: Bytes,
    /// Maximum wait of a request.
    pub max_wait: Millis,
    /// Share of a request's slack, the time until it must start to meet its deadline, that its
    /// expected wait may take. The remainder covers waits that are longer than expected.
    pub wait_share: Permille,
    /// Order of service within a customer.
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
