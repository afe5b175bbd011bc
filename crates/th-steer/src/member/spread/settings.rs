//! Settings of the distribution of bundles.

use th_protocol::Millis;

/// Settings of the distribution of bundles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Longest random delay of a VM without a bundle before its first fetch and its first read of
    /// the store, so that VMs that start together do not send their requests together.
    pub jitter: Millis,
    /// Longest time between reads of the store's head by a watcher or by a VM without a bundle; the
    /// shortest is half of it.
    pub poll: Millis,
    /// Time after which an unanswered fetch of a manifest is sent to the next source.
    pub timeout: Millis,
    /// Time after which a part that has not arrived whole is fetched from the next source, too. The largest parts that are
    /// fetched at the same time, base64-encoded, take a link of 10 Mbit/s 4.5 s. A source that falls silent is reported
    /// sooner.
    pub transfer: Millis,
    /// Longest random backoff after a source was busy.
    pub backoff: Millis,
    /// Maximum number of parts that are fetched at the same time.
    pub parallel: usize,
}

impl Default for SpreadSettings {
    fn default() -> SpreadSettings {
        SpreadSettings {
            jitter: Millis(1_000),
            poll: Millis(2_000),
            timeout: Millis(1_000),
            transfer: Millis(5_000),
            backoff: Millis(500),
            parallel: 4,
        }
    }
}
