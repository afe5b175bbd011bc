//! Settings of the spread of bundles.

use th_protocol::Millis;

/// Settings of the spread of bundles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Longest wait of a VM without a bundle before its first fetch and its first read of the
    /// store; the wait is random, so that VMs that start together do not ask together.
    pub jitter: Millis,
    /// Time between reads of the store's head by a watcher, or by a VM without a bundle.
    pub poll: Millis,
    /// Time after which a fetch is given to another source.
    pub timeout: Millis,
    /// Longest random wait after a source was busy.
    pub backoff: Millis,
    /// Parts that are fetched at once.
    pub parallel: usize,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            jitter: Millis(1_000),
            poll: Millis(2_000),
            timeout: Millis(1_000),
            backoff: Millis(500),
            parallel: 4,
        }
    }
}
